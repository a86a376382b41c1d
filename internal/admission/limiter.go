package admission

import (
	"math"
	"time"
)

const (
	// latencyTolerance is the ratio of latency to baseline latency up to which a
	// target counts as healthy. The design bounds the tail latency of slow
	// targets at twice the normal one, and medians of 20 samples vary by less.
	latencyTolerance = 2.0
	// limitWindow is the interval at which the gradient is evaluated.
	limitWindow = 100 * time.Millisecond
	// A rate is measured over rateSamples jobs, a count that varies by about 7%,
	// but for at least minRateTime and at most maxRateTime. With 100 jobs, trials
	// were decided by noise and a service of 20 slots lost 15% of its goodput.
	rateSamples = 200
	minRateTime = 100 * time.Millisecond
	maxRateTime = time.Second
	// trialStep is the factor by which a trial changes the limit. The change must
	// exceed the variation of the rate, or trials are decided by noise.
	trialStep = 0.7
	// maxSettleTime bounds the wait for the end of the jobs that were running
	// when the limit changed.
	maxSettleTime = time.Second
	// A trial of a lower limit succeeds if the rate is at least minRateRatioDown
	// of the rate before, a trial of a higher limit if it is at least
	// minRateRatioUp. A rate proportional to the limit would change by factors
	// of 0.7 and 1.43.
	minRateRatioDown = 0.88
	minRateRatioUp   = 1.1
	// The next trial after a failed one is delayed by minTrialPause, and by four
	// times as long after each further failure, because a failed trial costs up
	// to 30% of the goodput while it lasts.
	minTrialPause = 500 * time.Millisecond
	// The delay is at least pauseFactor times the duration of the trial, so that
	// failed trials cost at most 5% of the goodput: 30% for a sixth of the time.
	pauseFactor   = 5
	maxTrialPause = 8 * time.Second
	// bestRateDecay lowers the best rate with each trial, for a target that
	// becomes slower still.
	bestRateDecay = 0.97
	// limitGrowth is the factor by which the limit of a healthy target grows in
	// each window, so that it recovers from its minimum in about a second.
	limitGrowth = 1.5
	// minLimitShare is the minimum of the limit as a share of the slots.
	minLimitShare = 0.1
)

// measurement is the result of one window.
type measurement struct {
	now time.Duration
	// gradient is the smoothed ratio of latency to baseline latency.
	gradient float64
	// saturated is set if more than 80% of the jobs finished while the limit was
	// reached.
	saturated bool
}

// limiter adapts the concurrency limit. Too low a limit costs goodput while too
// high a one costs only latency, so latency alone never lowers the limit
// permanently: each reduction is a trial, and is reverted unless the rate of
// useful work stays about the same. A finished job counts as work of the
// baseline latency of its kind, so that the mix of kinds does not affect the
// rate.
type limiter struct {
	slots    int
	limit    float64
	gradient float64
	// algorithm updates the limit after each window. Tests replace it to compare
	// algorithms.
	algorithm func(l *limiter, m measurement)

	windowStart               time.Duration
	finished, finishedAtLimit int

	// Rate measurement since rateStart.
	rateStart time.Duration
	work      float64
	samples   int

	// State of the trials. previousLimit is the limit before the current trial,
	// or 0 if there is none, and referenceRate the rate to compare it with.
	previousLimit, referenceRate float64
	trialBackoff                 time.Duration
	nextTrial                    time.Duration
	lastTrialUp                  bool
	// bestRate is the highest rate since the target became slow. Lower limits are
	// compared with it, because small losses of successive trials would add up.
	bestRate float64
}

func newLimiter(slots int) limiter {
	return limiter{slots: slots, limit: float64(slots), gradient: 1, algorithm: (*limiter).search, trialBackoff: minTrialPause}
}

// value returns the limit as a number of slots.
func (l *limiter) value() int { return min(int(l.limit+0.5), l.slots) }

func (l *limiter) minLimit() float64 {
	return min(max(1, math.Ceil(minLimitShare*float64(l.slots))), float64(l.slots))
}

func (l *limiter) clamp(v float64) float64 { return min(max(v, l.minLimit()), float64(l.slots)) }

// setSlots changes the maximum of the limit. A limit at the maximum stays
// there.
func (l *limiter) setSlots(slots int) {
	atCeiling := l.value() >= l.slots
	l.slots = slots
	if atCeiling {
		l.limit = float64(slots)
	}
	l.limit = l.clamp(l.limit)
	l.previousLimit = 0
}

