package membership

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "parsleyturn/internal/rapidseed"
)

func states(n *network, id string) map[State]int {
	out := map[State]int{}
	for _, p := range n.peers {
		if e := p.m.entries[id]; e != nil && !p.crashed {
			out[e.node.State]++
		}
	}
	return out
}

// Guards against views that never converge when all nodes start at once with
// one seed. The network loses, duplicates and reorders datagrams.
func TestJoinConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.Uint64().Draw(t, "seed"))
		n.loss = rapid.Float64Range(0, 0.2).Draw(t, "loss")
		n.duplication = rapid.Float64Range(0, 0.2).Draw(t, "twice")
		n.delay = time.Duration(rapid.IntRange(1, 200).Draw(t, "delay ms")) * time.Millisecond
		for i := range rapid.IntRange(2, 24).Draw(t, "size") {
			n.add(testNode(i), testNode(0).GossipAddr)
		}
		n.run(40 * time.Second)
		n.loss = 0
		took, ok := n.runUntil(2*time.Minute, n.converged)
		assert.Assert(t, ok, "views differ after %s", took)
	})
}

// One node crashes and another announces that it leaves. Guards against a
// crashed node that stays live, a node that left but is recorded as lost, and a
// live node that is declared lost.
func TestCrashAndLeave(t *testing.T) {
	n := fullNetwork(40, 1)
	n.run(5 * time.Second)
	n.peers[3].crashed = true
	n.send(n.peers[4], n.peers[4].m.Leave(n.now, n.rng))
	n.run(time.Second)
	n.peers[4].crashed = true
	took, ok := n.runUntil(30*time.Second, n.converged)
	assert.Assert(t, ok, "views differ after %s", took)
	assert.Equal(t, states(n, "node-0003")[Lost], 38)
	assert.Equal(t, states(n, "node-0004")[Left], 38)
	for _, p := range n.peers {
		for _, e := range p.events {
			if e.Node.State == Lost {
				assert.Equal(t, e.Node.ID, "node-0003")
			}
		}
	}
}

// One node wrongly suspects a live node. Guards against a refutation that is
// not sent or does not arrive in time, so that the live node is declared lost.
func TestSuspicionIsRefuted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := fullNetwork(rapid.IntRange(3, 20).Draw(t, "size"), rapid.Uint64().Draw(t, "seed"))
		observer, suspected := n.peers[1].m, n.peers[2].m
		n.run(time.Second)
		observer.changeState(observer.entries[suspected.self.node.ID], Suspect)
		n.run(time.Second)
		_, ok := n.runUntil(30*time.Second, n.converged)
		assert.Assert(t, ok)
		for _, p := range n.peers {
			for _, e := range p.events {
				assert.Assert(t, e.Node.State != Lost)
			}
		}
		assert.Assert(t, suspected.self.node.Version > 1)
	})
}

// Each side of a partition declares the nodes of the other side lost. Guards
// against views that keep these nodes lost after the partition has ended.
func TestPartitionHeals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(4, 24).Draw(t, "size")
		n := fullNetwork(size, rapid.Uint64().Draw(t, "seed"))
		split := rapid.IntRange(1, size-1).Draw(t, "split")
		for _, p := range n.peers[split:] {
			p.side = 1
		}
		n.partitioned = func(a, b *peer) bool { return a.side != b.side }
		n.run(time.Duration(rapid.IntRange(60, 240).Draw(t, "partition s")) * time.Second)
		lost := 0
		for _, e := range n.peers[0].m.entries {
			if e.node.State == Lost {
				lost++
			}
		}
		assert.Equal(t, lost, size-split)
		n.partitioned = nil
		took, ok := n.runUntil(3*time.Minute, n.converged)
		assert.Assert(t, ok, "views differ %s after the partition ended", took)
	})
}

// While a node receives nothing, it suspects the others, and their refutations do
// not reach it. Guards against nodes that it declares lost after the cut has ended,
// because they do not repeat a refutation.
func TestLostRefutationIsRepeated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := fullNetwork(rapid.IntRange(3, 20).Draw(t, "size"), rapid.Uint64().Draw(t, "seed"))
		deaf := n.peers[0]
		n.partitioned = func(_, to *peer) bool { return to == deaf }
		n.run(time.Duration(rapid.IntRange(1, 4).Draw(t, "cut s")) * time.Second)
		n.partitioned = nil
		n.run(2 * minSuspicion)
		for _, e := range deaf.events {
			assert.Assert(t, e.Kind != StateChanged || e.Node.State != Lost, "%s was declared lost", e.Node.ID)
		}
	})
}

