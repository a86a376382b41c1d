package membership

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"
)

var sizes = []int{100, 300, 1000, 3000}

func forSizes(b *testing.B, run func(b *testing.B, size int)) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			for range b.N {
				run(b, size)
			}
		})
	}
}

func heapBytes() uint64 {
	var s runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

// cpuTime returns the CPU time of the process. Other load on the machine
// affects it less than elapsed time.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// decodedNodes returns nodes that were encoded and decoded, so that their
// strings share no memory.
func decodedNodes(size int) []Node {
	nodes := make([]Node, size)
	for i := range nodes {
		n := testNode(i)
		w := newWriter()
		w.record(&n, true)
		nodes[i] = newReader(w.buf.Bytes()).record().node
	}
	return nodes
}

// BenchmarkMemory reports the memory of one view and of the snapshot that
// package gossip publishes.
func BenchmarkMemory(b *testing.B) {
	forSizes(b, func(b *testing.B, size int) {
		n := newNetwork(1)
		before := heapBytes()
		m := New(testNode(0), nil, 0, n.rng)
		for _, node := range decodedNodes(size) {
			if m.entries[node.ID] == nil {
				m.insert(node)
			}
		}
		m.Events()
		view := heapBytes()
		nodes := m.Nodes()
		b.ReportMetric(float64(view-before), "B/view")
		b.ReportMetric(float64(heapBytes()-view), "B/snapshot")
		runtime.KeepAlive(m)
		runtime.KeepAlive(nodes)
	})
}

// BenchmarkProtocolSecond reports the CPU time of one machine for one second of
// protocol time: ten ticks, its own probe and a probe by another node, whose
// ping carries either no updates or 13, as many as fit. The CPU time includes
// encoding the other nodes' datagrams.
func BenchmarkProtocolSecond(b *testing.B) {
	for _, updates := range []int{0, 13} {
		b.Run(fmt.Sprintf("updates=%d", updates), func(b *testing.B) {
			for _, size := range sizes {
				b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) { runSeconds(b, size, updates) })
			}
		})
	}
}

func runSeconds(b *testing.B, size, updates int) {
	b.ReportAllocs()
	n := newNetwork(1)
	m := n.add(testNode(0)).m
	for i := 1; i < size; i++ {
		m.insert(testNode(i))
	}
	m.Events()
	w := newWriter()
	encode := func(msg message, version uint64, updates int) []byte {
		w.buf.Reset()
		w.header(&msg)
		for i := range updates {
			next := testNode(2 + i)
			next.Version = version
			w.record(&next, true)
		}
		return seal(append([]byte(nil), w.buf.Bytes()...))
	}
	start := cpuTime()
	for version := uint64(2); b.Loop(); version++ {
		for range 10 {
			n.now += TickInterval
			m.Tick(n.now, n.rng)
		}
		ack := message{kind: kindAck, from: m.probe.id, incarnation: 1, replyTo: testNode(1).GossipAddr, seq: m.probe.seq}
		ping := ack
		ping.kind, ping.from = kindPing, testNode(1).ID
		for _, data := range [][]byte{encode(ping, version, updates), encode(ack, 0, 0)} {
			if _, err := m.Receive(n.now, n.rng, data); err != nil {
				b.Fatal(err)
			}
		}
		m.Events()
	}
	b.ReportMetric(float64((cpuTime()-start).Microseconds())/float64(b.N), "us-cpu/s")
}

// BenchmarkTraffic reports the payload that a node sends per second of protocol
// time when idle, and the additional payload per replaced VM.
func BenchmarkTraffic(b *testing.B) {
	forSizes(b, func(b *testing.B, size int) {
		n := fullNetwork(size, 1)
		n.run(5 * time.Second)
		const seconds = 60
		measure := func(run func()) (bytes, datagrams float64) {
			n.bytes, n.sent = 0, 0
			run()
			return float64(n.bytes) / float64(size), float64(n.sent) / float64(size)
		}
		idleBytes, idleDatagrams := measure(func() { n.run(seconds * time.Second) })
		b.ReportMetric(idleBytes/seconds, "B/s/node")
		b.ReportMetric(idleDatagrams/seconds, "datagrams/s/node")
		const changes = 10
		changeBytes, changeDatagrams := measure(func() {
			for i := range changes {
				old := n.peers[size/2+i]
				old.crashed = true
				n.run(2 * time.Second)
				next := old.m.self.node
				next.Incarnation, next.Version = next.Incarnation+1, 1
				n.add(next, testNode(0).GossipAddr)
				n.run(4 * time.Second)
			}
		})
		b.ReportMetric((changeBytes-idleBytes)/changes, "B/change/node")
		b.ReportMetric((changeDatagrams-idleDatagrams)/changes, "datagrams/change/node")
		took, ok := n.runUntil(2*time.Minute, n.converged)
		if !ok {
			b.Errorf("views differ %s after the last change", took)
		}
		b.ReportMetric(took.Seconds(), "s-to-agree")
	})
}

