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
	chainLast  = "/reports/c6"
)

// chainPolicy declares a chain of six calls. Only the kind of the first one
// decides on the retries.
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

var chainPaths = []string{chainEntry, "/bookings/c2", "/reports/c3", "/directory/c4", "/bookings/c5", chainLast}

// chainRoutes makes each call of the chain call the next one.
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

// chainRun sends requests along the chain and measures what they cost.
type chainRun struct {
	m      *mesh
	prefix string
	// declared retries of each request.
	declared, requests int
	// send sends one request with all its repeats and returns how many
	// attempts were not refused with retry_limit.
	send func(id string) int
}

type chainCost struct {
	declared, requests int
	retries, repeats   int
	// executions of each path, over all requests, and the most of any one.
	executions, most map[string]int
}

func (r chainRun) run() chainCost {
	before := r.m.metric("parsley_router_retries_total")
	var mu sync.Mutex
	var wg sync.WaitGroup
	c := chainCost{declared: r.declared, requests: r.requests, executions: map[string]int{}, most: map[string]int{}}
	for i := range r.requests {
		wg.Go(func() {
			n := r.send(fmt.Sprintf("%s-%d", r.prefix, i))
			mu.Lock()
			defer mu.Unlock()
			c.repeats += n - 1
		})
	}
	wg.Wait()
	c.retries = r.m.metric("parsley_router_retries_total") - before
	for _, p := range chainPaths {
		for id, n := range r.m.executions(p) {
			if strings.HasPrefix(id, r.prefix+"-") {
				c.executions[p] += n
				c.most[p] = max(c.most[p], n)
			}
		}
	}
	return c
}

// problems compares the cost with the bound. Of R declared retries the first
// attempt carries R - R/2 through the chain and the caller may repeat R/2
// times, so retries by nodes and repeats by the caller are at most R together
// for each request. An allowance is moved and never copied, so this holds for
// the sum over all calls of the chain, and no call runs more than 1 + R times.
func (c chainCost) problems() []string {
	var out []string
	if c.retries+c.repeats > c.declared*c.requests {
		out = append(out, fmt.Sprintf("%d retries by nodes and %d repeats for %d requests; the bound is %d", c.retries, c.repeats, c.requests, c.declared*c.requests))
	}
	for _, p := range chainPaths {
		if c.most[p] > 1+c.declared {
			out = append(out, fmt.Sprintf("%s ran %d times for one request; the bound is %d", p, c.most[p], 1+c.declared))
		}
		if c.executions[p] > c.requests+c.retries+c.repeats {
			out = append(out, fmt.Sprintf("%s ran %d times for %d requests, %d retries and %d repeats", p, c.executions[p], c.requests, c.retries, c.repeats))
		}
	}
	return out
}

func (c chainCost) report(t *testing.T) {
	t.Helper()
	t.Logf("%d requests: %d retries by nodes, %d repeats by callers; executions %v, most for one request %v", c.requests, c.retries, c.repeats, c.executions, c.most)
	for _, p := range c.problems() {
		t.Error(p)
	}
}

// once sends each request once.
func (m *mesh) once(entry *host) func(id string) int {
	return func(id string) int {
		c := m.caller(entry)
		c.attempts = 1
		c.call(http.MethodGet, chainEntry, id)
		return 1
	}
}

// repeatHard sends a request again and again and returns the number of
// attempts that were let through.
func (m *mesh) repeatHard(attempts int, counted bool, entries ...*host) func(id string) int {
	return func(id string) int {
		passed := 0
		for n := 1; n <= attempts; n++ {
			h := map[string]string{headers.RequestID: id}
			if counted {
				h[headers.Attempt] = strconv.Itoa(n)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			resp, _, err := m.request(ctx, entries[(n-1)%len(entries)], http.MethodGet, chainEntry, h)
			cancel()
			if resp == nil && err != nil {
				passed++ // it may have run
				continue
			}
			if resp.Header.Get(headers.Error) != "retry_limit" {
				passed++
			}
		}
		return passed
	}
}

// Guards against retries that multiply along a call chain: each way in which
// the calls of a chain can fail must cost at most the declared retries of the
// request that began it, and nothing may repeat a call behind the back of the
// allowance.
func TestRetriesAreBoundedOverTheChain(t *testing.T) {
	t.Parallel()
	const declared = 4
	m := chainMesh(t, declared)
	entries := m.ofService("reports")
	last := func(f target.Faults) {
		for _, h := range m.hosts {
			h.faults(target.Faults{})
			if h.service == "reports" {
				h.faults(f)
			}
		}
	}
	all := func(f target.Faults) {
		for _, h := range m.hosts {
			h.faults(f)
		}
	}
	const requests = 20
	cases := []struct {
		name   string
		faults func()
		send   func(id string) int
	}{
		{"last service gives no answer", func() { last(target.Faults{FailShare: 1}) }, m.once(entries[0])},
		{"last service cuts its answers", func() { last(target.Faults{TruncateShare: 1}) }, m.once(entries[0])},
		{"last service sheds", func() { last(target.Faults{Shed: true}) }, m.once(entries[0])},
		{"every service often gives no answer", func() { all(target.Faults{FailShare: 0.3}) }, m.once(entries[0])},
		{"every service often cuts its answers", func() { all(target.Faults{TruncateShare: 0.3}) }, m.once(entries[0])},
		{"counted repeats at one node", func() { all(target.Faults{FailShare: 0.3}) }, m.repeatHard(12, true, entries[0])},
		{"counted repeats at all nodes", func() { all(target.Faults{FailShare: 0.3}) }, m.repeatHard(12, true, m.hosts...)},
		{"uncounted repeats at one node", func() { all(target.Faults{FailShare: 0.3}) }, m.repeatHard(12, false, entries[0])},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.faults()
			chainRun{m, fmt.Sprintf("chain%d", i), declared, requests, c.send}.run().report(t)
		})
	}
	all(target.Faults{})
}

// Guards the bound where the allowance is large enough to be split over several
// calls of the chain. With 4 declared retries, only the first two calls of the
// chain ever hold some.
func TestLargeAllowanceIsSplitOverTheChain(t *testing.T) {
	t.Parallel()
	const declared, requests = 20, 10
	m := chainMesh(t, declared)
	for _, h := range m.hosts {
		h.faults(target.Faults{FailShare: 0.5})
	}
	chainRun{m, "large", declared, requests, m.once(m.hosts[0])}.run().report(t)
	chainRun{m, "large-repeated", declared, requests, m.repeatHard(20, true, m.hosts...)}.run().report(t)
}

// Guards the bound against callers that send the same identity to several
// nodes without counting their attempts.
func TestRetriesOfUncountedRepeatsAtSeveralNodes(t *testing.T) {
	t.Parallel()
	const declared = 4
	m := chainMesh(t, declared)
	for _, h := range m.hosts {
		h.faults(target.Faults{FailShare: 0.3})
	}
	const requests = 10
	chainRun{m, "uncounted", declared, requests, m.repeatHard(12, false, m.hosts[:4]...)}.run().report(t)
}

// ofService returns the hosts of a service.
func (m *mesh) ofService(service string) []*host {
	var out []*host
	for _, h := range m.hosts {
		if h.service == service {
			out = append(out, h)
		}
	}
	assert.Assert(m.t, len(out) > 0)
	return out
}
