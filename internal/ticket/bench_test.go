package ticket

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkLedgerMemory measures the memory of used tickets whose recorded
// answers are 200 bytes long, and the time of one use.
func BenchmarkLedgerMemory(b *testing.B) {
	for _, n := range []int{1000, 3000, 10000, 30000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				before := heapInUse()
				l := fill(n)
				b.ReportMetric(float64(heapInUse()-before)/float64(n), "B/ticket")
				runtime.KeepAlive(l)
			}
		})
	}
}

func fill(n int) *DedupStore {
	l := NewDedupStore(10*time.Minute, 64<<20)
	for i := range n {
		c := Claims{NodeID: "n", Number: uint64(i + 1), ExpiresMicros: (30 * time.Second).Microseconds()}
		l.Use(0, c)
		l.Finish(c, Done, &Response{Status: 200, Headers: [][2]string{{"Content-Type", "text/plain"}}, Body: make([]byte, 200)})
	}
	return l
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