// While a node receives nothing, it and the others declare each other lost. Guards
// against views that keep running nodes lost for much longer than the cut lasts:
// within stabilityBound of its end, all nodes must be known as live again.
func TestOneWayCutHealsQuickly(t *testing.T) {
	const stabilityBound = 4 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		n := fullNetwork(rapid.IntRange(3, 20).Draw(t, "size"), rapid.Uint64().Draw(t, "seed"))
		deaf := n.peers[0]
		n.partitioned = func(_, to *peer) bool { return to == deaf }
		n.run(time.Duration(rapid.IntRange(1, 30).Draw(t, "cut s")) * time.Second)
		n.partitioned = nil
		took, ok := n.runUntil(30*time.Second, n.allLive)
		assert.Assert(t, ok && took <= stabilityBound, "views still hold running nodes as lost %s after the cut ended", took)
	})
}

// A paused process processes no responses to its probes, while the other nodes
// suspect it. Guards against the process declaring the others lost when it
// resumes, and against its staying lost in their views.
func TestPauseAndResume(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := fullNetwork(rapid.IntRange(3, 20).Draw(t, "size"), rapid.Uint64().Draw(t, "seed"))
		n.run(5 * time.Second)
		p := n.peers[0]
		p.paused = true
		n.run(time.Duration(rapid.IntRange(3, 600).Draw(t, "pause s")) * time.Second)
		p.paused, p.events = false, nil
		took, ok := n.runUntil(time.Minute, n.converged)
		assert.Assert(t, ok, "views differ %s after the pause", took)
		for _, e := range p.events {
			assert.Assert(t, e.Node.State != Lost, "%s lost after the pause", e.Node.ID)
		}
	})
}

// A VM is replaced by a process with a higher incarnation, while delayed
// datagrams and a peer that was paused still carry the older record. Guards
// against views in which the older incarnation becomes live again.
func TestNoResurrection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := fullNetwork(rapid.IntRange(4, 16).Draw(t, "size"), rapid.Uint64().Draw(t, "seed"))
		var old [][]byte
		n.onPacket = func(_ *peer, data []byte) { old = append(old, data) }
		n.run(20 * time.Second)
		n.onPacket = nil
		stale, replaced := n.peers[1], n.peers[2]
		stale.paused = true
		replaced.crashed = true
		if rapid.Bool().Draw(t, "quick") {
			n.run(time.Second)
		} else {
			n.run(time.Minute)
		}
		next := replaced.m.self.node
		next.Incarnation, next.Version, next.Service = next.Incarnation+1, 1, "moved"
		if rapid.Bool().Draw(t, "other address") {
			next.GossipAddr = "10.9.9.9:7002"
		}
		n.add(next, n.peers[0].addr)
		n.run(20 * time.Second)
		stale.paused = false
		for _, data := range old {
			for _, p := range n.peers {
				if !p.crashed && n.rng.Float64() < 0.2 {
					out, err := p.m.Receive(n.now, n.rng, data)
					assert.NilError(t, err)
					n.send(p, out)
				}
			}
		}
		took, ok := n.runUntil(time.Minute, n.converged)
		assert.Assert(t, ok, "views differ after %s", took)
		for _, p := range n.peers {
			if p == stale || p.crashed {
				continue
			}
			newest := uint64(0)
			for _, e := range p.events {
				if e.Kind == StateChanged && e.Node.ID == next.ID {
					assert.Assert(t, e.Node.Incarnation >= newest)
					newest = e.Node.Incarnation
				}
			}
		}
	})
}

