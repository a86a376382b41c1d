package admission

import (
	"slices"
	"time"
)

const (
	// maxKinds bounds the memory. Further kinds share one entry.
	maxKinds = 256
	// kindSamples bounds the number of latencies kept for the median of one
	// window.
	kindSamples = 64
	// kindWindowSamples keeps the error of the median near 20% for exponential
	// service times.
	kindWindowSamples = 20
	// The window of a kind with few jobs closes after kindWindowMax if it has
	// kindWindowMinSamples.
	kindWindowMax        = time.Second
	kindWindowMinSamples = 5
	// smoothingWeight is the weight of a new median in the smoothed median. It
	// reduces the variation of the median to a third before the baseline latency
	// is derived from it.
	smoothingWeight = 0.2
	// baselineFall is the fraction by which the baseline latency approaches a
	// lower smoothed median in one window. A plain minimum would settle at the
	// fastest outlier and make normal latencies look slow.
	baselineFall = 0.1
	// warmupWindows is the number of initial windows whose smoothed medians are
	// averaged.
	warmupWindows = 20
	// baselineRiseTime is the time constant with which the baseline latency rises
	// to the smoothed median, so that it adapts to a lasting slowdown within a
	// minute. With 60 s, the limit of a target that had become 5 times slower
	// stayed reduced for 61 s.
	baselineRiseTime = 30 * time.Second
	// maxSampleAge is the time after which samples are stale.
	maxSampleAge = time.Second
	// minCost is charged for jobs of unknown or very short kinds, so that fair
	// queueing also accounts for the number of jobs.
	minCost = 100 * time.Microsecond
)

// kindStats holds the service times of one kind.
type kindStats struct {
	samples     [kindSamples]time.Duration
	sampleCount int
	sum         time.Duration
	windowStart time.Duration
	// median is the median latency of the last window and mean the smoothed mean
	// latency; until a window has closed, both are the first sample. The median is
	// robust against a few jobs that run many times longer; the mean gives the
	// slot time that the kind uses.
	median, mean time.Duration
	// baselineLatency is the long-term low of smoothedMedian.
	smoothedMedian, baselineLatency time.Duration
	lastSample                      time.Duration
	// windowSamples is the number of samples of the last closed window, and
	// windowEnd the time at which it closed.
	windowSamples int
	windowEnd     time.Duration
	windows       int
	// running is the number of slots that the kind uses.
	running int
	// budgetShare is the BudgetShare of the latest job.
	budgetShare float64
	// overflow is set on the entry shared by the kinds beyond maxKinds. It has no
	// budget, because together these kinds may use more than the budget share of
	// any one of them.
	overflow bool
	// long kinds are excluded from the gradient: a caller that reads a download
	// slowly would look like a slow target.
	long bool
}

func (k *kindStats) observe(now, latency time.Duration) {
	if k.sampleCount == 0 {
		k.windowStart = now
	}
	k.samples[k.sampleCount%kindSamples] = latency
	k.sampleCount++
	k.sum += latency
	k.lastSample = now
	if k.median == 0 {
		k.median, k.mean = latency, latency
	}
}

// closeWindow updates the statistics if the window has enough samples.
func (k *kindStats) closeWindow(now time.Duration) {
	enough := k.sampleCount >= kindWindowSamples || k.sampleCount >= kindWindowMinSamples && now-k.windowStart >= kindWindowMax
	if !enough {
		return
	}
	sorted := k.samples[:min(k.sampleCount, kindSamples)]
	slices.Sort(sorted)
	k.median = max(sorted[len(sorted)/2], 1)
	mean := k.sum / time.Duration(k.sampleCount)
	k.mean += time.Duration(0.3 * float64(mean-k.mean))
	switch k.smoothedMedian += time.Duration(smoothingWeight * float64(k.median-k.smoothedMedian)); {
	case k.baselineLatency == 0:
		k.smoothedMedian, k.baselineLatency = k.median, k.median
	case k.smoothedMedian < k.baselineLatency:
		k.baselineLatency -= time.Duration(baselineFall * float64(k.baselineLatency-k.smoothedMedian))
	default:
		// The first windows contain only the shortest jobs, as longer ones have
		// not finished yet, so the smoothed medians of the warm-up are averaged.
		rise := min(float64(now-k.windowEnd)/float64(baselineRiseTime), 1)
		if k.windows < warmupWindows {
			rise = max(rise, 1/float64(k.windows+1))
		}
		k.baselineLatency += time.Duration(rise * float64(k.smoothedMedian-k.baselineLatency))
	}
	k.windows++
	k.windowSamples, k.windowEnd = k.sampleCount, now
	k.sampleCount, k.sum = 0, 0
}

// atBudget reports whether the kind uses its budget share of the limit or more.
// The tolerance of 1e-9 covers floating-point rounding: 0.7 of 10 slots would
// otherwise be slightly above 7 and allow an eighth job.
func (k *kindStats) atBudget(limit int) bool {
	return !k.overflow && k.budgetShare > 0 && k.budgetShare < 1 && float64(k.running) >= k.budgetShare*float64(limit)-1e-9
}

// latencyRatio returns the ratio of the current latency to the baseline
// latency.
func (k *kindStats) latencyRatio() float64 {
	return float64(k.median) / float64(max(k.baselineLatency, 1))
}

// expectedCost returns the expected slot time of one job in seconds.
func (k *kindStats) expectedCost() float64 { return max(k.mean, minCost).Seconds() }

// expectedServiceTime returns the expected time from start to end of a job.
// Without recent samples it is 0, so that jobs are admitted and provide new
// samples.
func (k *kindStats) expectedServiceTime(now time.Duration) time.Duration {
	if k.lastSample == 0 || now-k.lastSample > maxSampleAge {
		return 0
	}
	return k.median
}
