package loadgen

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramLimit is the highest latency recorded, in µs; longer ones count
	// as this.
	histogramLimit = 10 * 60 * 1000000
	// bucket is the resolution of the series of goodput and recovery.
	bucket = 100 * time.Millisecond
	// maxExamples bounds the examples of wrong or unexpected answers.
	maxExamples = 10
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, histogramLimit, 3) }

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histogramLimit))
}

// cell counts the jobs of one kind that arrived in one phase.
type cell struct {
	offered  int64
	outcomes map[Outcome]int64
	attempts int64
	bytes    int64
	// short holds latencies of answered jobs without stragglers, long those
	// of stragglers, refused those of jobs that were not run.
	short, long, refused *hdrhistogram.Histogram
}

func newCell() *cell {
	return &cell{outcomes: map[Outcome]int64{}, short: newHistogram(), long: newHistogram(), refused: newHistogram()}
}

// stats collects results. It is safe for concurrent use.
type stats struct {
	mu    sync.Mutex
	cells [][]*cell // by phase, kind
	// byCompletion counts answered jobs in buckets of their end.
	byCompletion []int64
	// arrivals counts the jobs that arrived in each bucket.
	arrivals []arrivals
	seconds  []*second
	notRun   map[string]bool
	// codes counts failures by their last and first error.
	codes    map[string]int64
	examples []string
	lag      *hdrhistogram.Histogram
	dropped  int64
	finished int64
}

// arrivals counts jobs and those of them that were answered.
type arrivals struct{ offered, answered int64 }

// second sums up the jobs that arrived in one second.
type second struct {
	offered, notRun int64
	latency, lag    *hdrhistogram.Histogram
}

func newStats(s *Scenario) *stats {
	st := &stats{notRun: map[string]bool{}, codes: map[string]int64{}, lag: newHistogram()}
	for range s.Phases {
		row := make([]*cell, len(s.Kinds))
		for i := range row {
			row[i] = newCell()
		}
		st.cells = append(st.cells, row)
	}
	for range int(s.Duration()/time.Second) + 1 {
		// Two digits keep a run of an hour below 100 MB.
		st.seconds = append(st.seconds, &second{
			latency: hdrhistogram.New(1, histogramLimit, 2), lag: hdrhistogram.New(1, histogramLimit, 2),
		})
	}
	st.arrivals = make([]arrivals, int(s.Duration()/bucket)+1)
	return st
}

func (st *stats) offer(j job, lag time.Duration) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.cells[j.phase][j.kind].offered++
	sec := st.seconds[int(j.at/time.Second)]
	sec.offered++
	record(sec.lag, lag)
	st.arrivals[int(j.at/bucket)].offered++
	record(st.lag, lag)
}

func (st *stats) drop() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.dropped++
}

// finish takes the result of a job that ended at a time of the run.
func (st *stats) finish(j job, id string, r *result, end time.Duration) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.finished++
	c := st.cells[j.phase][j.kind]
	c.outcomes[r.outcome]++
	c.attempts += int64(r.attempts)
	c.bytes += r.bytes
	sec := st.seconds[int(j.at/time.Second)]
	switch r.outcome {
	case Answered:
		st.arrivals[int(j.at/bucket)].answered++
		st.complete(end)
		if r.straggler {
			record(c.long, r.latency)
			return
		}
		record(c.short, r.latency)
		record(sec.latency, r.latency)
		return
	case NotRun:
		sec.notRun++
		st.notRun[id] = true
		record(c.refused, r.latency)
	}
	name := string(r.outcome) + ": " + r.name()
	if r.first != "" && r.first != r.name() {
		name += " (first " + r.first + ")"
	}
	st.codes[name]++
	// One example of each error, and more of wrong answers, which are rare.
	if st.codes[name] == 1 || (r.outcome == Wrong && st.codes[name] < maxExamples) {
		st.examples = append(st.examples, name+": "+id+": "+r.detail)
	}
}

func (st *stats) complete(end time.Duration) {
	i := int(end / bucket)
	for len(st.byCompletion) <= i {
		st.byCompletion = append(st.byCompletion, 0)
	}
	st.byCompletion[i]++
}
