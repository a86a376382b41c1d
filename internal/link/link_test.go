package link

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/apierror"
	"parsleyturn/internal/faultproxy"
	"parsleyturn/internal/wire"
)

// connect starts a server with the handler and returns a connection to it.
func connect(t *testing.T, h Handler) *Conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	hello := func() wire.Hello { return wire.Hello{Protocol: wire.ProtocolVersion, NodeID: "n1"} }
	srv := &Server{Hello: hello, Timeouts: DefaultTimeouts(), Handler: h}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(srv.Close)
	pool := &Pool{Hello: hello, Timeouts: DefaultTimeouts()}
	t.Cleanup(pool.Close)
	c, err := pool.Get(context.Background(), l.Addr().String(), "n1")
	assert.NilError(t, err)
	return c
}

func echo(s *Stream) {
	body, err := io.ReadAll(s)
	if err != nil {
		return
	}
	_ = s.Respond(&wire.Response{Status: 200})
	_, _ = s.Write(body)
	_ = s.Finish(wire.End{})
}

// Guards against bodies that are mixed up, reordered or truncated because the
// writer interleaves the chunks of concurrent streams on one connection.
func TestBodiesOfConcurrentStreamsStayIntact(t *testing.T) {
	c := connect(t, echo)
	const calls = 16
	errs := make(chan error, calls)
	for i := range calls {
		go func() {
			body := make([]byte, i*100_000)
			_, _ = rand.Read(body)
			s, err := c.Open(context.Background(), &wire.Request{ID: "r"}, body, false)
			if err != nil {
				errs <- err
				return
			}
			defer s.Close()
			if _, err := s.Response(); err != nil {
				errs <- err
				return
			}
			got, err := io.ReadAll(s)
			if err == nil && !bytes.Equal(got, body) {
				err = errors.New("body differs")
			}
			errs <- err
		}()
	}
	for range calls {
		assert.NilError(t, <-errs)
	}
}

// Guards against reading a body as complete although the sender aborted it and
// ended it with Aborted set.
func TestAbortedBodyIsAnError(t *testing.T) {
	c := connect(t, func(s *Stream) {
		_ = s.Respond(&wire.Response{Status: 200})
		_, _ = s.Write([]byte("part"))
		_ = s.Finish(wire.End{Aborted: true})
	})
	s, err := c.Open(context.Background(), &wire.Request{}, nil, false)
	assert.NilError(t, err)
	_, err = s.Response()
	assert.NilError(t, err)
	_, err = io.ReadAll(s)
	assert.ErrorIs(t, err, ErrTruncated)
}

// Guards against a refusal whose code or load is lost between the nodes, so
// that the caller gets an untyped error.
func TestRefusalArrivesTyped(t *testing.T) {
	c := connect(t, func(s *Stream) {
		_ = s.Refuse(&wire.Refused{Code: apierror.Overloaded, Outcome: apierror.NotRun, Load: wire.Load{Threshold: 4}})
	})
	s, err := c.Open(context.Background(), &wire.Request{}, nil, false)
	assert.NilError(t, err)
	_, err = s.Response()
	var refused *RefusedError
	assert.Assert(t, errors.As(err, &refused))
	assert.Equal(t, refused.Code, apierror.Overloaded)
	assert.Equal(t, refused.Load.Threshold, 4)
}

// Guards against work that continues on the server after its caller has
// canceled the call, because the server does not learn of it.
func TestCancelReachesTheServer(t *testing.T) {
	canceled := make(chan struct{})
	c := connect(t, func(s *Stream) {
		<-s.Context().Done()
		close(canceled)
	})
	ctx, cancel := context.WithCancel(context.Background())
	s, err := c.Open(ctx, &wire.Request{}, nil, false)
	assert.NilError(t, err)
	cancel()
	_, err = s.Response()
	assert.ErrorIs(t, err, context.Canceled)
	s.Cancel()
	select {
	case <-canceled:
	case <-time.After(5 * time.Second):
		t.Fatal("the server's context was not canceled within 5 s")
	}
}

// Guards against closing a connection with ErrPeerTimeout right after a call
// was opened on it, because the time that it was idle before the call counts.
func TestIdleTimeDoesNotCountTowardsPeerTimeout(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	hello := func() wire.Hello { return wire.Hello{Protocol: wire.ProtocolVersion, NodeID: "n1"} }
	timeouts := Timeouts{PingAfter: 100 * time.Millisecond, PeerTimeout: 300 * time.Millisecond, IdleTimeout: time.Minute, HandshakeTimeout: time.Second}
	srv := &Server{Hello: hello, Timeouts: timeouts, Handler: func(s *Stream) {
		time.Sleep(80 * time.Millisecond)
		_ = s.RespondComplete(&wire.Response{Status: 200}, nil, wire.End{})
	}}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(srv.Close)
	pool := &Pool{Hello: hello, Timeouts: timeouts}
	t.Cleanup(pool.Close)
	c, err := pool.Get(context.Background(), l.Addr().String(), "n1")
	assert.NilError(t, err)
	for range 5 {
		time.Sleep(400 * time.Millisecond) // longer than PeerTimeout
		s, err := c.Open(context.Background(), &wire.Request{}, nil, false)
		assert.NilError(t, err)
		_, err = s.Response()
		assert.NilError(t, err)
		s.Close()
	}
}

