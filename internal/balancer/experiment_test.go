package balancer

import (
	"fmt"
	"testing"
	"time"
)

// zoneLayouts maps a number of targets to the number of zones and of targets per
// zone.
var zoneLayouts = map[int][2]int{4: {4, 1}, 8: {4, 2}, 28: {4, 7}}

// simulateSlowedTargets runs routers in four zones that offer load relative to
// all slots, with load reports delayed by 5 s. From second 5 to 15, a quarter of
// the targets, spread over the zones as far as possible, is 5 times slower.
func simulateSlowedTargets(seed uint64, n, routers int, load, straggler float64, variant func(*simulation, *Balancer)) *simulation {
	l := zoneLayouts[n]
	sim := newSimulation(seed, l[0], l[1], 70)
	sim.reportDelay, sim.stragglerShare, sim.crossRegion = 5*time.Second, straggler, true
	mean := sim.service.Seconds() * (1 + 49*straggler)
	for z := range routers {
		variant(sim, sim.startCalls(z%4, load*float64(n*70)/mean/float64(routers), 5))
	}
	sim.recordLoads()
	sim.after(5*time.Second, func() { sim.setSlowdown(n, 5) })
	sim.after(15*time.Second, func() { sim.setSlowdown(n, 1) })
	sim.run(19 * time.Second)
	return sim
}

// setSlowdown sets the slowdown of a quarter of the n targets.
func (s *simulation) setSlowdown(n int, factor float64) {
	for i := range n / 4 {
		perZone := zoneLayouts[n][1]
		s.targets[fmt.Sprintf("n%d-%d", i%4, i/4%perZone)].slowdown = factor
	}
}

// restoreTime returns the time from the end of the slowdown until the target has
// at least 80% of its earlier share of calls over half a second, at most 3 s.
func (s *simulation) restoreTime(id string) time.Duration {
	before := s.share(id, 2*time.Second, 5*time.Second)
	for at := 15 * time.Second; at < 18*time.Second; at += 100 * time.Millisecond {
		if s.share(id, at, at+500*time.Millisecond) >= 0.8*before {
			return at - 15*time.Second
		}
	}
	return 3 * time.Second
}

func BenchmarkSlowedQuarter(b *testing.B) {
	variants := []struct {
		name string
		set  func(*simulation, *Balancer)
	}{
		{"balancer", func(*simulation, *Balancer) {}},
		{"two-choices", func(_ *simulation, b *Balancer) { b.choices = 2 }},
		{"round-robin", func(sim *simulation, _ *Balancer) { sim.roundRobin = true }},
	}
	for _, run := range []struct {
		n, routers int
		load       float64
	}{{4, 4, 0.4}, {8, 4, 0.4}, {28, 4, 0.4}, {4, 40, 0.4}, {8, 40, 0.4}, {28, 40, 0.4}, {4, 4, 0.55}, {4, 40, 0.55}} {
		n, routers, load := run.n, run.routers, run.load
		for _, v := range variants {
			b.Run(fmt.Sprintf("targets=%d/routers=%d/load=%.2f/%s", n, routers, load, v.name), func(b *testing.B) {
				for range b.N {
					reportSlowedQuarter(b, n, routers, load, v.set)
				}
			})
		}
	}
}

// reportSlowedQuarter reports the worst value of each metric over three seeds.
func reportSlowedQuarter(b *testing.B, n, routers int, load float64, variant func(*simulation, *Balancer)) {
	worst := map[string]float64{"%goodput": 1000}
	for seed := uint64(1); seed <= 3; seed++ {
		sim := simulateSlowedTargets(seed, n, routers, load, 0, variant)
		before, goodBefore := sim.p99AndSuccessShare(2*time.Second, 5*time.Second)
		during, good := sim.p99AndSuccessShare(5*time.Second, 15*time.Second)
		worst["p99-ratio"] = max(worst["p99-ratio"], during/before)
		worst["ms-p99-slowed"] = max(worst["ms-p99-slowed"], during)
		worst["%goodput"] = min(worst["%goodput"], 100*good/goodBefore)
		worst["s-restored"] = max(worst["s-restored"], sim.restoreTime("n0-0").Seconds())
		worst["%share-slowed"] = max(worst["%share-slowed"], 100*sim.share("n0-0", 6*time.Second, 15*time.Second))
		worst["%out-of-zone"] = max(worst["%out-of-zone"], 100*float64(sim.outOfZone)/float64(sim.calls))
	}
	for name, value := range worst {
		b.ReportMetric(value, name)
	}
}

// BenchmarkStragglers compares healthy targets with and without 2% of requests
// that take 50 times longer, at the same slot utilization.
func BenchmarkStragglers(b *testing.B) {
	for _, n := range []int{4, 8, 28} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			for range b.N {
				p99 := func(straggler float64) (float64, float64) {
					sim := newSimulation(1, 1, n, 70)
					sim.stragglerShare = straggler
					sim.startCalls(0, 0.4*float64(n*70)/sim.service.Seconds()/(1+49*straggler), 5)
					sim.run(10 * time.Second)
					least := 1.0
					for _, c := range sim.list {
						least = min(least, sim.share(c.NodeID, time.Second, 10*time.Second)*float64(n))
					}
					ms, _ := sim.p99AndSuccessShare(time.Second, 10*time.Second)
					return ms, least
				}
				without, leastWithout := p99(0)
				with, least := p99(0.02)
				b.ReportMetric(with/without, "p99-ratio-short")
				b.ReportMetric(100*least, "%least-share-of-fair")
				b.ReportMetric(100*leastWithout, "%least-share-without")
			}
		})
	}
}

// BenchmarkPick measures one Pick, Started and Finished.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{4, 30, 300} {
		b.Run(fmt.Sprintf("candidates=%d", n), func(b *testing.B) {
			sim := newSimulation(1, 2, n/2, 100)
			bal, q := New(), Query{Region: "r0", Zone: "z0", Priority: 5}
			load := &Load{InFlight: 3, Limit: 100}
			now := time.Second
			b.ReportAllocs()
			for b.Loop() {
				now += 10 * time.Microsecond
				c, err := bal.Pick(now, sim.rnd, sim.list, q)
				if err != nil {
					b.Fatal(err)
				}
				bal.Started(now, c.NodeID)
				bal.Finished(now, c.NodeID, 10*time.Millisecond, OK, load)
			}
		})
	}
}
