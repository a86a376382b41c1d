// Package configwatch keeps the latest configuration of the mesh active on a
// node. It reads the configuration from the platform's store and long-polls for
// changes. The active version never decreases during the life of the process.
//
// It serves nodes on the users' platform; package configdist has this role with
// the product's own interface.
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

// Name is the name under which the service is registered in the kernel.
const Name = "confwatch"

const (
	// longPollTimeout is long because each call to the store is billed. A dead
	// connection is detected earlier by TCP keep-alive.
	longPollTimeout = 20 * time.Second
	// After a failed call, the delay is minBackoff/2 plus a random backoff whose
	// upper bound doubles from minBackoff to maxBackoff.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// peerFetchDelay is the time in which a version known to a peer may still
	// arrive from the store, whose responses reach all nodes within about 50 ms.
	peerFetchDelay   = 300 * time.Millisecond
	peerFetchTimeout = 700 * time.Millisecond
	// maxSourceBytes bounds the source of a configuration. Rows of the store
	// have at most 64 KB; a deployment may allow more.
	maxSourceBytes = 16 << 20
)

// ErrHistoryGone means that the store no longer has the changes after a
// position. The current state must be read instead.
var ErrHistoryGone = errors.New("the store no longer has the changes after this position; read the current state")

var (
	versionGauge = metrics.NewGauge(`parsley_mesh_config_version`, nil)
	readErrors   = metrics.NewCounter(`parsley_mesh_config_read_errors_total`)
)

// Position is a position in the change history of the store.
type Position uint64

// Source supplies configurations. The returned table is nil if there is no
// configuration or it has not changed.
type Source interface {
	// ReadConfig returns the current configuration.
	ReadConfig(ctx context.Context) (*routetable.Table, Position, error)
	// Wait returns the next configuration after a position, or nil if there is
	// none within wait. The error matches ErrHistoryGone if the position is too
	// old.
	Wait(ctx context.Context, after Position, wait time.Duration) (*routetable.Table, Position, error)
	// Decode decodes the source of a table received from another node.
	Decode(data []byte) (*routetable.Table, error)
}

// Service watches the source for configurations.
type Service struct {
	kernel.Base
	Source Source
	Log    eventlog.Log
	// OnAdopt is called with each newly active configuration.
	OnAdopt func(t *routetable.Table)

	current     atomic.Pointer[routetable.Table]
	activeSince atomic.Int64
	peerClient  *http.Client
	watcher     kernel.Worker
	rng         *rand.Rand
}

func (s *Service) Provision(*kernel.Kernel) error {
	s.peerClient = &http.Client{Timeout: peerFetchTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	s.rng = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return nil
}

// Start starts watching the source.
func (s *Service) Start(context.Context) error {
	s.watcher.Start(s.watch)
	return nil
}

// Stop stops watching and waits until the watch has ended.
func (s *Service) Stop(context.Context) error {
	s.watcher.Stop()
	return nil
}

// Current returns the active configuration, or nil.
func (s *Service) Current() *routetable.Table { return s.current.Load() }

// Age returns the time since the configuration became active, or since the start
// of the process if there is none.
func (s *Service) Age() time.Duration { return kernel.Uptime() - time.Duration(s.activeSince.Load()) }

// Version returns the active version, or 0.
func (s *Service) Version() uint64 {
	if t := s.current.Load(); t != nil {
		return t.Version
	}
	return 0
}

// Path is the HTTP path at which a node serves its configuration to peers.
const Path = "/mesh/config"

// ServeHTTP serves the source of the active configuration.
func (s *Service) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	t := s.Current()
	if t == nil {
		http.Error(w, "this node has no active configuration", http.StatusNotFound)
		return
	}
	_, _ = w.Write(t.Source) // a peer that did not receive all of it fetches it again
}

// ObservePeerVersion handles the report that the peer at address has version v.
// If the store has not supplied it within peerFetchDelay, the configuration is
// fetched from the peer. ObservePeerVersion blocks until this is done.
func (s *Service) ObservePeerVersion(ctx context.Context, v uint64, address string) {
	if v <= s.Version() {
		return
	}
	select {
	case <-ctx.Done():
		return
	case <-time.After(peerFetchDelay):
	}
	if v <= s.Version() || address == "" {
		return
	}
	t, err := s.fetch(ctx, address)
	if err != nil {
		readErrors.Inc()
		s.Log.System.Warn().Err(err).Str("event", "config-peer-failed").Uint64("heard", v).Uint64("version", s.Version()).Str("peer", address).Msg("failed to fetch configuration from peer")
		return
	}
	s.Adopt(t, "peer "+address)
}

func (s *Service) fetch(ctx context.Context, address string) (*routetable.Table, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+Path, nil)
	if err != nil {
		return nil, fmt.Errorf("invalid peer address %q: %w", address, err)
	}
	resp, err := s.peerClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxSourceBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("fetch configuration: peer %s returned status %d", address, resp.StatusCode)
	}
	return s.Source.Decode(data)
}

// Adopt makes t the active configuration unless the active version is at least
// as new. It reports whether it did. origin names the source of t in the log.
func (s *Service) Adopt(t *routetable.Table, origin string) bool {
	for {
		old := s.current.Load()
		if old != nil && t.Version <= old.Version {
			return false
		}
		if !s.current.CompareAndSwap(old, t) {
			continue
		}
		var oldVersion uint64
		if old != nil {
			oldVersion = old.Version
		}
		s.activeSince.Store(int64(kernel.Uptime()))
		versionGauge.Set(float64(t.Version))
		s.Log.System.Info().Str("event", "config").Uint64("version", t.Version).Uint64("before", oldVersion).Str("from", origin).
			Int("routes", len(t.Routes)).Int("services", len(t.Services)).Msg("configuration adopted")
		if s.OnAdopt != nil {
			s.OnAdopt(t)
		}
		return true
	}
}

func (s *Service) watch(ctx context.Context) {
	var position Position
	synced, failures := false, 0
	for ctx.Err() == nil {
		t, next, err := s.next(ctx, synced, position)
		switch {
		case err == nil:
			if failures > 0 {
				s.Log.System.Info().Str("event", "dependency-regained").Str("dependency", "store").Int("failures", failures).Msg("reading configuration from the store succeeds again")
			}
			synced, position, failures = true, next, 0
			if t != nil {
				s.Adopt(t, "store")
			}
			continue
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryGone):
			s.Log.System.Info().Err(err).Str("event", "history-gone").Uint64("position", uint64(position)).Msg("history no longer available; reading the current configuration")
			synced = false
			continue
		}
		readErrors.Inc()
		if failures++; failures == 1 {
			s.Log.System.Warn().Err(err).Str("event", "dependency-lost").Str("dependency", "store").Uint64("version", s.Version()).Dur("age", s.Age()).Msg("failed to read configuration from the store; retrying")
		}
		synced = false
		select {
		case <-ctx.Done():
		case <-time.After(minBackoff/2 + retry.Backoff(s.rng, minBackoff, maxBackoff, failures)):
		}
	}
}

// next reads the current configuration or, if synced, waits for the next one
// after position.
func (s *Service) next(ctx context.Context, synced bool, position Position) (*routetable.Table, Position, error) {
	if !synced {
		return s.Source.ReadConfig(ctx)
	}
	return s.Source.Wait(ctx, position, longPollTimeout)
}
