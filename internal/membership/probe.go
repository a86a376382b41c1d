package membership

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// probe is the probe made in the current probe interval.
type probe struct {
	id       string
	seq      uint64
	sent     time.Duration
	indirect bool
}

// relay is an indirect probe that this node makes for another node.
type relay struct {
	origin  string
	seq     uint64
	subject string
	expires time.Duration
}

// maxRelays limits the memory for indirect probes in progress.
const maxRelays = 256

// Tick runs all timers that are due at now. It should be called every
// TickInterval.
func (m *Machine) Tick(now time.Duration, rng *rand.Rand) []Packet {
	m.beginCall(now, rng)
	m.ticked, m.rechecks = true, 0
	m.probeIndirectly()
	if now >= m.nextProbe {
		m.finishProbe()
		m.startProbe()
		m.nextProbe = m.nextDue(m.nextProbe, probeInterval)
	}
	m.expireSuspicions()
	m.pingOwnSuspects()
	m.tickDeposits()
	m.join()
	if now >= m.nextSync {
		m.startSync()
	}
	if now >= m.nextLostProbe {
		m.nextLostProbe = m.now + m.probeLost()
	}
	if now >= m.nextSeedProbe {
		m.seedDelay = min(2*m.seedDelay, seedProbeInterval)
		m.nextSeedProbe = now + m.seedDelay/2 + m.jitter(m.seedDelay)
		m.probeSeed()
	}
	if now >= m.nextCleanup {
		m.nextCleanup = m.nextDue(m.nextCleanup, cleanupInterval)
		m.removeExpired()
	}
	return m.endCall()
}

// nextDue returns the due time that follows due. The result is in the future
// even if ticks were late.
func (m *Machine) nextDue(due, interval time.Duration) time.Duration {
	if due += interval; due > m.now {
		return due
	}
	return m.now + interval
}

func (m *Machine) nextSeq() uint64 {
	m.seq++
	return m.seq
}

// startProbe pings the next live node of the round. Each round probes all nodes
// once in random order, which limits the time between two probes of a node.
func (m *Machine) startProbe() {
	for attempt := 0; attempt <= len(m.ids); attempt++ {
		if len(m.probeRound) == 0 {
			m.probeRound = append(m.probeRound, m.ids...)
			m.rng.Shuffle(len(m.probeRound), func(i, j int) { m.probeRound[i], m.probeRound[j] = m.probeRound[j], m.probeRound[i] })
		}
		id := m.probeRound[len(m.probeRound)-1]
		m.probeRound = m.probeRound[:len(m.probeRound)-1]
		if e := m.entries[id]; e != nil && e != m.self && e.node.State.Live() {
			m.probe = probe{id: id, seq: m.nextSeq(), sent: m.now}
			m.send(e.node.GossipAddr, &message{kind: kindPing, seq: m.probe.seq}, e)
			return
		}
	}
}

// probeIndirectly asks other nodes to ping the probed node if it has not
// acknowledged the direct ping within directTimeout.
func (m *Machine) probeIndirectly() {
	p := &m.probe
	if p.id == "" || p.indirect || m.now-p.sent < directTimeout {
		return
	}
	p.indirect = true
	e := m.entries[p.id]
	if e == nil {
		return
	}
	for _, via := range m.randomLive(indirectProbes, p.id) {
		m.send(via.node.GossipAddr, &message{kind: kindPingRequest, seq: p.seq, subject: p.id, address: e.node.GossipAddr}, via)
	}
}

// finishProbe suspects the probed node. An acknowledgement has cleared the
// probe before.
func (m *Machine) finishProbe() {
	e := m.entries[m.probe.id]
	m.probe = probe{}
	if e == nil || e.node.State != Alive {
		return
	}
	m.changeState(e, Suspect)
}

func (m *Machine) expireSuspicions() {
	var ended []string
	for id, deadline := range m.suspects {
		if m.now >= deadline {
			ended = append(ended, id)
		}
	}
	slices.Sort(ended) // so that runs with the same seed are identical
	for _, id := range ended {
		m.changeState(m.entries[id], Lost)
	}
}

