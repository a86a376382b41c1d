package wire

import (
	"bytes"
	"errors"
	"io"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a message that loses fields between two nodes.
func TestRequestSurvivesTheWire(t *testing.T) {
	want := Request{
		ID: "r1", Kind: "book", Service: "bookings", Method: "POST", Path: "/bookings/x?y=1",
		Headers: []Header{{Name: "Accept", Value: "text/plain"}}, RemainingMicros: 1500, Priority: 9, Allowance: 2,
		ClientAccount: "m1", Depth: 3, Ticket: "t", NonIdempotent: true, Region: "Ashanti", ConfigVersion: 7, HasBody: true,
	}
	raw, err := AppendMessage(nil, TypeRequest, 5, &want)
	assert.NilError(t, err)
	f, err := NewReader(bytes.NewReader(raw)).Next()
	assert.NilError(t, err)
	assert.Equal(t, f.Stream, uint32(5))
	var got Request
	assert.NilError(t, Decode(f, &got))
	assert.DeepEqual(t, got, want)
}

// Guards against a load that loses fields between two nodes.
func TestLoadSurvivesTheWire(t *testing.T) {
	want := Refused{Load: Load{InFlight: 1, Limit: 2, Queued: 3, Threshold: 4, LongThreshold: 5, Draining: true, Cold: true, ConfigVersion: 6}}
	raw, err := AppendMessage(nil, TypeRefused, 5, &want)
	assert.NilError(t, err)
	f, err := NewReader(bytes.NewReader(raw)).Next()
	assert.NilError(t, err)
	var got Refused
	assert.NilError(t, Decode(f, &got))
	assert.DeepEqual(t, got, want)
}

// Guards against a frame that makes the receiver allocate without limit.
func TestOversizedFrameIsRefused(t *testing.T) {
	raw := AppendHeader(nil, TypeData, 1, MaxPayload+1)
	_, err := NewReader(bytes.NewReader(raw)).Next()
	var fe *FrameError
	assert.Assert(t, errors.As(err, &fe))
	_, err = AppendMessage(nil, TypeRequest, 1, &Request{Path: string(make([]byte, MaxPayload+1))})
	assert.Assert(t, errors.As(err, &fe))
}

// Guards against a frame of a few bytes that announces a huge collection and
// makes the receiver allocate for it. The fuzzer found it by running the
// machine out of memory.
func TestAnnouncedLengthsAreBounded(t *testing.T) {
	for name, payload := range map[string]string{
		"headers":    "\x81\xa1h\xdd\xff\xff\xff\xff\xa1a\xa1b",
		"thresholds": "\x81\xa1t\xdf\xff\xff\xff\xff\xa1a\x01",
	} {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		frame := Frame{Type: TypeEnd, Payload: []byte(payload)}
		assert.Assert(t, Decode(frame, new(Request)) != nil || Decode(frame, new(End)) != nil, name)
		runtime.ReadMemStats(&after)
		assert.Assert(t, after.TotalAlloc-before.TotalAlloc < MaxPayload, "%s: %d bytes allocated", name, after.TotalAlloc-before.TotalAlloc)
	}
}

// Guards against input of a broken or hostile peer that crashes a node or is
// read beyond its end.
func FuzzReader(f *testing.F) {
	whole, err := AppendMessage(nil, TypeRequest, 1, &Request{ID: "r", Headers: []Header{{Name: "A", Value: "b"}}})
	assert.NilError(f, err)
	f.Add(whole)
	f.Add(whole[:len(whole)-3])
	f.Add(AppendHeader(nil, TypeData, 9, 5))
	f.Add(AppendHeader(nil, 0, 9, 0))
	f.Add(AppendHeader(nil, TypeWindow, 1<<31, MaxPayload))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := NewReader(bytes.NewReader(data))
		read := 0
		for {
			frame, err := r.Next()
			if err != nil {
				var fe *FrameError
				if err != io.EOF && err != io.ErrUnexpectedEOF && !errors.As(err, &fe) {
					t.Fatalf("untyped error %v", err)
				}
				return
			}
			read += HeaderSize + len(frame.Payload)
			if read > len(data) || len(frame.Payload) > MaxPayload {
				t.Fatalf("read %d of %d bytes", read, len(data))
			}
			for _, msg := range []any{new(Hello), new(Request), new(Response), new(End), new(Refused), new(Window), new(GoAway)} {
				_ = Decode(frame, msg)
			}
		}
	})
}
