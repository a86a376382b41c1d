package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// learned returns a controller whose slots are idle and that knows a kind
// "a" of 10 ms, at the returned time.
func learned(cfg Config) (*Controller, time.Duration) {
	c, now := New(cfg), time.Duration(0)
	for range 200 {
		c.Submit(now, Job{Kind: "a", Deadline: never})
		now += 10 * time.Millisecond
		c.Finish(now, 0, true)
	}
	return c, now
}

// Guards against a limiter that overlooks a slow neighbour, or stays low after
// it has gone or after the slowdown has become usual.
func TestLimitFollowsSlowTarget(t *testing.T) {
	play := func(end time.Duration) (noticed, lowUntil time.Duration) {
		s := scenario{seed: 1, slots: 70, cores: 35, length: end + 5*time.Second, slow: during(10*time.Second, end, 1, 5)}
		s.streams = mixed(constant(0.6), constant(0.2))
		s.sample = func(now time.Duration, c *Controller) {
			if c.Load().Limit < 70 {
				lowUntil = now
				if noticed == 0 {
					noticed = now
				}
			}
		}
		s.run()
		return noticed, lowUntil
	}
	noticed, until := play(20 * time.Second)
	assert.Assert(t, noticed >= 10*time.Second && noticed < 11500*time.Millisecond, "noticed at %v", noticed)
	assert.Assert(t, until < 22*time.Second, "low until %v", until)
	_, until = play(80 * time.Second)
	assert.Assert(t, until < 70*time.Second, "low until %v under a lasting slowdown", until)
}

// Guards against a limit that stays low when no jobs arrive that could raise it.
func TestIdleTargetGetsFullLimit(t *testing.T) {
	c, now := learned(Config{Slots: 20, MaxQueueTime: time.Second})
	c.limiter.limit, c.limiter.gradient = 2, 5
	for range 30 {
		now += 100 * time.Millisecond
		c.Tick(now)
	}
	assert.Equal(t, c.Load().Limit, 20)
}

// Guards against work on jobs that cannot finish, and against an estimate
// that refuses a kind for ever.
func TestDeadlines(t *testing.T) {
	c, now := learned(Config{Slots: 1, MaxQueueTime: time.Second})
	submit := func(id uint64, left time.Duration) Verdict {
		v, _ := c.Submit(now, Job{ID: id, Kind: "a", Deadline: now + left})
		return v
	}
	assert.Equal(t, submit(1, 9*time.Millisecond), RefusedDeadline)
	assert.Equal(t, submit(2, time.Second), Run)
	assert.Equal(t, submit(3, 15*time.Millisecond), Queued)
	assert.Equal(t, submit(4, 15*time.Millisecond), RefusedDeadline, "the job ahead takes 10 ms")
	due, ok := c.NextDue()
	assert.Assert(t, ok && due == now+5*time.Millisecond)
	assert.DeepEqual(t, c.Tick(due), []Event{{3, RefusedDeadline}})
	c.Finish(now, 2, false)
	now += 2 * time.Second
	assert.Equal(t, submit(5, 9*time.Millisecond), Run, "the estimate is stale")
}

// Guards against a full queue that refuses high priorities or light buyers.
func TestFullQueueEvicts(t *testing.T) {
	c, now := learned(Config{Slots: 1, MaxQueueTime: time.Second, MaxQueueLength: 2})
	submit := func(id uint64, buyer string, priority int) (Verdict, []Event) {
		return c.Submit(now, Job{ID: id, Kind: "a", Client: buyer, Priority: priority, Deadline: never})
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

// Guards against a reserve that jobs take which turned out long.
func TestJobsThatTurnLongCountAsLong(t *testing.T) {
	c, now := learned(Config{Slots: 4, MaxQueueTime: time.Hour})
	for id := range uint64(3) {
		c.Submit(now, Job{ID: id + 1, Kind: "a", Deadline: never})
	}
	v, _ := c.Submit(now+79*time.Millisecond, Job{ID: 5, Kind: "b", Long: true, Deadline: never})
	assert.Equal(t, v, Run, "no job is long yet")
	c.Finish(now+79*time.Millisecond, 5, false)
	v, _ = c.Submit(now+81*time.Millisecond, Job{ID: 6, Kind: "b", Long: true, Deadline: never})
	assert.Equal(t, v, Queued, "three jobs turned long")
	v, _ = c.Submit(now+81*time.Millisecond, Job{ID: 7, Kind: "a", Deadline: never})
	assert.Equal(t, v, Run)
}

// Guards against a threshold that does not rise over priorities that get
// nothing, or that outlasts the overload.
func TestThresholdRisesAndFalls(t *testing.T) {
	s := scenario{seed: 1, slots: 20, length: 10 * time.Second}
	s.streams = mixed(constant(0.4), during(2*time.Second, 8*time.Second, 0.3, 2))
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
				kinds, buyers := []string{"a", "b", "c"}, make([]string, 64)
				for i := range buyers {
					buyers[i] = fmt.Sprint("buyer", i)
				}
				now, id, run := time.Duration(0), 0, make([]uint64, 0, slots+1)
				submit := func() {
					id++
					v, _ := c.Submit(now, Job{ID: uint64(id), Kind: kinds[id%3], Client: buyers[id%64], Priority: id % 5, Deadline: never})
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
