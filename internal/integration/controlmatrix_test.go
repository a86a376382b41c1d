package integration

import (
	"encoding/json"
	"flag"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/ctl"
	standin "parsleyturn/internal/standin/platform"
)

var controlReportFlag = flag.String("control-report", "", "file that gets the result of the control-action matrix in Markdown")

// controlScene is what a cell acts on.
type controlScene struct {
	*scene
	watch *versionWatch
	base  uint64
	// change numbers the changes of the mesh; every cell has its own.
	change int
	ops    []operator
	// accepted is the time from which an accepted version has to spread.
	accepted time.Time
	// reachable is from when on a node can learn anything; absent means from
	// the beginning.
	reachable map[string]time.Time
}

// controlFault is a fault during a control action.
type controlFault struct {
	name string
	// begin starts the fault and end ends it; both may be nil. A fault that
	// begins with an accepted change counts as that of the action "apply".
	begin, end func(s *controlScene)
	lasts      time.Duration
	// applies says that begin makes the change of "apply" and "learn" itself.
	applies bool
	// isolates says that the victim can be reached only after the end.
	isolates bool
	// code is what an operator must be told who applies during the fault.
	code int
}

// healLimit is two rounds of anti-entropy, which runs every 30 s. The design
// page sets no other bound on how soon a healed partition is known everywhere.
const healLimit = time.Minute

func (f controlFault) shownBound() time.Duration {
	if f.isolates {
		return healLimit
	}
	return recoveryBound
}

func platformDuring(f standin.Faults) func(*controlScene) {
	return func(s *controlScene) { s.m.platformFaults(f) }
}

func platformWell(s *controlScene) { s.m.platformFaults(standin.Faults{}) }

// downAfterAcceptance ends the platform as soon as a node has the new version,
// while the operator's tool still distributes it.
func downAfterAcceptance(s *controlScene) {
	done := make(chan operator, 1)
	go func() { done <- s.m.apply(s.who(), s.change, s.base) }()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		if rec, err := s.m.store().Current(s.m.t.Context()); err == nil && rec.Version > s.base {
			break
		}
	}
	s.accepted = time.Now()
	s.m.platformFaults(standin.Faults{Refuse: true})
	s.ops = append(s.ops, <-done)
}

func (s *controlScene) who() string { return fmt.Sprintf("operator-%d", s.base) }

// cutForOperators also keeps the operator's tool, which runs beside the test,
// from reaching the zone.
func cutForOperators(s *controlScene) {
	cutZone(s.scene)
	for _, h := range s.zone() {
		s.m.setRule("127.0.0.1", h.ip, dropAll)
	}
}

// zone returns the hosts in the availability zone of the victim.
func (s *controlScene) zone() []*host {
	var out []*host
	for _, h := range s.m.hosts {
		if h.zone == s.victim.zone {
			out = append(out, h)
		}
	}
	return out
}

func (s *controlScene) backNow(hosts ...*host) {
	for _, h := range hosts {
		s.reachable[h.id] = time.Now()
	}
}

