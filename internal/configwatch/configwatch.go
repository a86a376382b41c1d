// Package configwatch keeps the latest configuration of the mesh active on a
// node. The active version never decreases during the life of the process.
//
// Only a few nodes of each availability zone, its readers, read configurations
// from the platform's store, so that the number of copies that cross the links
// between regions does not grow with the number of nodes. A reader announces
// each version in a small row of the store. The other nodes, the followers,
// wait for that row and for reports of their peers, and fetch the configuration
// from a reader of their zone. If that fails, they read it from the store.
//
// It serves nodes on the users' platform; package configdist has this role with
// the product's own interface.
package configwatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
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
	// After a failed call, the delay is minBackoff/2 plus a random backoff whose
	// upper bound doubles from minBackoff to maxBackoff.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
)

// ErrHistoryGone means that the store no longer has the changes after a position,
// or that the position belongs to another era. The current state must be read
// instead.
var ErrHistoryGone = errors.New("the store no longer has the changes after this position; read the current state")

var (
	versionGauge = metrics.NewGauge(`parsley_mesh_config_version`, nil)
	readErrors   = metrics.NewCounter(`parsley_mesh_config_read_errors_total`)
	// storeBytes and peerBytes count the bytes of received configurations.
	storeBytes = metrics.NewCounter(`parsley_mesh_config_bytes_total{source="store"}`)
	peerBytes  = metrics.NewCounter(`parsley_mesh_config_bytes_total{source="peer"}`)
	transfers  = metrics.NewHistogram(`parsley_mesh_config_transfer_seconds`)
	roles      = metrics.NewCounter(`parsley_mesh_config_role_changes_total`)
	// repeatedCalls counts calls of the store that were dead.
	repeatedCalls = metrics.NewCounter(`parsley_mesh_config_calls_repeated_total`)
	// restores counts restores of the store that this process noticed.
	restores = metrics.NewCounter(`parsley_mesh_store_restores_total`)
)

// Position is a position in the change history of the store.
type Position struct {
	// Era increases each time that the store is restored from an older copy, which
	// gives the versions after that copy to other changes. Positions of different
	// eras have no order.
	Era     uint64
	Version uint64
}

// Update is the result of a read of the configuration.
type Update struct {
	// Table is nil if there is no configuration or it has not changed.
	Table *routetable.Table
	// Position is the position of the read in the change history.
	Position Position
	// Transfer is the time from the head of the response to its last byte.
	Transfer time.Duration
}

// Source supplies configurations, and the row that announces the version of the
// latest one.
type Source interface {
	// ReadConfig returns the current configuration.
	ReadConfig(ctx context.Context) (Update, error)
	// WaitConfig returns the next configuration after a position, or no table if
	// there is none within wait. The error matches ErrHistoryGone if the position
	// is too old.
	WaitConfig(ctx context.Context, after Position, wait time.Duration) (Update, error)
	// ReadVersion returns the announced version, or 0 if there is none.
	ReadVersion(ctx context.Context) (uint64, Position, error)
	// WaitVersion returns the next announcement after a position, or 0 if there
	// is none within wait. Its errors are those of WaitConfig.
	WaitVersion(ctx context.Context, after Position, wait time.Duration) (uint64, Position, error)
	// AnnounceVersion announces a version, or renews its announcement, unless
	// another node has done so since the last call.
	AnnounceVersion(ctx context.Context, version uint64) error
	// Decode decodes the source of a table received from another node.
	Decode(data []byte) (*routetable.Table, error)
}

// Service watches the source for configurations.
type Service struct {
	kernel.Base
	Source Source
	Log    eventlog.Log
	// IsReader reports whether this node is a reader of its availability zone.
	// Nil means that it is.
	IsReader func() bool
	// Readers returns the addresses of other readers, in the order in which they
	// are to be asked. Nil means that there are none.
	Readers func() []string
	// OnAdopt is called with each newly active configuration.
	OnAdopt func(t *routetable.Table)
	// OnRestore, if set, is called when the store has been restored from an older
	// copy, so that what this node has written to it may be gone.
	OnRestore func()

	current     atomic.Pointer[activeTable]
	activeSince atomic.Int64
	// adopted is closed and replaced when a configuration becomes active.
	adoptedMu sync.Mutex
	adopted   chan struct{}
	reports   reports
	// announce wakes the announcer.
	announce chan struct{}
	// storeCall is the uptime at which the watch began its current call of the
	// source.
	storeCall atomic.Int64
	// received is the highest version that the watch has received from the source.
	received   atomic.Uint64
	peerClient *http.Client
	workers    [3]kernel.Worker
}

