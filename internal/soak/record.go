package soak

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"parsleyturn/platform/platformtest"
)

// drainBound is how long requests may still reach a target after the node has
// acknowledged that the target is draining.
const drainBound = 2500 * time.Millisecond

// A target may get limitFactor times what its limit allows in any limitWindow,
// plus limitSlack requests, from limitWindow after it first named the limit.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// At most goneAllowance requests of a run may reach a target more than goneBound after
// their clients have left.
const (
	goneBound     = 500 * time.Millisecond
	goneAllowance = 3
)

// namedLimit is the limit that a target names, and the requests it has got since.
type namedLimit struct {
	rate     float64
	since    time.Time
	arrivals []time.Time
}

// departure is an acknowledgement that a target leaves.
type departure struct {
	at  time.Time
	how string
}

// toldVM is a VM that has passed on a statement of a target to a caller.
type toldVM struct {
	vm     int
	target string
}

// recorder keeps what callers and targets observed, and the guarantees that
// were violated.
type recorder struct {
	mu sync.Mutex
	// executions counts the executions of each request; targetsByRequest lists
	// the targets that executed it.
	executions       map[string]int
	targetsByRequest map[string][]string
	// refusedAt holds the time at which a request was refused with a status
	// that says that it was not executed.
	refusedAt map[string]time.Time
	// departures holds when and how the node acknowledged first that a target leaves.
	departures map[string]departure
	// leavingSince holds the time at which a caller of a VM got a response in which
	// a target said that it leaves.
	leavingSince map[toldVM]time.Time
	limits       map[string]*namedLimit
	// leftAt holds the time at which the client of a request left, and gone counts
	// the requests that reached a target more than goneBound later.
	leftAt map[string]time.Time
	gone   int
	// remoteExecutions counts the executions of requests of other VMs, by the VM of
	// the target.
	remoteExecutions map[int]int
	violations       []string
	statuses         map[int]int
}

func newRecorder() *recorder {
	return &recorder{executions: map[string]int{}, targetsByRequest: map[string][]string{}, refusedAt: map[string]time.Time{}, departures: map[string]departure{}, leavingSince: map[toldVM]time.Time{}, limits: map[string]*namedLimit{}, leftAt: map[string]time.Time{}, remoteExecutions: map[int]int{}, statuses: map[int]int{}}
}

// addViolation records a violated guarantee.
func (r *recorder) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addViolationLocked(format, args...)
}

// addViolationLocked is addViolation for callers that hold r.mu. It keeps the
// first 100 violations.
func (r *recorder) addViolationLocked(format string, args ...any) {
	if len(r.violations) < 100 {
		r.violations = append(r.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

// recordExecution records that a target executed a request. It adds a violation
// if the request was executed too often, had been refused as not executed, came
// without the caller's service or reached the target more than drainBound after
// its draining was acknowledged, or if too many did after their clients had left.
func (r *recorder) recordExecution(vm int, target string, execution platformtest.Execution) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executions[execution.ID]++
	r.targetsByRequest[execution.ID] = append(r.targetsByRequest[execution.ID], target)
	n := r.executions[execution.ID]
	switch {
	case idempotent(execution.ID) && n > maxAttempts:
		r.addViolationLocked("request %s was executed %d times, by %v", execution.ID, n, r.targetsByRequest[execution.ID])
	case !idempotent(execution.ID) && n > 1:
		r.addViolationLocked("non-idempotent request %s was executed twice, by %v", execution.ID, r.targetsByRequest[execution.ID])
	}
	if at, ok := r.refusedAt[execution.ID]; ok {
		r.addViolationLocked("request %s was executed by %s, %v after it was refused as not executed", execution.ID, target, time.Since(at))
	}
	if d, ok := r.departures[target]; ok && time.Since(d.at) > drainBound {
		r.addViolationLocked("request %s reached target %s %v after %s was acknowledged", execution.ID, target, time.Since(d.at), d.how)
	}
	if at, ok := r.leavingSince[toldVM{originVM(execution.ID), target}]; ok && time.Since(at) > drainBound+deadline {
		r.addViolationLocked("request %s reached target %s %v after a caller of the same VM was told that it leaves", execution.ID, target, time.Since(at))
	}
	r.checkLimitLocked(target)
	if at, ok := r.leftAt[execution.ID]; ok && time.Since(at) > goneBound {
		if r.gone++; r.gone > goneAllowance {
			r.addViolationLocked("request %s reached target %s %v after its client had left, and %d did before", execution.ID, target, time.Since(at), r.gone-1)
		}
	}
	if originVM(execution.ID) != vm {
		r.remoteExecutions[vm]++
	}
	if execution.CallerService == "" {
		r.addViolationLocked("request %s reached target %s of vm-%d without the caller's service", execution.ID, target, vm)
	}
}

// recordLimit records the limit that a target names in a response, or 0 if it
// names none.
func (r *recorder) recordLimit(target string, rate float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch l := r.limits[target]; {
	case rate == 0:
		delete(r.limits, target)
	case l == nil:
		r.limits[target] = &namedLimit{rate: rate, since: time.Now()}
	}
}

// checkLimitLocked records a request that a target with a limit has got, and adds
// a violation if it got too many.
func (r *recorder) checkLimitLocked(target string) {
	l := r.limits[target]
	if l == nil {
		return
	}
	now := time.Now()
	l.arrivals = append(l.arrivals, now)
	for now.Sub(l.arrivals[0]) > limitWindow {
		l.arrivals = l.arrivals[1:]
	}
	allowed := limitFactor*l.rate*limitWindow.Seconds() + limitSlack
	if now.Sub(l.since) > limitWindow && float64(len(l.arrivals)) > allowed {
		r.addViolationLocked("target %s with a limit of %.1f a second got %d requests in %v", target, l.rate, len(l.arrivals), limitWindow)
	}
}

// recordLeft records that the client of a request has left.
func (r *recorder) recordLeft(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leftAt[id] = time.Now()
}

// remoteExecutionCounts returns the number of executions of requests of other VMs at
// each of n VMs.
func (r *recorder) remoteExecutionCounts(n int) []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]int, n)
	for i := range out {
		out[i] = r.remoteExecutions[i]
	}
	return out
}

