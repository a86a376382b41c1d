package targethost

import (
	"context"
	"sync"
	"time"

	"parsleyturn/internal/admission"
	"parsleyturn/internal/kernel"
)

// slotQueue runs an admission controller: it wakes the requests that get a slot
// and refuses those whose time in the queue is over.
type slotQueue struct {
	mu         sync.Mutex
	controller *admission.Controller
	nextID     uint64
	waiters    map[uint64]chan admission.Verdict
	timer      *time.Timer
}

func newSlotQueue(c admission.Config) *slotQueue {
	q := &slotQueue{controller: admission.New(c), waiters: make(map[uint64]chan admission.Verdict)}
	q.timer = time.AfterFunc(time.Hour, q.tick)
	return q
}

// acquire waits for a slot. After the verdict admission.Run the caller must
// call release.
func (q *slotQueue) acquire(ctx context.Context, j admission.Job) (uint64, admission.Verdict) {
	q.mu.Lock()
	q.nextID++
	j.ID = q.nextID
	verdict, events := q.controller.Submit(kernel.Uptime(), j)
	var wake chan admission.Verdict
	if verdict == admission.Queued {
		wake = make(chan admission.Verdict, 1)
		q.waiters[j.ID] = wake
	}
	q.deliverVerdicts(events)
	q.mu.Unlock()
	if verdict != admission.Queued {
		return j.ID, verdict
	}
	select {
	case verdict = <-wake:
		return j.ID, verdict
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, queued := q.waiters[j.ID]; queued {
		delete(q.waiters, j.ID)
		q.deliverVerdicts(q.controller.Cancel(kernel.Uptime(), j.ID))
		return j.ID, admission.RefusedDeadline
	}
	return j.ID, <-wake
}

// release ends a running job. ok is false if the duration of the job must not
// be used to estimate the service time of the target.
func (q *slotQueue) release(id uint64, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliverVerdicts(q.controller.Finish(kernel.Uptime(), id, ok))
}

func (q *slotQueue) configure(c admission.Config) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliverVerdicts(q.controller.Configure(kernel.Uptime(), c))
}

func (q *slotQueue) load() admission.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.controller.Load()
}

// expectedServiceTime returns the current service time of requests of a kind,
// or 0 if none finished recently.
func (q *slotQueue) expectedServiceTime(kind string) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.controller.ExpectedServiceTime(kernel.Uptime(), kind)
}

func (q *slotQueue) tick() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliverVerdicts(q.controller.Tick(kernel.Uptime()))
}

// deliverVerdicts passes verdicts to the waiters and sets the timer. q.mu must
// be held.
func (q *slotQueue) deliverVerdicts(events []admission.Event) {
	for _, e := range events {
		if wake, ok := q.waiters[e.ID]; ok {
			delete(q.waiters, e.ID)
			wake <- e.Verdict
		}
	}
	if due, ok := q.controller.NextDue(); ok {
		q.timer.Reset(max(due-kernel.Uptime(), time.Millisecond))
	}
}
