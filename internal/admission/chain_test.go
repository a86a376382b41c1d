package admission

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// chainModel simulates call chains at one target in virtual time. Each chain
// makes its calls sequentially and fails at the first one that is refused.
type chainModel struct {
	seed            uint64
	calls           int
	work            time.Duration
	slots           int
	chainsPerSecond float64
	inChain         bool
}

// modelEvent is the next call of a chain or the end of a running call.
type modelEvent struct {
	at    time.Duration
	chain *modelChain
	id    uint64 // ID of the job that ends, or 0 for the next call
}

type modelChain struct {
	start     time.Duration
	callsLeft int
}

type modelEventHeap []modelEvent

func (m modelEventHeap) Len() int           { return len(m) }
func (m modelEventHeap) Less(i, j int) bool { return m[i].at < m[j].at }
func (m modelEventHeap) Swap(i, j int)      { m[i], m[j] = m[j], m[i] }
func (m *modelEventHeap) Push(x any)        { *m = append(*m, x.(modelEvent)) }
func (m *modelEventHeap) Pop() any {
	last := (*m)[len(*m)-1]
	*m = (*m)[:len(*m)-1]
	return last
}

// run returns the number of chains per second completed between from and to.
func (c chainModel) run(from, to time.Duration) float64 {
	const callTimeout = 700 * time.Millisecond // timeout of the call's route
	rnd := rand.New(rand.NewPCG(c.seed, 1))
	control := New(Config{Slots: c.slots, MaxQueueTime: 400 * time.Millisecond})
	var due modelEventHeap
	for at := time.Duration(0); at < to; at += time.Duration(rnd.ExpFloat64() / c.chainsPerSecond * 1e9) {
		heap.Push(&due, modelEvent{at: at, chain: &modelChain{start: at, callsLeft: c.calls}})
	}
	chains := map[uint64]*modelChain{}
	id, done := uint64(0), 0
	start := func(now time.Duration, id uint64) {
		heap.Push(&due, modelEvent{at: now + time.Duration((0.5+rnd.Float64())*float64(c.work)), chain: chains[id], id: id})
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
			if next.chain.callsLeft--; next.chain.callsLeft > 0 {
				heap.Push(&due, modelEvent{at: next.at + time.Millisecond, chain: next.chain})
			} else if next.at > from && next.at <= to {
				done++
			}
			continue
		}
		id++
		chains[id] = next.chain
		verdict, events := control.Submit(next.at, Job{
			ID: id, Kind: "call", Priority: 9, Deadline: next.at + callTimeout, InChain: c.inChain, ChainStart: next.chain.start,
		})
		if verdict == Run {
			start(next.at, id)
		}
		deliver(next.at, events)
	}
	return float64(done) / (to - from).Seconds()
}

// Guards against goodput collapsing because the calls of all chains wait
// equally long: most chains then fail at one of their calls after the others
// have run. The model is a downstream service that has lost three of its four
// targets, and each request at the entry makes five sequential calls to it, so
// that the load is 2.5 times the capacity (Campanario, hunt-87fd-39: RECOVER).
func TestGoodputOfChainsUnderOverload(t *testing.T) {
	const from, to = 3 * time.Second, 13 * time.Second
	for seed := range uint64(5) {
		m := chainModel{seed: seed, calls: 5, work: 50 * time.Millisecond, slots: 4, chainsPerSecond: 40, inChain: true}
		capacity := float64(m.slots) / m.work.Seconds() / float64(m.calls)
		rate := m.run(from, to)
		assert.Assert(t, rate >= 0.75*capacity, "seed %d: %.1f chains per second succeed, the capacity is %.1f", seed, rate, capacity)
		m.inChain = false
		withoutOrder := m.run(from, to)
		assert.Assert(t, withoutOrder < 0.5*capacity, "seed %d: the model is not overloaded: without ordering by chain start, %.1f chains per second succeed", seed, withoutOrder)
	}
}

// Guards against a call of an older chain waiting behind calls of newer chains,
// or being refused in favor of them.
func TestOlderChainsAreServedFirst(t *testing.T) {
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
	// The queue is full, so the call of the newest chain is evicted.
	verdict, events := submit(now, 4, 500*time.Millisecond)
	assert.Equal(t, verdict, Queued)
	assert.DeepEqual(t, events, []Event{{2, RefusedOverload}})
	verdict, _ = submit(now, 5, 950*time.Millisecond)
	assert.Equal(t, verdict, RefusedOverload)
	assert.DeepEqual(t, c.Finish(now, 1, true), []Event{{4, Run}})
	assert.DeepEqual(t, c.Finish(now, 4, true), []Event{{3, Run}})
}
