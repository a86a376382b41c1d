// Package targetstate decides what a node believes of its local target: which
// incarnation is in force, whether it leaves, and which statements say nothing about the
// present because they were overtaken.
//
// It has no clock, network or goroutines of its own: the caller passes in the time and
// the statements of the target. docs/design.md has its table of states and events.
package targetstate

import (
	"time"

	"parsleyturn/internal/departure"
)

// maxMissedHeartbeats is the number of missed announcements after which the target
// counts as lost. An announcement may be several seconds late.
const maxMissedHeartbeats = 4

// Time is the time of an event.
type Time struct {
	// Uptime is monotonic.
	Uptime time.Duration
	// WallMillis is the time of day in Unix ms.
	WallMillis int64
}

// Result is the effect of an event.
type Result struct {
	// Departure must be kept before the statement is acknowledged, unless it is nil.
	Departure *departure.Departure
	// Ignored is the reason why the event changes nothing, or empty.
	Ignored string
	// Rejected is set if the statement must not be acknowledged.
	Rejected bool
	// NewIncarnation is set if another incarnation is in force now.
	NewIncarnation bool
	// SlotsChanged and Changed are set if the number of slots, or anything that other
	// nodes need to know, has changed.
	SlotsChanged, Changed bool
}

// Machine holds the state of the local target. It is not safe for concurrent use.
type Machine struct {
	// HeartbeatInterval is the interval of the target's announcements.
	HeartbeatInterval time.Duration

	// target is the latest announcement in force. It is kept after the target was
	// lost, and known is false then.
	target Announcement
	known  bool
	// announcedAt is the uptime of that announcement.
	announcedAt time.Duration
	// leaving is set once the incarnation in force has said in a response that it
	// leaves.
	leaving bool
	// startsNamed is set once a target of this VM has named its start. All do then.
	startsNamed bool
	// contender is the announcer that the state in force outranks.
	contender contender
	departed  departure.Set
	distrust  distrust
	// unconfirmed is set while the announcement in force may be from before a departure
	// that is not known.
	unconfirmed bool
}

// Target returns the latest announcement in force, and whether the target is known: it
// may be silent or replaced.
func (m *Machine) Target() (a Announcement, known bool) { return m.target, m.known }

// AnnouncedAt returns the uptime of the latest announcement in force.
func (m *Machine) AnnouncedAt() time.Duration { return m.announcedAt }

// Ready reports whether the target may get new requests.
func (m *Machine) Ready() bool { return m.known && !m.target.Draining && !m.unconfirmed }

// InForce reports whether the incarnation of an earlier announcement is in force.
func (m *Machine) InForce(a *Announcement) bool { return m.known && m.target.sameIncarnation(a) }

// Leaving returns the incarnation in force if it leaves for good.
func (m *Machine) Leaving() (a Announcement, ok bool) {
	return m.target, m.known && (m.leaving || m.departed.Final(m.target.ID, m.target.StartedAtMillis))
}

