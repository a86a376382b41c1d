package soak

import (
	"fmt"
	"sync"
	"time"

	"parsleyturn/platform/platformtest"
)

// drainBound is the time after the acknowledgement of a target's leaving after
// which no request may reach it.
const drainBound = 2500 * time.Millisecond

// record keeps what callers and targets saw, and the promises that were
// broken.
type record struct {
	mu sync.Mutex
	// runs counts the runs of each request; targets has the targets of those
	// that ran more than once.
	runs    map[string]int
	targets map[string][]string
	// refused holds the requests that were said not to have run.
	refused map[string]time.Time
	// leftAt is the acknowledgement of a target's leaving.
	leftAt   map[string]time.Time
	failures []string
	statuses map[int]int
}

func newRecord() *record {
	return &record{runs: map[string]int{}, targets: map[string][]string{}, refused: map[string]time.Time{}, leftAt: map[string]time.Time{}, statuses: map[int]int{}}
}

// broken notes a promise that was broken.
func (r *record) broken(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fail(format, args...)
}

func (r *record) fail(format string, args ...any) {
	if len(r.failures) < 100 {
		r.failures = append(r.failures, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

// ran notes a run at a target.
func (r *record) ran(vm int, target string, run platformtest.Execution) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[run.ID]++
	r.targets[run.ID] = append(r.targets[run.ID], target)
	n := r.runs[run.ID]
	switch {
	case idempotent(run.ID) && n > maxAttempts:
		r.fail("request %s ran %d times, at %v", run.ID, n, r.targets[run.ID])
	case !idempotent(run.ID) && n > 1:
		r.fail("non-idempotent request %s ran twice, at %v", run.ID, r.targets[run.ID])
	}
	if at, ok := r.refused[run.ID]; ok {
		r.fail("request %s runs at %s, %v after it was said not to have run", run.ID, target, time.Since(at))
	}
	if at, ok := r.leftAt[target]; ok && time.Since(at) > drainBound {
		r.fail("request %s reaches target %s %v after its leaving was acknowledged", run.ID, target, time.Since(at))
	}
	if run.CallerService == "" {
		r.fail("request %s reaches target %s of vm-%d without the caller's service", run.ID, target, vm)
	}
}

// left notes the acknowledgement of a target's leaving.
func (r *record) left(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.leftAt[target]; !ok {
		r.leftAt[target] = time.Now()
	}
}

// answered checks an answer that a caller got.
func (r *record) answered(id string, a platformtest.Response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statuses[a.Status]++
	switch {
	case a.Err != nil:
	case a.Status == 200:
		if a.Stamp == "" || a.ID != id || a.Body != fmt.Sprintf("answer of %s to %s", a.Target(), id) {
			r.fail("request %s got the answer %q to %q, signature %q", id, a.Body, a.ID, a.Stamp)
		}
	case a.Status == 503 || a.Status == 429 || a.Status == 408 || a.Status == 421:
		r.refused[id] = time.Now()
		if n := r.runs[id]; n > 0 {
			r.fail("request %s was said not to have run and ran %d times, at %v", id, n, r.targets[id])
		}
		if a.RetryAfter == "" {
			r.fail("request %s was refused with %d and no time to come back", id, a.Status)
		}
	}
}

// all returns the broken promises, the first one first.
func (r *record) all() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.failures...)
}
