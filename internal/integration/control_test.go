package integration

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/configstore"
	"parsleyturn/internal/ctl"
	"parsleyturn/internal/policy"
)

// configDeliveryBound is the stated bound (guarantee 8) on the time from when a
// configuration version is accepted until it is active at every node.
const configDeliveryBound = 5 * time.Second

// versionMonitor polls the active configuration version of every node.
type versionMonitor struct {
	m    *mesh
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu sync.Mutex
	// firstSeen is the time of the first poll that found a version active at
	// a node, by node ID and version.
	firstSeen map[string]map[uint64]time.Time
	last      map[string]uint64
	problems  []string
}

func (m *mesh) monitorVersions() *versionMonitor {
	ctx, cancel := context.WithCancel(context.Background())
	monitor := &versionMonitor{m: m, stop: cancel, firstSeen: map[string]map[uint64]time.Time{}, last: map[string]uint64{}}
	for _, h := range m.hosts {
		monitor.wg.Go(func() {
			for ctx.Err() == nil {
				if s, err := h.status(); err == nil && s.Ready {
					monitor.record(h.id, s.ConfigVersion)
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	return monitor
}

// record stores the version that a poll found at a node. A lower version than
// that of the previous poll is a problem, even if the node's process was
// replaced in between.
func (monitor *versionMonitor) record(id string, version uint64) {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	if version < monitor.last[id] {
		monitor.problems = append(monitor.problems, fmt.Sprintf("version of %s went from %d down to %d", id, monitor.last[id], version))
	}
	if monitor.firstSeen[id] == nil {
		monitor.firstSeen[id] = map[uint64]time.Time{}
	}
	if _, ok := monitor.firstSeen[id][version]; !ok {
		monitor.firstSeen[id][version] = time.Now()
	}
	monitor.last[id] = version
}

// reset discards the times of a node whose process was replaced, so that it
// counts as having no version yet.
func (monitor *versionMonitor) reset(id string) {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	delete(monitor.firstSeen, id)
}

// firstSeenAt returns when a node first had the version or a higher one.
func (monitor *versionMonitor) firstSeenAt(id string, version uint64) (at time.Time, ok bool) {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	for v, t := range monitor.firstSeen[id] {
		if v >= version && (!ok || t.Before(at)) {
			at, ok = t, true
		}
	}
	return at, ok
}

// earliestSeenAt returns when the first of all nodes had the version, or now if
// none has it yet.
func (monitor *versionMonitor) earliestSeenAt(version uint64) time.Time {
	first := time.Now()
	for _, h := range monitor.m.hosts {
		if at, ok := monitor.firstSeenAt(h.id, version); ok && at.Before(first) {
			first = at
		}
	}
	return first
}

// operatorRun is the result of one run of parsleyctl.
type operatorRun struct {
	author   string
	exitCode int
	output   string
	endedAt  time.Time
}

// writeChangeDir writes a configuration directory that is different for each
// change number. Change 0 adds no file of its own, so applying it stores no new
// content.
func (m *mesh) writeChangeDir(change int) string {
	dir, err := os.MkdirTemp(m.dir, "config-")
	assert.NilError(m.t, err)
	files := map[string]string{"10-integration.toml": meshPolicy}
	if change > 0 {
		files["20-change.toml"] = fmt.Sprintf("team = \"integration\"\n[buyer.change-%d]\nshare = 2\n", change)
	}
	for name, content := range files {
		assert.NilError(m.t, os.WriteFile(filepath.Join(dir, name), []byte(content), 0o644))
	}
	return dir
}

// runApply runs "parsleyctl config apply" with a direct connection to the
// platform. It passes the administration address of one node, in addition to
// those that the tool finds itself.
func (m *mesh) runApply(author string, change int, base uint64) operatorRun {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(binaryDir, "parsleyctl"), "--platform", "http://"+m.platformAddr(),
		"--nodes", fmt.Sprintf("%s:%d", m.hosts[len(m.hosts)-1].proxyIP(), portAdmin),
		"config", "apply", m.writeChangeDir(change), "--why", "test", "--who", author, "--base", fmt.Sprint(base))
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		m.t.Errorf("running parsleyctl failed: %v", err)
	}
	return operatorRun{author, cmd.ProcessState.ExitCode(), out.String(), time.Now()}
}

// currentConfig reads the accepted version from the platform directly. Only the
// faults of the platform affect it.
func (m *mesh) currentConfig() configstore.Record {
	m.t.Helper()
	rec, err := m.configStore().Current(context.Background())
	assert.NilError(m.t, err)
	return rec
}

// applyWithoutPush stores a change that the platform accepts and that is pushed
// to no node.
func (m *mesh) applyWithoutPush(author string, change int, base uint64) error {
	files := []policy.File{{Name: "10-integration.toml", Content: []byte(meshPolicy)},
		{Name: "20-change.toml", Content: fmt.Appendf(nil, "team = \"integration\"\n[buyer.change-%d]\nshare = 2\n", change)}}
	_, err := m.configStore().Apply(context.Background(), configstore.Change{
		ChangeID: configstore.NewChangeID(), Author: author, Reason: "test", Action: configstore.ActionApply, Base: base, Time: time.Now(), Files: files,
	})
	return err
}

// checkOperators compares the exit codes that operators got with the audit
// records. Exit code 0 means that the change was accepted, 3 and 5 that it was
// not and never will be, and 4 that the outcome is unknown. It also checks that
// there is one audit record for each version, in order, and that the message for
// exit code 3 names the other change.
func (m *mesh) checkOperators(base uint64, ops []operatorRun) []string {
	var out []string
	cur := m.currentConfig().Version
	audit, err := m.configStore().History(context.Background(), 0, 1000)
	assert.NilError(m.t, err)
	if uint64(len(audit)) != cur {
		out = append(out, fmt.Sprintf("configuration store has %d audit records for version %d", len(audit), cur))
	}
	ids := map[string]bool{}
	count := map[string]int{}
	for i, a := range audit {
		if a.Version != uint64(i+1) || ids[a.ChangeID] {
			out = append(out, fmt.Sprintf("audit record %d is out of order or repeats a change ID: %+v", i, a))
		}
		ids[a.ChangeID] = true
		if a.Version > base {
			count[a.Author]++
		}
	}
	for _, o := range ops {
		n := count[o.author]
		switch {
		case n > 1,
			o.exitCode == ctl.ExitOK && n != 1,
			(o.exitCode == ctl.ExitConflict || o.exitCode == ctl.ExitUnavailable) && n != 0,
			o.exitCode != ctl.ExitOK && o.exitCode != ctl.ExitConflict && o.exitCode != ctl.ExitUnavailable && o.exitCode != ctl.ExitUnknown:
			out = append(out, fmt.Sprintf("operator %s got exit code %d and has %d audit records: %s", o.author, o.exitCode, n, o.output))
		case o.exitCode == ctl.ExitConflict && !strings.Contains(o.output, "configuration moved from version"):
			out = append(out, fmt.Sprintf("conflict message to operator %s does not name the other change: %s", o.author, o.output))
		}
	}
	return out
}

// Guards against a lost update: two operators apply different changes to the
// same base version, and both are reported as accepted. Also guards against a
// conflict message that does not name the operator whose change was accepted.
func TestOnlyOneOfConcurrentChangesIsAccepted(t *testing.T) {
	t.Parallel()
	m := parallelMesh(t, 1, meshOptions{})
	for i := range 5 {
		base := m.currentConfig().Version
		ops := m.runConcurrentApplies(base, 10*i)
		assert.DeepEqual(t, m.checkOperators(base, ops), []string(nil))
		assert.Equal(t, m.currentConfig().Version, base+1)
		loser := ops[0]
		if ops[0].exitCode == ctl.ExitOK {
			loser = ops[1]
		}
		assert.Equal(t, ops[0].exitCode+ops[1].exitCode, ctl.ExitOK+ctl.ExitConflict, "%+v", ops)
		winner := ops[0].author
		if loser.author == winner {
			winner = ops[1].author
		}
		assert.Assert(t, strings.Contains(loser.output, winner), loser.output)
	}
}

// runConcurrentApplies applies two different changes to the same base version
// at the same time, by two operators.
func (m *mesh) runConcurrentApplies(base uint64, change int) []operatorRun {
	ops := make([]operatorRun, 2)
	var wg sync.WaitGroup
	for i := range ops {
		wg.Go(func() { ops[i] = m.runApply(fmt.Sprintf("operator-%d-%d", base, i), change+i+1, base) })
	}
	wg.Wait()
	return ops
}

// replaceNode kills the node's process, resets its times and starts a new
// process.
func (monitor *versionMonitor) replaceNode(h *host) {
	h.node.kill()
	time.Sleep(100 * time.Millisecond) // lets the last poll of the old process finish
	monitor.reset(h.id)
	h.startNode()
}
