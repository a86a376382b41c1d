package forward

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"parsleyturn/internal/responsecheck"
)

const (
	dialTimeout = time.Second
	// readBufferSize is the size of the read buffers of a connection and of the transport.
	// It is enough for the head of most responses.
	readBufferSize = 4 << 10
)

// conn is a connection of an http.Transport. Before the transport gets the head of a
// response, it is complete and has been checked.
type conn struct {
	*responsecheck.Conn
	r *responsecheck.Reader
	// headDue is set from the start of a request until the head of its response has
	// been checked.
	headDue atomic.Bool
	// headLeft is the number of bytes of a checked head that have not been read.
	headLeft int
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := responsecheck.New(nc)
	return &conn{Conn: c, r: responsecheck.NewReader(c, readBufferSize)}, nil
}

// expectHead must be called before a request is written.
func (c *conn) expectHead() { c.headDue.Store(true) }

// expectsHead reports whether the head of the response has not been received yet.
func (c *conn) expectsHead() bool { return c.headDue.Load() }

// Read reads from the connection. The transport calls it for a kept connection before
// the next request begins. It reads more than its buffer holds only in a body.
func (c *conn) Read(p []byte) (int, error) {
	if c.headLeft == 0 && len(p) <= readBufferSize {
		if err := c.checkHead(); err != nil {
			return 0, err
		}
	}
	if c.headLeft == 0 {
		return c.r.Read(p)
	}
	n, err := c.r.Read(p[:min(len(p), c.headLeft)])
	c.headLeft -= n
	return n, err
}

// checkHead waits for the next byte and, if it begins a head, checks that.
func (c *conn) checkHead() error {
	if _, err := c.r.Peek(1); err != nil {
		return err
	}
	if !c.headDue.Load() {
		return nil
	}
	head, err := c.r.NextHead()
	if err != nil {
		return err
	}
	c.headLeft = head.Size
	c.headDue.Store(head.Interim())
	return nil
}

// Write writes to the connection. That the target has closed or reset it is left for
// Read to report, after what the target sent before: net/http gives up a response that
// has arrived if a write fails.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		return len(p), nil
	}
	return n, err
}
