package loadgen

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramLimit is the highest latency recorded, in µs; higher ones are
	// recorded as this value.
	histogramLimit = 10 * 60 * 1000000
	// bucketLength is the resolution of goodput and recovery time.
	bucketLength = 100 * time.Millisecond
	// maxExamples limits the examples of wrong responses and of audit findings.
	maxExamples = 10
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, histogramLimit, 3) }

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histogramLimit))
}

// kindStats counts the jobs of one kind that arrived in one phase.
type kindStats struct {
	offered  int64
	outcomes map[Outcome]int64
	attempts int64
	bytes    int64
	// latency covers answered jobs without stragglers, stragglers the answered
	// stragglers, and refused the jobs that were not run.
	latency, stragglers, refused *hdrhistogram.Histogram
}

func newKindStats() *kindStats {
	return &kindStats{outcomes: map[Outcome]int64{}, latency: newHistogram(), stragglers: newHistogram(), refused: newHistogram()}
}

// stats collects the results of a run. It is safe for concurrent use.
type stats struct {
	mu    sync.Mutex
	kinds [][]*kindStats // by phase and kind
	// byCompletion counts answered jobs by the bucket in which they ended.
	byCompletion []int64
	// arrivals counts the jobs that arrived in each bucket.
	arrivals []arrivals
	seconds  []*secondStats
	// notRun holds the request IDs of the jobs that were not run.
	notRun map[string]bool
	// errorCounts counts unanswered jobs by outcome, last and first error.
	errorCounts map[string]int64
	examples    []string
	lag         *hdrhistogram.Histogram
	dropped     int64
	finished    int64
}

// arrivals counts the jobs that arrived, and those of them that were answered.
type arrivals struct{ offered, answered int64 }

// secondStats summarizes the jobs that arrived in one second.
type secondStats struct {
	offered, notRun int64
	latency, lag    *hdrhistogram.Histogram
}

func newStats(s *Scenario) *stats {
	st := &stats{notRun: map[string]bool{}, errorCounts: map[string]int64{}, lag: newHistogram()}
	for range s.Phases {
		row := make([]*kindStats, len(s.Kinds))
		for i := range row {
			row[i] = newKindStats()
		}
		st.kinds = append(st.kinds, row)
	}
	for range int(s.Duration()/time.Second) + 1 {
		// Two significant digits keep the memory for a run of an hour below
		// 100 MB.
		st.seconds = append(st.seconds, &secondStats{
			latency: hdrhistogram.New(1, histogramLimit, 2), lag: hdrhistogram.New(1, histogramLimit, 2),
		})
	}
	st.arrivals = make([]arrivals, int(s.Duration()/bucketLength)+1)
	return st
}

func (st *stats) recordOffered(j job, lag time.Duration) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.kinds[j.phase][j.kind].offered++
	sec := st.seconds[int(j.at/time.Second)]
	sec.offered++
	recordDuration(sec.lag, lag)
	st.arrivals[int(j.at/bucketLength)].offered++
	recordDuration(st.lag, lag)
}

func (st *stats) recordDropped() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.dropped++
}

// recordFinished records the result of a job. end is the time since the start of
// the run.
func (st *stats) recordFinished(j job, id string, r *jobResult, end time.Duration) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.finished++
	c := st.kinds[j.phase][j.kind]
	c.outcomes[r.outcome]++
	c.attempts += int64(r.attempts)
	c.bytes += r.bytes
	sec := st.seconds[int(j.at/time.Second)]
	switch r.outcome {
	case Answered:
		st.arrivals[int(j.at/bucketLength)].answered++
		st.recordCompletion(end)
		if r.straggler {
			recordDuration(c.stragglers, r.latency)
			return
		}
		recordDuration(c.latency, r.latency)
		recordDuration(sec.latency, r.latency)
		return
	case NotRun:
		sec.notRun++
		st.notRun[id] = true
		recordDuration(c.refused, r.latency)
	}
	name := string(r.outcome) + ": " + r.errorName()
	if r.firstError != "" && r.firstError != r.errorName() {
		name += " (first " + r.firstError + ")"
	}
	st.errorCounts[name]++
	// Keeps one example of each error, and more of wrong responses, which are
	// rare.
	if st.errorCounts[name] == 1 || (r.outcome == Wrong && st.errorCounts[name] < maxExamples) {
		st.examples = append(st.examples, name+": "+id+": "+r.detail)
	}
}

func (st *stats) recordCompletion(end time.Duration) {
	i := int(end / bucketLength)
	for len(st.byCompletion) <= i {
		st.byCompletion = append(st.byCompletion, 0)
	}
	st.byCompletion[i]++
}
