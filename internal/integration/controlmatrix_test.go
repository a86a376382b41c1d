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

var controlReportFlag = flag.String("control-report", "", "write the results of the control-action matrix to this file, in Markdown")

// controlScene is the state of one cell of the control-action matrix.
type controlScene struct {
	*faultScene
	monitor *versionMonitor
	base    uint64
	// change is the number of the cell's first change, unique in its mesh.
	change int
	ops    []operatorRun
	// acceptedAt is when the time for delivering the accepted version begins.
	// If it is zero, the time begins at the exit of parsleyctl.
	acceptedAt time.Time
	// reachableSince is when a node became reachable again after a fault or a
	// restart, by node ID. Nodes without an entry were always reachable.
	reachableSince map[string]time.Time
}

// controlFault is a fault during a control action.
type controlFault struct {
	name string
	// begin starts the fault and end clears it. Both may be nil.
	begin, end func(s *controlScene)
	duration   time.Duration
	// makesChange says that begin itself makes the change that the actions
	// "apply" and "learn" make otherwise.
	makesChange bool
	// isolatesVictim says that the victim is unreachable until the fault ends.
	isolatesVictim bool
	// exitCode is the one that parsleyctl must return for a change that is
	// applied during the fault.
	exitCode int
}

// healBound is two rounds of anti-entropy, which runs every 30 s. The design
// page sets no other bound on how soon all nodes have the state from the other
// side of a healed partition.
const healBound = time.Minute

func (f controlFault) visibilityBound() time.Duration {
	if f.isolatesVictim {
		return healBound
	}
	return recoveryBound
}

func startPlatformFault(f standin.Faults) func(*controlScene) {
	return func(s *controlScene) { s.m.setPlatformFaults(f) }
}

func clearPlatformFaults(s *controlScene) { s.m.setPlatformFaults(standin.Faults{}) }

// stopPlatformAfterAcceptance applies the change and makes the platform refuse
// requests as soon as it has accepted the new version, while parsleyctl still
// pushes the version to the nodes.
func stopPlatformAfterAcceptance(s *controlScene) {
	done := make(chan operatorRun, 1)
	go func() { done <- s.m.runApply(s.author(), s.change, s.base) }()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		if rec, err := s.m.configStore().Current(s.m.t.Context()); err == nil && rec.Version > s.base {
			break
		}
	}
	s.acceptedAt = time.Now()
	s.m.setPlatformFaults(standin.Faults{Refuse: true})
	s.ops = append(s.ops, <-done)
}

func (s *controlScene) author() string { return fmt.Sprintf("operator-%d", s.base) }

// partitionZoneAndOperator partitions the victim's zone and also drops traffic
// to it from parsleyctl, which runs on the address of the test.
func partitionZoneAndOperator(s *controlScene) {
	partitionZone(s.faultScene)
	for _, h := range s.victimZoneHosts() {
		s.m.setRule("127.0.0.1", h.ip, dropAll)
	}
}

// victimZoneHosts returns the hosts in the victim's availability zone.
func (s *controlScene) victimZoneHosts() []*host {
	var out []*host
	for _, h := range s.m.hosts {
		if h.zone == s.victim.zone {
			out = append(out, h)
		}
	}
	return out
}

func (s *controlScene) markReachable(hosts ...*host) {
	for _, h := range hosts {
		s.reachableSince[h.id] = time.Now()
	}
}

