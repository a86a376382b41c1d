// Package targetconn sends HTTP/1.1 requests to a node's local target. Unlike
// http.Transport, it never retries a request, reports whether a request may
// have reached the target, and skips extra responses to earlier requests on the
// same connection.
//
// It serves nodes on the users' platform; package forward has this role with
// the product's own interface.
package targetconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"parsleyturn/internal/responsecheck"
)

const (
	// dialTimeout bounds connecting on the same VM, which takes about 1 ms.
	dialTimeout = 300 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is reused if the target
	// does not announce its idle timeout.
	defaultIdleTimeout = 3 * time.Second
	// idleMargin is the time before the target's idle timeout at which reuse
	// ends, so that no request is sent while the target closes the connection.
	idleMargin = 1500 * time.Millisecond
	// maxIdleConns bounds the idle connections. No target needs more, as its
	// slots bound the requests in flight.
	maxIdleConns = 128
	// maxResponseReads bounds the responses that are read until the one to the
	// request is found. The others belong to earlier requests.
	maxResponseReads = 3
	// maxInterimResponses bounds the 1xx responses before the one to the request.
	maxInterimResponses = 8
	// bufferSize is enough for the header and body of most responses.
	bufferSize = 8 << 10
	// MaxBufferedBody is the number of response body bytes that are read before
	// any part of a response is forwarded, so that the request can still be
	// retried if the response is broken. Most responses have about 5 KB.
	MaxBufferedBody = 64 << 10
)

var (
	dials          = metrics.NewCounter(`parsley_target_connections_opened_total`)
	extraResponses = metrics.NewCounter(`parsley_target_extra_answers_total`)
	staleConns     = metrics.NewCounter(`parsley_target_idle_connections_lost_total`)
)

// Errors of Do.
var (
	// ErrNotSent means that no byte of the request was sent to the target.
	ErrNotSent = errors.New("the request was not sent to the target")
	// ErrInvalidResponse means that the target sent something other than a
	// valid response to the request.
	ErrInvalidResponse = errors.New("the target's response is malformed or belongs to another request")
)

type Request struct {
	Method string
	URI    string
	Host   string
	Header http.Header
	// Body is the request body, or its first part if BodyRest is set.
	Body     []byte
	BodyRest io.Reader
	// ID is the request ID that the response must repeat in the header
	// IDHeader.
	ID       string
	IDHeader string
}

// Response is the response to a request. Body is the body, or its first part if
// BodyRest is set. BodyRest must be closed.
type Response struct {
	Status   int
	Header   http.Header
	Body     []byte
	BodyRest io.ReadCloser
}

type conn struct {
	*responsecheck.Conn
	br      *responsecheck.Reader
	bw      *bufio.Writer
	expires time.Time
	used    bool
}

func newConn(nc net.Conn) *conn {
	c := responsecheck.New(nc)
	return &conn{Conn: c, br: responsecheck.NewReader(c, bufferSize), bw: bufio.NewWriterSize(c, bufferSize)}
}

// readHead reads the head of a response. Interim responses before it are skipped.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	for range maxInterimResponses + 1 {
		head, err := c.br.NextHead()
		if err != nil {
			return nil, err
		}
		if head.Status == http.StatusSwitchingProtocols {
			return nil, fmt.Errorf("%w: it switches to another protocol, which was not requested", ErrInvalidResponse)
		}
		resp, err := http.ReadResponse(c.br.Reader, req)
		if err != nil || !head.Interim() {
			return resp, err
		}
	}
	return nil, fmt.Errorf("%w: more than %d interim responses", ErrInvalidResponse, maxInterimResponses)
}

// Pool keeps idle connections to one target address. It must be closed before it
// is used with another address. The zero value is ready to use.
type Pool struct {
	mu   sync.Mutex
	idle []*conn
}

// Close closes the idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// get returns an idle connection that is still open, or a new one.
func (p *Pool) get(ctx context.Context, address string) (*conn, error) {
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.mu.Unlock()
			break
		}
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		if time.Now().Before(c.expires) && isIdleAndOpen(c.Conn.Conn) {
			return c, nil
		}
		staleConns.Inc()
		_ = c.Close()
	}
	dials.Inc()
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%w: connect to %s: %w", ErrNotSent, address, err)
	}
	return newConn(nc), nil
}

