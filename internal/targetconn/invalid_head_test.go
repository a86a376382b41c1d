package targetconn

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/rawtarget"
)

const whole = rawtarget.Whole

// assertRejected asserts that a response is an error that says nothing about the
// execution of its request.
func assertRejected(t *testing.T, bytes string) {
	t.Helper()
	var p Pool
	defer p.Close()
	resp, err := do(&p, rawtarget.Start(t, "X-Id", always(rawtarget.Response{Bytes: bytes})), "r1")
	assert.Assert(t, err != nil, "%q was accepted as %+v", bytes, resp)
	assert.Assert(t, !errors.Is(err, ErrNotSent), "%v", err)
}

// Guards against a response without a valid status that is skipped as an interim one, so
// that its body is taken for the response (MIXED), or that callers get.
func TestInvalidStatusIsAnError(t *testing.T) {
	for _, status := range []string{"000", "099", "+12", "-00", "600", "999"} {
		assertRejected(t, "HTTP/1.1 "+status+" X\r\nX-Id: ID\r\n"+whole)
		assertRejected(t, "HTTP/1.1 "+status+" X\r\nX-Id: ID\r\n\r\n"+okHead+whole)
	}
}

// Guards against a sound response that is rejected for a rare status.
func TestUnusualStatuses(t *testing.T) {
	for _, status := range []int{200, 203, 226, 299, 300, 399, 418, 451, 499, 500, 511, 599} {
		for _, reason := range []string{"", " ", " Not \xe9 usual\t(at all)"} {
			var p Pool
			resp, err := do(&p, rawtarget.Start(t, "X-Id", always(rawtarget.Response{Bytes: fmt.Sprintf("HTTP/1.1 %d%s\r\nX-Id: ID\r\n%s", status, reason, whole)})), "r1")
			assert.NilError(t, err, "%d%s", status, reason)
			assert.Equal(t, resp.Status, status)
			assert.Equal(t, string(resp.Body), "whole")
			p.Close()
		}
	}
}

// Guards against bytes that are not HTTP/1 and that callers get as a response (MIXED).
func TestInvalidStatusLineIsAnError(t *testing.T) {
	for _, line := range []string{"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/9.9 200 OK", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 OK\rX: 1", "HTTP/1.1 200 \x1b[31m", "HTTP/1.1 200 \x7f"} {
		assertRejected(t, line+"\r\nX-Id: ID\r\n"+whole)
	}
}

// Guards against an invalid field name that callers get, or that changes where
// the body ends, so that they get a body that is not the target's (MIXED).
func TestInvalidFieldNameIsAnError(t *testing.T) {
	cases := rawtarget.InvalidFields(okHead)
	cases["blank after the request ID"] = "HTTP/1.1 500 X\r\nX-Id : other\r\n" + whole
	cases["in an extra response before"] = "HTTP/1.1 200 OK\r\nX-Id: other\r\nX Y: 1\r\n" + whole + okHead + whole
	for name, head := range cases {
		t.Run(name, func(t *testing.T) { assertRejected(t, head) })
	}
}

// Guards against a sound response that is rejected for the name or value of a field.
func TestUnusualFields(t *testing.T) {
	for field, want := range map[string][2]string{
		"x_under.score~!: 1": {"X_under.score~!", "1"},
		"0: 1":               {"0", "1"},
		"X:\t\xe9 : ":        {"X", "\xe9 :"},
		"X: a\r\n b: c":      {"X", "a b: c"},
		"!#$%&'*+-.^_`|~: 1": {"!#$%&'*+-.^_`|~", "1"},
		"X-Empty:":           {"X-Empty", ""},
	} {
		var p Pool
		resp, err := do(&p, rawtarget.Start(t, "X-Id", always(rawtarget.Response{Bytes: okHead + field + "\r\n" + whole})), "r1")
		assert.NilError(t, err, "%q", field)
		assert.Equal(t, resp.Header[want[0]][0], want[1], "%q", field)
		assert.Equal(t, string(resp.Body), "whole")
		p.Close()
	}
}

// Guards against the framing of chunks that is taken for the body, because a version
// that has no chunks announces them (MIXED).
func TestChunksInOldVersionAreAnError(t *testing.T) {
	old := strings.Replace(okHead, "1.1", "1.0", 1)
	for _, encoding := range []string{"Transfer-Encoding: chunked", "transfer-encoding:chunked", "Transfer-Encoding: chunked\r\nContent-Length: 15"} {
		assertRejected(t, old+encoding+"\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")
	}
}

// Guards against a sound response of an old target that is rejected.
func TestOldVersions(t *testing.T) {
	old := strings.Replace(okHead, "1.1", "1.0", 1)
	for _, rest := range []string{whole, "\r\nwhole", "Connection: keep-alive\r\n" + whole, "Connection: close\r\n\r\nwhole"} {
		var p Pool
		resp, err := do(&p, rawtarget.Start(t, "X-Id", always(rawtarget.Response{Bytes: old + rest})), "r1")
		assert.NilError(t, err, "%q", rest)
		assert.Equal(t, string(resp.Body), "whole", "%q", rest)
		p.Close()
	}
}
