package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// A deposit is a short message that a node leaves with others, which return it to the
// next process that runs under the node's ID.
const (
	// MaxDepositBytes limits the size of a deposit.
	MaxDepositBytes = 512
	// DepositRetention is how long a deposit is kept.
	DepositRetention = 30 * time.Second

	// depositCopies is the number of other nodes that have to hold a deposit.
	depositCopies = 2
	// depositFanout is the number of nodes that a deposit is sent to at a time.
	depositFanout = 4
	// returnInterval is the time after which a deposit that was not acknowledged is
	// returned again.
	returnInterval = 300 * time.Millisecond
	// maxHeldPerNode and maxDepositors limit the deposits that a node holds.
	maxHeldPerNode = 16
	maxDepositors  = 1024
	// maxPlacements limits the own deposits that are being sent.
	maxPlacements = 16
)

// placement is a deposit of this node that is being sent to others.
type placement struct {
	data    []byte
	holders map[string]bool
	expires time.Duration
}

// held is a deposit of another node.
type held struct {
	data []byte
	// incarnation is that of the process that left the deposit.
	incarnation uint64
	expires     time.Duration
	// returnedTo is the latest incarnation that has acknowledged the deposit.
	returnedTo uint64
	// returnSeq is the sequence number of the latest return, and returnAt the time of
	// the next one.
	returnSeq uint64
	returnAt  time.Duration
}

// Deposit leaves data with other nodes. A Deposited event with the returned sequence
// number reports that enough of them hold it. It is sent until then, for at most
// timeout.
func (m *Machine) Deposit(now time.Duration, rng *rand.Rand, data []byte, timeout time.Duration) (uint64, []Packet, error) {
	m.beginCall(now, rng)
	switch {
	case len(data) > MaxDepositBytes:
		return 0, m.endCall(), fmt.Errorf("deposit has %d bytes; use at most %d", len(data), MaxDepositBytes)
	case len(m.placements) >= maxPlacements:
		return 0, m.endCall(), fmt.Errorf("%d deposits are being sent; try again later", len(m.placements))
	}
	seq := m.nextSeq()
	p := &placement{data: data, holders: make(map[string]bool), expires: now + timeout}
	m.placements[seq] = p
	m.place(seq, p)
	return seq, m.endCall(), nil
}

// place sends a deposit to random nodes that do not hold it.
func (m *Machine) place(seq uint64, p *placement) {
	for _, e := range m.randomLive(depositFanout, "") {
		if !p.holders[e.node.ID] {
			m.send(e.node.GossipAddr, &message{kind: kindDeposit, seq: seq, data: p.data}, e)
		}
	}
}

// tickDeposits sends own deposits again that too few nodes hold, and returns the held
// ones whose owner runs as a later process.
func (m *Machine) tickDeposits() {
	for _, seq := range sortedKeys(m.placements) {
		p := m.placements[seq]
		if m.now >= p.expires {
			delete(m.placements, seq)
			continue
		}
		m.place(seq, p)
	}
	for _, owner := range sortedKeys(m.held) {
		m.held[owner] = slices.DeleteFunc(m.held[owner], func(h *held) bool { return m.now >= h.expires })
		if len(m.held[owner]) == 0 {
			delete(m.held, owner)
			continue
		}
		e := m.entries[owner]
		if e == nil || !e.node.State.Live() {
			continue
		}
		for _, h := range m.held[owner] {
			if e.node.Incarnation > max(h.incarnation, h.returnedTo) && m.now >= h.returnAt {
				h.returnSeq, h.returnAt = m.nextSeq(), m.now+returnInterval
				m.send(e.node.GossipAddr, &message{kind: kindReturn, seq: h.returnSeq, data: h.data}, e)
			}
		}
	}
}

// HandOver sends the deposits that this node holds to other nodes, which hold them in
// its place. It is called when the node stops, more than once, as datagrams can be lost.
func (m *Machine) HandOver(now time.Duration, rng *rand.Rand) []Packet {
	m.beginCall(now, rng)
	for _, owner := range sortedKeys(m.held) {
		for _, h := range m.held[owner] {
			for _, e := range m.randomLive(depositFanout, owner) {
				m.send(e.node.GossipAddr, &message{kind: kindHandOver, seq: m.nextSeq(), subject: owner, owner: h.incarnation, data: h.data}, e)
			}
		}
	}
	return m.endCall()
}

// onHandOver holds a deposit that another node has held.
func (m *Machine) onHandOver(msg *message) {
	if msg.subject != m.self.node.ID {
		m.hold(msg.subject, msg.owner, msg.data)
	}
}

// hold keeps a deposit of another node, and reports whether there is room for it.
func (m *Machine) hold(owner string, incarnation uint64, data []byte) bool {
	all := m.held[owner]
	if len(all) == 0 && len(m.held) >= maxDepositors {
		return false
	}
	all = slices.DeleteFunc(all, func(h *held) bool { return slices.Equal(h.data, data) })
	if len(all) == maxHeldPerNode {
		all = all[1:]
	}
	m.held[owner] = append(all, &held{data: data, incarnation: incarnation, expires: m.now + DepositRetention})
	return true
}

// onDeposit holds a deposit of another node.
func (m *Machine) onDeposit(msg *message) {
	if !m.hold(msg.from, msg.incarnation, msg.data) {
		return
	}
	m.send(msg.replyTo, &message{kind: kindDepositAck, seq: msg.seq}, m.entries[msg.from])
}

// onReturn reports a deposit that an earlier process of this node has left.
func (m *Machine) onReturn(msg *message) {
	m.event(Event{Kind: Returned, Data: msg.data})
	m.send(msg.replyTo, &message{kind: kindDepositAck, seq: msg.seq}, m.entries[msg.from])
}

// onDepositAck handles the acknowledgement of a deposit or of its return.
func (m *Machine) onDepositAck(msg *message) {
	if p := m.placements[msg.seq]; p != nil {
		p.holders[msg.from] = true
		if len(p.holders) >= min(depositCopies, m.liveCount-1) {
			delete(m.placements, msg.seq)
			m.event(Event{Kind: Deposited, Version: msg.seq})
		}
		return
	}
	for _, h := range m.held[msg.from] {
		if h.returnSeq == msg.seq {
			h.returnedTo = msg.incarnation
		}
	}
}