var controlFaults = []controlFault{
	{name: "none"},
	{name: "platform down", begin: platformDuring(standin.Faults{Refuse: true}), end: platformWell, lasts: 2 * time.Second, code: ctl.ExitUnavailable},
	{name: "platform hangs", begin: platformDuring(standin.Faults{Hang: true}), end: platformWell, lasts: 4 * time.Second, code: ctl.ExitUnavailable},
	{name: "platform slow 2 s", begin: platformDuring(standin.Faults{DelayMS: 2000}), end: platformWell, lasts: 20 * time.Second},
	{name: "platform loses answers after the write", begin: func(s *controlScene) {
		if s.accepted.IsZero() {
			assert.NilError(s.m.t, s.m.accept("setup", s.change, s.base))
			s.base++
		}
		// Removing a file stores no content, so that the first write is the
		// transaction.
		s.change = 0
		s.m.platformFaults(standin.Faults{DropResponses: 3})
	}, end: platformWell, lasts: 2 * time.Second},
	{name: "platform down right after acceptance", begin: downAfterAcceptance, end: platformWell, lasts: 6 * time.Second, applies: true},
	{name: "node replaced during the outage", begin: func(s *controlScene) {
		downAfterAcceptance(s)
		s.watch.replaceNode(s.victim)
		s.backNow(s.victim)
	}, end: platformWell, lasts: 6 * time.Second, applies: true},
	{name: "zone cut off and healed", begin: cutForOperators, end: func(s *controlScene) {
		s.m.heal()
		s.backNow(s.zone()...)
	}, lasts: pauseTime, isolates: true},
	{name: "two operators at once", begin: func(s *controlScene) {
		s.ops = append(s.ops, s.m.race(s.base, s.change)...)
		s.accepted = time.Now()
	}, applies: true},
	{name: "node paused beyond everything", begin: func(s *controlScene) {
		s.victim.node.signal(syscall.SIGSTOP)
	}, end: func(s *controlScene) {
		s.victim.node.signal(syscall.SIGCONT)
		s.backNow(s.victim)
	}, lasts: 9 * time.Second, isolates: true},
}

// controlAction is what is done during the fault.
type controlAction struct {
	name string
	// before prepares the action without the fault; it may be nil.
	before func(s *controlScene)
	do     func(s *controlScene)
	// targets is the number of targets that all nodes must know afterwards,
	// relative to that of the mesh.
	targets int
}

var controlActions = []controlAction{
	{name: "announce", before: func(s *controlScene) {
		s.victim.target.signal(syscall.SIGTERM)
		s.victim.target.exitCode(s.m.t, 10*time.Second)
		s.awaitTargets(-1, time.Now())
	}, do: func(s *controlScene) { s.victim.startTarget() }},
	{name: "leave", do: func(s *controlScene) { drainTarget(s.scene) }, targets: -1},
	{name: "apply", do: func(s *controlScene) {
		s.ops = append(s.ops, s.m.apply(s.who(), s.change, s.base))
	}},
	{name: "learn", do: nil},
}

// learnBefore makes the change that nodes have to learn without a push.
func (s *controlScene) learnBefore() {
	assert.NilError(s.m.t, s.m.accept(s.who(), s.change, s.base))
	s.accepted = time.Now()
}

type controlCell struct {
	fault  controlFault
	action controlAction
}

type controlResult struct {
	controlCell
	problems []string
	// inForce is the longest time from acceptance, heal or restart until a
	// node had the version; shown is that until all nodes showed the target.
	inForce, shown time.Duration
	codes          []int
}

func (m *mesh) runControlCell(c controlCell, w *versionWatch, n int) controlResult {
	s := &controlScene{scene: &scene{m: m, victim: m.find(0, "bookings")}, watch: w, base: m.current().Version, change: 100 * n, reachable: map[string]time.Time{}}
	r := controlResult{controlCell: c}
	if c.action.before != nil {
		c.action.before(s)
	}
	if c.action.name == "learn" && !c.fault.applies {
		s.learnBefore()
	}
	begun := time.Now()
	if c.fault.begin != nil {
		c.fault.begin(s)
	}
	acted := time.Now()
	if c.action.do != nil && (c.action.name != "apply" || !c.fault.applies) {
		c.action.do(s)
	}
	shows := c.action.name == "announce" || c.action.name == "leave"
	if shows && !c.fault.isolates {
		r.shown = s.awaitTargets(c.action.targets, acted)
	}
	time.Sleep(time.Until(begun.Add(c.fault.lasts)))
	if c.fault.end != nil {
		c.fault.end(s)
	}
	if c.action.name == "learn" && !c.fault.applies {
		// Nobody can learn of a version that was not pushed while the platform
		// does not answer.
		s.accepted = time.Now()
	}
	r.problems = append(r.problems, m.judgeOperators(s.base, s.ops)...)
	r.problems = append(r.problems, s.judgeCodes(c, &r)...)
	r.inForce = s.awaitVersion(c, &r.problems)
	if shows && c.fault.isolates {
		r.shown = s.awaitTargets(c.action.targets, acted)
	}
	if limit := c.fault.shownBound(); r.shown > limit {
		r.problems = append(r.problems, fmt.Sprintf("not all nodes showed the target's state within %s but after %s", limit, r.shown.Round(time.Millisecond)))
	}
	m.restore()
	m.waitReady()
	return r
}

