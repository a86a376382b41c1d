package integration

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/headers"
	"parsleyturn/internal/standin/target"
)

const (
	chainEntry = "/directory/c1"
	chainLeaf  = "/reports/c6"
)

// chainPolicy declares the kinds of a chain of six calls. Only the kind of the
// first call determines the retry allowance.
func chainPolicy(retries int) string {
	return fmt.Sprintf(`
[kind.chain-directory]
service = "directory"
methods = ["GET"]
path_prefix = "/directory/c"
priority = 5
deadline_ms = 8000
retries = %[1]d
[kind.chain-bookings]
service = "bookings"
methods = ["GET"]
path_prefix = "/bookings/c"
priority = 5
deadline_ms = 8000
retries = %[1]d
[kind.chain-reports]
service = "reports"
methods = ["GET"]
path_prefix = "/reports/c"
priority = 5
deadline_ms = 8000
retries = %[1]d
`, retries)
}

var chainPaths = []string{chainEntry, "/bookings/c2", "/reports/c3", "/directory/c4", "/bookings/c5", chainLeaf}

// chainRoutes makes each call of the chain send the next one as a sub-call.
func chainRoutes() string {
	var b strings.Builder
	for i, p := range chainPaths {
		fmt.Fprintf(&b, "\n[[route]]\npath_prefix = %q\ntime_ms = 2\nbody_bytes = 500\n", p)
		if i+1 < len(chainPaths) {
			fmt.Fprintf(&b, "[[route.sub_call]]\nmethod = \"GET\"\npath = %q\n", chainPaths[i+1])
		}
	}
	return b.String()
}

func chainMesh(t *testing.T, retries int) *mesh {
	return parallelMesh(t, 2, meshOptions{policy: chainPolicy(retries), routes: chainRoutes(), slots: 64})
}

// chainLoad sends requests along the chain and counts retries and executions.
type chainLoad struct {
	m      *mesh
	prefix string
	// declared is the number of declared retries of each request.
	declared, requests int
	// send sends one request with all retries by the caller and returns how
	// many attempts were not refused with retry_limit.
	send func(id string) int
}

type chainCost struct {
	declared, requests         int
	nodeRetries, callerRetries int
	// executions counts the executions of each path over all requests, and
	// maxExecutions is the largest count of one request.
	executions, maxExecutions map[string]int
}

func (r chainLoad) run() chainCost {
	before := r.m.metric("parsley_router_retries_total")
	var mu sync.Mutex
	var wg sync.WaitGroup
	c := chainCost{declared: r.declared, requests: r.requests, executions: map[string]int{}, maxExecutions: map[string]int{}}
	for i := range r.requests {
		wg.Go(func() {
			n := r.send(fmt.Sprintf("%s-%d", r.prefix, i))
			mu.Lock()
			defer mu.Unlock()
			c.callerRetries += n - 1
		})
	}
	wg.Wait()
	c.nodeRetries = r.m.metric("parsley_router_retries_total") - before
	for _, p := range chainPaths {
		for id, n := range r.m.executions(p) {
			if strings.HasPrefix(id, r.prefix+"-") {
				c.executions[p] += n
				c.maxExecutions[p] = max(c.maxExecutions[p], n)
			}
		}
	}
	return c
}

// problems compares the cost with the bound on retries. Of R declared retries
// the first attempt carries an allowance of R - R/2 through the chain and the
// caller may retry R/2 times, so retries by nodes and by the caller together are
// at most R for each request. An allowance is moved and never copied, so this
// holds for the sum over all calls of the chain, and no call is executed more
// than 1 + R times. Every execution of a path beyond one for each request must
// come from one of these retries.
func (c chainCost) problems() []string {
	var out []string
	if c.nodeRetries+c.callerRetries > c.declared*c.requests {
		out = append(out, fmt.Sprintf("%d retries by nodes and %d by callers for %d requests; the bound is %d", c.nodeRetries, c.callerRetries, c.requests, c.declared*c.requests))
	}
	for _, p := range chainPaths {
		if c.maxExecutions[p] > 1+c.declared {
			out = append(out, fmt.Sprintf("%s was executed %d times for one request; the bound is %d", p, c.maxExecutions[p], 1+c.declared))
		}
		if c.executions[p] > c.requests+c.nodeRetries+c.callerRetries {
			out = append(out, fmt.Sprintf("%s was executed %d times for %d requests, %d retries by nodes and %d by callers", p, c.executions[p], c.requests, c.nodeRetries, c.callerRetries))
		}
	}
	return out
}

func (c chainCost) report(t *testing.T) {
	t.Helper()
	t.Logf("%d requests: %d retries by nodes, %d by callers; executions %v, most for one request %v", c.requests, c.nodeRetries, c.callerRetries, c.executions, c.maxExecutions)
	for _, p := range c.problems() {
		t.Error(p)
	}
}

