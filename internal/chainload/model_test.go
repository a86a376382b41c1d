// Package chainload holds a load model of call chains, for tests of the decisions
// that several nodes make together: admission beside each target, the throttle
// where a chain begins, and the retries of each level. The decisions are those of
// the product; targets, callers and time are simulated, without network.
package chainload

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"parsleyturn/internal/admission"
	"parsleyturn/internal/balancer"
	"parsleyturn/internal/throttle"
)

const (
	// zoneDelay, regionDelay and farDelay are the one-way delays within an
	// availability zone, between those of a region, and between regions.
	zoneDelay   = 500 * time.Microsecond
	regionDelay = 1400 * time.Microsecond
	farDelay    = 30 * time.Millisecond
	// queueTime bounds the wait for a slot.
	queueTime = 400 * time.Millisecond
	// maxWaitDivisor is the inverse of the share of its time that a call spends in
	// waits at several nodes.
	maxWaitDivisor = 3
	// maxNodes is the number of nodes that a call tries while none of them sends
	// it to its target.
	maxNodes = 5
	// tailShare of the jobs take tailFactor times as long as the others.
	tailShare, tailFactor = 0.03, 7
)

// event is a callback at a time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)   { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// kind is a kind of request or sub-call.
type kind struct {
	name     string
	service  string
	rank     int
	work     time.Duration
	timeout  time.Duration
	sequence []string // sub-calls, one after another
	// parallel is set if the sub-calls run beside the work and not after it.
	parallel bool
	// ownTimeLimit is set for sub-calls whose time limit is shorter than that of
	// their parents, which their deadline therefore does not identify.
	ownTimeLimit bool
	// goal, deadline, worth and late describe requests of callers: the time in
	// which a response is worth its full credit, the one in which it is worth late,
	// and the credit.
	goal, deadline time.Duration
	worth, late    float64
	idempotent     bool
}

// priority returns the priority of a call of the kind in a chain.
func (k *kind) priority(c chain) int {
	if k.ownTimeLimit {
		return 10 - k.rank
	}
	return 10 - min(k.rank, c.rank)
}

// serviceSpec is a service: its number of targets in each availability zone, and
// their slots and speeds, which the targets have in turn.
type serviceSpec struct {
	targets []int
	slots   int
	speeds  []float64
	// shed returns the share of requests that the targets refuse at a time.
	shed func(now time.Duration) float64
}

// stream is a kind of request with its rate per second.
type stream struct {
	kind string
	rate func(now time.Duration) float64
}

// node is a node beside a target.
type node struct {
	m        *model
	id       string
	zone     int
	speed    float64
	balancer *balancer.Balancer
	service  string
	slots    *admission.Controller
	throttle *throttle.Controller
	waiting  map[uint64]func(admission.Verdict)
	tickAt   time.Duration
	// overloadedAt is the time at which a sub-call without a known parent was last
	// refused for lack of capacity.
	overloadedAt time.Duration
}

// result is the outcome of a call.
type result struct {
	ok bool
	// ran is set if a target has run the request, at least in part.
	ran bool
	// overload is set if the request, or one of its sub-calls, was refused for lack
	// of capacity.
	overload bool
	// retryAfter is the retry delay of a refusal.
	retryAfter time.Duration
}

// tally counts the outcomes of the requests of one kind.
type tally struct {
	asked, inGoal, late, refused, failed int
	worth, owed                          float64
}

func (t *tally) share() float64 { return t.worth / math.Max(t.owed, 1) }

// served returns the share of requests with a response.
func (t *tally) served() float64 { return float64(t.inGoal+t.late) / math.Max(float64(t.asked), 1) }

type model struct {
	rnd      *rand.Rand
	now      time.Duration
	queue    eventQueue
	seq      int
	kinds    map[string]*kind
	services map[string]serviceSpec
	nodes    []*node
	byID     map[string]*node
	// candidates are the nodes of each service.
	candidates map[string][]balancer.Candidate
	nextID     uint64
	// from and to bound the arrivals that are counted.
	from, to time.Duration
	tallies  map[string]*tally
	// arrivals counts the requests that reached a target, by service, and repeats
	// those beyond the first of their call.
	arrivals, repeats map[string]int
}