// BenchmarkJoin reports the payload, protocol time and CPU time of one node
// joining by a full pull.
func BenchmarkJoin(b *testing.B) {
	forSizes(b, func(b *testing.B, size int) {
		n := newNetwork(1)
		nodes := make([]Node, size)
		for i := range nodes {
			nodes[i] = testNode(i)
		}
		seed := n.add(nodes[0])
		n.fillView(seed, nodes)
		joiner := n.add(testNode(size), seed.addr)
		start := cpuTime()
		took, _ := n.runUntil(time.Minute, func() bool { return joiner.m.liveCount == size+1 })
		b.ReportMetric(float64(n.bytes), "B")
		b.ReportMetric(took.Seconds(), "protocol-s")
		b.ReportMetric(float64((cpuTime() - start).Microseconds()), "us-cpu")
	})
}

// BenchmarkConfigSpread reports the time until a configuration version has
// reached all machines. Each machine adopts and announces it at its next tick.
func BenchmarkConfigSpread(b *testing.B) {
	for _, loss := range []float64{0, 0.05, 0.2} {
		b.Run(fmt.Sprintf("loss=%v", loss), func(b *testing.B) {
			forSizes(b, func(b *testing.B, size int) {
				n := fullNetwork(size, 1)
				n.run(3 * time.Second)
				n.loss, n.bytes = loss, 0
				n.send(n.peers[1], n.peers[1].m.AnnounceConfig(n.now, n.rng, 5))
				took, _ := n.runUntil(time.Minute, func() bool {
					reached := 0
					for _, p := range n.peers {
						for _, e := range p.events {
							if e.Kind == ConfigVersion {
								n.send(p, p.m.AnnounceConfig(n.now, n.rng, e.Version))
							}
						}
						p.events = nil
						if p.m.configVersion == 5 {
							reached++
						}
					}
					return reached == size
				})
				b.ReportMetric(took.Seconds(), "s-to-all")
				b.ReportMetric(float64(took/TickInterval), "ticks-to-all")
				b.ReportMetric(float64(n.bytes)/float64(size), "B/node")
			})
		})
	}
}

// BenchmarkPartitionHeal reports the time until all views agree after a
// partition that separated the nodes into two halves for two minutes.
func BenchmarkPartitionHeal(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			for range b.N {
				n := fullNetwork(size, 1)
				for _, p := range n.peers[size/2:] {
					p.side = 1
				}
				n.partitioned = func(x, y *peer) bool { return x.side != y.side }
				n.run(2 * time.Minute)
				n.partitioned = nil
				n.bytes = 0
				took, ok := n.runUntil(10*time.Minute, n.converged)
				if !ok {
					b.Errorf("views differ after %s", took)
				}
				b.ReportMetric(took.Seconds(), "s-to-agree")
				b.ReportMetric(float64(n.bytes)/float64(size)/took.Seconds(), "B/s/node")
			}
		})
	}
}

// BenchmarkColdStart reports the time until all views agree when all nodes
// start at once with five seeds, and the payload sent by the busiest node.
func BenchmarkColdStart(b *testing.B) {
	forSizes(b, func(b *testing.B, size int) {
		n := newNetwork(1)
		var seeds []string
		for i := range 5 {
			seeds = append(seeds, testNode(i).GossipAddr)
		}
		for i := range size {
			n.add(testNode(i), seeds...)
		}
		took, ok := n.runUntil(5*time.Minute, n.converged)
		if !ok {
			b.Errorf("views differ after %s", took)
		}
		busiest := 0
		for _, p := range n.peers {
			busiest = max(busiest, p.bytes)
		}
		b.ReportMetric(took.Seconds(), "s-to-agree")
		b.ReportMetric(float64(n.bytes)/float64(size), "B/node")
		b.ReportMetric(float64(busiest), "B/busiest-node")
	})
}

// BenchmarkFailureDetection reports the time until a crashed node is lost in
// the view of the first other machine, and in the views of all of them.
func BenchmarkFailureDetection(b *testing.B) {
	forSizes(b, func(b *testing.B, size int) {
		n := fullNetwork(size, 1)
		n.run(3 * time.Second)
		n.peers[size/2].crashed = true
		var first time.Duration
		start := n.now
		took, _ := n.runUntil(time.Minute, func() bool {
			lost := states(n, testNode(size/2).ID)[Lost]
			if first == 0 && lost > 0 {
				first = n.now - start
			}
			return lost == size-1
		})
		b.ReportMetric(first.Seconds(), "s-to-first")
		b.ReportMetric(took.Seconds(), "s-to-all")
	})
}
