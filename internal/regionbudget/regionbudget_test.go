package regionbudget

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "parsleyturn/internal/rapidseed"
)

// Property tests run with a fixed seed unless -rapid.seed is given.
func init() { _ = flag.Set("rapid.seed", "20261204") }

type sentChunk struct {
	at    time.Duration
	bytes float64
}

type reservedChunk struct {
	sentChunk
	reservation Reservation
}

// Guards against nodes that together send more than the capacity of the link,
// because each accounts only for its own share: in the intervals from about 50
// of the chunks to each later one, the total stays within the capacity plus one
// burst or chunk per node and bucket.
func TestTotalRateStaysWithinCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "nodes")
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		largest := rapid.IntRange(1, MaxChunk).Draw(t, "largest chunk")
		var chunks []sentChunk
		burstAllowance := 0.0
		for range n {
			b := New(Config{})
			b.SetOtherNodes(0, n-1)
			low, high := b.StartTransfer(0, 1, 1<<20), b.StartTransfer(0, 9, 1<<20)
			now, reserved := time.Duration(0), []reservedChunk(nil)
			for range 80 {
				now += time.Duration(rnd.Int64N(int64(20 * time.Millisecond)))
				tr, bytes := low, 1+rnd.IntN(largest)
				if rnd.IntN(2) == 0 {
					tr = high
				}
				r := tr.Reserve(now, bytes)
				reserved = append(reserved, reservedChunk{sentChunk{now + r.Wait, float64(bytes)}, r})
				if i := rnd.IntN(len(reserved)); rnd.IntN(2) == 0 && reserved[i].at > now {
					b.Cancel(now, reserved[i].reservation)
					reserved = slices.Delete(reserved, i, i+1)
				}
			}
			for _, k := range reserved {
				chunks = append(chunks, k.sentChunk)
			}
			burstAllowance += max(b.common.burst, float64(largest)) + max(b.reserve.burst, float64(largest))
		}
		slices.SortFunc(chunks, func(a, b sentChunk) int { return int(a.at - b.at) })
		for i := 0; i < len(chunks); i += 1 + len(chunks)/50 {
			sum := 0.0
			for _, s := range chunks[i:] {
				sum += s.bytes
				if allowed := 30e6/8*(s.at-chunks[i].at).Seconds() + burstAllowance; sum > allowed*(1+1e-9) {
					t.Fatalf("%.0f bytes sent in %v, %.0f allowed", sum, s.at-chunks[i].at, allowed)
				}
			}
		}
	})
}

// Guards against downloads that are refused halfway, that exceed the node's
// share, or that leave part of it unused because chunks wait too long.
func TestDownloadIsPaced(t *testing.T) {
	b := New(Config{})
	b.SetOtherNodes(0, 9)
	size, now := 2<<20, time.Duration(0)
	tr := b.StartTransfer(now, 1, size)
	for left := size; left > 0; left -= b.ChunkSize() {
		now += tr.Reserve(now, min(left, b.ChunkSize())).Wait
	}
	tr.End(now)
	ideal := float64(size) / (30e6 / 8 * 0.9 / 10)
	assert.Assert(t, now.Seconds() < ideal*1.01 && now.Seconds() > ideal*0.95, "download took %v, expected about %.2f s", now, ideal)
}

// Guards against a chunk of high priority that waits for the chunks reserved by
// downloads, and against low priorities that use the reserve.
func TestHighPriorityUsesReserve(t *testing.T) {
	b := New(Config{})
	download := b.StartTransfer(0, 1, 10<<20)
	for range 200 {
		download.Reserve(0, MaxChunk)
	}
	assert.Assert(t, !b.MaySend(0, 1, 1000, time.Minute))
	assert.Assert(t, b.MaySend(0, 8, 1000, time.Second))
	assert.Equal(t, b.StartTransfer(0, 8, 1000).Reserve(0, 1000).Wait, time.Duration(0))
	assert.Assert(t, b.StartTransfer(0, 7, 1000).Reserve(0, 1000).Wait > 500*time.Millisecond)
}

// Guards against starting more downloads than can be completed in time: each
// reserves only one chunk in advance, so the wait for the first chunk does not
// reveal how much the others have yet to send.
func TestMaySendCountsStartedTransfers(t *testing.T) {
	b := New(Config{})
	started := 0
	for b.MaySend(0, 1, 5<<20, 10*time.Second) {
		b.StartTransfer(0, 1, 5<<20)
		started++
	}
	assert.Equal(t, started, 6, "3.375 MB/s for 10 s are enough for six transfers of 5 MiB")
}

// Guards against InUse turning false in every pause between uses: gossip carries
// it as a flag of the node, and each change of the flag changes the shares of all
// nodes.
func TestInUseOutlastsPauses(t *testing.T) {
	b := New(Config{})
	assert.Assert(t, !b.InUse(0))
	b.Charge(time.Second, 1, 100)
	assert.Assert(t, b.InUse(time.Second) && b.InUse(60*time.Second) && !b.InUse(61*time.Second))
	tr := b.StartTransfer(100*time.Second, 1, 100)
	assert.Assert(t, b.InUse(300*time.Second), "a transfer that has not ended must count as use")
	tr.End(300 * time.Second)
	assert.Assert(t, b.InUse(359*time.Second) && !b.InUse(360*time.Second))
}

// Guards against capacity that accumulated at a larger share and is used after
// nodes have joined, and against a share that stays small after they have left.
func TestNodeCountChanges(t *testing.T) {
	b := New(Config{})
	b.SetOtherNodes(time.Second, 99)
	total := 0
	for b.StartTransfer(time.Second, 1, 0).Reserve(time.Second, 100).Wait == 0 {
		total += 100
	}
	share := 30e6 / 8 * 0.9 / 100
	assert.Assert(t, float64(total) <= share*0.1, "%d bytes sent without waiting", total)
	b.SetOtherNodes(time.Second, 0)
	assert.Assert(t, b.StartTransfer(time.Second, 1, 0).Reserve(2*time.Second, 300000).Wait == 0)
}

// BenchmarkDecision measures MaySend and one reserved chunk.
func BenchmarkDecision(b *testing.B) {
	budget := New(Config{})
	budget.SetOtherNodes(0, 9)
	tr := budget.StartTransfer(0, 1, 1<<30)
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += 10 * time.Millisecond
		budget.MaySend(now, 1, 1000, time.Second)
		tr.Reserve(now, 1000)
	}
}

// Guards against a refund for canceled chunks although chunks that were reserved
// after them keep their times: the refunded bytes would be reserved again for the
// same time, which doubles the rate. TestTotalRateStaysWithinCapacity does not
// detect this fault.
func TestCancelDoesNotDoubleTheRate(t *testing.T) {
	b := New(Config{})
	b.SetOtherNodes(0, 99)
	tr := b.StartTransfer(0, 1, 1<<20)
	var reserved []Reservation
	for range 20 {
		reserved = append(reserved, tr.Reserve(0, 4<<10))
	}
	for _, r := range reserved[:10] {
		b.Cancel(0, r)
	}
	next := tr.Reserve(0, 4<<10)
	assert.Assert(t, next.Wait > reserved[19].Wait)
	b.Cancel(0, next)
	assert.Equal(t, tr.Reserve(0, 4<<10).Wait, next.Wait, "the bytes of the latest reservation must be returned")
}
