package membership

import (
	"slices"
	"sort"
	"time"
)

const (
	// batchDatagrams is the number of datagrams sent for one pull. A batch is
	// much smaller than the usual receive buffer of a socket.
	batchDatagrams = 8
	pullTimeout    = time.Second
	pullRetries    = 3
	maxJoinBackoff = 8 * time.Second
	// maxSummaryHashes leaves room in the datagram for the header and the
	// bucket numbers.
	maxSummaryHashes = 110
)

// Values of message.continuation.
const (
	// endOfView marks the last datagram of the view.
	endOfView = iota
	// endOfBatch marks the last datagram of a batch. The receiver sends another
	// pull for the rest of the view.
	endOfBatch
	// moreInBatch marks the other datagrams of a batch.
	moreInBatch
)

// pull is the state of a transfer of the full state to this node.
type pull struct {
	// address is the peer's gossip address, or empty if no pull is in progress.
	address string
	// cursor is the ID after which the next pull continues.
	cursor   string
	seq      uint64
	deadline time.Duration
	retries  int
	// backoff grows while pulls get no response.
	backoff time.Duration
}

// join pulls the full state while the node has not joined or no other node is
// live. If the responses stop in the middle of a transfer, it repeats the pull
// up to pullRetries times and then continues with another node.
func (m *Machine) join() {
	p := &m.pull
	switch {
	case m.now < p.deadline:
		return
	case p.address != "" && p.retries < pullRetries && p.cursor != "":
		p.retries++
		m.sendPull()
		return
	}
	p.address = ""
	if (m.joined && m.liveCount > 1) || len(m.seeds) == 0 || m.self.node.State == Left {
		p.backoff = 0
		return
	}
	p.backoff = min(max(2*p.backoff, pullTimeout), maxJoinBackoff)
	// All nodes send records in the order of the IDs, so another node can
	// continue the transfer from the same cursor.
	p.address, p.retries = m.seeds[m.rng.IntN(len(m.seeds))], 0
	if live := m.randomLive(1, ""); len(live) > 0 {
		p.address = live[0].node.GossipAddr
	}
	m.sendPull()
	p.deadline = m.now + p.backoff/2 + m.jitter(p.backoff)
}

func (m *Machine) sendPull() {
	m.pull.seq = m.nextSeq()
	m.pull.deadline = m.now + pullTimeout
	m.send(m.pull.address, &message{kind: kindPull, seq: m.pull.seq, subject: m.pull.cursor}, nil, m.self)
}

// onPull sends a batch of the records after the cursor, in the order of the
// IDs. Because of the cursor, this node keeps no state for the transfer.
func (m *Machine) onPull(msg *message) {
	i := sort.SearchStrings(m.ids, msg.subject)
	for i < len(m.ids) && m.ids[i] <= msg.subject {
		i++
	}
	for datagram := 1; datagram <= batchDatagrams; datagram++ {
		end := m.datagramEnd(i)
		reply := &message{kind: kindState, seq: msg.seq, continuation: moreInBatch}
		if end > 0 {
			reply.subject = m.ids[end-1]
		}
		switch {
		case end == len(m.ids):
			reply.continuation = endOfView
		case datagram == batchDatagrams:
			reply.continuation = endOfBatch
		}
		m.startMessage(reply)
		for _, id := range m.ids[i:end] {
			if e := m.entries[id]; e.node.State.Live() {
				m.w.record(&e.node, true)
			}
		}
		if !m.takeBulkTokens() {
			return
		}
		m.flush(msg.replyTo)
		if i = end; i == len(m.ids) {
			return
		}
	}
}

// datagramEnd returns the end of the range of IDs, starting at i, whose live
// records fit into one datagram.
func (m *Machine) datagramEnd(i int) int {
	m.startMessage(&message{kind: kindState, seq: m.seq + 1<<40, subject: string(make([]byte, maxString))})
	for ; i < len(m.ids); i++ {
		e := m.entries[m.ids[i]]
		if e.node.State.Live() && !m.appendRecord(e, true) {
			break
		}
	}
	return i
}

