package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"parsleyturn/platform/platformtest"
)

// Guards against violated guarantees under overlapping faults, with fixed seeds.
// Longer runs with other seeds are made with the command parsleysoak.
func TestShortSeededRun(t *testing.T) {
	if testing.Short() {
		t.Skip("the soak runs take about 90 s")
	}
	binary := filepath.Join(t.TempDir(), "parsleyturnd")
	out, err := exec.Command("go", "build", "-o", binary, "parsleyturn/cmd/parsleyturnd").CombinedOutput()
	assert.NilError(t, err, string(out))
	for _, c := range []struct {
		seed uint64
		vms  int
	}{
		{1, 4},
		// Two runs of one request made the same sub-call, which was counted as a
		// single one that ran too often.
		{30001, 6},
	} {
		t.Run(fmt.Sprintf("seed %d", c.seed), func(t *testing.T) { testSeededRun(t, binary, c.seed, c.vms) })
	}
}

func testSeededRun(t *testing.T, binary string, seed uint64, vms int) {
	dir := t.TempDir()
	report, err := Run(t.Context(), Config{Seed: seed, FaultDuration: 20 * time.Second, VMs: vms, Binary: binary, Dir: dir})
	assert.NilError(t, err)
	if len(report.Violations) > 0 {
		for i := range vms {
			if log, err := os.ReadFile(filepath.Join(dir, fmt.Sprintf("vm-%d.log", i))); err == nil {
				t.Logf("vm-%d:\n%s", i, log)
			}
		}
		t.Fatalf("faults:\n%s\nviolated guarantees:\n%s", strings.Join(report.Faults, "\n"), strings.Join(report.Violations, "\n"))
	}
	assert.Assert(t, report.Statuses[200] > 500, "too few requests succeeded; responses by status: %v", report.Statuses)
}

// tellLeaving lets the caller of a request know long ago that target i leaves.
func tellLeaving(r *recorder, id string) {
	r.checkResponse(id, platformtest.Response{Status: 500, Stamp: "i." + id, Leaving: true})
	for told := range r.leavingSince {
		r.leavingSince[told] = time.Now().Add(-2 * (drainBound + deadline))
	}
}

// Guards against a soak run that passes although a guarantee was violated,
// because the recorder does not notice it.
func TestRecorderReportsViolations(t *testing.T) {
	execution := func(id string) platformtest.Execution { return platformtest.Execution{ID: id, CallerService: "a"} }
	complete := func(id string) platformtest.Response {
		return platformtest.Response{Status: 200, ID: id, Stamp: "i." + id, Body: "answer of i to " + id}
	}
	refused := platformtest.Response{Status: 503, RetryAfter: "1"}
	for _, c := range []struct {
		name string
		feed func(r *recorder)
		want string
	}{
		{"executed and answered once", func(r *recorder) {
			r.recordExecution(0, "i", execution("order-1"))
			r.checkResponse("order-1", complete("order-1"))
		}, ""},
		{"refused and not executed", func(r *recorder) { r.checkResponse("order-1", refused) }, ""},
		{"non-idempotent request executed twice", func(r *recorder) {
			r.recordExecution(0, "i", execution("order-1"))
			r.recordExecution(0, "j", execution("order-1"))
		}, "was executed twice"},
		{"idempotent request executed three times", func(r *recorder) {
			for range 3 {
				r.recordExecution(0, "i", execution("read-1"))
			}
		}, "was executed 3 times"},
		{"executed before the refusal", func(r *recorder) { r.recordExecution(0, "i", execution("read-1")); r.checkResponse("read-1", refused) }, "was refused as not executed, but was executed"},
		{"executed after the refusal", func(r *recorder) { r.checkResponse("read-1", refused); r.recordExecution(0, "i", execution("read-1")) }, "after it was refused as not executed"},
		{"executed, its node killed, sent again and refused", func(r *recorder) {
			r.recordExecution(0, "i", execution("read-1"))
			again := refused
			again.Sent = 2
			r.checkResponse("read-1", again)
		}, ""},
		{"executed, sent once and refused", func(r *recorder) {
			r.recordExecution(0, "i", execution("read-1"))
			once := refused
			once.Sent = 1
			r.checkResponse("read-1", once)
		}, "was refused as not executed, but was executed"},
		{"response to another request", func(r *recorder) { r.checkResponse("read-1", complete("read-2")) }, "got the response"},
		{"truncated response", func(r *recorder) {
			resp := complete("read-1")
			resp.Body = resp.Body[:5]
			r.checkResponse("read-1", resp)
		}, "got the response"},
		{"request to a draining target", func(r *recorder) {
			r.departures["i"] = departure{time.Now().Add(-2 * drainBound), "draining"}
			r.recordExecution(0, "i", execution("read-1"))
		}, "draining was acknowledged"},
		{"request to a leaving target", func(r *recorder) {
			tellLeaving(r, "read-3-0-1")
			r.recordExecution(0, "i", execution("read-3-0-2"))
		}, "told that it leaves"},
		{"sub-call to a leaving target", func(r *recorder) {
			tellLeaving(r, "read-3-0-1")
			r.recordExecution(0, "i", execution("chain-1-0-2.call-3-7"))
		}, "told that it leaves"},
		{"request of another VM to a leaving target", func(r *recorder) {
			tellLeaving(r, "read-3-0-1")
			r.recordExecution(0, "i", execution("read-1-0-2"))
		}, ""},
		{"request to a leaving target after a restart", func(r *recorder) {
			tellLeaving(r, "read-3-0-1")
			r.forgetLeaving(3)
			r.recordExecution(0, "i", execution("read-3-0-2"))
		}, ""},
		{"request of a client that left, and another one that stayed", func(r *recorder) {
			r.leftAt["read-1-leaver1-1"] = time.Now()
			for i := range 2 * goneAllowance {
				r.recordExecution(0, "i", execution(fmt.Sprintf("read-1-leaver1-%d", i)))
			}
		}, ""},
		{"requests of clients that left long ago", func(r *recorder) {
			for i := range goneAllowance + 1 {
				id := fmt.Sprintf("read-1-leaver1-%d", i)
				r.leftAt[id] = time.Now().Add(-2 * goneBound)
				r.recordExecution(0, "i", execution(id))
			}
		}, "after its client had left"},
		{"response without a valid status", func(r *recorder) {
			r.checkResponse("read-1", platformtest.Response{Status: 0, ID: "read-1", Stamp: "i.read-1"})
		}, "with status 000"},
		{"refused without Retry-After", func(r *recorder) { r.checkResponse("read-1", platformtest.Response{Status: 503}) }, "no Retry-After"},
		{"no caller service", func(r *recorder) { r.recordExecution(0, "i", platformtest.Execution{ID: "read-1"}) }, "without the caller's service"},
	} {
		r := newRecorder()
		c.feed(r)
		got := strings.Join(r.listViolations(), "\n")
		if c.want == "" {
			assert.Equal(t, got, "", c.name)
			continue
		}
		assert.Assert(t, strings.Contains(got, c.want), "%s: %q", c.name, got)
	}
}
