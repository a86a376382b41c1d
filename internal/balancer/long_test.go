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

// Guards against long work that is sent to nodes which refuse it, against a
// long threshold that keeps short work away, and against one that outlasts its
// cause or the process that reported it.
func TestLongThreshold(t *testing.T) {
	w := newWorld(9, 1, 2, 50)
	b := New()
	pick := func(now time.Duration, long bool, priority int) error {
		_, err := b.Pick(now, w.rnd, w.list, Query{Region: "r0", Zone: "z0", Priority: priority, Long: long})
		return err
	}
	hear := func(now time.Duration, load Load) {
		for _, c := range w.list {
			answer(b, now, c.NodeID, time.Millisecond, Refused, &load)
		}
	}
	now := time.Second
	assert.NilError(t, pick(now, true, 3))
	hear(now, Load{Threshold: 1, LongThreshold: 4})
	shed := 0
	for range 100 {
		assert.NilError(t, pick(now, false, 3))
		assert.NilError(t, pick(now, true, 4))
		if errors.Is(pick(now, true, 3), ErrAllShedding) {
			shed++
		}
	}
	assert.Assert(t, shed >= 95, "%d of 100 long calls were shed", shed)
	assert.NilError(t, pick(now+thresholdTTL+time.Millisecond, true, 3))

	// A peer that does not report the long threshold.
	now += 2 * time.Second
	hear(now, Load{Threshold: 4})
	shed = 0
	for range 100 {
		if errors.Is(pick(now, true, 3), ErrAllShedding) {
			shed++
		}
	}
	assert.Assert(t, shed >= 95, "%d of 100 long calls were shed", shed)

	now += 2 * time.Second
	hear(now, Load{LongThreshold: 4})
	for i := range w.list {
		w.list[i].Incarnation++
	}
	assert.NilError(t, pick(now, false, 3))
	w.list[0].Incarnation++
	w.list[1].Incarnation++
	for range 100 {
		assert.NilError(t, pick(now, true, 3))
	}
}

// Guards against long work that goes to a node which sheds it while another
// node admits it.
func TestLongThresholdOfOneNode(t *testing.T) {
	w := newWorld(10, 1, 2, 50)
	b := New()
	answer(b, time.Second, "n0-0", time.Millisecond, Refused, &Load{LongThreshold: 4})
	for range 200 {
		c, err := b.Pick(time.Second, w.rnd, w.list, Query{Region: "r0", Zone: "z0", Priority: 3, Long: true})
		assert.NilError(t, err)
		assert.Equal(t, c.NodeID, "n0-1")
	}
}

// guarded is a target behind admission control.
type guarded struct {
	w                         *world
	c                         *admission.Controller
	pending                   map[uint64]func(admission.Verdict)
	refusedLong, refusedShort int
}

func (g *guarded) deliver(events []admission.Event) {
	for _, e := range events {
		done := g.pending[e.ID]
		delete(g.pending, e.ID)
		done(e.Verdict)
	}
}

func (g *guarded) tick() {
	g.deliver(g.c.Tick(g.w.now))
	g.w.after(5*time.Millisecond, g.tick)
}

// submit runs or refuses a job; finish is told which.
func (g *guarded) submit(j admission.Job, service time.Duration, finish func(Result)) {
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
		g.w.after(service, func() {
			g.deliver(g.c.Finish(g.w.now, j.ID, true))
			finish(OK)
		})
	}
	v, events := g.c.Submit(g.w.now, j)
	g.deliver(events)
	if v == admission.Queued {
		g.pending[j.ID] = done
		return
	}
	done(v)
}

func (g *guarded) load() *Load {
	l := g.c.Load()
	return &Load{InFlight: l.InFlight, Limit: l.Limit, Queued: l.Queued, Threshold: l.Threshold, LongThreshold: l.LongThreshold}
}

// traffic is one kind of calls with exponential gaps and service times.
type traffic struct {
	kind             string
	priority         int
	long             bool
	service          time.Duration
	load             float64
	calls, ok, early int
}

// BenchmarkLongThreshold reports where long work is refused, without and with
// the long threshold: four targets, short work of priority 8 at 40% load, long
// work of priority 6 that offers 150% and of priority 3 that offers 150%.
func BenchmarkLongThreshold(b *testing.B) {
	const length = 20 * time.Second
	for _, slots := range []int{20, 120} {
		for _, used := range []bool{false, true} {
			b.Run(fmt.Sprintf("slots=%d/used=%v", slots, used), func(b *testing.B) {
				var longs, shorts, low, early, goodput, short float64
				for i := range b.N {
					list, refusedLong, refusedShort := playLong(uint64(i+1), slots, used, length)
					longs += float64(refusedLong) / length.Seconds()
					shorts += float64(refusedShort) / length.Seconds()
					early += float64(list[1].early+list[2].early) / length.Seconds()
					low += 100 * float64(list[2].early) / float64(list[2].calls)
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

// playLong returns what became of the calls, and the refusals of long and of
// short work at the targets.
func playLong(seed uint64, slots int, used bool, length time.Duration) (list []*traffic, longs, shorts int) {
	w := newWorld(seed, 1, 4, slots)
	w.rnd = rand.New(rand.NewPCG(seed, 2))
	targets := map[string]*guarded{}
	for _, c := range w.list {
		g := &guarded{w: w, pending: map[uint64]func(admission.Verdict){}}
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
			w.after(time.Duration(w.rnd.ExpFloat64()/rate*float64(time.Second)), arrive)
			service := time.Duration(w.rnd.ExpFloat64() * float64(k.service))
			k.calls++
			c, err := bal.Pick(w.now, w.rnd, w.list, q)
			if err != nil {
				k.early++
				return
			}
			id++
			g, start := targets[c.NodeID], w.now
			bal.Started(w.now, c.NodeID)
			job := admission.Job{ID: id, Kind: k.kind, Priority: k.priority, Long: k.long, Deadline: w.now + 5*time.Second}
			g.submit(job, service, func(r Result) {
				if r == OK {
					k.ok++
				}
				bal.Finished(w.now, c.NodeID, w.now-start, r, g.load())
			})
		}
		w.after(0, arrive)
	}
	w.run(length)
	for _, g := range targets {
		longs += g.refusedLong
		shorts += g.refusedShort
	}
	return list, longs, shorts
}
