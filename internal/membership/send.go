package membership

import (
	"slices"
	"time"
)

// send encodes a message for an address. After the header come the records of
// first, then the record of the receiver if it is not alive in this view, so
// that it can refute, and then as many queued updates as fit. to is nil if the
// receiver is unknown.
func (m *Machine) send(address string, msg *message, to *entry, first ...*entry) {
	if address == "" {
		return
	}
	m.startMessage(msg)
	sent := first
	for _, e := range first {
		m.appendRecord(e, true)
	}
	if to != nil && to.node.State != Alive && !slices.Contains(first, to) {
		sent = append(slices.Clip(sent), to)
		m.appendRecord(to, false)
	}
	m.queue.sendPending(m.transmissions(), func(id string) bool {
		e := m.entries[id]
		if e == nil || slices.Contains(sent, e) {
			return true
		}
		return m.appendRecord(e, e.node.State == Alive)
	})
	m.flush(address)
}

func (m *Machine) startMessage(msg *message) {
	self := &m.self.node
	msg.from, msg.incarnation, msg.version = self.ID, self.Incarnation, self.Version
	msg.replyTo, msg.configVersion = self.GossipAddr, m.configVersion
	m.w.buf.Reset()
	m.w.header(msg)
}

// appendRecord reports whether the record fitted into the datagram.
func (m *Machine) appendRecord(e *entry, full bool) bool {
	size := m.w.buf.Len()
	m.w.record(&e.node, full)
	if m.w.buf.Len() > MaxDatagram-checksumSize {
		m.w.buf.Truncate(size)
		return false
	}
	return true
}

func (m *Machine) flush(address string) {
	m.out = append(m.out, Packet{To: address, Data: seal(append(make([]byte, 0, m.w.buf.Len()+checksumSize), m.w.buf.Bytes()...))})
}

const (
	// bulkBurstBytes allows one transfer of the full state of 3,000 nodes,
	// which is 253,018 bytes.
	bulkBurstBytes = 256 << 10
	// bulkBytesPerSecond leaves half of a node's budget of 9 KB/s for probes
	// and piggybacked updates.
	bulkBytesPerSecond = 4 << 10
)

// takeBulkTokens reports whether the datagram in the writer may be sent as bulk
// data now, and charges it to the token bucket if so. Without this limit, a
// seed would exceed its bandwidth budget when thousands of starting nodes pull
// the state from it; with it, they pull from other nodes. A later round of
// anti-entropy transfers what was not sent.
func (m *Machine) takeBulkTokens() bool {
	if refill := int(float64(m.now-m.bulkRefilledAt) * bulkBytesPerSecond / float64(time.Second)); refill > 0 {
		m.bulkTokens = min(bulkBurstBytes, m.bulkTokens+refill)
		m.bulkRefilledAt = m.now
	}
	if size := m.w.buf.Len(); size <= m.bulkTokens {
		m.bulkTokens -= size
		return true
	}
	return false
}

// sendRecords packs full records into datagrams and sends them while the bulk
// limit allows.
func (m *Machine) sendRecords(address string, entries []*entry) {
	for len(entries) > 0 {
		m.startMessage(&message{kind: kindRecords})
		n := 0
		for n < len(entries) && m.appendRecord(entries[n], true) {
			n++
		}
		if n == 0 || !m.takeBulkTokens() {
			return
		}
		m.flush(address)
		entries = entries[n:]
	}
}
