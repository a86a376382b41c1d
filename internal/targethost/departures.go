package targethost

import (
	"time"

	"parsleyturn/internal/departure"
	"parsleyturn/internal/kernel"
	"parsleyturn/internal/wire"
)

// departure returns the departure that an announcement states.
func (a *Announcement) departure() departure.Departure {
	return departure.Departure{TargetID: a.ID, StartedAtMillis: a.StartedAtMillis, Sequence: a.Sequence, StatedAtMillis: time.Now().UnixMilli()}
}

// withdrawal returns the departure of the announced target for good.
func (a *Announcement) withdrawal() departure.Departure {
	d := a.departure()
	d.Sequence = 0
	return d
}

// LearnDeparture drains the target if it is the one that has left, also if it is
// announced only later.
func (h *Host) LearnDeparture(d departure.Departure, why string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := kernel.Uptime()
	h.departed.Add(d, now)
	if h.known && !h.target.Draining && h.departed.Covers(h.target.ID, h.target.StartedAtMillis, h.target.Sequence, now) {
		h.target.Draining = true
		h.publish(why)
	}
}

// learnLeaving handles the statement of another node that a target of this node
// leaves.
func (h *Host) learnLeaving(t wire.Target) {
	if t.StartedAtMillis == 0 {
		return // none, or an incarnation that cannot be told from a later one
	}
	h.LearnDeparture(departure.Departure{TargetID: t.ID, StartedAtMillis: t.StartedAtMillis, StatedAtMillis: time.Now().UnixMilli()}, "leaving, says a peer")
}
