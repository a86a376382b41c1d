// Package forward sends requests to the node's own target over HTTP.
package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"parsleyturn/internal/apierror"
	"parsleyturn/internal/headers"
	"parsleyturn/internal/wire"
)

// Forwarder holds the connections to one target.
type Forwarder struct {
	mu        sync.Mutex
	transport *http.Transport
	address   string
	limit     int
}

// Configure sets the target's address and the most connections it accepts.
func (f *Forwarder) Configure(address string, connections int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.address == address && f.limit == connections {
		return
	}
	if f.transport != nil {
		f.transport.CloseIdleConnections()
	}
	f.address, f.limit = address, connections
	f.transport = &http.Transport{
		// Idle connections are kept, since opening one costs about 1 ms.
		MaxConnsPerHost:       connections,
		MaxIdleConnsPerHost:   connections,
		MaxIdleConns:          connections,
		IdleConnTimeout:       90 * time.Second,
		DialContext:           (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableCompression:    true,
		ResponseHeaderTimeout: 0, // the deadline of the request bounds it
	}
}

// DialError means that the target accepted no connection, so the request
// certainly did not run.
type DialError struct{ Err *apierror.Error }

// Error gives the message of the typed error.
func (e *DialError) Error() string { return e.Err.Error() }

// Unwrap gives the typed error.
func (e *DialError) Unwrap() error { return e.Err }

// Do sends a request with its body. remaining is told to the target as its
// deadline, token identifies sub-calls.
func (f *Forwarder) Do(ctx context.Context, req *wire.Request, body []byte, remaining time.Duration, token string) (*http.Response, error) {
	f.mu.Lock()
	transport, address := f.transport, f.address
	f.mu.Unlock()
	if transport == nil {
		return nil, apierror.New(apierror.NoTarget, apierror.NotRun, "no target has announced itself to this node")
	}
	// A reader without GetBody keeps net/http from repeating the request on
	// another connection. It would repeat a GET without a body once for each
	// idle connection, and no retry allowance would bound that.
	reader := io.NopCloser(bytes.NewReader(body))
	out, err := http.NewRequestWithContext(ctx, req.Method, "http://"+address+req.Path, reader)
	if err != nil {
		return nil, apierror.New(apierror.BadRequest, apierror.NotRun, "method or path is malformed: %w", err)
	}
	if len(body) > 0 {
		out.ContentLength = int64(len(body))
	}
	for _, h := range req.Headers {
		out.Header.Add(h.Name, h.Value)
	}
	out.Header.Set(headers.RequestID, req.ID)
	out.Header.Set(headers.ContextToken, token)
	out.Header.Set(headers.DeadlineMS, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	if req.ClientAccount != "" {
		out.Header.Set(headers.ClientAccount, req.ClientAccount)
	}
	resp, err := transport.RoundTrip(out)
	if err != nil {
		return nil, classify(ctx, err)
	}
	return resp, nil
}

func classify(ctx context.Context, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &DialError{apierror.New(apierror.NoTarget, apierror.NotRun, "target accepts no connection: %w", err)}
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return apierror.New(apierror.DeadlineExceeded, apierror.Unknown, "target gave no answer in time: %w", err)
	}
	if ctx.Err() != nil {
		return apierror.New(apierror.Canceled, apierror.Unknown, "call canceled while the target worked on it: %w", err)
	}
	return apierror.New(apierror.TargetFailed, apierror.Unknown, "target failed: %w", err)
}
