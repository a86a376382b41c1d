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
	"sync/atomic"
	"time"
)

const (
	// early and late bound the difference between the deadline of a call and
	// that of its cause. Deadlines in whole ms make it earlier, the way of
	// request and call later. On Campanario scale-1, 98% of the calls whose
	// cause their ids confirm were between 0.9 ms early and 1.7 ms late, all
	// between 2.8 ms early and 3.9 ms late; wider bounds add requests of callers
	// that happen to expire then.
	early = 3 * time.Millisecond
	late  = 5 * time.Millisecond
)

// Chain is what a call inherits from the request of the caller at the start of
// its call chain.
type Chain struct {
	// ParentID is the id of the request at the target that made the call; empty
	// for a request that begins a chain.
	ParentID string
	// Start is the uptime of this process at which that request arrived.
	Start time.Duration
	// Rank is the urgency of its route; 0 is the most urgent.
	Rank int
	// Depth is the number of calls between it and the call; 0 is the request
	// itself.
	Depth int
	// Retried is set if a request of the chain above the call was sent to a
	// target before.
	Retried bool
}

// Request is a request at the target.
type Request struct {
	id       string
	route    string
	chain    Chain
	deadline time.Duration
	seq      uint64
	overload atomic.Bool
}

// ChildChain is the chain of a call that the request makes.
func (r *Request) ChildChain() Chain {
	return Chain{ParentID: r.id, Start: r.chain.Start, Rank: r.chain.Rank, Depth: r.chain.Depth + 1, Retried: r.chain.Retried}
}

// MarkOverloaded notes that a call of the request, or one further down, was
// refused for want of room.
func (r *Request) MarkOverloaded() { r.overload.Store(true) }

// Overloaded reports whether a call was refused for want of room.
func (r *Request) Overloaded() bool { return r.overload.Load() }

func (r *Request) compare(o *Request) int {
	return cmp.Or(cmp.Compare(r.deadline, o.deadline), cmp.Compare(r.seq, o.seq))
}

// InFlight holds the requests at one target. The zero value is empty. It is
// safe for concurrent use.
type InFlight struct {
	mu sync.Mutex
	// requests is ordered by deadline.
	requests []*Request
	seq      uint64
}

// Add notes that a request of a route was sent to the target, where it expires
// at deadline.
func (r *InFlight) Add(id, route string, deadline time.Duration, c Chain) *Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	q := &Request{id: id, route: route, chain: c, deadline: deadline, seq: r.seq}
	i, _ := slices.BinarySearchFunc(r.requests, q, (*Request).compare)
	r.requests = slices.Insert(r.requests, i, q)
	return q
}

// Remove notes that a request has left the target.
func (r *InFlight) Remove(q *Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i, found := slices.BinarySearchFunc(r.requests, q, (*Request).compare); found {
		r.requests = slices.Delete(r.requests, i, i+1)
	}
}

// FindParent returns the request whose deadline is nearest to that of a call, or nil
// if none may have caused it. Requests of the call's own route are passed over:
// callers that give every request the same time send some of them together, and
// a route that calls itself would never end.
func (r *InFlight) FindParent(route string, deadline time.Duration) *Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	first, _ := slices.BinarySearchFunc(r.requests, deadline-late, func(q *Request, d time.Duration) int { return cmp.Compare(q.deadline, d) })
	var best *Request
	for _, q := range r.requests[first:] {
		if q.deadline > deadline+early {
			break
		}
		if q.route != route && (best == nil || (deadline-q.deadline).Abs() < (deadline-best.deadline).Abs()) {
			best = q
		}
	}
	return best
}
