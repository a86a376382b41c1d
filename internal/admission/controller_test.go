package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newWarmController returns a controller with idle slots that has samples of 10
// ms for the kind "a", and its current time.
func newWarmController(cfg Config) (*Controller, time.Duration) {
	c, now := New(cfg), time.Duration(0)
	for range 200 {
		c.Submit(now, Job{Kind: "a", Deadline: never})
		now += 10 * time.Millisecond
		c.Finish(now, 0, true)
	}
	return c, now
}

// Guards against a limit that does not fall while the target is slowed by a
// noisy neighbor, or that stays reduced after the slowdown has ended or has
// lasted so long that the baseline latency should have adapted.
func TestLimitFollowsSlowTarget(t *testing.T) {
	simulate := func(end time.Duration) (detected, lowUntil time.Duration) {
		s := scenario{seed: 1, slots: 70, cores: 35, length: end + 5*time.Second, slow: during(10*time.Second, end, 1, 5)}
		s.streams = mixedLoad(constant(0.6), constant(0.2))
		s.sample = func(now time.Duration, c *Controller) {
			if c.Load().Limit < 70 {
				lowUntil = now
				if detected == 0 {
					detected = now
				}
			}
		}
		s.run()
		return detected, lowUntil
	}
	detected, until := simulate(20 * time.Second)
	assert.Assert(t, detected >= 10*time.Second && detected < 11500*time.Millisecond, "limit first reduced at %v, the target is slow from 10s on", detected)
	assert.Assert(t, until < 22*time.Second, "limit reduced until %v, the target is slow until 20s", until)
	_, until = simulate(80 * time.Second)
	assert.Assert(t, until < 70*time.Second, "limit reduced until %v under a lasting slowdown that begins at 10s", until)
}

// Guards against a limit that stays reduced because no jobs arrive whose
// samples could raise it.
func TestIdleTargetGetsFullLimit(t *testing.T) {
	c, now := newWarmController(Config{Slots: 20, MaxQueueTime: time.Second})
	c.limiter.limit, c.limiter.gradient = 2, 5
	for range 30 {
		now += 100 * time.Millisecond
		c.Tick(now)
	}
	assert.Equal(t, c.Load().Limit, 20)
}

// Guards against running jobs that cannot finish by their deadline, and against
// refusing a kind indefinitely because of a stale estimate.
func TestDeadlines(t *testing.T) {
	c, now := newWarmController(Config{Slots: 1, MaxQueueTime: time.Second})
	submit := func(id uint64, left time.Duration) Verdict {
		v, _ := c.Submit(now, Job{ID: id, Kind: "a", Deadline: now + left})
		return v
	}
	assert.Equal(t, submit(1, 9*time.Millisecond), RefusedDeadline)
	assert.Equal(t, submit(2, time.Second), Run)
	assert.Equal(t, submit(3, 15*time.Millisecond), Queued)
	assert.Equal(t, submit(4, 15*time.Millisecond), RefusedDeadline, "the queued job ahead takes 10 ms")
	due, ok := c.NextDue()
	assert.Assert(t, ok && due == now+5*time.Millisecond)
	assert.DeepEqual(t, c.Tick(due), []Event{{3, RefusedDeadline}})
	c.Finish(now, 2, false)
	now += 2 * time.Second
	assert.Equal(t, submit(5, 9*time.Millisecond), Run, "a stale estimate must not refuse jobs")
}

// Guards against a full queue refusing jobs of higher priorities or of client
// accounts with a small backlog.
func TestFullQueueEvicts(t *testing.T) {
	c, now := newWarmController(Config{Slots: 1, MaxQueueTime: time.Second, MaxQueueLength: 2})
	submit := func(id uint64, account string, priority int) (Verdict, []Event) {
		return c.Submit(now, Job{ID: id, Kind: "a", ClientAccount: account, Priority: priority, Deadline: never})
	}
	for id := range uint64(3) {
		submit(id, "heavy", 1)
	}
	v, events := submit(3, "light", 1)
	assert.Equal(t, v, Queued)
	assert.DeepEqual(t, events, []Event{{2, RefusedOverload}})
	v, _ = submit(4, "heavy", 1)
	assert.Equal(t, v, RefusedOverload)
	v, events = submit(5, "heavy", 2)
	assert.Equal(t, v, Queued)
	assert.Equal(t, len(events), 1)
}

// Guards against jobs that run much longer than their kind using up the slots
// reserved for short jobs.
func TestLongRunningJobsCountAsLong(t *testing.T) {
	c, now := newWarmController(Config{Slots: 4, MaxQueueTime: time.Hour})
	for id := range uint64(3) {
		c.Submit(now, Job{ID: id + 1, Kind: "a", Deadline: never})
	}
	v, _ := c.Submit(now+79*time.Millisecond, Job{ID: 5, Kind: "b", Long: true, Deadline: never})
	assert.Equal(t, v, Run, "no job has been reclassified as long yet")
	c.Finish(now+79*time.Millisecond, 5, false)
	v, _ = c.Submit(now+81*time.Millisecond, Job{ID: 6, Kind: "b", Long: true, Deadline: never})
	assert.Equal(t, v, Queued, "three jobs have been reclassified as long")
	v, _ = c.Submit(now+81*time.Millisecond, Job{ID: 7, Kind: "a", Deadline: never})
	assert.Equal(t, v, Run)
}

// Guards against a threshold that does not rise above priorities whose jobs are
// all refused, or that stays raised after the overload.
func TestThresholdRisesAndFalls(t *testing.T) {
	s := scenario{seed: 1, slots: 20, length: 10 * time.Second}
	s.streams = mixedLoad(constant(0.4), during(2*time.Second, 8*time.Second, 0.3, 2))
	risen, end := false, 0
	s.sample = func(now time.Duration, c *Controller) {
		risen = risen || now < 3*time.Second && c.Load().Threshold == 4
		end = c.Load().Threshold
		if now > 9*time.Second || now < 2*time.Second {
			assert.Equal(t, end, 0, "at %v", now)
		}
	}
	s.run()
	assert.Assert(t, risen)
}

func BenchmarkSubmitFinish(b *testing.B) {
	for _, slots := range []int{20, 70, 120} {
		for _, queued := range []int{0, 100, 1000} {
			b.Run(fmt.Sprintf("slots=%d/queued=%d", slots, queued), func(b *testing.B) {
				c := New(Config{Slots: slots, MaxQueueTime: time.Hour, MaxQueueLength: 2000})
				kinds, accounts := []string{"a", "b", "c"}, make([]string, 64)
				for i := range accounts {
					accounts[i] = fmt.Sprint("buyer", i)
				}
				now, id, run := time.Duration(0), 0, make([]uint64, 0, slots+1)
				submit := func() {
					id++
					v, _ := c.Submit(now, Job{ID: uint64(id), Kind: kinds[id%3], ClientAccount: accounts[id%64], Priority: id % 5, Deadline: never})
					if v == Run {
						run = append(run, uint64(id))
					}
				}
				for range slots - 1 + min(queued, 1) + queued {
					submit()
				}
				b.ReportAllocs()
				for b.Loop() {
					now += 50 * time.Microsecond
					submit()
					first := run[0]
					copy(run, run[1:])
					run = run[:len(run)-1]
					for _, e := range c.Finish(now, first, true) {
						if e.Verdict == Run {
							run = append(run, e.ID)
						}
					}
				}
			})
		}
	}
}