// changeState sets a state that this node has determined itself and queues it
// as an update.
func (m *Machine) changeState(e *entry, s State) {
	n := e.node
	n.State = s
	m.set(e, n)
	m.queue.add(n.ID)
	if s == Suspect {
		m.ownSuspects[n.ID] = m.now
	}
}

// pingOwnSuspects pings, once a second, each node that this node suspects after
// its own probe failed. The ping tells the node of the suspicion earlier than
// gossip does. It is repeated, so that the node has time to refute even if one
// ping is lost.
func (m *Machine) pingOwnSuspects() {
	var due []string
	for id, next := range m.ownSuspects {
		if m.now >= next {
			due = append(due, id)
		}
	}
	slices.Sort(due) // so that runs with the same seed are identical
	for _, id := range due {
		if e := m.entries[id]; e != nil && e.node.State == Suspect {
			m.ownSuspects[id] = m.now + probeInterval
			m.ping(e)
		} else {
			delete(m.ownSuspects, id)
		}
	}
}

// probeLost pings random lost nodes and returns the time until the next probe. The
// ping carries the record to refute, so a node that is running again becomes live
// with its response.
func (m *Machine) probeLost() time.Duration {
	lost := make([]string, 0, len(m.notLive))
	age := time.Duration(math.MaxInt64)
	for id := range m.notLive {
		if e := m.entries[id]; e.node.State == Lost {
			lost = append(lost, id)
			age = min(age, m.now-e.stateSince)
		}
	}
	slices.Sort(lost) // so that runs with the same seed are identical
	m.rng.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
	for _, id := range lost[:min(lostProbes, len(lost))] {
		m.ping(m.entries[id])
	}
	if len(lost) == 0 {
		return minLostProbeInterval
	}
	return min(max(age/lostProbeAgeDivisor, minLostProbeInterval), lostProbeInterval)
}

func (m *Machine) ping(e *entry) {
	m.send(e.node.GossipAddr, &message{kind: kindPing, seq: m.nextSeq()}, e)
}

// probeSeed starts anti-entropy with a random seed whose address is not that of
// a live node. Nodes that start at the same time can form groups with separate
// views; this joins the groups, and also the parts of a healed partition.
func (m *Machine) probeSeed() {
	known := make(map[string]bool, len(m.entries))
	for _, e := range m.entries {
		known[e.node.GossipAddr] = known[e.node.GossipAddr] || e.node.State.Live()
	}
	var unknown []string
	for _, a := range m.seeds {
		if !known[a] {
			unknown = append(unknown, a)
		}
	}
	if len(unknown) > 0 {
		m.sendDigest(unknown[m.rng.IntN(len(unknown))])
	}
}

func (m *Machine) removeExpired() {
	for id := range m.notLive {
		e := m.entries[id]
		limit := lostRetention
		if e.node.State == Left {
			limit = leftRetention
		}
		if e != m.self && m.now-e.stateSince > limit {
			m.remove(id)
		}
	}
	for seq, r := range m.relays {
		if m.now > r.expires {
			delete(m.relays, seq)
		}
	}
}

func (m *Machine) onPingRequest(msg *message) {
	if len(m.relays) >= maxRelays {
		m.removeExpired()
		if len(m.relays) >= maxRelays {
			return
		}
	}
	seq := m.nextSeq()
	m.relays[seq] = relay{origin: msg.replyTo, seq: msg.seq, subject: msg.subject, expires: m.now + probeInterval}
	m.send(msg.address, &message{kind: kindPing, seq: seq}, m.entries[msg.subject])
}

func (m *Machine) onAck(msg *message) {
	if msg.seq == m.probe.seq && msg.from == m.probe.id {
		m.probe = probe{}
	}
	if r, ok := m.relays[msg.seq]; ok && r.subject == msg.from {
		delete(m.relays, msg.seq)
		m.send(r.origin, &message{kind: kindPingReply, seq: r.seq, subject: r.subject}, nil)
	}
}

func (m *Machine) onPingReply(msg *message) {
	if msg.seq == m.probe.seq && msg.subject == m.probe.id {
		m.probe = probe{}
	}
}
