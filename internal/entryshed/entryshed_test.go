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

// chain is an entry that calls a deep service for a part of its requests. The
// deep service runs capacity calls a second; answers return after 50 ms.
type chain struct {
	c        *Controller
	rnd      *rand.Rand
	meets    float64
	capacity float64
	tokens   float64
	now      time.Duration
	pending  []func()

	arrived, refused, lost, good int
}

// run offers 1000 requests a second until a time.
func (c *chain) run(until time.Duration) {
	c.arrived, c.refused, c.lost, c.good = 0, 0, 0, 0
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
		thresholds, lost := map[string]int{"near": 1}, false
		if c.rnd.Float64() < c.meets {
			lost = c.tokens < 1
			thresholds["deep"] = 1
			if lost {
				thresholds["deep"] = 5
				c.lost++
			} else {
				c.tokens--
			}
		}
		if !lost {
			c.good++
		}
		c.pending = append(c.pending, func() { c.c.Observe(c.now, "browse", 3, thresholds, lost) })
	}
}

func newChain(seed uint64, cfg Config, meets, capacity float64) *chain {
	return &chain{c: New(cfg), rnd: rand.New(rand.NewPCG(seed, 1)), meets: meets, capacity: capacity}
}

// Guards against refusals at the entry that throw away requests which would
// not meet the overloaded service, and against useless work when all do.
func TestRefusedShareFollowsDeepRefusals(t *testing.T) {
	all := newChain(1, Config{}, 1, 0)
	all.run(2 * time.Second)
	all.run(4 * time.Second)
	assert.Assert(t, all.refused > all.arrived*85/100, "%d of %d refused at the entry", all.refused, all.arrived)
	assert.Assert(t, all.lost > 0, "probes must go through")

	part := newChain(2, Config{}, 0.3, 0)
	part.run(2 * time.Second)
	part.run(6 * time.Second)
	assert.Assert(t, part.good >= part.arrived*70/100*95/100, "%d of %d good, 70%% possible", part.good, part.arrived)
}

// Guards against an entry that still refuses when the deep service has room
// again.
func TestRecoversWithinASecond(t *testing.T) {
	for seed := range uint64(20) {
		c := newChain(seed, Config{}, 1, 0)
		c.run(5 * time.Second)
		c.capacity = 1e6
		c.run(6 * time.Second)
		c.run(7 * time.Second)
		assert.Assert(t, c.good >= c.arrived*99/100, "seed %d: %d of %d good", seed, c.good, c.arrived)
	}
}

// Guards against refusing the highest priority, refusing without fresh
// knowledge, refusing a priority that the deep services admit, and unbounded
// memory.
func TestDecisionsNeedFreshKnowledge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{MaxKinds: 3, MaxServices: 2}
		c, rnd := New(cfg), rand.New(rand.NewPCG(1, 1))
		now, highest, heard := time.Second, map[string]int{}, map[string]time.Duration{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			kind := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "kind"))
			priority := rapid.IntRange(-1, 11).Draw(t, "priority")
			if rapid.Bool().Draw(t, "observe") {
				threshold := rapid.IntRange(0, 10).Draw(t, "threshold")
				service := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "service"))
				c.Observe(now, kind, priority, map[string]int{service: threshold}, rapid.Bool().Draw(t, "lost"))
				highest[kind], heard[kind] = max(highest[kind], threshold), now
				continue
			}
			if c.Decide(now, rnd, kind, priority) != Refuse {
				continue
			}
			if priority >= 10 || now-heard[kind] > 500*time.Millisecond || priority >= highest[kind] {
				t.Fatalf("refused %s at priority %d, threshold %d, %v old", kind, priority, highest[kind], now-heard[kind])
			}
		}
		assert.Assert(t, len(c.kinds) <= 3)
		for _, k := range c.kinds {
			assert.Assert(t, len(k.services) <= 2)
		}
	})
}

// BenchmarkEntry compares exponents: good answers relative to what the deep
// service allows, and requests lost deep relative to arrivals.
func BenchmarkEntry(b *testing.B) {
	for _, run := range []struct{ meets, capacity float64 }{{0.3, 0}, {0.3, 100}, {1, 0}, {1, 333}, {0.8, 0}} {
		for _, exponent := range []float64{2, 4, 8} {
			b.Run(fmt.Sprintf("meets=%.1f/capacity=%.0f/exponent=%.0f", run.meets, run.capacity, exponent), func(b *testing.B) {
				for range b.N {
					c := newChain(1, Config{Exponent: exponent}, run.meets, run.capacity)
					c.run(2 * time.Second)
					c.run(12 * time.Second)
					possible := 1 - run.meets + min(run.meets, run.capacity/1000)
					b.ReportMetric(100*float64(c.good)/float64(c.arrived), "%good")
					b.ReportMetric(100*possible, "%possible")
					b.ReportMetric(100*float64(c.lost)/float64(c.arrived), "%lost-deep")
				}
			})
		}
	}
}

// BenchmarkDecide measures a decision while a deep service sheds.
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