func (m *Machine) onState(msg *message) {
	p := &m.pull
	if p.address == "" || msg.seq != p.seq {
		return
	}
	p.cursor, p.retries = msg.subject, 0
	p.deadline = m.now + pullTimeout
	switch msg.continuation {
	case endOfBatch:
		m.sendPull()
	case endOfView:
		p.address, p.cursor, p.backoff, m.joined = "", "", 0, true
		// An early round of anti-entropy fills the gaps that lost datagrams
		// left.
		m.nextSync = min(m.nextSync, m.now+probeInterval+m.jitter(fastSyncInterval))
	}
}

// startSync starts anti-entropy with one random live node.
func (m *Machine) startSync() {
	m.nextSync = m.now + syncInterval/2 + m.jitter(syncInterval)
	if peers := m.randomLive(1, ""); len(peers) > 0 {
		m.sendDigest(peers[0].node.GossipAddr)
	}
}

func (m *Machine) sendDigest(address string) {
	m.lastSync = m.now
	m.startMessage(&message{kind: kindDigest, hashes: m.digest[:]})
	m.appendRecord(m.self, true)
	m.flush(address)
}

// onDigest sends back the hashes of the live records in differing buckets.
func (m *Machine) onDigest(msg *message) {
	summary := &message{kind: kindSummary}
	for b, h := range msg.hashes {
		if uint32(h) == uint32(m.digest[b]) {
			continue
		}
		if len(summary.hashes)+len(m.buckets[b]) > maxSummaryHashes && len(summary.buckets) > 0 {
			m.sendSummary(msg.replyTo, summary)
			summary = &message{kind: kindSummary}
		}
		summary.buckets = append(summary.buckets, byte(b))
		for _, e := range m.buckets[b] {
			if e.hash != 0 && len(summary.hashes) < maxSummaryHashes {
				summary.hashes = append(summary.hashes, e.hash)
			}
		}
	}
	if len(summary.buckets) > 0 {
		m.sendSummary(msg.replyTo, summary)
		m.syncSoon()
	}
}

// syncSoon brings the next round of anti-entropy forward: if two views differ,
// others are likely to differ too.
func (m *Machine) syncSoon() {
	m.nextSync = min(m.nextSync, m.now+fastSyncInterval+m.jitter(fastSyncInterval))
}

func (m *Machine) sendSummary(address string, summary *message) {
	m.startMessage(summary)
	if m.takeBulkTokens() {
		m.flush(address)
	}
}

// onSummary sends the records that the peer lacks and requests those that this
// node lacks.
func (m *Machine) onSummary(msg *message) {
	peerHashes := make(map[uint64]struct{}, len(msg.hashes))
	for _, h := range msg.hashes {
		peerHashes[h] = struct{}{}
	}
	var send []*entry
	for _, b := range msg.buckets {
		for _, e := range m.buckets[b] {
			if e.hash == 0 {
				continue
			}
			if _, ok := peerHashes[e.hash]; ok {
				delete(peerHashes, e.hash)
			} else {
				send = append(send, e)
			}
		}
	}
	wanted := make([]uint64, 0, len(peerHashes))
	for h := range peerHashes {
		wanted = append(wanted, h)
	}
	slices.Sort(wanted) // so that runs with the same seed are identical
	if len(send)+len(wanted) > 0 {
		m.syncSoon()
	}
	m.sendRecords(msg.replyTo, send)
	if len(wanted) > 0 {
		m.startMessage(&message{kind: kindWant, hashes: wanted})
		m.flush(msg.replyTo)
	}
}

func (m *Machine) onWant(msg *message) {
	var send []*entry
	for _, h := range msg.hashes {
		for _, e := range m.buckets[byte(h>>56)] {
			if e.hash == h {
				send = append(send, e)
			}
		}
	}
	m.sendRecords(msg.replyTo, send)
}
