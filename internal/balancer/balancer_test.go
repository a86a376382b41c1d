package balancer

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "parsleyturn/internal/rapidseed"
)

func recordCall(b *Balancer, now time.Duration, id string, latency time.Duration, r Result, l *Load) {
	b.Started(now, id)
	b.Finished(now, id, latency, r, l)
}

// Guards against calls to nodes that are draining, were already tried or are in
// a region that the query excludes, after any sequence of results and
// thresholds.
func TestPickRespectsQuery(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, rnd := New(), rand.New(rand.NewPCG(1, 2))
		now := time.Second
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond
			var list []Candidate
			q := Query{Region: "r0", Zone: "z0", Priority: 5, Exclude: map[string]bool{}, CrossRegionAllowed: rapid.Bool().Draw(t, "remote")}
			for i := range rapid.IntRange(0, 6).Draw(t, "n") {
				c := Candidate{NodeID: fmt.Sprint(i), Region: fmt.Sprintf("r%d", i%2), Zone: fmt.Sprintf("z%d", i%4), Slots: i, Draining: rapid.Bool().Draw(t, "draining")}
				q.Exclude[c.NodeID] = rapid.Bool().Draw(t, "excluded")
				list = append(list, c)
			}
			c, err := b.Pick(now, rnd, list, q)
			if err != nil {
				continue
			}
			if c.Draining || q.Exclude[c.NodeID] || c.Region != "r0" && !q.CrossRegionAllowed {
				t.Fatalf("picked node %+v, which query %+v excludes", c, q)
			}
			load := &Load{Threshold: rapid.IntRange(0, 10).Draw(t, "threshold")}
			recordCall(b, now, c.NodeID, time.Millisecond, Result(rapid.IntRange(0, 4).Draw(t, "result")), load)
		}
	})
}

// Guards against calls to a node that reported with a response that it is
// draining, before gossip shows it.
func TestDrainingLearnedFromResponse(t *testing.T) {
	sim := newSimulation(1, 1, 2, 10)
	b, q := New(), Query{Region: "r0", Zone: "z0"}
	recordCall(b, time.Second, "n0-0", time.Millisecond, Refused, &Load{Draining: true})
	for range 200 {
		c, err := b.Pick(time.Second, sim.rnd, sim.list, q)
		assert.NilError(t, err)
		assert.Equal(t, c.NodeID, "n0-1")
	}
}

// Guards against an estimate that needs hundreds of responses to follow a target
// that became slow, and against one that a single slow response changes: 2% of
// the responses take 50 times as long, then all take 5 times as long.
func TestEstimateRisesWithinTenResponses(t *testing.T) {
	n, now := &nodeState{}, time.Second
	feed := func(latency time.Duration) {
		now += 5 * time.Millisecond
		n.started(now)
		n.finished(now, latency, OK, nil)
	}
	for i := range 1000 {
		if i%50 == 0 {
			feed(500 * time.Millisecond)
		}
		feed(10 * time.Millisecond)
		assert.Assert(t, i == 0 || n.estimate < float64(12*time.Millisecond), "estimate above 12 ms after response %d", i)
	}
	for range 10 {
		feed(50 * time.Millisecond)
	}
	assert.Assert(t, n.estimate > float64(40*time.Millisecond))
}

// Guards against an unreachable node that gets no calls after it has recovered,
// and against frequent calls to a node while it is unreachable.
func TestUnreachableNode(t *testing.T) {
	sim := newSimulation(3, 1, 4, 50)
	sim.startCalls(0, 2000, 5)
	sim.run(2 * time.Second)
	unreachable := sim.targets["n0-0"]
	unreachable.down = true
	sim.run(6 * time.Second)
	calls := 0
	for at := 30; at < 60; at++ {
		calls += unreachable.finishedCalls[time.Duration(at)]
	}
	assert.Assert(t, calls >= 2 && calls <= 6, "unreachable node got %d calls in 3 s, want 2 to 6", calls)
	unreachable.down = false
	sim.run(8 * time.Second)
	assert.Assert(t, sim.share("n0-0", 7100*time.Millisecond, 8*time.Second) > 0.15)
}

// Guards against shedding that continues after its cause has ended, and against
// so many probes that they overload the nodes: all nodes report threshold 4 for
// 5 s, while calls have priority 3.
func TestAllShedding(t *testing.T) {
	sim := newSimulation(4, 1, 4, 50)
	b, q := New(), Query{Region: "r0", Zone: "z0", Priority: 3}
	probes := 0
	for i := range 5000 {
		now := time.Second + time.Duration(i)*time.Millisecond
		for _, c := range sim.list {
			recordCall(b, now, c.NodeID, time.Millisecond, Refused, &Load{Threshold: 4})
		}
		_, err := b.Pick(now, sim.rnd, sim.list, q)
		if err == nil {
			probes++
		} else {
			assert.Assert(t, errors.Is(err, ErrAllShedding))
		}
	}
	assert.Assert(t, probes >= 20 && probes <= 60, "%d probes in 5 s, want 20 to 60", probes)
	q.Priority = 4
	_, err := b.Pick(6*time.Second, sim.rnd, sim.list, q)
	assert.NilError(t, err)
	q.Priority = 3
	_, err = b.Pick(7100*time.Millisecond, sim.rnd, sim.list, q)
	assert.NilError(t, err, "thresholds older than a second must not count")
}

