package listener

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// failing is a listener whose Accept returns errors before it accepts.
type failing struct {
	net.Listener
	errs chan error
}

func (f failing) Accept() (net.Conn, error) {
	select {
	case err := <-f.errs:
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
	default:
		return f.Listener.Accept()
	}
}

// Guards against a listener that accepts no more connections after an error that
// passes, as when the process has run out of descriptors for a moment (Starved).
func TestPassingErrorsAreOutlived(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	errs := make(chan error, 10)
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS, syscall.EPERM} {
		errs <- e
	}
	l := New(failing{inner, errs}, "test", zerolog.Nop())
	var short atomic.Int32
	l.OnShort = func() { short.Add(1) }
	l.OnLost = func(err error) { t.Errorf("listener counts as lost after %v", err) }
	go func() {
		if c, err := net.Dial("tcp", inner.Addr().String()); err == nil {
			_ = c.Close()
		}
	}()
	c, err := l.Accept()
	assert.NilError(t, err)
	_ = c.Close()
	assert.Equal(t, short.Load(), int32(3))
	assert.NilError(t, l.Close())
	_, err = l.Accept()
	assert.ErrorIs(t, err, net.ErrClosed)
}

// Guards against a listener that is lost and not reported, and against one that goes on
// trying after it was closed.
func TestLostAndClosedListenersEnd(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	errs := make(chan error, 1000)
	l := New(failing{inner, errs}, "test", zerolog.Nop())
	lost := make(chan error, 1)
	l.OnLost = func(err error) { lost <- err }
	errs <- syscall.EBADF
	_, err = l.Accept()
	assert.Assert(t, errors.Is(err, syscall.EBADF) && errors.Is(<-lost, syscall.EBADF))

	done := make(chan error, 1)
	for range cap(errs) {
		errs <- syscall.EMFILE
	}
	go func() {
		_, err := l.Accept()
		done <- err
	}()
	time.Sleep(20 * time.Millisecond)
	assert.NilError(t, l.Close())
	select {
	case err := <-done:
		assert.ErrorIs(t, err, net.ErrClosed)
	case <-time.After(time.Second):
		t.Fatal("Accept goes on after Close")
	}
	assert.Assert(t, len(errs) > cap(errs)/2, "%d errors left", len(errs))
}
