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

func answer(b *Balancer, now time.Duration, id string, latency time.Duration, r Result, l *Load) {
	b.Started(now, id)
	b.Finished(now, id, latency, r, l)
}

// Guards against calls to nodes that are leaving, were tried already or are in
// a region that the call may not use, whatever was learnt before.
func TestPickKeepsRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, rnd := New(), rand.New(rand.NewPCG(1, 2))
		now := time.Second
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond
			var list []Candidate
			q := Query{Region: "r0", Zone: "z0", Priority: 5, Exclude: map[string]bool{}, RemoteAllowed: rapid.Bool().Draw(t, "remote")}
			for i := range rapid.IntRange(0, 6).Draw(t, "n") {
				c := Candidate{NodeID: fmt.Sprint(i), Region: fmt.Sprintf("r%d", i%2), Zone: fmt.Sprintf("z%d", i%4), Slots: i, Draining: rapid.Bool().Draw(t, "draining")}
				q.Exclude[c.NodeID] = rapid.Bool().Draw(t, "excluded")
				list = append(list, c)
			}
			c, err := b.Pick(now, rnd, list, q)
			if err != nil {
				continue
			}
			if c.Draining || q.Exclude[c.NodeID] || c.Region != "r0" && !q.RemoteAllowed {
				t.Fatalf("picked %+v for %+v", c, q)
			}
			load := &Load{Threshold: rapid.IntRange(0, 10).Draw(t, "threshold")}
			answer(b, now, c.NodeID, time.Millisecond, Result(rapid.IntRange(0, 4).Draw(t, "result")), load)
		}
	})
}

// Guards against requests that go on to a node which announced its departure
// with an answer, before gossip shows it.
func TestDrainingLearntFromAnswer(t *testing.T) {
	w := newWorld(1, 1, 2, 10)
	b, q := New(), Query{Region: "r0", Zone: "z0"}
	answer(b, time.Second, "n0-0", time.Millisecond, Refused, &Load{Draining: true})
	for range 200 {
		c, err := b.Pick(time.Second, w.rnd, w.list, q)
		assert.NilError(t, err)
		assert.Equal(t, c.NodeID, "n0-1")
	}
}

// Guards against an average that needs hundreds of answers to see that a
// target became slow, and against one that a single long job moves.
func TestSlowTargetLeftWithinTensOfAnswers(t *testing.T) {
	n, now := &node{}, time.Second
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
		assert.Assert(t, i == 0 || n.estimate < float64(12*time.Millisecond), "answer %d", i)
	}
	for range 10 {
		feed(50 * time.Millisecond)
	}
	assert.Assert(t, n.estimate > float64(40*time.Millisecond))
}

// Guards against a target that failed once and is never asked again, and
// against a storm of calls to a node that cannot be reached.
func TestUnreachableNode(t *testing.T) {
	w := newWorld(3, 1, 4, 50)
	w.router(0, 2000, 5)
	w.run(2 * time.Second)
	dead := w.targets["n0-0"]
	dead.down = true
	w.run(6 * time.Second)
	calls := 0
	for at := 30; at < 60; at++ {
		calls += dead.answered[time.Duration(at)]
	}
	assert.Assert(t, calls >= 2 && calls <= 6, "%d calls in 3 s, want one a second", calls)
	dead.down = false
	w.run(8 * time.Second)
	assert.Assert(t, w.share("n0-0", 7100*time.Millisecond, 8*time.Second) > 0.15)
}

// Guards against shedding that outlasts its cause, and against probes that are
// themselves an overload.
func TestAllShedding(t *testing.T) {
	w := newWorld(4, 1, 4, 50)
	b, q := New(), Query{Region: "r0", Zone: "z0", Priority: 3}
	through := 0
	for i := range 5000 {
		now := time.Second + time.Duration(i)*time.Millisecond
		for _, c := range w.list {
			answer(b, now, c.NodeID, time.Millisecond, Refused, &Load{Threshold: 4})
		}
		_, err := b.Pick(now, w.rnd, w.list, q)
		if err == nil {
			through++
		} else {
			assert.Assert(t, errors.Is(err, ErrAllShedding))
		}
	}
	assert.Assert(t, through >= 20 && through <= 60, "%d probes in 5 s", through)
	q.Priority = 4
	_, err := b.Pick(6*time.Second, w.rnd, w.list, q)
	assert.NilError(t, err)
	q.Priority = 3
	_, err = b.Pick(7100*time.Millisecond, w.rnd, w.list, q)
	assert.NilError(t, err, "the thresholds are older than a second")
}

// Guards against calls that leave a zone with room, against a saturated zone
// that keeps all calls, and against swings between the two.
func TestSpillAndReturn(t *testing.T) {
	w := newWorld(5, 2, 2, 20)
	full := float64(2*20) / w.service.Seconds()
	w.router(0, 0.5*full, 5)
	w.run(3 * time.Second)
	assert.Equal(t, w.outOfZone, 0)

	w.router(0, 0.8*full, 5)
	w.run(6 * time.Second)
	least, most := 1.0, 0.0
	for at := 4 * time.Second; at < 6*time.Second; at += 500 * time.Millisecond {
		far := w.share("n1-0", at, at+500*time.Millisecond) + w.share("n1-1", at, at+500*time.Millisecond)
		least, most = min(least, far), max(most, far)
	}
	assert.Assert(t, least > 0.1 && most < 0.6, "share out of zone %.2f to %.2f", least, most)
	p99, good := w.figures(4*time.Second, 6*time.Second)
	assert.Assert(t, good > 0.98, "%.3f good, p99 %.0f ms", good, p99)
}

