package configdist

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// BenchmarkSpread measures the time from a push to five nodes until all nodes
// have adopted the version, and the reads of the platform in that time. All
// nodes run in one process and poll as if there were 3,000. Instead of using
// the real gossip, a node announces an adopted version to four random nodes
// immediately, after 0.3 s and after 0.6 s.
func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{30, 100, 300} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			f := newFixture(b)
			var remaining atomic.Int64
			done := make(chan struct{}, 1)
			nodes := f.startMesh(n, func() {
				if remaining.Add(-1) == 0 {
					done <- struct{}{}
				}
			})
			version := uint64(0)
			spread := func() {
				files := sampleFilesWithKinds(110, fmt.Sprintf("deadline_ms = %d\n", 1000+version))
				rec := f.acceptVersion(version, files)
				version++
				remaining.Store(int64(n))
				for _, node := range nodes[:5] {
					_, err := node.Adopt(rec, files)
					assert.NilError(b, err)
				}
				<-done
			}
			spread()
			before := f.server.Counts().Reads
			for b.Loop() {
				spread()
			}
			b.ReportMetric(float64(f.server.Counts().Reads-before)/float64(b.N), "platform-reads/change")
		})
	}
}

func (f *fixture) startMesh(n int, onAdopt func()) []*node {
	nodes, addrs := make([]*node, n), make([]string, n)
	for i := range nodes {
		s := f.newNode(addrs...)
		s.LiveNodes = func() int { return 3000 }
		s.OnAdopt = func(version uint64) {
			onAdopt()
			for _, delay := range []time.Duration{0, 300 * time.Millisecond, 600 * time.Millisecond} {
				time.AfterFunc(delay, func() {
					for range 4 {
						nodes[rand.IntN(n)].ObservePeerVersion(version, s.addr)
					}
				})
			}
		}
		nodes[i], addrs[i] = s, s.addr
	}
	for _, s := range nodes {
		f.startNode(s)
	}
	return nodes
}
