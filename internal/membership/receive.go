package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Receive handles a datagram. For a malformed datagram it returns a
// *MalformedError and changes nothing.
func (m *Machine) Receive(now time.Duration, rng *rand.Rand, data []byte) ([]Packet, error) {
	msg, err := decode(data)
	if err != nil {
		return nil, err
	}
	m.beginCall(now, rng)
	if msg.from == m.self.node.ID {
		m.applySelf(Node{Incarnation: msg.incarnation})
		return m.endCall(), nil
	}
	m.observeConfigVersion(msg)
	known := m.entries[msg.from]
	wasLost := known != nil && known.node.State == Lost
	versionBefore := m.self.node.Version
	bulk := msg.kind == kindRecords || msg.kind == kindState
	stale := m.applyRecords(msg.records, bulk)
	sender := m.entries[msg.from]
	if sender == nil || sender.node.Incarnation < msg.incarnation || (wasLost && sender.node.State.Live()) {
		// A datagram from a lost node is the first sign that a partition has
		// healed.
		m.syncOnContact(msg)
	}
	m.respond(msg, sender, m.self.node.Version != versionBefore || m.missedRefutation(msg.records))
	m.dispatch(msg)
	if bulk {
		m.sendCorrections(msg.replyTo, stale)
	}
	return m.endCall(), nil
}

// missedRefutation reports whether the sender of the records still holds a state
// of this node that this node has refuted: the refutation did not reach it.
func (m *Machine) missedRefutation(records []record) bool {
	self := m.self.node
	return slices.ContainsFunc(records, func(r record) bool {
		return r.node.ID == self.ID && r.node.Incarnation == self.Incarnation && r.node.Version < self.Version && r.node.State != Alive
	})
}

// respond acknowledges a ping, and sends a notice in response to another
// message if there is something to correct. If the sender is not alive in this
// node's view, or has a later incarnation there, the response carries that
// record: the sender then refutes it or detects that it was superseded. If refuted
// is set, the response also carries this node's own record, which refutes what
// the sender holds.
func (m *Machine) respond(msg *message, sender *entry, refuted bool) {
	var first []*entry
	if refuted {
		first = append(first, m.self)
	}
	needsCorrection := false
	if sender != nil {
		needsCorrection = sender.node.State != Alive
		if sender.node.Incarnation > msg.incarnation {
			needsCorrection = true
			first = append(first, sender)
		}
	}
	switch {
	case msg.kind == kindPing:
		m.send(msg.replyTo, &message{kind: kindAck, seq: msg.seq}, sender, first...)
	case needsCorrection && msg.kind != kindNotice, refuted:
		// A notice is not sent in response to a notice, unless it refutes: two
		// nodes that were both replaced would exchange notices endlessly.
		m.send(msg.replyTo, &message{kind: kindNotice}, sender, first...)
	}
}

func (m *Machine) dispatch(msg *message) {
	switch msg.kind {
	case kindAck:
		m.onAck(msg)
	case kindPingRequest:
		m.onPingRequest(msg)
	case kindPingReply:
		m.onPingReply(msg)
	case kindPull:
		m.onPull(msg)
	case kindState:
		m.onState(msg)
	case kindDigest:
		m.onDigest(msg)
	case kindSummary:
		m.onSummary(msg)
	case kindWant:
		m.onWant(msg)
	case kindDeposit:
		m.onDeposit(msg)
	case kindDepositAck:
		m.onDepositAck(msg)
	case kindReturn:
		m.onReturn(msg)
	case kindHandOver:
		m.onHandOver(msg)
	}
}

// observeConfigVersion reports a configuration version that is higher than this
// node's. The version is reported again after a second, because fetching it may
// have failed.
func (m *Machine) observeConfigVersion(msg *message) {
	if msg.configVersion <= m.configVersion || (msg.configVersion <= m.reportedVersion && m.now < m.reportAgainAt) {
		return
	}
	from := Node{ID: msg.from, Incarnation: msg.incarnation, GossipAddr: msg.replyTo}
	if e := m.entries[msg.from]; e != nil {
		from = e.node
	}
	m.reportedVersion, m.reportAgainAt = msg.configVersion, m.now+versionReportInterval
	m.event(Event{Kind: ConfigVersion, Node: from, Version: msg.configVersion})
}

