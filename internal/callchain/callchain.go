// Package callchain finds the parent request of a sub-call. A target makes
// sub-calls while it processes a request, and nothing in a sub-call identifies
// that request. A sub-call has the same deadline as its parent, however, and
// the local node sent the target every request together with its deadline, so
// the deadline of a sub-call identifies its parent. This holds on the users'
// platform; with the product's own interface, the header Parsley-Context
// identifies the parent (package executor).
//
// The package is pure: time is passed in as the monotonic time since the start
// of the process.
package callchain

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxEarly and maxLate bound the difference between the deadline of a
	// sub-call and that of its parent. Rounding deadlines to whole ms makes it
	// earlier, the transit time of request and sub-call makes it later. On
	// Campanario scale-1, among sub-calls whose parent is confirmed by IDs, 98%
	// were between 0.9 ms early and 1.7 ms late, and all between 2.8 ms early
	// and 3.9 ms late. Wider bounds match requests of callers that happen to
	// have a similar deadline.
	maxEarly = 3 * time.Millisecond
	maxLate  = 5 * time.Millisecond
)

// Chain is what a sub-call inherits from the root request of its call chain,
// the one that a caller sent.
type Chain struct {
	// ParentID is the ID of the request that made the sub-call, or empty for a
	// root request.
	ParentID string
	// Start is the uptime of this process at which the root request arrived.
	Start time.Duration
	// Rank is the urgency of the root request's route; 0 is the most urgent.
	Rank int
	// Depth is the number of hops from the root request; 0 is the root request
	// itself.
	Depth int
	// Retried is set if the request, or one further up the chain, is a retry after
	// an attempt that had reached a target.
	Retried bool
}

// Request is a request in flight at the target.
type Request struct {
	id         string
	route      string
	chain      Chain
	deadline   time.Duration
	seq        uint64
	overloaded atomic.Bool
}

// ChildChain returns the chain of a sub-call that the request makes.
func (r *Request) ChildChain() Chain {
	return Chain{ParentID: r.id, Start: r.chain.Start, Rank: r.chain.Rank, Depth: r.chain.Depth + 1, Retried: r.chain.Retried}
}

// MarkOverloaded records that a sub-call of the request, or one further
// downstream, was refused for lack of capacity.
func (r *Request) MarkOverloaded() { r.overloaded.Store(true) }

// Overloaded reports whether MarkOverloaded was called.
func (r *Request) Overloaded() bool { return r.overloaded.Load() }

func (r *Request) compare(o *Request) int {
	return cmp.Or(cmp.Compare(r.deadline, o.deadline), cmp.Compare(r.seq, o.seq))
}

// InFlight holds the requests in flight at one target. The zero value is empty.
// It is safe for concurrent use.
type InFlight struct {
	mu sync.Mutex
	// requests is ordered by deadline.
	requests []*Request
	seq      uint64
}

// Add records a request that was sent to the target with a deadline.
func (r *InFlight) Add(id, route string, deadline time.Duration, c Chain) *Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	q := &Request{id: id, route: route, chain: c, deadline: deadline, seq: r.seq}
	i, _ := slices.BinarySearchFunc(r.requests, q, (*Request).compare)
	r.requests = slices.Insert(r.requests, i, q)
	return q
}

// Remove removes a request that is no longer in flight. It has no effect if the
// request was already removed.
func (r *InFlight) Remove(q *Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i, found := slices.BinarySearchFunc(r.requests, q, (*Request).compare); found {
		r.requests = slices.Delete(r.requests, i, i+1)
	}
}

// FindParent returns the request whose deadline is nearest to that of a
// sub-call and within maxEarly and maxLate of it, or nil if there is none.
// Requests of the sub-call's own route are skipped: callers that use one
// timeout for all requests send some of them at the same time, and a route
// that calls itself would recurse without end.
func (r *InFlight) FindParent(route string, deadline time.Duration) *Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best *Request
	for _, q := range r.endingFrom(deadline) {
		if q.deadline > deadline+maxEarly {
			break
		}
		if q.route != route && (best == nil || (deadline-q.deadline).Abs() < (deadline-best.deadline).Abs()) {
			best = q
		}
	}
	return best
}

// endingFrom returns the requests whose deadline is not earlier than that of a
// sub-call. r.mu must be held.
func (r *InFlight) endingFrom(deadline time.Duration) []*Request {
	first, _ := slices.BinarySearchFunc(r.requests, deadline-maxLate, func(q *Request, d time.Duration) int { return cmp.Compare(q.deadline, d) })
	return r.requests[first:]
}

// PossibleParents reports whether any request may have made a sub-call that
// FindParent did not assign, as one with a time limit of its own, and the share of
// such requests that are retries. A sub-call expires with its parent at the latest.
func (r *InFlight) PossibleParents(route string, deadline time.Duration) (possible bool, retried float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	all, retries := 0, 0
	for _, q := range r.endingFrom(deadline) {
		if q.route == route {
			continue
		}
		all++
		if q.chain.Retried {
			retries++
		}
	}
	if all == 0 {
		return false, 0
	}
	return true, float64(retries) / float64(all)
}
