// Package departure remembers the targets that have left a VM, so that neither a
// heartbeat that arrives late nor a restart of the node brings one back.
//
// Set is the memory of a running node. It has no clock, network or goroutines of its
// own. Recorder keeps the departures of a node in the platform's store.
package departure

import (
	"slices"
	"time"
)

const (
	// LateLimit exceeds the time by which a heartbeat may arrive late.
	LateLimit = 10 * time.Second
	// maxRemembered bounds the departures that are remembered for a VM. Heartbeats of
	// targets before these are no longer on their way.
	maxRemembered = 64
)

// Departure is the statement of a target that it leaves. It applies to one incarnation.
type Departure struct {
	TargetID string `msgpack:"t"`
	// StartedAtMillis is the start of the incarnation in Unix ms, or 0 if unknown.
	StartedAtMillis int64 `msgpack:"s"`
	// Sequence is the sequence number of the heartbeat that said so. It is 0 after a
	// withdrawal, which no heartbeat of the incarnation follows.
	Sequence int64 `msgpack:"q"`
	// StatedAtMillis is the time of the statement in Unix ms, by the clock of the node.
	// Without a start, the departure is that of the incarnations that had started by
	// then.
	StatedAtMillis int64 `msgpack:"w"`
}

// covers reports whether a heartbeat was sent before the departure, or by an earlier
// incarnation. late is set while such heartbeats may arrive. One that arrives later was
// sent after the departure, which then was not that of the incarnation, unless a
// withdrawal has named it.
//
// A start after wallMillis, the time of day, is from before the clock was set back.
func (d *Departure) covers(targetID string, startedAtMillis, sequence, wallMillis int64, late bool) bool {
	if d.TargetID != targetID {
		return false
	}
	switch {
	case startedAtMillis == d.StartedAtMillis:
		return late && (d.Sequence == 0 || sequence <= d.Sequence) || d.final()
	case d.StartedAtMillis == 0:
		return late && (startedAtMillis <= d.StatedAtMillis || startedAtMillis > wallMillis)
	}
	return late && startedAtMillis < d.StartedAtMillis
}

// final reports whether the incarnation has left for good.
func (d *Departure) final() bool { return d.Sequence == 0 && d.StartedAtMillis != 0 }

// sameTarget reports whether d and other concern the same incarnation.
func (d *Departure) sameTarget(other *Departure) bool {
	return d.TargetID == other.TargetID && d.StartedAtMillis == other.StartedAtMillis
}

// Set holds the latest departures of a VM. The zero value is empty.
type Set struct {
	entries []entry
}

type entry struct {
	Departure
	// lateUntil is the uptime until which heartbeats from before the departure may
	// arrive.
	lateUntil time.Duration
}

// Add adds a departure that is known since the uptime now, and returns the one that is
// in effect: the latest withdrawal, or else the first heartbeat since the target was
// ready.
func (s *Set) Add(d Departure, now time.Duration) Departure {
	if i := s.index(&d); i >= 0 {
		e := &s.entries[i]
		e.lateUntil = now + LateLimit
		if d.Sequence == 0 && (e.Sequence != 0 || d.StatedAtMillis > e.StatedAtMillis) {
			e.Departure = d
		}
		return e.Departure
	}
	if len(s.entries) == maxRemembered {
		s.entries = slices.Delete(s.entries, 0, 1)
	}
	s.entries = append(s.entries, entry{d, now + LateLimit})
	return d
}

// Remove removes the departure of an incarnation that has said later that it is ready.
func (s *Set) Remove(d Departure) {
	if i := s.index(&d); i >= 0 {
		s.entries = slices.Delete(s.entries, i, i+1)
	}
}

func (s *Set) index(d *Departure) int {
	return slices.IndexFunc(s.entries, func(e entry) bool { return e.sameTarget(d) })
}

// Final reports whether an incarnation has left for good.
func (s *Set) Final(targetID string, startedAtMillis int64) bool {
	return slices.ContainsFunc(s.entries, func(e entry) bool {
		return e.TargetID == targetID && e.StartedAtMillis == startedAtMillis && e.final()
	})
}

// Covers reports whether a heartbeat says nothing about the present because its
// target, or a later incarnation, has left since. A start of 0 means that it is not
// known. now is the uptime, and wallMillis the time of day in Unix ms.
func (s *Set) Covers(targetID string, startedAtMillis, sequence int64, now time.Duration, wallMillis int64) bool {
	return slices.ContainsFunc(s.entries, func(e entry) bool {
		return e.covers(targetID, startedAtMillis, sequence, wallMillis, now < e.lateUntil)
	})
}

// Clone returns a copy of the set.
func (s *Set) Clone() Set { return Set{slices.Clone(s.entries)} }