// Guards against calls that leave a zone with free slots, against a saturated
// zone that keeps all calls, and against a spill share that oscillates between
// none and all. The load of the zone is 50% at first, and 130% when a second
// router adds 80%.
func TestSpillFollowsLoad(t *testing.T) {
	sim := newSimulation(5, 2, 2, 20)
	capacity := float64(2*20) / sim.service.Seconds()
	sim.startCalls(0, 0.5*capacity, 5)
	sim.run(3 * time.Second)
	assert.Equal(t, sim.outOfZone, 0)

	sim.startCalls(0, 0.8*capacity, 5)
	sim.run(6 * time.Second)
	least, most := 1.0, 0.0
	for at := 4 * time.Second; at < 6*time.Second; at += 500 * time.Millisecond {
		otherZone := sim.share("n1-0", at, at+500*time.Millisecond) + sim.share("n1-1", at, at+500*time.Millisecond)
		least, most = min(least, otherZone), max(most, otherZone)
	}
	assert.Assert(t, least > 0.1 && most < 0.6, "share of calls to the other zone was %.2f to %.2f, want within 0.1 to 0.6", least, most)
	p99, good := sim.p99AndSuccessShare(4*time.Second, 6*time.Second)
	assert.Assert(t, good > 0.98, "share of successful calls %.3f, want above 0.98; p99 %.0f ms", good, p99)
}

// crossRegionShare offers each of two regions a load, relative to its capacity, and
// returns the share of the first region's calls that go to the second one.
func crossRegionShare(seed uint64, first, second float64) float64 {
	sim := newSimulation(seed, 4, 3, 20)
	sim.crossRegion = true
	zone := float64(3*20) / sim.service.Seconds()
	for z, load := range []float64{first, first, second, second} {
		sim.startCalls(z, load*zone, 5)
	}
	sim.run(6 * time.Second)
	from, crossed, all := 3*time.Second, 0, 0
	for _, c := range sim.latencies {
		if c.at >= from && c.firstRegion {
			all++
			if c.crossed {
				crossed++
			}
		}
	}
	return float64(crossed) / float64(all)
}

// Pattern: a service is full in both regions. Guards against regions that exchange
// calls, each of which takes a round trip longer and frees no slot, and against a
// region that keeps its calls while the other one has free slots or a much smaller
// excess of load.
func TestFullRegionsExchangeNoCalls(t *testing.T) {
	for seed := range uint64(3) {
		share := crossRegionShare(seed, 1.15, 1.15)
		assert.Assert(t, share < 0.1, "seed %d: both regions are full, and %.2f of the calls cross", seed, share)
		share = crossRegionShare(seed, 1.4, 0.5)
		assert.Assert(t, share > 0.15, "seed %d: the other region has free slots, and only %.2f of the calls cross", seed, share)
	}
}

// Guards against failed calls when a zone has no candidates left: they must go
// to another zone, or to another region if the query allows it.
func TestFailoverWhenZoneHasNoCandidate(t *testing.T) {
	sim := newSimulation(6, 4, 1, 20)
	q := Query{Region: "r0", Zone: "z0"}
	c, err := New().Pick(time.Second, sim.rnd, sim.list[1:], q)
	assert.NilError(t, err)
	assert.Equal(t, c.Zone, "z1")
	_, err = New().Pick(time.Second, sim.rnd, sim.list[2:], q)
	assert.Assert(t, errors.Is(err, ErrNoCandidate), "must not use a node in another region")
	q.CrossRegionAllowed = true
	c, err = New().Pick(time.Second, sim.rnd, sim.list[2:], q)
	assert.NilError(t, err)
	assert.Equal(t, c.Region, "r1")
}

// Guards against heap allocations on the path of every call.
func TestPickDoesNotAllocate(t *testing.T) {
	sim := newSimulation(7, 2, 15, 50)
	b, q, now := New(), Query{Region: "r0", Zone: "z0", Priority: 5}, time.Second
	load := &Load{Limit: 50}
	allocs := testing.AllocsPerRun(1000, func() {
		now += time.Millisecond
		c, _ := b.Pick(now, sim.rnd, sim.list, q)
		recordCall(b, now, c.NodeID, time.Millisecond, OK, load)
	})
	assert.Equal(t, allocs, 0.0)
}

