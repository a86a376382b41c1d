package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "parsleyturn/internal/rapidseed"
)

// Guards against a target that gets more requests than the limit that it named,
// in any window, although it has free slots (LIMIT), and against a limit of which
// less than nine tenths is used while requests wait.
func TestStartsKeepMaxRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window, length = 4 * time.Second, 12 * time.Second
		rate := rapid.Float64Range(1, 200).Draw(t, "rate")
		c := New(Config{Slots: 100, MaxQueueTime: 400 * time.Millisecond, MaxRate: rate})
		var starts []time.Duration
		ends := map[uint64]time.Duration{}
		start := func(now time.Duration, id uint64) {
			starts = append(starts, now)
			ends[id] = now + 20*time.Millisecond
		}
		handle := func(now time.Duration, events []Event) {
			for _, e := range events {
				if e.Verdict == Run {
					start(now, e.ID)
				}
			}
		}
		next := uint64(0)
		for now := time.Duration(0); now < length; now += 5 * time.Millisecond {
			for id, end := range ends {
				if end <= now {
					delete(ends, id)
					handle(now, c.Finish(now, id, true))
				}
			}
			handle(now, c.Tick(now))
			for range rapid.IntRange(0, 4).Draw(t, "arrivals") {
				next++
				verdict, events := c.Submit(now, Job{ID: next, Kind: "a", Priority: int(next % 3), Deadline: now + time.Second})
				handle(now, events)
				if verdict == Run {
					start(now, next)
				}
			}
		}
		first := 0
		for i, at := range starts {
			for at-starts[first] > window {
				first++
			}
			count, allowed := i-first+1, rate*(window+pacerBurst).Seconds()+2
			if float64(count) > allowed {
				t.Fatalf("%d starts in the %v up to %v; %.1f are allowed", count, window, at, allowed)
			}
		}
		if float64(next) > 2*rate*length.Seconds() {
			assert.Assert(t, float64(len(starts)) > 0.9*rate*length.Seconds()-1, "%d starts of %d requests in %v with a limit of %.1f a second", len(starts), next, length, rate)
		}
	})
}
