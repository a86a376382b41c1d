package balancer

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxPriority is the highest priority of a kind.
	maxPriority = 10
	// refreshInterval is the time for which the summary of a candidate set is
	// reused, so that the cost of scanning does not grow with the call rate.
	refreshInterval = 10 * time.Millisecond
	// Calls spill over to the next level above spillUtilization of the slots and
	// return below returnUtilization. The gap prevents oscillation.
	spillUtilization  = 0.9
	returnUtilization = 0.7
	// A level counts as saturated if each of its targets has failed or refused
	// more than saturatedFailureShare of its recent calls.
	saturatedFailureShare = 0.05
	// slowFactor is the ratio of the latency to the baseline above which a level
	// counts as saturated, because each call occupies a slot that much longer. All
	// its targets must be that slow.
	slowFactor = 2.5
	// probeInterval is the time without calls after which a node is probed. It
	// allows three probes per second and node.
	probeInterval = 300 * time.Millisecond
	// probeShare bounds the share of calls that are probes, so that probes of slow
	// nodes do not affect p99. Callers with few calls may send minProbesPerSecond
	// in addition, or they would find out after many seconds that a node has
	// recovered.
	probeShare         = 0.01
	minProbesPerSecond = 0.5
	// While every node sheds the priority of calls, shedShare of them are sent as
	// probes, but at most shedPerSecond per second.
	shedShare     = 0.03
	shedPerSecond = 10.0
	// maxEstimateAge is the age from which on the latency estimate of a node is
	// left out of the summary of its level.
	maxEstimateAge = 10 * time.Second
	// coldFactor multiplies the expected latency of a cold target.
	coldFactor = 3.0
	// failureFactor is the load, as a multiple of the mean load plus one, that is
	// added to a node that fails every call. Without it, fast failures attract
	// calls, because they leave few requests in flight.
	failureFactor = 10.0
)

// Levels of proximity, nearest first.
const (
	inZone = iota
	inRegion
	inOtherRegions
	levelCount
)

// member is a candidate with the state of its node.
type member struct {
	candidate Candidate
	node      *nodeState
	level     int
}

// level is the group of members at the same proximity.
type level struct {
	members []member
	// usable holds the members that were neither draining nor excluded at the last
	// refresh.
	usable []*member
	// spill is the share of calls that spills over to the next level.
	spill float64
	// load and slots are the sums over the usable members. The load of a member
	// counts up to twice its slots.
	load, slots float64
	// slowness is the lowest ratio of latency to baseline among the usable
	// members with a recent estimate, or 0 if there is none.
	slowness float64
	// failures is the lowest share of failed or refused calls among the usable
	// members.
	failures float64
	// minThreshold and minLongThreshold are the lowest priorities of short and of
	// long calls that any usable member admits.
	minThreshold     int
	minLongThreshold int
	meanLoad         float64
	meanLatency      float64
}

// candidateSet groups one list of candidates by level as seen from one zone.
type candidateSet struct {
	candidates   []Candidate
	region, zone string
	levels       [levelCount]level
	refreshed    time.Duration
	epoch        uint64
	valid        bool
	// stale is set when Retain removed a node.
	stale bool

	// probeNext is the member to probe next, or nil. probeTokens is the token
	// bucket for such probes, as of probeAt.
	probeNext   *member
	probeTokens float64
	probeAt     time.Duration
	// shedTokens is the token bucket for probes while every node sheds, as of
	// shedAt.
	shedTokens float64
	shedAt     time.Duration
}

func newCandidateSet(candidates []Candidate, q Query, state func(string) *nodeState) *candidateSet {
	s := &candidateSet{candidates: slices.Clone(candidates), region: q.Region, zone: q.Zone, probeTokens: 1, shedTokens: 1}
	for _, c := range candidates {
		levelIndex := inOtherRegions
		switch {
		case c.Region == q.Region && c.Zone == q.Zone:
			levelIndex = inZone
		case c.Region == q.Region:
			levelIndex = inRegion
		}
		l := &s.levels[levelIndex]
		n := state(c.NodeID)
		n.setIncarnation(c.Incarnation)
		l.members = append(l.members, member{c, n, levelIndex})
	}
	for i := range s.levels {
		s.levels[i].usable = make([]*member, 0, len(s.levels[i].members))
	}
	return s
}

func (s *candidateSet) matches(candidates []Candidate, q Query) bool {
	return !s.stale && s.region == q.Region && s.zone == q.Zone && slices.Equal(s.candidates, candidates)
}

// inheritState takes over the spill and probe state of old when the list of
// candidates changes.
func (s *candidateSet) inheritState(old *candidateSet) {
	for i := range s.levels {
		s.levels[i].spill = old.levels[i].spill
	}
	s.refreshed, s.shedAt, s.probeAt = old.refreshed, old.shedAt, old.probeAt
	s.probeTokens, s.shedTokens = old.probeTokens, old.shedTokens
}

// refresh summarizes the levels again if the summary is older than
// refreshInterval or a node changed.
func (s *candidateSet) refresh(now time.Duration, epoch uint64) {
	elapsed := now - s.refreshed
	if s.valid && elapsed < refreshInterval && epoch == s.epoch {
		return
	}
	s.probeNext = nil
	active := true
	for i := range s.levels {
		l := &s.levels[i]
		s.summarize(now, l, active)
		active = l.spill > 0 || len(l.usable) == 0
	}
	if !s.valid || elapsed >= refreshInterval {
		s.adjustSpill()
		s.refreshed = now
	}
	s.valid, s.epoch = true, epoch
}

