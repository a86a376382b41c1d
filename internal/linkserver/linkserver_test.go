package linkserver

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"parsleyturn/internal/configdist"
	"parsleyturn/internal/executor"
	"parsleyturn/internal/gossip"
	"parsleyturn/internal/headers"
	"parsleyturn/internal/kernel"
	"parsleyturn/internal/link"
	"parsleyturn/internal/membership"
	"parsleyturn/internal/regionlimiter"
	"parsleyturn/internal/targetstatus"
	"parsleyturn/internal/wire"
)

const maxBody = 1000

// testLinkServer is a link server with an executor and a target. The request's
// path selects the behavior of the target, which responds with the request ID.
type testLinkServer struct {
	server       *Service
	address      string
	releaseHeld  chan struct{}
	heldCanceled chan struct{} // receives a value when a held request is canceled
	executions   atomic.Int64
	deadlineMS   atomic.Int64
}

func newTestLinkServer(t *testing.T) *testLinkServer {
	t.Helper()
	r := &testLinkServer{releaseHeld: make(chan struct{}), heldCanceled: make(chan struct{}, 10)}
	target := httptest.NewServer(r)
	hello := func() wire.Hello { return wire.Hello{Protocol: wire.ProtocolVersion, NodeID: "n1"} }
	status := &targetstatus.Service{Log: zerolog.Nop()}
	exec := &executor.Service{NodeID: "n1", Incarnation: 7, TicketLifetime: time.Minute, Log: zerolog.Nop()}
	r.server = &Service{MaxBodyBytes: maxBody, Hello: hello, Timeouts: link.DefaultTimeouts(), Log: zerolog.Nop()}
	k := kernel.New()
	services := []struct {
		name    string
		service kernel.Service
	}{
		{gossip.Name, gossip.New(membership.Node{ID: "n1", Incarnation: 7}, "", nil, zerolog.Nop())},
		{configdist.Name, &configdist.Service{}}, {regionlimiter.Name, &regionlimiter.Service{}},
		{targetstatus.Name, status}, {executor.Name, exec}, {Name, r.server},
	}
	for _, s := range services {
		assert.NilError(t, k.Register(s.name, s.service))
	}
	for _, s := range services {
		assert.NilError(t, s.service.Provision(k))
	}
	assert.NilError(t, status.HandleAnnouncement(targetstatus.Announcement{
		Service: "s", Address: strings.TrimPrefix(target.URL, "http://"), Slots: 20, Connections: 50, State: targetstatus.Ready, Incarnation: "1",
	}))
	assert.NilError(t, exec.Start(context.Background()))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r.address = l.Addr().String()
	go func() { _ = r.server.server.Serve(l) }()
	t.Cleanup(func() {
		assert.NilError(t, r.server.Stop(context.Background()))
		target.CloseClientConnections()
		target.Close()
		assert.NilError(t, exec.Stop(context.Background()))
	})
	return r
}

func (r *testLinkServer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.executions.Add(1)
	ms, _ := strconv.Atoi(req.Header.Get(headers.DeadlineMS))
	r.deadlineMS.Store(int64(ms))
	size := 10
	switch req.URL.Path {
	case "/hold":
		select {
		case <-r.releaseHeld:
		case <-req.Context().Done():
			r.heldCanceled <- struct{}{}
			return
		}
	case "/cut-short", "/cut-long", "/cut-chunked":
		if req.URL.Path == "/cut-long" {
			size = 100_000
		}
		if req.URL.Path != "/cut-chunked" {
			w.Header().Set("Content-Length", strconv.Itoa(size+1))
		}
		_, _ = w.Write(make([]byte, size))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case "/no-body":
		w.Header().Set("Content-Length", "5")
		return
	}
	_, _ = io.WriteString(w, req.Header.Get(headers.RequestID))
}

// connect opens a link connection as another node.
func (r *testLinkServer) connect(t *testing.T) *link.Conn {
	t.Helper()
	pool := &link.Pool{Hello: func() wire.Hello { return wire.Hello{Protocol: wire.ProtocolVersion, NodeID: "n2"} }, Timeouts: link.DefaultTimeouts()}
	t.Cleanup(pool.Close)
	c, err := pool.Get(context.Background(), r.address, "n1")
	assert.NilError(t, err)
	return c
}

func request(id, path, ticket string) *wire.Request {
	return &wire.Request{
		ID: id, Kind: "k", Service: "s", Method: http.MethodGet, Path: path, RemainingMicros: 5_000_000, Depth: 1,
		Allowance: 3, NonIdempotent: ticket != "", Ticket: ticket,
	}
}

func open(t *testing.T, c *link.Conn, req *wire.Request, body []byte) *link.Stream {
	t.Helper()
	s, err := c.Open(context.Background(), req, body, false)
	assert.NilError(t, err)
	return s
}

