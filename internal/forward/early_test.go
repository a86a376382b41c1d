package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/apierror"
	"parsleyturn/internal/headers"
	"parsleyturn/internal/rawtarget"
	"parsleyturn/internal/wire"
)

const (
	okHead = "HTTP/1.1 200 OK\r\n" + headers.ContextToken + ": ID\r\n"
	// uploadSize is more than the socket buffers of both ends hold.
	uploadSize = 8 << 20
	// attempts is how often a case is tried whose outcome depends on the order in which
	// goroutines run.
	attempts = 40
)

// upload sends a request with a long body and returns the response with its whole body.
func upload(t *testing.T, address, token string) (status int, body string, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var f Forwarder
	f.Configure(address, 4)
	resp, err := f.Do(ctx, &wire.Request{ID: "r-" + token, Method: http.MethodPost, Path: "/x"}, make([]byte, uploadSize), time.Second, token)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(content), err
}

func always(r rawtarget.Response) func(*http.Request) rawtarget.Response {
	return func(*http.Request) rawtarget.Response { return r }
}

// Guards against the part of a response without length that is taken for a complete one,
// because the target reset the connection while the request was being sent (MIXED).
func TestResetDuringUploadIsAnError(t *testing.T) {
	for _, burst := range []bool{false, true} {
		address := rawtarget.Start(t, headers.ContextToken, always(rawtarget.Response{Bytes: okHead + "\r\npart", Early: true, Burst: burst, End: rawtarget.Reset}))
		for i := range attempts {
			_, body, err := upload(t, address, fmt.Sprint("t", i))
			assert.Assert(t, err != nil, "burst %v, attempt %d: %q was taken for the whole body", burst, i, body)
			var apiErr *apierror.Error
			if errors.As(err, &apiErr) {
				assert.Equal(t, apiErr.Outcome, apierror.Unknown)
			}
		}
	}
}

// Guards against the part of a response without length that is taken for a complete one,
// because the target reset the connection after it had read the request (MIXED).
func TestResetAfterRequestIsAnError(t *testing.T) {
	address := rawtarget.Start(t, headers.ContextToken, always(rawtarget.Response{Bytes: okHead + "\r\npart", End: rawtarget.Reset}))
	for i := range 5 {
		_, body, err := upload(t, address, fmt.Sprint("t", i))
		assert.Assert(t, err != nil, "%q was taken for the whole body", body)
	}
}

// Guards against a sound response without length that is rejected although it ended with
// an orderly close.
func TestBodyThatEndsWithOrderlyClose(t *testing.T) {
	for name, want := range map[string]string{"empty": "", "short": "whole", "long": strings.Repeat("x", 300<<10)} {
		for _, burst := range []bool{false, true} {
			address := rawtarget.Start(t, headers.ContextToken, always(rawtarget.Response{Bytes: okHead + "\r\n" + want, Burst: burst}))
			status, body, err := upload(t, address, "t")
			assert.NilError(t, err, name)
			assert.Equal(t, status, http.StatusOK)
			assert.Assert(t, body == want, "%s: %d bytes", name, len(body))
		}
	}
}

// Guards against a response that is lost because the target sent it before it had read
// the request, and that is known to be complete. net/http returns the error of the write
// in place of a response that has arrived.
func TestCompleteEarlyResponses(t *testing.T) {
	for name, r := range rawtarget.CompleteEarly("HTTP/1.1 413 Content Too Large\r\n" + headers.ContextToken + ": ID\r\n") {
		for _, burst := range []bool{false, true} {
			r.Burst = burst
			address := rawtarget.Start(t, headers.ContextToken, always(r))
			for i := range attempts {
				status, body, err := upload(t, address, fmt.Sprint("t", i))
				assert.NilError(t, err, "%s, burst %v, attempt %d", name, burst, i)
				assert.Equal(t, status, http.StatusRequestEntityTooLarge, name)
				assert.Equal(t, body, rawtarget.Body, name)
			}
		}
	}
}
