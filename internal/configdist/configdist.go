// Package configdist brings the accepted configuration to a node and keeps it in
// force. A node adopts only higher versions, so a configuration never reverts.
//
// A node hears of a version from a peer and fetches it from that peer, else
// from other peers, else from the platform. It polls the platform rarely, so
// that a version that no peer announced is found too. The rule is the Tracker;
// the Service carries it out.
package configdist

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"parsleyturn/internal/configstore"
	"parsleyturn/internal/kernel"
	"parsleyturn/internal/policy"
)

// Name is the name of the service in the kernel.
const Name = "confsync"

var (
	adopted      = metrics.NewCounter(`parsley_config_adopted_total`)
	rejected     = metrics.NewCounter(`parsley_config_rejected_total`)
	polls        = metrics.NewCounter(`parsley_config_polls_total`)
	pollsFailed  = metrics.NewCounter(`parsley_config_polls_failed_total`)
	fetches      = metrics.NewCounter(`parsley_config_peer_fetches_total`)
	fetchFailed  = metrics.NewCounter(`parsley_config_peer_fetches_failed_total`)
	peerFiles    = metrics.NewCounter(`parsley_config_files_total{source="peer"}`)
	storeFiles   = metrics.NewCounter(`parsley_config_files_total{source="platform"}`)
	hintsDropped = metrics.NewCounter(`parsley_config_hints_dropped_total`)
)

// ActiveConfig is a configuration that a node works by.
type ActiveConfig struct {
	Record configstore.Record
	Files  []policy.File
	Policy *policy.Policy
	byHash map[string][]byte
}

// RejectedError means that the content of a version is not usable.
type RejectedError struct {
	Version uint64
	cause   error
}

// Error gives the cause and the remedy.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("configuration version %d is refused: %v; the version in force stays, apply a corrected configuration", e.Version, e.cause)
}

// Unwrap returns the cause.
func (e *RejectedError) Unwrap() error { return e.cause }

// refuse counts a refusal.
func refuse(version uint64, cause error) error {
	rejected.Inc()
	return &RejectedError{version, cause}
}

type hint struct {
	version uint64
	peer    string
}

// Service keeps the configuration in force. Store has to be set before Start;
// the other fields are optional.
type Service struct {
	kernel.Base
	Store *configstore.Store
	Log   zerolog.Logger
	// Peers returns administration addresses of other live nodes.
	Peers func() []string
	// LiveNodes returns the number of live nodes, this one included. Default is
	// one more than the number of Peers.
	LiveNodes func() int
	// OnAdopt is called after a version came into force. It may be called
	// from several goroutines.
	OnAdopt func(version uint64)

	current atomic.Pointer[ActiveConfig]
	mu      sync.Mutex
	once    sync.Once
	first   chan struct{}
	hints   *kernel.Queue[hint]
	fetched fileCache
	client  *http.Client
	tracker *Tracker
	// failing is set while polls get no answer; only run uses it.
	failing bool
	cancel  context.CancelFunc
	done    chan struct{}
}

func (s *Service) init() {
	s.once.Do(func() {
		s.first = make(chan struct{})
		// A dropped hint is repeated by other peers or found by a poll.
		s.hints = kernel.NewQueue[hint](64, kernel.DropOldest)
		s.client = newPeerClient()
		s.tracker = NewTracker(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	})
}

// ActiveConfig returns the configuration in force, or nil before the first one.
func (s *Service) ActiveConfig() *ActiveConfig { return s.current.Load() }

// Version returns the version in force, 0 for none.
func (s *Service) Version() uint64 {
	if c := s.current.Load(); c != nil {
		return c.Record.Version
	}
	return 0
}

// AwaitFirst waits for the first configuration.
func (s *Service) AwaitFirst(ctx context.Context) error {
	s.init()
	select {
	case <-s.first:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("no configuration yet: %w; check that the platform or a seed can be reached and that a configuration was accepted", ctx.Err())
	}
}

// ObservePeerVersion notes that the node with the given administration address has a
// version in force. It does not block.
func (s *Service) ObservePeerVersion(version uint64, adminAddr string) {
	if version <= s.Version() {
		return
	}
	s.init()
	s.hints.Put(hint{version, adminAddr})
}

// Adopt puts a configuration in force if its version is higher than the
// present one. A configuration that does not match its manifest or does not
// parse is rejected with *RefusedError. A record without a manifest gets that
// of the files.
func (s *Service) Adopt(rec configstore.Record, files []policy.File) (bool, error) {
	s.init()
	if rec.Version <= s.Version() {
		return false, nil
	}
	next, err := prepare(rec, files)
	if err != nil {
		return false, refuse(rec.Version, err)
	}
	if !s.swap(next) {
		return false, nil
	}
	adopted.Inc()
	s.Log.Info().Uint64("version", rec.Version).Msg("configuration in force")
	if s.OnAdopt != nil {
		s.OnAdopt(rec.Version)
	}
	return true, nil
}

// swap makes next the configuration in force unless it is too old by now.
func (s *Service) swap(next *ActiveConfig) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.current.Load()
	if old != nil && next.Record.Version <= old.Record.Version {
		return false
	}
	s.current.Store(next)
	s.fetched.clear()
	if old == nil {
		close(s.first)
	}
	return true
}

