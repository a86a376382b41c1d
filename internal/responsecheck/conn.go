package responsecheck

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// ErrReset means that the connection was lost while the target responded. A body that
// ends with its connection is incomplete then.
var ErrReset = errors.New("the connection was reset, so the response may be incomplete; check why the target ends connections while requests are being sent")

// Conn is a connection to a target. Its Read returns io.EOF only if the target closed the
// connection in an orderly way. It may be read and written at the same time.
//
// The kernel reports the loss of a connection once. If a Write gets that error, a later
// read on the socket finds the end of the stream, as after an orderly close.
type Conn struct {
	net.Conn
	// writes is held during each write.
	writes   sync.Mutex
	writeErr error
}

// New returns a Conn for a connection that has not been used.
func New(nc net.Conn) *Conn { return &Conn{Conn: nc} }

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.writes.Lock()
	defer c.writes.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read reads from the connection. Once it has returned io.EOF, writes fail: the target
// has ended its response.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF {
		return n, err
	}
	// A write that is in progress may have received the error. It ends at the deadline.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	if lost := c.lost(); lost != nil {
		return n, fmt.Errorf("%w: %w", ErrReset, lost)
	}
	return n, io.EOF
}

// lost returns the error with which the connection was lost, if a write received it.
// After an orderly close by the target, a write gets EPIPE if the target resets the
// connection.
func (c *Conn) lost() error {
	c.writes.Lock()
	defer c.writes.Unlock()
	var errno syscall.Errno
	if errors.As(c.writeErr, &errno) && errno != syscall.EPIPE {
		return c.writeErr
	}
	return nil
}
