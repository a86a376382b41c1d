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

// compareBuffers holds pairs of one received and one expected piece.
var compareBuffers = sync.Pool{New: func() any { b := make([]byte, 2*compareBufferBytes); return &b }}

// checkResponse reads the body and compares it with the stand-in's body for the
// request id. asked is the size that the job asked for, or 0.
func checkResponse(resp *http.Response, id string, asked int64) (Outcome, int64, string) {
	h := resp.Header
	for _, name := range []string{headers.RequestID, target.HeaderRequestID} {
		if got := h.Get(name); got != "" && got != id {
			n, _ := io.Copy(io.Discard, resp.Body)
			return Wrong, n, fmt.Sprintf("%s is %q instead of %q", name, got, id)
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
	if err1 != nil || err2 != nil || (asked > 0 && size != asked) {
		n, _ := io.Copy(io.Discard, resp.Body)
		return Wrong, n, fmt.Sprintf("announced size is %q and seed %q; asked for %d bytes", h.Get(target.HeaderBytes), h.Get(target.HeaderSeed), asked)
	}
	n, same, err := compareBody(resp.Body, target.NewBody(seed, id))
	switch {
	case err != nil:
		return Truncated, n, err.Error()
	case !same:
		return Wrong, n, "content differs from the body of this request"
	case n != size:
		return Wrong, n, fmt.Sprintf("body has %d bytes instead of %d and claims to be whole", n, size)
	}
	return Answered, n, ""
}

// compareBody reads got to its end.
func compareBody(got io.Reader, want io.Reader) (n int64, same bool, err error) {
	buf := compareBuffers.Get().(*[]byte)
	defer compareBuffers.Put(buf)
	piece, expected := (*buf)[:compareBufferBytes], (*buf)[compareBufferBytes:]
	same = true
	for {
		m, err := got.Read(piece)
		_, _ = want.Read(expected[:m])
		same = same && bytes.Equal(piece[:m], expected[:m])
		n += int64(m)
		if err == io.EOF {
			return n, same, nil
		}
		if err != nil {
			return n, same, err
		}
	}
}
