package balancer

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/admission"
)

// Guards against long calls to nodes that refuse them, also if a node reports
// only Threshold, against a long threshold that also sheds short calls, and
// against one that is used after its TTL or after a restart of the process that
// reported it.
func TestLongThreshold(t *testing.T) {
	sim := newSimulation(9, 1, 2, 50)
	b := New()
	pick := func(now time.Duration, long bool, priority int) error {
		_, err := b.Pick(now, sim.rnd, sim.list, Query{Region: "r0", Zone: "z0", Priority: priority, Long: long})
		return err
	}
	reportLoad := func(now time.Duration, load Load) {
		for _, c := range sim.list {
			recordCall(b, now, c.NodeID, time.Millisecond, Refused, &load)
		}
	}
	now := time.Second
	assert.NilError(t, pick(now, true, 3))
	reportLoad(now, Load{Threshold: 1, LongThreshold: 4})
	shed := 0
	for range 100 {
		assert.NilError(t, pick(now, false, 3))
		assert.NilError(t, pick(now, true, 4))
		if errors.Is(pick(now, true, 3), ErrAllShedding) {
			shed++
		}
	}
	assert.Assert(t, shed >= 95, "%d of 100 long calls were shed, want at least 95", shed)
	assert.NilError(t, pick(now+thresholdTTL+time.Millisecond, true, 3))

	// Peers that do not report a long threshold: Threshold applies to long calls.
	now += 2 * time.Second
	reportLoad(now, Load{Threshold: 4})
	shed = 0
	for range 100 {
		if errors.Is(pick(now, true, 3), ErrAllShedding) {
			shed++
		}
	}
	assert.Assert(t, shed >= 95, "%d of 100 long calls were shed, want at least 95", shed)

	now += 2 * time.Second
	reportLoad(now, Load{LongThreshold: 4})
	// The first change is from the unknown incarnation 0, which keeps the state;
	// only the second one is a restart.
	for i := range sim.list {
		sim.list[i].Incarnation++
	}
	assert.NilError(t, pick(now, false, 3))
	sim.list[0].Incarnation++
	sim.list[1].Incarnation++
	for range 100 {
		assert.NilError(t, pick(now, true, 3))
	}
}

// Guards against long calls to a node that sheds them while another node admits
// them.
func TestLongThresholdOfOneNode(t *testing.T) {
	sim := newSimulation(10, 1, 2, 50)
	b := New()
	recordCall(b, time.Second, "n0-0", time.Millisecond, Refused, &Load{LongThreshold: 4})
	for range 200 {
		c, err := b.Pick(time.Second, sim.rnd, sim.list, Query{Region: "r0", Zone: "z0", Priority: 3, Long: true})
		assert.NilError(t, err)
		assert.Equal(t, c.NodeID, "n0-1")
	}
}

// admissionTarget simulates a target behind admission control.
type admissionTarget struct {
	sim                       *simulation
	c                         *admission.Controller
	pending                   map[uint64]func(admission.Verdict)
	refusedLong, refusedShort int
}

func (g *admissionTarget) deliver(events []admission.Event) {
	for _, e := range events {
		done := g.pending[e.ID]
		delete(g.pending, e.ID)
		done(e.Verdict)
	}
}

func (g *admissionTarget) tick() {
	g.deliver(g.c.Tick(g.sim.now))
	g.sim.after(5*time.Millisecond, g.tick)
}

// submit passes a job to admission control and calls finish when the job has
// completed or is refused.
func (g *admissionTarget) submit(j admission.Job, service time.Duration, finish func(Result)) {
	done := func(v admission.Verdict) {
		if v != admission.Run {
			if j.Long {
				g.refusedLong++
			} else {
				g.refusedShort++
			}
			finish(Refused)
			return
		}
		g.sim.after(service, func() {
			g.deliver(g.c.Finish(g.sim.now, j.ID, true))
			finish(OK)
		})
	}
	v, events := g.c.Submit(g.sim.now, j)
	g.deliver(events)
	if v == admission.Queued {
		g.pending[j.ID] = done
		return
	}
	done(v)
}

func (g *admissionTarget) load() *Load {
	l := g.c.Load()
	return &Load{InFlight: l.InFlight, Limit: l.Limit, Queued: l.Queued, Threshold: l.Threshold, LongThreshold: l.LongThreshold}
}

