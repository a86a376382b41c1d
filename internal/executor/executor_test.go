package executor

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"parsleyturn/internal/apierror"
	"parsleyturn/internal/configdist"
	"parsleyturn/internal/configstore"
	"parsleyturn/internal/gossip"
	"parsleyturn/internal/headers"
	"parsleyturn/internal/kernel"
	"parsleyturn/internal/membership"
	"parsleyturn/internal/policy"
	"parsleyturn/internal/targetstatus"
	"parsleyturn/internal/ticket"
	"parsleyturn/internal/wire"
)

const testPolicy = `
team = "t"
[service.s]
[kind.order]
service = "s"
path_prefix = "/"
priority = 5
non_idempotent = true
retries = 4
deadline_ms = 5000
`

// testExecutor is an executor with a target whose behavior the path selects.
type testExecutor struct {
	*Service
	server       *httptest.Server
	releaseHeld  chan struct{}
	heldCanceled chan struct{} // gets a value when a held request is canceled

	mu          sync.Mutex
	executions  map[string]int
	remoteAddrs map[string]string
	deadlinesMS map[string]int
}

func newTestExecutor(t *testing.T, slots int) *testExecutor {
	t.Helper()
	r := &testExecutor{releaseHeld: make(chan struct{}), heldCanceled: make(chan struct{}, 10), executions: map[string]int{}, remoteAddrs: map[string]string{}, deadlinesMS: map[string]int{}}
	r.server = httptest.NewServer(r)
	k := kernel.New()
	g := gossip.New(membership.Node{ID: "n1", Incarnation: 7}, "", nil, zerolog.Nop())
	conf, agent := &configdist.Service{}, &targetstatus.Service{Log: zerolog.Nop()}
	_, err := conf.Adopt(configstore.Record{Version: 1}, []policy.File{{Name: "a.toml", Content: []byte(testPolicy)}})
	assert.NilError(t, err)
	r.Service = &Service{NodeID: "n1", Incarnation: 7, TicketLifetime: time.Minute, Log: zerolog.Nop()}
	for name, s := range map[string]kernel.Service{gossip.Name: g, configdist.Name: conf, targetstatus.Name: agent, Name: r.Service} {
		assert.NilError(t, k.Register(name, s))
	}
	assert.NilError(t, agent.Provision(k))
	assert.NilError(t, r.Provision(k))
	assert.NilError(t, agent.Announce(targetstatus.Announcement{
		Service: "s", Address: strings.TrimPrefix(r.server.URL, "http://"), Slots: slots, Connections: 50, State: targetstatus.Ready, Incarnation: "1",
	}))
	assert.NilError(t, r.Start(context.Background()))
	t.Cleanup(func() {
		r.server.CloseClientConnections()
		r.server.Close()
		assert.NilError(t, r.Stop(context.Background()))
	})
	return r
}

func (r *testExecutor) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	r.executions[req.URL.Path]++
	r.remoteAddrs[req.URL.Path] = req.RemoteAddr
	r.deadlinesMS[req.URL.Path], _ = strconv.Atoi(req.Header.Get(headers.DeadlineMS))
	r.mu.Unlock()
	closeNow := func() {
		conn, _, _ := http.NewResponseController(w).Hijack()
		_ = conn.Close()
	}
	switch req.URL.Path {
	case "/hold":
		select {
		case <-r.releaseHeld:
		case <-req.Context().Done():
			r.heldCanceled <- struct{}{}
			return
		}
	case "/sub-shed", "/shed":
		if running, ok := r.FindRunning(req.Header.Get(headers.Context)); ok && req.URL.Path == "/sub-shed" {
			running.RecordSubCall()
		}
		w.Header().Set(headers.Outcome, string(apierror.NotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case "/cut", "/cut-chunked":
		if req.URL.Path == "/cut" {
			w.Header().Set("Content-Length", "100")
		}
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		closeNow()
		return
	case "/drop":
		closeNow()
		return
	case "/large":
		_, _ = w.Write(make([]byte, maxRecordedBytes+1))
		return
	case "/huge":
		_, _ = w.Write(make([]byte, maxBufferedResponse+1))
		return
	}
	_, _ = io.WriteString(w, "ok")
}

func (r *testExecutor) executionCount(path string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.executions[path]
}

func (r *testExecutor) waitFor(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited 5 s for: %s", what)
		}
	}
}

func (r *testExecutor) issueTestTicket(t *testing.T) string {
	t.Helper()
	a, err := r.Execute(context.Background(), &wire.Request{Kind: "order", Service: "s", IssueTicket: true}, nil)
	assert.NilError(t, err)
	return a.Ticket
}

func newRequest(path, tk string) *wire.Request {
	return &wire.Request{
		ID: "r", Kind: "order", Service: "s", Method: http.MethodGet, Path: path, RemainingMicros: 400_000,
		Depth: 1, Allowance: 2, NonIdempotent: tk != "", Ticket: tk,
	}
}

