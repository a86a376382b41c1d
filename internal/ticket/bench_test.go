package ticket

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkDedupStoreMemory measures the memory per used ticket with a recorded
// response of 200 bytes, and the time to fill a store.
func BenchmarkDedupStoreMemory(b *testing.B) {
	for _, n := range []int{1000, 3000, 10000, 30000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				before := heapInUse()
				store := fillStore(n)
				b.ReportMetric(float64(heapInUse()-before)/float64(n), "B/ticket")
				runtime.KeepAlive(store)
			}
		})
	}
}

func fillStore(n int) *DedupStore {
	store := NewDedupStore(10*time.Minute, 64<<20)
	for i := range n {
		c := Claims{NodeID: "n", Number: uint64(i + 1), ExpiresMicros: (30 * time.Second).Microseconds()}
		store.Use(0, c)
		store.Finish(c, Done, &Response{Status: 200, Headers: [][2]string{{"Content-Type", "text/plain"}}, Body: make([]byte, 200)})
	}
	return store
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