func (p *Pool) put(c *conn, idle time.Duration) {
	c.used = true
	c.expires = time.Now().Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= maxIdleConns {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// isIdleAndOpen reports whether an idle connection is open and has no unread
// bytes, which would belong to no request.
func isIdleAndOpen(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// Do sends a request at most once and reads the response. An error that matches
// ErrNotSent means that the target cannot have run the request.
func (p *Pool) Do(ctx context.Context, address string, req *Request) (*Response, error) {
	c, err := p.get(ctx, address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	resp, err := p.exchange(c, req, stop)
	if err != nil {
		stop()
		_ = c.Close()
		if ctx.Err() != nil {
			return nil, fmt.Errorf("%w: %w", context.Cause(ctx), err)
		}
		responsecheck.Count(err)
		return nil, err
	}
	return resp, nil
}

func (p *Pool) exchange(c *conn, req *Request, stop func() bool) (*Response, error) {
	hr := &http.Request{
		Method: req.Method, URL: &url.URL{Opaque: req.URI}, Host: req.Host, Header: req.Header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	switch {
	case req.BodyRest != nil:
		hr.Body, hr.ContentLength = io.NopCloser(io.MultiReader(bytes.NewReader(req.Body), req.BodyRest)), -1
	case len(req.Body) > 0:
		hr.Body, hr.ContentLength = io.NopCloser(bytes.NewReader(req.Body)), int64(len(req.Body))
	}
	// A target may respond before it has read the whole body, so a response can
	// arrive despite a write error.
	writeErr := hr.Write(c.bw)
	if writeErr == nil {
		writeErr = c.bw.Flush()
	}
	var resp *http.Response
	for read := range maxResponseReads {
		var err error
		if resp, err = c.readHead(hr); err != nil {
			return nil, fmt.Errorf("read the target's response: %w", errors.Join(err, writeErr))
		}
		id := resp.Header.Get(req.IDHeader)
		// A response without request ID is accepted only if it is no success and
		// is the first one on its connection, so that no earlier request can be
		// meant.
		if id == req.ID || id == "" && !c.used && read == 0 && resp.StatusCode >= 300 {
			return p.readBody(c, resp, stop, writeErr == nil)
		}
		if id == "" {
			break
		}
		extraResponses.Inc()
		if _, err := io.CopyN(io.Discard, resp.Body, MaxBufferedBody); err != io.EOF {
			break
		}
	}
	return nil, fmt.Errorf("%w: response has request ID %q instead of %q", ErrInvalidResponse, resp.Header.Get(req.IDHeader), req.ID)
}

// readBody reads a body of up to MaxBufferedBody bytes and leaves the rest of a
// longer one in BodyRest. Once the body has been read completely, the connection
// returns to the pool if it can be reused. sent means that the whole request was
// written.
func (p *Pool) readBody(c *conn, resp *http.Response, stop func() bool, sent bool) (*Response, error) {
	if resp.Header.Get("Content-Encoding") != "" {
		return nil, fmt.Errorf("%w: it has a content encoding that was not requested", ErrInvalidResponse)
	}
	out := &Response{Status: resp.StatusCode, Header: resp.Header}
	reusable := sent && !resp.Close && resp.ContentLength != -1 || sent && !resp.Close && len(resp.TransferEncoding) > 0
	done := func(complete bool) {
		if stop() && complete && reusable && c.br.Buffered() == 0 {
			p.put(c, idleTime(resp.Header))
			return
		}
		_ = c.Close()
	}
	if resp.ContentLength > MaxBufferedBody {
		out.BodyRest = &bodyRest{r: resp.Body, onClose: done}
		return out, nil
	}
	buf := bytes.NewBuffer(make([]byte, 0, max(resp.ContentLength, 512)))
	n, err := io.Copy(buf, io.LimitReader(resp.Body, MaxBufferedBody+1))
	if err != nil {
		return nil, fmt.Errorf("read the body of the target's response: %w", err)
	}
	out.Body = buf.Bytes()
	if n > MaxBufferedBody {
		out.BodyRest = &bodyRest{r: resp.Body, onClose: done}
		return out, nil
	}
	done(true)
	return out, nil
}

// bodyRest reads the rest of a long response.
type bodyRest struct {
	r       io.ReadCloser
	onClose func(complete bool)
	eof     bool
	once    sync.Once
}

func (b *bodyRest) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	switch {
	case err == io.EOF:
		b.eof = true
	case err != nil:
		responsecheck.Count(err)
	}
	return n, err
}

func (b *bodyRest) Close() error {
	b.once.Do(func() { b.onClose(b.eof) })
	return nil
}

// idleTime returns the time after a response in which the connection may be
// reused.
func idleTime(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return max(time.Duration(s)*time.Second-idleMargin, 0)
		}
	}
	return defaultIdleTimeout
}