func (s *controlScene) judgeCodes(c controlCell, r *controlResult) []string {
	var out []string
	for _, o := range s.ops {
		r.codes = append(r.codes, o.code)
		if c.action.name == "apply" && !c.fault.applies && o.code != c.fault.code {
			out = append(out, fmt.Sprintf("exit code %d instead of %d: %s", o.code, c.fault.code, o.output))
		}
	}
	if c.fault.name == "two operators at once" && s.ops[0].code+s.ops[1].code != ctl.ExitConflict {
		out = append(out, fmt.Sprintf("exit codes %v; exactly one operator must win", r.codes))
	}
	return out
}

// awaitVersion waits until all nodes have the accepted version and returns the
// longest time that one took. The time of acceptance is not visible from
// outside; it is taken as the end of the tool's run or as when the first node
// had the version, whichever came first.
func (s *controlScene) awaitVersion(c controlCell, problems *[]string) time.Duration {
	version := s.m.current().Version
	if version == s.base {
		return 0
	}
	accepted := s.accepted
	if accepted.IsZero() {
		accepted = s.ops[0].ended
	}
	if first := s.watch.first(version); first.Before(accepted) {
		accepted = first
	}
	longest := time.Duration(0)
	for _, h := range s.m.hosts {
		from := accepted
		isolated := false
		if back := s.reachable[h.id]; back.After(from) {
			from, isolated = back, c.fault.isolates
		}
		at, ok := s.watch.seenAt(h.id, version)
		for !ok && time.Since(from) < 4*configBound {
			time.Sleep(20 * time.Millisecond)
			at, ok = s.watch.seenAt(h.id, version)
		}
		took := at.Sub(from)
		if ok && took < 0 && isolated && c.action.name == "apply" {
			*problems = append(*problems, fmt.Sprintf("%s had version %d before the fault ended, so nothing is proved", h.id, version))
		}
		if !ok || took > configBound {
			*problems = append(*problems, fmt.Sprintf("%s had version %d in force after %s (seen: %t); the bound is %s", h.id, version, took.Round(time.Millisecond), ok, configBound))
		}
		longest = max(longest, took)
	}
	return longest
}

