package configdist

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/configstore"
	"parsleyturn/internal/policy"
)

var sizes = []int{10, 30, 110, 330}

// sampleFilesWithKinds returns n files, each with one service and four
// request kinds.
func sampleFilesWithKinds(n int, changed string) []policy.File {
	files := sampleFiles(n, changed)
	for i := range files {
		for k := range 3 {
			files[i].Content = fmt.Appendf(files[i].Content,
				"\n[kind.s%d-k%d]\nservice = \"s%d\"\npath_prefix = \"/s%d/k%d/\"\nmethods = [\"GET\", \"HEAD\"]\npriority = %d\ndeadline_ms = 2000\nretries = 3\nshare = 1.5\n",
				i, k, i, i, k, 1+k)
		}
	}
	return files
}

// BenchmarkAdopt measures the time to hash, parse and adopt a configuration, and
// the heap size of the active configuration.
func BenchmarkAdopt(b *testing.B) {
	for _, n := range sizes {
		files := sampleFilesWithKinds(n, "")
		manifest := configstore.NewManifest(files)
		b.Run(fmt.Sprintf("files=%d", n), func(b *testing.B) {
			var version uint64
			s := &Service{}
			for b.Loop() {
				version++
				_, err := s.Adopt(configstore.Record{Version: version, Manifest: manifest}, files)
				assert.NilError(b, err)
			}
			b.ReportMetric(configHeapBytes(b, n), "B/config")
		})
	}
}

// configHeapBytes returns the heap size of one configuration, including the
// content of its files.
func configHeapBytes(b *testing.B, n int) float64 {
	const copies = 20
	services := make([]*Service, copies)
	before := heapBytes()
	for i := range services {
		files := sampleFilesWithKinds(n, "")
		services[i] = &Service{}
		_, err := services[i].Adopt(configstore.Record{Version: 1, Manifest: configstore.NewManifest(files)}, files)
		assert.NilError(b, err)
	}
	after := heapBytes()
	runtime.KeepAlive(services)
	return float64(after-before) / copies
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

type countingConn struct {
	net.Conn
	n *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.n.Add(int64(n))
	return n, err
}

type countingListener struct {
	net.Listener
	n *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.n}, err
}

// BenchmarkOneFileChange measures the fetch of a version with one changed file
// from a peer. B/change counts the TCP payload in both directions, including
// HTTP headers.
func BenchmarkOneFileChange(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("files=%d", n), func(b *testing.B) {
			var bytes atomic.Int64
			source, sink := &Service{}, &Service{}
			mux := http.NewServeMux()
			source.Mount(mux)
			h := httptest.NewUnstartedServer(mux)
			h.Listener = countingListener{h.Listener, &bytes}
			h.Start()
			defer h.Close()
			version := uint64(0)
			adoptNext := func() {
				version++
				files := sampleFilesWithKinds(n, fmt.Sprintf("deadline_ms = %d\n", 1000+version%1000))
				_, err := source.Adopt(configstore.Record{Version: version, ChangeID: configstore.NewChangeID(), Manifest: configstore.NewManifest(files)}, files)
				assert.NilError(b, err)
			}
			fetch := func() {
				assert.NilError(b, sink.fetchFrom(context.Background(), Action{Version: version, Peer: h.Listener.Addr().String()}))
			}
			sink.init()
			adoptNext()
			fetch()
			bytes.Store(0)
			for b.Loop() {
				b.StopTimer()
				adoptNext()
				b.StartTimer()
				fetch()
			}
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "B/change")
		})
	}
}
