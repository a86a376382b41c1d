// Package balancer chooses the node that gets a call. It learns the load of
// nodes from answers and not from load reports, which lag.
//
// Pick compares three random nodes of the nearest usable level (availability
// zone, region, other regions) by the square of the expected latency times requests
// in flight relative to slots. Report every call with Started and Finished; Finished
// teaches the balancer latency, failures, thresholds and load.
//
// The balancer is pure: time and randomness are passed in. It is not safe for
// concurrent use.
package balancer

import (
	"errors"
	"math/rand/v2"
	"time"
)

// Candidate is a node whose target offers the service.
type Candidate struct {
	NodeID string
	// Incarnation differs for every process that runs under the same id.
	Incarnation uint64
	Region      string
	Zone        string
	Slots       int
	Cold        bool
	Draining    bool
}

// Query describes a call.
type Query struct {
	Region   string
	Zone     string
	Priority int
	// Long marks a call of a kind that is declared long.
	Long bool
	// Exclude holds nodes already tried for this call.
	Exclude map[string]bool
	// RemoteAllowed permits nodes of other regions.
	RemoteAllowed bool
}

// Load is what a node said about itself with an answer.
type Load struct {
	InFlight int
	Limit    int
	Queued   int
	// Threshold is the lowest priority that the node admits.
	Threshold int
	// LongThreshold is the lowest priority of long work that the node admits.
	LongThreshold int
	Draining      bool
	Cold          bool
}

// ThresholdFor returns the lowest priority that the node admits, for long work or for
// short work. Threshold holds for both.
func (l *Load) ThresholdFor(long bool) int {
	if long {
		return max(l.Threshold, l.LongThreshold)
	}
	return l.Threshold
}

// Result is how a call ended.
type Result int

// Results.
const (
	// OK means that the target answered.
	OK Result = iota
	// Refused means that the node refused the call because of overload.
	Refused
	// Failed means that the node or its target failed after the call was sent.
	Failed
	// Abandoned means that the caller gave up. It counts as an answer that is at
	// least as late, and only if that is later than expected.
	Abandoned
	// Unreachable means that no connection to the node could be made. The node
	// is excluded for a short time that grows with each such result.
	Unreachable
)

// Errors of Pick.
var (
	ErrNoCandidate = errors.New("no node offers the service")
	// ErrAllShedding means that every node would refuse this priority.
	ErrAllShedding = errors.New("every node of the service sheds this priority")
)

// maxSets bounds the cached candidate lists: the target size has 110 services.
const maxSets = 256

// Balancer holds what one node knows of the others.
type Balancer struct {
	nodes map[string]*node
	sets  map[string]*set
	// choices is the number of random nodes that are compared.
	choices int
	// epoch changes when a node changes so that sets must be judged anew.
	epoch uint64
}

// New returns an empty balancer.
func New() *Balancer {
	return &Balancer{nodes: make(map[string]*node), sets: make(map[string]*set), choices: 3}
}

// Pick chooses among candidates. The index that it keeps for a list is found
// by the first candidate and rebuilt when the list differs, so callers should
// pass candidates in a stable order.
func (b *Balancer) Pick(now time.Duration, rnd *rand.Rand, candidates []Candidate, q Query) (Candidate, error) {
	if len(candidates) == 0 {
		return Candidate{}, ErrNoCandidate
	}
	s := b.set(candidates, q)
	s.refresh(now, b.epoch)
	if m := s.probe(now, q); m != nil {
		return m.candidate, nil
	}
	if s.allShedding(q) {
		if !s.shedProbe(now, rnd) {
			return Candidate{}, ErrAllShedding
		}
		q.Priority = maxPriority
	}
	m := s.pick(now, rnd, q, b.choices)
	if m == nil {
		return Candidate{}, s.refusal(now, q)
	}
	return m.candidate, nil
}

// AllShedding reports whether, as far as is known, every node that the query may
// use sheds its priority. It has no effect on later decisions.
func (b *Balancer) AllShedding(now time.Duration, candidates []Candidate, q Query) bool {
	if len(candidates) == 0 {
		return false
	}
	s := b.set(candidates, q)
	s.refresh(now, b.epoch)
	return s.allShedding(q)
}

// set returns the index of a candidate list.
func (b *Balancer) set(candidates []Candidate, q Query) *set {
	key := candidates[0].NodeID
	s := b.sets[key]
	if s != nil && s.matches(candidates, q) {
		return s
	}
	if s == nil && len(b.sets) >= maxSets {
		clear(b.sets)
	}
	next := newSet(candidates, q, b.node)
	if s != nil {
		next.inherit(s)
	}
	b.sets[key] = next
	return next
}

func (b *Balancer) node(id string) *node {
	n := b.nodes[id]
	if n == nil {
		n = &node{}
		b.nodes[id] = n
	}
	return n
}

// Started records that a call was sent to a node.
func (b *Balancer) Started(now time.Duration, nodeID string) {
	b.node(nodeID).started(now)
}

// Finished records how a call ended, how long it took, and what the node said
// of its load. latency is the time until the head of the answer, because the
// length of a body says nothing of the target. load is nil if nothing was
// heard. A node that was forgotten in the meantime is ignored.
func (b *Balancer) Finished(now time.Duration, nodeID string, latency time.Duration, r Result, load *Load) {
	n := b.nodes[nodeID]
	if n == nil {
		return
	}
	if n.finished(now, latency, r, load) {
		b.epoch++
	}
}

// LoadReported records what a node said of its load while a call goes on, such as at
// the head of a long answer. It keeps the node from looking silent.
func (b *Balancer) LoadReported(now time.Duration, nodeID string, load Load) {
	n := b.nodes[nodeID]
	if n == nil {
		return
	}
	n.silent = 0
	if n.learnLoad(now, &load) {
		b.epoch++
	}
}

// Retain drops the state of nodes for which keep returns false.
func (b *Balancer) Retain(keep func(nodeID string) bool) {
	before := len(b.nodes)
	for id := range b.nodes {
		if !keep(id) {
			delete(b.nodes, id)
		}
	}
	if len(b.nodes) == before {
		return
	}
	for _, s := range b.sets {
		s.stale = true
	}
}
