package retry

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "parsleyturn/internal/rapidseed"
)

// Property tests run with a fixed seed unless -rapid.seed is given. The default
// of 100 checks did not find an excess that 1000 found.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "2000")
}

// tree runs a request over a tree of calls whose calls fail at will.
type tree struct {
	t       *rapid.T
	lies    bool
	retries int
	// concealed is the number of retries that peers reported as unused although
	// they had used them.
	concealed int
	calls     int
}

// handle runs one request with an allowance and returns what it reports as
// unused.
func (tr *tree) handle(depth, given int) (unused int) {
	a := NewAllowance(given)
	if depth < 6 {
		for range rapid.IntRange(0, 3).Draw(tr.t, "fan-out") {
			tr.subCall(depth, a)
		}
	}
	unused = a.MoveAll()
	if !tr.lies || !rapid.Bool().Draw(tr.t, "lie") {
		return unused
	}
	report := rapid.IntRange(-2, given+3).Draw(tr.t, "report")
	if report <= given {
		tr.concealed += max(report-unused, 0)
	}
	return report
}

// subCall repeats a failed call as long as the allowance permits.
func (tr *tree) subCall(depth int, a *Allowance) {
	for first := true; tr.calls < 300; first = false {
		if !first {
			if !a.Take() {
				return
			}
			tr.retries++
		}
		tr.calls++
		given := a.MoveHalf()
		unused := tr.handle(depth+1, given)
		if !rapid.Bool().Draw(tr.t, "answer lost") {
			a.Return(given, unused)
		}
		if !rapid.Bool().Draw(tr.t, "failed") {
			return
		}
	}
}

func checkTree(t *rapid.T, lies bool) {
	total := rapid.IntRange(0, 12).Draw(t, "total")
	tr := &tree{t: t, lies: lies}
	ledger := NewAttemptCounter(100, time.Minute)
	admitted := 0
	for i := range rapid.IntRange(1, 20).Draw(t, "repeats by the caller") {
		attempt := rapid.IntRange(-1, 3).Draw(t, "attempt counted by the caller")
		allowance, ok := AdmitAttempt(total, attempt, ledger.Record(time.Duration(i)*time.Second, "id"))
		if !ok {
			continue
		}
		if admitted++; admitted > 1 {
			tr.retries++
		}
		tr.handle(1, allowance)
	}
	if tr.retries > total+tr.concealed {
		t.Fatalf("%d retries, %d declared, %d concealed by peers", tr.retries, total, tr.concealed)
	}
}

// Guards against retries that multiply over the chain: the total over a tree
// of calls stays within the declared one, with lost answers and a caller that
// repeats hard and miscounts.
func TestTreeNeverExceedsTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkTree(t, false) })
}

// Guards against peers that report more unused retries than they were given.
// What they used and report as unused is the only excess.
func TestTreeWithLyingPeers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkTree(t, true) })
}

// Guards against an attempt above 1 + R/2 that runs, a caller that gets the
// allowance twice, and a sum above the declared total.
func TestGrant(t *testing.T) {
	for total := range 20 {
		sum, runs := 0, 0
		for seen := 1; seen <= 30; seen++ {
			if allowance, ok := AdmitAttempt(total, 1, seen); ok {
				sum += allowance
				runs++
			}
		}
		assert.Equal(t, runs, 1+total/2)
		assert.Equal(t, sum+runs-1, total)
		_, ok := AdmitAttempt(total, 2+total/2, 1)
		assert.Assert(t, !ok)
	}
}

// Guards against a node whose retries exceed the declared share of its calls
// in any span, also when time steps back between callers.
func TestBudgetBoundsEverySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &Budget{Ratio: 0.1, PerSecond: 1, Max: 5}
		type point struct{ at, calls, retries float64 }
		points, now, latest := []point{{}}, time.Duration(0), time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			p := points[len(points)-1]
			now = max(now+time.Duration(rapid.IntRange(-200, 900).Draw(t, "ms"))*time.Millisecond, 0)
			latest = max(latest, now)
			p.at = latest.Seconds()
			for range rapid.IntRange(0, 15).Draw(t, "calls") {
				b.RecordCall()
				p.calls++
			}
			for range rapid.IntRange(0, 15).Draw(t, "retries") {
				if b.Take(now) {
					p.retries++
				}
			}
			points = append(points, p)
			for _, from := range points {
				allowed := b.Max + b.Ratio*(p.calls-from.calls) + b.PerSecond*(p.at-from.at)
				if p.retries-from.retries > allowed+1e-9 {
					t.Fatalf("%v retries since %v s, %v allowed", p.retries-from.retries, from.at, allowed)
				}
			}
		}
	})
}

// Guards against a budget that starves a quiet node.
func TestBudgetGrantsOnePerSecond(t *testing.T) {
	b := NewBudget()
	for b.Take(0) {
	}
	for i := 1; i <= 50; i++ {
		assert.Assert(t, b.Take(time.Duration(i)*time.Second), "second %d", i)
	}
}

// Guards against a panic or a wait outside the bounds at extreme settings.
func TestBackoffStaysWithinBounds(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	rapid.Check(t, func(t *rapid.T) {
		base := time.Duration(rapid.Int64().Draw(t, "base"))
		ceiling := time.Duration(rapid.Int64Range(-1, math.MaxInt64-1).Draw(t, "ceiling"))
		wait := Backoff(rnd, base, ceiling, rapid.IntRange(-1, 100).Draw(t, "n"))
		if wait < 0 || wait > max(ceiling, 0) {
			t.Fatalf("wait %v with ceiling %v", wait, ceiling)
		}
	})
}

// Guards against a miscount while an identity must be remembered, and against
// memory that grows with the number of identities.
func TestLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewAttemptCounter(1000, time.Minute)
		now, counts, last := time.Duration(0), map[string]int{}, map[string]time.Duration{}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 40).Draw(t, "s")) * time.Second
			id := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "id"))
			got := l.Record(now, id)
			gap := now - last[id]
			switch {
			case counts[id] == 0 || gap > 3*time.Minute:
				counts[id] = 1
			case gap <= time.Minute:
				counts[id]++
			default:
				counts[id] = got // Either is allowed after the time to live.
			}
			if got != counts[id] {
				t.Fatalf("%s seen %d times, counted %d", id, counts[id], got)
			}
			last[id] = now
		}
	})
	l := NewAttemptCounter(1000, time.Minute)
	for i := range 10000 {
		l.Record(time.Second, fmt.Sprint(i))
		assert.Assert(t, l.Len() <= 1000)
	}
	assert.Equal(t, l.EarlyEvictions(), uint64(19))
}

// BenchmarkLedger measures one new identity.
func BenchmarkLedger(b *testing.B) {
	l := NewAttemptCounter(DefaultAttemptCounterSize, DefaultAttemptCounterTTL)
	ids := make([]string, 100000)
	for i := range ids {
		ids[i] = fmt.Sprintf("request-%d", i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		l.Record(time.Duration(i)*time.Millisecond, ids[i%len(ids)])
	}
}

// Guards against low priorities that use up the retries of a node while a
// high one needs a single retry.
func TestBudgetKeepsPartForHigherPriorities(t *testing.T) {
	b := NewBudget()
	for range 1000 {
		b.RecordCall()
	}
	for b.TakeWithReserve(0, 0.4) {
	}
	for i := range 40 {
		assert.Assert(t, b.TakeWithReserve(0, 0), "retry %d", i)
	}
	assert.Assert(t, !b.TakeWithReserve(0, 0.4))
}