// syncOnContact starts anti-entropy with a sender that is new or was lost,
// unless the message itself belongs to a pull or to anti-entropy. It does
// nothing within a second of the last start of anti-entropy.
func (m *Machine) syncOnContact(msg *message) {
	if m.now-m.lastSync < probeInterval || msg.kind >= kindPull {
		return
	}
	m.sendDigest(msg.replyTo)
}

// applyRecords applies records and returns the entries for which the sender has
// an older record.
//
// Records received in bulk are not queued as updates, except for suspicions:
// the other nodes receive them by anti-entropy too, and thousands of updates
// would delay new ones.
func (m *Machine) applyRecords(records []record, bulk bool) []*entry {
	var stale []*entry
	for i := range records {
		r := &records[i]
		if r.node.ID == m.self.node.ID {
			m.applySelf(r.node)
			continue
		}
		e := m.entries[r.node.ID]
		if e == nil {
			// Unknown nodes that are lost or left are not added: nodes would
			// pass them to each other, and none would ever be removed.
			if r.full && r.node.State.Live() {
				m.insert(r.node)
				if !bulk {
					m.queue.add(r.node.ID)
				}
			}
			continue
		}
		if m.apply(e, r) {
			if !bulk || e.node.State == Suspect {
				m.queue.add(r.node.ID)
			}
		} else if olderThan(&r.node, &e.node) {
			stale = append(stale, e)
		}
	}
	return stale
}

func olderThan(got, have *Node) bool {
	if got.Incarnation != have.Incarnation {
		return got.Incarnation < have.Incarnation
	}
	if got.Version != have.Version {
		return got.Version < have.Version
	}
	return got.State.Live() && !have.State.Live()
}

// apply merges a record into an entry and reports whether it changed.
func (m *Machine) apply(e *entry, r *record) bool {
	got, have := r.node, e.node
	if !Newer(got, have) {
		return false
	}
	sameIncarnation := got.Incarnation == have.Incarnation
	switch {
	case got.State == Lost && sameIncarnation && have.State == Alive:
		// The loss may have been declared on the other side of a partition
		// that has healed. The node is suspected first, so that it has time to
		// refute.
		have.State = Suspect
		m.set(e, have)
		m.recheck(e)
		return true
	case got.State == Lost && sameIncarnation && have.State == Suspect && m.now-e.stateSince < m.suspicionTimeout()/2:
		return false
	case r.full:
		m.set(e, got)
		return true
	case got.State == Suspect && (!sameIncarnation || got.Version != have.Version):
		// The short record lacks the attributes of that version. Anti-entropy
		// transfers the full record.
		return false
	}
	have.Incarnation, have.Version, have.State = got.Incarnation, got.Version, got.State
	m.set(e, have)
	return true
}

// applySelf refutes wrong records of this node, and detects that a later
// process runs under its ID.
func (m *Machine) applySelf(got Node) {
	n := m.self.node
	switch {
	case got.Incarnation > n.Incarnation:
		if got.Incarnation > m.supersededBy {
			m.supersededBy = got.Incarnation
			m.event(Event{Kind: Superseded, Node: got})
		}
		return
	case got.Incarnation < n.Incarnation || got.Version < n.Version:
		return
	case got.Version == n.Version && (got.State == Alive || n.State == Left):
		return
	case got.State == Left && n.State == Left:
		return
	}
	n.Version = got.Version + 1
	m.set(m.self, n)
	// Every node must receive the refutation before its suspicion times out.
	m.announce()
}

// sendCorrections sends newer records to a peer with older ones, and pings
// those of the nodes that are lost here. If there are more than maxLostRecords
// lost nodes, the likely cause is a partition that has healed, and their
// records are not sent: the ping lets the nodes refute, whereas the records
// would make the other side suspect all of them.
func (m *Machine) sendCorrections(address string, stale []*entry) {
	const maxLostRecords = 2
	lost := 0
	for _, e := range stale {
		if e.node.State == Lost {
			lost++
		}
	}
	var records []*entry
	for _, e := range stale {
		if e.node.State != Lost || lost <= maxLostRecords {
			records = append(records, e)
		}
		if e.node.State == Lost {
			m.recheck(e)
		}
	}
	m.sendRecords(address, records)
}

// recheck pings a node whose state differs between views, at most maxPerTick
// nodes per tick.
func (m *Machine) recheck(e *entry) {
	// At 10 per tick, 100 pings a second use most of a node's budget of 9 KB/s.
	const maxPerTick = 10
	if m.rechecks < maxPerTick {
		m.rechecks++
		m.ping(e)
	}
}
