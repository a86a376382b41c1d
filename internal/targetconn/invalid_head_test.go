package targetconn

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/rawtarget"
)

const whole = "Content-Length: 5\r\n\r\nwhole"

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
