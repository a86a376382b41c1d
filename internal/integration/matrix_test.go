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
	matrixFlag = flag.String("matrix", "short", "fault matrix to run: short or full")
	reportFlag = flag.String("report", "", "file that gets the result of the fault matrix in Markdown")
)

// shortCells is the part of the matrix that runs with all other tests.
var shortCells = map[string][]string{
	"accept to send": {"cut towards caller", "silent connections", "replace VM"},
	"queue":          {"pause node", "kill target"},
	"run":            {"kill node", "cut towards caller", "drain node", "drain target", "silent connections"},
	"stream":         {"kill node", "target cuts answers", "drain node", "silent connections"},
}

// Guards against doubled executions, false "not run" answers, answers that are
// not whole or belong to another request, and lasting damage, for every fault
// at every step of a request.
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
		for i := range min(matrixMeshes, len(cells)) {
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
				m.judgeRefusedAgain()
			})
		}
	})
	if *reportFlag != "" {
		assert.NilError(t, writeReport(*reportFlag, matrixReport(results)))
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

// runCell injects one fault at one step and judges what callers were told by
// the executions that the targets recorded.
func (m *mesh) runCell(c cell, n int) cellResult {
	service := strings.Split(c.step.path, "/")[1]
	s := &scene{m: m, entry: m.find(0, "directory"), victim: m.find(0, service)}
	if s.victim == s.entry {
		s.entry = m.find(0, "reports")
	}
	other := m.find(1, "reports")
	if c.step.occupy {
		m.occupy(c.step.path, n)
	}
	if c.step.after < 0 {
		c.fault.inject(s)
	}
	answers := make(chan told, requestsPerCell)
	for i := range requestsPerCell {
		go func() {
			id := fmt.Sprintf("%d-%d-%d", m.net, n, i)
			answers <- m.caller(s.entry, other).call(c.step.method, c.step.path, id)
		}()
	}
	if c.step.after >= 0 {
		time.Sleep(c.step.after)
		c.fault.inject(s)
	}
	time.Sleep(c.fault.lasts)
	m.restore()
	cleared := time.Now()
	r := cellResult{cell: c, tally: map[string]int{}}
	m.recover(s, n, cleared, &r)
	for range requestsPerCell {
		m.judge(<-answers, &r)
	}
	m.judgeExecutions(c, n, &r)
	m.clearTargetFaults()
	m.waitReady()
	return r
}

// occupy fills the slots of the service with slow requests.
func (m *mesh) occupy(path string, n int) {
	for i := range 8 {
		c := m.caller(m.find(i%2, "reports"))
		go c.call(http.MethodPost, path, fmt.Sprintf("occupy-%d-%d-%d", m.net, n, i))
	}
	time.Sleep(50 * time.Millisecond)
}

// recover measures the time until new requests succeed again.
func (m *mesh) recover(s *scene, n int, cleared time.Time, r *cellResult) {
	m.clearTargetFaults()
	c := m.caller(s.entry)
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
		r.problems = append(r.problems, fmt.Sprintf("no success %s after the end of the fault; the bound is %s", r.recovery.Round(100*time.Millisecond), recoveryBound))
	}
}

func (m *mesh) judge(got told, r *cellResult) {
	outcome := string(got.outcome)
	if outcome == "" {
		outcome = "no answer"
	}
	r.tally[outcome]++
	if got.wrong != "" {
		r.problems = append(r.problems, fmt.Sprintf("request %s: %s", got.id, got.wrong))
	}
	if got.outcome == apierror.NotRun {
		m.refused = append(m.refused, got.id)
		if n := m.executions(r.step.path)[got.id]; n > 0 {
			r.problems = append(r.problems, fmt.Sprintf("request %s was told \"not run\" (%s) but ran %d times", got.id, got.code, n))
		}
	}
}

// judgeRefusedAgain looks at the end for requests that ran after their caller
// was told "not run".
func (m *mesh) judgeRefusedAgain() {
	ran := m.executions("/")
	for _, id := range m.refused {
		if ran[id] > 0 {
			m.t.Errorf("request %s was told \"not run\" and ran later", id)
		}
	}
}

// judgeExecutions bounds the executions of every request of the cell.
func (m *mesh) judgeExecutions(c cell, n int, r *cellResult) {
	prefix := fmt.Sprintf("%d-%d-", m.net, n)
	for id, count := range m.executions(c.step.path) {
		if !strings.HasPrefix(id, prefix) && !strings.HasPrefix(id, "occupy-"+prefix) {
			continue
		}
		limit := 1
		if c.step.method == http.MethodGet {
			limit = 1 + 4 // the declared retries of the kind
		}
		if count > limit {
			r.problems = append(r.problems, fmt.Sprintf("request %s ran %d times; the limit is %d", id, count, limit))
		}
	}
}
