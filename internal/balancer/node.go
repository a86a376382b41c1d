package balancer

import (
	"math"
	"slices"
	"time"
)

const (
	// thresholdTTL is how long a reported threshold is valid, so that shedding
	// ends about a second after its cause.
	thresholdTTL = time.Second
	// drainingTTL covers the time until gossip reports that a node is draining.
	drainingTTL = 5 * time.Second
	// estimateFallTau is the time constant with which the latency estimate falls.
	// Two probes 300 ms apart remove most of a fivefold excess.
	estimateFallTau = 300 * time.Millisecond
	// baselineTau is the time constant of the baseline latency. slowBaselineTau
	// applies while the estimate is more than twice the baseline: with 30 s, a
	// slow phase of 10 s became the baseline.
	baselineTau     = 10 * time.Second
	slowBaselineTau = 5 * time.Minute
	// otherLoadTau is the time constant with which the reported load from other
	// nodes decays.
	otherLoadTau = time.Second
	// failureTau is the time constant with which the failure share decays.
	failureTau = time.Second
	// maxSampleGap is the time between samples after which the earlier ones no
	// longer indicate the present latency.
	maxSampleGap = 250 * time.Millisecond
	// windowSize is five so that the median hides stragglers: if 2% of the
	// responses are stragglers, three of five are once in 12,500 responses.
	windowSize = 5
	// minExclusion and maxExclusion bound the time for which a node gets no calls
	// after a failed connection. A recovered node gets calls again within
	// maxExclusion.
	minExclusion = 50 * time.Millisecond
	maxExclusion = time.Second
	// probeTimeout allows another probe if the end of one was never reported.
	probeTimeout = 2 * time.Second
	// minUnansweredCalls is the number of calls without any response from which on
	// the time since the first of them may count as latency.
	minUnansweredCalls = 3
)

// nodeState is the observed state of one node.
type nodeState struct {
	inFlight int
	// estimate is the expected latency and baseline its long-term value, in ns; 0
	// while unknown.
	estimate, baseline float64
	window             [windowSize]float64
	samples            int
	// responses counts the latency samples up to windowSize. Unlike samples, it is
	// not reset after a gap.
	responses   int
	firstSample time.Duration
	lastSample  time.Duration

	// unanswered counts the calls started since the last response, and
	// unansweredSince is the start of the first of them.
	unansweredSince time.Duration
	unanswered      int

	// failures is the recent share of failed and refused calls, 0 to 1, as of
	// lastFailure. A refusal weighs less than a failure.
	failures    float64
	lastFailure time.Duration

	// otherLoad is the number of requests from other nodes, in flight or queued,
	// by the last report.
	otherLoad      float64
	limit          int
	queued         bool
	loadReportedAt time.Duration
	threshold      int
	// longThreshold is at least threshold.
	longThreshold       int
	thresholdReportedAt time.Duration
	draining            bool
	cold                bool
	incarnation         uint64

	lastPick      time.Duration
	excludedUntil time.Duration
	exclusion     time.Duration
	probeStarted  time.Duration
	probing       bool
}

func (n *nodeState) started(now time.Duration) {
	n.inFlight++
	n.lastPick = now
	if n.unanswered == 0 {
		n.unansweredSince = now
	}
	n.unanswered++
	if n.exclusion > 0 {
		n.probing, n.probeStarted = true, now
	}
}

// finished records the outcome of a call and reports whether the state changed
// so that candidate sets must be refreshed.
func (n *nodeState) finished(now, latency time.Duration, r Result, load *Load) bool {
	n.inFlight = max(n.inFlight-1, 0)
	if r == Unreachable {
		n.extendExclusion(now)
		return true
	}
	if r == Abandoned && load == nil {
		n.probing = false
		n.recordMinLatency(now, float64(latency))
		return false
	}
	n.unanswered = 0
	changed := n.clearExclusion()
	switch r {
	case OK:
		n.recordLatency(now, float64(latency))
		n.recordFailure(now, -0.1)
	case Abandoned:
		n.recordMinLatency(now, float64(latency))
	case Refused:
		n.recordFailure(now, 0.05)
	case Failed:
		n.recordFailure(now, 0.2)
	}
	if load != nil {
		changed = n.recordLoad(now, load) || changed
	}
	return changed
}

// extendExclusion excludes the node for a time that doubles with each failed
// connection, up to maxExclusion. Failures during an exclusion, from calls that
// started before it, do not extend it.
func (n *nodeState) extendExclusion(now time.Duration) {
	n.probing = false
	if now < n.excludedUntil {
		return
	}
	n.exclusion = min(max(2*n.exclusion, minExclusion), maxExclusion)
	n.excludedUntil = now + n.exclusion
}

// clearExclusion ends the exclusion and reports whether the node had one.
func (n *nodeState) clearExclusion() bool {
	was := n.exclusion > 0
	n.exclusion, n.excludedUntil, n.probing = 0, 0, false
	return was
}

// excluded reports whether the node must not get calls, because a connection to
// it failed recently or a probe is in flight.
func (n *nodeState) excluded(now time.Duration) bool {
	if n.exclusion == 0 {
		return false
	}
	return now < n.excludedUntil || n.probing && now-n.probeStarted < probeTimeout
}

