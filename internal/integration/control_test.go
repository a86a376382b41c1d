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

// configBound is guarantee 8: an accepted version is in force everywhere
// within this time.
const configBound = 5 * time.Second

// versionWatch polls the version in force of every node.
type versionWatch struct {
	m    *mesh
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu sync.Mutex
	// seen is when a node was first seen with a version.
	seen     map[string]map[uint64]time.Time
	last     map[string]uint64
	problems []string
}

func (m *mesh) watchVersions() *versionWatch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &versionWatch{m: m, stop: cancel, seen: map[string]map[uint64]time.Time{}, last: map[string]uint64{}}
	for _, h := range m.hosts {
		w.wg.Go(func() {
			for ctx.Err() == nil {
				if s, err := h.status(); err == nil && s.Ready {
					w.note(h.id, s.ConfigVersion)
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	return w
}

// note records a version. A node that was replaced must not go back either.
func (w *versionWatch) note(id string, version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version < w.last[id] {
		w.problems = append(w.problems, fmt.Sprintf("version of %s went from %d down to %d", id, w.last[id], version))
	}
	if w.seen[id] == nil {
		w.seen[id] = map[uint64]time.Time{}
	}
	if _, ok := w.seen[id][version]; !ok {
		w.seen[id][version] = time.Now()
	}
	w.last[id] = version
}

// forget makes a node that was replaced count as one that has no version yet.
func (w *versionWatch) forget(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.seen, id)
}

// seenAt is when a node was first seen with a version or a higher one.
func (w *versionWatch) seenAt(id string, version uint64) (at time.Time, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for v, t := range w.seen[id] {
		if v >= version && (!ok || t.Before(at)) {
			at, ok = t, true
		}
	}
	return at, ok
}

// first is when the first node was seen with a version.
func (w *versionWatch) first(version uint64) time.Time {
	first := time.Now()
	for _, h := range w.m.hosts {
		if at, ok := w.seenAt(h.id, version); ok && at.Before(first) {
			first = at
		}
	}
	return first
}

// operator is one run of parsleyctl.
type operator struct {
	who    string
	code   int
	output string
	ended  time.Time
}

// changeDir writes a configuration that differs from all others by the change.
// Change 0 has no file of its own, so that applying it stores no content.
func (m *mesh) changeDir(change int) string {
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

// apply runs parsleyctl against the platform, without a proxy in between, and
// tells it the administration address of one node besides those it finds.
func (m *mesh) apply(who string, change int, base uint64) operator {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(binaries, "parsleyctl"), "--platform", "http://"+m.platformAddr(),
		"--nodes", fmt.Sprintf("%s:%d", m.hosts[len(m.hosts)-1].proxied(), portAdmin),
		"config", "apply", m.changeDir(change), "--why", "test", "--who", who, "--base", fmt.Sprint(base))
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		m.t.Errorf("run parsleyctl: %v", err)
	}
	return operator{who, cmd.ProcessState.ExitCode(), out.String(), time.Now()}
}

// current reads the accepted version past all faults but those of the platform.
func (m *mesh) current() configstore.Record {
	m.t.Helper()
	rec, err := m.store().Current(context.Background())
	assert.NilError(m.t, err)
	return rec
}

// accept makes a change that is accepted but pushed to no node.
func (m *mesh) accept(who string, change int, base uint64) error {
	files := []policy.File{{Name: "10-integration.toml", Content: []byte(meshPolicy)},
		{Name: "20-change.toml", Content: fmt.Appendf(nil, "team = \"integration\"\n[buyer.change-%d]\nshare = 2\n", change)}}
	_, err := m.store().Apply(context.Background(), configstore.Change{
		ChangeID: configstore.NewChangeID(), Author: who, Reason: "test", Action: configstore.ActionApply, Base: base, Time: time.Now(), Files: files,
	})
	return err
}

// judgeOperators compares what operators were told with what was accepted. An
// exit code says what is certain: 0 accepted; 3 and 5 not accepted and never
// will be; 4 neither.
func (m *mesh) judgeOperators(base uint64, ops []operator) []string {
	var out []string
	cur := m.current().Version
	audit, err := m.store().History(context.Background(), 0, 1000)
	assert.NilError(m.t, err)
	if uint64(len(audit)) != cur {
		out = append(out, fmt.Sprintf("%d audit records for version %d", len(audit), cur))
	}
	ids := map[string]bool{}
	count := map[string]int{}
	for i, a := range audit {
		if a.Version != uint64(i+1) || ids[a.ChangeID] {
			out = append(out, fmt.Sprintf("audit record %d is %+v", i, a))
		}
		ids[a.ChangeID] = true
		if a.Version > base {
			count[a.Author]++
		}
	}
	for _, o := range ops {
		n := count[o.who]
		switch {
		case n > 1,
			o.code == ctl.ExitOK && n != 1,
			(o.code == ctl.ExitConflict || o.code == ctl.ExitUnavailable) && n != 0,
			o.code != ctl.ExitOK && o.code != ctl.ExitConflict && o.code != ctl.ExitUnavailable && o.code != ctl.ExitUnknown:
			out = append(out, fmt.Sprintf("operator %s got exit code %d and has %d audit records: %s", o.who, o.code, n, o.output))
		case o.code == ctl.ExitConflict && !strings.Contains(o.output, "configuration moved from version"):
			out = append(out, fmt.Sprintf("operator %s was not told what changed: %s", o.who, o.output))
		}
	}
	return out
}

// Guards against two operators who both believe that their change is in force,
// or of whom neither learns what the other changed.
func TestOneOfTwoOperatorsWins(t *testing.T) {
	t.Parallel()
	m := parallelMesh(t, 1, meshOptions{})
	for i := range 5 {
		base := m.current().Version
		ops := m.race(base, 10*i)
		assert.DeepEqual(t, m.judgeOperators(base, ops), []string(nil))
		assert.Equal(t, m.current().Version, base+1)
		lost := ops[0]
		if ops[0].code == ctl.ExitOK {
			lost = ops[1]
		}
		assert.Equal(t, ops[0].code+ops[1].code, ctl.ExitOK+ctl.ExitConflict, "%+v", ops)
		winner := ops[0].who
		if lost.who == winner {
			winner = ops[1].who
		}
		assert.Assert(t, strings.Contains(lost.output, winner), lost.output)
	}
}

// race lets two operators apply different changes to the same base.
func (m *mesh) race(base uint64, change int) []operator {
	ops := make([]operator, 2)
	var wg sync.WaitGroup
	for i := range ops {
		wg.Go(func() { ops[i] = m.apply(fmt.Sprintf("operator-%d-%d", base, i), change+i+1, base) })
	}
	wg.Wait()
	return ops
}

// replaceNode ends the node at once and starts it anew.
func (w *versionWatch) replaceNode(h *host) {
	h.node.kill()
	time.Sleep(100 * time.Millisecond) // the last poll of the old process
	w.forget(h.id)
	h.startNode()
}
