package callerconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"parsleyturn/internal/connlimit"
	"parsleyturn/internal/listener"
)

// testServer is a server with a Listener. Requests to /hold wait for release.
type testServer struct {
	*Listener
	limits  atomic.Pointer[Limits]
	release chan struct{}
	served  atomic.Int32
	left    atomic.Int32
	// beforeServing, if set, is called before Begin.
	beforeServing func()
}

func startServer(t *testing.T, limit, refusals int, limits Limits) *testServer {
	t.Helper()
	base, err := listener.Listen("127.0.0.1:0", "test", zerolog.Nop())
	assert.NilError(t, err)
	s := &testServer{release: make(chan struct{})}
	s.limits.Store(&limits)
	s.Listener = New(base, Options{Name: "test", Limit: connlimit.Config{Limit: limit, RefusalLimit: refusals}, Limits: func() Limits { return *s.limits.Load() }, Log: zerolog.Nop()})
	server := &http.Server{Handler: s, MaxHeaderBytes: 1 << 20}
	s.Attach(server)
	go func() { _ = server.Serve(s.Listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		s.Stop()
	})
	return s
}

func (s *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.beforeServing != nil {
		s.beforeServing()
	}
	err := Begin(r.Context())
	if errors.Is(err, ErrClosed) {
		panic(http.ErrAbortHandler)
	}
	if !KeepAlive(r.Context()) {
		w.Header().Set("Connection", "close")
	}
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if errors.Is(Check(r.Context()), ErrLeft) {
		s.left.Add(1)
		return
	}
	s.served.Add(1)
	if r.URL.Path == "/hold" {
		<-s.release
	}
	_, _ = io.WriteString(w, "ok")
}

// client is one connection.
type client struct {
	net.Conn
	br *bufio.Reader
}

func (s *testServer) dial(t *testing.T) *client {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	return &client{c, bufio.NewReader(c)}
}

func (c *client) send(path, fields string) {
	_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x\r\n%s\r\n", path, fields)
}

// status returns the status of the next response, or 0 if the connection was closed.
func (c *client) status() int {
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func (c *client) get(path string) int {
	c.send(path, "")
	return c.status()
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for begin := time.Now(); !ok(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(begin) < 5*time.Second, what)
	}
}

func (s *testServer) counts() (open, idle, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limiter.Counts()
}

// Guards against new clients that are not served while others keep idle connections
// open, and against closing another connection than the longest idle one.
func TestIdleConnectionsGiveWay(t *testing.T) {
	s := startServer(t, 8, 2, Limits{})
	var clients []*client
	for i := range 8 {
		c := s.dial(t)
		assert.Equal(t, c.get("/"), http.StatusOK)
		clients = append(clients, c)
		if i < 5 { // later responses close their connections
			waitFor(t, "the connection is not idle", func() bool { _, idle, _ := s.counts(); return idle == i+1 })
		}
	}
	for range 4 {
		s.dial(t).send("/hold", "")
	}
	waitFor(t, "new clients are not served", func() bool { return s.served.Load() == 12 })
	open, _, refused := s.counts()
	assert.Assert(t, open <= 8 && refused == 0, "%d open, %d refused", open, refused)
	assert.Equal(t, clients[0].get("/"), 0, "the longest idle connection is open")
	assert.Equal(t, clients[4].get("/"), http.StatusOK, "a connection that was idle for less time was closed")
	close(s.release)
}

// Guards against clients that get no answer while all connections are in use, and
// against a server that refuses or takes no clients after that.
func TestConnectionsBeyondTheShareAreRefused(t *testing.T) {
	s := startServer(t, 4, 2, Limits{})
	for range 4 {
		s.dial(t).send("/hold", "")
	}
	waitFor(t, "the share is not used", func() bool { return s.served.Load() == 4 })
	for range 20 {
		assert.Equal(t, s.dial(t).get("/"), http.StatusServiceUnavailable)
	}
	// More clients than refusals wait until there is room for theirs.
	silent := []*client{s.dial(t), s.dial(t)}
	waitFor(t, "the refusals are not used", func() bool { _, _, refused := s.counts(); return refused == 2 })
	waiting := s.dial(t)
	waiting.send("/", "")
	_ = silent[0].Close()
	assert.Equal(t, waiting.status(), http.StatusServiceUnavailable)
	close(s.release)
	waitFor(t, "connections stay counted", func() bool { open, idle, _ := s.counts(); return open-idle <= 1 })
	assert.Equal(t, s.dial(t).get("/"), http.StatusOK)
	assert.Equal(t, s.served.Load(), int32(5))
}

