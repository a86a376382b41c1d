// Package confwatch keeps the newest configuration of the mesh in force. It
// reads it from the platform's store and waits there for the next one. The
// version in force never goes back while the process lives.
package confwatch

import (
	"context"
	"errors"
	"math/rand/v2"
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
)

// ErrHistoryGone means that the changes after a position are not kept any
// more; read the present state instead.
var ErrHistoryGone = errors.New("the store has dropped its history; read the present state")

var (
	version  = metrics.NewGauge(`parsley_mesh_config_version`, nil)
	failures = metrics.NewCounter(`parsley_mesh_config_read_errors_total`)
	rejected = metrics.NewCounter(`parsley_mesh_config_rejected_total`)
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
	nudge   chan struct{}
	duty    kernel.Duty
	rnd     *rand.Rand
}

// Provision prepares the watch.
func (s *Service) Provision(*kernel.Kernel) error {
	s.nudge = make(chan struct{}, 1)
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

// Hear notes that a peer has a version. A newer one is read at once.
func (s *Service) Hear(v uint64) {
	if v <= s.Version() {
		return
	}
	select {
	case s.nudge <- struct{}{}:
	default:
	}
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
		s.Log.Belief.Info().Str("event", "config").Uint64("version", t.Version).Uint64("before", before).Str("from", origin).
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
				s.Log.Belief.Info().Str("event", "dependency-regained").Str("dependency", "store").Int("failures", failed).Msg("configuration can be read again")
			}
			known, at, failed = true, next, 0
			if t != nil {
				s.Adopt(t, "store")
			}
			continue
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryGone):
			s.Log.Belief.Info().Err(err).Str("event", "history-gone").Uint64("position", uint64(at)).Msg("reading the whole configuration")
			known = false
			continue
		case errors.Is(err, errNudged):
			known = false
			continue
		}
		failures.Inc()
		if failed++; failed == 1 {
			s.Log.Belief.Warn().Err(err).Str("event", "dependency-lost").Str("dependency", "store").Uint64("version", s.Version()).Dur("age", s.Age()).Msg("configuration cannot be read")
		}
		known = false
		select {
		case <-ctx.Done():
		case <-time.After(minBackoff/2 + retry.Backoff(s.rnd, minBackoff, maxBackoff, failed)):
		}
	}
}

var errNudged = errors.New("a peer has a newer version")

// step reads the present configuration or waits for the next one. A wait is
// cut short when a peer has a newer version.
func (s *Service) step(ctx context.Context, known bool, at Position) (*routetable.Table, Position, error) {
	if !known {
		return s.Source.Read(ctx)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watched := make(chan struct{})
	defer close(watched)
	go func() {
		select {
		case <-s.nudge:
			cancel(errNudged)
		case <-watched:
		}
	}()
	t, next, err := s.Source.Wait(ctx, at, waitTime)
	if err != nil && errors.Is(context.Cause(ctx), errNudged) {
		return nil, 0, errNudged
	}
	return t, next, err
}

// Reject logs a configuration that cannot be used. The one in force stays.
func (s *Service) Reject(err error) {
	rejected.Inc()
	s.Log.Belief.Error().Err(err).Str("event", "config-rejected").Uint64("in_force", s.Version()).Msg("configuration is unusable")
}
