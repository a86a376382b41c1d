package link

import (
	"context"
	"io"
	"net"
	"runtime"
	"strconv"
	"testing"

	"parsleyturn/internal/wire"
)

// BenchmarkRoundTrip measures one short call over an idle connection.
func BenchmarkRoundTrip(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	hello := func() wire.Hello { return wire.Hello{Protocol: wire.ProtocolVersion, NodeID: "n1"} }
	body := make([]byte, 1000)
	srv := &Server{Hello: hello, Timeouts: DefaultTimeouts(), Handler: func(s *Stream) {
		_ = s.RespondComplete(&wire.Response{Status: 200}, body, wire.End{})
	}}
	go func() { _ = srv.Serve(l) }()
	defer srv.Close()
	pool := &Pool{Hello: hello, Timeouts: DefaultTimeouts()}
	defer pool.Close()
	c, err := pool.Get(context.Background(), l.Addr().String(), "n1")
	if err != nil {
		b.Fatal(err)
	}
	buf := make([]byte, 4096)
	b.ReportAllocs()
	for b.Loop() {
		s, err := c.Open(context.Background(), &wire.Request{ID: "r", Kind: "browse", Path: "/directory/x"}, nil, false)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := s.Response(); err != nil {
			b.Fatal(err)
		}
		for err == nil {
			_, err = s.Read(buf)
		}
		if err != io.EOF {
			b.Fatal(err)
		}
		s.Close()
	}
}

// BenchmarkConnectionMemory measures the memory per idle connection, of both
// sides together, after one call on each.
func BenchmarkConnectionMemory(b *testing.B) {
	for _, n := range []int{100, 300, 1000, 3000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			for b.Loop() {
				measureConnections(b, n)
			}
		})
	}
}

func measureConnections(b *testing.B, n int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	hello := func() wire.Hello { return wire.Hello{Protocol: wire.ProtocolVersion, NodeID: "n1"} }
	srv := &Server{Hello: hello, Timeouts: DefaultTimeouts(), Handler: func(s *Stream) {
		_ = s.RespondComplete(&wire.Response{Status: 200}, make([]byte, 1000), wire.End{})
	}}
	go func() { _ = srv.Serve(l) }()
	defer srv.Close()
	before := memoryInUse()
	pools := make([]*Pool, n) // one connection each, as if from n peers
	for i := range pools {
		pools[i] = &Pool{Hello: hello, Timeouts: DefaultTimeouts()}
		defer pools[i].Close()
		c, err := pools[i].Get(context.Background(), l.Addr().String(), "n1")
		if err != nil {
			b.Fatal(err)
		}
		s, err := c.Open(context.Background(), &wire.Request{ID: "r"}, nil, false)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, s); err != nil {
			b.Fatal(err)
		}
		s.Close()
	}
	b.ReportMetric(float64(memoryInUse()-before)/float64(n), "B/conn")
}

// memoryInUse returns the size of heap and stacks after a garbage collection.
func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
