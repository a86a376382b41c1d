package targethost

import (
	"math"
	"sync"
	"time"
)

// subCallFailureTimeConstant is the time constant of the counts of failures.
const subCallFailureTimeConstant = time.Second

// subCallFailures counts the recent failures of sub-calls whose parents are not
// known, by their cause. The zero value is empty. It is safe for concurrent use.
type subCallFailures struct {
	mu sync.Mutex
	// byOverload and others are the decayed counts, as of updated.
	byOverload, others float64
	updated            time.Duration
	// lastOverload is the time of the last refusal for lack of capacity.
	lastOverload time.Duration
}

func (f *subCallFailures) record(now time.Duration, overload bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.decay(now)
	if overload {
		f.byOverload++
		f.lastOverload = now
		return
	}
	f.others++
}

func (f *subCallFailures) decay(now time.Duration) {
	if now > f.updated {
		factor := math.Exp(-float64(now-f.updated) / float64(subCallFailureTimeConstant))
		f.byOverload, f.others, f.updated = f.byOverload*factor, f.others*factor, now
	}
}

// overload reports whether most sub-calls that failed lately were refused for lack of
// capacity, and one of them after a time.
func (f *subCallFailures) overload(now, after time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.decay(now)
	return f.lastOverload > after && f.byOverload > f.others
}