// Truncated, corrupted and random datagrams, some with a valid checksum, must
// not crash the node, and those that are rejected must not change its view.
func TestMalformedChangesNothing(t *testing.T) {
	n := fullNetwork(20, 1)
	var valid [][]byte
	n.onPacket = func(_ *peer, data []byte) { valid = append(valid, data) }
	n.peers[1].m.changeState(n.peers[1].m.entries["node-0002"], Suspect)
	n.add(testNode(50), testNode(0).GossipAddr)
	n.run(40 * time.Second)
	rapid.Check(t, func(t *rapid.T) {
		data := append([]byte(nil), rapid.SampledFrom(valid).Draw(t, "datagram")...)
		switch rapid.IntRange(0, 2).Draw(t, "fault") {
		case 0:
			data = data[:rapid.IntRange(0, len(data)-1).Draw(t, "length")]
		case 1:
			data[rapid.IntRange(0, len(data)-1).Draw(t, "at")] ^= rapid.Byte().Draw(t, "xor")
		default:
			data = rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "noise")
		}
		sealed := rapid.Bool().Draw(t, "valid checksum")
		if sealed {
			data = seal(data[:max(0, len(data)-checksumSize)])
		}
		m := n.peers[0].m
		before, config := m.Generation(), m.configVersion
		_, err := m.Receive(n.now, n.rng, data)
		if err == nil {
			if !sealed {
				_, err = unseal(data)
				assert.NilError(t, err)
			}
			return
		}
		var malformed *MalformedError
		assert.Assert(t, errors.As(err, &malformed), "%v", err)
		assert.Equal(t, m.Generation(), before)
		assert.Equal(t, m.configVersion, config)
	})
}

// Guards against records that differ after encoding and decoding. Addresses may
// be arbitrary text or IP addresses that do not round-trip in binary form.
func TestRecordRoundTrip(t *testing.T) {
	text := rapid.StringOfN(rapid.RuneFrom([]rune("ab:01é\x00")), 1, 20, maxString)
	address := rapid.OneOf(text, rapid.SampledFrom([]string{"", "10.0.0.1:80", "[2001:db8::1]:80", "010.0.0.1:80", "0.0.0.0:1", "[fe80::1%eth0]:9", "\x00abcde"}))
	rapid.Check(t, func(t *rapid.T) {
		n := Node{
			ID: text.Draw(t, "id"), Incarnation: rapid.Uint64Max(maxCounter).Draw(t, "incarnation"), Version: rapid.Uint64Max(maxCounter).Draw(t, "version"),
			LinkAddr: address.Draw(t, "link"), GossipAddr: address.Draw(t, "gossip"), AdminAddr: address.Draw(t, "admin"),
			Region: text.Draw(t, "region"), Zone: text.Draw(t, "zone"), Service: text.Draw(t, "service"),
			Slots: rapid.IntRange(0, maxSlots).Draw(t, "slots"), Cold: rapid.Bool().Draw(t, "cold"),
			Draining: rapid.Bool().Draw(t, "draining"), UsesRegionLink: rapid.Bool().Draw(t, "link use"),
			State: State(rapid.IntRange(0, int(Left)).Draw(t, "state")),
		}
		w := newWriter()
		w.record(&n, true)
		r := newReader(w.buf.Bytes())
		got := r.record()
		assert.Assert(t, r.err == nil, "%v", r.err)
		assert.DeepEqual(t, got.node, n)
	})
}

// Guards against datagrams larger than MaxDatagram, against a pull that omits
// live nodes, and against the removal of lost and left nodes at the wrong time
// or together with other entries.
func TestFullStateAndRemoval(t *testing.T) {
	n := fullNetwork(300, 3)
	n.onPacket = func(_ *peer, data []byte) { assert.Assert(t, len(data) <= MaxDatagram) }
	p := n.add(testNode(300), testNode(0).GossipAddr)
	_, ok := n.runUntil(5*time.Second, func() bool { return p.m.joined })
	assert.Assert(t, ok)
	assert.Equal(t, p.m.liveCount, 301)
	m := p.m
	m.changeState(m.entries["node-0007"], Lost)
	left := m.entries["node-0008"].node
	left.Version, left.State = left.Version+1, Left
	m.set(m.entries["node-0008"], left)
	m.now += leftRetention + time.Second
	m.removeExpired()
	_, ok = m.Node("node-0008")
	assert.Assert(t, !ok)
	m.now += lostRetention
	m.removeExpired()
	_, ok = m.Node("node-0007")
	assert.Assert(t, !ok)
	assert.Equal(t, len(m.ids), 299)
}
