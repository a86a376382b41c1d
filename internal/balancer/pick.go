package balancer

import (
	"math/rand/v2"
	"time"
)

// probe returns a member that has had no call for probeInterval, or nil. Probes
// are limited to probeShare of the calls and minProbesPerSecond, with bursts of up
// to three. They update the estimate of a node that looks slow only because it has
// had no calls since.
func (s *candidateSet) probe(now time.Duration, q Query) *member {
	s.probeTokens = min(s.probeTokens+probeShare+minProbesPerSecond*(now-s.probeAt).Seconds(), 3)
	s.probeAt = max(now, s.probeAt)
	m := s.probeNext
	if m == nil || s.probeTokens < 1 || !allowed(m.level, q) || !m.eligible(now, q) {
		return nil
	}
	s.probeTokens--
	s.probeNext = nil
	return m
}

// eligible reports whether the call may be sent to the member.
func (m *member) eligible(now time.Duration, q Query) bool {
	if len(q.Exclude) > 0 && q.Exclude[m.candidate.NodeID] {
		return false
	}
	return m.node.thresholdNow(now, q.Long) <= q.Priority && !m.node.excluded(now)
}

// pick chooses a level and one of its members. If the level has no eligible
// member, it tries the levels farther away and then the nearer ones.
func (s *candidateSet) pick(now time.Duration, rnd *rand.Rand, q Query, choices int) *member {
	first := s.level(rnd, q)
	for i := first; i < levelCount; i++ {
		if !allowed(i, q) {
			break
		}
		if m := s.levels[i].pick(now, rnd, q, choices); m != nil {
			return s.preferFreeSlot(now, rnd, q, choices, m)
		}
	}
	for i := first - 1; i >= 0; i-- {
		if m := s.levels[i].pick(now, rnd, q, choices); m != nil {
			return m
		}
	}
	return nil
}

// freeSlotUtilization is the utilization below which a target in another
// availability zone takes a call that would wait for a slot in its own zone. The
// local zone must have at least that saturation.
const freeSlotUtilization = 0.8

// preferFreeSlot returns a member in another availability zone of the region
// that has a free slot, if m is in the local zone and has none. The network
// delay of about 1 ms is shorter than the wait for a slot.
func (s *candidateSet) preferFreeSlot(now time.Duration, rnd *rand.Rand, q Query, choices int, m *member) *member {
	if m.level != inZone || m.node.load(now) < m.concurrency() || s.levels[inZone].saturation() < freeSlotUtilization {
		return m
	}
	other := s.levels[inRegion].pick(now, rnd, q, choices)
	if other == nil || other.node.load(now) >= freeSlotUtilization*other.concurrency() {
		return m
	}
	return other
}

// level chooses the nearest level that has usable members and from which the
// call does not spill over. It goes on to the next level only if that has usable
// members.
func (s *candidateSet) level(rnd *rand.Rand, q Query) int {
	levelIndex := inZone
	for levelIndex < inOtherRegions && allowed(levelIndex+1, q) && len(s.levels[levelIndex+1].usable) > 0 {
		l := &s.levels[levelIndex]
		if len(l.usable) > 0 && (l.spill == 0 || rnd.Float64() >= l.spill) {
			break
		}
		levelIndex++
	}
	return levelIndex
}

// pick returns the member with the lowest score among up to choices random ones,
// or any eligible member if none of these is eligible, or nil.
func (l *level) pick(now time.Duration, rnd *rand.Rand, q Query, choices int) *member {
	n := len(l.usable)
	if n == 0 {
		return nil
	}
	var best *member
	bestScore := 0.0
	previous := -1
	for range min(choices, n) {
		i := rnd.IntN(n)
		if i == previous {
			i = (i + 1 + rnd.IntN(max(n-1, 1))) % n
		}
		previous = i
		m := l.usable[i]
		if !m.eligible(now, q) {
			continue
		}
		if score := m.score(now, l); best == nil || score < bestScore {
			best, bestScore = m, score
		}
	}
	if best != nil {
		return best
	}
	start := rnd.IntN(n)
	for k := range n {
		if m := l.usable[(start+k)%n]; m.eligible(now, q) {
			return m
		}
	}
	return nil
}

// score returns the square of the expected latency times the requests in flight
// relative to slots; lower is better. Without the square, a target five times
// slower still holds a fifth as many requests in flight as each of the others,
// and its share of the calls shows in p99 although they have spare capacity.
func (m *member) score(now time.Duration, l *level) float64 {
	n := m.node
	latency := n.latency(now)
	if latency == 0 {
		latency = max(l.meanLatency, 1)
	}
	if m.candidate.Cold || n.cold {
		latency *= coldFactor
	}
	load := 1 + n.load(now) + failureFactor*n.failureShare(now)*(1+l.meanLoad)
	return latency * latency * load / m.concurrency()
}
