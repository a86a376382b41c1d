package targetstate

import (
	"time"

	"parsleyturn/internal/departure"
)

// distrust is the time in which announcements may be from before a departure that an
// earlier process of the node has acknowledged and this one does not know. The zero
// value is none.
type distrust struct {
	// until is the uptime at which the last such announcement has arrived. since is the
	// start of this process in Unix ms.
	until time.Duration
	since int64
}

// covers reports whether an announcement may be from before the start of the process.
// A target that started later has no earlier departure. A start after the time of day
// is from before the clock was set back.
func (d *distrust) covers(a *Announcement, now Time) bool {
	return now.Uptime < d.until && (a.StartedAtMillis <= d.since || a.StartedAtMillis > now.WallMillis)
}

// Distrust begins the time in which a target that started before this process is not
// ready until Trust or Confirm is called. It is called when the process starts.
func (m *Machine) Distrust(now Time) {
	m.distrust = distrust{until: now.Uptime + departure.LateLimit, since: now.WallMillis}
}

// Trust ends the distrust, as all departures that earlier processes have acknowledged
// are known.
func (m *Machine) Trust() Result {
	m.distrust = distrust{}
	return m.confirm()
}

// Confirm handles the word of an incarnation, in response to a question of this process,
// that it is ready and does not leave.
func (m *Machine) Confirm(a *Announcement) Result {
	if !m.InForce(a) {
		return Result{Ignored: "not the incarnation in force"}
	}
	return m.confirm()
}

// Unconfirmed returns the incarnation in force if it would be ready, but for departures
// that may be unknown.
func (m *Machine) Unconfirmed() (a Announcement, ok bool) {
	return m.target, m.known && !m.target.Draining && m.unconfirmed
}

func (m *Machine) confirm() Result {
	wasReady := m.Ready()
	m.unconfirmed = false
	return Result{Changed: m.Ready() != wasReady}
}
