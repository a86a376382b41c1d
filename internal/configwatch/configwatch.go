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
	// storeBytes and peerBytes count the bytes of received configurations.
	storeBytes = metrics.NewCounter(`parsley_mesh_config_bytes_total{source="store"}`)
	peerBytes  = metrics.NewCounter(`parsley_mesh_config_bytes_total{source="peer"}`)
	transfers  = metrics.NewHistogram(`parsley_mesh_config_transfer_seconds`)
)

// Position is a position in the change history of the store.
type Position uint64

// Update is the result of a read of the store.
type Update struct {
	// Table is nil if there is no configuration or it has not changed.
	Table *routetable.Table
	// Position is the position of the read in the change history.
	Position Position
	// Transfer is the time from the head of the response to its last byte.
	Transfer time.Duration
}

// Source supplies configurations.
type Source interface {
	// ReadConfig returns the current configuration.
	ReadConfig(ctx context.Context) (Update, error)
	// Wait returns the next configuration after a position, or no table if there
	// is none within wait. The error matches ErrHistoryGone if the position is
	// too old.
	Wait(ctx context.Context, after Position, wait time.Duration) (Update, error)
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
	// reported is the highest version that a peer has reported.
	reported   atomic.Uint64
	reportedAt atomic.Int64
	peerClient *http.Client
	watcher    kernel.Worker
	rng        *rand.Rand
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
	s.recordReport(v)
	select {
	case <-ctx.Done():
		return
	case <-time.After(peerFetchDelay):
	}
	if v <= s.Version() || address == "" {
		return
	}
	t, transfer, err := s.fetch(ctx, address)
	if err != nil {
		readErrors.Inc()
		s.Log.System.Warn().Err(err).Str("event", "config-peer-failed").Uint64("heard", v).Uint64("version", s.Version()).Str("peer", address).Msg("failed to fetch configuration from peer")
		return
	}
	peerBytes.Add(len(t.Source))
	s.Adopt(t, "peer "+address, transfer)
}

// recordReport records the first report of a version higher than those reported
// before.
func (s *Service) recordReport(v uint64) {
	for {
		old := s.reported.Load()
		if v <= old {
			return
		}
		if s.reported.CompareAndSwap(old, v) {
			s.reportedAt.Store(int64(kernel.Uptime()))
			return
		}
	}
}

// fetch returns the configuration of a peer and the duration of the transfer.
func (s *Service) fetch(ctx context.Context, address string) (*routetable.Table, time.Duration, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+Path, nil)
	if err != nil {
		return nil, 0, fmt.Errorf("invalid peer address %q: %w", address, err)
	}
	resp, err := s.peerClient.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	begin := kernel.Uptime()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxSourceBytes))
	if err != nil {
		return nil, 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, 0, fmt.Errorf("fetch configuration: peer %s returned status %d", address, resp.StatusCode)
	}
	transfer := kernel.Uptime() - begin
	t, err := s.Source.Decode(data)
	return t, transfer, err
}

// Adopt makes t the active configuration unless the active version is at least
// as new. It reports whether it did. origin names the source of t in the log,
// and transfer is the time that receiving it took.
func (s *Service) Adopt(t *routetable.Table, origin string, transfer time.Duration) bool {
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
		now := kernel.Uptime()
		s.activeSince.Store(int64(now))
		versionGauge.Set(float64(t.Version))
		transfers.Update(transfer.Seconds())
		line := s.Log.System.Info().Str("event", "config").Uint64("version", t.Version).Uint64("before", oldVersion).Str("from", origin).
			Int("routes", len(t.Routes)).Int("services", len(t.Services)).Int("bytes", len(t.Source)).Dur("transfer", transfer)
		if s.reported.Load() >= t.Version {
			line = line.Dur("since_report", now-time.Duration(s.reportedAt.Load()))
		}
		line.Msg("configuration adopted")
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
		update, err := s.next(ctx, synced, position)
		switch {
		case err == nil:
			if failures > 0 {
				s.Log.System.Info().Str("event", "dependency-regained").Str("dependency", "store").Int("failures", failures).Msg("reading configuration from the store succeeds again")
			}
			synced, position, failures = true, update.Position, 0
			if t := update.Table; t != nil {
				storeBytes.Add(len(t.Source))
				s.Adopt(t, "store", update.Transfer)
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
func (s *Service) next(ctx context.Context, synced bool, position Position) (Update, error) {
	if !synced {
		return s.Source.ReadConfig(ctx)
	}
	return s.Source.Wait(ctx, position, longPollTimeout)
}
