package departure

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Ledger decides which departures a node may acknowledge, and what it has to assume of
// those that earlier processes of the node have acknowledged. It has no clock, network
// or goroutines of its own, and is not safe for concurrent use. The zero value is empty.
//
// A departure is acknowledged once its row is in the store. While the store is away,
// the memory of other nodes suffices only if this process has a session: a row that it
// wrote to the store before, and that it deletes when it stops with all departures in
// the store. A later process that finds the session knows that departures may be
// missing, also if all nodes were killed.
type Ledger struct {
	// written has the departures in the store and pending those that are in effect and
	// are not, by key.
	written, pending map[string]Departure
	// sessionUntil is the uptime until which the store has the session of this process.
	sessionUntil time.Duration
	// read is set once the rows of earlier processes have been read. earlier has the
	// keys of the sessions that they left.
	read    bool
	earlier []string
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
// returned it. It reports whether the row is that of the latest statement; if not, that
// one has to be written again.
func (l *Ledger) Written(key string, d Departure) (latest bool) {
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
	_, missing := l.pending[key]
	return !missing
}

// Lose records that the store may have lost all rows of this process. Each departure
// has to be written again.
func (l *Ledger) Lose() {
	l.sessionUntil = 0
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

// BeginSession records that the store has the session of this process, until the given
// uptime at least.
func (l *Ledger) BeginSession(until time.Duration) { l.sessionUntil = until }

// EndSession records that other nodes no longer suffice, and reports whether the row of
// the session may be deleted, as no acknowledgement depends on it.
func (l *Ledger) EndSession() bool {
	l.sessionUntil = 0
	return len(l.pending) == 0
}

// NodesSuffice reports whether a departure that other nodes hold may be acknowledged
// although it is not in the store.
func (l *Ledger) NodesSuffice(now time.Duration) bool { return now < l.sessionUntil }

// Read records that the store has returned all rows of earlier processes, among them
// the sessions with the given keys.
func (l *Ledger) Read(sessions []string) { l.read, l.earlier = true, sessions }

// Complete reports whether the store has all departures that earlier processes have
// acknowledged.
func (l *Ledger) Complete() bool { return l.read && len(l.earlier) == 0 }

// EndEarlier records that no heartbeat from before the start of this process can arrive
// any more, and returns the keys of the sessions that are no longer needed.
func (l *Ledger) EndEarlier() []string {
	keys := l.earlier
	l.earlier = nil
	return keys
}

// Clone returns a copy of the ledger.
func (l *Ledger) Clone() Ledger {
	c := *l
	c.written, c.pending, c.earlier = maps.Clone(l.written), maps.Clone(l.pending), slices.Clone(l.earlier)
	return c
}