// awaitTargets waits until all nodes show the number of targets and returns
// the longest time that one took since it could be reached.
func (s *controlScene) awaitTargets(targets int, since time.Time) time.Duration {
	longest := time.Duration(0)
	for _, h := range s.m.hosts {
		from := since
		for _, at := range s.reachable {
			// What comes from a node that was cut off cannot be known before.
			if at.After(from) {
				from = at
			}
		}
		for time.Since(from) < healLimit+recoveryBound {
			if n, err := h.peers(); err == nil && n == len(s.m.hosts)+targets && h.shows(s.victim.id) == (targets == 0) {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		longest = max(longest, time.Since(from))
	}
	return longest
}

// shows reports whether the node lists the other one with a present target.
func (h *host) shows(id string) bool {
	resp, err := h.mesh.client.Get(h.adminURL() + "/v1/peers")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var nodes []struct {
		ID       string `json:"id"`
		Service  string `json:"service"`
		State    int    `json:"state"`
		Draining bool   `json:"draining"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&nodes)
	for _, n := range nodes {
		if n.ID == id {
			return n.Service != "" && n.State <= 1 && !n.Draining
		}
	}
	return false
}

// shortControlCells run with all other tests.
var shortControlCells = map[string][]string{
	"announce": {"platform hangs"},
	"leave":    {"platform down"},
	"apply":    {"platform down", "platform loses answers after the write", "node replaced during the outage", "zone cut off and healed"},
	"learn":    {"none", "platform hangs", "two operators at once"},
}

const controlMeshes = 4

// Guards against a configuration that reverts, that does not reach a node in
// time, that is recorded twice or not at all, or whose operator is told
// something else than what happened, and against targets that stay unknown or
// present, for every fault at every control action.
func TestControlMatrix(t *testing.T) {
	t.Parallel()
	var cells []controlCell
	for _, f := range controlFaults {
		for _, a := range controlActions {
			if *matrixFlag == "full" || contains(shortControlCells[a.name], f.name) {
				cells = append(cells, controlCell{f, a})
			}
		}
	}
	queue := make(chan controlCell, len(cells))
	for _, c := range cells {
		queue <- c
	}
	close(queue)
	var mu sync.Mutex
	var results []controlResult
	t.Run("cells", func(t *testing.T) {
		for i := range controlMeshes {
			t.Run(fmt.Sprintf("mesh%d", i), func(t *testing.T) {
				t.Parallel()
				m := parallelMesh(t, 2, meshOptions{})
				w := m.watchVersions()
				defer w.wg.Wait()
				defer w.stop()
				for n := 1; ; n++ {
					c, ok := <-queue
					if !ok {
						break
					}
					r := m.runControlCell(c, w, n)
					w.mu.Lock()
					r.problems = append(r.problems, w.problems...)
					w.problems = nil
					w.mu.Unlock()
					for _, p := range r.problems {
						t.Errorf("%s during %q: %s", c.action.name, c.fault.name, p)
					}
					t.Logf("%s during %q: exit codes %v, in force after %s, shown after %s", c.action.name, c.fault.name, r.codes, r.inForce.Round(time.Millisecond), r.shown.Round(time.Millisecond))
					mu.Lock()
					results = append(results, r)
					mu.Unlock()
				}
			})
		}
	})
	if *controlReportFlag != "" {
		assert.NilError(t, writeReport(*controlReportFlag, controlReport(results)))
	}
}

func controlReport(results []controlResult) string {
	var b strings.Builder
	b.WriteString("# Control-action matrix\n\nGenerated by `go test ./internal/integration -run TestControlMatrix -matrix full -timeout 40m -control-report FILE`.\n\n")
	fmt.Fprintf(&b, "Each cell does the action during the fault with real processes. It lists the exit codes of `parsleyctl`, the longest time until a node had the accepted version in force (bound %s after acceptance, heal or restart; for learn after the end of the fault, as before that nobody can find a version that was pushed to no node), and for announce and leave the longest time until a node showed the target's state (bound %s, or %s after a heal).\n\n| fault |", configBound, recoveryBound, healLimit)
	for _, a := range controlActions {
		b.WriteString(" " + a.name + " |")
	}
	b.WriteString("\n| --- |" + strings.Repeat(" --- |", len(controlActions)) + "\n")
	var failed []string
	for _, f := range controlFaults {
		b.WriteString("| " + f.name + " |")
		for _, a := range controlActions {
			b.WriteString(" " + controlEntry(results, f, a, &failed) + " |")
		}
		b.WriteString("\n")
	}
	if len(failed) > 0 {
		b.WriteString("\nFailed:\n\n" + strings.Join(failed, "\n") + "\n")
	}
	return b.String()
}

func controlEntry(results []controlResult, f controlFault, a controlAction, failed *[]string) string {
	for _, r := range results {
		if r.fault.name != f.name || r.action.name != a.name {
			continue
		}
		entry := "ok"
		if len(r.problems) > 0 {
			entry = "FAILED"
			for _, p := range r.problems {
				*failed = append(*failed, fmt.Sprintf("- %s during %s: %s", a.name, f.name, strings.ReplaceAll(p, "\n", " ")))
			}
		}
		if len(r.codes) > 0 {
			entry += fmt.Sprintf(", exit %v", r.codes)
		}
		if r.inForce > 0 {
			entry += fmt.Sprintf(", in force %.1f s", r.inForce.Seconds())
		}
		if r.shown > 0 {
			entry += fmt.Sprintf(", shown %.1f s", r.shown.Seconds())
		}
		return entry
	}
	return "not run"
}
