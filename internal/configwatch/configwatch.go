// Package configwatch keeps the newest configuration of the mesh in force. It
// reads it from the platform's store and waits there for the next one. The
// version in force never goes back while the process lives.
package configwatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"parsleyturn/internal/eventlog"
	"parsleyturn/internal/kernel"
	"parsleyturn/internal/retry"
	"parsleyturn/internal/routetable"
)

// Name is the name of the service in the kernel.
const Name = "confwatch"

const (
	// waitTime is the length of one wait for a change. Each call to the store
	// is billed; the connection's keep-alive finds a silent one sooner.
	waitTime = 20 * time.Second
	// minBackoff and maxBackoff bound the pause after a failed call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// peerDelay is how long the store has to give a version that a peer has.
	// Its answers reach all nodes within about 50 ms.
	peerDelay   = 300 * time.Millisecond
	peerTimeout = 700 * time.Millisecond
	// maxSource bounds the text of a configuration in bytes. The store keeps
	// rows of at most 64 KB; a deployment may allow more.
	maxSource = 16 << 20
)

// ErrHistoryGone means that the changes after a position are not kept any
// more; read the present state instead.
var ErrHistoryGone = errors.New("the store has dropped its history; read the present state")

var (
	version  = metrics.NewGauge(`parsley_mesh_config_version`, nil)
	failures = metrics.NewCounter(`parsley_mesh_config_read_errors_total`)
)

// Position is a point in the history of the store.
type Position uint64

// Source is where configurations come from. Table is nil if there is none or
// nothing changed.
type Source interface {
	// Read returns the present configuration.
	Read(ctx context.Context) (*routetable.Table, Position, error)
	// Wait returns the next configuration after a position, or nil after wait.
	// The error matches ErrHistoryGone if the position is too old.
	Wait(ctx context.Context, after Position, wait time.Duration) (*routetable.Table, Position, error)
	// Decode reads the source of a table that another node passed on.
	Decode(data []byte) (*routetable.Table, error)
}

// Service watches for configurations.
type Service struct {
	kernel.Base
	Source Source
	Log    eventlog.Log
	// OnAdopt is called with each new version in force.
	OnAdopt func(t *routetable.Table)

	current atomic.Pointer[routetable.Table]
	since   atomic.Int64
	peers   *http.Client
	duty    kernel.Duty
	rnd     *rand.Rand
}

// Provision prepares the watch.
func (s *Service) Provision(*kernel.Kernel) error {
	s.peers = &http.Client{Timeout: peerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	s.rnd = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return nil
}

// Start begins to watch.
func (s *Service) Start(context.Context) error {
	s.duty.Run(s.watch)
	return nil
}

// Stop ends the watch.
func (s *Service) Stop(context.Context) error {
	s.duty.End()
	return nil
}

// Current returns the configuration in force, or nil.
func (s *Service) Current() *routetable.Table { return s.current.Load() }

// Age is how long the configuration has been in force.
func (s *Service) Age() time.Duration { return kernel.Uptime() - time.Duration(s.since.Load()) }

// Version returns the version in force, or 0.
func (s *Service) Version() uint64 {
	if t := s.current.Load(); t != nil {
		return t.Version
	}
	return 0
}

// Path is where a node passes its configuration on to others.
const Path = "/mesh/config"

// ServeHTTP passes the configuration in force on.
func (s *Service) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	t := s.Current()
	if t == nil {
		http.Error(w, "no configuration is in force", http.StatusNotFound)
		return
	}
	_, _ = w.Write(t.Source) // a node that did not get all of it asks again
}

// ObservePeerVersion notes that the peer at an address has a version. If the store has not
// given it within peerDelay, it is read from the peer. It blocks until then.
func (s *Service) ObservePeerVersion(ctx context.Context, v uint64, address string) {
	if v <= s.Version() {
		return
	}
	select {
	case <-ctx.Done():
		return
	case <-time.After(peerDelay):
	}
	if v <= s.Version() || address == "" {
		return
	}
	t, err := s.fetch(ctx, address)
	if err != nil {
		failures.Inc()
		s.Log.System.Warn().Err(err).Str("event", "config-peer-failed").Uint64("heard", v).Uint64("version", s.Version()).Str("peer", address).Msg("configuration cannot be read from a peer")
		return
	}
	s.Adopt(t, "peer "+address)
}

func (s *Service) fetch(ctx context.Context, address string) (*routetable.Table, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+Path, nil)
	if err != nil {
		return nil, fmt.Errorf("peer address %q: %w", address, err)
	}
	resp, err := s.peers.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxSource))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("peer %s answered %d", address, resp.StatusCode)
	}
	return s.Source.Decode(data)
}

// Adopt puts a configuration in force unless a later one is.
func (s *Service) Adopt(t *routetable.Table, origin string) bool {
	for {
		old := s.current.Load()
		if old != nil && t.Version <= old.Version {
			return false
		}
		if !s.current.CompareAndSwap(old, t) {
			continue
		}
		var before uint64
		if old != nil {
			before = old.Version
		}
		s.since.Store(int64(kernel.Uptime()))
		version.Set(float64(t.Version))
		s.Log.System.Info().Str("event", "config").Uint64("version", t.Version).Uint64("before", before).Str("from", origin).
			Int("routes", len(t.Routes)).Int("services", len(t.Services)).Msg("configuration in force")
		if s.OnAdopt != nil {
			s.OnAdopt(t)
		}
		return true
	}
}

func (s *Service) watch(ctx context.Context) {
	var at Position
	known, failed := false, 0
	for ctx.Err() == nil {
		t, next, err := s.step(ctx, known, at)
		switch {
		case err == nil:
			if failed > 0 {
				s.Log.System.Info().Str("event", "dependency-regained").Str("dependency", "store").Int("failures", failed).Msg("configuration can be read again")
			}
			known, at, failed = true, next, 0
			if t != nil {
				s.Adopt(t, "store")
			}
			continue
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryGone):
			s.Log.System.Info().Err(err).Str("event", "history-gone").Uint64("position", uint64(at)).Msg("reading the whole configuration")
			known = false
			continue
		}
		failures.Inc()
		if failed++; failed == 1 {
			s.Log.System.Warn().Err(err).Str("event", "dependency-lost").Str("dependency", "store").Uint64("version", s.Version()).Dur("age", s.Age()).Msg("configuration cannot be read")
		}
		known = false
		select {
		case <-ctx.Done():
		case <-time.After(minBackoff/2 + retry.Backoff(s.rnd, minBackoff, maxBackoff, failed)):
		}
	}
}

// step reads the present configuration or waits for the next one.
func (s *Service) step(ctx context.Context, known bool, at Position) (*routetable.Table, Position, error) {
	if !known {
		return s.Source.Read(ctx)
	}
	return s.Source.Wait(ctx, at, waitTime)
}