// recordLatency raises the estimate quickly towards the median of the last
// samples, or lowers it with estimateFallTau. A single slow response does not
// change the median of a full window; after a gap of maxSampleGap it raises the
// estimate by at most an eighth.
func (n *nodeState) recordLatency(now time.Duration, sample float64) {
	if now-n.lastSample > maxSampleGap {
		n.samples = 0
	}
	n.window[n.samples%windowSize] = sample
	n.samples++
	gap := now - n.lastSample
	n.lastSample = now
	median := n.median()
	if n.responses < windowSize {
		// The estimate is the plain median until the window is full: if the first
		// response was a straggler, smoothing from it would take too long to
		// recover.
		if n.responses == 0 {
			n.firstSample = now
		}
		n.responses++
		n.estimate, n.baseline = median, median
		return
	}
	if median > n.estimate {
		if n.samples < 3 {
			// Too few samples to tell a slow node from a straggler.
			median = min(median, 1.25*n.estimate)
		}
		n.estimate += 0.5 * (median - n.estimate)
	} else {
		n.estimate = median + (n.estimate-median)*decay(gap, estimateFallTau)
	}
	n.updateBaseline(now, gap)
}

// recordMinLatency records the elapsed time of an abandoned call as a lower
// bound of its latency. Without it, a target whose calls are all canceled would
// never look slow.
func (n *nodeState) recordMinLatency(now time.Duration, bound float64) {
	if n.estimate > 0 && bound > n.estimate {
		n.recordLatency(now, bound)
	}
}

// updateBaseline moves the baseline towards the estimate: faster during the first
// baselineTau, and much more slowly while the estimate is over twice the
// baseline, so that a slow phase does not become the baseline.
func (n *nodeState) updateBaseline(now, gap time.Duration) {
	tau := min(now-n.firstSample+gap, baselineTau)
	if n.estimate > 2*n.baseline {
		tau = slowBaselineTau
	}
	n.baseline = n.estimate + (n.baseline-n.estimate)*decay(gap, tau)
}

func (n *nodeState) median() float64 {
	var w [windowSize]float64
	k := copy(w[:], n.window[:min(n.samples, windowSize)])
	slices.Sort(w[:k])
	return w[(k-1)/2]
}

// latency returns the expected latency in ns, 0 while unknown. That is the
// estimate, or the time since the first unanswered call if there are at least
// minUnansweredCalls of them and that time is over three times the estimate.
func (n *nodeState) latency(now time.Duration) float64 {
	if n.unanswered >= minUnansweredCalls && n.inFlight >= minUnansweredCalls {
		if waited := float64(now - n.unansweredSince); waited > 3*n.estimate {
			return waited
		}
	}
	return n.estimate
}

// recordFailure moves the failure share towards 1 for a positive weight and
// towards 0 for a negative one.
func (n *nodeState) recordFailure(now time.Duration, weight float64) {
	f := n.failureShare(now)
	if weight > 0 {
		f += weight * (1 - f)
	} else {
		f *= 1 + weight
	}
	n.failures, n.lastFailure = f, now
}

func (n *nodeState) failureShare(now time.Duration) float64 {
	if n.failures < 1e-3 {
		return 0
	}
	return n.failures * decay(now-n.lastFailure, failureTau)
}

// recordLoad records a load report and reports whether the state changed so that
// candidate sets must be refreshed. The report may or may not include the call
// that it came with, so otherLoad leaves out one request more than are in flight
// from here.
func (n *nodeState) recordLoad(now time.Duration, l *Load) bool {
	changed := l.Threshold != n.thresholdNow(now, false) || l.ThresholdFor(true) != n.thresholdNow(now, true) || l.Draining != n.draining || l.Cold != n.cold
	n.otherLoad = float64(max(l.InFlight+l.Queued-n.inFlight-1, 0))
	n.limit, n.queued, n.loadReportedAt = l.Limit, l.Queued > 0, now
	n.threshold, n.longThreshold, n.thresholdReportedAt = l.Threshold, l.ThresholdFor(true), now
	n.draining, n.cold = l.Draining, l.Cold
	return changed
}

// setIncarnation resets the load, thresholds and exclusion of an earlier process
// of the node. Otherwise a node restarted within drainingTTL would get no calls,
// and during a rolling restart a service could be left without a target.
func (n *nodeState) setIncarnation(incarnation uint64) {
	if n.incarnation == incarnation {
		return
	}
	first := n.incarnation == 0
	n.incarnation = incarnation
	if first {
		return
	}
	n.draining, n.cold, n.queued, n.limit, n.otherLoad = false, false, false, 0, 0
	n.threshold, n.longThreshold = 0, 0
	n.excludedUntil, n.exclusion, n.probing = 0, 0, false
}

// thresholdNow returns the lowest priority that the node admits for long or for
// short calls, 0 if unknown.
func (n *nodeState) thresholdNow(now time.Duration, long bool) int {
	threshold, longThreshold := n.thresholdsNow(now)
	if long {
		return longThreshold
	}
	return threshold
}

// thresholdsNow returns the lowest priorities that the node admits for short and
// for long calls, 0 if unknown.
func (n *nodeState) thresholdsNow(now time.Duration) (short, long int) {
	if now-n.thresholdReportedAt > thresholdTTL {
		return 0, 0
	}
	return n.threshold, n.longThreshold
}

func (n *nodeState) drainingNow(now time.Duration) bool {
	return n.draining && now-n.loadReportedAt < drainingTTL
}

// load returns the expected number of requests at the node: those in flight from
// here, plus the reported load from other nodes, decayed by its age.
func (n *nodeState) load(now time.Duration) float64 {
	if n.otherLoad == 0 {
		return float64(n.inFlight)
	}
	return float64(n.inFlight) + n.otherLoad*decay(now-n.loadReportedAt, otherLoadTau)
}

func decay(gap, tau time.Duration) float64 {
	if gap <= 0 {
		return 1
	}
	return math.Exp(-float64(gap) / float64(tau))
}
