package loadgen

import (
	"bytes"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/loadgen/baseline"
	"parsleyturn/internal/settings"
	"parsleyturn/internal/standin/target"
)

func parseScenario(t *testing.T, text string) *Scenario {
	t.Helper()
	s, err := ParseScenario("s.toml", []byte(text))
	assert.NilError(t, err)
	return s
}

const smallScenario = `
name = "small"
rate_per_s = 400
[[phase]]
name = "a"
duration_ms = 500
multiplier = 1
[[phase]]
name = "b"
duration_ms = 500
multiplier = 1
trigger = true
[[kind]]
name = "read"
path = "/directory/{n}"
weight = 0.5
[[kind]]
name = "write"
method = "POST"
path = "/directory/w{n}"
weight = 0.5
`

// Guards against validation errors that do not name the file, the key and the
// remedy.
func TestScenarioErrors(t *testing.T) {
	for text, wants := range map[string][]string{
		"nmae = \"x\"": {`"s.toml"`, `"nmae"`, "unknown key"},
		"name = 1":     {`"s.toml"`, `"name"`},
		"rate_per_s = -1\n[[kind]]\nname=\"k\"\npath=\"x\"\nbehaviour=\"rude\"\n[[event]]\nat_ms=5\n": {
			`"rate_per_s"`, "set a positive rate", `"phase"`, `"kind[0].path"`, `"kind[0].weight"`, "use none, polite or hard", `"event[0].at_ms"`},
	} {
		_, err := ParseScenario("s.toml", []byte(text))
		for _, want := range wants {
			assert.ErrorContains(t, err, want)
		}
	}
}

