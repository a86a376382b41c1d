// Package configdist distributes the accepted configuration to the nodes. A
// node adopts only higher versions, so its configuration never reverts.
//
// When a peer announces a new version, the node fetches it from that peer. If
// that fails, it tries other peers that announced the version and finally the
// platform. It also polls the platform at long intervals to find versions that
// no peer announced. Tracker decides what to do next; Service does the I/O.
//
// It serves nodes with the product's own interface; package configwatch has
// this role on the users' platform.
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
	adopted              = metrics.NewCounter(`parsley_config_adopted_total`)
	rejected             = metrics.NewCounter(`parsley_config_rejected_total`)
	polls                = metrics.NewCounter(`parsley_config_polls_total`)
	pollsFailed          = metrics.NewCounter(`parsley_config_polls_failed_total`)
	fetches              = metrics.NewCounter(`parsley_config_peer_fetches_total`)
	fetchesFailed        = metrics.NewCounter(`parsley_config_peer_fetches_failed_total`)
	filesFromPeers       = metrics.NewCounter(`parsley_config_files_total{source="peer"}`)
	filesFromPlatform    = metrics.NewCounter(`parsley_config_files_total{source="platform"}`)
	announcementsDropped = metrics.NewCounter(`parsley_config_hints_dropped_total`)
)

// ActiveConfig is the configuration that a node uses.
type ActiveConfig struct {
	Record configstore.Record
	Files  []policy.File
	Policy *policy.Policy
	byHash map[string][]byte
}

// RejectedError means that the content of a version is invalid.
type RejectedError struct {
	Version uint64
	cause   error
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("configuration version %d rejected: %v; the active version is kept, apply a corrected configuration", e.Version, e.cause)
}

// Unwrap returns the cause.
func (e *RejectedError) Unwrap() error { return e.cause }

// reject counts the rejected version and returns a *RejectedError.
func reject(version uint64, cause error) error {
	rejected.Inc()
	return &RejectedError{version, cause}
}

// versionAnnouncement is an announcement by a peer of its version.
type versionAnnouncement struct {
	version uint64
	peer    string
}

// Service keeps the active configuration up to date. Store must be set before
// Start; the other fields are optional.
type Service struct {
	kernel.Base
	Store *configstore.Store
	Log   zerolog.Logger
	// Peers returns the administration addresses of the other live nodes.
	Peers func() []string
	// LiveNodes returns the number of live nodes, including this one. The
	// default is one more than the number of Peers.
	LiveNodes func() int
	// OnAdopt is called after a version was adopted. It may be called from
	// several goroutines.
	OnAdopt func(version uint64)

	current       atomic.Pointer[ActiveConfig]
	mu            sync.Mutex
	once          sync.Once
	firstAdopted  chan struct{}
	announcements *kernel.Queue[versionAnnouncement]
	fetchedFiles  fileCache
	client        *http.Client
	tracker       *Tracker
	// pollFailing is set while polls of the platform fail. It is used only by
	// the goroutine of run.
	pollFailing bool
	cancel      context.CancelFunc
	done        chan struct{}
}