// Announce handles an announcement of a target. An announcement that says that the
// target leaves is never ignored, as its acknowledgement is a promise.
func (m *Machine) Announce(a Announcement, now Time) Result {
	var r Result
	same := m.InForce(&a)
	unnamed := a.StartedAtMillis == 0 && m.startsNamed
	if (unnamed || m.known && !a.supersedes(&m.target)) && !m.contender.outlasts(&a, now.Uptime, m.announcedAt, m.HeartbeatInterval) {
		if unnamed {
			r.Ignored, r.Rejected = "announcement lacks the start, which the targets of this VM name", true
			return r
		}
		r.Ignored = "announcement is older than the current state"
		if a.Draining {
			r.Departure = m.leave(a.departure(now), now)
			r.Changed = same && m.drain()
		}
		return r
	}
	m.startsNamed = m.startsNamed || a.StartedAtMillis != 0
	left := m.departed.Covers(a.ID, a.StartedAtMillis, a.Sequence, now.Uptime, now.WallMillis)
	switch {
	case a.Draining:
		r.Departure = m.leave(a.departure(now), now)
	case left && m.known && !same:
		r.Ignored = "announcement of a target that has left"
		return r
	case !left:
		m.departed.Remove(a.departure(now))
	}
	a.Draining = a.Draining || left || same && m.leaving
	unconfirmed := m.distrust.covers(&a, now) && (!same || m.unconfirmed)
	before, wasReady := m.target, m.Ready()
	m.target, m.known, m.announcedAt, m.contender = a, true, now.Uptime, contender{}
	m.unconfirmed = unconfirmed
	r.NewIncarnation = !same
	if !same {
		m.leaving = false
	}
	r.SlotsChanged = !same || a.Slots != before.Slots
	r.Changed = r.SlotsChanged || wasReady != m.Ready() || a.Draining != before.Draining || (a.WarmupLeft > 0) != (before.WarmupLeft > 0)
	return r
}

// Withdraw handles the withdrawal of a target. A start of 0 means that the withdrawal
// does not name it, and stands for all incarnations of that ID that have started.
func (m *Machine) Withdraw(id string, startedAtMillis int64, now Time) Result {
	d := departure.Departure{TargetID: id, StartedAtMillis: startedAtMillis, StatedAtMillis: now.WallMillis}
	if m.target.ID == id {
		// The clock may have been set back since the target started.
		d.StatedAtMillis = max(d.StatedAtMillis, m.target.StartedAtMillis)
	}
	r := Result{Departure: m.leave(d, now)}
	if m.known && m.departed.Covers(m.target.ID, m.target.StartedAtMillis, m.target.Sequence, now.Uptime, now.WallMillis) {
		r.Changed = m.drain()
	} else {
		r.Ignored = "withdrawal does not name the current target"
	}
	return r
}

// StateLeaving handles a response in which the incarnation of an announcement said that
// it leaves.
func (m *Machine) StateLeaving(a *Announcement, now Time) Result {
	if !m.InForce(a) || m.leaving {
		return Result{Ignored: "known, or not the incarnation in force"}
	}
	m.leaving = true
	d := a.departure(now)
	d.Sequence = 0
	return Result{Departure: m.leave(d, now), Changed: m.drain()}
}

// Learn handles a departure that is known from elsewhere, and is kept there. It may
// concern a target that is announced only later.
func (m *Machine) Learn(d departure.Departure, now Time) Result {
	m.startsNamed = m.startsNamed || d.StartedAtMillis != 0
	m.departed.Add(d, now.Uptime)
	if !m.known || !m.departed.Covers(m.target.ID, m.target.StartedAtMillis, m.target.Sequence, now.Uptime, now.WallMillis) {
		return Result{}
	}
	return Result{Changed: m.drain()}
}

// Lose handles the loss of an incarnation that refused a connection or was replaced by
// another target. It returns with its next announcement, unless it has left.
func (m *Machine) Lose(a *Announcement) Result {
	if !m.InForce(a) {
		return Result{Ignored: "not the incarnation in force"}
	}
	m.known = false
	return Result{Changed: true}
}

// Expire loses a target that has missed too many announcements, unless it drains.
func (m *Machine) Expire(now Time) Result {
	if !m.known || m.target.Draining || now.Uptime-m.announcedAt <= maxMissedHeartbeats*m.HeartbeatInterval {
		return Result{}
	}
	m.known = false
	return Result{Changed: true}
}

// leave remembers a departure and returns the one to be kept.
func (m *Machine) leave(d departure.Departure, now Time) *departure.Departure {
	d = m.departed.Add(d, now.Uptime)
	return &d
}

// drain marks the target in force as draining and reports whether that is a change.
func (m *Machine) drain() bool {
	changed := !m.target.Draining
	m.target.Draining = true
	return changed
}
