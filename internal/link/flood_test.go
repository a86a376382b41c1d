package link

import (
	"context"
	"encoding/binary"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/memtest"
	"parsleyturn/internal/wire"
)

// peers is the number of faulty processes that send at the same time.
const peers = 50

func message(t *testing.T, typ wire.Type, stream uint32, msg any) []byte {
	t.Helper()
	b, err := wire.AppendMessage(nil, typ, stream, msg)
	assert.NilError(t, err)
	return b
}

// batch is a sequence of frames that is sent again and again. Its streams go on from
// batch to batch, and sending allocates nothing.
type batch struct {
	bytes []byte
	// offsets has the positions of the frame headers.
	offsets []int
	streams uint32
}

// batchOf returns a batch with a frame of each payload for each of a number of streams.
func batchOf(streams int, types []wire.Type, payloads ...[]byte) func() *batch {
	return func() *batch {
		b := &batch{streams: uint32(streams)}
		for stream := range streams {
			for i, payload := range payloads {
				b.offsets = append(b.offsets, len(b.bytes))
				b.bytes = append(wire.AppendHeader(b.bytes, types[i], uint32(stream+1), len(payload)), payload...)
			}
		}
		return b
	}
}

// flood sends a batch until the connection is closed. It reads nothing.
func (b *batch) flood(c net.Conn, first []byte, deadline time.Time) {
	_ = c.SetDeadline(deadline)
	if _, err := c.Write(first); err != nil {
		return
	}
	stream := uint32(0)
	for {
		for i, offset := range b.offsets {
			id := stream + 1 + uint32(i)/(uint32(len(b.offsets))/b.streams)
			binary.BigEndian.PutUint32(b.bytes[offset+5:], id)
		}
		stream += b.streams
		if _, err := c.Write(b.bytes); err != nil {
			return
		}
	}
}

// Faulty peers send frames without end. Guards against a node that keeps them until it
// runs out of memory.
func TestMemoryWhilePeersSendWithoutEnd(t *testing.T) {
	memtest.SkipIfShort(t)
	hello := message(t, wire.TypeHello, 0, &wire.Hello{Protocol: wire.ProtocolVersion, NodeID: "faulty"})
	large := message(t, wire.TypeRequest, 1, &wire.Request{ID: "r", HasBody: true, Headers: wire.Headers{{Name: "X-Long", Value: strings.Repeat("a", 60<<10)}}})[wire.HeaderSize:]
	var many wire.Headers
	for range 15_000 {
		many = append(many, wire.Header{Name: "A"})
	}
	fields := message(t, wire.TypeRequest, 1, &wire.Request{ID: "r", HasBody: true, Headers: many})[wire.HeaderSize:]
	small := message(t, wire.TypeRequest, 1, &wire.Request{ID: "r", HasBody: true})[wire.HeaderSize:]
	data := make([]byte, wire.MaxData)
	garbage := func() *batch { return &batch{bytes: []byte(strings.Repeat("\xff", 16<<10))} }
	bodyTypes, body := []wire.Type{wire.TypeRequest}, [][]byte{small}
	for range streamWindow / wire.MaxData {
		bodyTypes, body = append(bodyTypes, wire.TypeData), append(body, data)
	}
	request, ping, dataFrame := []wire.Type{wire.TypeRequest}, []wire.Type{wire.TypePing}, []wire.Type{wire.TypeData}
	for name, c := range map[string]struct {
		first []byte
		batch func() *batch
	}{
		"no HELLO":        {nil, garbage},
		"large HELLO":     {nil, batchOf(1, []wire.Type{wire.TypeHello}, make([]byte, wire.MaxPayload))},
		"garbage":         {hello, garbage},
		"PING":            {hello, batchOf(1000, ping, nil)},
		"requests":        {hello, batchOf(100, request, small)},
		"large requests":  {hello, batchOf(1, request, large)},
		"header fields":   {hello, batchOf(1, request, fields)},
		"unknown streams": {hello, batchOf(1, dataFrame, data)},
		"bodies":          {hello, batchOf(1, bodyTypes, body...)},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			srv := &Server{
				Hello:    func() wire.Hello { return wire.Hello{Protocol: wire.ProtocolVersion, NodeID: "n1"} },
				Timeouts: DefaultTimeouts(), Handler: func(s *Stream) { <-s.Context().Done() },
			}
			go func() { _ = srv.Serve(l) }()
			batches := make([]*batch, peers)
			for i := range batches {
				batches[i] = c.batch()
			}
			peak := memtest.Peak(t, func() {
				deadline := time.Now().Add(memtest.Duration)
				var running sync.WaitGroup
				for _, b := range batches {
					running.Go(func() {
						for time.Now().Before(deadline) {
							nc, err := (&net.Dialer{Deadline: deadline}).DialContext(context.Background(), "tcp", l.Addr().String())
							if err != nil {
								return
							}
							b.flood(nc, c.first, deadline)
							_ = nc.Close()
						}
					})
				}
				running.Wait()
			})
			srv.Close()
			t.Logf("%s: %d KB", name, peak>>10)
			assert.Check(t, peak < memtest.Bound)
			for begin := time.Now(); unread.Used()+served.Used()+queuedControl.Load() != 0; time.Sleep(time.Millisecond) {
				assert.Assert(t, time.Since(begin) < 5*time.Second, "%d, %d and %d bytes are still counted", unread.Used(), served.Used(), queuedControl.Load())
			}
		})
	}
}
