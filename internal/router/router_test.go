package router

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"parsleyturn/internal/apierror"
	"parsleyturn/internal/configdist"
	"parsleyturn/internal/executor"
	"parsleyturn/internal/gossip"
	"parsleyturn/internal/kernel"
	"parsleyturn/internal/link"
	"parsleyturn/internal/membership"
	"parsleyturn/internal/policy"
	"parsleyturn/internal/regionlimiter"
	"parsleyturn/internal/retry"
	"parsleyturn/internal/targetstatus"
	"parsleyturn/internal/ticket"
	"parsleyturn/internal/wire"
)

// testRouter is a router of node "a" with a scripted node "b" that offers
// service "s".
type testRouter struct {
	*Service
	peerServer   *link.Server
	listener     *trackingListener
	issuer       *ticket.Issuer
	heldCanceled chan struct{} // receives a value when a held call is canceled

	mu     sync.Mutex
	script []string
	calls  []wire.Request
}

// trackingListener keeps the accepted connections, so that a test can close
// them.
type trackingListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func (l *trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, err
}

func (l *trackingListener) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
	l.conns = nil
}

func hello(id string) func() wire.Hello {
	return func() wire.Hello { return wire.Hello{Protocol: wire.ProtocolVersion, NodeID: id} }
}

func newTestRouter(t *testing.T, script ...string) *testRouter {
	t.Helper()
	r := &testRouter{script: script, heldCanceled: make(chan struct{}, 10), issuer: ticket.NewIssuer("b", 2, []byte("key"), time.Minute)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r.listener = &trackingListener{Listener: l}
	r.peerServer = &link.Server{Hello: hello("b"), Timeouts: link.DefaultTimeouts(), Handler: r.serve}
	go func() { _ = r.peerServer.Serve(r.listener) }()
	t.Cleanup(r.peerServer.Close)

	a := gossip.New(membership.Node{ID: "a", Incarnation: 1, Region: "r", Zone: "z"}, "127.0.0.1:0", nil, zerolog.Nop())
	assert.NilError(t, a.Start(context.Background()))
	t.Cleanup(func() { _ = a.Stop(context.Background()) })
	b := gossip.New(membership.Node{ID: "b", Incarnation: 2, Region: "r", Zone: "z", LinkAddr: l.Addr().String(), Service: "s", Slots: 10},
		"127.0.0.1:0", []string{a.Self().GossipAddr}, zerolog.Nop())
	assert.NilError(t, b.Start(context.Background()))
	t.Cleanup(func() { _ = b.Stop(context.Background()) })
	for end := time.Now().Add(5 * time.Second); len(a.Nodes()) < 2; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "node b is not in the membership view after 5 s")
	}

	r.Service = &Service{NodeID: "a", Region: "r", Zone: "z", Hello: hello("a"), Timeouts: link.DefaultTimeouts(), Log: zerolog.Nop()}
	k := kernel.New()
	services := []struct {
		name    string
		service kernel.Service
	}{
		{gossip.Name, a}, {configdist.Name, &configdist.Service{}}, {regionlimiter.Name, &regionlimiter.Service{Region: "r"}},
		{targetstatus.Name, &targetstatus.Service{}}, {executor.Name, &executor.Service{NodeID: "a", Log: zerolog.Nop()}}, {Name, r.Service},
	}
	for _, s := range services {
		assert.NilError(t, k.Register(s.name, s.service))
		assert.NilError(t, s.service.Provision(k))
	}
	t.Cleanup(func() { _ = r.Stop(context.Background()) })
	return r
}

// serve issues tickets, and responds to other requests as the next step of the
// script says: "ok"; "generous" returns more allowance than was sent; "break"
// closes the connections; "cut" aborts the body; "hold" never responds; two words
// are the code and outcome of a refusal.
func (r *testRouter) serve(s *link.Stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Request.IssueTicket {
		tk, _ := r.issuer.Issue(0, s.Request.Kind)
		_ = s.RespondComplete(&wire.Response{Status: 200, Ticket: tk}, nil, wire.End{})
		return
	}
	step := "unexpected"
	if n := len(r.calls); n < len(r.script) {
		step = r.script[n]
	}
	r.calls = append(r.calls, s.Request)
	code, outcome, refusal := strings.Cut(step, " ")
	switch {
	case refusal:
		_ = s.Refuse(&wire.Refused{Code: apierror.Code(code), Outcome: apierror.Outcome(outcome), Allowance: s.Request.Allowance})
	case step == "ok":
		_ = s.RespondComplete(&wire.Response{Status: 200}, []byte("ok"), wire.End{Allowance: s.Request.Allowance})
	case step == "generous":
		_ = s.RespondComplete(&wire.Response{Status: 200}, []byte("ok"), wire.End{Allowance: 100})
	case step == "break":
		r.listener.closeAll()
	case step == "cut":
		_ = s.Respond(&wire.Response{Status: 200})
		_, _ = s.Write([]byte("part"))
		_ = s.Finish(wire.End{Aborted: true, Allowance: s.Request.Allowance})
	case step == "hold":
		go func() {
			<-s.Context().Done()
			r.heldCanceled <- struct{}{}
		}()
	}
}