// Guards against example scenarios that are invalid.
func TestExampleScenarios(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/scenarios/*.toml")
	assert.NilError(t, err)
	assert.Equal(t, len(files), 12)
	for _, f := range files {
		_, err := LoadScenario(f)
		assert.NilError(t, err)
	}
}

// Guards against schedules that differ for equal seeds, or whose number of
// arrivals does not match the rate of a phase or ramp.
func TestScheduleIsDeterministicAndFollowsTheRate(t *testing.T) {
	s := parseScenario(t, strings.Replace(smallScenario, "multiplier = 1\ntrigger", "multiplier = 4\nramp_ms = 500\ntrigger", 1))
	s.RatePerSecond = 20000
	counts := make([]int, 2)
	a, b := newSchedule(s, 3), newSchedule(s, 3)
	for {
		j, ok := a.nextJob()
		k, _ := b.nextJob()
		assert.Equal(t, j, k)
		if !ok {
			break
		}
		counts[j.phase]++
	}
	// 10,000 and, on the ramp from 1x to 4x, 25,000 arrivals.
	assert.Assert(t, counts[0] > 9500 && counts[0] < 10500, "%v", counts)
	assert.Assert(t, counts[1] > 24200 && counts[1] < 25800, "%v", counts)
}

func startTarget(t *testing.T, routes ...target.Route) (*target.Server, *Deployment) {
	t.Helper()
	s, err := target.New(target.Config{Service: "directory", Slots: 1000, Connections: 2000, Routes: routes})
	assert.NilError(t, err)
	assert.NilError(t, s.Start(t.Context()))
	t.Cleanup(s.Stop)
	f := baseline.New(baseline.Config{Routes: []baseline.Route{{PathPrefix: "/", Targets: []string{s.Addr()}}}})
	node := httptest.NewServer(f)
	t.Cleanup(func() {
		f.Close()
		node.Close()
	})
	return s, &Deployment{Nodes: []string{node.Listener.Addr().String()}, Targets: []Target{{"directory", s.ControlAddr()}}}
}

// Guards against arrivals that wait for responses: with a service time of 300 ms,
// a closed loop could not offer all jobs within the run of 1 s.
func TestOpenLoop(t *testing.T) {
	_, d := startTarget(t, target.Route{PathPrefix: "/", TimeMS: 300, BodyBytes: 1000})
	rep, err := Run(t.Context(), Options{Scenario: parseScenario(t, smallScenario), Deployment: d, RequestIDPrefix: "t", Audit: true})
	assert.NilError(t, err)
	var offered, answered int64
	for _, k := range rep.Kinds {
		offered += k.Offered
		answered += k.Outcomes[Answered]
		assert.Assert(t, k.Latency.P50 >= 300)
	}
	assert.Assert(t, offered > 300)
	assert.Equal(t, answered, offered)
	assert.Equal(t, rep.Audit.Executions, offered)
	assert.Equal(t, rep.Audit.Duplicates, int64(0))
}

// Guards against an audit that misses duplicate executions of POST requests, which
// retries after truncated responses cause, or executions of jobs that were
// refused as not run. A record without a start is no execution.
func TestAuditFindsDuplicatesAndExecutionDespiteRefusal(t *testing.T) {
	_, d := startTarget(t, target.Route{PathPrefix: "/", BodyBytes: 1000})
	s := parseScenario(t, smallScenario+"behaviour = \"hard\"\n[[event]]\nat_ms = 0\nbody = '{\"cut_share\": 0.5}'\n")
	rep, err := Run(t.Context(), Options{Scenario: s, Deployment: d, RequestIDPrefix: "t", Audit: true})
	assert.NilError(t, err)
	assert.Assert(t, rep.Audit.Duplicates > 0)
	a := &Audit{}
	a.addRecord(&target.Record{RequestID: "x", Method: "GET", StartedMicros: 1}, &d.Targets[0], map[string]bool{}, map[string]bool{"x": true})
	a.addRecord(&target.Record{RequestID: "x", Method: "GET"}, &d.Targets[0], map[string]bool{}, map[string]bool{"x": true})
	assert.Equal(t, a.ExecutedDespiteRefusal, int64(1))
}

// Guards against a report without a warning when the generator could not offer
// the scheduled load, here because max_in_flight drops arrivals.
func TestReportWarnsWhenGeneratorFallsBehind(t *testing.T) {
	_, d := startTarget(t, target.Route{PathPrefix: "/", TimeMS: 300})
	s := parseScenario(t, smallScenario)
	s.MaxInFlight = 5
	rep, err := Run(t.Context(), Options{Scenario: s, Deployment: d, RequestIDPrefix: "t"})
	assert.NilError(t, err)
	assert.Assert(t, rep.Generator.Dropped > 0 && !rep.Generator.KeptUp)
	var text bytes.Buffer
	assert.NilError(t, rep.WriteText(&text))
	assert.Assert(t, strings.Contains(text.String(), "did not keep up"))
}

// Guards against a wrong recovery time, in particular one that is too short
// because a backlog is answered late: the answered share of the arriving jobs
// returns at the end of the trigger, 2 s later, or too late to hold for 5 s.
func TestRecovery(t *testing.T) {
	s := &Scenario{Phases: []Phase{{DurationMS: 5000, Multiplier: 1}, {DurationMS: 5000, Multiplier: 3, Trigger: true}, {DurationMS: 10000, Multiplier: 1}}}
	s.setDefaults()
	for _, c := range []struct {
		backAt time.Duration
		want   float64
	}{{10 * time.Second, 0}, {12 * time.Second, 2}, {17 * time.Second, -1}} {
		st := newStats(s)
		for i := range st.arrivals {
			at := time.Duration(i) * bucketLength
			st.arrivals[i] = arrivals{offered: 100, answered: 100}
			if at >= 5*time.Second && at < c.backAt {
				st.arrivals[i].answered = 50
			}
		}
		got := *st.recovery(s)
		// The last bucket before backAt can be part of a window that reaches 95%.
		assert.Assert(t, got <= c.want && got >= c.want-0.2, "got %g, want %g", got, c.want)
	}
}

// Guards against generated files that the programs reject.
func TestTopologyWritesLoadableFiles(t *testing.T) {
	for _, name := range []string{"akwaaba", "campanario"} {
		dir := t.TempDir()
		assert.NilError(t, (&Topology{Name: name, Scale: 0.1, OutputDir: dir, Subnet: 30}).Write())
		d, err := LoadDeployment(filepath.Join(dir, "deployment.toml"))
		assert.NilError(t, err)
		nodes, err := filepath.Glob(filepath.Join(dir, "nodes", "*.toml"))
		assert.NilError(t, err)
		assert.Equal(t, len(nodes), len(d.Nodes))
		for _, f := range nodes {
			_, err := settings.Load(f)
			assert.NilError(t, err)
		}
		targets, err := filepath.Glob(filepath.Join(dir, "targets", "*.toml"))
		assert.NilError(t, err)
		assert.Equal(t, len(targets), 4)
		for _, f := range targets {
			c, err := target.Load(f)
			assert.NilError(t, err)
			c.Node = "http://127.0.0.1:1"
			assert.NilError(t, c.Validate(f))
		}
		assert.NilError(t, (&Topology{Name: name, Scale: 0.1, OutputDir: dir, Subnet: 30, Baseline: true}).Write())
		_, err = baseline.Load(filepath.Join(dir, "baseline.toml"))
		assert.NilError(t, err)
	}
	assert.ErrorContains(t, (&Topology{Name: "x"}).Write(), "akwaaba or campanario")
}

// Guards against events that select the wrong share of the targets, or the
// targets of another service.
func TestSelectTargets(t *testing.T) {
	d := &Deployment{}
	for _, s := range []string{"a", "a", "a", "a", "a", "b", "b", "b", "b"} {
		d.Targets = append(d.Targets, Target{Service: s})
	}
	assert.DeepEqual(t, d.selectTargets("", 0.25), []Target{{Service: "a"}, {Service: "b"}})
	assert.Equal(t, len(d.selectTargets("a", 1)), 5)
	assert.Equal(t, len(d.selectTargets("c", 1)), 0)
}

// Guards against load on addresses outside this machine.
func TestDeploymentRejectsNonLoopbackAddresses(t *testing.T) {
	err := (&Deployment{Nodes: []string{"192.0.2.1:80"}}).Validate("d.toml")
	assert.ErrorContains(t, err, "loopback")
}

// Guards against saved reports that cannot be compared or plotted.
func TestCompareAndPlot(t *testing.T) {
	dir := t.TempDir()
	r := &Report{Scenario: "s", Label: "a", Phases: []PhaseReport{{Phase: "p", Kinds: []KindReport{{Kind: "k", Success: 1}}}}, Series: []Point{{Second: 0, P99: 2}, {Second: 1, P99: 3}}}
	path := filepath.Join(dir, "r.json")
	assert.NilError(t, r.Save(path))
	loaded, err := LoadReport(path)
	assert.NilError(t, err)
	var text bytes.Buffer
	other := &Report{Label: "b", Phases: []PhaseReport{{Phase: "q", Kinds: []KindReport{{Kind: "k", Success: 0.5}}}}}
	assert.NilError(t, Compare(&text, []*Report{loaded, other}))
	assert.Assert(t, strings.Contains(text.String(), "100.00%"))
	// A phase of another name must not appear in the row of this one.
	assert.Assert(t, !strings.Contains(text.String(), "50.00%"))
	assert.NilError(t, Plot(filepath.Join(dir, "x"), []*Report{loaded}))
	content, err := os.ReadFile(filepath.Join(dir, "x-p99.png"))
	assert.NilError(t, err)
	assert.Assert(t, bytes.HasPrefix(content, []byte("\x89PNG")))
}
