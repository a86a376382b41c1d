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

	mu sync.Mutex
	// earned is the balance that there would be without retries.
	tokens, earned float64
	last           time.Duration
}

// decay ages the balance to now. Callers read the clock before they acquire the
// lock, so now may lie before the last update.
func (b *DecayingBudget) decay(now time.Duration) {
	if now > b.last {
		factor := math.Exp(-float64(now-b.last) / float64(b.TimeConstant))
		b.tokens, b.earned = b.tokens*factor, b.earned*factor
		b.last = now
	}
}

// RecordCall adds the tokens of one call.
func (b *DecayingBudget) RecordCall(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decay(now)
	b.tokens, b.earned = b.tokens+b.Ratio, b.earned+b.Ratio
}

// Take consumes one token and reports whether one was available.
func (b *DecayingBudget) Take(now time.Duration) bool { return b.TakeWithReserve(now, 0) }

// TakeWithReserve consumes one token if it is available and at least the fraction
// reserve, between 0 and 1, of the balance that there would be without retries
// remains afterwards.
func (b *DecayingBudget) TakeWithReserve(now time.Duration, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decay(now)
	if b.tokens < 1+reserve*b.earned {
		return false
	}
	b.tokens--
	return true
}

// Charge consumes tokens for retries that are sent regardless of the budget. The
// balance may become negative.
func (b *DecayingBudget) Charge(now time.Duration, tokens float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decay(now)
	b.tokens -= tokens
}

// Overdrawn reports whether the balance is negative.
func (b *DecayingBudget) Overdrawn(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decay(now)
	return b.tokens < 0
}