var controlFaults = []controlFault{
	{name: "none"},
	{name: "platform down", begin: startPlatformFault(standin.Faults{Refuse: true}), end: clearPlatformFaults, duration: 2 * time.Second, exitCode: ctl.ExitUnavailable},
	{name: "platform hangs", begin: startPlatformFault(standin.Faults{Hang: true}), end: clearPlatformFaults, duration: 4 * time.Second, exitCode: ctl.ExitUnavailable},
	{name: "platform slow 2 s", begin: startPlatformFault(standin.Faults{DelayMS: 2000}), end: clearPlatformFaults, duration: 20 * time.Second},
	{name: "platform loses responses after the write", begin: func(s *controlScene) {
		if s.acceptedAt.IsZero() {
			assert.NilError(s.m.t, s.m.applyWithoutPush("setup", s.change, s.base))
			s.base++
		}
		// Change 0 only removes a file and stores no content, so the first
		// write whose response is lost is the transaction.
		s.change = 0
		s.m.setPlatformFaults(standin.Faults{DropResponses: 3})
	}, end: clearPlatformFaults, duration: 2 * time.Second},
	{name: "platform down right after acceptance", begin: stopPlatformAfterAcceptance, end: clearPlatformFaults, duration: 6 * time.Second, makesChange: true},
	{name: "node replaced during the outage", begin: func(s *controlScene) {
		stopPlatformAfterAcceptance(s)
		s.monitor.replaceNode(s.victim)
		s.markReachable(s.victim)
	}, end: clearPlatformFaults, duration: 6 * time.Second, makesChange: true},
	{name: "zone partitioned and healed", begin: partitionZoneAndOperator, end: func(s *controlScene) {
		s.m.clearRules()
		s.markReachable(s.victimZoneHosts()...)
	}, duration: longFaultTime, isolatesVictim: true},
	{name: "two operators at once", begin: func(s *controlScene) {
		s.ops = append(s.ops, s.m.runConcurrentApplies(s.base, s.change)...)
		s.acceptedAt = time.Now()
	}, makesChange: true},
	{name: "node paused for 9 s", begin: func(s *controlScene) {
		s.victim.node.signal(syscall.SIGSTOP)
	}, end: func(s *controlScene) {
		s.victim.node.signal(syscall.SIGCONT)
		s.markReachable(s.victim)
	}, duration: 9 * time.Second, isolatesVictim: true},
}

// controlAction is a control operation that runs during the fault.
type controlAction struct {
	name string
	// before prepares the action before the fault begins, and do runs it during
	// the fault. Both may be nil.
	before func(s *controlScene)
	do     func(s *controlScene)
	// targetDelta is the difference between the number of targets that all
	// nodes must list afterwards and the number of hosts.
	targetDelta int
}

// controlActions are the operations of the matrix: a new target announces
// itself, a target is drained, an operator applies a configuration change, and
// the nodes find an accepted version that was not pushed to them.
var controlActions = []controlAction{
	{name: "announce", before: func(s *controlScene) {
		s.victim.target.signal(syscall.SIGTERM)
		s.victim.target.exitCode(s.m.t, 10*time.Second)
		s.waitForTargetCount(-1, time.Now())
	}, do: func(s *controlScene) { s.victim.startTarget() }},
	{name: "leave", do: func(s *controlScene) { drainTarget(s.faultScene) }, targetDelta: -1},
	{name: "apply", do: func(s *controlScene) {
		s.ops = append(s.ops, s.m.runApply(s.author(), s.change, s.base))
	}},
	{name: "learn", do: nil},
}

// acceptUnpushed makes the change that nodes must find without a push.
func (s *controlScene) acceptUnpushed() {
	assert.NilError(s.m.t, s.m.applyWithoutPush(s.author(), s.change, s.base))
	s.acceptedAt = time.Now()
}

type controlCell struct {
	fault  controlFault
	action controlAction
}

type controlResult struct {
	controlCell
	problems []string
	// activeAfter is the longest time from acceptance, heal or restart until
	// the version was active at a node. visibleAfter is the longest time until
	// a node listed the target's new state.
	activeAfter, visibleAfter time.Duration
	exitCodes                 []int
}

