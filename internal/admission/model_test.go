package admission

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// stream is a source of jobs with exponential gaps and service times.
type stream struct {
	job     Job
	service time.Duration
	// load is the offered work relative to the capacity at a time.
	load func(t time.Duration) float64
	// stragglers is the share of jobs that run 50 times longer.
	stragglers float64
	deadline   time.Duration
}

// done is what became of one job of the model.
type done struct {
	stream        int
	arrived, left time.Duration
	work          float64
	good, ran     bool
	vfinish       float64
}

// target is a model in virtual time: workers jobs run at a time and share
// cores; further jobs wait in order. Its speed is 1/slow(t).
type target struct {
	workers int
	cores   float64
	slow    func(t time.Duration) float64
	now     time.Duration
	vtime   float64
	running vheap
	fifo    []*done
}

type vheap []*done

func (h vheap) Len() int           { return len(h) }
func (h vheap) Less(i, j int) bool { return h[i].vfinish < h[j].vfinish }
func (h vheap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *vheap) Push(x any)        { *h = append(*h, x.(*done)) }
func (h *vheap) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

func (t *target) speed() float64 {
	return min(1, t.cores/max(float64(len(t.running)), 1)) / t.slow(t.now)
}

func (t *target) advance(now time.Duration) {
	t.vtime += (now - t.now).Seconds() * t.speed()
	t.now = now
}

func (t *target) next() time.Duration {
	if len(t.running) == 0 {
		return never
	}
	return t.now + time.Duration(math.Ceil(max(t.running[0].vfinish-t.vtime, 0)/t.speed()*1e9))
}

func (t *target) start(d *done) {
	if len(t.running) >= t.workers {
		t.fifo = append(t.fifo, d)
		return
	}
	d.vfinish = t.vtime + d.work
	heap.Push(&t.running, d)
}

func (t *target) finish() *done {
	d := heap.Pop(&t.running).(*done)
	if len(t.fifo) > 0 {
		first := t.fifo[0]
		t.fifo = t.fifo[1:]
		t.start(first)
	}
	return d
}

// scenario is one experiment on one target.
type scenario struct {
	seed           uint64
	slots, workers int
	cores          float64
	slow           func(t time.Duration) float64
	streams        []stream
	length         time.Duration
	// baseline sends everything to the target.
	baseline bool
	// obey refuses at the entry what is below the threshold, but for 2% probes.
	obey   bool
	tune   func(c *Controller)
	sample func(now time.Duration, c *Controller)
}

// run plays a scenario and returns what became of every job.
func (s scenario) run() []*done {
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
	t := &target{workers: s.workers, cores: s.cores, slow: s.slow}
	c := New(Config{Slots: s.slots, MaxQueueTime: 100 * time.Millisecond})
	if s.tune != nil {
		s.tune(c)
	}
	var all []*done
	ids := map[*done]uint64{}
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
			if !s.baseline {
				deliver(c.Finish(end, ids[d], true))
				delete(ids, d)
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
			d := &done{stream: i, arrived: t.now, work: st.service.Seconds() * rng.ExpFloat64()}
			if rng.Float64() < st.stragglers {
				d.work = 50 * st.service.Seconds()
			}
			all = append(all, d)
			if s.baseline {
				t.start(d)
				continue
			}
			j := st.job
			if s.obey && j.Priority < c.Load().Threshold && rng.Float64() > 0.02 {
				d.left = t.now
				continue
			}
			j.ID, j.Deadline = uint64(len(all)-1), t.now+st.deadline
			ids[d] = j.ID
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

// result sums up the jobs of a stream (-1 for all) that arrived in a span.
type result struct {
	offered, good int
	work          float64
	p50, p99      time.Duration
	// refusedWait is the mean time until a refusal.
	refusedWait time.Duration
}

func summarize(all []*done, stream int, from, to time.Duration) result {
	var r result
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

func (r result) success() float64 { return float64(r.good) / max(float64(r.offered), 1) }

func constant(v float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return v }
}

// during is high between two times and usual otherwise.
func during(from, to time.Duration, usual, high float64) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if t >= from && t < to {
			return high
		}
		return usual
	}
}