func newModel(seed uint64, kinds []*kind, services map[string]serviceSpec) *model {
	m := &model{
		rnd: rand.New(rand.NewPCG(seed, 7)), kinds: map[string]*kind{}, services: services, byID: map[string]*node{}, candidates: map[string][]balancer.Candidate{},
		tallies: map[string]*tally{}, arrivals: map[string]int{}, repeats: map[string]int{},
	}
	for _, k := range kinds {
		m.kinds[k.name] = k
		if k.worth > 0 {
			m.tallies[k.name] = &tally{}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(services)) {
		s := services[name]
		for zone, count := range s.targets {
			for range count {
				m.addNode(name, zone, s)
			}
		}
	}
	return m
}

func (m *model) addNode(service string, zone int, s serviceSpec) {
	n := &node{
		m: m, id: fmt.Sprintf("%s-%d", service, len(m.candidates[service])), zone: zone, speed: 1, service: service, balancer: balancer.New(),
		slots: admission.New(admission.Config{Slots: s.slots, MaxQueueTime: queueTime}), throttle: throttle.New(), waiting: map[uint64]func(admission.Verdict){},
	}
	if len(s.speeds) > 0 {
		n.speed = s.speeds[len(m.candidates[service])%len(s.speeds)]
	}
	m.nodes, m.byID[n.id] = append(m.nodes, n), n
	m.candidates[service] = append(m.candidates[service], balancer.Candidate{NodeID: n.id, Incarnation: 1, Region: regionOf(zone), Zone: fmt.Sprint(zone), Slots: s.slots})
}

// regionOf returns the region of an availability zone. Zones alternate.
func regionOf(zone int) string { return fmt.Sprint(zone % 2) }

// delay returns the one-way delay between two nodes.
func delay(a, b *node) time.Duration {
	switch {
	case a == b:
		return 0
	case a.zone == b.zone:
		return zoneDelay
	case regionOf(a.zone) == regionOf(b.zone):
		return regionDelay
	}
	return farDelay
}

func (m *model) after(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.queue, event{m.now + max(d, 0), m.seq, do})
}

// run offers the streams until to, and counts the requests that arrive from from
// on.
func (m *model) run(from, to time.Duration, streams ...stream) {
	m.from, m.to = from, to
	for _, s := range streams {
		m.arrive(s)
	}
	for len(m.queue) > 0 {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		e.do()
	}
}

// arrive schedules the next request of a stream.
func (m *model) arrive(s stream) {
	rate := s.rate(m.now)
	if rate <= 0 {
		m.after(10*time.Millisecond, func() { m.next(s) })
		return
	}
	m.after(time.Duration(m.rnd.ExpFloat64()/rate*1e9), func() {
		m.request(m.kinds[s.kind])
		m.next(s)
	})
}

func (m *model) next(s stream) {
	if m.now < m.to {
		m.arrive(s)
	}
}

// request makes a request of a caller, who tries once more after a failure that
// permits it.
func (m *model) request(k *kind) {
	begin := m.now
	counted := begin >= m.from
	t := m.tallies[k.name]
	if counted {
		t.asked++
		t.owed += k.worth
	}
	entry := m.nodes[m.rnd.IntN(len(m.nodes))]
	var attempt func(try int)
	attempt = func(try int) {
		deadline := min(begin+k.deadline, m.now+k.timeout)
		m.call(k, chain{start: m.now, rank: k.rank}, deadline, entry, func(r result) {
			left := begin + k.deadline - m.now
			switch {
			case r.ok:
				if counted {
					t.count(k, m.now-begin)
				}
			case try == 1 && left > 0 && (k.idempotent || !r.ran):
				m.after(min(max(r.retryAfter, 20*time.Millisecond), left/3), func() { attempt(2) })
			case counted && !r.ran:
				t.refused++
			case counted:
				t.failed++
			}
		})
	}
	attempt(1)
}

func (t *tally) count(k *kind, took time.Duration) {
	if took <= k.goal {
		t.inGoal++
		t.worth += k.worth
		return
	}
	t.late++
	t.worth += k.late
}

// chain is what a sub-call inherits.
type chain struct {
	start time.Duration
	rank  int
	depth int
}

// call sends a call to a node of its service, and to others while nodes refuse it
// before their targets get it.
func (m *model) call(k *kind, c chain, deadline time.Duration, from *node, done func(result)) {
	tried := map[string]bool{}
	arrived := m.now
	last := result{overload: true}
	var attempt func(try int)
	attempt = func(try int) {
		chosen, err := from.balancer.Pick(m.now, m.rnd, m.candidates[k.service], balancer.Query{
			Region: regionOf(from.zone), Zone: fmt.Sprint(from.zone), Priority: 10 - k.rank, Exclude: tried, CrossRegionAllowed: true,
		})
		if err != nil {
			done(last)
			return
		}
		n := m.byID[chosen.NodeID]
		tried[n.id] = true
		from.balancer.Started(m.now, n.id)
		begin, hop := m.now, delay(from, n)
		m.after(hop, func() {
			maxWait := (arrived + (deadline-arrived)/maxWaitDivisor - m.now) / time.Duration(min(maxNodes+1-try, len(m.candidates[k.service])-len(tried)+1))
			n.serve(k, c, deadline-2*hop, max(maxWait, 10*time.Millisecond), func(r result, final, reached bool) {
				load := n.slots.Load()
				m.after(hop, func() {
					outcome := balancer.OK
					if !r.ran {
						outcome = balancer.Refused
					}
					from.balancer.Finished(m.now, n.id, m.now-begin, outcome, &balancer.Load{InFlight: load.InFlight, Limit: load.Limit, Queued: load.Queued, Threshold: load.Threshold, LongThreshold: load.LongThreshold})
					last = r
					waitedTooLong := m.now-arrived > (deadline-arrived)/maxWaitDivisor
					if r.ok || r.ran || final || reached || try == maxNodes || waitedTooLong || m.now >= deadline {
						done(r)
						return
					}
					attempt(try + 1)
				})
			})
		})
	}
	attempt(1)
}