// summarize updates the usable members and the sums of a level. If calls may
// reach the level (active), it sets probeNext to the member that has had no call
// for longest, if that is more than probeInterval.
func (s *candidateSet) summarize(now time.Duration, l *level, active bool) {
	*l = level{members: l.members, usable: l.usable[:0], spill: l.spill, minThreshold: maxPriority + 1, minLongThreshold: maxPriority + 1}
	known := 0
	for i := range l.members {
		m := &l.members[i]
		n := m.node
		if m.candidate.Draining || n.drainingNow(now) || n.excluded(now) {
			continue
		}
		l.usable = append(l.usable, m)
		slots := m.concurrency()
		l.slots += slots
		l.load += min(n.load(now), 2*slots)
		threshold, longThreshold := n.thresholdsNow(now)
		l.minThreshold = min(l.minThreshold, threshold)
		l.minLongThreshold = min(l.minLongThreshold, longThreshold)
		if f := n.failureShare(now); len(l.usable) == 1 || f < l.failures {
			l.failures = f
		}
		if n.baseline > 0 && now-n.lastSample < maxEstimateAge {
			lat := n.latency(now)
			known++
			l.meanLatency += lat
			if slow := lat / n.baseline; known == 1 || slow < l.slowness {
				l.slowness = slow
			}
		}
		if active && now-n.lastPick > probeInterval && (s.probeNext == nil || n.lastPick < s.probeNext.node.lastPick) {
			s.probeNext = m
		}
	}
	if known > 0 {
		l.meanLatency /= float64(known)
	}
	if len(l.usable) > 0 {
		l.meanLoad = l.load / float64(len(l.usable))
	}
}

// concurrency returns the number of requests that the node can process at once:
// the lower of its declared slots and its reported limit.
func (m *member) concurrency() float64 {
	slots := max(m.candidate.Slots, 1)
	if m.node.limit > 0 {
		slots = min(slots, m.node.limit)
	}
	return float64(slots)
}

// pressure returns the saturation of the level or its slowness relative to
// slowFactor, whichever is higher, and 2 if no member is usable. Above 1, calls
// spill over.
func (l *level) pressure() float64 {
	if len(l.usable) == 0 {
		return 2
	}
	return max(l.saturation(), l.slowness/slowFactor)
}

// saturation returns the load relative to the load at which the level is
// saturated, or the same ratio for failures if that is higher. Refusals indicate
// saturation before the reported load does.
func (l *level) saturation() float64 {
	return max(l.load/max(l.slots, 1)/spillUtilization, l.failures/saturatedFailureShare)
}

// spillPressure returns the lowest pressure among the levels beyond level i.
func (s *candidateSet) spillPressure(i int) float64 {
	least := s.levels[i+1].pressure()
	for j := i + 2; j < levelCount; j++ {
		least = min(least, s.levels[j].pressure())
	}
	return least
}

// adjustSpill changes the spill share of each level in small steps. The share is
// raised only if a farther level has at least 10% less pressure, and because of
// slowness only if the latency of the next level is at least 10% lower. It is
// lowered below returnUtilization, or if no farther level has less pressure.
// Another region that is saturated itself must have half of the pressure at most:
// between regions that are about equally full, the calls that they exchange cost
// the round trip and free no slot.
func (s *candidateSet) adjustSpill() {
	for i := range levelCount - 1 {
		l, next := &s.levels[i], &s.levels[i+1]
		here, there := l.pressure(), s.spillPressure(i)
		if next.meanLatency > 0.9*l.meanLatency {
			here = l.saturation()
		}
		switch {
		case i+1 == inOtherRegions && there > max(1, here/2):
			l.spill = max(l.spill-0.03, 0)
		case here > 1 && there < 0.9*here:
			l.spill = min(l.spill+min(0.1*(here-1), 0.03), 0.99)
		case here < returnUtilization/spillUtilization:
			l.spill = max(l.spill-0.03, 0)
		case there >= here:
			l.spill = max(l.spill-0.01, 0)
		}
	}
}

// allowed reports whether the query may use the level.
func allowed(levelIndex int, q Query) bool {
	return levelIndex != inOtherRegions || q.CrossRegionAllowed
}

// allShedding reports whether every usable member that the query allows sheds
// its priority, and there is at least one.
func (s *candidateSet) allShedding(q Query) bool {
	found := false
	for i := range s.levels {
		if l := &s.levels[i]; allowed(i, q) && len(l.usable) > 0 {
			if l.thresholdFor(q.Long) <= q.Priority {
				return false
			}
			found = true
		}
	}
	return found
}

// thresholdFor returns the lowest priority of long or of short calls that any
// usable member admits.
func (l *level) thresholdFor(long bool) int {
	if long {
		return l.minLongThreshold
	}
	return l.minThreshold
}

// shedProbe reports whether to send a call as a probe although every node sheds
// its priority.
func (s *candidateSet) shedProbe(now time.Duration, rnd *rand.Rand) bool {
	s.shedTokens = min(s.shedTokens+shedPerSecond*(now-s.shedAt).Seconds(), shedPerSecond/2)
	s.shedAt = max(now, s.shedAt)
	if s.shedTokens < 1 || rnd.Float64() >= shedShare {
		return false
	}
	s.shedTokens--
	return true
}

// noMemberError returns ErrAllShedding if a usable member that was not tried yet
// sheds the priority, and otherwise ErrNoCandidate.
func (s *candidateSet) noMemberError(now time.Duration, q Query) error {
	for i := range s.levels {
		for j := range s.levels[i].usable {
			if m := s.levels[i].usable[j]; allowed(i, q) && !q.Exclude[m.candidate.NodeID] && m.node.thresholdNow(now, q.Long) > q.Priority {
				return ErrAllShedding
			}
		}
	}
	return ErrNoCandidate
}
