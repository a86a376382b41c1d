package throttle

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// chain is a model of two kinds of requests that both end in one deep service.
// Each request makes calls calls there; what exceeds the capacity of a step is
// refused at random, and a request fails if one of its calls does.
type chain struct {
	rnd      *rand.Rand
	c        *Controller
	calls    int
	capacity int // calls that the deep service takes in a step
}

const step = 100 * time.Millisecond

// run offers browse and order requests for a number of steps and returns the
// shares that succeeded.
func (m *chain) run(from time.Duration, steps, browse, order int, throttled bool) (browsed, ordered float64) {
	good := [2]int{}
	offered := [2]int{}
	for i := range steps {
		now := from + time.Duration(i)*step
		type request struct{ kind int }
		var admitted []request
		for kind, n := range [2]int{browse, order} {
			for range n {
				offered[kind]++
				if !throttled || m.c.Admit(now, [2]string{"browse", "order"}[kind], [2]int{2, 0}[kind], m.rnd.Float64()) {
					admitted = append(admitted, request{kind})
				}
			}
		}
		share := min(1, float64(m.capacity)/float64(max(1, m.calls*len(admitted))))
		for _, r := range admitted {
			ok := true
			for range m.calls {
				ok = ok && m.rnd.Float64() < share
			}
			m.c.RecordOutcome(now+step/2, now, [2]string{"browse", "order"}[r.kind], ok)
			if ok {
				good[r.kind]++
			}
		}
	}
	return float64(good[0]) / float64(offered[0]), float64(good[1]) / float64(offered[1])
}

// The pattern: a crest of demand takes a deep service to 1.6 times its
// capacity, and each request at the entry makes four calls there. Without
// throttling, 60% of the calls succeed and 13% of the requests; nearly all work
// is wasted. Guards against orders that fail beside browsing, and against
// goodput that collapses instead of staying near the capacity.
func TestCrestAboveTheCapacityOfADeepService(t *testing.T) {
	m := &chain{rnd: rand.New(rand.NewPCG(1, 1)), c: New(), calls: 4, capacity: 100}
	browsed, ordered := m.run(0, 50, 28, 12, false)
	assert.Assert(t, ordered < 0.3 && browsed < 0.3, "the model is no overload: %v %v", browsed, ordered)

	m = &chain{rnd: rand.New(rand.NewPCG(1, 1)), c: New(), calls: 4, capacity: 100}
	m.run(0, 20, 28, 12, true) // the first two seconds of the crest
	browsed, ordered = m.run(20*step, 50, 28, 12, true)
	assert.Assert(t, ordered > 0.6, "orders: %v", ordered)
	assert.Assert(t, browsed*28+ordered*12 > 0.6*25, "goodput: %v and %v of a capacity of 25 requests", browsed*28, ordered*12)
}

// Guards against a throttle that stays after its cause, which would be an
// overload that outlasts its trigger.
func TestThrottleEndsAfterTheCrest(t *testing.T) {
	m := &chain{rnd: rand.New(rand.NewPCG(1, 1)), c: New(), calls: 4, capacity: 100}
	m.run(0, 50, 40, 12, true)
	m.run(50*step, 30, 10, 4, true) // three seconds of usual demand
	browsed, _ := m.run(80*step, 20, 10, 4, true)
	assert.Assert(t, browsed > 0.98, "browsing: %v", browsed)
}

// Guards against usual failures, rare routes and urgent ranks that are
// throttled.
func TestFewFailuresThrottleNothing(t *testing.T) {
	c := New()
	for i := range 1000 {
		c.RecordOutcome(time.Duration(i)*10*time.Millisecond, time.Duration(i)*10*time.Millisecond, "usual", i%20 != 0)
		c.RecordOutcome(time.Duration(i)*10*time.Millisecond, time.Duration(i)*10*time.Millisecond, "urgent", false)
	}
	now := 10 * time.Second
	assert.Equal(t, c.AdmitProbability(now, "usual", 2), 1.0)
	assert.Equal(t, c.AdmitProbability(now, "urgent", 0), 1.0)
	assert.Equal(t, c.AdmitProbability(now, "urgent", 1), 1.0)
	c.RecordOutcome(now, now, "rare", false)
	assert.Assert(t, c.AdmitProbability(now, "rare", 2) > 0.85)
}

// Guards against calls in the middle of a chain that are refused because they
// were taken for requests of callers.
func TestRoutesOfCallsAreNotThrottled(t *testing.T) {
	c := New()
	for i := range 100 {
		now := time.Duration(i) * 100 * time.Millisecond
		c.RecordOutcome(now, now, "call", false)
	}
	assert.Assert(t, c.AdmitProbability(10*time.Second, "call", 2) < 0.2)
	for i := range 2000 {
		c.RecordArrival(10*time.Second, "call", i%50 == 0)
	}
	assert.Assert(t, c.AdmitProbability(10*time.Second, "call", 2) < 0.2, "requests that are taken for calls now and then")
	for i := range 2000 {
		c.RecordArrival(10*time.Second, "call", i%6 == 0)
	}
	assert.Equal(t, c.AdmitProbability(10*time.Second, "call", 2), 1.0)
}