// received returns the calls that node "b" has received so far. It locks,
// because the handler of a closed connection may still be running.
func (r *testRouter) received() []wire.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]wire.Request(nil), r.calls...)
}

func newCall(depth int, tk string, nonIdempotent bool) *Call {
	return &Call{
		ID: "r", Kind: policy.Kind{Name: "k", Service: "s", NonIdempotent: nonIdempotent}, Method: "GET", Path: "/", Priority: 5, Depth: depth,
		Ticket: tk, Allowance: retry.NewAllowance(4), Deadline: kernel.Uptime() + 5*time.Second,
	}
}

// doCall runs a call and returns the result that the caller sees.
func (r *testRouter) doCall(ctx context.Context, c *Call) string {
	resp, err := r.Do(ctx, c)
	if err != nil {
		apiErr := apierror.From(err)
		return fmt.Sprintf("%s %s", apiErr.Code, apiErr.Outcome)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "cut"
	}
	return string(body)
}

// Guards against a wrong outcome when attempts fail in different ways one after
// the other, against too many or too few attempts, and against an allowance that
// is lost or grows.
func TestOutcomesOverAttempts(t *testing.T) {
	issue := func(node string, incarnation uint64) string {
		tk, _ := ticket.NewIssuer(node, incarnation, []byte("key"), time.Minute).Issue(0, "k")
		return tk
	}
	ownTicket := issue("b", 2)
	const overloaded, draining = "overloaded not-run", "draining not-run"
	cases := []struct {
		name          string
		call          *Call
		script        []string
		want          string
		allowanceLeft int // of an allowance of 4
	}{
		{"answered", newCall(1, "", false), []string{"ok"}, "ok", 4},
		{"node returns more allowance than it was sent", newCall(1, "", false), []string{"generous"}, "ok", 2},
		{"truncated response", newCall(1, "", false), []string{"cut"}, "cut", 2},
		{"refused, then answered", newCall(1, "", false), []string{overloaded, "ok"}, "ok", 3},
		{"always refused", newCall(1, "", false), []string{overloaded, overloaded, overloaded, overloaded, overloaded}, overloaded, 0},
		{"reroutes from draining nodes use no retries", newCall(1, "", false), []string{draining, draining, draining, draining}, draining, 4},
		{"lost, then answered", newCall(1, "", false), []string{"break", "ok"}, "ok", 1},
		{"lost, then refused", newCall(1, "", false), []string{"break", overloaded, "bad_request not-run"}, "bad_request unknown", 0},
		{"lost, then draining", newCall(1, "", false), []string{"break", draining, draining, draining, draining}, "draining unknown", 1},
		{"failed, then past the deadline", newCall(1, "", false), []string{"target_failed unknown", "deadline_exceeded not-run"}, "deadline_exceeded unknown", 3},
		{"deadline exceeded at the target: no retry", newCall(1, "", false), []string{"deadline_exceeded unknown"}, "deadline_exceeded unknown", 4},
		{"without a ticket", newCall(1, "", true), nil, "ticket_required not-run", 4},
		{"ticket, answered", newCall(1, ownTicket, true), []string{"ok"}, "ok", 4},
		{"ticket, refused: no retry", newCall(1, ownTicket, true), []string{overloaded}, overloaded, 4},
		{"ticket, node drains: void", newCall(1, ownTicket, true), []string{draining}, "ticket_void not-run", 4},
		{"ticket, lost, then answered", newCall(1, ownTicket, true), []string{"break", "ok"}, "ok", 1},
		{"ticket, lost, then void: no attempt ran", newCall(1, ownTicket, true), []string{"break", "ticket_void not-run"}, "ticket_void not-run", 1},
		{"ticket, lost, then unknown", newCall(1, ownTicket, true), []string{"break", "ticket_unknown unknown"}, "ticket_unknown unknown", 1},
		{"ticket, always lost", newCall(1, ownTicket, true), []string{"break", "break"}, "link_lost unknown", 0},
		{"ticket, target failed: no retry", newCall(1, ownTicket, true), []string{"target_failed unknown"}, "target_failed unknown", 4},
		{"ticket of an earlier incarnation", newCall(1, issue("b", 1), true), nil, "ticket_unknown unknown", 4},
		{"ticket of an unknown node", newCall(1, issue("c", 1), true), nil, "ticket_unknown unknown", 4},
		{"malformed ticket", newCall(1, "x", true), nil, "bad_request unknown", 4},
		{"sub-call, answered", newCall(2, "", true), []string{"ok"}, "ok", 4},
		{"sub-call, refused, then with a new ticket", newCall(2, "", true), []string{overloaded, "ok"}, "ok", 3},
		{"sub-call, lost, then with the same ticket", newCall(2, "", true), []string{"break", "ok"}, "ok", 1},
		{"sub-call, unknown: no new ticket", newCall(2, "", true), []string{"target_failed unknown"}, "target_failed unknown", 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newTestRouter(t, c.script...)
			c.call.Deadline = kernel.Uptime() + 5*time.Second
			assert.Equal(t, r.doCall(context.Background(), c.call), c.want)
			calls := r.received()
			assert.Equal(t, len(calls), len(c.script), "attempts")
			assert.Equal(t, c.call.Allowance.Left(), c.allowanceLeft, "allowance")
			if c.call.Depth > 1 && len(c.script) == 2 {
				assert.Equal(t, calls[0].Ticket == calls[1].Ticket, c.script[0] == "break", "same ticket")
			}
			remaining := int64(5_000_000)
			for _, call := range calls {
				assert.Assert(t, call.RemainingMicros < remaining, "the remaining time must decrease with every attempt")
				remaining = call.RemainingMicros
			}
		})
	}
}

