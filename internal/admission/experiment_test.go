package admission

import (
	"fmt"
	"testing"
	"time"
)

// userSlots are the slot counts of users' services.
var userSlots = []int{20, 40, 70, 100, 120}

// algorithms are the limit algorithms to compare; search is used in production.
var algorithms = []struct {
	name string
	next func(l *limiter, m measurement)
}{
	{"search", (*limiter).search},
	{"fixed", func(*limiter, measurement) {}},
	{"aimd", func(l *limiter, m measurement) {
		if m.gradient > latencyTolerance {
			l.limit = l.clamp(l.limit * 0.9)
		} else if m.saturated {
			l.limit = l.clamp(l.limit + 1)
		}
	}},
	{"gradient", func(l *limiter, m measurement) {
		target := l.limit*min(1, latencyTolerance/m.gradient) + 0.05*float64(l.slots)
		l.limit = l.clamp(l.limit + 0.2*(target-l.limit))
	}},
}

func withAlgorithm(next func(l *limiter, m measurement)) func(c *Controller) {
	return func(c *Controller) { c.limiter.algorithm = next }
}

func mixedLoad(browse, order func(time.Duration) float64) []stream {
	return []stream{
		{job: Job{Kind: "browse", Priority: 3}, service: 10 * time.Millisecond, load: browse, deadline: time.Second},
		{job: Job{Kind: "order", Priority: 8}, service: 30 * time.Millisecond, load: order, deadline: time.Second},
	}
}

// report runs an experiment once per iteration, each time with a different
// seed, and reports the means of its metrics.
func report(b *testing.B, name string, fn func(seed uint64, add adder)) {
	b.Run(name, func(b *testing.B) {
		sums := map[string]float64{}
		for i := range b.N {
			fn(uint64(i+1), func(metric string, v float64) { sums[metric] += v })
		}
		for metric, sum := range sums {
			b.ReportMetric(sum/float64(b.N), metric)
		}
		b.ReportMetric(0, "ns/op")
	})
}

type adder = func(metric string, v float64)

// withAndWithoutControl runs an experiment with and without admission control.
func withAndWithoutControl(b *testing.B, fn func(s scenario, add adder)) {
	for _, slots := range userSlots {
		for _, baseline := range []bool{false, true} {
			report(b, fmt.Sprintf("slots=%d/admission=%v", slots, !baseline), func(seed uint64, add adder) {
				fn(scenario{seed: seed, slots: slots, uncontrolled: baseline}, add)
			})
		}
	}
}

func BenchmarkOverload3x(b *testing.B) {
	withAndWithoutControl(b, func(s scenario, add adder) {
		s.length = 22 * time.Second
		s.streams = mixedLoad(during(2*time.Second, 22*time.Second, 0.4, 2.2), during(2*time.Second, 22*time.Second, 0.3, 0.8))
		all := s.run()
		span := 17 * time.Second
		r := summarize(all, -1, 4*time.Second, 21*time.Second)
		order := summarize(all, 1, 4*time.Second, 21*time.Second)
		add("goodput_%", 100*r.work/(span.Seconds()*float64(s.slots)))
		add("order_success_%", 100*order.success())
		add("p50_ms", float64(r.p50.Milliseconds()))
		add("p99_ms", float64(r.p99.Milliseconds()))
	})
}

// BenchmarkClientAccounts reports the share of the slot time of a client
// account whose jobs run 5 times longer than those of another account with the
// same share, at 3x load.
func BenchmarkClientAccounts(b *testing.B) {
	for _, slots := range []int{20, 70, 120} {
		for _, heavy := range []float64{1.5, 2.2} {
			report(b, fmt.Sprintf("slots=%d/heavy=%v", slots, heavy), func(seed uint64, add adder) {
				s := scenario{seed: seed, slots: slots, length: 12 * time.Second, streams: unequalClientAccounts(5, 3-heavy, heavy)}
				all := s.run()
				light := summarize(all, 0, 2*time.Second, 10*time.Second)
				r := summarize(all, 1, 2*time.Second, 10*time.Second)
				add("heavy_buyer_%", 100*r.work/(light.work+r.work))
				add("goodput_%", 100*(light.work+r.work)/(8*float64(slots)))
			})
		}
	}
}

