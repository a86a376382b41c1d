// Package forward sends requests to the local target over HTTP. It serves nodes
// with the product's own interface; package targetconn has this role on the
// users' platform.
package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"parsleyturn/internal/apierror"
	"parsleyturn/internal/headers"
	"parsleyturn/internal/responsecheck"
	"parsleyturn/internal/wire"
)

// Forwarder holds the connections to one target.
type Forwarder struct {
	mu        sync.Mutex
	transport *http.Transport
	address   string
	maxConns  int
	// namesContext is set while the target's responses name the context of their
	// request.
	namesContext bool
}

// Configure sets the target's address and the maximum number of connections
// that it accepts. If one of them changes, later requests use new connections.
func (f *Forwarder) Configure(address string, connections int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.address == address && f.maxConns == connections {
		return
	}
	if f.transport != nil {
		f.transport.CloseIdleConnections()
	}
	f.address, f.maxConns, f.namesContext = address, connections, false
	f.transport = &http.Transport{
		// All idle connections are kept, because opening one takes about 1 ms.
		MaxConnsPerHost:       connections,
		MaxIdleConnsPerHost:   connections,
		MaxIdleConns:          connections,
		IdleConnTimeout:       90 * time.Second,
		DialContext:           dial,
		DisableCompression:    true,
		ReadBufferSize:        readBufferSize,
		ResponseHeaderTimeout: 0, // the request's deadline applies
		// The default of 10 MB for each request would take all memory while a faulty
		// target sends heads without end.
		MaxResponseHeaderBytes: responsecheck.MaxHeadBytes,
	}
}

// DialError means that no connection to the target could be opened, so the
// request was not executed.
type DialError struct{ Err *apierror.Error }

func (e *DialError) Error() string { return e.Err.Error() }

// Unwrap returns the *apierror.Error.
func (e *DialError) Unwrap() error { return e.Err }

// Do sends a request with its body and returns the response of the target. The
// target receives remaining as its deadline, and contextToken, which it sends
// with sub-calls so that the node can assign them to this request. A response that
// names another context is an error. Connections are kept only for a target whose
// responses name theirs: nothing else tells a late copy of an earlier response from
// the response to a request. The error is a *DialError or *apierror.Error.
func (f *Forwarder) Do(ctx context.Context, req *wire.Request, body []byte, remaining time.Duration, contextToken string) (*http.Response, error) {
	f.mu.Lock()
	transport, address, keep := f.transport, f.address, f.namesContext
	f.mu.Unlock()
	if transport == nil {
		return nil, apierror.New(apierror.NoTarget, apierror.NotRun, "no target has announced itself to this node")
	}
	// A body reader without GetBody keeps net/http from retrying the request on
	// another connection. It would retry a GET without a body once for each
	// idle connection, and no retry allowance would limit these retries.
	reader := io.NopCloser(bytes.NewReader(body))
	var used *conn
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		used = info.Conn.(*conn)
		used.expectHead()
	}})
	httpReq, err := http.NewRequestWithContext(ctx, req.Method, "http://"+address+req.Path, reader)
	if err != nil {
		return nil, apierror.New(apierror.BadRequest, apierror.NotRun, "malformed method or path: %w", err)
	}
	httpReq.Close = !keep
	if len(body) > 0 {
		httpReq.ContentLength = int64(len(body))
	}
	for _, h := range req.Headers {
		httpReq.Header.Add(h.Name, h.Value)
	}
	httpReq.Header.Set(headers.RequestID, req.ID)
	httpReq.Header.Set(headers.ContextToken, contextToken)
	httpReq.Header.Set(headers.DeadlineMS, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	if req.ClientAccount != "" {
		httpReq.Header.Set(headers.ClientAccount, req.ClientAccount)
	}
	resp, err := transport.RoundTrip(httpReq)
	if err != nil {
		return nil, classify(ctx, err)
	}
	if used.expectsHead() {
		_ = resp.Body.Close()
		return nil, brokenResponse("the target sent a response before the request; it must send one response to each request")
	}
	if resp.StatusCode < http.StatusOK {
		_ = resp.Body.Close()
		return nil, brokenResponse("the target switched to another protocol, which was not requested")
	}
	token := resp.Header.Get(headers.ContextToken)
	f.recordToken(transport, token)
	if token != "" && token != contextToken {
		_ = resp.Body.Close()
		transport.CloseIdleConnections() // the response to this request may still follow on the connection
		return nil, brokenResponse("the target sent the response to another request; it must not repeat a response on a kept connection")
	}
	if resp.Body != http.NoBody {
		resp.Body = &countedBody{resp.Body}
	}
	return resp, nil
}

// countedBody counts a body that cannot be read.
type countedBody struct{ io.ReadCloser }

func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		responsecheck.Count(err)
	}
	return n, err
}

// recordToken records whether the target names the context in its responses. If it no
// longer does, no connection is kept.
func (f *Forwarder) recordToken(transport *http.Transport, token string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.transport != transport {
		return // of an earlier target
	}
	if f.namesContext && token == "" {
		transport.CloseIdleConnections()
	}
	f.namesContext = token != ""
}

// classify converts an error of the HTTP transport to a typed error.
func classify(ctx context.Context, err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return &DialError{apierror.New(apierror.NoTarget, apierror.NotRun, "cannot connect to the target: %w", err)}
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return apierror.New(apierror.DeadlineExceeded, apierror.Unknown, "no response from the target before the deadline: %w", err)
	}
	if ctx.Err() != nil {
		return apierror.New(apierror.Canceled, apierror.Unknown, "request canceled while the target was processing it: %w", err)
	}
	return brokenResponse("request to the target failed: %w", err)
}

// brokenResponse counts a response that is not passed on, and returns the error in its
// place.
func brokenResponse(format string, args ...any) *apierror.Error {
	err := apierror.New(apierror.TargetFailed, apierror.Unknown, format, args...)
	responsecheck.Count(err)
	return err
}
