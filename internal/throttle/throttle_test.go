package throttle

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sharedServiceModel models two kinds of requests that share one downstream
// service.
// Each request makes callsPerRequest calls to it. Calls beyond the capacity of
// a step are refused at random, and a request fails if one of its calls does.
type sharedServiceModel struct {
	rnd             *rand.Rand
	controller      *Controller
	callsPerRequest int
	capacity        int // calls per step that the downstream service can serve
}

const step = 100 * time.Millisecond

// run offers browse and order requests in each of a number of steps and returns
// their success ratios.
func (m *sharedServiceModel) run(from time.Duration, steps, browse, order int, throttled bool) (browseRatio, orderRatio float64) {
	good := [2]int{}
	offered := [2]int{}
	for i := range steps {
		now := from + time.Duration(i)*step
		type request struct{ kind int }
		var admitted []request
		for kind, n := range [2]int{browse, order} {
			for range n {
				offered[kind]++
				if !throttled || m.controller.Admit(now, [2]string{"browse", "order"}[kind], [2]int{2, 0}[kind], m.rnd.Float64()) {
					admitted = append(admitted, request{kind})
				}
			}
		}
		share := min(1, float64(m.capacity)/float64(max(1, m.callsPerRequest*len(admitted))))
		for _, r := range admitted {
			ok := true
			for range m.callsPerRequest {
				ok = ok && m.rnd.Float64() < share
			}
			m.controller.RecordOutcome(now+step/2, now, [2]string{"browse", "order"}[r.kind], ok)
			if ok {
				good[r.kind]++
			}
		}
	}
	return float64(good[0]) / float64(offered[0]), float64(good[1]) / float64(offered[1])
}

// Guards against orders failing along with browse requests, and against goodput
// collapsing instead of staying near the capacity. A demand peak loads a
// downstream service to 1.6 times its capacity, and each request at the entry
// makes four calls to it. Without throttling, 62% of the calls but only 15% of
// the requests succeed, so that most work is wasted.
func TestGoodputUnderDownstreamOverload(t *testing.T) {
	m := &sharedServiceModel{rnd: rand.New(rand.NewPCG(1, 1)), controller: New(), callsPerRequest: 4, capacity: 100}
	browseRatio, orderRatio := m.run(0, 50, 28, 12, false)
	assert.Assert(t, orderRatio < 0.3 && browseRatio < 0.3, "the model is not overloaded: success ratios without throttling are %v (browse) and %v (order)", browseRatio, orderRatio)

	m = &sharedServiceModel{rnd: rand.New(rand.NewPCG(1, 1)), controller: New(), callsPerRequest: 4, capacity: 100}
	m.run(0, 20, 28, 12, true) // the first two seconds of the peak
	browseRatio, orderRatio = m.run(20*step, 50, 28, 12, true)
	assert.Assert(t, orderRatio > 0.6, "success ratio of orders is %v", orderRatio)
	assert.Assert(t, browseRatio*28+orderRatio*12 > 0.6*25, "goodput is %v browse and %v order requests per step, the capacity is 25", browseRatio*28, orderRatio*12)
}

// Guards against throttling that continues after the overload has ended: demand
// returns to normal, but requests are still refused.
func TestThrottleEndsAfterOverload(t *testing.T) {
	m := &sharedServiceModel{rnd: rand.New(rand.NewPCG(1, 1)), controller: New(), callsPerRequest: 4, capacity: 100}
	m.run(0, 50, 40, 12, true)
	m.run(50*step, 30, 10, 4, true) // three seconds of normal demand
	browseRatio, _ := m.run(80*step, 20, 10, 4, true)
	assert.Assert(t, browseRatio > 0.98, "success ratio of browse requests is %v", browseRatio)
}

// Guards against throttling a route with a normal failure rate (5%), a route
// with a single request, or a route of an urgent rank.
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

// Guards against sub-calls being refused in the middle of a chain because they
// were mistaken for requests of callers: only some sub-calls are recognized.
func TestSubCallRoutesAreNotThrottled(t *testing.T) {
	c := New()
	for i := range 100 {
		now := time.Duration(i) * 100 * time.Millisecond
		c.RecordOutcome(now, now, "call", false)
	}
	assert.Assert(t, c.AdmitProbability(10*time.Second, "call", 2) < 0.2)
	for i := range 2000 {
		c.RecordArrival(10*time.Second, "call", i%50 == 0)
	}
	assert.Assert(t, c.AdmitProbability(10*time.Second, "call", 2) < 0.2, "a route is still throttled if 1 in 50 of its requests is mistaken for a sub-call")
	for i := range 2000 {
		c.RecordArrival(10*time.Second, "call", i%6 == 0)
	}
	assert.Equal(t, c.AdmitProbability(10*time.Second, "call", 2), 1.0)
}