// BenchmarkOrder compares orders of service under sustained overload.
func BenchmarkOrder(b *testing.B) {
	for _, slots := range []int{20, 120} {
		for name, standing := range map[string]time.Duration{"fifo": never, "newest": -1, "standing": standingQueueFactor * 100 * time.Millisecond} {
			report(b, fmt.Sprintf("slots=%d/%s", slots, name), func(seed uint64, add adder) {
				s := scenario{seed: seed, slots: slots, length: 22 * time.Second, configure: func(c *Controller) { c.queue.standingTime = standing }}
				s.streams = mixedLoad(constant(2.2), constant(0.8))
				all := s.run()
				r := summarize(all, -1, 4*time.Second, 21*time.Second)
				add("order_success_%", 100*summarize(all, 1, 4*time.Second, 21*time.Second).success())
				add("goodput_%", 100*r.work/(17*float64(s.slots)))
				add("p50_ms", float64(r.p50.Milliseconds()))
				add("p99_ms", float64(r.p99.Milliseconds()))
				add("refused_wait_ms", r.refusedWait.Seconds()*1e3)
				s.streams = mixedLoad(constant(0.7), constant(0.2))
				add("p99_at_0.9_ms", float64(summarize(s.run(), -1, 4*time.Second, 21*time.Second).p99.Milliseconds()))
			})
		}
	}
}

// BenchmarkLongOnly reports the goodput of a service with only long jobs at 3x
// load: the reserve must not cost more than minReserveShare allows.
func BenchmarkLongOnly(b *testing.B) {
	withAndWithoutControl(b, func(s scenario, add adder) {
		s.length = 30 * time.Second
		s.streams = []stream{{job: Job{Kind: "report", Priority: 3, Long: true}, service: 500 * time.Millisecond, load: constant(3), deadline: 5 * time.Second}}
		r := summarize(s.run(), -1, 5*time.Second, 25*time.Second)
		add("goodput_%", 100*r.work/(20*float64(s.slots)))
	})
}

// BenchmarkThreshold reports the goodput when peers enforce the threshold, and
// how often the threshold changes, while orders offer 80% or 150% of the
// capacity and browse requests 220%.
func BenchmarkThreshold(b *testing.B) {
	for _, orders := range []float64{0.8, 1.5} {
		for _, slots := range []int{20, 120} {
			report(b, fmt.Sprintf("orders=%v/slots=%d", orders, slots), func(seed uint64, add adder) {
				from, to := 2*time.Second, 22*time.Second
				s := scenario{seed: seed, slots: slots, length: 26 * time.Second, enforceThreshold: true}
				s.streams = mixedLoad(during(from, to, 0.4, 2.2), during(from, to, 0.3, orders))
				last, moves, raised, fallen, sum, n := 0, 0.0, 0.0, to, 0.0, 0.0
				s.sample = func(now time.Duration, c *Controller) {
					v := c.Load().Threshold
					if v > 0 && raised == 0 {
						raised = (now - from).Seconds()
					}
					if v != last && now < to {
						moves++
					}
					if v > 0 {
						fallen = max(fallen, now)
					}
					if last = v; now > from && now < to {
						sum, n = sum+float64(v), n+1
					}
				}
				all := s.run()
				add("goodput_%", 100*summarize(all, -1, 4*time.Second, 21*time.Second).work/(17*float64(slots)))
				add("browse_success_%", 100*summarize(all, 0, 4*time.Second, 21*time.Second).success())
				add("moves_per_s", moves/20)
				add("mean_threshold", sum/n)
				add("raised_s", raised)
				add("fallen_s", (fallen - to).Seconds())
			})
		}
	}
}

// BenchmarkStragglers reports the p99 latency of browse jobs shorter than 250 ms
// at higher load, relative to that at 35% load alone: with 2% stragglers in the
// same kind (undeclared), and beside long jobs of a kind declared long.
func BenchmarkStragglers(b *testing.B) {
	withAndWithoutControl(b, func(s scenario, add adder) {
		s.length = 30 * time.Second
		goodput := 0.0
		p99 := func(load, share float64, declared bool) float64 {
			s.streams = mixedLoad(constant(load), constant(0))
			s.streams[0].stragglers, s.streams[0].deadline = share, 5*time.Second
			if declared {
				s.streams = mixedLoad(constant(0.35), constant(0.35))
				s.streams[1] = stream{job: Job{Kind: "report", Priority: 3, Long: true}, service: 500 * time.Millisecond, load: constant(load - 0.35), deadline: 5 * time.Second}
			}
			var fast []*jobResult
			all := s.run()
			goodput = 100 * summarize(all, -1, 5*time.Second, 25*time.Second).work / (20 * float64(s.slots))
			for _, d := range all {
				if d.stream == 0 && d.work < 0.25 {
					fast = append(fast, d)
				}
			}
			return summarize(fast, 0, 2*time.Second, 28*time.Second).p99.Seconds()
		}
		alone := p99(0.35, 0, false)
		add("p99_alone_ms", alone*1e3)
		add("undeclared_ratio", p99(0.7, 0.02, false)/alone)
		add("undeclared_busy_ratio", p99(0.9, 0.02, false)/alone)
		add("declared_ratio", p99(0.7, 0, true)/alone)
		add("declared_overload_ratio", p99(2, 0, true)/alone)
		add("declared_overload_goodput_%", goodput)
	})
}

