package integration

import (
	"flag"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/apierror"
)

var (
	matrixFlag = flag.String("matrix", "short", "cells of the fault matrix and the control-action matrix to run: short or full")
	reportFlag = flag.String("report", "", "write the results of the fault matrix to this file, in Markdown")
)

// shortCells are the cells that run without -matrix full: for each step the
// names of the faults.
var shortCells = map[string][]string{
	"accept to send": {"partition towards caller", "blackholed connections", "replace VM"},
	"queue":          {"pause node", "kill target"},
	"run":            {"kill node", "partition towards caller", "drain node", "drain target", "blackholed connections"},
	"stream":         {"kill node", "target truncates responses", "drain node", "blackholed connections"},
}

// Guards against requests that are executed more often than allowed, that are
// reported as not run although they ran, or that get a truncated response or
// that of another request, and against a mesh that does not recover. Each cell
// injects one fault at one step of a request.
func TestFaultMatrix(t *testing.T) {
	cells := matrixCells()
	queue := make(chan cell, len(cells))
	for _, c := range cells {
		queue <- c
	}
	close(queue)
	var mu sync.Mutex
	var results []cellResult
	t.Run("cells", func(t *testing.T) {
		for i := range min(faultMatrixMeshes, len(cells)) {
			t.Run(fmt.Sprintf("mesh%d", i), func(t *testing.T) {
				t.Parallel()
				m := newMesh(t, 2)
				n := 0
				for c := range queue {
					n++
					r := m.runCell(c, n)
					mu.Lock()
					results = append(results, r)
					mu.Unlock()
					for _, p := range r.problems {
						t.Errorf("%s at %s: %s", c.fault.name, c.step.name, p)
					}
				}
				m.checkNotRunRequests()
			})
		}
	})
	if *reportFlag != "" {
		assert.NilError(t, writeReport(*reportFlag, formatMatrixReport(results)))
	}
}

func matrixCells() []cell {
	var cells []cell
	for _, s := range stepCases {
		for _, f := range faultCases {
			if *matrixFlag == "full" || contains(shortCells[s.name], f.name) {
				cells = append(cells, cell{s, f})
			}
		}
	}
	return cells
}

func contains(list []string, s string) bool {
	for _, e := range list {
		if e == s {
			return true
		}
	}
	return false
}

// runCell injects one fault at one step and checks the outcomes that callers
// got against the executions that the targets recorded. n is the number of the
// cell in its mesh and makes its request IDs unique.
func (m *mesh) runCell(c cell, n int) cellResult {
	service := strings.Split(c.step.path, "/")[1]
	s := &faultScene{m: m, entry: m.hostOf(0, "directory"), victim: m.hostOf(0, service)}
	if s.victim == s.entry {
		s.entry = m.hostOf(0, "reports")
	}
	other := m.hostOf(1, "reports")
	if c.step.fillSlots {
		m.fillSlots(c.step.path, n)
	}
	if c.step.after < 0 {
		c.fault.inject(s)
	}
	callResults := make(chan callResult, requestsPerCell)
	for i := range requestsPerCell {
		go func() {
			id := fmt.Sprintf("%d-%d-%d", m.net, n, i)
			callResults <- m.newCaller(s.entry, other).call(c.step.method, c.step.path, id)
		}()
	}
	if c.step.after >= 0 {
		time.Sleep(c.step.after)
		c.fault.inject(s)
	}
	time.Sleep(c.fault.duration)
	m.restoreMesh()
	cleared := time.Now()
	r := cellResult{cell: c, outcomes: map[string]int{}}
	m.measureRecovery(s, n, cleared, &r)
	for range requestsPerCell {
		m.checkResult(<-callResults, &r)
	}
	m.checkExecutions(c, n, &r)
	m.clearTargetFaults()
	m.waitReady()
	return r
}

// fillSlots fills the slots of the service with slow requests.
func (m *mesh) fillSlots(path string, n int) {
	for i := range 8 {
		c := m.newCaller(m.hostOf(i%2, "reports"))
		go c.call(http.MethodPost, path, fmt.Sprintf("occupy-%d-%d-%d", m.net, n, i))
	}
	time.Sleep(50 * time.Millisecond)
}

// measureRecovery clears the faults of the targets and measures the time from
// the end of the fault until new requests succeed. It adds a problem if that
// exceeds recoveryBound, and gives up after four times the bound.
func (m *mesh) measureRecovery(s *faultScene, n int, cleared time.Time, r *cellResult) {
	m.clearTargetFaults()
	c := m.newCaller(s.entry)
	c.attempts, c.timeout = 1, 2*time.Second
	for i := 0; ; i++ {
		ok := true
		for _, q := range []struct{ method, path string }{{"POST", "/bookings/x"}, {"GET", "/directory/x"}, {"GET", "/reports/big"}} {
			got := c.call(q.method, q.path, fmt.Sprintf("recover-%d-%d-%d%s", m.net, n, i, q.path))
			ok = ok && got.outcome == apierror.Answered && got.status == 200
		}
		r.recovery = time.Since(cleared)
		if ok {
			break
		}
		if r.recovery > 4*recoveryBound {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if r.recovery > recoveryBound {
		r.problems = append(r.problems, fmt.Sprintf("new requests did not succeed until %s after the end of the fault; the bound is %s", r.recovery.Round(100*time.Millisecond), recoveryBound))
	}
}

func (m *mesh) checkResult(got callResult, r *cellResult) {
	outcome := string(got.outcome)
	if outcome == "" {
		outcome = "no response"
	}
	r.outcomes[outcome]++
	if got.bodyError != "" {
		r.problems = append(r.problems, fmt.Sprintf("request %s: %s", got.id, got.bodyError))
	}
	if got.outcome == apierror.NotRun {
		m.notRunIDs = append(m.notRunIDs, got.id)
		if n := m.executions(r.step.path)[got.id]; n > 0 {
			r.problems = append(r.problems, fmt.Sprintf("request %s got the outcome \"not run\" (%s) but was executed %d times", got.id, got.code, n))
		}
	}
}

// checkNotRunRequests runs after the last cell and fails for each request that
// was executed after its caller got the outcome "not run".
func (m *mesh) checkNotRunRequests() {
	executions := m.executions("/")
	for _, id := range m.notRunIDs {
		if executions[id] > 0 {
			m.t.Errorf("request %s was executed after its caller got the outcome \"not run\"", id)
		}
	}
}

// checkExecutions checks that each request of the cell was executed at most
// once, or as often as its declared retries allow if it is idempotent.
func (m *mesh) checkExecutions(c cell, n int, r *cellResult) {
	prefix := fmt.Sprintf("%d-%d-", m.net, n)
	for id, count := range m.executions(c.step.path) {
		if !strings.HasPrefix(id, prefix) && !strings.HasPrefix(id, "occupy-"+prefix) {
			continue
		}
		limit := 1
		if c.step.method == http.MethodGet {
			limit = 1 + 4 // kind browse declares 4 retries, the most of all kinds
		}
		if count > limit {
			r.problems = append(r.problems, fmt.Sprintf("request %s was executed %d times; the limit is %d", id, count, limit))
		}
	}
}
