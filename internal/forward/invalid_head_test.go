package forward

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/apierror"
	"parsleyturn/internal/headers"
	"parsleyturn/internal/rawtarget"
	"parsleyturn/internal/wire"
)

const whole = rawtarget.Whole

// get sends a request to a target that sends the given bytes, and returns the response.
func get(t *testing.T, bytes string) (status int, body string, err error) {
	t.Helper()
	var f Forwarder
	f.Configure(rawtarget.Start(t, headers.ContextToken, always(rawtarget.Response{Bytes: bytes})), 4)
	resp, err := f.Do(t.Context(), &wire.Request{ID: "r", Method: http.MethodPost, Path: "/x"}, nil, time.Second, "token")
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(content), err
}

// assertRejected asserts that a response is an error that says nothing about the
// execution of its request.
func assertRejected(t *testing.T, bytes string) {
	t.Helper()
	status, body, err := get(t, bytes)
	assert.Assert(t, err != nil, "%q was accepted with status %d and body %q", bytes, status, body)
	assert.Equal(t, apierror.From(err).Outcome, apierror.Unknown)
	assert.Equal(t, apierror.From(err).Code, apierror.TargetFailed)
}

// Guards against a response without a valid status that callers get.
func TestInvalidStatusIsAnError(t *testing.T) {
	for _, status := range []string{"000", "099", "+12", "-00", "600", "999"} {
		assertRejected(t, "HTTP/1.1 "+status+" X\r\n"+headers.ContextToken+": ID\r\n"+whole)
		assertRejected(t, "HTTP/1.1 "+status+" X\r\n\r\n"+okHead+whole)
	}
}

// Guards against a sound response that is rejected for a rare status.
func TestUnusualStatuses(t *testing.T) {
	for _, status := range []int{200, 203, 226, 299, 300, 399, 418, 451, 499, 500, 511, 599} {
		for _, reason := range []string{"", " ", " Not \xe9 usual\t(at all)"} {
			got, body, err := get(t, fmt.Sprintf("HTTP/1.1 %d%s\r\n%s", status, reason, whole))
			assert.NilError(t, err, "%d%s", status, reason)
			assert.Equal(t, got, status)
			assert.Equal(t, body, "whole")
		}
	}
}

// Guards against bytes that are not HTTP/1 and that callers get as a response (MIXED).
func TestInvalidStatusLineIsAnError(t *testing.T) {
	for _, line := range []string{"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/9.9 200 OK", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 OK\rX: 1"} {
		assertRejected(t, line+"\r\n"+headers.ContextToken+": ID\r\n"+whole)
	}
}

// Guards against an invalid field name that callers get, or that changes where
// the body ends, so that they get a body that is not the target's (MIXED).
func TestInvalidFieldNameIsAnError(t *testing.T) {
	cases := rawtarget.InvalidFields(okHead)
	cases["blank after the context"] = "HTTP/1.1 200 OK\r\n" + headers.ContextToken + " : other\r\n" + whole
	for name, head := range cases {
		t.Run(name, func(t *testing.T) { assertRejected(t, head) })
	}
}

// Guards against a sound response that is rejected for the name or value of a field.
func TestUnusualFields(t *testing.T) {
	for _, field := range []string{"x_under.score~!: 1", "0: 1", "X:\t\xe9 : ", "X: a\r\n b: c", "!#$%&'*+-.^_`|~: 1", "X-Empty:"} {
		_, body, err := get(t, okHead+field+"\r\n"+whole)
		assert.NilError(t, err, "%q", field)
		assert.Equal(t, body, "whole")
	}
}

// Guards against the framing of chunks that is taken for the body, because a version
// that has no chunks announces them (MIXED), and against a sound response of an old
// target that is rejected.
func TestOldVersions(t *testing.T) {
	old := strings.Replace(okHead, "1.1", "1.0", 1)
	for _, encoding := range []string{"Transfer-Encoding: chunked", "transfer-encoding:chunked", "Transfer-Encoding: chunked\r\nContent-Length: 15"} {
		assertRejected(t, old+encoding+"\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")
	}
	for _, rest := range []string{whole, "\r\nwhole", "Connection: keep-alive\r\n" + whole, "Connection: close\r\n\r\nwhole"} {
		_, body, err := get(t, old+rest)
		assert.NilError(t, err, "%q", rest)
		assert.Equal(t, body, "whole", "%q", rest)
	}
}

// Guards against the head of a response on a kept connection that is not checked, since
// the transport began to read it before the request was sent.
func TestHeadsOnKeptConnectionAreChecked(t *testing.T) {
	var conns atomic.Int32
	f := startTarget(t, func(w io.Writer, n int, token string) {
		if n == 0 {
			conns.Add(1)
		}
		status := 200
		if n == 3 {
			status = 999
		}
		fmt.Fprintf(w, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 %d X\r\nParsley-Context: %s\r\n%s", status, token, whole)
	})
	_, err := do(f, "first of the target") // connections are kept from now on
	assert.NilError(t, err)
	for i := range 3 {
		_, err := do(f, fmt.Sprint("t", i))
		assert.NilError(t, err)
	}
	_, err = do(f, "invalid")
	assert.Assert(t, err != nil, "status 999 was accepted")
	assert.Equal(t, conns.Load(), int32(2))
}

// Guards against a response that the target sent before the request, and that is taken
// for the response to it unchecked (MIXED).
func TestResponseBeforeRequestIsNotTakenForIts(t *testing.T) {
	f := startTarget(t, func(w io.Writer, _ int, token string) {
		fmt.Fprintf(w, "%sX-For: %s\r\n%sHTTP/1.1 200 OK\r\nX-For: nobody\r\n%s", strings.ReplaceAll(okHead, "ID", token), token, whole, whole)
	})
	for i := range 2000 {
		token := fmt.Sprint("t", i)
		if resp, err := do(f, token); err == nil {
			assert.Equal(t, resp.Header.Get("X-For"), token)
		}
	}
}