// serve decides on a call and runs it on the target of the node.
func (n *node) serve(k *kind, c chain, deadline, maxWait time.Duration, done func(r result, final, reached bool)) {
	m := n.m
	n.throttle.RecordArrival(m.now, k.name, c.depth > 0)
	if c.depth == 0 && !n.throttle.Admit(m.now, k.name, c.rank, m.rnd.Float64()) {
		done(result{retryAfter: 700*time.Millisecond + time.Duration(m.rnd.Int64N(int64(700*time.Millisecond)))}, true, false)
		return
	}
	begin := m.now
	m.nextID++
	id := m.nextID
	n.submit(admission.Job{ID: id, Kind: k.name, Priority: k.priority(c), Deadline: deadline, InChain: c.depth > 0, ChainStart: c.start, MaxWait: maxWait}, func(v admission.Verdict) {
		if v != admission.Run {
			done(result{overload: true, retryAfter: 500 * time.Millisecond}, false, false)
			return
		}
		m.arrivals[k.service]++
		if shed := m.services[k.service].shed; shed != nil && m.rnd.Float64() < shed(m.now) {
			n.finish(id, false)
			done(result{}, false, true)
			return
		}
		m.execute(k, c, deadline, n, func(ok, overload bool) {
			n.finish(id, ok)
			if c.depth == 0 && c.rank >= throttle.MinThrottledRank && (ok || overload) {
				n.throttle.RecordOutcome(m.now, begin, k.name, ok)
			}
			done(result{ok: ok, ran: true, overload: overload}, false, true)
		})
	})
}

// recordOverload records that a sub-call of an execution was refused for lack of
// capacity. If its parent is not known, any request at the target may be.
func (n *node) recordOverload(x *execution, sub *kind) {
	if sub.ownTimeLimit {
		n.overloadedAt = n.m.now
		return
	}
	x.overload = true
}

// execution is a request at the target of a node.
type execution struct {
	sent     time.Duration
	overload bool
}

// execute runs a request on a target: its work and its sub-calls.
func (m *model) execute(k *kind, c chain, deadline time.Duration, n *node, done func(ok, overload bool)) {
	work := time.Duration(float64(k.work) / n.speed * math.Exp(0.3*m.rnd.NormFloat64()) / (1 + tailShare*(tailFactor-1)))
	if m.rnd.Float64() < tailShare {
		work *= tailFactor
	}
	x := &execution{sent: m.now}
	ended := false
	finish := func(ok bool) {
		if !ended {
			ended = true
			done(ok, !ok && (x.overload || n.overloadedAt > x.sent))
		}
	}
	m.after(deadline-m.now, func() { finish(false) })
	pending := 2
	part := func() {
		if pending--; pending == 0 {
			finish(true)
		}
	}
	var calls func(i int)
	calls = func(i int) {
		if i == len(k.sequence) {
			part()
			return
		}
		sub := m.kinds[k.sequence[i]]
		m.call(sub, chain{c.start, c.rank, c.depth + 1}, min(deadline, m.now+sub.timeout), n, func(r result) {
			if r.overload && !r.ok {
				n.recordOverload(x, sub)
			}
			switch {
			case ended:
			case r.ok:
				calls(i + 1)
			default:
				finish(false)
			}
		})
	}
	if k.parallel {
		m.after(work, part)
		calls(0)
		return
	}
	m.after(work, func() {
		part()
		calls(0)
	})
}

// submit passes a job to the admission controller.
func (n *node) submit(j admission.Job, decided func(admission.Verdict)) {
	v, events := n.slots.Submit(n.m.now, j)
	if v == admission.Queued {
		n.waiting[j.ID] = decided
	}
	n.deliver(events)
	if v != admission.Queued {
		decided(v)
	}
}

func (n *node) finish(id uint64, ok bool) { n.deliver(n.slots.Finish(n.m.now, id, ok)) }

func (n *node) deliver(events []admission.Event) {
	for _, e := range events {
		if decided, found := n.waiting[e.ID]; found {
			delete(n.waiting, e.ID)
			n.m.after(0, func() { decided(e.Verdict) })
		}
	}
	due, ok := n.slots.NextDue()
	if !ok || due >= n.tickAt && n.tickAt > n.m.now {
		return
	}
	n.tickAt = max(due, n.m.now+time.Millisecond)
	n.m.after(n.tickAt-n.m.now, func() { n.deliver(n.slots.Tick(n.m.now)) })
}
