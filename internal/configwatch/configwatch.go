// Package configwatch keeps the latest configuration of the mesh active on a
// node. The active version never decreases during the life of the process.
//
// Only a few nodes of each availability zone, its readers, read configurations
// from the platform's store, so that neither the number of copies that cross the
// links between regions nor the calls of the store grow with the number of nodes.
// The other nodes, the followers, wait at a reader of their zone for the next
// configuration. A reader that is out of contact with the store tells them so at
// once, and a follower that finds no reader in contact reads the store itself.
// Besides, nodes fetch versions that their peers report.
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
	// upper bound doubles from minBackoff to maxBackoff, or to maxStandInBackoff
	// for a follower, whose leaders call the store more often.
	minBackoff        = 100 * time.Millisecond
	maxBackoff        = time.Second
	maxStandInBackoff = 3 * time.Second
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
	// standIns counts the times that a follower read the store because no leader
	// was in contact with it.
	standIns = metrics.NewCounter(`parsley_mesh_config_stand_ins_total`)
	// repeatedCalls counts calls of the store or of a leader that were dead.
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

// Source supplies configurations.
type Source interface {
	// ReadConfig returns the current configuration.
	ReadConfig(ctx context.Context) (Update, error)
	// WaitConfig returns the next configuration after a position, or no table if
	// there is none within wait. The error matches ErrHistoryGone if the position
	// is too old.
	WaitConfig(ctx context.Context, after Position, wait time.Duration) (Update, error)
	// Decode decodes the source of a table received from another node.
	Decode(data []byte) (*routetable.Table, error)
}

// Service watches the source for configurations.
type Service struct {
	kernel.Base
	Source Source
	Log    eventlog.Log
	// Leaders returns the addresses of the nodes that read configurations from the
	// store in place of this one, in the order in which it follows them. A node
	// without leaders is a reader. Nil means that there are none.
	Leaders func() []string
	// SettleTime is the time from the start in which the node does not choose its
	// role, as it may know only a part of its peers, and in which it expects its
	// first configuration from one of them. 0 means that it has none.
	SettleTime time.Duration
	// Readers returns the addresses of other readers, in the order in which they
	// are to be asked for a reported version. Nil means that there are none.
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
	contact   contact
	// callBegan is the uptime at which the watch began its current call of the
	// source or of a leader.
	callBegan atomic.Int64
	// received is the highest version that the watch has received.
	received     atomic.Uint64
	peerClient   *http.Client
	leaderClient *http.Client
	workers      [2]kernel.Worker
}

func (s *Service) Provision(*kernel.Kernel) error {
	dialer := &net.Dialer{Timeout: peerDialTimeout}
	s.peerClient = &http.Client{Timeout: peerFetchTimeout, Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext, MaxResponseHeaderBytes: maxHeadBytes}}
	s.leaderClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute, DialContext: newLeaderDialer().DialContext, MaxResponseHeaderBytes: maxHeadBytes}}
	s.adopted = make(chan struct{})
	s.contact.lost = make(chan struct{})
	s.reports.changed = make(chan struct{}, 1)
	return nil
}

// Start starts watching the source.
func (s *Service) Start(context.Context) error {
	for i, run := range []func(context.Context){s.watch, s.fetchReported} {
		s.workers[i].Start(run)
	}
	return nil
}

// Stop stops watching and waits until the watch has ended.
func (s *Service) Stop(context.Context) error {
	for i := range s.workers {
		s.workers[i].Stop()
	}
	s.leaderClient.CloseIdleConnections()
	return nil
}

func (s *Service) leaders() []string {
	if s.Leaders == nil {
		return nil
	}
	return s.Leaders()
}

func (s *Service) isReader() bool { return len(s.leaders()) == 0 }

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
			Bool("reader", s.isReader()).Dur("call", now-time.Duration(s.callBegan.Load()))
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
// in a row, whose upper bound doubles up to limit. It must not be called
// concurrently.
func newBackoff(limit time.Duration) func(failures int) time.Duration {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return func(failures int) time.Duration {
		return minBackoff/2 + retry.Backoff(rng, minBackoff, limit, failures)
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
