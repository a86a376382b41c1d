package targethost

import (
	"context"
	"sync"
	"time"

	"parsleyturn/internal/admission"
	"parsleyturn/internal/kernel"
)

// gate runs an admission controller: it wakes the requests that get a slot and
// refuses those that are due.
type gate struct {
	mu      sync.Mutex
	control *admission.Controller
	nextID  uint64
	waiting map[uint64]chan admission.Verdict
	timer   *time.Timer
}

func newGate(c admission.Config) *gate {
	g := &gate{control: admission.New(c), waiting: make(map[uint64]chan admission.Verdict)}
	g.timer = time.AfterFunc(time.Hour, g.tick)
	return g
}

// enter waits for a slot. After admission.Run the caller must call leave.
func (g *gate) enter(ctx context.Context, j admission.Job) (uint64, admission.Verdict) {
	g.mu.Lock()
	g.nextID++
	j.ID = g.nextID
	verdict, events := g.control.Submit(kernel.Uptime(), j)
	var wake chan admission.Verdict
	if verdict == admission.Queued {
		wake = make(chan admission.Verdict, 1)
		g.waiting[j.ID] = wake
	}
	g.deliver(events)
	g.mu.Unlock()
	if verdict != admission.Queued {
		return j.ID, verdict
	}
	select {
	case verdict = <-wake:
		return j.ID, verdict
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, queued := g.waiting[j.ID]; queued {
		delete(g.waiting, j.ID)
		g.deliver(g.control.Cancel(kernel.Uptime(), j.ID))
		return j.ID, admission.RefusedDeadline
	}
	return j.ID, <-wake
}

// leave ends a running job. ok is false if its duration says nothing about
// the target.
func (g *gate) leave(id uint64, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.control.Finish(kernel.Uptime(), id, ok))
}

func (g *gate) configure(c admission.Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.control.Configure(kernel.Uptime(), c))
}

func (g *gate) load() admission.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.control.Load()
}

// usual is the time that requests of a kind take now, or 0 if none ended of
// late.
func (g *gate) usual(kind string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.control.ExpectedServiceTime(kernel.Uptime(), kind)
}

func (g *gate) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.control.Tick(kernel.Uptime()))
}

// deliver passes verdicts on and sets the timer. g.mu is held.
func (g *gate) deliver(events []admission.Event) {
	for _, e := range events {
		if wake, ok := g.waiting[e.ID]; ok {
			delete(g.waiting, e.ID)
			wake <- e.Verdict
		}
	}
	if due, ok := g.control.NextDue(); ok {
		g.timer.Reset(max(due-kernel.Uptime(), time.Millisecond))
	}
}
