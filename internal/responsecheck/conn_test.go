package responsecheck

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/rawtarget"
)

// connect returns the two ends of a connection.
func connect(t *testing.T) (*Conn, *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	nc, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	peer, err := l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = peer.Close() })
	return New(nc), peer.(*net.TCPConn)
}

// dial connects to a target that sends a response and ends the connection. The target
// does not read what is sent to it before.
func dial(t *testing.T, r rawtarget.Response) *Conn {
	t.Helper()
	c, target := connect(t)
	go r.Send(target, "")
	return c
}

// writeUntilFailure writes until the connection fails.
func writeUntilFailure(c *Conn) {
	for block := make([]byte, 64<<10); ; {
		if _, err := c.Write(block); err != nil {
			return
		}
	}
}

// Guards against the end of a stream that is taken for an orderly close because a write
// received the error of the reset (MIXED).
func TestReadAfterFailedWriteReportsReset(t *testing.T) {
	c := dial(t, rawtarget.Response{Bytes: "part", End: rawtarget.Reset})
	writeUntilFailure(c)
	got, err := io.ReadAll(c)
	assert.Equal(t, string(got), "part")
	assert.ErrorIs(t, err, ErrReset)
}

// Guards against the same where the write fails while the connection is being read.
func TestReadBesideFailingWriteReportsReset(t *testing.T) {
	for range 200 {
		c := dial(t, rawtarget.Response{Bytes: "part", Burst: true, End: rawtarget.Reset})
		go writeUntilFailure(c)
		_, err := io.ReadAll(c)
		assert.Assert(t, err != nil, "the reset was taken for an orderly close")
	}
}

// Guards against a complete response that is lost because the target did not read the
// whole request.
func TestReadAfterOrderlyClose(t *testing.T) {
	for name, end := range map[string]rawtarget.End{"request read": rawtarget.Close, "request not read": rawtarget.CloseUnread} {
		c := dial(t, rawtarget.Response{Bytes: "whole", End: end})
		if end == rawtarget.CloseUnread {
			writeUntilFailure(c)
		}
		got, err := io.ReadAll(c)
		assert.NilError(t, err, name)
		assert.Equal(t, string(got), "whole", name)
	}
}

// Guards against a read that waits for a write for which the target has no use.
func TestOrderlyCloseEndsWrite(t *testing.T) {
	c, peer := connect(t)
	written := make(chan struct{})
	go func() {
		defer close(written)
		writeUntilFailure(c)
	}()
	_, err := io.WriteString(peer, "whole")
	assert.NilError(t, err)
	assert.NilError(t, peer.CloseWrite())
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	got, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "whole")
	select {
	case <-written:
	case <-time.After(5 * time.Second):
		t.Fatal("the write goes on 5 s after the target has closed the connection")
	}
}
