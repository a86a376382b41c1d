package admission

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// chainModel offers call chains to one target in virtual time. Each chain
// makes calls one after the other, and ends at the first that is refused.
type chainModel struct {
	seed    uint64
	calls   int
	work    time.Duration
	slots   int
	rate    float64 // chains a second
	inChain bool
}

// moment is an event of the model: the next call of a chain, or the end of one
// that runs.
type moment struct {
	at    time.Duration
	chain *modelChain
	id    uint64 // of the job that ends; 0 for the next call
}

type modelChain struct {
	begin time.Duration
	left  int
}

type moments []moment

func (m moments) Len() int           { return len(m) }
func (m moments) Less(i, j int) bool { return m[i].at < m[j].at }
func (m moments) Swap(i, j int)      { m[i], m[j] = m[j], m[i] }
func (m *moments) Push(x any)        { *m = append(*m, x.(moment)) }
func (m *moments) Pop() any {
	last := (*m)[len(*m)-1]
	*m = (*m)[:len(*m)-1]
	return last
}

// run returns the chains a second that were completed between from and to.
func (c chainModel) run(from, to time.Duration) float64 {
	const callTime = 700 * time.Millisecond // timeout of the call's route
	rnd := rand.New(rand.NewPCG(c.seed, 1))
	control := New(Config{Slots: c.slots, MaxQueueTime: 400 * time.Millisecond})
	var due moments
	for at := time.Duration(0); at < to; at += time.Duration(rnd.ExpFloat64() / c.rate * 1e9) {
		heap.Push(&due, moment{at: at, chain: &modelChain{begin: at, left: c.calls}})
	}
	chains := map[uint64]*modelChain{}
	id, done := uint64(0), 0
	start := func(now time.Duration, id uint64) {
		heap.Push(&due, moment{at: now + time.Duration((0.5+rnd.Float64())*float64(c.work)), chain: chains[id], id: id})
	}
	deliver := func(now time.Duration, events []Event) {
		for _, e := range events {
			if e.Verdict == Run {
				start(now, e.ID)
			}
		}
	}
	for due.Len() > 0 {
		next := due[0]
		if wait, ok := control.NextDue(); ok && wait < next.at {
			deliver(wait, control.Tick(wait))
			continue
		}
		heap.Pop(&due)
		if next.id > 0 {
			deliver(next.at, control.Finish(next.at, next.id, true))
			if next.chain.left--; next.chain.left > 0 {
				heap.Push(&due, moment{at: next.at + time.Millisecond, chain: next.chain})
			} else if next.at > from && next.at <= to {
				done++
			}
			continue
		}
		id++
		chains[id] = next.chain
		verdict, events := control.Submit(next.at, Job{
			ID: id, Kind: "call", Priority: 9, Deadline: next.at + callTime, InChain: c.inChain, ChainStart: next.chain.begin,
		})
		if verdict == Run {
			start(next.at, id)
		}
		deliver(next.at, events)
	}
	return float64(done) / (to - from).Seconds()
}

// The pattern: three of four targets of a deep service leave, and each request
// at the entry makes five calls there, one after the other, so that 2.5 times
// the capacity is asked for (Campanario, hunt-87fd-39: RECOVER). Guards against
// goodput that collapses because the calls of all chains wait alike: most
// chains then fail at one of their calls after the others have run.
func TestGoodputOfChainsUnderOverload(t *testing.T) {
	const from, to = 3 * time.Second, 13 * time.Second
	for seed := range uint64(5) {
		m := chainModel{seed: seed, calls: 5, work: 50 * time.Millisecond, slots: 4, rate: 40, inChain: true}
		capacity := float64(m.slots) / m.work.Seconds() / float64(m.calls)
		rate := m.run(from, to)
		assert.Assert(t, rate >= 0.75*capacity, "seed %d: %.1f chains a second end well of a capacity of %.1f", seed, rate, capacity)
		m.inChain = false
		alike := m.run(from, to)
		assert.Assert(t, alike < 0.5*capacity, "seed %d: the model shows no overload of chains: %.1f a second end well", seed, alike)
	}
}

// Guards against a call of a chain that has begun waiting behind, or being
// refused for, calls of chains that have just begun.
func TestOlderChainsGoFirst(t *testing.T) {
	c := New(Config{Slots: 1, MaxQueueTime: 400 * time.Millisecond, MaxQueueLength: 2})
	submit := func(now time.Duration, id uint64, chain time.Duration) (Verdict, []Event) {
		return c.Submit(now, Job{ID: id, Kind: "call", Deadline: now + 10*time.Second, InChain: true, ChainStart: chain})
	}
	now := time.Second
	verdict, _ := submit(now, 1, 0)
	assert.Equal(t, verdict, Run)
	verdict, _ = submit(now, 2, 900*time.Millisecond)
	assert.Equal(t, verdict, Queued)
	verdict, _ = submit(now, 3, 800*time.Millisecond)
	assert.Equal(t, verdict, Queued)
	// The queue is full, so the call of the newest chain makes room.
	verdict, events := submit(now, 4, 500*time.Millisecond)
	assert.Equal(t, verdict, Queued)
	assert.DeepEqual(t, events, []Event{{2, RefusedOverload}})
	verdict, _ = submit(now, 5, 950*time.Millisecond)
	assert.Equal(t, verdict, RefusedOverload)
	assert.DeepEqual(t, c.Finish(now, 1, true), []Event{{4, Run}})
	assert.DeepEqual(t, c.Finish(now, 4, true), []Event{{3, Run}})
}
