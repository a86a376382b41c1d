// Package balancer chooses the node that a call is sent to. It derives the load
// of nodes from their responses rather than from periodic load reports, which
// lag.
//
// Pick compares three random nodes of the nearest usable level (availability
// zone, region, other regions) by the square of the expected latency times the
// requests in flight relative to slots. Every call must be reported with Started
// and Finished; Finished updates latency, failures, thresholds and load.
//
// The balancer does no I/O: time and randomness are passed in. It is not safe
// for concurrent use.
package balancer

import (
	"errors"
	"math/rand/v2"
	"time"
)

// Candidate is a node whose target offers the service.
type Candidate struct {
	NodeID string
	// Incarnation is different for each process that runs under the same ID.
	Incarnation uint64
	Region      string
	Zone        string
	Slots       int
	// Cold is set while the target warms up.
	Cold     bool
	Draining bool
}

// Query describes a call.
type Query struct {
	Region   string
	Zone     string
	Priority int
	// Long marks a call whose kind is declared long.
	Long bool
	// Exclude holds the nodes already tried for this call.
	Exclude map[string]bool
	// CrossRegionAllowed permits nodes in other regions.
	CrossRegionAllowed bool
}

// Load is the load that a node reported with a response.
type Load struct {
	InFlight int
	Limit    int
	Queued   int
	// Threshold is the lowest priority that the node admits.
	Threshold int
	// LongThreshold is the lowest priority that the node admits for long calls.
	LongThreshold int
	Draining      bool
	Cold          bool
}

// ThresholdFor returns the lowest priority that the node admits for long or for
// short calls. Threshold applies to both.
func (l *Load) ThresholdFor(long bool) int {
	if long {
		return max(l.Threshold, l.LongThreshold)
	}
	return l.Threshold
}

// Result is the outcome of a call.
type Result int

// Results.
const (
	// OK means that the target responded.
	OK Result = iota
	// Refused means that the node refused the call because of overload.
	Refused
	// Failed means that the node or its target failed after the call was sent.
	Failed
	// Abandoned means that the caller canceled the call or timed out. The elapsed
	// time is a lower bound of the latency and counts only if it exceeds the
	// expected latency.
	Abandoned
	// Unreachable means that no connection to the node could be established. The
	// node is excluded for a short time that doubles with each such result after
	// the previous exclusion has ended.
	Unreachable
)

// Errors of Pick.
var (
	// ErrNoCandidate means that there are no candidates, or that every candidate
	// is draining, unreachable or excluded by the query.
	ErrNoCandidate = errors.New("no node of the service is available")
	// ErrAllShedding means that every node that could get the call would refuse it
	// because of its priority.
	ErrAllShedding = errors.New("every node of the service sheds this priority")
)

// maxSets bounds the cached candidate sets. A deployment of the target size has
// 110 services.
const maxSets = 256

// Balancer tracks the state of other nodes as observed by this node.
type Balancer struct {
	nodes map[string]*nodeState
	sets  map[string]*candidateSet
	// choices is the number of random nodes that Pick compares.
	choices int
	// epoch changes when the state of a node changes so that the candidate sets
	// must be refreshed.
	epoch uint64
}

// New returns an empty balancer.
func New() *Balancer {
	return &Balancer{nodes: make(map[string]*nodeState), sets: make(map[string]*candidateSet), choices: 3}
}

// Pick chooses one of the candidates. The candidate set cached for a list is
// looked up by the first candidate and rebuilt when the list or the zone of the
// query differs, so callers should pass candidates in a stable order.
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
		return Candidate{}, s.noMemberError(now, q)
	}
	return m.candidate, nil
}

// AllShedding reports whether every node that the query may use is known to shed
// its priority, and there is at least one. Unlike Pick, it uses up no probe.
func (b *Balancer) AllShedding(now time.Duration, candidates []Candidate, q Query) bool {
	if len(candidates) == 0 {
		return false
	}
	s := b.set(candidates, q)
	s.refresh(now, b.epoch)
	return s.allShedding(q)
}

// set returns the candidate set of a list.
func (b *Balancer) set(candidates []Candidate, q Query) *candidateSet {
	key := candidates[0].NodeID
	s := b.sets[key]
	if s != nil && s.matches(candidates, q) {
		return s
	}
	if s == nil && len(b.sets) >= maxSets {
		clear(b.sets)
	}
	next := newCandidateSet(candidates, q, b.node)
	if s != nil {
		next.inheritState(s)
	}
	b.sets[key] = next
	return next
}

func (b *Balancer) node(id string) *nodeState {
	n := b.nodes[id]
	if n == nil {
		n = &nodeState{}
		b.nodes[id] = n
	}
	return n
}

// Started records that a call is sent to a node.
func (b *Balancer) Started(now time.Duration, nodeID string) {
	b.node(nodeID).started(now)
}

// Finished records the outcome of a call, its latency and the load that the node
// reported. latency is the time until the response header, because the length
// of a body does not depend on the state of the target. load is nil if the node
// did not respond. Calls to a node that Retain has removed are ignored.
func (b *Balancer) Finished(now time.Duration, nodeID string, latency time.Duration, r Result, load *Load) {
	n := b.nodes[nodeID]
	if n == nil {
		return
	}
	if n.finished(now, latency, r, load) {
		b.epoch++
	}
}

// LoadReported records the load that a node reported while a call is still in
// progress, for example with the header of a long response. The node then does
// not count as unresponsive.
func (b *Balancer) LoadReported(now time.Duration, nodeID string, load Load) {
	n := b.nodes[nodeID]
	if n == nil {
		return
	}
	n.unanswered = 0
	if n.recordLoad(now, &load) {
		b.epoch++
	}
}

// Retain removes the state of nodes for which keep returns false.
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
