package integration

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"parsleyturn/internal/faultproxy"
	"parsleyturn/internal/standin/target"
)

// removalBound is the stated bound (guarantee 6) on the time from when a target
// fails or begins to drain until it receives no more new requests.
const removalBound = 3 * time.Second

// removalCase is a way in which a target becomes unavailable.
type removalCase struct {
	name string
	// before prepares the mesh. It may be nil.
	before func(s *faultScene)
	remove func(s *faultScene)
	// after runs 2 s after remove has returned, while the load continues. It
	// may be nil.
	after func(s *faultScene)
	// graceful removals must leave every request answered or not run.
	graceful bool
	// short cases also run without -matrix full.
	short bool
}

var removalCases = []removalCase{
	{name: "target drained", remove: drainTarget, graceful: true, short: true},
	{name: "target stops announcing", remove: stopAnnouncing, short: true},
	{name: "target killed", remove: killProcess(victimTarget)},
	{name: "node drained", remove: drainVictim, graceful: true, short: true},
	{name: "node killed", remove: killNode},
	{name: "target drained, gossip lost", before: dropGossip, remove: drainTarget, graceful: true, short: true},
	{name: "node drained, all its outgoing traffic dropped", remove: func(s *faultScene) {
		s.m.setRule(s.victim.ip, "*", dropAll)
		drainVictim(s)
	}, after: func(s *faultScene) { s.m.clearRules() }},
	{name: "zone partitioned, stale state at the callers", before: drainOtherTargets, remove: func(s *faultScene) {
		partitionZone(s)
		drainTarget(s)
	}, after: func(s *faultScene) { s.m.clearRules() }, short: true},
}

func drainTarget(s *faultScene) { s.victim.target.signal(syscall.SIGTERM) }
func drainVictim(s *faultScene) { s.victim.node.signal(syscall.SIGTERM) }

// stopAnnouncing stops the target's heartbeats right after one was received, so
// that the node waits for the full heartbeat timeout.
func stopAnnouncing(s *faultScene) {
	const counter = "parsley_target_announcements_total"
	before := s.victim.metric(counter)
	for range 200 {
		if s.victim.metric(counter) != before {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.victim.setTargetFaults(target.Faults{StopAnnouncing: true})
}

// dropGossip drops all datagrams that the victim sends. Other nodes then learn
// that its target drains only from its responses and refusals.
func dropGossip(s *faultScene) { s.m.setRule(s.victim.ip, "*", faultproxy.Rule{Loss: 1}) }

// drainOtherTargets drains the service's other targets, so that callers in the
// other zone use the victim and have its stale state during the partition.
func drainOtherTargets(s *faultScene) {
	for _, h := range s.m.hostsOf(s.victim.service) {
		if h != s.victim {
			h.target.signal(syscall.SIGTERM)
			<-h.target.done
			h.target.done <- nil
		}
	}
	poll.WaitOn(s.m.t, func(poll.LogT) poll.Result {
		for _, h := range s.m.hosts {
			if n, err := h.peersWithTarget(); err != nil || n >= len(s.m.hosts) {
				return poll.Continue("node %s still lists %d targets: %v", h.id, n, err)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}

// Guards against nodes that keep sending requests to a target that is drained
// or fails, because they miss the notice of its removal or act on stale state.
// Also guards against requests that get an unknown outcome when a target or
// node is drained while it works on them.
func TestRemovedTargetGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	for _, c := range removalCases {
		if !c.short && *matrixFlag != "full" {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			m := parallelMesh(t, 2, meshOptions{})
			c.run(t, &faultScene{m: m, victim: m.hostOf(0, "directory")})
		})
	}
}

func (c removalCase) run(t *testing.T, s *faultScene) {
	if c.before != nil {
		c.before(s)
	}
	entries := append(s.m.hostsOf("reports"), s.m.hostsOf("bookings")...)
	l := s.m.startLoad("leave", http.MethodGet, "/directory/x", 8*time.Millisecond, entries...)
	time.Sleep(700 * time.Millisecond)
	removalStart := time.Now()
	c.remove(s)
	if c.name == "target stops announcing" {
		removalStart = time.Now()
	}
	time.Sleep(2 * time.Second)
	if c.after != nil {
		c.after(s)
	}
	time.Sleep(time.Until(removalStart.Add(removalBound + 1500*time.Millisecond)))
	l.stopAndCountFailures()
	before, late, last := countExecutions(s.victim.executionRecords(), removalStart)
	t.Logf("%d requests: %v; the removed target had %d executions before the removal, the last one %s after it began", l.sent.Load(), l.outcomes, before, last.Round(time.Millisecond))
	assert.Assert(t, before > 0, "the target had no executions before the removal, so the test checks nothing")
	assert.Equal(t, late, 0, "the removed target started executions more than %s after the removal began; the last one after %s", removalBound, last)
	if c.graceful {
		for outcome := range l.outcomes {
			assert.Assert(t, outcome == "answered" || outcome == "not-run", "requests got an unknown outcome or no response during a graceful removal: %v%s", l.outcomes, l.describeFailures())
		}
	}
	assert.Equal(t, l.outcomes["wrong response"], 0, l.describeFailures())
}

// countExecutions counts the executions that started before the removal, and
// those that started more than removalBound after it. last is the time from the
// removal to the start of the last execution.
func countExecutions(records []target.Record, removalStart time.Time) (before, late int, last time.Duration) {
	for _, r := range records {
		if !strings.HasPrefix(r.RequestID, "leave-") {
			continue
		}
		after := time.UnixMicro(r.StartedMicros).Sub(removalStart)
		switch {
		case after < 0:
			before++
		case after > removalBound:
			late++
		}
		last = max(last, after)
	}
	return before, late, last
}
