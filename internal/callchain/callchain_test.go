package callchain

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// Guards against a sub-call inheriting from a request whose deadline differs by
// more than maxEarly or maxLate, or from one that is no longer in flight.
func TestParentMatchesDeadline(t *testing.T) {
	var r InFlight
	assert.Assert(t, r.FindParent("call", time.Second) == nil)
	booking := r.Add("booking", "parent", 2000*ms, Chain{Start: 1 * ms, Rank: 0})
	browse := r.Add("browse", "parent", 2100*ms, Chain{ParentID: "root", Start: 2 * ms, Rank: 2, Depth: 1})

	for _, deadline := range []time.Duration{2000*ms - maxEarly, 2000 * ms, 2000*ms + maxLate} {
		assert.Equal(t, r.FindParent("call", deadline), booking)
	}
	assert.Equal(t, r.FindParent("call", 2099*ms), browse)
	assert.Equal(t, booking.ChildChain(), Chain{ParentID: "booking", Start: 1 * ms, Rank: 0, Depth: 1})
	assert.Equal(t, browse.ChildChain(), Chain{ParentID: "browse", Start: 2 * ms, Rank: 2, Depth: 2})
	for _, deadline := range []time.Duration{0, 1990 * ms, 2006 * ms, 2200 * ms} {
		assert.Assert(t, r.FindParent("call", deadline) == nil, "%v", deadline)
	}
	r.Remove(booking)
	assert.Assert(t, r.FindParent("call", 2000*ms) == nil)
	r.Remove(browse)
	r.Remove(browse) // removing the same request twice removes nothing else
	assert.Equal(t, len(r.requests), 0)
}

// Guards against the removal of a request also removing another one that has
// the same deadline.
func TestEqualDeadlines(t *testing.T) {
	var r InFlight
	first := r.Add("first", "parent", time.Second, Chain{})
	second := r.Add("second", "parent", time.Second, Chain{})
	r.Remove(first)
	assert.Equal(t, r.FindParent("call", time.Second), second)
}

// Guards against mistaking a request of a caller for a sub-call because another
// request of the same route and with the same deadline is in flight.
func TestParentHasAnotherRoute(t *testing.T) {
	var r InFlight
	r.Add("browse", "browse", time.Second, Chain{})
	assert.Assert(t, r.FindParent("browse", time.Second+ms) == nil)
	page := r.Add("page", "page", time.Second-2*ms, Chain{})
	assert.Equal(t, r.FindParent("browse", time.Second), page)
}

// Guards against recording an overload at a request that did not make the
// sub-call.
func TestOverloadIsRecordedAtParent(t *testing.T) {
	var r InFlight
	first, second := r.Add("first", "parent", time.Second, Chain{}), r.Add("second", "parent", 2*time.Second, Chain{})
	r.FindParent("call", 2*time.Second+ms).MarkOverloaded()
	assert.Assert(t, second.Overloaded() && !first.Overloaded())
}

// Guards against assigning one in ten sub-calls or more to the wrong parent
// when the deadlines of many requests lie close together: 40 requests are in
// flight with deadlines at random within 2 s, and the deadlines of their
// sub-calls are up to 1 ms early and 2 ms late.
func TestParentAccuracyOnBusyTarget(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	wrong, calls := 0, 0
	for range 100 {
		var r InFlight
		deadlines := make([]time.Duration, 40)
		for i := range deadlines {
			deadlines[i] = time.Duration(rnd.Int64N(int64(2 * time.Second)))
			r.Add("r", "parent", deadlines[i], Chain{Rank: i})
		}
		for i, d := range deadlines {
			calls++
			if q := r.FindParent("call", d+time.Duration(rnd.Int64N(int64(3*ms)))-ms); q == nil || q.chain.Rank != i {
				wrong++
			}
		}
	}
	assert.Assert(t, wrong*10 < calls, "%d of %d sub-calls were assigned to the wrong parent", wrong, calls)
}

// Property: the parent is a request in flight within the bounds, and no other
// one is nearer.
func TestParentIsNearest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r InFlight
		var inFlight []*Request
		drawn := rapid.Custom(func(t *rapid.T) time.Duration { return time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * ms })
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				d := drawn.Draw(t, "deadline")
				inFlight = append(inFlight, r.Add("r", "parent", d, Chain{}))
			},
			"remove": func(t *rapid.T) {
				if len(inFlight) == 0 {
					t.Skip("no request is in flight")
				}
				i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "i")
				r.Remove(inFlight[i])
				inFlight = append(inFlight[:i], inFlight[i+1:]...)
			},
			"cause": func(t *rapid.T) {
				deadline := drawn.Draw(t, "call")
				best := time.Duration(-1)
				for _, q := range inFlight {
					if d := deadline - q.deadline; d >= -maxEarly && d <= maxLate && (best < 0 || d.Abs() < best) {
						best = d.Abs()
					}
				}
				q := r.FindParent("call", deadline)
				assert.Equal(t, q != nil, best >= 0)
				if q != nil {
					assert.Equal(t, (deadline - q.deadline).Abs(), best)
				}
			},
		})
	})
}

// BenchmarkRequest measures adding and removing a request and finding the
// parent of five sub-calls, while 100 other requests are in flight.
func BenchmarkRequest(b *testing.B) {
	var r InFlight
	for i := range 100 {
		r.Add("r", "parent", time.Duration(i)*20*ms, Chain{})
	}
	for b.Loop() {
		q := r.Add("q", "parent", time.Second+ms, Chain{})
		for range 5 {
			r.FindParent("call", time.Second+3*ms)
		}
		r.Remove(q)
	}
}