// summarize closes the stream and returns what the other node received: the
// code, outcome and allowance of a refusal, "lost", "cut" or the body.
func summarize(s *link.Stream) string {
	defer s.Close()
	_, err := s.Response()
	var refused *link.RefusedError
	if errors.As(err, &refused) {
		return string(refused.Code) + " " + string(refused.Outcome) + " " + strconv.Itoa(refused.Allowance)
	}
	if err != nil {
		return "lost"
	}
	body, err := io.ReadAll(s)
	if err != nil {
		return "cut"
	}
	return string(body)
}

func (r *testLinkServer) requestTicket(t *testing.T, c *link.Conn) string {
	t.Helper()
	req := request("t", "/", "")
	req.IssueTicket = true
	s := open(t, c, req, nil)
	defer s.Close()
	resp, err := s.Response()
	assert.NilError(t, err)
	return resp.Ticket
}

func (r *testLinkServer) awaitExecutions(t *testing.T, n int64) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); r.executions.Load() < n; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%d executions, expected %d", r.executions.Load(), n)
	}
}

// Guards against a second execution when requests with the same ticket arrive
// on two connections, and against losing the recorded response when the
// connection of the first request is closed.
func TestTicketOnTwoLinksRunsOnce(t *testing.T) {
	r := newTestLinkServer(t)
	a, b := r.connect(t), r.connect(t)
	tk := r.requestTicket(t, a)
	first := open(t, a, request("r", "/hold", tk), nil)
	second := open(t, b, request("r", "/hold", tk), nil)
	r.awaitExecutions(t, 1)
	a.Close()
	assert.Equal(t, summarize(first), "lost")
	close(r.releaseHeld)
	assert.Equal(t, summarize(second), "r")
	assert.Equal(t, summarize(open(t, b, request("r", "/hold", tk), nil)), "r")
	assert.Equal(t, r.executions.Load(), int64(1))
}

// Guards against forwarding a response as complete although the target aborted
// it, and against reporting a response to HEAD as truncated because it declares
// a Content-Length but has no body.
func TestTruncatedResponsesAreDetected(t *testing.T) {
	r := newTestLinkServer(t)
	c := r.connect(t)
	for _, path := range []string{"/cut-short", "/cut-long", "/cut-chunked"} {
		assert.Equal(t, summarize(open(t, c, request("r", path, ""), nil)), "cut", path)
	}
	req := request("r", "/no-body", "")
	req.Method = http.MethodHead
	assert.Equal(t, summarize(open(t, c, req, nil)), "", "HEAD")
}

// Guards against refusing an invalid request body with the outcome "not run"
// although an earlier request with the same ticket may have been executed, and
// against a refusal that does not return the allowance.
func TestRefusedBodies(t *testing.T) {
	r := newTestLinkServer(t)
	c := r.connect(t)
	long := bytes.Repeat([]byte("x"), maxBody+1)
	assert.Equal(t, summarize(open(t, c, request("r", "/", ""), long)), "too_large not-run 3")
	assert.Equal(t, summarize(open(t, c, request("r", "/", "some ticket"), long)), "too_large unknown 3")
	for ticket, want := range map[string]string{"": "bad_request not-run 3", "some ticket": "bad_request unknown 3"} {
		s, err := c.Open(context.Background(), request("r", "/", ticket), nil, true)
		assert.NilError(t, err)
		assert.NilError(t, s.Finish(wire.End{Aborted: true}))
		assert.Equal(t, summarize(s), want)
	}
	assert.Equal(t, r.executions.Load(), int64(0))
}

// Guards against delivering the late response of a canceled request to another
// request on the same connection, and against continuing an idempotent request
// whose caller has canceled it.
func TestLateResponseIsDiscarded(t *testing.T) {
	r := newTestLinkServer(t)
	c := r.connect(t)
	late := open(t, c, request("late", "/hold", r.requestTicket(t, c)), nil)
	canceled := open(t, c, request("gone", "/hold", ""), nil)
	r.awaitExecutions(t, 2)
	late.Cancel()
	canceled.Cancel()
	<-r.heldCanceled // of the idempotent request; the other one continues
	close(r.releaseHeld)
	for i := range 20 {
		id := "r" + strconv.Itoa(i)
		assert.Equal(t, summarize(open(t, c, request(id, "/hold", ""), nil)), id)
	}
}

// Guards against a deadline of the target that is too late by the time that the
// request body takes to arrive, because RemainingMicros was set before the body
// was sent.
func TestBodyTransferTimeShortensTheDeadline(t *testing.T) {
	const wait = 60 * time.Millisecond
	r := newTestLinkServer(t)
	s, err := r.connect(t).Open(context.Background(), request("r", "/", ""), nil, true)
	assert.NilError(t, err)
	_, err = s.Write([]byte("x"))
	assert.NilError(t, err)
	time.Sleep(2 * wait)
	assert.NilError(t, s.Finish(wire.End{}))
	assert.Equal(t, summarize(s), "r")
	assert.Assert(t, r.deadlineMS.Load() <= (5*time.Second-wait).Milliseconds(), "target received a deadline of %d ms", r.deadlineMS.Load())
}
