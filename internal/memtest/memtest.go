// Package memtest measures the memory of a test process while other processes send
// bytes to the code under test.
package memtest

import (
	"io"
	"net"
	"runtime"
	"runtime/debug"
	"sync"
	"testing"
	"time"
)

const (
	// MachineBytes is the memory of the smallest machine that the users name, 184 MB.
	MachineBytes = 184 << 20
	// Bound is the memory that one kind of sender may take at most, so that a node
	// with its own 60 MB and a second kind of sender at the same time stay within
	// MachineBytes.
	Bound = (MachineBytes - 60<<20) / 2

	sampleInterval = 2 * time.Millisecond
)

// SkipIfShort skips a test in the run with the race detector, which takes several times
// the memory.
func SkipIfShort(tb testing.TB) {
	tb.Helper()
	if testing.Short() {
		tb.Skip("memory is measured without the race detector")
	}
}

// Peak runs f and returns by how many bytes the memory of the process grew meanwhile
// at most. Memory that f leaves behind counts; what the process had before does not.
// As in a node that is close to its memory limit, the garbage collector works towards
// one, so that the growth is that of the memory in use.
func Peak(tb testing.TB, f func()) int64 {
	tb.Helper()
	runtime.GC()
	debug.FreeOSMemory()
	before := inUse()
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(before + Bound*3/4))
	peak := before
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			peak = max(peak, inUse())
			select {
			case <-stop:
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	f()
	close(stop)
	<-done
	return peak - before
}

// inUse returns the memory that the process holds from the operating system.
func inUse() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.Sys - m.HeapReleased)
}

// Flood writes prefix and then filler without end to a connection, until it is closed
// or the deadline has passed, and returns the number of bytes written. It allocates
// nothing while it writes.
func Flood(c net.Conn, prefix, filler string, deadline time.Time) int64 {
	_ = c.SetDeadline(deadline)
	n, err := io.WriteString(c, prefix)
	total := int64(n)
	block := floodBlock(filler)
	for err == nil {
		n, err = c.Write(block)
		total += int64(n)
	}
	return total
}

var (
	blocksMu sync.Mutex
	blocks   = map[string][]byte{}
)

// floodBlock returns filler repeated to at least 16 KiB.
func floodBlock(filler string) []byte {
	blocksMu.Lock()
	defer blocksMu.Unlock()
	if b, ok := blocks[filler]; ok {
		return b
	}
	var b []byte
	for len(b) < 16<<10 {
		b = append(b, filler...)
	}
	blocks[filler] = b
	return b
}
