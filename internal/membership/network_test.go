package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// network simulates a network between machines in protocol time.
type network struct {
	now          time.Duration
	rng          *rand.Rand
	peers        []*peer
	byAddr       map[string]*peer
	queue        deliveries
	loss         float64
	duplication  float64
	delay        time.Duration
	partitioned  func(a, b *peer) bool
	sent         int
	bytes        int
	lastSequence uint64
	onPacket     func(to *peer, data []byte)
}

type peer struct {
	m       *Machine
	addr    string
	side    int
	paused  bool
	bytes   int
	crashed bool
	events  []Event
}

type delivery struct {
	at       time.Duration
	sequence uint64
	to       *peer
	data     []byte
	from     *peer
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].sequence < d[j].sequence
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	x := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return x
}

func testNode(i int) Node {
	ip := fmt.Sprintf("10.%d.%d.%d", 1+i/62500, i/250%250, 1+i%250)
	return Node{
		ID: fmt.Sprintf("node-%04d", i), Incarnation: 1764000000000, Version: 1,
		LinkAddr: ip + ":7001", GossipAddr: ip + ":7002", AdminAddr: ip + ":7003",
		Region: fmt.Sprintf("region-%d", i%6), Zone: fmt.Sprintf("region-%d-%c", i%6, 'a'+i%23%4),
		Service: fmt.Sprintf("service-%03d", i%110), Slots: 100,
	}
}

func newNetwork(seed uint64) *network {
	return &network{rng: rand.New(rand.NewPCG(seed, 1)), byAddr: map[string]*peer{}, delay: 30 * time.Millisecond}
}

func (n *network) add(node Node, seeds ...string) *peer {
	p := &peer{m: New(node, seeds, n.now, n.rng), addr: node.GossipAddr}
	n.peers = append(n.peers, p)
	n.byAddr[p.addr] = p
	return p
}

// fullNetwork returns a network of size machines whose views hold all of them.
func fullNetwork(size int, seed uint64) *network {
	n := newNetwork(seed)
	nodes := make([]Node, size)
	for i := range nodes {
		nodes[i] = testNode(i)
	}
	for _, self := range nodes {
		n.fillView(n.add(self, nodes[0].GossipAddr), nodes)
	}
	return n
}

func (n *network) fillView(p *peer, nodes []Node) {
	for _, node := range nodes {
		if p.m.entries[node.ID] == nil {
			p.m.insert(node)
		}
	}
	p.m.joined = true
	p.m.queue = newUpdateQueue()
	p.m.Events()
}

func (n *network) send(from *peer, packets []Packet) {
	for _, packet := range packets {
		n.sent++
		n.bytes += len(packet.Data)
		if from != nil {
			from.bytes += len(packet.Data)
		}
		to := n.byAddr[packet.To]
		if to == nil || to.crashed || n.rng.Float64() < n.loss {
			continue
		}
		copies := 1
		if n.rng.Float64() < n.duplication {
			copies = 2
		}
		for range copies {
			n.lastSequence++
			heap.Push(&n.queue, delivery{n.now + time.Millisecond + time.Duration(n.rng.Int64N(int64(n.delay))), n.lastSequence, to, packet.Data, from})
		}
	}
}

// run advances the time, delivers datagrams and ticks the machines every
// TickInterval.
func (n *network) run(d time.Duration) {
	for end := n.now + d; n.now < end; {
		n.now += TickInterval
		for n.queue.Len() > 0 && n.queue[0].at <= n.now {
			x := heap.Pop(&n.queue).(delivery)
			if x.to.paused || x.to.crashed || (n.partitioned != nil && n.partitioned(x.from, x.to)) {
				continue
			}
			if n.onPacket != nil {
				n.onPacket(x.to, x.data)
			}
			now := n.now
			n.now = x.at // responses are sent when the datagram arrives
			out, err := x.to.m.Receive(max(x.at, x.to.m.lastCall), n.rng, x.data)
			if err != nil {
				panic(err)
			}
			n.send(x.to, out)
			n.now = now
		}
		for _, p := range n.peers {
			if !p.paused && !p.crashed {
				n.send(p, p.m.Tick(n.now, n.rng))
				p.events = append(p.events, p.m.Events()...)
			}
		}
	}
}

// runUntil advances the time until done returns true, by at most limit.
func (n *network) runUntil(limit time.Duration, done func() bool) (time.Duration, bool) {
	start := n.now
	for n.now-start < limit {
		if done() {
			return n.now - start, true
		}
		n.run(TickInterval)
	}
	return n.now - start, done()
}

// converged reports whether the live nodes in the view of every running machine
// are exactly the running machines, with their current records.
func (n *network) converged() bool {
	running := 0
	var first *Machine
	for _, p := range n.peers {
		if p.crashed {
			continue
		}
		if first == nil {
			first = p.m
		}
		// Comparing the digests first is faster for large networks.
		if p.m.digest != first.digest {
			return false
		}
		running++
	}
	for _, p := range n.peers {
		if p.crashed {
			continue
		}
		if p.m.liveCount != running {
			return false
		}
		for _, q := range n.peers {
			if e := p.m.entries[q.m.self.node.ID]; !q.crashed && (e == nil || e.node != q.m.self.node) {
				return false
			}
		}
	}
	return true
}

// allLive reports whether all machines are live in all views.
func (n *network) allLive() bool {
	for _, p := range n.peers {
		if p.m.liveCount != len(n.peers) {
			return false
		}
	}
	return true
}
