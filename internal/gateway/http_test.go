package gateway

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/apierror"
	"parsleyturn/internal/executor"
	"parsleyturn/internal/headers"
	"parsleyturn/internal/retry"
)

// Guards against callers that stop sending in the middle of a request body and
// so delay the request and a drain, and against a read timeout that cancels a
// request although its complete body has arrived.
func TestStalledRequestBodyIsRefused(t *testing.T) {
	s := &Service{attempts: retry.NewAttemptCounter(10, time.Minute), MaxBodyBytes: 100, bodyTimeout: 50 * time.Millisecond}
	s.endpoint = func(ctx context.Context, _ any) (any, error) {
		select {
		case <-ctx.Done():
			return nil, apierror.New(apierror.Canceled, apierror.NotRun, "canceled")
		case <-time.After(4 * s.bodyTimeout):
			return nil, apierror.New(apierror.Overloaded, apierror.NotRun, "complete body")
		}
	}
	server := httptest.NewServer(s.handler(false))
	defer server.Close()
	for body, code := range map[string]apierror.Code{"123": apierror.BadRequest, "1234567890": apierror.Overloaded} {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		assert.NilError(t, err)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n%s", body)
		assert.NilError(t, err)
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.Header.Get(headers.Error), string(code))
	}
}

// endlessBody is a response body that never ends and so exceeds every buffer.
type endlessBody struct{ closed chan struct{} }

func (b *endlessBody) Read(p []byte) (int, error) { return len(p), nil }

func (b *endlessBody) Close() error {
	close(b.closed)
	return nil
}

// Guards against callers that stop reading the response and so occupy slots of
// the target beyond the deadline, and against a write deadline that stays on the
// connection and makes the next response fail.
func TestCallerThatStopsReadingReleasesSlot(t *testing.T) {
	closed := make(chan struct{})
	s := &Service{attempts: retry.NewAttemptCounter(10, time.Minute), MaxBodyBytes: 100, bodyTimeout: time.Second}
	s.endpoint = func(_ context.Context, request any) (any, error) {
		resp := &executor.Response{Status: http.StatusOK, Body: http.NoBody}
		if request.(*Request).Path == "/endless" {
			resp.Body = &endlessBody{closed}
		}
		return &Result{Response: resp, deadline: time.Now().Add(100 * time.Millisecond)}, nil
	}
	server := httptest.NewServer(s.handler(false))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	in := bufio.NewReader(conn)
	for range 2 {
		_, err = fmt.Fprint(conn, "GET /short HTTP/1.1\r\nHost: x\r\n\r\n")
		assert.NilError(t, err)
		resp, err := http.ReadResponse(in, nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		time.Sleep(200 * time.Millisecond)
	}
	_, err = fmt.Fprint(conn, "GET /endless HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.NilError(t, err)
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the body is still open 5 s after the deadline")
	}
}