// Guards against a zone that is gone and takes its calls with it.
func TestZoneGone(t *testing.T) {
	w := newWorld(6, 4, 1, 20)
	q := Query{Region: "r0", Zone: "z0"}
	c, err := New().Pick(time.Second, w.rnd, w.list[1:], q)
	assert.NilError(t, err)
	assert.Equal(t, c.Zone, "z1")
	_, err = New().Pick(time.Second, w.rnd, w.list[2:], q)
	assert.Assert(t, errors.Is(err, ErrNoCandidate), "remote regions are not allowed")
	q.RemoteAllowed = true
	c, err = New().Pick(time.Second, w.rnd, w.list[2:], q)
	assert.NilError(t, err)
	assert.Equal(t, c.Region, "r1")
}

// Guards against garbage on the path of every call.
func TestPickDoesNotAllocate(t *testing.T) {
	w := newWorld(7, 2, 15, 50)
	b, q, now := New(), Query{Region: "r0", Zone: "z0", Priority: 5}, time.Second
	load := &Load{Limit: 50}
	allocs := testing.AllocsPerRun(1000, func() {
		now += time.Millisecond
		c, _ := b.Pick(now, w.rnd, w.list, q)
		answer(b, now, c.NodeID, time.Millisecond, OK, load)
	})
	assert.Equal(t, allocs, 0.0)
}

// Guards against cold and failing targets that get as many calls as others,
// or none at all.
func TestColdAndFailingUsedLess(t *testing.T) {
	for _, r := range []Result{OK, Failed, Refused} {
		w := newWorld(8, 1, 3, 50)
		w.list[0].Cold = r == OK
		b, q, now := New(), Query{Region: "r0", Zone: "z0", Priority: 5}, time.Second
		picks := 0
		for range 10000 {
			now += time.Millisecond
			c, err := b.Pick(now, w.rnd, w.list, q)
			assert.NilError(t, err)
			result := OK
			if c.NodeID == "n0-0" {
				picks++
				result = r
			}
			answer(b, now, c.NodeID, 10*time.Millisecond, result, nil)
		}
		assert.Assert(t, picks > 10 && picks < 2000, "%d of 10000 calls at result %v", picks, r)
	}
}

// Guards against state of nodes that are gone, and against a zone that takes
// all calls back at once because some other node was forgotten.
func TestForgetKeepsSpill(t *testing.T) {
	w := newWorld(9, 2, 2, 20)
	b := w.router(0, 1.3*2*20/w.service.Seconds(), 5)
	w.run(3 * time.Second)
	s := b.sets["n0-0"]
	spill := s.levels[inZone].spill
	assert.Assert(t, spill > 0)
	b.Retain(func(string) bool { return true })
	assert.Assert(t, !s.stale)
	b.Retain(func(id string) bool { return id != "n1-1" })
	_, ok := b.nodes["n1-1"]
	assert.Assert(t, !ok)
	_, err := b.Pick(w.now, w.rnd, w.list, Query{Region: "r0", Zone: "z0", Priority: 5})
	assert.NilError(t, err)
	now := b.sets["n0-0"].levels[inZone].spill
	assert.Assert(t, now > spill-0.05 && b.sets["n0-0"] != s, "spill %v, %v before", now, spill)
}

// Guards against a node that looks silent while it streams long answers, and
// against one that is silent and does not look so.
func TestSilentNodeIsLeft(t *testing.T) {
	b, w := New(), newWorld(10, 1, 2, 50)
	q := Query{Region: "r0", Zone: "z0", Priority: 5}
	for i := range 10 {
		for _, c := range w.list {
			answer(b, time.Duration(i)*time.Millisecond, c.NodeID, 10*time.Millisecond, OK, nil)
		}
	}
	for range 3 {
		b.Started(time.Second, "n0-0")
		b.Started(time.Second, "n0-1")
	}
	b.LoadReported(1900*time.Millisecond, "n0-1", Load{InFlight: 3, Limit: 50})
	for range 100 {
		c, err := b.Pick(2*time.Second, w.rnd, w.list, q)
		assert.NilError(t, err)
		b.Started(2*time.Second, c.NodeID)
		b.Finished(2*time.Second, c.NodeID, 10*time.Millisecond, Abandoned, nil)
	}
	assert.Assert(t, b.nodes["n0-0"].latency(2*time.Second) >= float64(time.Second))
	assert.Assert(t, b.nodes["n0-1"].latency(2*time.Second) < float64(50*time.Millisecond))
}

// Guards against a restarted node that gets no calls because the process
// before it reported that it was leaving.
func TestRestartedNodeIsUsedAtOnce(t *testing.T) {
	list := []Candidate{{NodeID: "a", Incarnation: 1, Region: "r0", Zone: "z0", Slots: 10}}
	b, rnd, q := New(), rand.New(rand.NewPCG(1, 2)), Query{Region: "r0", Zone: "z0"}
	answer(b, time.Second, "a", time.Millisecond, Refused, &Load{Draining: true})
	_, err := b.Pick(time.Second, rnd, list, q)
	assert.ErrorIs(t, err, ErrNoCandidate)
	restarted := []Candidate{list[0]}
	restarted[0].Incarnation = 2
	c, err := b.Pick(time.Second, rnd, restarted, q)
	assert.NilError(t, err)
	assert.Equal(t, c.NodeID, "a")
}
