package entryshed

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "parsleyturn/internal/rapidseed"
)

// Property tests run with a fixed seed unless -rapid.seed is given.
func init() { _ = flag.Set("rapid.seed", "20261204") }

// chain simulates an entry service of whose requests the share callingShare
// calls a downstream service. The downstream service admits capacity calls per
// second; the controller observes a response after 50 ms.
type chain struct {
	c            *Controller
	rnd          *rand.Rand
	callingShare float64
	capacity     float64
	tokens       float64
	now          time.Duration
	pending      []func()

	arrived, refused, refusedDownstream, succeeded int
}

// run resets the counters and offers 1000 requests per second until the given
// time.
func (c *chain) run(until time.Duration) {
	c.arrived, c.refused, c.refusedDownstream, c.succeeded = 0, 0, 0, 0
	for c.now < until {
		c.now += time.Millisecond
		if len(c.pending) >= 50 {
			c.pending[0]()
			c.pending = c.pending[1:]
		}
		c.tokens = min(c.tokens+c.capacity/1000, 20)
		c.arrived++
		if c.c.Decide(c.now, c.rnd, "browse", 3) == Refuse {
			c.refused++
			c.pending = append(c.pending, func() {})
			continue
		}
		thresholds, refusedDownstream := map[string]int{"near": 1}, false
		if c.rnd.Float64() < c.callingShare {
			refusedDownstream = c.tokens < 1
			thresholds["deep"] = 1
			if refusedDownstream {
				thresholds["deep"] = 5
				c.refusedDownstream++
			} else {
				c.tokens--
			}
		}
		if !refusedDownstream {
			c.succeeded++
		}
		c.pending = append(c.pending, func() { c.c.Observe(c.now, "browse", 3, thresholds, refusedDownstream) })
	}
}

func newChain(seed uint64, cfg Config, callingShare, capacity float64) *chain {
	return &chain{c: New(cfg), rnd: rand.New(rand.NewPCG(seed, 1)), callingShare: callingShare, capacity: capacity}
}

// Guards against refusing requests at the entry that would not call the
// overloaded service, and against wasted upstream work when all requests call
// it. The downstream service has no capacity; all requests call it in the first
// run and 30% in the second.
func TestRefusedShareFollowsDownstreamRefusals(t *testing.T) {
	all := newChain(1, Config{}, 1, 0)
	all.run(2 * time.Second)
	all.run(4 * time.Second)
	assert.Assert(t, all.refused > all.arrived*85/100, "%d of %d requests refused at the entry, want more than 85%%", all.refused, all.arrived)
	assert.Assert(t, all.refusedDownstream > 0, "no request was admitted")

	part := newChain(2, Config{}, 0.3, 0)
	part.run(2 * time.Second)
	part.run(6 * time.Second)
	assert.Assert(t, part.succeeded >= part.arrived*70/100*95/100, "%d of %d requests succeeded, 70%% possible", part.succeeded, part.arrived)
}

// Guards against refusals at the entry that continue more than a second after
// the downstream service has capacity again.
func TestRecoversWithinASecond(t *testing.T) {
	for seed := range uint64(20) {
		c := newChain(seed, Config{}, 1, 0)
		c.run(5 * time.Second)
		c.capacity = 1e6
		c.run(6 * time.Second)
		c.run(7 * time.Second)
		assert.Assert(t, c.succeeded >= c.arrived*99/100, "seed %d: %d of %d requests succeeded", seed, c.succeeded, c.arrived)
	}
}

// Guards against refusing the highest priority, refusing on thresholds older
// than 500 ms, refusing a priority that all downstream services admit, and
// tracking more kinds and services than configured.
func TestDecisionsUseOnlyFreshThresholds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{MaxKinds: 3, MaxServices: 2}
		c, rnd := New(cfg), rand.New(rand.NewPCG(1, 1))
		now, highest, observedAt := time.Second, map[string]int{}, map[string]time.Duration{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			kind := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "kind"))
			priority := rapid.IntRange(-1, 11).Draw(t, "priority")
			if rapid.Bool().Draw(t, "observe") {
				threshold := rapid.IntRange(0, 10).Draw(t, "threshold")
				service := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "service"))
				c.Observe(now, kind, priority, map[string]int{service: threshold}, rapid.Bool().Draw(t, "lost"))
				highest[kind], observedAt[kind] = max(highest[kind], threshold), now
				continue
			}
			if c.Decide(now, rnd, kind, priority) != Refuse {
				continue
			}
			if priority >= 10 || now-observedAt[kind] > 500*time.Millisecond || priority >= highest[kind] {
				t.Fatalf("refused kind %s at priority %d; highest threshold %d, last observed %v ago", kind, priority, highest[kind], now-observedAt[kind])
			}
		}
		assert.Assert(t, len(c.kinds) <= 3)
		for _, k := range c.kinds {
			assert.Assert(t, len(k.services) <= 2)
		}
	})
}

// BenchmarkEntry compares exponents by the share of requests that succeed,
// beside the share that the downstream capacity allows, and by the share that
// is refused downstream.
func BenchmarkEntry(b *testing.B) {
	for _, run := range []struct{ callingShare, capacity float64 }{{0.3, 0}, {0.3, 100}, {1, 0}, {1, 333}, {0.8, 0}} {
		for _, exponent := range []float64{2, 4, 8} {
			b.Run(fmt.Sprintf("meets=%.1f/capacity=%.0f/exponent=%.0f", run.callingShare, run.capacity, exponent), func(b *testing.B) {
				for range b.N {
					c := newChain(1, Config{Exponent: exponent}, run.callingShare, run.capacity)
					c.run(2 * time.Second)
					c.run(12 * time.Second)
					possible := 1 - run.callingShare + min(run.callingShare, run.capacity/1000)
					b.ReportMetric(100*float64(c.succeeded)/float64(c.arrived), "%good")
					b.ReportMetric(100*possible, "%possible")
					b.ReportMetric(100*float64(c.refusedDownstream)/float64(c.arrived), "%lost-deep")
				}
			})
		}
	}
}

// BenchmarkDecide measures a decision while a downstream service sheds load.
func BenchmarkDecide(b *testing.B) {
	c, rnd := New(Config{}), rand.New(rand.NewPCG(1, 1))
	thresholds := map[string]int{"a": 1, "b": 2, "c": 5, "d": 1, "e": 1}
	now := time.Second
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 10 * time.Microsecond
		if i%10 == 0 {
			c.Observe(now, "browse", 3, thresholds, true)
		}
		c.Decide(now, rnd, "browse", 3)
	}
}
