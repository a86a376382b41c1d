package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "parsleyturn/internal/rapidseed"
)

// competingKinds returns two kinds of one priority with the given budget shares
// and offered loads.
func competingKinds(shareA, shareB, loadA, loadB float64) []stream {
	kind := func(name string, share, load float64) stream {
		j := Job{Kind: name, Priority: 3, BudgetShare: share}
		return stream{job: j, service: 10 * time.Millisecond, load: constant(load), deadline: time.Second}
	}
	return []stream{kind("a", shareA, loadA), kind("b", shareB, loadB)}
}

// usedShares runs a scenario and returns the mean share of the slots that the
// kinds "a" and "b" use after the first second, and the goodput of all kinds.
func usedShares(s scenario) (a, b, goodput float64) {
	n := 0.0
	s.sample = func(now time.Duration, c *Controller) {
		if now < time.Second {
			return
		}
		n++
		for name, sum := range map[string]*float64{"a": &a, "b": &b} {
			if k := c.kinds[name]; k != nil {
				*sum += float64(k.running)
			}
		}
	}
	r := summarize(s.run(), -1, time.Second, s.length-time.Second)
	slots := float64(s.slots)
	return a / n / slots, b / n / slots, r.work / (slots * (s.length - 2*time.Second).Seconds())
}

// Guards against a kind using more than its budget share while another kind of
// the same priority has enough load for the rest, and against slots left idle
// by enforcing the budgets.
func TestBudgetShareBoundsSlotTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.SampledFrom([]float64{0.1, 0.2, 0.3, 0.5}).Draw(t, "part")
		s := scenario{seed: rapid.Uint64().Draw(t, "seed"), slots: 20, length: 4 * time.Second}
		s.streams = competingKinds(share, 1-share, rapid.Float64Range(1.5, 3).Draw(t, "a"), rapid.Float64Range(1.5, 3).Draw(t, "b"))
		a, b, goodput := usedShares(s)
		if a > share+0.03 || b > 1-share+0.03 {
			t.Fatalf("kinds with budget shares %v and %v use %.3f and %.3f of the slots", share, 1-share, a, b)
		}
		if goodput < 0.9 {
			t.Fatalf("goodput is %.3f of the capacity, want at least 0.9", goodput)
		}
	})
}

// Guards against budgets that leave slots idle while no other kind of the same
// priority needs them, or while all kinds with queued jobs are at their budget.
func TestBudgetShareConservesWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := func(name string) float64 {
			return rapid.SampledFrom([]float64{0.1, 0.2, 0.4}).Draw(t, name)
		}
		s := scenario{seed: rapid.Uint64().Draw(t, "seed"), slots: 20, length: 4 * time.Second}
		s.streams = competingKinds(share("a"), share("b"), 2, rapid.SampledFrom([]float64{0, 0.05, 2}).Draw(t, "load b"))
		if a, b, goodput := usedShares(s); goodput < 0.9 || a+b < 0.95 {
			t.Fatalf("kinds use %.3f and %.3f of the slots at a goodput of %.3f", a, b, goodput)
		}
	})
}

// Guards against a budget that depends on the order of arrival, that applies to
// other priorities, or that still applies when the other kind has no queued
// jobs left.
func TestBudgetShareOrderOfService(t *testing.T) {
	c := New(Config{Slots: 4, MaxQueueTime: time.Hour})
	submit := func(id uint64, kind string, priority int, share float64) Verdict {
		v, _ := c.Submit(0, Job{ID: id, Kind: kind, Priority: priority, BudgetShare: share, Deadline: never})
		return v
	}
	for id := range uint64(4) {
		assert.Equal(t, submit(id, "a", 3, 0.5), Run, "a kind may use all slots while they are idle")
	}
	submit(10, "a", 3, 0.5)
	submit(11, "a", 3, 0.5)
	submit(12, "b", 3, 0)
	submit(13, "low", 2, 0)
	assert.DeepEqual(t, c.Finish(0, 0, false), []Event{{12, Run}})
	assert.DeepEqual(t, c.Finish(0, 1, false), []Event{{10, Run}})
	submit(14, "b", 3, 0)
	assert.DeepEqual(t, c.Finish(0, 2, false), []Event{{14, Run}})
	assert.DeepEqual(t, c.Finish(0, 3, false), []Event{{11, Run}})
	assert.DeepEqual(t, c.Finish(0, 10, false), []Event{{13, Run}})
}

// Guards against enforcing one budget for all kinds beyond maxKinds, which
// share one entry.
func TestBudgetShareOfOverflowKinds(t *testing.T) {
	c := New(Config{Slots: 2, MaxQueueTime: time.Hour})
	for i := range maxKinds + 2 {
		c.Submit(0, Job{ID: uint64(i), Kind: fmt.Sprint(i), BudgetShare: 0.1, Deadline: never})
	}
	k := c.kinds[""]
	assert.Assert(t, k != nil && k.overflow && !k.atBudget(0))
}

// BenchmarkBudgetShare reports the share of the slots that two kinds of one
// priority use at 3x overload, without and with budget shares of 0.3 and 0.7.
// The kind with the share of 0.3 offers half of the load or most of it.
func BenchmarkBudgetShare(b *testing.B) {
	for _, slots := range []int{20, 70, 120} {
		for _, load := range []float64{1.5, 2.2} {
			for _, enforced := range []bool{false, true} {
				name := fmt.Sprintf("slots=%d/load=%v+%.1f/enforced=%v", slots, load, 3-load, enforced)
				report(b, name, func(seed uint64, add adder) {
					s := scenario{seed: seed, slots: slots, length: 12 * time.Second}
					s.streams = competingKinds(0, 0, load, 3-load)
					if enforced {
						s.streams = competingKinds(0.3, 0.7, load, 3-load)
					}
					first, second, goodput := usedShares(s)
					add("held_0.3_%", 100*first)
					add("held_0.7_%", 100*second)
					add("goodput_%", 100*goodput)
				})
			}
		}
	}
}

// BenchmarkBudgetShareShortQueue reports the same with budget shares and short
// queues: a slot that becomes free while the other kind has no queued job goes
// to the kind that is at its budget.
func BenchmarkBudgetShareShortQueue(b *testing.B) {
	for _, slots := range []int{20, 120} {
		for _, queue := range []time.Duration{time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond} {
			report(b, fmt.Sprintf("slots=%d/queue=%v", slots, queue), func(seed uint64, add adder) {
				s := scenario{seed: seed, slots: slots, length: 12 * time.Second}
				s.streams = competingKinds(0.3, 0.7, 2.2, 0.8)
				s.configure = func(c *Controller) { c.Configure(0, Config{Slots: slots, MaxQueueTime: queue}) }
				first, second, goodput := usedShares(s)
				add("held_0.3_%", 100*first)
				add("held_0.7_%", 100*second)
				add("goodput_%", 100*goodput)
			})
		}
	}
}