// call runs a request and describes what the caller is told: the status and
// the body of a whole answer, or the code and the outcome.
func (r *testExecutor) call(ctx context.Context, req *wire.Request) string {
	a, err := r.Execute(ctx, req, nil)
	if err != nil {
		f := apierror.From(err)
		return string(f.Code) + " " + string(f.Outcome)
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	if err != nil {
		return "cut"
	}
	return strconv.Itoa(a.Status) + " " + string(body[:min(len(body), 10)])
}

// Guards against a wrong outcome on any path of an execution, against a second
// execution under one ticket, and against "not run" for a ticket that ran.
func TestOutcomesOfFirstRequestAndRetry(t *testing.T) {
	other := func(incarnation uint64) string {
		tk, _ := ticket.NewIssuer("n1", incarnation, []byte("other key"), time.Minute).Issue(0, "order")
		return tk
	}
	leave := func(r *testExecutor) { r.targetStatus.Withdraw("test") }
	refuse := func(r *testExecutor) { r.server.Close() }
	cases := []struct {
		name, path string
		ticket     string // "own" for a ticket of the executor
		before     func(*testExecutor)
		first      string
		repeat     string
		runs       int
	}{
		{"answered", "/ok", "own", nil, "200 ok", "200 ok", 1},
		{"answered, idempotent", "/ok", "", nil, "200 ok", "200 ok", 2},
		{"target hangs", "/hold", "own", nil, "deadline_exceeded unknown", "ticket_unknown unknown", 1},
		{"target hangs, idempotent", "/hold", "", nil, "deadline_exceeded unknown", "deadline_exceeded unknown", 2},
		{"target cuts its answer", "/cut", "own", nil, "target_failed unknown", "ticket_unknown unknown", 1},
		{"target cuts a chunked answer", "/cut-chunked", "own", nil, "target_failed unknown", "ticket_unknown unknown", 1},
		{"target cuts its answer, idempotent", "/cut", "", nil, "cut", "cut", 2},
		{"target closes after reading", "/drop", "own", nil, "target_failed unknown", "ticket_unknown unknown", 1},
		{"target closes after reading, idempotent", "/drop", "", nil, "target_failed unknown", "target_failed unknown", 2},
		{"target sheds", "/shed", "own", nil, "overloaded not-run", "ticket_void not-run", 1},
		{"target sheds, idempotent", "/shed", "", nil, "overloaded not-run", "overloaded not-run", 2},
		{"target claims not run after a sub-call", "/sub-shed", "own", nil, "503 ", "503 ", 1},
		{"target refuses connections", "/ok", "own", refuse, "no_target not-run", "ticket_void not-run", 0},
		{"target refuses connections, idempotent", "/ok", "", refuse, "no_target not-run", "no_target not-run", 0},
		{"target is gone", "/ok", "own", leave, "no_target not-run", "ticket_void not-run", 0},
		{"node drains", "/ok", "own", func(r *testExecutor) { r.Drain() }, "draining not-run", "ticket_void not-run", 0},
		{"node drains, idempotent", "/ok", "", func(r *testExecutor) { r.Drain() }, "draining not-run", "draining not-run", 0},
		{"answer too long to record", "/large", "own", nil, "200 " + strings.Repeat("\x00", 10), "ticket_unknown unknown", 1},
		{"answer too long to hold", "/huge", "own", nil, "target_failed unknown", "ticket_unknown unknown", 1},
		{"recorded answer dropped", "/ok", "own", func(r *testExecutor) { r.dedupStore = ticket.NewDedupStore(time.Hour, 1) }, "200 ok", "ticket_unknown unknown", 1},
		{"ticket expires unused", "/ok", "own", func(r *testExecutor) { time.Sleep(2 * time.Millisecond) }, "ticket_void not-run", "ticket_void not-run", 0},
		{"ticket of another incarnation", "/ok", other(6), nil, "ticket_unknown unknown", "ticket_unknown unknown", 0},
		{"ticket signed with another key", "/ok", other(7), nil, "ticket_unknown unknown", "ticket_unknown unknown", 0},
		{"malformed ticket", "/ok", "x", nil, "bad_request unknown", "bad_request unknown", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newTestExecutor(t, 10)
			if c.name == "ticket expires unused" {
				r.issuer = ticket.NewIssuer("n1", 7, []byte("key"), time.Millisecond)
			}
			tk := c.ticket
			if tk == "own" {
				tk = r.issueTestTicket(t)
			}
			if c.before != nil {
				c.before(r)
			}
			assert.Equal(t, r.call(context.Background(), newRequest(c.path, tk)), c.first)
			assert.Equal(t, r.call(context.Background(), newRequest(c.path, tk)), c.repeat, "repeat")
			assert.Equal(t, r.executionCount(c.path), c.runs, "executions")
			assert.Equal(t, r.InFlight(), 0, "slots must be free")
		})
	}
}

