package targetstate

import (
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
