package wire

import (
	"bytes"
	"errors"
	"io"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

// Guards against fields of Request that are lost because they are not encoded or
// decoded. IssueTicket, Host, CallerService and the fields of the call chain are
// not covered.
func TestRequestRoundTrip(t *testing.T) {
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

// Guards against a field of Load that is lost because it is not encoded or
// decoded.
func TestLoadRoundTrip(t *testing.T) {
	want := Refused{Load: Load{InFlight: 1, Limit: 2, Queued: 3, Threshold: 4, LongThreshold: 5, Draining: true, Cold: true, ConfigVersion: 6}}
	raw, err := AppendMessage(nil, TypeRefused, 5, &want)
	assert.NilError(t, err)
	f, err := NewReader(bytes.NewReader(raw)).Next()
	assert.NilError(t, err)
	var got Refused
	assert.NilError(t, Decode(f, &got))
	assert.DeepEqual(t, got, want)
}

// Guards against unbounded allocation in the receiver, caused by a frame header
// with a corrupt length, and against sending a frame that the peer rejects.
func TestOversizedFrameIsRejected(t *testing.T) {
	raw := AppendHeader(nil, TypeData, 1, MaxPayload+1)
	_, err := NewReader(bytes.NewReader(raw)).Next()
	var fe *FrameError
	assert.Assert(t, errors.As(err, &fe))
	_, err = AppendMessage(nil, TypeRequest, 1, &Request{Path: string(make([]byte, MaxPayload+1))})
	assert.Assert(t, errors.As(err, &fe))
}

// Guards against a frame of a few bytes that declares a huge collection: the
// msgpack library allocates for the declared length before it reads elements.
// Fuzzing found that this exhausts the machine's memory.
func TestDeclaredLengthsAreBounded(t *testing.T) {
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

// Guards against a message that is nested as deeply as its size allows, and takes as
// much stack as the smallest VM has memory, in a known and in an unknown field.
func TestDeepNestingIsRejected(t *testing.T) {
	arrays := strings.Repeat("\x91", MaxPayload/2)
	maps := strings.Repeat("\x81\xa1a", MaxPayload/8)
	for name, payload := range map[string]string{
		"arrays": arrays + "\x01", "maps": maps + "\x01", "unknown field": "\x81\xa3odd" + arrays + "\x01", "headers": "\x81\xa1h" + arrays + "\x01",
		"large array": "\x81\xa3odd\xdd\xff\xff\xff\xff" + arrays, "incomplete": arrays,
	} {
		err := Decode(Frame{Type: TypeRequest, Payload: []byte(payload)}, new(Request))
		assert.Assert(t, errors.Is(err, ErrTooDeep), "%s: %v", name, err)
	}
}

// Guards against a depth that differs from the one that the msgpack library sees:
// every value that it can decode has the depth that its nesting says.
func FuzzCheckDepth(f *testing.F) {
	for _, v := range []any{1, -1, 1e9, "text", strings.Repeat("a", 300), []byte{1}, []any{1, []any{nil, true, 1.5, float32(2)}}, map[string]any{"a": map[string]any{"b": []any{}}}, uint64(1) << 63, time.Unix(1, 1)} {
		data, err := msgpack.Marshal(v)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > 4096 {
			return
		}
		// The library allocates declared lengths for a value of any type, so that the
		// value must be complete.
		if err := msgpack.NewDecoder(bytes.NewReader(data)).Skip(); err != nil {
			return
		}
		var v any
		if err := msgpack.Unmarshal(data, &v); err != nil {
			return
		}
		if got, want := errors.Is(CheckDepth(data), ErrTooDeep), nesting(v) > MaxDepth; got != want {
			t.Fatalf("too deep: %v, but the value has %d levels", got, nesting(v))
		}
	})
}

// nesting returns the number of levels of a decoded value with elements.
func nesting(v any) int {
	deepest := 0
	switch v := v.(type) {
	case []any:
		for _, e := range v {
			deepest = max(deepest, 1+nesting(e))
		}
	case map[string]any:
		for _, e := range v {
			deepest = max(deepest, 1+nesting(e))
		}
	}
	return deepest
}

// Guards against input of a faulty or malicious peer that makes the frame reader
// or the message decoders panic, and against a frame reader that returns an
// untyped error or more data than it read.
func FuzzReader(f *testing.F) {
	valid, err := AppendMessage(nil, TypeRequest, 1, &Request{ID: "r", Headers: []Header{{Name: "A", Value: "b"}}})
	assert.NilError(f, err)
	f.Add(valid)
	f.Add(valid[:len(valid)-3])
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