// recordDeparture records the first acknowledgement that a target leaves.
func (r *recorder) recordDeparture(target, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.departures[target]; !ok {
		r.departures[target] = departure{time.Now(), how}
	}
}

// checkResponse adds a violation if a caller received a response with status 200
// that is truncated, unsigned or belongs to another request, one with an invalid status,
// or a refusal without Retry-After or of a request that was executed.
func (r *recorder) checkResponse(id string, resp platformtest.Response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statuses[resp.Status]++
	told := toldVM{originVM(id), resp.Target()}
	if _, ok := r.leavingSince[told]; resp.Leaving && !ok {
		r.leavingSince[told] = time.Now()
	}
	switch {
	case resp.Err != nil:
	case resp.Status < 200 || resp.Status > 599:
		r.addViolationLocked("request %s got a response with status %03d", id, resp.Status)
	case resp.Status == 200:
		if resp.Stamp == "" || resp.ID != id || resp.Body != fmt.Sprintf("answer of %s to %s", resp.Target(), id) {
			r.addViolationLocked("request %s got the response %q to %q, signature %q", id, resp.Body, resp.ID, resp.Stamp)
		}
	case resp.Status == 503 || resp.Status == 429 || resp.Status == 408 || resp.Status == 421:
		// A refusal says nothing of what was sent before, to another process of the node.
		again := resp.Sent > 1
		if !again {
			r.refusedAt[id] = time.Now()
		}
		if n := r.executions[id]; n > 0 && !again {
			r.addViolationLocked("request %s was refused as not executed, but was executed %d times, by %v", id, n, r.targetsByRequest[id])
		}
		if resp.RetryAfter == "" {
			r.addViolationLocked("request %s was refused with status %d and no Retry-After", id, resp.Status)
		}
	}
}

// forgetLeaving forgets what the node of a VM has passed on, as it was restarted or
// paused. It may then send requests to a leaving target until it is told again.
func (r *recorder) forgetLeaving(vm int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for told := range r.leavingSince {
		if told.vm == vm {
			delete(r.leavingSince, told)
		}
	}
}

// originVM returns the index of the VM at which a request began. IDs have the form
// kind-VM-rest, and those of sub-calls ID.call-VM-rest.
func originVM(id string) int {
	fields := strings.SplitN(id[strings.LastIndex(id, ".")+1:], "-", 3)
	if len(fields) < 2 {
		return -1
	}
	vm, err := strconv.Atoi(fields[1])
	if err != nil {
		return -1
	}
	return vm
}

// listViolations returns the violations, oldest first.
func (r *recorder) listViolations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.violations...)
}
