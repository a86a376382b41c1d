package retry

import (
	"math"
	"sync"
	"time"
)

// DecayingBudget bounds repeats to a part of the recent calls: each call earns Ratio of
// a repeat, and what is earned is forgotten with the time constant Memory. In
// any window of four times Memory there are at most Ratio times the calls of
// the window and a quarter of that for the calls before it. Time is the
// monotonic time since the start of the process.
type DecayingBudget struct {
	Ratio        float64
	TimeConstant time.Duration

	mu     sync.Mutex
	tokens float64
	last   time.Duration
}

// forget brings the state to now. Callers read the clock before they wait for
// the lock, so time may step back.
func (s *DecayingBudget) forget(now time.Duration) {
	if now > s.last {
		s.tokens *= math.Exp(-float64(now-s.last) / float64(s.TimeConstant))
		s.last = now
	}
}

// RecordCall records a call.
func (s *DecayingBudget) RecordCall(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(now)
	s.tokens += s.Ratio
}

// Take uses one repeat and reports whether there was one.
func (s *DecayingBudget) Take(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(now)
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// Charge uses one repeat that happens in any case. The share owes it if there is
// none left.
func (s *DecayingBudget) Charge(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(now)
	s.tokens--
}

// Overdrawn reports whether more repeats were charged than were earned.
func (s *DecayingBudget) Overdrawn(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(now)
	return s.tokens < 0
}