// sendOnce returns a send function without retries by the caller.
func (m *mesh) sendOnce(entry *host) func(id string) int {
	return func(id string) int {
		c := m.newCaller(entry)
		c.attempts = 1
		c.call(http.MethodGet, chainEntry, id)
		return 1
	}
}

// sendWithRetries returns a send function that makes all attempts at the
// entries in turn, whatever the responses are, and returns how many were not
// refused with retry_limit. If counted is set, the attempts carry their number.
func (m *mesh) sendWithRetries(attempts int, counted bool, entries ...*host) func(id string) int {
	return func(id string) int {
		passed := 0
		for n := 1; n <= attempts; n++ {
			h := map[string]string{headers.RequestID: id}
			if counted {
				h[headers.Attempt] = strconv.Itoa(n)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			resp, _, err := m.doRequest(ctx, entries[(n-1)%len(entries)], http.MethodGet, chainEntry, h)
			cancel()
			if resp == nil && err != nil {
				passed++ // it may have been executed
				continue
			}
			if resp.Header.Get(headers.Error) != "retry_limit" {
				passed++
			}
		}
		return passed
	}
}

// Guards against retries that multiply along a call chain, when nodes at
// several hops retry the same failure, or a retry is not charged to the
// allowance. For each way in which calls can fail, all retries together must
// not exceed the declared retries of the request that started the chain.
func TestRetriesAreBoundedOverTheChain(t *testing.T) {
	t.Parallel()
	const declared = 4
	m := chainMesh(t, declared)
	entries := m.hostsOf("reports")
	setLastServiceFaults := func(f target.Faults) {
		for _, h := range m.hosts {
			h.setTargetFaults(target.Faults{})
			if h.service == "reports" {
				h.setTargetFaults(f)
			}
		}
	}
	setAllFaults := func(f target.Faults) {
		for _, h := range m.hosts {
			h.setTargetFaults(f)
		}
	}
	const requests = 20
	cases := []struct {
		name   string
		faults func()
		send   func(id string) int
	}{
		{"last service gives no response", func() { setLastServiceFaults(target.Faults{FailShare: 1}) }, m.sendOnce(entries[0])},
		{"last service truncates its responses", func() { setLastServiceFaults(target.Faults{TruncateShare: 1}) }, m.sendOnce(entries[0])},
		{"last service sheds", func() { setLastServiceFaults(target.Faults{Shed: true}) }, m.sendOnce(entries[0])},
		{"every service gives no response to 30 percent of requests", func() { setAllFaults(target.Faults{FailShare: 0.3}) }, m.sendOnce(entries[0])},
		{"every service truncates 30 percent of its responses", func() { setAllFaults(target.Faults{TruncateShare: 0.3}) }, m.sendOnce(entries[0])},
		{"counted retries at one node", func() { setAllFaults(target.Faults{FailShare: 0.3}) }, m.sendWithRetries(12, true, entries[0])},
		{"counted retries at all nodes", func() { setAllFaults(target.Faults{FailShare: 0.3}) }, m.sendWithRetries(12, true, m.hosts...)},
		{"uncounted retries at one node", func() { setAllFaults(target.Faults{FailShare: 0.3}) }, m.sendWithRetries(12, false, entries[0])},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.faults()
			chainLoad{m, fmt.Sprintf("chain%d", i), declared, requests, c.send}.run().report(t)
		})
	}
	setAllFaults(target.Faults{})
}

// Guards against more retries than the 20 declared ones when the allowance is
// split over several calls of the chain, because a call passes on retries that
// it has used or kept. With 4 declared retries, only the first two calls of the
// chain get any.
func TestLargeAllowanceIsSplitOverTheChain(t *testing.T) {
	t.Parallel()
	const declared, requests = 20, 10
	m := chainMesh(t, declared)
	for _, h := range m.hosts {
		h.setTargetFaults(target.Faults{FailShare: 0.5})
	}
	chainLoad{m, "large", declared, requests, m.sendOnce(m.hosts[0])}.run().report(t)
	chainLoad{m, "large-repeated", declared, requests, m.sendWithRetries(20, true, m.hosts...)}.run().report(t)
}

// Guards against more retries than the 4 declared ones when callers send a
// request with the same request ID to several nodes and do not number their
// attempts: each node counts only the attempts that arrive at it.
func TestRetriesOfUncountedRepeatsAtSeveralNodes(t *testing.T) {
	t.Parallel()
	const declared = 4
	m := chainMesh(t, declared)
	for _, h := range m.hosts {
		h.setTargetFaults(target.Faults{FailShare: 0.3})
	}
	const requests = 10
	chainLoad{m, "uncounted", declared, requests, m.sendWithRetries(12, false, m.hosts[:4]...)}.run().report(t)
}

// hostsOf returns the hosts of a service and fails the test if there is none.
func (m *mesh) hostsOf(service string) []*host {
	var out []*host
	for _, h := range m.hosts {
		if h.service == service {
			out = append(out, h)
		}
	}
	assert.Assert(m.t, len(out) > 0)
	return out
}
