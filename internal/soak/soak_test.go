package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"parsleyturn/platform/platformtest"
)

// TestShortSeededRun is the run of CI. Longer runs with other seeds are made by
// hand with parsleysoak.
func TestShortSeededRun(t *testing.T) {
	if testing.Short() {
		t.Skip("takes half a minute")
	}
	dir := t.TempDir()
	binary := filepath.Join(dir, "parsleyturnd")
	out, err := exec.Command("go", "build", "-o", binary, "parsleyturn/cmd/parsleyturnd").CombinedOutput()
	assert.NilError(t, err, string(out))
	report, err := Run(t.Context(), Config{Seed: 1, FaultDuration: 6 * time.Second, VMs: 4, Binary: binary, Dir: dir})
	assert.NilError(t, err)
	if len(report.Violations) > 0 {
		for i := range 4 {
			if log, err := os.ReadFile(filepath.Join(dir, "vm-"+string(rune('0'+i))+".log")); err == nil {
				t.Logf("vm-%d:\n%s", i, log)
			}
		}
		t.Fatalf("faults:\n%s\nbroken promises:\n%s", strings.Join(report.Faults, "\n"), strings.Join(report.Violations, "\n"))
	}
	assert.Assert(t, report.Statuses[200] > 500, "%v", report.Statuses)
}

// Guards against broken promises that a run does not see.
func TestRecordSeesBrokenPromises(t *testing.T) {
	run := func(id string) platformtest.Execution { return platformtest.Execution{ID: id, CallerService: "a"} }
	whole := func(id string) platformtest.Response {
		return platformtest.Response{Status: 200, ID: id, Stamp: "i." + id, Body: "answer of i to " + id}
	}
	refused := platformtest.Response{Status: 503, RetryAfter: "1"}
	for _, c := range []struct {
		name string
		play func(r *record)
		want string
	}{
		{"nothing", func(r *record) { r.ran(0, "i", run("order-1")); r.answered("order-1", whole("order-1")) }, ""},
		{"refused and not run", func(r *record) { r.answered("order-1", refused) }, ""},
		{"twice", func(r *record) { r.ran(0, "i", run("order-1")); r.ran(0, "j", run("order-1")) }, "ran twice"},
		{"three times", func(r *record) {
			for range 3 {
				r.ran(0, "i", run("read-1"))
			}
		}, "ran 3 times"},
		{"run before the refusal", func(r *record) { r.ran(0, "i", run("read-1")); r.answered("read-1", refused) }, "was said not to have run"},
		{"run after the refusal", func(r *record) { r.answered("read-1", refused); r.ran(0, "i", run("read-1")) }, "after it was said"},
		{"other's answer", func(r *record) { r.answered("read-1", whole("read-2")) }, "got the answer"},
		{"cut answer", func(r *record) { a := whole("read-1"); a.Body = a.Body[:5]; r.answered("read-1", a) }, "got the answer"},
		{"left target", func(r *record) {
			r.leftAt["i"] = time.Now().Add(-2 * drainBound)
			r.ran(0, "i", run("read-1"))
		}, "leaving was acknowledged"},
		{"no time to come back", func(r *record) { r.answered("read-1", platformtest.Response{Status: 503}) }, "no time to come back"},
		{"no caller", func(r *record) { r.ran(0, "i", platformtest.Execution{ID: "read-1"}) }, "without the caller's service"},
	} {
		r := newRecord()
		c.play(r)
		got := strings.Join(r.all(), "\n")
		if c.want == "" {
			assert.Equal(t, got, "", c.name)
			continue
		}
		assert.Assert(t, strings.Contains(got, c.want), "%s: %q", c.name, got)
	}
}