func (s *Service) init() {
	s.once.Do(func() {
		s.firstAdopted = make(chan struct{})
		// A version whose announcement was dropped is announced again by other
		// peers or found by a poll.
		s.announcements = kernel.NewQueue[versionAnnouncement](64, kernel.DropOldest)
		s.client = newPeerClient()
		s.tracker = NewTracker(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	})
}

// ActiveConfig returns the active configuration, or nil before the first one.
func (s *Service) ActiveConfig() *ActiveConfig { return s.current.Load() }

// Version returns the active version, or 0 if there is none.
func (s *Service) Version() uint64 {
	if c := s.current.Load(); c != nil {
		return c.Record.Version
	}
	return 0
}

// AwaitFirst blocks until the first configuration was adopted or ctx ends.
func (s *Service) AwaitFirst(ctx context.Context) error {
	s.init()
	select {
	case <-s.firstAdopted:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("no configuration yet: %w; check that the platform or a seed node can be reached and that a configuration was accepted", ctx.Err())
	}
}

// ObservePeerVersion records that the node with the given administration
// address announced a version. It does not block.
func (s *Service) ObservePeerVersion(version uint64, adminAddr string) {
	if version <= s.Version() {
		return
	}
	s.init()
	s.announcements.Put(versionAnnouncement{version, adminAddr})
}

// Adopt makes a configuration the active one if its version is higher than the
// active version, and reports whether it did. A configuration that does not
// match its manifest or does not parse is rejected with *RejectedError. If the
// record has no manifest, it is computed from the files.
func (s *Service) Adopt(rec configstore.Record, files []policy.File) (bool, error) {
	s.init()
	if rec.Version <= s.Version() {
		return false, nil
	}
	next, err := prepare(rec, files)
	if err != nil {
		return false, reject(rec.Version, err)
	}
	if !s.swap(next) {
		return false, nil
	}
	adopted.Inc()
	s.Log.Info().Uint64("version", rec.Version).Msg("configuration adopted")
	if s.OnAdopt != nil {
		s.OnAdopt(rec.Version)
	}
	return true, nil
}

// swap makes next the active configuration, unless a version at least as high
// was adopted in the meantime.
func (s *Service) swap(next *ActiveConfig) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.current.Load()
	if old != nil && next.Record.Version <= old.Record.Version {
		return false
	}
	s.current.Store(next)
	s.fetchedFiles.clear()
	if old == nil {
		close(s.firstAdopted)
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
		return nil, fmt.Errorf("got %d files, but the manifest lists %d", len(files), len(rec.Manifest.Files))
	}
	p, err := policy.Parse(files)
	if err != nil {
		return nil, err
	}
	rec.Fence = ""
	return &ActiveConfig{rec, files, p, byHash}, nil
}

// Validate returns an error if the store is missing.
func (s *Service) Validate() error {
	if s.Store == nil {
		return errors.New("service confsync has no configuration store; set Store to the store of the platform named in the settings")
	}
	return nil
}

// Start starts the goroutine that follows the accepted configuration.
func (s *Service) Start(context.Context) error {
	s.init()
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.done = make(chan struct{})
	go s.run(ctx)
	return nil
}

// Stop stops the goroutine of Start and waits for it.
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
		s.processAnnouncements()
		s.tracker.VersionAdopted(s.Version())
		switch a := s.tracker.Next(kernel.Uptime(), s.liveNodes()); a.Kind {
		case Poll:
			s.poll(ctx)
		case QueryPeers:
			s.queryPeers(ctx)
		case Fetch:
			s.fetch(ctx, a)
		default:
			s.wait(ctx, a.Until)
		}
	}
}

func (s *Service) processAnnouncements() {
	announcementsDropped.Set(s.announcements.Dropped())
	for {
		a, ok := s.announcements.TryGet()
		if !ok {
			return
		}
		s.tracker.ObservePeerVersion(a.version, a.peer)
	}
}

func (s *Service) wait(ctx context.Context, until time.Duration) {
	timer := time.NewTimer(until - kernel.Uptime())
	defer timer.Stop()
	select {
	case a := <-s.announcements.Items():
		s.tracker.ObservePeerVersion(a.version, a.peer)
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (s *Service) liveNodes() int {
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

// poll reads the accepted version from the platform and adopts it if it is
// higher than the active one.
func (s *Service) poll(ctx context.Context) {
	polls.Inc()
	err := s.refresh(ctx)
	if err != nil && ctx.Err() != nil {
		return
	}
	s.tracker.VersionAdopted(s.Version())
	var rejectedErr *RejectedError
	if err == nil || errors.As(err, &rejectedErr) {
		s.tracker.PollSucceeded(kernel.Uptime(), s.liveNodes())
	} else {
		pollsFailed.Inc()
		if !s.pollFailing {
			s.Log.Warn().Err(err).Uint64("version", s.Version()).Msg("platform poll failed; keeping the active configuration")
		}
		s.tracker.PollFailed(kernel.Uptime(), s.liveNodes())
	}
	failing := err != nil && !errors.As(err, &rejectedErr)
	if s.pollFailing && !failing {
		s.Log.Info().Uint64("version", s.Version()).Msg("platform reachable again")
	}
	s.pollFailing = failing
}

func (s *Service) refresh(ctx context.Context) error {
	pollCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	rec, err := s.Store.Current(pollCtx)
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