func (m *mesh) runControlCell(c controlCell, monitor *versionMonitor, n int) controlResult {
	s := &controlScene{faultScene: &faultScene{m: m, victim: m.hostOf(0, "bookings")}, monitor: monitor, base: m.currentConfig().Version, change: 100 * n, reachableSince: map[string]time.Time{}}
	r := controlResult{controlCell: c}
	if c.action.before != nil {
		c.action.before(s)
	}
	if c.action.name == "learn" && !c.fault.makesChange {
		s.acceptUnpushed()
	}
	faultStart := time.Now()
	if c.fault.begin != nil {
		c.fault.begin(s)
	}
	actionStart := time.Now()
	if c.action.do != nil && (c.action.name != "apply" || !c.fault.makesChange) {
		c.action.do(s)
	}
	changesTargets := c.action.name == "announce" || c.action.name == "leave"
	if changesTargets && !c.fault.isolatesVictim {
		r.visibleAfter = s.waitForTargetCount(c.action.targetDelta, actionStart)
	}
	time.Sleep(time.Until(faultStart.Add(c.fault.duration)))
	if c.fault.end != nil {
		c.fault.end(s)
	}
	if c.action.name == "learn" && !c.fault.makesChange {
		// While the platform does not respond, no node can find a version
		// that was not pushed.
		s.acceptedAt = time.Now()
	}
	r.problems = append(r.problems, m.checkOperators(s.base, s.ops)...)
	r.problems = append(r.problems, s.checkExitCodes(c, &r)...)
	r.activeAfter = s.waitForVersion(c, &r.problems)
	if changesTargets && c.fault.isolatesVictim {
		r.visibleAfter = s.waitForTargetCount(c.action.targetDelta, actionStart)
	}
	if limit := c.fault.visibilityBound(); r.visibleAfter > limit {
		r.problems = append(r.problems, fmt.Sprintf("not all nodes listed the target's new state within %s; waited %s", limit, r.visibleAfter.Round(time.Millisecond)))
	}
	m.restoreMesh()
	m.waitReady()
	return r
}

func (s *controlScene) checkExitCodes(c controlCell, r *controlResult) []string {
	var out []string
	for _, o := range s.ops {
		r.exitCodes = append(r.exitCodes, o.exitCode)
		if c.action.name == "apply" && !c.fault.makesChange && o.exitCode != c.fault.exitCode {
			out = append(out, fmt.Sprintf("parsleyctl returned exit code %d instead of %d: %s", o.exitCode, c.fault.exitCode, o.output))
		}
	}
	if c.fault.name == "two operators at once" && s.ops[0].exitCode+s.ops[1].exitCode != ctl.ExitConflict {
		out = append(out, fmt.Sprintf("parsleyctl returned exit codes %v; exactly one change must be accepted", r.exitCodes))
	}
	return out
}

// waitForVersion waits until the accepted version is active at all nodes and
// returns the longest time that a node took, or 0 if no new version was
// accepted. The time of acceptance cannot be observed from outside. It is taken
// as acceptedAt or, without it, the exit of parsleyctl, or as the time when the
// first node had the version if that was earlier.
func (s *controlScene) waitForVersion(c controlCell, problems *[]string) time.Duration {
	version := s.m.currentConfig().Version
	if version == s.base {
		return 0
	}
	accepted := s.acceptedAt
	if accepted.IsZero() {
		accepted = s.ops[0].endedAt
	}
	if first := s.monitor.earliestSeenAt(version); first.Before(accepted) {
		accepted = first
	}
	longest := time.Duration(0)
	for _, h := range s.m.hosts {
		from := accepted
		isolated := false
		if reachable := s.reachableSince[h.id]; reachable.After(from) {
			from, isolated = reachable, c.fault.isolatesVictim
		}
		at, ok := s.monitor.firstSeenAt(h.id, version)
		for !ok && time.Since(from) < 4*configDeliveryBound {
			time.Sleep(20 * time.Millisecond)
			at, ok = s.monitor.firstSeenAt(h.id, version)
		}
		took := at.Sub(from)
		if ok && took < 0 && isolated && c.action.name == "apply" {
			*problems = append(*problems, fmt.Sprintf("node %s had version %d before the fault ended, so the cell does not test the fault", h.id, version))
		}
		if !ok || took > configDeliveryBound {
			*problems = append(*problems, fmt.Sprintf("node %s had version %d active after %s (seen: %t); the bound is %s", h.id, version, took.Round(time.Millisecond), ok, configDeliveryBound))
		}
		longest = max(longest, took)
	}
	return longest
}

