package targetstate

import (
	"fmt"
	"math"
	"time"

	"parsleyturn/internal/announcement"
	"parsleyturn/internal/departure"
)

// Announcement is the state that a target reports about itself.
type Announcement struct {
	ID      string
	Address string
	Service string
	Zone    string
	Version string
	Slots   int
	// Draining is set once the target shuts down.
	Draining bool
	// WarmupLeft is the remaining time in which the target is slow after its
	// start.
	WarmupLeft time.Duration
	// StartedAtMillis is the start of the incarnation in Unix ms; 0 if unknown.
	StartedAtMillis int64
	// Sequence increases with each announcement of an incarnation.
	Sequence int64
}

// Limits of what an announcement can say of its order.
const (
	// maxClockLead is the time by which the start of a target may lie in the future
	// by the clock of its node.
	maxClockLead = time.Minute
	// minAnnouncementInterval is the shortest mean time between two announcements.
	minAnnouncementInterval = time.Millisecond
	// maxFirstSequence is the largest sequence number of a target that has just
	// started.
	maxFirstSequence = 10_000
)

// Validate returns an error that describes the first invalid field. An order that
// cannot be true is invalid, as it would let one odd announcement outrank all later
// ones of the target.
func (a *Announcement) Validate(wall time.Time) error {
	if err := announcement.CheckName("target id", a.ID); err != nil {
		return err
	}
	if err := announcement.CheckName("service", a.Service); err != nil {
		return err
	}
	if err := announcement.CheckLength("zone", a.Zone); err != nil {
		return err
	}
	if err := announcement.CheckLength("version", a.Version); err != nil {
		return err
	}
	if _, err := announcement.CheckAddress(a.Address); err != nil {
		return err
	}
	if err := announcement.CheckSlots(a.Slots); err != nil {
		return err
	}
	if err := announcement.CheckWarmup(a.WarmupLeft); err != nil {
		return err
	}
	return a.validateOrder(wall)
}

func (a *Announcement) validateOrder(wall time.Time) error {
	if a.StartedAtMillis < 0 || a.StartedAtMillis > wall.Add(maxClockLead).UnixMilli() {
		return fmt.Errorf("announcement of target %q: it started at %d ms, which is not in the past; check the clock of the VM", a.ID, a.StartedAtMillis)
	}
	limit := int64(math.MaxInt64)
	if a.StartedAtMillis > 0 {
		age := wall.Add(maxClockLead).Sub(time.UnixMilli(a.StartedAtMillis))
		limit = maxFirstSequence + int64(age/minAnnouncementInterval)
	}
	if a.Sequence < 0 || a.Sequence > limit {
		return fmt.Errorf("announcement of target %q: sequence is %d; a target that started then has sent at most %d", a.ID, a.Sequence, limit)
	}
	return nil
}

// sameIncarnation reports whether a and b come from the same incarnation.
func (a *Announcement) sameIncarnation(b *Announcement) bool {
	return a.ID == b.ID && a.StartedAtMillis == b.StartedAtMillis
}

// supersedes reports whether a describes a later state than b, the one in force. One
// that names its start is later than one that does not, as an announcement of another
// writer may lack it.
func (a *Announcement) supersedes(b *Announcement) bool {
	switch {
	case a.StartedAtMillis != b.StartedAtMillis:
		return a.StartedAtMillis > b.StartedAtMillis
	case a.ID != b.ID:
		return true
	}
	return a.Sequence > b.Sequence
}

// departure returns the departure that an announcement states.
func (a *Announcement) departure(now Time) departure.Departure {
	return departure.Departure{TargetID: a.ID, StartedAtMillis: a.StartedAtMillis, Sequence: a.Sequence, StatedAtMillis: now.WallMillis}
}
