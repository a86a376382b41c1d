package departure

import (
	"cmp"
	"maps"
	"slices"
)

// Ledger knows which departures of a node the store has, and which have to be written.
// It has no clock, network or goroutines of its own, and is not safe for concurrent
// use. The zero value is empty.
type Ledger struct {
	// written has the departures in the store and pending those that are in effect and
	// are not, by key.
	written, pending map[string]Departure
}

// Add adds a departure that is in effect, and reports whether it has to be written.
func (l *Ledger) Add(key string, d Departure) bool {
	if w, ok := l.written[key]; ok && w.suffices(&d) {
		return false
	}
	if p, ok := l.pending[key]; !ok || !p.suffices(&d) {
		if l.pending == nil {
			l.pending = make(map[string]Departure)
		}
		l.pending[key] = d
	}
	return true
}

// Written records that the store has acknowledged the row of a departure, or has
// returned it.
func (l *Ledger) Written(key string, d Departure) {
	if l.written == nil {
		l.written = make(map[string]Departure)
	}
	before, ok := l.written[key]
	l.written[key] = d
	if p, ok := l.pending[key]; ok && d.suffices(&p) {
		delete(l.pending, key)
	}
	if ok && !d.suffices(&before) {
		l.Add(key, before) // a write that took effect late has replaced it
	}
}

// Lose records that the store may have lost all rows of this process. Each departure
// has to be written again.
func (l *Ledger) Lose() {
	for key, d := range l.written {
		delete(l.written, key)
		l.Add(key, d)
	}
}

// Forget removes the departures for which expired returns true, and returns the keys
// of their rows.
func (l *Ledger) Forget(expired func(d *Departure) bool) []string {
	var keys []string
	for key, d := range l.written {
		if expired(&d) {
			keys = append(keys, key)
			delete(l.written, key)
		}
	}
	maps.DeleteFunc(l.pending, func(_ string, d Departure) bool { return expired(&d) })
	return keys
}

// Pending returns a copy of the departures that are not in the store, by key.
func (l *Ledger) Pending() map[string]Departure { return maps.Clone(l.pending) }

// Stored returns the departures in the store, the latest one last.
func (l *Ledger) Stored() []Departure {
	byTime := func(a, b Departure) int { return cmp.Compare(a.StatedAtMillis, b.StatedAtMillis) }
	return slices.SortedFunc(maps.Values(l.written), byTime)
}