// Guards against a call that is lost because the connection has gone silent while it
// was idle, which only a response can show. The call must not be sent again.
func TestSilentConnectionIsReplacedBeforeCall(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	proxy := faultproxy.New()
	t.Cleanup(proxy.Close)
	address, err := proxy.ListenTCP("127.0.0.1:0", l.Addr().String())
	assert.NilError(t, err)
	hello := func() wire.Hello { return wire.Hello{Protocol: wire.ProtocolVersion, NodeID: "n1"} }
	timeouts := Timeouts{PingAfter: 100 * time.Millisecond, PeerTimeout: 300 * time.Millisecond, IdleTimeout: time.Minute, HandshakeTimeout: time.Second}
	srv := &Server{Hello: hello, Timeouts: timeouts, Handler: echo}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(srv.Close)
	pool := &Pool{Hello: hello, Timeouts: timeouts}
	t.Cleanup(pool.Close)
	call := func() (*Conn, error) {
		c, err := pool.GetConfirmed(t.Context(), address, "n1")
		if err != nil {
			return nil, err
		}
		s, err := c.Open(t.Context(), &wire.Request{ID: "r"}, nil, false)
		if err != nil {
			return nil, err
		}
		defer s.Close()
		_, err = s.Response()
		return c, err
	}
	first, err := call()
	assert.NilError(t, err)
	time.Sleep(2 * timeouts.PeerTimeout)
	idle, err := call()
	assert.NilError(t, err)
	assert.Equal(t, idle, first, "a connection that was idle, but works, is kept")
	time.Sleep(2 * timeouts.PeerTimeout)
	assert.Equal(t, proxy.Blackhole("", ""), 1)
	_, err = call()
	assert.NilError(t, err)
	// A peer that is slower than PingAfter is still reached.
	proxy.SetRules(func(_, _ string) faultproxy.Rule { return faultproxy.Rule{Delay: timeouts.PingAfter} })
	time.Sleep(2 * timeouts.PeerTimeout)
	_, err = call()
	assert.NilError(t, err)
}

// Guards against reading a body as complete although bytes were lost: END
// declares a length other than the number of bytes received.
func TestBodyLengthMismatchIsAnError(t *testing.T) {
	c := connect(t, func(s *Stream) {
		_ = s.Respond(&wire.Response{Status: 200})
		_, _ = s.Write([]byte("part"))
		s.conn.mu.Lock()
		s.sent++ // END declares one byte more than was sent
		s.conn.mu.Unlock()
		_ = s.Finish(wire.End{})
	})
	s, err := c.Open(context.Background(), &wire.Request{}, nil, false)
	assert.NilError(t, err)
	_, err = io.ReadAll(s)
	assert.ErrorIs(t, err, ErrTruncated)
}

// slowListener accepts connections that delay each write.
type slowListener struct{ net.Listener }

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return slowConn{c}, err
}

type slowConn struct{ net.Conn }

func (c slowConn) Write(p []byte) (int, error) {
	time.Sleep(5 * time.Millisecond)
	return c.Conn.Write(p)
}

// Guards against a stopping node that closes its links while the response to a
// request that has ended at the target is still queued (502, read from node: EOF).
func TestCloseAfterLastCallKeepsItsResponse(t *testing.T) {
	hello := func() wire.Hello { return wire.Hello{Protocol: wire.ProtocolVersion, NodeID: "n1"} }
	body := bytes.Repeat([]byte("b"), 20_000)
	for range 20 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		started := make(chan struct{})
		srv := &Server{Hello: hello, Timeouts: DefaultTimeouts(), Handler: func(s *Stream) {
			close(started)
			_ = s.RespondComplete(&wire.Response{Status: 200}, body, wire.End{})
		}}
		go func() { _ = srv.Serve(slowListener{l}) }()
		pool := &Pool{Hello: hello, Timeouts: DefaultTimeouts()}
		c, err := pool.Get(t.Context(), l.Addr().String(), "n1")
		assert.NilError(t, err)
		s, err := c.Open(t.Context(), &wire.Request{ID: "r"}, nil, false)
		assert.NilError(t, err)
		<-started
		go func() {
			for srv.Unfinished() > 0 {
				time.Sleep(10 * time.Microsecond)
			}
			srv.Close()
		}()
		_, err = s.Response()
		assert.NilError(t, err)
		got, err := io.ReadAll(s)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, body))
		s.Close()
		pool.Close()
	}
}

// Guards against a caller that waits until its deadline for a response that its peer
// has not sent before the end of the call, and against the loss of the other calls of
// the connection.
func TestCallThatEndsWithoutResponseFails(t *testing.T) {
	c := connect(t, func(s *Stream) {
		if s.Request.ID == "none" {
			_ = s.Finish(wire.End{Aborted: true})
			return
		}
		echo(s)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	for _, id := range []string{"none", "r", "none"} {
		s, err := c.Open(ctx, &wire.Request{ID: id}, nil, false)
		assert.NilError(t, err)
		_, err = s.Response()
		if id == "none" {
			assert.ErrorIs(t, err, ErrTruncated)
		} else {
			assert.NilError(t, err)
		}
		s.Close()
	}
}

// Guards against a status that is none, which a node of an earlier version passes on, as
// an answer for the caller (MIXED).
func TestResponseWithoutValidStatusIsAnError(t *testing.T) {
	c := connect(t, func(s *Stream) {
		status, err := strconv.Atoi(s.Request.ID)
		assert.Check(t, err)
		_ = s.RespondComplete(&wire.Response{Status: status}, []byte("body"), wire.End{})
	})
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	for status, valid := range map[int]bool{-1: false, 0: false, 99: false, 100: true, 200: true, 599: true, 600: false, 999: false} {
		s, err := c.Open(ctx, &wire.Request{ID: strconv.Itoa(status)}, nil, false)
		assert.NilError(t, err)
		resp, err := s.Response()
		if valid {
			assert.NilError(t, err)
			assert.Equal(t, resp.Status, status)
		} else {
			assert.ErrorIs(t, err, ErrInvalidStatus, "status %d", status)
		}
		s.Cancel()
	}
}
