package targethost

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that count as failed for lack of capacity because a few
// sub-calls were refused for it while most failed for another reason, such as a
// downstream service that sheds calls although it has capacity: fewer requests would
// not help then.
func TestCauseOfSubCallFailuresIsThatOfMost(t *testing.T) {
	var f subCallFailures
	now := 10 * time.Second
	assert.Assert(t, !f.overload(now, 0))
	f.record(now, true)
	assert.Assert(t, f.overload(now, now-time.Millisecond))
	assert.Assert(t, !f.overload(now, now), "the refusal was before the request")
	for range 3 {
		f.record(now, false)
	}
	assert.Assert(t, !f.overload(now, now-time.Millisecond))
	now += 5 * time.Second
	f.record(now, true)
	assert.Assert(t, f.overload(now, now-time.Millisecond), "the other failures are long past")
}
