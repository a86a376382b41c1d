// Package callchain finds the request that caused a call. A target makes calls
// of its own while it runs a request, and nothing in such a call names that
// request. But a call expires together with the request that caused it, and
// the node beside the target sent every request there with its deadline, so
// that the deadline of a call tells its cause.
//
// The package is pure: time is passed in as the monotonic time since the start
// of the process.
package callchain

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// early and late bound the difference between the deadline of a call and
	// that of its cause. A target counts from the arrival of a request, so its
	// calls seem to expire later by the time that request and call were on
	// their way, which is under 2 ms on an idle VM and tens of ms on a busy one.
	// Deadlines in whole ms make it earlier by up to 1 ms on each way.
	early = 3 * time.Millisecond
	late  = 40 * time.Millisecond
)

// Chain is what a call inherits from the request of the caller at the start of
// its call chain.
type Chain struct {
	// Begin is the uptime of this process at which that request arrived.
	Begin time.Duration
	// Rank is the urgency of its route; 0 is the most urgent.
	Rank int
	// Depth is the number of calls between it and the call; 0 is the request
	// itself.
	Depth int
}

// Running holds the requests at one target. The zero value is empty. It is
// safe for concurrent use.
type Running struct {
	mu sync.Mutex
	// requests is ordered by deadline.
	requests []entry
	next     uint64
}

type entry struct {
	deadline time.Duration
	id       uint64
	chain    Chain
}

func (e entry) compare(o entry) int {
	return cmp.Or(cmp.Compare(e.deadline, o.deadline), cmp.Compare(e.id, o.id))
}

// Add notes that a request was sent to the target, where it expires at
// deadline. The returned function removes it.
func (r *Running) Add(deadline time.Duration, c Chain) (remove func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	e := entry{deadline: deadline, id: r.next, chain: c}
	i, _ := slices.BinarySearchFunc(r.requests, e, entry.compare)
	r.requests = slices.Insert(r.requests, i, e)
	return func() { r.remove(e) }
}

func (r *Running) remove(e entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i, found := slices.BinarySearchFunc(r.requests, e, entry.compare); found {
		r.requests = slices.Delete(r.requests, i, i+1)
	}
}

// Cause returns the chain of the request whose deadline is nearest to that of
// a call, if there is one that may have caused it.
func (r *Running) Cause(deadline time.Duration) (Chain, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i, _ := slices.BinarySearchFunc(r.requests, entry{deadline: deadline}, entry.compare)
	best, found := entry{}, false
	distance := time.Duration(0)
	for _, j := range [...]int{i - 1, i} {
		if j < 0 || j >= len(r.requests) {
			continue
		}
		e := r.requests[j]
		d := deadline - e.deadline
		if d < -early || d > late {
			continue
		}
		if !found || d.Abs() < distance {
			best, distance, found = e, d.Abs(), true
		}
	}
	return best.chain, found
}
