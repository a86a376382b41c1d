package targetstate

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	interval = 1500 * time.Millisecond
	started  = 9_999_000
)

func at(uptime time.Duration) Time {
	return Time{Uptime: uptime, WallMillis: 10_000_000 + uptime.Milliseconds()}
}

func ready(startedAtMillis, sequence int64) Announcement {
	return Announcement{ID: "i", Address: "127.0.0.1:1", Service: "a", Slots: 1, StartedAtMillis: startedAtMillis, Sequence: sequence}
}

// A target withdraws while it is not known: it was silent, refused a connection, was
// replaced, or its node has restarted. A heartbeat that it sent before arrives late.
// Guards against a withdrawal that is acknowledged and forgotten (DRAIN).
func TestWithdrawalOfUnknownTargetIsRemembered(t *testing.T) {
	for name, forget := range map[string]func(m *Machine){
		"silent":  func(m *Machine) { m.Expire(at(maxMissedHeartbeats*interval + time.Second)) },
		"refused": func(m *Machine) { a := ready(started, 1); m.Lose(&a) },
		"restart": func(m *Machine) { *m = Machine{HeartbeatInterval: interval} },
	} {
		for start, startName := range map[int64]string{0: "without start", started: "with its start"} {
			t.Run(name+", "+startName, func(t *testing.T) {
				m := Machine{HeartbeatInterval: interval}
				m.Announce(ready(started, 1), at(0))
				assert.Assert(t, m.Ready())
				forget(&m)
				assert.Assert(t, !m.Ready())
				r := m.Withdraw("i", start, at(7*time.Second))
				assert.Assert(t, r.Departure != nil, "the withdrawal would not be kept")
				m.Announce(ready(started, 2), at(8*time.Second))
				assert.Assert(t, !m.Ready(), "a heartbeat that arrived late brought the target back")
				m.Announce(ready(at(9*time.Second).WallMillis, 1), at(9*time.Second))
				assert.Assert(t, m.Ready(), "the target that has started again under its ID is not used")
			})
		}
	}
}

// A heartbeat of another writer names the ID of the target, lacks its start and has a
// later sequence number. Guards against a target whose own heartbeats are ignored, and
// whose departure is acknowledged without effect (DRAIN).
func TestHeartbeatWithoutStartHidesNoDeparture(t *testing.T) {
	for name, id := range map[string]string{"ID of the target": "i", "another ID": "odd"} {
		for _, draining := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, draining: %v", name, draining), func(t *testing.T) {
				m := Machine{HeartbeatInterval: interval}
				m.Announce(ready(started, 1), at(0))
				odd := ready(0, 1_000_000)
				odd.ID, odd.Draining = id, draining
				r := m.Announce(odd, at(time.Second))
				assert.Assert(t, r.Rejected, "a heartbeat that names no target was acknowledged")
				assert.Assert(t, m.Ready(), "the target was taken away")
				own := ready(started, 2)
				own.Draining = true
				r = m.Announce(own, at(2*time.Second))
				assert.Assert(t, r.Departure != nil && !m.Ready(), "the target drains and is used")
			})
		}
	}
}

// Guards against a draining heartbeat that is acknowledged and has no effect because an
// announcement with a later sequence number is in force, and against a target that
// stays drained although it says later that it is ready.
func TestLateDrainingHeartbeatIsNotIgnored(t *testing.T) {
	m := Machine{HeartbeatInterval: interval}
	m.Announce(ready(started, 9), at(0))
	late := ready(started, 3)
	late.Draining = true
	r := m.Announce(late, at(time.Second))
	assert.Assert(t, r.Departure != nil && r.Changed && !m.Ready())
	m.Announce(ready(started, 10), at(2*time.Second))
	assert.Assert(t, m.Ready())
}

// Guards against a target that names no start and is replaced by one of another version
// that does not either, as in a deployment without that field.
func TestTargetsWithoutStartReplaceEachOther(t *testing.T) {
	m := Machine{HeartbeatInterval: interval}
	m.Announce(ready(0, 5), at(0))
	next := ready(0, 1)
	next.ID = "j"
	m.Announce(next, at(time.Second))
	a, known := m.Target()
	assert.Assert(t, known && a.ID == "j")
}
