package targethost

import (
	"parsleyturn/internal/departure"
	"parsleyturn/internal/wire"
)

// LearnDeparture drains the target if it is the one that has left, also if it is
// announced only later.
func (h *Host) LearnDeparture(d departure.Departure, why string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.publishChange(h.state.Learn(d, now()), why)
}

// DeparturesComplete ends the distrust of targets that started before this process.
func (h *Host) DeparturesComplete() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.publishChange(h.state.Trust(), "departures known")
}

// learnLeaving handles the statement of another node that a target of this node
// leaves.
func (h *Host) learnLeaving(t wire.Target) {
	if t.StartedAtMillis == 0 {
		return // none, or an incarnation that cannot be told from a later one
	}
	h.LearnDeparture(departure.Departure{TargetID: t.ID, StartedAtMillis: t.StartedAtMillis, StatedAtMillis: now().WallMillis}, "leaving, says a peer")
}