// BenchmarkRecovery reports how long after 20 s of 3x load the success ratio
// still falls below 95% of the ratio before.
func BenchmarkRecovery(b *testing.B) {
	withAndWithoutControl(b, func(s scenario, add adder) {
		s.length = 60 * time.Second
		s.streams = mixedLoad(during(5*time.Second, 25*time.Second, 0.5, 2.8), constant(0.2))
		all := s.run()
		before := summarize(all, -1, time.Second, 5*time.Second).success()
		recovered := 25 * time.Second
		for at := recovered; at < 58*time.Second; at += 250 * time.Millisecond {
			if summarize(all, -1, at, at+250*time.Millisecond).success() < 0.95*before {
				recovered = at + 250*time.Millisecond
			}
		}
		add("recovery_s", (recovered - 25*time.Second).Seconds())
	})
}

// slowTarget reports metrics of a target that is 5 times slower for 10 s.
func slowTarget(s scenario, add adder) {
	from, to := 10*time.Second, 20*time.Second
	s.length = 30 * time.Second
	s.slow = during(from, to, 1, 5)
	s.streams = mixedLoad(constant(0.5), constant(0.1))
	detected, lowest, restored := 0.0, s.slots, to
	s.sample = func(now time.Duration, c *Controller) {
		limit := c.Load().Limit
		if now >= from && now < to {
			if lowest = min(lowest, limit); limit < s.slots && detected == 0 {
				detected = (now - from).Seconds()
			}
		}
		if now >= to && limit < s.slots {
			restored = now
		}
	}
	all := s.run()
	capacity := s.cores
	if capacity == 0 {
		capacity = float64(s.slots)
	}
	r := summarize(all, -1, from+time.Second, to-time.Second)
	add("goodput_%", 100*r.work/(capacity/5*8))
	add("p50_ms", float64(r.p50.Milliseconds()))
	add("p99_ms", float64(r.p99.Milliseconds()))
	add("p99_before_ms", float64(summarize(all, -1, 2*time.Second, 9*time.Second).p99.Milliseconds()))
	add("order_success_%", 100*summarize(all, 1, from, to).success())
	if !s.uncontrolled {
		add("noticed_s", detected)
		add("lowest_limit", float64(lowest))
		add("restored_s", (restored - to).Seconds())
	}
}

// BenchmarkSlow compares the algorithms for a slow target with one core per
// slot and for one with half as many cores as slots.
func BenchmarkSlow(b *testing.B) {
	for _, slots := range []int{20, 70, 120} {
		for _, shared := range []bool{false, true} {
			s, model := scenario{slots: slots}, "slots"
			if shared {
				s.cores, model = float64(slots)/2, "shared"
			}
			for _, a := range algorithms {
				report(b, fmt.Sprintf("slots=%d/model=%s/%s", slots, model, a.name), func(seed uint64, add adder) {
					s.seed, s.configure = seed, withAlgorithm(a.next)
					slowTarget(s, add)
				})
			}
			s.uncontrolled = true
			report(b, fmt.Sprintf("slots=%d/model=%s/baseline", slots, model), func(seed uint64, add adder) {
				s.seed = seed
				slowTarget(s, add)
			})
		}
	}
}

// BenchmarkHealthy reports the mean limit and goodput at 1.4x load, with kinds
// whose service times differ by a factor of 30 and with 2% stragglers. The
// limit should stay at the number of slots.
func BenchmarkHealthy(b *testing.B) {
	for _, slots := range []int{20, 120} {
		for _, a := range algorithms {
			report(b, fmt.Sprintf("slots=%d/%s", slots, a.name), func(seed uint64, add adder) {
				sum, n := 0.0, 0
				s := scenario{seed: seed, slots: slots, length: 62 * time.Second, configure: withAlgorithm(a.next)}
				s.sample = func(_ time.Duration, c *Controller) { sum += c.limiter.limit; n++ }
				wave := func(t time.Duration) float64 { return 0.5 + 0.4*float64(int(t.Seconds())/5%2) }
				s.streams = mixedLoad(wave, func(t time.Duration) float64 { return 1.4 - wave(t) })
				s.streams[0].stragglers = 0.02
				s.streams[1].service = 300 * time.Millisecond
				for i := range s.streams {
					s.streams[i].deadline = 5 * time.Second
				}
				r := summarize(s.run(), -1, 2*time.Second, 58*time.Second)
				add("mean_limit_%", 100*sum/float64(n)/float64(slots))
				add("goodput_%", 100*r.work/(56*float64(slots)))
			})
		}
	}
}