// Guards against cold, failing and refusing targets that get as many calls as
// others, or none at all.
func TestColdAndFailingTargetsGetFewerCalls(t *testing.T) {
	for _, r := range []Result{OK, Failed, Refused} {
		sim := newSimulation(8, 1, 3, 50)
		sim.list[0].Cold = r == OK
		b, q, now := New(), Query{Region: "r0", Zone: "z0", Priority: 5}, time.Second
		picks := 0
		for range 10000 {
			now += time.Millisecond
			c, err := b.Pick(now, sim.rnd, sim.list, q)
			assert.NilError(t, err)
			result := OK
			if c.NodeID == "n0-0" {
				picks++
				result = r
			}
			recordCall(b, now, c.NodeID, 10*time.Millisecond, result, nil)
		}
		assert.Assert(t, picks > 10 && picks < 2000, "target got %d of 10000 calls with result %v, want 11 to 1999", picks, r)
	}
}

// Guards against keeping the state of removed nodes, and against losing the
// spill share, so that all calls return to a saturated zone at once, when Retain
// removes some other node.
func TestRetainKeepsSpill(t *testing.T) {
	sim := newSimulation(9, 2, 2, 20)
	b := sim.startCalls(0, 1.3*2*20/sim.service.Seconds(), 5)
	sim.run(3 * time.Second)
	s := b.sets["n0-0"]
	spill := s.levels[inZone].spill
	assert.Assert(t, spill > 0)
	b.Retain(func(string) bool { return true })
	assert.Assert(t, !s.stale)
	b.Retain(func(id string) bool { return id != "n1-1" })
	_, ok := b.nodes["n1-1"]
	assert.Assert(t, !ok)
	_, err := b.Pick(sim.now, sim.rnd, sim.list, Query{Region: "r0", Zone: "z0", Priority: 5})
	assert.NilError(t, err)
	now := b.sets["n0-0"].levels[inZone].spill
	assert.Assert(t, now > spill-0.05 && b.sets["n0-0"] != s, "spill share is %v after Retain, was %v before", now, spill)
}

// Guards against a node that counts as unresponsive while it streams long
// responses, and against an unresponsive node that does not: both have three
// calls in flight, but only n0-1 reports its load.
func TestUnresponsiveNodeLooksSlow(t *testing.T) {
	b, sim := New(), newSimulation(10, 1, 2, 50)
	q := Query{Region: "r0", Zone: "z0", Priority: 5}
	for i := range 10 {
		for _, c := range sim.list {
			recordCall(b, time.Duration(i)*time.Millisecond, c.NodeID, 10*time.Millisecond, OK, nil)
		}
	}
	for range 3 {
		b.Started(time.Second, "n0-0")
		b.Started(time.Second, "n0-1")
	}
	b.LoadReported(1900*time.Millisecond, "n0-1", Load{InFlight: 3, Limit: 50})
	for range 100 {
		c, err := b.Pick(2*time.Second, sim.rnd, sim.list, q)
		assert.NilError(t, err)
		b.Started(2*time.Second, c.NodeID)
		b.Finished(2*time.Second, c.NodeID, 10*time.Millisecond, Abandoned, nil)
	}
	assert.Assert(t, b.nodes["n0-0"].latency(2*time.Second) >= float64(time.Second))
	assert.Assert(t, b.nodes["n0-1"].latency(2*time.Second) < float64(50*time.Millisecond))
}

// Guards against a restarted node that gets no calls because its previous
// incarnation reported that it was draining.
func TestRestartedNodeGetsCallsImmediately(t *testing.T) {
	list := []Candidate{{NodeID: "a", Incarnation: 1, Region: "r0", Zone: "z0", Slots: 10}}
	b, rnd, q := New(), rand.New(rand.NewPCG(1, 2)), Query{Region: "r0", Zone: "z0"}
	recordCall(b, time.Second, "a", time.Millisecond, Refused, &Load{Draining: true})
	_, err := b.Pick(time.Second, rnd, list, q)
	assert.ErrorIs(t, err, ErrNoCandidate)
	restarted := []Candidate{list[0]}
	restarted[0].Incarnation = 2
	c, err := b.Pick(time.Second, rnd, restarted, q)
	assert.NilError(t, err)
	assert.Equal(t, c.NodeID, "a")
}

// Guards against a node that gets no calls for long after it has stopped being slow,
// where a caller sends few calls: probes then came from a share of the calls only.
func TestRecoveredNodeGetsCallsAtLowRate(t *testing.T) {
	const interval, slowTime, maxWait = 100 * time.Millisecond, 20 * time.Second, 3 * time.Second
	for seed := range uint64(20) {
		sim := newSimulation(1, 1, 2, 10)
		b, rnd, q := New(), rand.New(rand.NewPCG(seed, 1)), Query{Region: "r0", Zone: "z0"}
		slow := sim.list[0].NodeID
		recovered := time.Second + slowTime + time.Duration(seed)*interval
		for now := time.Second; ; now += interval {
			assert.Assert(t, now < recovered+maxWait, "seed %d: no call to the recovered node within %v", seed, maxWait)
			c, err := b.Pick(now, rnd, sim.list, q)
			assert.NilError(t, err)
			if c.NodeID == slow && now >= recovered {
				break
			}
			latency := time.Millisecond
			if c.NodeID == slow {
				latency = interval
			}
			recordCall(b, now, c.NodeID, latency, OK, nil)
		}
	}
}
