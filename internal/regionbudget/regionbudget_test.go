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

type sent struct {
	at    time.Duration
	bytes float64
}

type booking struct {
	sent
	r Reservation
}

// Guards against nodes that together send more than the link carries: in every
// window the sum stays within the capacity and one burst or chunk per node and
// bucket.
func TestSumStaysWithinLink(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "nodes")
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		largest := rapid.IntRange(1, MaxChunk).Draw(t, "largest chunk")
		var log []sent
		extra := 0.0
		for range n {
			b := New(Config{})
			b.SetOtherNodes(0, n-1)
			low, high := b.StartTransfer(0, 1, 1<<20), b.StartTransfer(0, 9, 1<<20)
			now, booked := time.Duration(0), []booking(nil)
			for range 80 {
				now += time.Duration(rnd.Int64N(int64(20 * time.Millisecond)))
				tr, bytes := low, 1+rnd.IntN(largest)
				if rnd.IntN(2) == 0 {
					tr = high
				}
				r := tr.Reserve(now, bytes)
				booked = append(booked, booking{sent{now + r.Wait, float64(bytes)}, r})
				if i := rnd.IntN(len(booked)); rnd.IntN(2) == 0 && booked[i].at > now {
					b.Cancel(now, booked[i].r)
					booked = slices.Delete(booked, i, i+1)
				}
			}
			for _, k := range booked {
				log = append(log, k.sent)
			}
			extra += max(b.common.burst, float64(largest)) + max(b.reserve.burst, float64(largest))
		}
		slices.SortFunc(log, func(a, b sent) int { return int(a.at - b.at) })
		for i := 0; i < len(log); i += 1 + len(log)/50 {
			sum := 0.0
			for _, s := range log[i:] {
				sum += s.bytes
				if allowed := 30e6/8*(s.at-log[i].at).Seconds() + extra; sum > allowed*(1+1e-9) {
					t.Fatalf("%.0f bytes in %v, %.0f allowed", sum, s.at-log[i].at, allowed)
				}
			}
		}
	})
}

// Guards against downloads that are refused half way, or that do not use the
// share they have.
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
	assert.Assert(t, now.Seconds() < ideal*1.01 && now.Seconds() > ideal*0.95, "%v, ideal %.2f s", now, ideal)
}

// Guards against a booking that waits behind downloads, and against downloads
// that use the reserve.
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

// Guards against more downloads than can end in time: each has one chunk
// booked, so the backlog alone does not show them.
func TestMaySendCountsBegunTransfers(t *testing.T) {
	b := New(Config{})
	begun := 0
	for b.MaySend(0, 1, 5<<20, 10*time.Second) {
		b.StartTransfer(0, 1, 5<<20)
		begun++
	}
	assert.Equal(t, begun, 6, "3.375 MB/s for 10 s carry six times 5 MiB")
}

// Guards against a flag that follows every pause and changes all shares.
func TestUsesHasHysteresis(t *testing.T) {
	b := New(Config{})
	assert.Assert(t, !b.InUse(0))
	b.Charge(time.Second, 1, 100)
	assert.Assert(t, b.InUse(time.Second) && b.InUse(60*time.Second) && !b.InUse(61*time.Second))
	tr := b.StartTransfer(100*time.Second, 1, 100)
	assert.Assert(t, b.InUse(300*time.Second), "the transfer has not ended")
	tr.End(300 * time.Second)
	assert.Assert(t, b.InUse(359*time.Second) && !b.InUse(360*time.Second))
}

// Guards against a burst saved at a larger share that is spent after nodes
// have joined, and against a share that stays small after they left.
func TestNodeCountChanges(t *testing.T) {
	b := New(Config{})
	b.SetOtherNodes(time.Second, 99)
	total := 0
	for b.StartTransfer(time.Second, 1, 0).Reserve(time.Second, 100).Wait == 0 {
		total += 100
	}
	share := 30e6 / 8 * 0.9 / 100
	assert.Assert(t, float64(total) <= share*0.1, "%d bytes at once", total)
	b.SetOtherNodes(time.Second, 0)
	assert.Assert(t, b.StartTransfer(time.Second, 1, 0).Reserve(2*time.Second, 300000).Wait == 0)
}

// BenchmarkDecision measures MaySend and one reserved chunk.
func BenchmarkDecision(b *testing.B) {
	link := New(Config{})
	link.SetOtherNodes(0, 9)
	tr := link.StartTransfer(0, 1, 1<<30)
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += 10 * time.Millisecond
		link.MaySend(now, 1, 1000, time.Second)
		tr.Reserve(now, 1000)
	}
}

// Guards against canceled bytes that are booked again beside chunks which keep
// their later times. The random test above does not find this.
func TestCancelDoesNotDoubleTheRate(t *testing.T) {
	b := New(Config{})
	b.SetOtherNodes(0, 99)
	tr := b.StartTransfer(0, 1, 1<<20)
	var booked []Reservation
	for range 20 {
		booked = append(booked, tr.Reserve(0, 4<<10))
	}
	for _, r := range booked[:10] {
		b.Cancel(0, r)
	}
	next := tr.Reserve(0, 4<<10)
	assert.Assert(t, next.Wait > booked[19].Wait)
	b.Cancel(0, next)
	assert.Equal(t, tr.Reserve(0, 4<<10).Wait, next.Wait, "the last booking is free again")
}
