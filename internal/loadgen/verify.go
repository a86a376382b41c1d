package loadgen

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"

	"parsleyturn/internal/headers"
	"parsleyturn/internal/standin/target"
)

const compareBufferBytes = 32 << 10

// compareBuffers holds buffers for a received chunk of a body followed by the
// expected one.
var compareBuffers = sync.Pool{New: func() any { b := make([]byte, 2*compareBufferBytes); return &b }}

// checkResponse reads the body and compares it with the stand-in target's body
// for the request ID. A response without the size header of the stand-in target
// is only read to its end. requestedBytes is the size that the job asked for, or
// 0. It returns the outcome, the number of bytes read and, unless the outcome is
// Answered, what was wrong.
func checkResponse(resp *http.Response, id string, requestedBytes int64) (Outcome, int64, string) {
	h := resp.Header
	for _, name := range []string{headers.RequestID, target.HeaderRequestID} {
		if got := h.Get(name); got != "" && got != id {
			n, _ := io.Copy(io.Discard, resp.Body)
			return Wrong, n, fmt.Sprintf("header %s is %q instead of %q", name, got, id)
		}
	}
	if h.Get(target.HeaderBytes) == "" {
		n, err := io.Copy(io.Discard, resp.Body)
		if err != nil {
			return Truncated, n, err.Error()
		}
		return Answered, n, ""
	}
	size, err1 := strconv.ParseInt(h.Get(target.HeaderBytes), 10, 64)
	seed, err2 := strconv.ParseUint(h.Get(target.HeaderSeed), 10, 64)
	if err1 != nil || err2 != nil || (requestedBytes > 0 && size != requestedBytes) {
		n, _ := io.Copy(io.Discard, resp.Body)
		return Wrong, n, fmt.Sprintf("response headers give size %q and seed %q; requested %d bytes", h.Get(target.HeaderBytes), h.Get(target.HeaderSeed), requestedBytes)
	}
	n, same, err := compareBody(resp.Body, target.NewBody(seed, id))
	switch {
	case err != nil:
		return Truncated, n, err.Error()
	case !same:
		return Wrong, n, "body differs from the one expected for this request"
	case n != size:
		return Wrong, n, fmt.Sprintf("body ended normally with %d bytes instead of %d", n, size)
	}
	return Answered, n, ""
}

// compareBody reads got to its end and reports whether want starts with the same
// bytes. n is the number of bytes read.
func compareBody(got io.Reader, want io.Reader) (n int64, same bool, err error) {
	buf := compareBuffers.Get().(*[]byte)
	defer compareBuffers.Put(buf)
	received, expected := (*buf)[:compareBufferBytes], (*buf)[compareBufferBytes:]
	same = true
	for {
		m, err := got.Read(received)
		_, _ = want.Read(expected[:m])
		same = same && bytes.Equal(received[:m], expected[:m])
		n += int64(m)
		if err == io.EOF {
			return n, same, nil
		}
		if err != nil {
			return n, same, err
		}
	}
}