func prepare(rec configstore.Record, files []policy.File) (*ActiveConfig, error) {
	if rec.Manifest.Files == nil {
		rec.Manifest = configstore.NewManifest(files)
	}
	byHash := make(map[string][]byte, len(files))
	for _, f := range files {
		hash := configstore.Hash(f.Content)
		if rec.Manifest.Files[f.Name] != hash {
			return nil, fmt.Errorf("file %q does not match its hash in the manifest", f.Name)
		}
		byHash[hash] = f.Content
	}
	if len(files) != len(rec.Manifest.Files) {
		return nil, fmt.Errorf("%d files for a manifest of %d", len(files), len(rec.Manifest.Files))
	}
	p, err := policy.Parse(files)
	if err != nil {
		return nil, err
	}
	rec.Fence = ""
	return &ActiveConfig{rec, files, p, byHash}, nil
}

// Validate reports a missing store.
func (s *Service) Validate() error {
	if s.Store == nil {
		return errors.New("confsync has no store; set Store to that of the platform in the settings")
	}
	return nil
}

// Start begins to follow the accepted configuration.
func (s *Service) Start(context.Context) error {
	s.init()
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.done = make(chan struct{})
	go s.run(ctx)
	return nil
}

// Stop ends that.
func (s *Service) Stop(ctx context.Context) error {
	s.cancel()
	select {
	case <-s.done:
		s.client.CloseIdleConnections()
		return nil
	case <-ctx.Done():
		return fmt.Errorf("stop %s: %w", Name, ctx.Err())
	}
}

func (s *Service) run(ctx context.Context) {
	defer close(s.done)
	for ctx.Err() == nil {
		s.takeHints()
		s.tracker.VersionAdopted(s.Version())
		switch a := s.tracker.Next(kernel.Uptime(), s.live()); a.Kind {
		case Poll:
			s.poll(ctx)
		case QueryPeers:
			s.ask(ctx)
		case Fetch:
			s.fetch(ctx, a)
		default:
			s.wait(ctx, a.Until)
		}
	}
}

func (s *Service) takeHints() {
	hintsDropped.Set(s.hints.Dropped())
	for {
		h, ok := s.hints.TryGet()
		if !ok {
			return
		}
		s.tracker.ObservePeerVersion(h.version, h.peer)
	}
}

func (s *Service) wait(ctx context.Context, until time.Duration) {
	timer := time.NewTimer(until - kernel.Uptime())
	defer timer.Stop()
	select {
	case h := <-s.hints.Items():
		s.tracker.ObservePeerVersion(h.version, h.peer)
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (s *Service) live() int {
	if s.LiveNodes != nil {
		return s.LiveNodes()
	}
	return 1 + len(s.peers())
}

func (s *Service) peers() []string {
	if s.Peers == nil {
		return nil
	}
	return s.Peers()
}

// poll compares with the platform and adopts its version if it is higher.
func (s *Service) poll(ctx context.Context) {
	polls.Inc()
	err := s.refresh(ctx)
	if err != nil && ctx.Err() != nil {
		return
	}
	s.tracker.VersionAdopted(s.Version())
	var refused *RejectedError
	if err == nil || errors.As(err, &refused) {
		s.tracker.PollSucceeded(kernel.Uptime(), s.live())
	} else {
		pollsFailed.Inc()
		if !s.failing {
			s.Log.Warn().Err(err).Uint64("version", s.Version()).Msg("platform cannot be polled; the configuration in force stays")
		}
		s.tracker.PollFailed(kernel.Uptime(), s.live())
	}
	failing := err != nil && !errors.As(err, &refused)
	if s.failing && !failing {
		s.Log.Info().Uint64("version", s.Version()).Msg("platform answers again")
	}
	s.failing = failing
}

func (s *Service) refresh(ctx context.Context) error {
	short, cancel := context.WithTimeout(ctx, pollTimeout)
	rec, err := s.Store.Current(short)
	cancel()
	if err != nil || rec.Version <= s.Version() {
		return err
	}
	ctx, cancel = context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	files, err := s.collect(ctx, rec, s.sources(rec))
	if err != nil {
		return err
	}
	_, err = s.Adopt(rec, files)
	return err
}
