package membership

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

// cell is a cell of an invertible Bloom filter of entry hashes.
type cell struct {
	count    int32
	sum      uint64
	checksum uint32
}

// cellBytes is the size of a cell on the wire: a 2-byte count, an 8-byte sum
// and a 4-byte checksum.
const cellBytes = 14

func seededHash(h uint64, seed uint64) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], h)
	d := xxhash.NewWithSeed(seed)
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// updateCells adds a hash to three cells, one in each third, or removes it.
func updateCells(cells []cell, h uint64, by int32) {
	third := uint64(len(cells) / 3)
	for i := range uint64(3) {
		c := &cells[i*third+seededHash(h, i+1)%third]
		c.count += by
		c.sum ^= h
		c.checksum ^= uint32(seededHash(h, 9))
	}
}

func sketch(hashes []uint64, size int) []cell {
	cells := make([]cell, size)
	for _, h := range hashes {
		updateCells(cells, h, 1)
	}
	return cells
}

// difference returns the hashes that are in only one of two sketches. ok is
// false if the sketches are too small to decode the difference.
func difference(a, b []cell) (onlyA, onlyB []uint64, ok bool) {
	d := make([]cell, len(a))
	for i := range d {
		d[i] = cell{a[i].count - b[i].count, a[i].sum ^ b[i].sum, a[i].checksum ^ b[i].checksum}
	}
	for found := true; found; {
		found = false
		for _, c := range d {
			if (c.count != 1 && c.count != -1) || uint32(seededHash(c.sum, 9)) != c.checksum {
				continue
			}
			if c.count == 1 {
				onlyA = append(onlyA, c.sum)
			} else {
				onlyB = append(onlyB, c.sum)
			}
			updateCells(d, c.sum, -c.count)
			found = true
		}
	}
	for _, c := range d {
		if c != (cell{}) {
			return nil, nil, false
		}
	}
	return onlyA, onlyB, true
}

// bloom returns a Bloom filter with 8 bits per hash and four hash functions.
func bloom(hashes []uint64) []byte {
	bits := make([]byte, max(1, len(hashes)))
	for _, h := range hashes {
		for i := range uint64(4) {
			at := seededHash(h, 20+i) % uint64(8*len(bits))
			bits[at/8] |= 1 << (at % 8)
		}
	}
	return bits
}

// estimateMissing estimates how many hashes are not in the set of a Bloom
// filter, correcting for false positives.
func estimateMissing(bits []byte, hashes []uint64) int {
	set, out := 0, 0
	for _, b := range bits {
		for ; b != 0; b &= b - 1 {
			set++
		}
	}
	for _, h := range hashes {
		for i := range uint64(4) {
			at := seededHash(h, 20+i) % uint64(8*len(bits))
			if bits[at/8]&(1<<(at%8)) == 0 {
				out++
				break
			}
		}
	}
	fill := float64(set) / float64(8*len(bits))
	return int(float64(out) / (1 - fill*fill*fill*fill))
}

func entryHashes(m *Machine) (out []uint64) {
	for _, id := range m.ids {
		out = append(out, m.entries[id].hash)
	}
	return out
}

// differingViews returns two machines whose views differ in the given number of
// entries. Half of these are newer in the first view, half in the second.
func differingViews(size, differing int) (*network, *Machine, *Machine) {
	n := newNetwork(1)
	nodes := make([]Node, size)
	for i := range nodes {
		nodes[i] = testNode(i)
	}
	a, b := n.add(nodes[0]), n.add(nodes[1])
	n.fillView(a, nodes)
	n.fillView(b, nodes)
	for i := range min(differing, size-2) {
		m := []*Machine{a.m, b.m}[i%2]
		e := m.entries[nodes[2+i].ID]
		next := e.node
		next.Version++
		m.set(e, next)
	}
	return n, a.m, b.m
}

// deliverAll delivers packets, and the packets sent in response, until none are
// left.
func deliverAll(n *network, packets []Packet) {
	n.delay = time.Millisecond
	n.send(nil, packets)
	for n.queue.Len() > 0 {
		x := n.queue[0]
		n.queue = n.queue[1:]
		out, err := x.to.m.Receive(n.now, n.rng, x.data)
		if err != nil {
			panic(err)
		}
		n.send(nil, out)
	}
}

func recordPackets(m *Machine, to *Machine, wanted []uint64) []Packet {
	var entries []*entry
	for _, h := range wanted {
		for _, e := range m.buckets[byte(h>>56)] {
			if e.hash == h {
				entries = append(entries, e)
			}
		}
	}
	m.sendRecords(to.self.node.GossipAddr, entries)
	return m.endCall()
}

// BenchmarkReconcileViews compares methods to reconcile two views after a
// partition: the full state, bucket hashes, and an invertible Bloom filter.
func BenchmarkReconcileViews(b *testing.B) {
	methods := []struct {
		name string
		run  func(n *network, x, y *Machine) (extra int)
	}{
		{"full", func(n *network, x, y *Machine) int {
			deliverAll(n, recordPackets(x, y, entryHashes(x)))
			deliverAll(n, recordPackets(y, x, entryHashes(y)))
			return 0
		}},
		{"buckets", func(n *network, x, y *Machine) int {
			x.sendDigest(y.self.node.GossipAddr)
			deliverAll(n, x.endCall())
			return 0
		}},
		{"sketch", func(n *network, x, y *Machine) int {
			hx, hy := entryHashes(x), entryHashes(y)
			filter := bloom(hx)
			extra := len(filter)
			// A record that was updated counts as missing on both sides.
			for size := 3 * (estimateMissing(filter, hy) + 8); ; size *= 2 {
				extra += size * cellBytes
				onlyX, onlyY, ok := difference(sketch(hx, size), sketch(hy, size))
				if !ok {
					continue
				}
				extra += 8 * len(onlyX) // the hashes that the other side has to send
				deliverAll(n, recordPackets(y, x, onlyY))
				deliverAll(n, recordPackets(x, y, onlyX))
				return extra
			}
		}},
	}
	for _, differing := range []int{20, 800} {
		for _, method := range methods {
			b.Run(fmt.Sprintf("differing=%d/%s", differing, method.name), func(b *testing.B) {
				forSizes(b, func(b *testing.B, size int) {
					b.StopTimer()
					n, x, y := differingViews(size, differing)
					b.StartTimer()
					start := cpuTime()
					extra := method.run(n, x, y)
					cpu := cpuTime() - start
					if x.digest != y.digest {
						b.Fatal("views differ")
					}
					b.ReportMetric(float64(n.bytes+extra), "B")
					b.ReportMetric(float64(cpu.Microseconds()), "us-cpu")
				})
			})
		}
	}
}