// Guards against a request that is served although its client left while the connection
// waited to be accepted (GONE).
func TestRequestOfClientThatLeftIsNotServed(t *testing.T) {
	s := startServer(t, 1, 1, Limits{})
	s.dial(t).send("/hold", "")
	waitFor(t, "the share is not used", func() bool { return s.served.Load() == 1 })
	silent := s.dial(t)
	waitFor(t, "the refusals are not used", func() bool { _, _, refused := s.counts(); return refused == 1 })
	for range 5 {
		c := s.dial(t) // in the queue of the listener
		c.send("/", "")
		_ = c.Close()
	}
	kept := s.dial(t)
	kept.send("/", "")
	close(s.release)
	_ = silent.Close()
	assert.Assert(t, kept.status() != 0)
	waitFor(t, "the requests were not read", func() bool { open, _, _ := s.counts(); return open <= 1 })
	assert.Assert(t, s.served.Load() <= 2, "%d requests were served, %d clients had left", s.served.Load(), s.left.Load())
}

// Guards against a request that is passed on after its connection was closed for
// another client, so that the caller gets no answer (LOST).
func TestRequestOnClosedConnectionIsNotServed(t *testing.T) {
	s := startServer(t, 8, 2, Limits{})
	c := s.dial(t)
	for i, c := range []*client{c, s.dial(t)} {
		assert.Equal(t, c.get("/"), http.StatusOK)
		waitFor(t, "the connection is not idle", func() bool { _, idle, _ := s.counts(); return idle == i+1 })
	}
	s.mu.Lock()
	entry := s.limiter.OutOfDescriptors(0)
	s.mu.Unlock()
	assert.Equal(t, len(entry), 1) // counted as closed, and still open for the server
	assert.Equal(t, c.get("/"), 0)
	assert.Equal(t, s.served.Load(), int32(2))
}

// Guards against timeouts and a limit for heads that are not those in force, also after
// they have changed.
func TestLimitsInForceApply(t *testing.T) {
	s := startServer(t, 100, 2, Limits{IdleTimeout: time.Hour, HeaderTimeout: time.Hour, MaxHeadBytes: 1000})
	idle, slow, silent := s.dial(t), s.dial(t), s.dial(t)
	assert.Equal(t, idle.get("/"), http.StatusOK)
	_, _ = io.WriteString(slow, "GET / HT")
	held := s.dial(t)
	held.send("/hold", "")
	time.Sleep(2 * sweepInterval)
	open, _, _ := s.counts()
	assert.Equal(t, open, 4)
	s.limits.Store(&Limits{IdleTimeout: 100 * time.Millisecond, HeaderTimeout: 100 * time.Millisecond, MaxHeadBytes: 1000})
	for name, c := range map[string]*client{"idle": idle, "slow": slow, "silent": silent} {
		_, err := c.br.ReadByte()
		assert.Assert(t, err == io.EOF || errors.Is(err, net.ErrClosed) || strings.Contains(err.Error(), "reset"), "%s: %v", name, err)
	}
	close(s.release)
	assert.Equal(t, held.status(), http.StatusOK, "a request that was served was cut off")

	assert.Equal(t, s.dial(t).get("/"), http.StatusOK)
	large := s.dial(t)
	large.send("/", "X: "+strings.Repeat("a", 4000)+"\r\n")
	assert.Equal(t, large.status(), http.StatusOK) // read ahead with the head
	large.send("/", "X: "+strings.Repeat("a", 20_000)+"\r\n")
	assert.Equal(t, large.status(), http.StatusRequestHeaderFieldsTooLarge)
	rest, _ := io.ReadAll(large.br)
	assert.Equal(t, string(rest), "", "bytes follow the refusal")
	s.limits.Store(&Limits{MaxHeadBytes: 30_000})
	larger := s.dial(t)
	larger.send("/", "X: "+strings.Repeat("a", 20_000)+"\r\n")
	assert.Equal(t, larger.status(), http.StatusOK)
}

// Guards against errors outside of a server with a Listener.
func TestRequestsOfOtherServers(t *testing.T) {
	ctx := context.Background()
	assert.NilError(t, Begin(ctx))
	assert.NilError(t, Check(ctx))
	assert.Assert(t, KeepAlive(ctx))
}
