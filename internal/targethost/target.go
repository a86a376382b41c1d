package targethost

import (
	"fmt"
	"time"
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

// Validate reports which required field is missing or invalid.
func (a *Announcement) Validate() error {
	switch {
	case a.ID == "":
		return fmt.Errorf("announcement has no target id")
	case a.Address == "":
		return fmt.Errorf("announcement of target %q has no address", a.ID)
	case a.Service == "":
		return fmt.Errorf("announcement of target %q has no service", a.ID)
	case a.Slots <= 0:
		return fmt.Errorf("announcement of target %q has %d slots; at least 1 is needed", a.ID, a.Slots)
	}
	return nil
}

// supersedes reports whether a describes a later state than b, the current
// state.
func (a *Announcement) supersedes(b *Announcement) bool {
	switch {
	case a.StartedAtMillis != b.StartedAtMillis && a.StartedAtMillis != 0 && b.StartedAtMillis != 0:
		return a.StartedAtMillis > b.StartedAtMillis
	case a.ID != b.ID:
		return true
	}
	return a.Sequence > b.Sequence
}
