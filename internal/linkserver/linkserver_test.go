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

// rig is a link server with an executor and a target. The target echoes the
// identity of the request after the behavior that the path selects.
type rig struct {
	server  *Service
	address string
	hold    chan struct{}
	left    chan struct{}
	runs    atomic.Int64
	told    atomic.Int64
}

func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{hold: make(chan struct{}), left: make(chan struct{}, 10)}
	target := httptest.NewServer(r)
	hello := func() wire.Hello { return wire.Hello{Protocol: wire.ProtocolVersion, NodeID: "n1"} }
	agent := &targetstatus.Service{Log: zerolog.Nop()}
	exec := &executor.Service{NodeID: "n1", Incarnation: 7, TicketLifetime: time.Minute, Log: zerolog.Nop()}
	r.server = &Service{MaxBodyBytes: maxBody, Hello: hello, Timing: link.DefaultTiming(), Log: zerolog.Nop()}
	k := kernel.New()
	services := []struct {
		name    string
		service kernel.Service
	}{
		{gossip.Name, gossip.New(membership.Node{ID: "n1", Incarnation: 7}, "", nil, zerolog.Nop())},
		{configdist.Name, &configdist.Service{}}, {regionlimiter.Name, &regionlimiter.Service{}},
		{targetstatus.Name, agent}, {executor.Name, exec}, {Name, r.server},
	}
	for _, s := range services {
		assert.NilError(t, k.Register(s.name, s.service))
	}
	for _, s := range services {
		assert.NilError(t, s.service.Provision(k))
	}
	assert.NilError(t, agent.Announce(targetstatus.Announcement{
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

func (r *rig) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.runs.Add(1)
	ms, _ := strconv.Atoi(req.Header.Get(headers.DeadlineMS))
	r.told.Store(int64(ms))
	size := 10
	switch req.URL.Path {
	case "/hold":
		select {
		case <-r.hold:
		case <-req.Context().Done():
			r.left <- struct{}{}
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

// connect opens a link of another node.
func (r *rig) connect(t *testing.T) *link.Conn {
	t.Helper()
	pool := &link.Pool{Hello: func() wire.Hello { return wire.Hello{Protocol: wire.ProtocolVersion, NodeID: "n2"} }, Timing: link.DefaultTiming()}
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

// read describes what the other node receives.
func read(s *link.Stream) string {
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

func (r *rig) ticket(t *testing.T, c *link.Conn) string {
	t.Helper()
	req := request("t", "/", "")
	req.IssueTicket = true
	s := open(t, c, req, nil)
	defer s.Close()
	resp, err := s.Response()
	assert.NilError(t, err)
	return resp.Ticket
}

func (r *rig) awaitRuns(t *testing.T, n int64) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); r.runs.Load() < n; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%d executions, expected %d", r.runs.Load(), n)
	}
}

// Guards against a second execution when a ticket is shown on two links, and
// against a recorded answer that is lost with the link of its first caller.
func TestTicketOverTwoLinksRunsOnce(t *testing.T) {
	r := newRig(t)
	a, b := r.connect(t), r.connect(t)
	tk := r.ticket(t, a)
	first := open(t, a, request("r", "/hold", tk), nil)
	second := open(t, b, request("r", "/hold", tk), nil)
	r.awaitRuns(t, 1)
	a.Close()
	assert.Equal(t, read(first), "lost")
	close(r.hold)
	assert.Equal(t, read(second), "r")
	assert.Equal(t, read(open(t, b, request("r", "/hold", tk), nil)), "r")
	assert.Equal(t, r.runs.Load(), int64(1))
}

// Guards against a cut body that reaches the other node as whole, and against
// an answer without a body that reaches it as cut.
func TestOnlyWholeAnswersArriveWhole(t *testing.T) {
	r := newRig(t)
	c := r.connect(t)
	for _, path := range []string{"/cut-short", "/cut-long", "/cut-chunked"} {
		assert.Equal(t, read(open(t, c, request("r", path, ""), nil)), "cut", path)
	}
	req := request("r", "/no-body", "")
	req.Method = http.MethodHead
	assert.Equal(t, read(open(t, c, req, nil)), "", "HEAD")
}

// Guards against a refusal of a request body that is called "not run" for a
// ticket which an earlier request may have used, or that loses the allowance.
func TestRefusedBodies(t *testing.T) {
	r := newRig(t)
	c := r.connect(t)
	long := bytes.Repeat([]byte("x"), maxBody+1)
	assert.Equal(t, read(open(t, c, request("r", "/", ""), long)), "too_large not-run 3")
	assert.Equal(t, read(open(t, c, request("r", "/", "some ticket"), long)), "too_large unknown 3")
	for ticket, want := range map[string]string{"": "bad_request not-run 3", "some ticket": "bad_request unknown 3"} {
		s, err := c.Open(context.Background(), request("r", "/", ticket), nil, true)
		assert.NilError(t, err)
		assert.NilError(t, s.Finish(wire.End{Aborted: true}))
		assert.Equal(t, read(s), want)
	}
	assert.Equal(t, r.runs.Load(), int64(0))
}

// Guards against a late answer that reaches the caller of another request on
// the same connection, and against work for a caller that left.
func TestLateAnswerReachesNobody(t *testing.T) {
	r := newRig(t)
	c := r.connect(t)
	late := open(t, c, request("late", "/hold", r.ticket(t, c)), nil)
	gone := open(t, c, request("gone", "/hold", ""), nil)
	r.awaitRuns(t, 2)
	late.Cancel()
	gone.Cancel()
	<-r.left // of the idempotent request; the other one runs on
	close(r.hold)
	for i := range 20 {
		id := "r" + strconv.Itoa(i)
		assert.Equal(t, read(open(t, c, request(id, "/hold", ""), nil)), id)
	}
}

// Guards against the time that a request body takes to arrive being added to
// the deadline.
func TestTimeOfTheBodyShortensTheDeadline(t *testing.T) {
	const wait = 60 * time.Millisecond
	r := newRig(t)
	s, err := r.connect(t).Open(context.Background(), request("r", "/", ""), nil, true)
	assert.NilError(t, err)
	_, err = s.Write([]byte("x"))
	assert.NilError(t, err)
	time.Sleep(2 * wait)
	assert.NilError(t, s.Finish(wire.End{}))
	assert.Equal(t, read(s), "r")
	assert.Assert(t, r.told.Load() <= (5*time.Second-wait).Milliseconds(), "target was told %d ms", r.told.Load())
}