// Guards against a second execution when the same ticket arrives many times at
// once, and against callers that get different answers.
func TestConcurrentUsesOfOneTicketRunOnce(t *testing.T) {
	r := newTestExecutor(t, 10)
	tk := r.issueTestTicket(t)
	answers := make(chan string, 32)
	for range cap(answers) {
		req := newRequest("/hold", tk)
		req.RemainingMicros = 5_000_000
		go func() { answers <- r.call(context.Background(), req) }()
	}
	r.waitFor(t, "the execution", func() bool { return r.executionCount("/hold") == 1 })
	close(r.releaseHeld)
	for range cap(answers) {
		assert.Equal(t, <-answers, "200 ok")
	}
	assert.Equal(t, r.executionCount("/hold"), 1)
}

// Guards against an execution that ends with its caller: a repeat must find the
// recorded answer. An idempotent one ends, since nobody can get its answer.
func TestCallerDisconnectsWhileRequestRuns(t *testing.T) {
	r := newTestExecutor(t, 10)
	for _, tk := range []string{r.issueTestTicket(t), ""} {
		ctx, cancel := context.WithCancel(context.Background())
		req := newRequest("/hold", tk)
		req.RemainingMicros = 5_000_000
		told := make(chan string, 1)
		before := r.executionCount("/hold")
		go func() { told <- r.call(ctx, req) }()
		r.waitFor(t, "the execution", func() bool { return r.executionCount("/hold") > before })
		cancel()
		assert.Equal(t, <-told, "canceled unknown")
		if tk == "" {
			<-r.heldCanceled
			continue
		}
		r.releaseHeld <- struct{}{}
		assert.Equal(t, r.call(context.Background(), req), "200 ok")
		assert.Equal(t, r.executionCount("/hold"), 1)
	}
}

// Guards against net/http repeating a request by itself on a kept connection
// that the target closes after reading the request.
func TestRequestOnReusedConnectionIsNotResent(t *testing.T) {
	r := newTestExecutor(t, 10)
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
		before := r.executionCount("/drop")
		assert.Equal(t, r.call(context.Background(), newRequest("/ok", "")), "200 ok")
		req := newRequest("/drop", "")
		req.Method = method
		assert.Equal(t, r.call(context.Background(), req), "target_failed unknown")
		assert.Equal(t, r.executionCount("/drop"), before+1)
		assert.Equal(t, r.remoteAddrs["/drop"], r.remoteAddrs["/ok"], "the test needs a kept connection")
	}
}

// Guards against an allowance that is lost with a refusal, returned twice or
// larger than the kind can have.
func TestUnusedAllowanceIsReturnedOnce(t *testing.T) {
	r := newTestExecutor(t, 10)
	for _, c := range []struct{ depth, given, want int }{{1, 1, 1}, {1, 50, 2}, {2, 50, maxAllowance}, {1, -3, 0}} {
		req := newRequest("/ok", "")
		req.Depth, req.Allowance = c.depth, c.given
		a, err := r.Execute(context.Background(), req, nil)
		assert.NilError(t, err)
		assert.NilError(t, a.Body.Close())
		assert.Equal(t, a.Trailer().Allowance, c.want)
		assert.Equal(t, a.Trailer().Allowance, 0, "the trailer must return the allowance once")
		req.Path = "/shed"
		_, err = r.Execute(context.Background(), req, nil)
		var refusal *Refusal
		assert.Assert(t, errors.As(err, &refusal))
		assert.Equal(t, refusal.Allowance, c.want)
	}
}

// Guards against time in the queue that is not taken off the deadline that the
// target is told and that bounds the execution.
func TestQueueTimeReducesDeadline(t *testing.T) {
	const wait = 60 * time.Millisecond
	r := newTestExecutor(t, 1)
	done := make(chan string, 2)
	for i, path := range []string{"/hold", "/ok"} {
		req := newRequest(path, r.issueTestTicket(t))
		req.RemainingMicros = 2_000_000
		go func() { done <- r.call(context.Background(), req) }()
		r.waitFor(t, "the request", func() bool { return r.InFlight() == i+1 && r.executionCount("/hold") == 1 })
	}
	time.Sleep(wait)
	assert.Equal(t, r.executionCount("/ok"), 0, "the test needs a queued request")
	close(r.releaseHeld)
	assert.Equal(t, <-done, "200 ok")
	assert.Equal(t, <-done, "200 ok")
	assert.Assert(t, r.deadlinesMS["/ok"] <= int((2*time.Second-wait).Milliseconds()), "target was told %d ms", r.deadlinesMS["/ok"])
}

// Guards against a request that is sent to the target although its caller left
// while it was queued.
func TestQueuedRequestOfDisconnectedCallerDoesNotRun(t *testing.T) {
	r := newTestExecutor(t, 1)
	go r.call(context.Background(), newRequest("/hold", ""))
	r.waitFor(t, "the occupied slot", func() bool { return r.executionCount("/hold") == 1 })
	ctx, cancel := context.WithCancel(context.Background())
	told := make(chan string, 1)
	go func() { told <- r.call(ctx, newRequest("/ok", "")) }()
	r.waitFor(t, "the queued request", func() bool { return r.InFlight() == 2 })
	cancel()
	assert.Equal(t, <-told, "canceled not-run")
	close(r.releaseHeld)
	r.waitFor(t, "the end", func() bool { return r.InFlight() == 0 })
	assert.Equal(t, r.executionCount("/ok"), 0)
}