// waitForTargetCount waits until every node lists as many targets as there are
// hosts, plus delta (0 or -1), and lists the victim only if delta is 0. It returns the longest
// time that a node took, from since or from when the last node became reachable
// if that is later.
func (s *controlScene) waitForTargetCount(delta int, since time.Time) time.Duration {
	longest := time.Duration(0)
	for _, h := range s.m.hosts {
		from := since
		for _, at := range s.reachableSince {
			// State from an unreachable node cannot arrive earlier.
			if at.After(from) {
				from = at
			}
		}
		for time.Since(from) < healBound+recoveryBound {
			if n, err := h.peersWithTarget(); err == nil && n == len(s.m.hosts)+delta && h.listsTarget(s.victim.id) == (delta == 0) {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		longest = max(longest, time.Since(from))
	}
	return longest
}

// listsTarget reports whether the node's membership view has the given node
// with a target and neither lost nor draining.
func (h *host) listsTarget(id string) bool {
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

// shortControlCells are the cells that run without -matrix full: for each
// action the names of the faults.
var shortControlCells = map[string][]string{
	"announce": {"platform hangs"},
	"leave":    {"platform down"},
	"apply":    {"platform down", "platform loses responses after the write", "node replaced during the outage", "zone partitioned and healed"},
	"learn":    {"none", "platform hangs", "two operators at once"},
}

// controlMatrixMeshes is the number of meshes that run the cells of the
// control-action matrix in parallel.
const controlMatrixMeshes = 4

// Guards against a configuration version that goes back at a node, that becomes
// active too late, that has no audit record or two, or whose operator gets an
// exit code that does not match the audit records. Also guards against nodes
// that do not list a new target or still list a drained one. Each cell does one
// control action during one fault.
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
		for i := range controlMatrixMeshes {
			t.Run(fmt.Sprintf("mesh%d", i), func(t *testing.T) {
				t.Parallel()
				m := parallelMesh(t, 2, meshOptions{})
				monitor := m.monitorVersions()
				defer monitor.wg.Wait()
				defer monitor.stop()
				for n := 1; ; n++ {
					c, ok := <-queue
					if !ok {
						break
					}
					r := m.runControlCell(c, monitor, n)
					monitor.mu.Lock()
					r.problems = append(r.problems, monitor.problems...)
					monitor.problems = nil
					monitor.mu.Unlock()
					for _, p := range r.problems {
						t.Errorf("%s during %q: %s", c.action.name, c.fault.name, p)
					}
					t.Logf("%s during %q: exit codes %v, active after %s, visible after %s", c.action.name, c.fault.name, r.exitCodes, r.activeAfter.Round(time.Millisecond), r.visibleAfter.Round(time.Millisecond))
					mu.Lock()
					results = append(results, r)
					mu.Unlock()
				}
			})
		}
	})
	if *controlReportFlag != "" {
		assert.NilError(t, writeReport(*controlReportFlag, formatControlReport(results)))
	}
}

func formatControlReport(results []controlResult) string {
	var b strings.Builder
	b.WriteString("# Control-action matrix\n\nGenerated by `go test ./internal/integration -run TestControlMatrix -matrix full -timeout 40m -control-report FILE`.\n\n")
	fmt.Fprintf(&b, "Each cell does the action during the fault with real processes. It lists the exit codes of `parsleyctl`, the longest time until the accepted version was active at a node (bound %s after acceptance, heal or restart; for learn after the end of the fault, because before that no node can find a version that was not pushed), and for announce and leave the longest time until a node listed the target's new state (bound %s, or %s after a heal).\n\n| fault |", configDeliveryBound, recoveryBound, healBound)
	for _, a := range controlActions {
		b.WriteString(" " + a.name + " |")
	}
	b.WriteString("\n| --- |" + strings.Repeat(" --- |", len(controlActions)) + "\n")
	var failed []string
	for _, f := range controlFaults {
		b.WriteString("| " + f.name + " |")
		for _, a := range controlActions {
			b.WriteString(" " + formatControlCell(results, f, a, &failed) + " |")
		}
		b.WriteString("\n")
	}
	if len(failed) > 0 {
		b.WriteString("\nFailed:\n\n" + strings.Join(failed, "\n") + "\n")
	}
	return b.String()
}

func formatControlCell(results []controlResult, f controlFault, a controlAction, failed *[]string) string {
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
		if len(r.exitCodes) > 0 {
			entry += fmt.Sprintf(", exit %v", r.exitCodes)
		}
		if r.activeAfter > 0 {
			entry += fmt.Sprintf(", active after %.1f s", r.activeAfter.Seconds())
		}
		if r.visibleAfter > 0 {
			entry += fmt.Sprintf(", visible after %.1f s", r.visibleAfter.Seconds())
		}
		return entry
	}
	return "not run"
}
