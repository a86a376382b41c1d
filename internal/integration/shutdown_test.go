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

// deepRoutes has bookings that make a sub-call of 400 ms.
const deepRoutes = `
[[route]]
path_prefix = "/bookings/deep"
time_ms = 100
body_bytes = 300
[[route.sub_call]]
method = "GET"
path = "/directory/slow"
`

// exitCode waits for the end of the process.
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
		t.Errorf("process did not end within %s", limit)
		return -1
	}
}

// burst is a number of equal requests sent at the same time.
type burst struct {
	method, path string
	entry        *host
	n            int
}

// send sends the bursts. The answers are complete when the WaitGroup is done.
func (m *mesh) send(bursts []burst) (*sync.WaitGroup, *[]told) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := &[]told{}
	for i, b := range bursts {
		for j := range b.n {
			wg.Go(func() {
				c := m.caller(b.entry)
				c.timeout, c.attempts = 20*time.Second, 1
				got := c.call(b.method, b.path, fmt.Sprintf("burst-%d-%d", i, j))
				mu.Lock()
				defer mu.Unlock()
				*answers = append(*answers, got)
			})
		}
	}
	return &wg, answers
}

// Guards against a graceful stop that cuts a download, a running or queued
// booking, or a sub-call of the node's own target.
func TestGracefulStopCutsNothing(t *testing.T) {
	t.Parallel()
	m := parallelMesh(t, 2, meshOptions{routes: deepRoutes})
	bookings, reports, directory := m.find(0, "bookings"), m.find(0, "reports"), m.find(0, "directory")
	wg, answers := m.send([]burst{
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
		assert.Assert(t, s.Load.InFlight > 0, "nothing runs at %s, so nothing is proved", h.id)
		h.node.signal(syscall.SIGTERM)
	}
	for _, h := range stopped {
		assert.Equal(t, h.node.exitCode(t, 25*time.Second), 0, h.id)
	}
	wg.Wait()
	answered := 0
	for _, a := range *answers {
		assert.Equal(t, a.wrong, "", a.id)
		switch {
		case a.outcome == apierror.Answered && a.status == http.StatusOK:
			answered++
		case a.outcome == apierror.NotRun && a.code == string(apierror.Overloaded):
			// Refused on arrival, before the stop.
		default:
			t.Errorf("%s: outcome %q, code %q, status %d after %s: %s", a.id, a.outcome, a.code, a.status, a.elapsed, a.answer)
		}
	}
	t.Logf("%d of %d requests answered whole", answered, len(*answers))
	assert.Assert(t, answered >= len(*answers)-2)
}

// Guards against a stop at the drain limit that looks like a clean one, or
// that reports another number than that of the requests it cut off.
func TestStopAtTheDrainLimitReportsTheCount(t *testing.T) {
	t.Parallel()
	m := parallelMesh(t, 1, meshOptions{drainLimitMS: 400})
	reports, directory := m.find(0, "reports"), m.find(0, "directory")
	wg, answers := m.send([]burst{
		{http.MethodGet, "/reports/x?bytes=4000000", directory, 2},
		{http.MethodGet, "/reports/x?bytes=4000000", reports, 1},
	})
	time.Sleep(500 * time.Millisecond)
	reports.node.signal(syscall.SIGTERM)
	assert.Equal(t, reports.node.exitCode(t, 15*time.Second), 1)
	wg.Wait()
	content, err := os.ReadFile(reports.node.log)
	assert.NilError(t, err)
	lines := strings.Split(strings.TrimSpace(string(content)), "\n")
	last := lines[len(lines)-1]
	assert.Assert(t, strings.Contains(last, "3 requests were still in flight after the drain limit of 400ms"), last)
	for _, a := range *answers {
		assert.Assert(t, a.outcome != apierror.Answered || a.wrong != "", "%s was cut off but looks whole", a.id)
	}
}
