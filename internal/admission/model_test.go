package admission

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// stream is a source of jobs with exponential interarrival and service times.
type stream struct {
	job     Job
	service time.Duration
	// load returns the offered load at a time, relative to the capacity.
	load func(t time.Duration) float64
	// stragglers is the share of jobs whose service time is 50 times the mean.
	stragglers float64
	deadline   time.Duration
}

// jobResult is the outcome of one job.
type jobResult struct {
	stream int
	// left is the time of the end or of the refusal, 0 while there is neither.
	arrived, left time.Duration
	// work is the service time in seconds at normal speed.
	work float64
	// ran is set if the job ended, and good if it did so by its deadline.
	good, ran     bool
	virtualFinish float64
}

// targetModel simulates a target in virtual time: up to workers jobs run
// concurrently and share cores, and further jobs wait in FIFO order. Its speed
// is 1/slow(t).
type targetModel struct {
	workers     int
	cores       float64
	slow        func(t time.Duration) float64
	now         time.Duration
	virtualTime float64
	running     virtualFinishHeap
	fifo        []*jobResult
}

type virtualFinishHeap []*jobResult

func (h virtualFinishHeap) Len() int           { return len(h) }
func (h virtualFinishHeap) Less(i, j int) bool { return h[i].virtualFinish < h[j].virtualFinish }
func (h virtualFinishHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *virtualFinishHeap) Push(x any)        { *h = append(*h, x.(*jobResult)) }
func (h *virtualFinishHeap) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

func (t *targetModel) speed() float64 {
	return min(1, t.cores/max(float64(len(t.running)), 1)) / t.slow(t.now)
}

func (t *targetModel) advance(now time.Duration) {
	t.virtualTime += (now - t.now).Seconds() * t.speed()
	t.now = now
}

func (t *targetModel) next() time.Duration {
	if len(t.running) == 0 {
		return never
	}
	return t.now + time.Duration(math.Ceil(max(t.running[0].virtualFinish-t.virtualTime, 0)/t.speed()*1e9))
}

func (t *targetModel) start(d *jobResult) {
	if len(t.running) >= t.workers {
		t.fifo = append(t.fifo, d)
		return
	}
	d.virtualFinish = t.virtualTime + d.work
	heap.Push(&t.running, d)
}

func (t *targetModel) finish() *jobResult {
	d := heap.Pop(&t.running).(*jobResult)
	if len(t.fifo) > 0 {
		first := t.fifo[0]
		t.fifo = t.fifo[1:]
		t.start(first)
	}
	return d
}

// scenario defines a simulation of one target.
type scenario struct {
	seed           uint64
	slots, workers int
	cores          float64
	slow           func(t time.Duration) float64
	streams        []stream
	length         time.Duration
	// uncontrolled sends all jobs to the target, without admission control.
	uncontrolled bool
	// enforceThreshold refuses jobs below the threshold before they are submitted,
	// except for 2% probes.
	enforceThreshold bool
	configure        func(c *Controller)
	sample           func(now time.Duration, c *Controller)
}

// run simulates a scenario and returns the outcome of every job.
func (s scenario) run() []*jobResult {
	rng := rand.New(rand.NewPCG(s.seed, 1))
	if s.slow == nil {
		s.slow = func(time.Duration) float64 { return 1 }
	}
	if s.workers == 0 {
		s.workers = s.slots
	}
	if s.cores == 0 {
		s.cores = float64(s.workers)
	}
	t := &targetModel{workers: s.workers, cores: s.cores, slow: s.slow}
	c := New(Config{Slots: s.slots, MaxQueueTime: 100 * time.Millisecond})
	if s.configure != nil {
		s.configure(c)
	}
	var all []*jobResult
	jobIDs := map[*jobResult]uint64{}
	deliver := func(events []Event) {
		for _, e := range events {
			if d := all[e.ID]; e.Verdict == Run {
				t.start(d)
			} else {
				d.left = t.now
			}
		}
	}
	gap := func(st stream) time.Duration {
		work := st.service.Seconds() * (1 + 49*st.stragglers)
		rate := st.load(t.now) * min(s.cores, float64(s.workers)) / work
		if rate <= 0 {
			return 10 * time.Millisecond
		}
		return time.Duration(rng.ExpFloat64() / rate * 1e9)
	}
	arrivals := make([]time.Duration, len(s.streams))
	for i, st := range s.streams {
		arrivals[i] = gap(st)
	}
	tick := time.Duration(0)
	for t.now < s.length {
		i := 0
		for j := range arrivals {
			if arrivals[j] < arrivals[i] {
				i = j
			}
		}
		end := t.next()
		switch {
		case end <= min(arrivals[i], tick):
			t.advance(end)
			d := t.finish()
			d.left, d.ran = end, true
			d.good = end-d.arrived <= s.streams[d.stream].deadline
			if !s.uncontrolled {
				deliver(c.Finish(end, jobIDs[d], true))
				delete(jobIDs, d)
			}
		case tick <= arrivals[i]:
			t.advance(tick)
			deliver(c.Tick(tick))
			if s.sample != nil {
				s.sample(tick, c)
			}
			tick += 5 * time.Millisecond
		default:
			st := s.streams[i]
			t.advance(arrivals[i])
			arrivals[i] += gap(st)
			if st.load(t.now) <= 0 {
				continue
			}
			d := &jobResult{stream: i, arrived: t.now, work: st.service.Seconds() * rng.ExpFloat64()}
			if rng.Float64() < st.stragglers {
				d.work = 50 * st.service.Seconds()
			}
			all = append(all, d)
			if s.uncontrolled {
				t.start(d)
				continue
			}
			j := st.job
			if s.enforceThreshold && j.Priority < c.Load().Threshold && rng.Float64() > 0.02 {
				d.left = t.now
				continue
			}
			j.ID, j.Deadline = uint64(len(all)-1), t.now+st.deadline
			jobIDs[d] = j.ID
			verdict, events := c.Submit(t.now, j)
			deliver(events)
			if verdict == Run {
				t.start(d)
			} else if verdict != Queued {
				d.left = t.now
			}
		}
	}
	return all
}

// summary aggregates the outcomes of jobs.
type summary struct {
	offered, good int
	work          float64
	p50, p99      time.Duration
	// refusedWait is the mean time until a refusal.
	refusedWait time.Duration
}

// summarize aggregates the jobs of a stream (-1 for all streams) that arrived
// in [from, to).
func summarize(all []*jobResult, stream int, from, to time.Duration) summary {
	var r summary
	var latencies []time.Duration
	refused := 0
	for _, d := range all {
		if stream >= 0 && d.stream != stream || d.arrived < from || d.arrived >= to {
			continue
		}
		r.offered++
		if d.good {
			r.good++
			r.work += d.work
		}
		if d.ran {
			latencies = append(latencies, d.left-d.arrived)
		} else if d.left > 0 {
			r.refusedWait += d.left - d.arrived
			refused++
		}
	}
	r.refusedWait /= time.Duration(max(refused, 1))
	if n := len(latencies); n > 0 {
		slices.Sort(latencies)
		r.p50, r.p99 = latencies[n/2], latencies[n*99/100]
	}
	return r
}

func (r summary) success() float64 { return float64(r.good) / max(float64(r.offered), 1) }

func constant(v float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return v }
}

// during returns a load or a slowdown that is high in [from, to) and normal
// otherwise.
func during(from, to time.Duration, normal, high float64) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if t >= from && t < to {
			return high
		}
		return normal
	}
}
