package balancer

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// event is a callback at a point in virtual time.
type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// target simulates a target with a queue for as many requests as it has slots.
type target struct {
	Candidate
	slowdown  float64
	down      bool
	threshold int
	running   int
	queue     []func()
	// loadHistory holds a sample of the load every 100 ms, for delayed reports.
	loadHistory []Load
	// finishedCalls counts finished calls by tenths of a second.
	finishedCalls map[time.Duration]int
}

// simulation runs routers and targets in virtual time.
type simulation struct {
	now            time.Duration
	events         events
	rnd            *rand.Rand
	targets        map[string]*target
	list           []Candidate
	reportDelay    time.Duration
	service        time.Duration
	stragglerShare float64
	// roundRobin replaces the balancer by round robin, for comparison.
	roundRobin bool
	// crossRegion allows calls to targets in other regions.
	crossRegion bool
	latencies   []sample
	calls       int
	outOfZone   int
}

type sample struct {
	at, latency   time.Duration
	ok, straggler bool
	// firstRegion is set for calls of the first region, and crossed if the call
	// went to another region.
	firstRegion, crossed bool
}

func newSimulation(seed uint64, zones, perZone, slots int) *simulation {
	sim := &simulation{rnd: rand.New(rand.NewPCG(seed, 1)), targets: make(map[string]*target), service: 20 * time.Millisecond}
	for z := range zones {
		for i := range perZone {
			c := Candidate{NodeID: fmt.Sprintf("n%d-%d", z, i), Region: fmt.Sprintf("r%d", z/2), Zone: fmt.Sprintf("z%d", z), Slots: slots}
			sim.list = append(sim.list, c)
			sim.targets[c.NodeID] = &target{Candidate: c, slowdown: 1, finishedCalls: make(map[time.Duration]int)}
		}
	}
	return sim
}

func (s *simulation) after(d time.Duration, f func()) { heap.Push(&s.events, event{s.now + d, f}) }

func (s *simulation) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.now = until
}

// recordLoads samples the load of the targets every 100 ms for delayed reports.
func (s *simulation) recordLoads() {
	for _, t := range s.targets {
		t.loadHistory = append(t.loadHistory, t.load())
	}
	s.after(100*time.Millisecond, s.recordLoads)
}

func (t *target) load() Load {
	return Load{InFlight: t.running, Limit: t.Slots, Queued: len(t.queue), Threshold: t.threshold}
}

func (t *target) report(delay time.Duration) *Load {
	l := t.load()
	if delay > 0 {
		l = t.loadHistory[max(len(t.loadHistory)-1-int(delay/(100*time.Millisecond)), 0)]
	}
	return &l
}

// startCalls starts a Poisson stream of calls from one zone, rate per second,
// and returns the balancer that chooses their targets.
func (s *simulation) startCalls(zone int, rate float64, priority int) *Balancer {
	b := New()
	q := Query{Region: fmt.Sprintf("r%d", zone/2), Zone: fmt.Sprintf("z%d", zone), Priority: priority, CrossRegionAllowed: s.crossRegion}
	next := 0
	var arrive func()
	arrive = func() {
		s.after(time.Duration(s.rnd.ExpFloat64()/rate*float64(time.Second)), arrive)
		c := s.list[next%len(s.list)]
		next++
		if !s.roundRobin {
			var err error
			if c, err = b.Pick(s.now, s.rnd, s.list, q); err != nil {
				s.latencies = append(s.latencies, sample{at: s.now})
				return
			}
		}
		s.call(b, c, q)
	}
	s.after(0, arrive)
	return b
}

// call runs one call. The network delay per direction is 1 ms to another zone
// and 30 ms to another region.
func (s *simulation) call(b *Balancer, c Candidate, q Query) {
	t, start, networkDelay := s.targets[c.NodeID], s.now, time.Duration(0)
	s.calls++
	if c.Zone != q.Zone {
		networkDelay = time.Millisecond
		s.outOfZone++
	}
	if c.Region != q.Region {
		networkDelay = 30 * time.Millisecond
	}
	b.Started(s.now, c.NodeID)
	finish := func(r Result, straggler bool) {
		load := t.report(s.reportDelay)
		if r == Unreachable {
			load = nil
		}
		s.after(networkDelay, func() {
			b.Finished(s.now, c.NodeID, s.now-start, r, load)
			s.latencies = append(s.latencies, sample{start, s.now - start, r == OK, straggler, q.Region == "r0", c.Region != q.Region})
			t.finishedCalls[s.now/(100*time.Millisecond)]++
		})
	}
	s.after(networkDelay, func() { t.receive(s, q, finish) })
}

func (t *target) receive(sim *simulation, q Query, finish func(Result, bool)) {
	run := func() {
		t.running++
		d := float64(sim.service) * (0.5 + 0.5*sim.rnd.ExpFloat64()) * t.slowdown
		straggler := sim.rnd.Float64() < sim.stragglerShare
		if straggler {
			d *= 50
		}
		sim.after(time.Duration(d), func() {
			t.running--
			if len(t.queue) > 0 {
				next := t.queue[0]
				t.queue = t.queue[1:]
				next()
			}
			finish(OK, straggler)
		})
	}
	switch {
	case t.down:
		finish(Unreachable, false)
	case t.threshold > q.Priority || len(t.queue) >= t.Slots:
		finish(Refused, false)
	case t.running >= t.Slots:
		t.queue = append(t.queue, run)
	default:
		run()
	}
}

// p99AndSuccessShare returns the p99 latency in ms of the successful calls that
// started between from and to, and their share of all such calls. Calls that
// are stragglers do not count.
func (s *simulation) p99AndSuccessShare(from, to time.Duration) (p99, successShare float64) {
	var ok []time.Duration
	all := 0
	for _, call := range s.latencies {
		if call.at < from || call.at >= to || call.straggler {
			continue
		}
		all++
		if call.ok {
			ok = append(ok, call.latency)
		}
	}
	if len(ok) == 0 {
		return 0, 0
	}
	slices.Sort(ok)
	return ok[len(ok)*99/100].Seconds() * 1000, float64(len(ok)) / float64(all)
}

// share returns the share of the calls finished between from and to that one
// target finished.
func (s *simulation) share(id string, from, to time.Duration) float64 {
	own, all := 0, 0
	for name, t := range s.targets {
		for at := from; at < to; at += 100 * time.Millisecond {
			k := t.finishedCalls[at/(100*time.Millisecond)]
			all += k
			if name == id {
				own += k
			}
		}
	}
	return float64(own) / float64(max(all, 1))
}

// Property tests run with a fixed seed unless -rapid.seed is given.
func init() { _ = flag.Set("rapid.seed", "20261204") }