// Guards against the outcome "unknown" for a call that reached no node, and
// against "not run" for a call with a ticket, which may have been used before.
func TestUnreachableNode(t *testing.T) {
	r := newTestRouter(t)
	late := newCall(1, "", false)
	late.Deadline = kernel.Uptime()
	assert.Equal(t, r.doCall(context.Background(), late), "deadline_exceeded not-run")
	r.peerServer.Close()
	assert.Equal(t, r.doCall(context.Background(), newCall(1, "", false)), "no_target not-run")
	tk, _ := r.issuer.Issue(0, "k")
	assert.Equal(t, r.doCall(context.Background(), newCall(1, tk, true)), "no_target unknown")
}

// Guards against work that continues after the caller has canceled the call or
// timed out, and against "not run" for a call that a node has received.
func TestCallEndsBeforeResponse(t *testing.T) {
	r := newTestRouter(t, "hold", "hold")
	for _, end := range []struct {
		ctx  func() (context.Context, context.CancelFunc)
		want string
	}{
		{func() (context.Context, context.CancelFunc) {
			return context.WithTimeout(context.Background(), 50*time.Millisecond)
		}, "deadline_exceeded unknown"},
		{func() (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(50*time.Millisecond, cancel)
			return ctx, cancel
		}, "canceled unknown"},
	} {
		ctx, cancel := end.ctx()
		defer cancel()
		assert.Equal(t, r.doCall(ctx, newCall(1, "", false)), end.want)
		<-r.heldCanceled
	}
}

// Guards against calls that wait beyond their deadline for a node that accepts
// the connection but never responds to the handshake, or for another call that
// is connecting to that node.
func TestUnresponsiveNodeDoesNotDelayCallsBeyondDeadline(t *testing.T) {
	r := newTestRouter(t)
	r.Timeouts.HandshakeTimeout = 10 * time.Second
	r.pool.Timeouts = r.Timeouts
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0") // the kernel accepts connections into the backlog
	assert.NilError(t, err)
	defer unresponsive.Close()
	view := r.directory.view()
	for i := range view.Nodes() {
		if view.Nodes()[i].ID == "b" {
			view.Nodes()[i].LinkAddr = unresponsive.Addr().String()
		}
	}
	results := make(chan string, 2)
	start := time.Now()
	for _, limit := range []time.Duration{1500 * time.Millisecond, 100 * time.Millisecond} {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		c := newCall(1, "", false)
		c.Deadline = kernel.Uptime() + limit
		go func() { results <- r.doCall(ctx, c) }()
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, <-results, "deadline_exceeded not-run")
	assert.Assert(t, time.Since(start) < time.Second, "the short call took %s", time.Since(start))
	assert.Equal(t, <-results, "deadline_exceeded not-run")
	assert.Assert(t, time.Since(start) < 5*time.Second, "the long call took %s", time.Since(start))
}