// finish records a finished job. atLimit is set if all slots of the limit were
// in use.
func (l *limiter) finish(now time.Duration, k *kindStats, atLimit bool) {
	l.finished++
	if atLimit {
		l.finishedAtLimit++
	}
	if now < l.rateStart {
		return
	}
	l.work += k.baselineLatency.Seconds()
	l.samples++
}

// closeWindow evaluates a window if it is over.
func (l *limiter) closeWindow(now time.Duration, kinds map[string]*kindStats) {
	if now-l.windowStart < limitWindow {
		return
	}
	sum, weight, newest := 0.0, 0.0, time.Duration(0)
	for _, k := range kinds {
		k.closeWindow(now)
		newest = max(newest, k.lastSample)
		if k.windowSamples > 0 && !k.long && now-k.windowEnd <= maxSampleAge {
			sum += float64(k.windowSamples) * k.latencyRatio()
			weight += float64(k.windowSamples)
		}
	}
	m := measurement{now: now, saturated: l.finishedAtLimit*5 > l.finished*4}
	switch {
	case weight > 0:
		l.gradient += 0.5 * (sum/weight - l.gradient)
	case now-newest > maxSampleAge:
		// Without recent samples there is no evidence for a lower limit.
		l.gradient = 1
	}
	m.gradient = l.gradient
	l.windowStart, l.finished, l.finishedAtLimit = now, 0, 0
	l.algorithm(l, m)
}

// search is the algorithm used in production: it raises the limit while the
// target is healthy and tries other limits while it is slow.
func (l *limiter) search(m measurement) {
	if m.gradient <= latencyTolerance {
		l.limit = l.clamp(l.limit * limitGrowth)
		l.previousLimit, l.trialBackoff, l.nextTrial, l.bestRate = 0, minTrialPause, 0, 0
		if l.samples >= rateSamples || m.now-l.rateStart >= maxRateTime {
			l.restartMeasurement(m.now)
		}
		return
	}
	rate, ok := l.rate(m.now)
	if !ok || !m.saturated {
		return
	}
	switch {
	case l.previousLimit > 0:
		l.endTrial(m.now, rate)
	case m.now >= l.nextTrial:
		l.startTrial(m.now, rate)
	default:
		l.restartMeasurement(m.now)
	}
}

// startTrial starts a trial. It tries a higher limit, if the slots allow one,
// when the rate has fallen below minRateRatioDown of the best rate or when the
// last trial was one of a lower limit and failed. Otherwise it tries a lower
// limit.
func (l *limiter) startTrial(now time.Duration, rate float64) {
	l.bestRate = max(rate, bestRateDecay*l.bestRate)
	step, referenceRate := trialStep, l.bestRate
	rateFell := rate < minRateRatioDown*l.bestRate
	if l.lastTrialUp = l.value() < l.slots && (rateFell || !l.lastTrialUp && l.trialBackoff > minTrialPause); l.lastTrialUp {
		step, referenceRate = 1/trialStep, rate
	}
	l.previousLimit, l.referenceRate = l.limit, referenceRate
	l.limit = l.clamp(l.limit * step)
	l.delayMeasurement(now)
}

// endTrial keeps the limit of the trial if its rate is sufficient, and
// otherwise restores the previous limit.
func (l *limiter) endTrial(now time.Duration, rate float64) {
	minRatio := minRateRatioDown
	if l.limit > l.previousLimit {
		minRatio = minRateRatioUp
	}
	if rate >= minRatio*l.referenceRate {
		l.trialBackoff, l.nextTrial = minTrialPause, now
	} else {
		l.limit = l.clamp(l.previousLimit)
		l.nextTrial = now + max(l.trialBackoff, pauseFactor*(now-l.rateStart))
		l.trialBackoff = min(4*l.trialBackoff, maxTrialPause)
	}
	l.previousLimit = 0
	l.delayMeasurement(now)
}

// delayMeasurement starts the next rate measurement when the jobs that are
// running now are expected to have ended, after maxSettleTime at the latest.
// Until then the rate reflects the previous limit.
func (l *limiter) delayMeasurement(now time.Duration) {
	latency := l.limit / max(float64(l.samples), 1) * (now - l.rateStart).Seconds()
	l.restartMeasurement(now + min(time.Duration(latency*1e9), maxSettleTime))
}

// rate returns the useful work per second since rateStart. It reports false
// until enough jobs have finished or maxRateTime has passed.
func (l *limiter) rate(now time.Duration) (float64, bool) {
	age := now - l.rateStart
	if age < minRateTime || l.samples < rateSamples && age < maxRateTime {
		return 0, false
	}
	return l.work / age.Seconds(), true
}

func (l *limiter) restartMeasurement(now time.Duration) { l.rateStart, l.work, l.samples = now, 0, 0 }
