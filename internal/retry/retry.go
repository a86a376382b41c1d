// Package retry limits retries: an Allowance per request across its whole call
// chain, and the budgets Budget and DecayingBudget per node. AttemptCounter
// recognizes retries by callers.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// SplitRetries divides the declared total of retries between those inside the
// call chain, which only the first attempt may use, and those sent by the
// caller, which carry no allowance. The two add up to total.
func SplitRetries(total int) (internal, caller int) {
	caller = total / 2
	return total - caller, caller
}

// Allowance is the number of retries that a request in progress may still use.
// Retries are moved to sub-calls and back, never copied.
type Allowance struct {
	mu   sync.Mutex
	left int
}

// NewAllowance returns an allowance of n retries.
func NewAllowance(n int) *Allowance { return &Allowance{left: max(n, 0)} }

// Take consumes one retry and reports whether one was available.
func (a *Allowance) Take() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.left == 0 {
		return false
	}
	a.left--
	return true
}

// MoveHalf removes half of the remaining retries, rounded up, for a sub-call or
// for the node that a call is sent to. The sender keeps the other half in case
// the link is lost.
func (a *Allowance) MoveHalf() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := (a.left + 1) / 2
	a.left -= n
	return n
}

// MoveAll removes all remaining retries and returns their number.
func (a *Allowance) MoveAll() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := a.left
	a.left = 0
	return n
}

// Return adds back the retries that a sub-call did not use. given is the number
// that was moved to it. A report above given is invalid and is ignored as a
// whole. A peer that reports used retries as unused cannot be detected. Return
// must be called at most once per move.
func (a *Allowance) Return(given, unused int) {
	if unused <= 0 || unused > given {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.left += unused
}

// Left returns the number of remaining retries.
func (a *Allowance) Left() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.left
}

// AdmitAttempt decides on an attempt that arrives from outside the mesh. total
// is the declared total of retries for the request kind, attempt the number
// that the caller sent, and recorded the number of attempts that this node has
// counted, including this one. ok is false if the attempt is refused with
// retry_limit. Only the first attempt carries an allowance; recorded keeps a
// caller that always sends attempt 1 from getting it more than once.
func AdmitAttempt(total, attempt, recorded int) (allowance int, ok bool) {
	internal, caller := SplitRetries(max(total, 0))
	attempt = max(attempt, recorded, 1)
	if attempt > 1+caller {
		return 0, false
	}
	if attempt > 1 {
		return 0, true
	}
	return internal, true
}

// Budget bounds the retries of one node to a share of its calls with a token
// bucket: any time window has at most Max retries, plus Ratio per call, plus
// PerSecond per second. Time is the monotonic time since the start of the
// process.
type Budget struct {
	// Ratio is the number of tokens added per call; 0.1 in NewBudget.
	Ratio float64
	// PerSecond is the number of tokens added per second, regardless of calls; 1
	// in NewBudget.
	PerSecond float64
	// Max is the capacity of the bucket; 100 in NewBudget.
	Max float64

	mu     sync.Mutex
	tokens float64
	last   time.Duration
}

// NewBudget returns a half-full budget with the default limits.
func NewBudget() *Budget { return &Budget{Ratio: 0.1, PerSecond: 1, Max: 100, tokens: 50} }

// RecordCall adds the tokens of one call.
func (b *Budget) RecordCall() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.Ratio, b.Max)
}

// Take consumes one token and reports whether one was available.
func (b *Budget) Take(now time.Duration) bool { return b.TakeWithReserve(now, 0) }

// TakeWithReserve consumes one token if at least the fraction reserve of Max,
// between 0 and 1, remains afterwards. A larger reserve for lower priorities
// keeps their retries from exhausting the budget of the higher ones.
func (b *Budget) TakeWithReserve(now time.Duration, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	// now may be before b.last, because callers read the clock before they
	// acquire the lock; then no tokens are added.
	if now > b.last {
		b.tokens = min(b.tokens+b.PerSecond*(now-b.last).Seconds(), b.Max)
		b.last = now
	}
	if b.tokens < 1+reserve*b.Max {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns the delay before retry n, counted from 1: exponential backoff
// with full jitter, uniform between 0 and min(base*2^(n-1), ceiling).
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
