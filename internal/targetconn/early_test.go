package targetconn

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/rawtarget"
	"parsleyturn/internal/responsecheck"
)

const (
	okHead = "HTTP/1.1 200 OK\r\nX-Id: ID\r\n"
	// uploadSize is more than the socket buffers of both ends hold.
	uploadSize = 16 << 20
)

// upload sends a request with a long body and returns the response with its whole body.
func upload(t *testing.T, address string) (status int, body string, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var p Pool
	defer p.Close()
	req := request("r1")
	req.Method, req.Body, req.BodyRest = http.MethodPost, []byte("first"), strings.NewReader(strings.Repeat("u", uploadSize))
	resp, err := p.Do(ctx, address, req)
	if err != nil {
		return 0, "", err
	}
	body = string(resp.Body)
	if resp.BodyRest != nil {
		var rest []byte
		rest, err = io.ReadAll(resp.BodyRest)
		body += string(rest)
		_ = resp.BodyRest.Close()
	}
	return resp.Status, body, err
}

func always(r rawtarget.Response) func(*http.Request) rawtarget.Response {
	return func(*http.Request) rawtarget.Response { return r }
}

// Guards against the part of a response without length that is taken for a complete one,
// because the target reset the connection while the request was being sent (MIXED).
func TestResetDuringUploadIsAnError(t *testing.T) {
	for name, body := range map[string]string{"short": "part", "streamed": strings.Repeat("x", MaxBufferedBody+100)} {
		for version, head := range map[string]string{"1.1": okHead, "1.0": strings.Replace(okHead, "1.1", "1.0", 1)} {
			for _, burst := range []bool{false, true} {
				address := rawtarget.Start(t, "X-Id", always(rawtarget.Response{Bytes: head + "\r\n" + body, Early: true, Burst: burst, End: rawtarget.Reset}))
				_, _, err := upload(t, address)
				assert.Assert(t, err != nil, "%s, HTTP/%s, burst %v: the part was taken for the whole body", name, version, burst)
				assert.Assert(t, !errors.Is(err, ErrNotSent), "%v", err)
				if !burst {
					assert.ErrorIs(t, err, responsecheck.ErrReset)
				}
			}
		}
	}
}

// Guards against the part of a response without length that is taken for a complete one,
// because the target reset the connection after it had read the request (MIXED).
func TestResetAfterRequestIsAnError(t *testing.T) {
	for name, body := range map[string]string{"short": "part", "streamed": strings.Repeat("x", MaxBufferedBody+100)} {
		_, _, err := upload(t, rawtarget.Start(t, "X-Id", always(rawtarget.Response{Bytes: okHead + "\r\n" + body, End: rawtarget.Reset})))
		assert.Assert(t, err != nil && !errors.Is(err, ErrNotSent), "%s: %v", name, err)
	}
}

// Guards against a sound response without length that is rejected although it ended with
// an orderly close.
func TestBodyThatEndsWithOrderlyClose(t *testing.T) {
	for name, want := range map[string]string{"empty": "", "short": "whole", "streamed": strings.Repeat("x", MaxBufferedBody+100)} {
		for _, burst := range []bool{false, true} {
			status, body, err := upload(t, rawtarget.Start(t, "X-Id", always(rawtarget.Response{Bytes: okHead + "\r\n" + want, Burst: burst})))
			assert.NilError(t, err, name)
			assert.Equal(t, status, http.StatusOK)
			assert.Assert(t, body == want, "%s: %d bytes", name, len(body))
		}
	}
}

// Guards against a response that is lost because the target sent it before it had read
// the request, and that is known to be complete.
func TestCompleteEarlyResponses(t *testing.T) {
	for name, r := range rawtarget.CompleteEarly("HTTP/1.1 413 Content Too Large\r\nX-Id: ID\r\n") {
		for _, burst := range []bool{false, true} {
			r.Burst = burst
			status, body, err := upload(t, rawtarget.Start(t, "X-Id", always(r)))
			assert.NilError(t, err, "%s, burst %v", name, burst)
			assert.Equal(t, status, http.StatusRequestEntityTooLarge, name)
			assert.Equal(t, body, rawtarget.Body, name)
		}
	}
}