func (s *Service) Provision(*kernel.Kernel) error {
	dialer := &net.Dialer{Timeout: peerDialTimeout}
	s.peerClient = &http.Client{Timeout: peerFetchTimeout, Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext}}
	s.adopted = make(chan struct{})
	s.announce = make(chan struct{}, 1)
	s.reports.changed = make(chan struct{}, 1)
	return nil
}

// Start starts watching the source.
func (s *Service) Start(context.Context) error {
	for i, run := range []func(context.Context){s.watch, s.fetchReported, s.announceVersions} {
		s.workers[i].Start(run)
	}
	return nil
}

// Stop stops watching and waits until the watch has ended.
func (s *Service) Stop(context.Context) error {
	for i := range s.workers {
		s.workers[i].Stop()
	}
	return nil
}

// Current returns the active configuration, or nil.
func (s *Service) Current() *routetable.Table {
	if a := s.current.Load(); a != nil {
		return a.Table
	}
	return nil
}

// Age returns the time since the configuration became active, or since the start
// of the process if there is none.
func (s *Service) Age() time.Duration { return kernel.Uptime() - time.Duration(s.activeSince.Load()) }

// Version returns the active version, or 0.
func (s *Service) Version() uint64 {
	if t := s.Current(); t != nil {
		return t.Version
	}
	return 0
}

// Adopt makes t the active configuration unless the active version is at least
// as new. It reports whether it did. origin names the source of t in the log,
// and transfer is the time that receiving it took.
func (s *Service) Adopt(t *routetable.Table, origin string, transfer time.Duration) bool {
	next := &activeTable{Table: t}
	for {
		old := s.current.Load()
		var oldVersion uint64
		if old != nil {
			oldVersion = old.Version
		}
		if old != nil && t.Version <= oldVersion {
			return false
		}
		if !s.current.CompareAndSwap(old, next) {
			continue
		}
		now := kernel.Uptime()
		s.activeSince.Store(int64(now))
		versionGauge.Set(float64(t.Version))
		transfers.Update(transfer.Seconds())
		line := s.Log.System.Info().Str("event", "config").Uint64("version", t.Version).Uint64("before", oldVersion).Str("from", origin).
			Int("routes", len(t.Routes)).Int("services", len(t.Services)).Int("bytes", len(t.Source)).Dur("transfer", transfer).
			Bool("reader", s.isReader()).Dur("store_call", now-time.Duration(s.storeCall.Load()))
		if report := s.reports.latest(); report.version >= t.Version {
			line = line.Dur("since_report", now-report.at)
		}
		line.Msg("configuration adopted")
		s.notifyAdopted()
		if s.OnAdopt != nil {
			s.OnAdopt(t)
		}
		return true
	}
}

func (s *Service) notifyAdopted() {
	s.adoptedMu.Lock()
	defer s.adoptedMu.Unlock()
	close(s.adopted)
	s.adopted = make(chan struct{})
}

// nextAdoption returns a channel that is closed when the next configuration
// becomes active.
func (s *Service) nextAdoption() <-chan struct{} {
	s.adoptedMu.Lock()
	defer s.adoptedMu.Unlock()
	return s.adopted
}

// waitVersion waits until the active version is at least v, for up to d. It
// reports whether it is.
func (s *Service) waitVersion(ctx context.Context, v uint64, d time.Duration) bool {
	timeout := time.After(d)
	for {
		adopted := s.nextAdoption()
		if s.Version() >= v {
			return true
		}
		select {
		case <-adopted:
		case <-timeout:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// newBackoff returns a function that returns the delay after a number of failures
// in a row. It must not be called concurrently.
func newBackoff() func(failures int) time.Duration {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return func(failures int) time.Duration {
		return minBackoff/2 + retry.Backoff(rng, minBackoff, maxBackoff, failures)
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
