package retry

import (
	"math"
	"sync"
	"time"
)

// DecayingBudget bounds retries to a share of the recent calls. Each call adds
// Ratio tokens, a retry takes one, and the balance decays exponentially with
// TimeConstant. At a steady call rate, any window of four time constants has at
// most Ratio retries per call in the window, plus a quarter of that for the calls
// before it. Retries sent with Charge are not bounded, but count against later
// ones. Time is the monotonic time since the start of the process.
type DecayingBudget struct {
	Ratio        float64
	TimeConstant time.Duration

	mu     sync.Mutex
	tokens float64
	last   time.Duration
}

// decay ages the balance to now. Callers read the clock before they acquire the
// lock, so now may lie before the last update.
func (b *DecayingBudget) decay(now time.Duration) {
	if now > b.last {
		b.tokens *= math.Exp(-float64(now-b.last) / float64(b.TimeConstant))
		b.last = now
	}
}

// RecordCall adds the tokens of one call.
func (b *DecayingBudget) RecordCall(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decay(now)
	b.tokens += b.Ratio
}

// Take consumes one token and reports whether one was available.
func (b *DecayingBudget) Take(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decay(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Charge consumes a token for a retry that is sent regardless of the budget.
// The balance may become negative.
func (b *DecayingBudget) Charge(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decay(now)
	b.tokens--
}

// Overdrawn reports whether the balance is negative.
func (b *DecayingBudget) Overdrawn(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decay(now)
	return b.tokens < 0
}
