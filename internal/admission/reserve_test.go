package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against slots that are kept although no job of a higher priority waits,
// and against lower priorities that get none at all.
func TestSlotsAreKeptWhileHigherPriorityWaits(t *testing.T) {
	var r priorityReserve
	now := time.Second
	for range 12 {
		r.started(now, 9, 0)
	}
	now += 10 * time.Second
	r.started(now, 8, 0)
	assert.Assert(t, r.allows(8, 14), "no job has waited")
	r.started(now, 8, 0)
	for range 100 {
		r.waited(9, 2*fullReserveWait)
	}
	assert.Assert(t, !r.allows(8, 14), "the 12 slots that the higher priority uses and a margin are kept")
	assert.Assert(t, r.allows(9, 14))
	assert.Assert(t, r.allows(8, 18), "more slots than that are free")
	r.finished(now, 8)
	r.finished(now, 8)
	assert.Assert(t, r.allows(8, 14), "one slot is left to the lower priority")
}

// Guards against a reserve that stays after the jobs that it is for have ended.
func TestReserveEndsWithHigherPriority(t *testing.T) {
	var r priorityReserve
	now := time.Second
	for range 200 {
		r.started(now, 9, 100*time.Millisecond)
	}
	now += 5 * time.Second
	r.started(now, 2, 0)
	assert.Assert(t, !r.allows(2, 14))
	for range 200 {
		r.finished(now, 9)
	}
	now += 10 * time.Second
	r.finished(now, 2)
	for range 12 {
		assert.Assert(t, r.allows(2, 14))
		r.started(now, 2, 0)
	}
}

// Guards against a job that waits longer than its caller allows, so that no time is
// left to run it at another target.
func TestMaxWaitOfJob(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		allowed := time.Duration(rapid.IntRange(0, 800).Draw(t, "allowed ms")) * time.Millisecond
		c, now := newWarmController(Config{Slots: 1, MaxQueueTime: 400 * time.Millisecond})
		v, _ := c.Submit(now, Job{ID: 1, Kind: "a", Deadline: never})
		assert.Equal(t, v, Run)
		v, _ = c.Submit(now, Job{ID: 2, Kind: "b", Deadline: now + 10*time.Second, MaxWait: allowed})
		assert.Equal(t, v, Queued)
		due, ok := c.NextDue()
		assert.Assert(t, ok)
		want := 400 * time.Millisecond
		if allowed > 0 {
			want = min(want, allowed)
		}
		assert.Equal(t, due, now+want)
		assert.DeepEqual(t, c.Tick(due), []Event{{2, RefusedOverload}})
	})
}
