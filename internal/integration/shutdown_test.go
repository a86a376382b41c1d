package integration

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/apierror"
)

// subCallRoutes has a bookings route with a sub-call that takes 400 ms.
const subCallRoutes = `
[[route]]
path_prefix = "/bookings/deep"
time_ms = 100
body_bytes = 300
[[route.sub_call]]
method = "GET"
path = "/directory/slow"
`

// exitCode waits for the process to exit and returns its exit code. If that
// takes longer than limit, it fails the test and returns -1.
func (p *process) exitCode(t testing.TB, limit time.Duration) int {
	t.Helper()
	select {
	case err := <-p.done:
		p.done <- err
		var exit *exec.ExitError
		if errors.As(err, &exit) {
			return exit.ExitCode()
		}
		assert.NilError(t, err)
		return 0
	case <-time.After(limit):
		t.Errorf("process did not exit within %s", limit)
		return -1
	}
}

// burst is n requests of the same kind that are sent at the same time.
type burst struct {
	method, path string
	entry        *host
	n            int
}

// sendBursts starts sending the bursts. The results are complete when the
// WaitGroup is done.
func (m *mesh) sendBursts(bursts []burst) (*sync.WaitGroup, *[]callResult) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	results := &[]callResult{}
	for i, b := range bursts {
		for j := range b.n {
			wg.Go(func() {
				c := m.newCaller(b.entry)
				c.timeout, c.attempts = 20*time.Second, 1
				got := c.call(b.method, b.path, fmt.Sprintf("burst-%d-%d", i, j))
				mu.Lock()
				defer mu.Unlock()
				*results = append(*results, got)
			})
		}
	}
	return &wg, results
}

// Guards against a graceful shutdown that closes links or the loopback listener
// too early, and so truncates a download or fails a running or queued booking
// or a sub-call of the local target.
func TestGracefulShutdownCompletesRequests(t *testing.T) {
	t.Parallel()
	m := parallelMesh(t, 2, meshOptions{routes: subCallRoutes})
	bookings, reports, directory := m.hostOf(0, "bookings"), m.hostOf(0, "reports"), m.hostOf(0, "directory")
	wg, results := m.sendBursts([]burst{
		{http.MethodGet, "/reports/x?bytes=600000", directory, 2},
		{http.MethodGet, "/reports/x?bytes=600000", reports, 1},
		{http.MethodPost, "/bookings/deep", directory, 2},
		{http.MethodPost, "/bookings/deep", bookings, 1},
		{http.MethodPost, "/bookings/slow", directory, 3},
		{http.MethodPost, "/bookings/slow", bookings, 2},
	})
	time.Sleep(250 * time.Millisecond)
	stopped := []*host{bookings, reports}
	for _, h := range stopped {
		s, err := h.status()
		assert.NilError(t, err)
		t.Logf("%s: %d in flight, %d of them queued", h.id, s.InFlight, s.Load.Queued)
		assert.Assert(t, s.Load.InFlight > 0, "no requests are in flight at %s, so the test checks nothing", h.id)
		h.node.signal(syscall.SIGTERM)
	}
	for _, h := range stopped {
		assert.Equal(t, h.node.exitCode(t, 25*time.Second), 0, h.id)
	}
	wg.Wait()
	answered := 0
	for _, a := range *results {
		assert.Equal(t, a.bodyError, "", a.id)
		switch {
		case a.outcome == apierror.Answered && a.status == http.StatusOK:
			answered++
		case a.outcome == apierror.NotRun && a.code == string(apierror.Overloaded):
			// Refused on arrival, before the shutdown.
		default:
			t.Errorf("%s: outcome %q, code %q, status %d after %s: %s", a.id, a.outcome, a.code, a.status, a.elapsed, a.body)
		}
	}
	t.Logf("%d of %d requests got a complete response", answered, len(*results))
	assert.Assert(t, answered >= len(*results)-2)
}

// Guards against a shutdown that reaches the drain limit, cuts off requests and
// still exits with code 0, that logs a wrong number of them, or that ends a
// response so that the caller takes it for complete.
func TestShutdownAtDrainLimitReportsCutRequests(t *testing.T) {
	t.Parallel()
	m := parallelMesh(t, 1, meshOptions{drainLimitMS: 400})
	reports, directory := m.hostOf(0, "reports"), m.hostOf(0, "directory")
	wg, results := m.sendBursts([]burst{
		{http.MethodGet, "/reports/x?bytes=4000000", directory, 2},
		{http.MethodGet, "/reports/x?bytes=4000000", reports, 1},
	})
	time.Sleep(500 * time.Millisecond)
	reports.node.signal(syscall.SIGTERM)
	assert.Equal(t, reports.node.exitCode(t, 15*time.Second), 1)
	wg.Wait()
	content, err := os.ReadFile(reports.node.logFile)
	assert.NilError(t, err)
	lines := strings.Split(strings.TrimSpace(string(content)), "\n")
	last := lines[len(lines)-1]
	assert.Assert(t, strings.Contains(last, "3 requests were still in flight after the drain limit of 400ms"), last)
	for _, a := range *results {
		assert.Assert(t, a.outcome != apierror.Answered || a.bodyError != "", "request %s was cut off by the shutdown but its response looks complete", a.id)
	}
}
