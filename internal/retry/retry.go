// Package retry bounds retries: an allowance for each request over its whole
// call chain, and a budget for each node.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// SplitRetries divides the declared total of retries between the first try, which
// uses its part anywhere in the chain, and repeats by the caller, which carry
// none. The sum never exceeds total.
func SplitRetries(total int) (internal, caller int) {
	caller = total / 2
	return total - caller, caller
}

// Allowance is the number of retries that one running request may still use.
// It is moved to sub-calls and back, never copied.
type Allowance struct {
	mu   sync.Mutex
	left int
}

// NewAllowance returns an allowance of n retries.
func NewAllowance(n int) *Allowance { return &Allowance{left: max(n, 0)} }

// Take uses one retry and reports whether there was one.
func (a *Allowance) Take() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.left == 0 {
		return false
	}
	a.left--
	return true
}

// MoveHalf takes half of what is left, rounded up, for a sub-call or for the
// node that a call is sent to. The rest stays for the sender, in case the link
// is lost.
func (a *Allowance) MoveHalf() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := (a.left + 1) / 2
	a.left -= n
	return n
}

// MoveAll takes all that is left.
func (a *Allowance) MoveAll() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := a.left
	a.left = 0
	return n
}

// Return gives back what a sub-call did not use. given is what was moved to
// it. A report above given is certainly wrong and nothing of it is believed. A
// peer that reports retries as unused which it has used cannot be detected.
// Call it at most once for each move.
func (a *Allowance) Return(given, unused int) {
	if unused <= 0 || unused > given {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.left += unused
}

// Left is the number of retries left.
func (a *Allowance) Left() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.left
}

// AdmitAttempt decides on a request from outside. total is the declared total of
// retries of its kind, attempt what the caller counted, and seen how often this
// node has seen the identity, this time included. ok is false when the request
// is refused with retry_limit. Only the first attempt carries an allowance, so
// that a caller that always counts 1 gets it once.
func AdmitAttempt(total, attempt, seen int) (allowance int, ok bool) {
	internal, caller := SplitRetries(max(total, 0))
	attempt = max(attempt, seen, 1)
	if attempt > 1+caller {
		return 0, false
	}
	if attempt > 1 {
		return 0, true
	}
	return internal, true
}

// Budget bounds the retries of one node to a share of its calls: in any span
// there are at most Max, plus Ratio for each call, plus PerSecond for each
// second. Time is the monotonic time since the start of the process.
type Budget struct {
	// Ratio of retries to calls. Default 0.1.
	Ratio float64
	// PerSecond is granted in any case. Default 1.
	PerSecond float64
	// Max bounds what is saved up. Default 100.
	Max float64

	mu     sync.Mutex
	tokens float64
	last   time.Duration
}

// NewBudget returns a budget with the defaults.
func NewBudget() *Budget { return &Budget{Ratio: 0.1, PerSecond: 1, Max: 100, tokens: 50} }

// RecordCall records a call.
func (b *Budget) RecordCall() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.Ratio, b.Max)
}

// Take uses one retry and reports whether the budget allows it.
func (b *Budget) Take(now time.Duration) bool { return b.TakeWithReserve(now, 0) }

// TakeWithReserve uses one retry if the given part of Max, between 0 and 1, is left
// afterwards. With a larger part for lower priorities, the many retries of
// those cannot use up the budget of the higher ones.
func (b *Budget) TakeWithReserve(now time.Duration, part float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now > b.last {
		// Callers read the clock before they wait for the lock, so time may
		// step back.
		b.tokens = min(b.tokens+b.PerSecond*(now-b.last).Seconds(), b.Max)
		b.last = now
	}
	if b.tokens < 1+part*b.Max {
		return false
	}
	b.tokens--
	return true
}

// Backoff is the wait before retry number n, which starts at 1: full jitter
// over base times 2 to the power of n-1, at most ceiling.
func Backoff(rnd *rand.Rand, base, ceiling time.Duration, n int) time.Duration {
	limit := base
	for i := 1; i < n && limit < ceiling; i++ {
		if limit > ceiling/2 {
			limit = ceiling
			break
		}
		limit *= 2
	}
	return time.Duration(rnd.Int64N(int64(max(min(limit, ceiling), 0)) + 1))
}