// traffic is one kind of calls with exponentially distributed interarrival and
// service times.
type traffic struct {
	kind                       string
	priority                   int
	long                       bool
	service                    time.Duration
	load                       float64
	calls, ok, refusedByCaller int
}

// BenchmarkLongThreshold reports where long calls are refused, without and with
// the long threshold. Four targets get short calls of priority 8 at 40% load,
// and long calls of priorities 6 and 3 at 150% load each.
func BenchmarkLongThreshold(b *testing.B) {
	const length = 20 * time.Second
	for _, slots := range []int{20, 120} {
		for _, used := range []bool{false, true} {
			b.Run(fmt.Sprintf("slots=%d/used=%v", slots, used), func(b *testing.B) {
				var longs, shorts, low, early, goodput, short float64
				for i := range b.N {
					list, refusedLong, refusedShort := simulateLongCalls(uint64(i+1), slots, used, length)
					longs += float64(refusedLong) / length.Seconds()
					shorts += float64(refusedShort) / length.Seconds()
					early += float64(list[1].refusedByCaller+list[2].refusedByCaller) / length.Seconds()
					low += 100 * float64(list[2].refusedByCaller) / float64(list[2].calls)
					for _, k := range list {
						goodput += 100 * float64(k.ok) * k.service.Seconds() / (4 * float64(slots) * length.Seconds())
					}
					short += 100 * float64(list[0].ok) / float64(list[0].calls)
				}
				n := float64(b.N)
				b.ReportMetric(longs/n, "long_refused_at_targets/s")
				b.ReportMetric(shorts/n, "short_refused_at_targets/s")
				b.ReportMetric(low/n, "priority_3_refused_by_caller_%")
				b.ReportMetric(early/n, "long_refused_by_caller/s")
				b.ReportMetric(goodput/n, "goodput_%")
				b.ReportMetric(short/n, "short_answered_%")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// simulateLongCalls returns the counts of each kind of calls, and the numbers of
// long and of short calls that the targets refused.
func simulateLongCalls(seed uint64, slots int, used bool, length time.Duration) (list []*traffic, longs, shorts int) {
	sim := newSimulation(seed, 1, 4, slots)
	sim.rnd = rand.New(rand.NewPCG(seed, 2))
	targets := map[string]*admissionTarget{}
	for _, c := range sim.list {
		g := &admissionTarget{sim: sim, pending: map[uint64]func(admission.Verdict){}}
		g.c = admission.New(admission.Config{Slots: slots, MaxQueueTime: 100 * time.Millisecond})
		targets[c.NodeID] = g
		g.tick()
	}
	list = []*traffic{
		{kind: "short", priority: 8, service: 10 * time.Millisecond, load: 0.4},
		{kind: "archive", priority: 6, long: true, service: 500 * time.Millisecond, load: 1.5},
		{kind: "report", priority: 3, long: true, service: 500 * time.Millisecond, load: 1.5},
	}
	bal, id := New(), uint64(0)
	for _, k := range list {
		rate := k.load * 4 * float64(slots) / k.service.Seconds()
		q := Query{Region: "r0", Zone: "z0", Priority: k.priority, Long: k.long && used}
		var arrive func()
		arrive = func() {
			sim.after(time.Duration(sim.rnd.ExpFloat64()/rate*float64(time.Second)), arrive)
			service := time.Duration(sim.rnd.ExpFloat64() * float64(k.service))
			k.calls++
			c, err := bal.Pick(sim.now, sim.rnd, sim.list, q)
			if err != nil {
				k.refusedByCaller++
				return
			}
			id++
			g, start := targets[c.NodeID], sim.now
			bal.Started(sim.now, c.NodeID)
			job := admission.Job{ID: id, Kind: k.kind, Priority: k.priority, Long: k.long, Deadline: sim.now + 5*time.Second}
			g.submit(job, service, func(r Result) {
				if r == OK {
					k.ok++
				}
				bal.Finished(sim.now, c.NodeID, sim.now-start, r, g.load())
			})
		}
		sim.after(0, arrive)
	}
	sim.run(length)
	for _, g := range targets {
		longs += g.refusedLong
		shorts += g.refusedShort
	}
	return list, longs, shorts
}
