package callchain

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// Guards against calls that inherit from a request that expires at another
// time, or that is no longer at the target.
func TestCauseHasTheDeadlineOfTheCall(t *testing.T) {
	var r Running
	_, ok := r.Cause(time.Second)
	assert.Assert(t, !ok)
	booking := r.Add(2000*ms, Chain{Begin: 1 * ms, Rank: 0})
	browse := r.Add(2100*ms, Chain{Begin: 2 * ms, Rank: 2, Depth: 1})

	for _, deadline := range []time.Duration{2000*ms - early, 2000 * ms, 2000*ms + late} {
		c, ok := r.Cause(deadline)
		assert.Assert(t, ok)
		assert.Equal(t, c, Chain{Begin: 1 * ms, Rank: 0})
	}
	c, ok := r.Cause(2099 * ms)
	assert.Assert(t, ok)
	assert.Equal(t, c, Chain{Begin: 2 * ms, Rank: 2, Depth: 1})
	for _, deadline := range []time.Duration{0, 1990 * ms, 2060 * ms, 2200 * ms} {
		_, ok = r.Cause(deadline)
		assert.Assert(t, !ok, "%v", deadline)
	}
	booking()
	_, ok = r.Cause(2000 * ms)
	assert.Assert(t, !ok)
	browse()
	browse() // a second end of the same request removes nothing else
	assert.Equal(t, len(r.requests), 0)
}

// Guards against a request that ends and takes the entry of another one with
// the same deadline along.
func TestEqualDeadlines(t *testing.T) {
	var r Running
	first := r.Add(time.Second, Chain{Rank: 1})
	r.Add(time.Second, Chain{Rank: 2})
	first()
	c, ok := r.Cause(time.Second)
	assert.Assert(t, ok)
	assert.Equal(t, c.Rank, 2)
}

// The pattern: 40 requests at a target, which arrive at random and have 2 s
// each; their calls are 0 to 5 ms late. Guards against an assignment that is
// wrong more than once in ten calls.
func TestFewCallsOfABusyTargetAreAssignedWrong(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	wrong, calls := 0, 0
	for range 100 {
		var r Running
		deadlines := make([]time.Duration, 40)
		for i := range deadlines {
			deadlines[i] = time.Duration(rnd.Int64N(int64(2 * time.Second)))
			r.Add(deadlines[i], Chain{Rank: i})
		}
		for i, d := range deadlines {
			calls++
			if c, ok := r.Cause(d + time.Duration(rnd.Int64N(int64(5*ms)))); !ok || c.Rank != i {
				wrong++
			}
		}
	}
	assert.Assert(t, wrong*10 < calls, "%d of %d", wrong, calls)
}

// Property: the cause is a request that is at the target, within the bounds,
// and no other one is nearer.
func TestCauseIsTheNearest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Running
		type request struct {
			deadline time.Duration
			end      func()
		}
		var at []request
		drawn := rapid.Custom(func(t *rapid.T) time.Duration { return time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * ms })
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				d := drawn.Draw(t, "deadline")
				at = append(at, request{d, r.Add(d, Chain{Begin: d})})
			},
			"remove": func(t *rapid.T) {
				if len(at) == 0 {
					t.Skip("none is at the target")
				}
				i := rapid.IntRange(0, len(at)-1).Draw(t, "i")
				at[i].end()
				at = append(at[:i], at[i+1:]...)
			},
			"cause": func(t *rapid.T) {
				deadline := drawn.Draw(t, "call")
				best := time.Duration(-1)
				for _, q := range at {
					if d := deadline - q.deadline; d >= -early && d <= late && (best < 0 || d.Abs() < best) {
						best = d.Abs()
					}
				}
				c, ok := r.Cause(deadline)
				assert.Equal(t, ok, best >= 0)
				if ok {
					assert.Equal(t, (deadline - c.Begin).Abs(), best)
				}
			},
		})
	})
}
