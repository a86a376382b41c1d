package targetstatus

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleyturn/internal/announcement"
	"parsleyturn/internal/departure"
)

// instant is a time by the monotonic clock and by the time of day.
type instant struct {
	uptime     time.Duration
	unixMillis int64
}

// machine is what the node believes of its target. It has no clock, network or
// goroutines of its own, and is not safe for concurrent use.
type machine struct {
	target        Announcement
	present       bool
	coldUntil     time.Duration
	lastHeartbeat time.Duration
	// departed has the incarnations of targets that have left.
	departed departure.Set
	// distrustUntil is the uptime at which the last announcement has arrived that may be
	// from before a departure that is not known: one that an earlier process of the node
	// has acknowledged. It is 0 if there is none.
	distrustUntil time.Duration
	// lastCheck is the time of the last heartbeat check. A long time since then
	// means that this process was paused.
	lastCheck time.Duration
}

// distrust begins the time in which announcements may be from before a departure that
// is not known, and trust ends it.
func (m *machine) distrust(now instant) { m.distrustUntil = now.uptime + departure.LateLimit }
func (m *machine) trust()               { m.distrustUntil = 0 }

// announce updates the target, and reports whether that is a change. If the
// announcement says that the target leaves, it returns the departure. current is set if
// the announcement was sent after the start of this process.
func (m *machine) announce(a Announcement, current bool, now instant) (d *departure.Departure, changed bool) {
	leaves := a.State == Draining || a.State == Stopping
	covered := m.departed.Covers(a.departureID(), 0, 0, now.uptime, now.unixMillis) || !current && now.uptime < m.distrustUntil
	switch {
	case leaves:
		inEffect := m.departed.Add(a.departure(now), now.uptime)
		d = &inEffect
	case covered:
		a.State = Draining // it was, or may have been, sent before the target left
	}
	if m.serves() && m.target.Incarnation != a.Incarnation && (covered || leaves && m.target.Address != a.Address) {
		return d, false // of a target that was replaced
	}
	newTarget := !m.present || m.target.Incarnation != a.Incarnation
	if newTarget {
		m.coldUntil = now.uptime + time.Duration(a.ColdStartMS)*time.Millisecond
	}
	if a.State == Ready && now.uptime < m.coldUntil {
		a.State = Cold
	}
	changed = newTarget || m.target != a
	m.target, m.present, m.lastHeartbeat = a, a.State != Stopping, now.uptime
	return d, changed
}

// serves reports whether the target gets requests.
func (m *machine) serves() bool {
	return m.present && (m.target.State == Ready || m.target.State == Cold)
}

// learn adds a departure, and drains the target if it is the one that has left. It
// reports whether it did.
func (m *machine) learn(d departure.Departure, now instant) bool {
	m.departed.Add(d, now.uptime)
	drains := m.serves() && m.departed.Covers(m.target.departureID(), 0, 0, now.uptime, now.unixMillis)
	if drains {
		m.target.State = Draining
	}
	return drains
}

// withdraw marks the target as absent, and reports whether it was present.
func (m *machine) withdraw() bool {
	wasPresent := m.present
	m.present = false
	return wasPresent
}

// check reports whether the target's heartbeats have stopped, and ends a cold start
// whose time has passed.
func (m *machine) check(uptime time.Duration) (expired, warmedUp bool) {
	if uptime-m.lastCheck > heartbeatTimeout/2 {
		m.lastHeartbeat = uptime // this process was paused, so missed heartbeats say nothing about the target
	}
	m.lastCheck = uptime
	expired = m.present && uptime-m.lastHeartbeat > heartbeatTimeout
	warmedUp = m.present && m.target.State == Cold && uptime >= m.coldUntil && m.coldUntil > 0
	if warmedUp {
		m.target.State = Ready
	}
	return expired, warmedUp
}

// departureID returns the incarnation, or a hash of one that is too long to be kept.
func (a *Announcement) departureID() string {
	if announcement.CheckLength("incarnation", a.Incarnation) != nil {
		return fmt.Sprintf("%016x", xxhash.Sum64String(a.Incarnation))
	}
	return a.Incarnation
}

// departure returns the departure of the target. Announcements have no order, so that
// those from before the departure are told by the time.
func (a *Announcement) departure(now instant) departure.Departure {
	return departure.Departure{TargetID: a.departureID(), StatedAtMillis: now.unixMillis}
}
