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

// testExecutor is an executor with a target whose behavior is selected by the
// request path.
type testExecutor struct {
	*Service
	server       *httptest.Server
	releaseHeld  chan struct{}
	heldCanceled chan struct{} // receives a value when a held request is canceled

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
	config, status := &configdist.Service{}, &targetstatus.Service{Log: zerolog.Nop()}
	_, err := config.Adopt(configstore.Record{Version: 1}, []policy.File{{Name: "a.toml", Content: []byte(testPolicy)}})
	assert.NilError(t, err)
	r.Service = &Service{NodeID: "n1", Incarnation: 7, TicketLifetime: time.Minute, Log: zerolog.Nop()}
	for name, s := range map[string]kernel.Service{gossip.Name: g, configdist.Name: config, targetstatus.Name: status, Name: r.Service} {
		assert.NilError(t, k.Register(name, s))
	}
	assert.NilError(t, status.Provision(k))
	assert.NilError(t, r.Provision(k))
	assert.NilError(t, status.HandleAnnouncement(targetstatus.Announcement{
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
	closeConnection := func() {
		conn, _, _ := http.NewResponseController(w).Hijack()
		_ = conn.Close()
	}
	if req.URL.Path != "/shed-unnamed" {
		w.Header().Set(headers.ContextToken, req.Header.Get(headers.ContextToken))
	}
	switch req.URL.Path {
	case "/hold":
		select {
		case <-r.releaseHeld:
		case <-req.Context().Done():
			r.heldCanceled <- struct{}{}
			return
		}
	case "/sub-shed", "/shed", "/shed-unnamed":
		if running, ok := r.FindRunning(req.Header.Get(headers.ContextToken)); ok && req.URL.Path == "/sub-shed" {
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
		closeConnection()
		return
	case "/drop":
		closeConnection()
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
			t.Fatalf("timed out after 5 s waiting for %s", what)
		}
	}
}

func (r *testExecutor) issueTestTicket(t *testing.T) string {
	t.Helper()
	resp, err := r.Execute(context.Background(), &wire.Request{Kind: "order", Service: "s", IssueTicket: true}, nil)
	assert.NilError(t, err)
	return resp.Ticket
}

func newRequest(path, tk string) *wire.Request {
	return &wire.Request{
		ID: "r", Kind: "order", Service: "s", Method: http.MethodGet, Path: path, RemainingMicros: 400_000,
		Depth: 1, Allowance: 2, NonIdempotent: tk != "", Ticket: tk,
	}
}

// call runs a request and returns the result that the caller sees: the status
// and the start of the body of a complete response, "cut" for a truncated body,
// or the code and the outcome of an error.
func (r *testExecutor) call(ctx context.Context, req *wire.Request) string {
	resp, err := r.Execute(ctx, req, nil)
	if err != nil {
		apiErr := apierror.From(err)
		return string(apiErr.Code) + " " + string(apiErr.Outcome)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "cut"
	}
	return strconv.Itoa(resp.Status) + " " + string(body[:min(len(body), 10)])
}

// Guards against a wrong outcome on any path of an execution, against a second
// execution under one ticket, and against "not run" for a ticket whose request
// ran. Each case sends the same request twice.
func TestOutcomesOfFirstRequestAndRetry(t *testing.T) {
	other := func(incarnation uint64) string {
		tk, _ := ticket.NewIssuer("n1", incarnation, []byte("other key"), time.Minute).Issue(0, "order")
		return tk
	}
	withdraw := func(r *testExecutor) { r.targetStatus.Withdraw("test") }
	closeServer := func(r *testExecutor) { r.server.Close() }
	cases := []struct {
		name, path string
		ticket     string // "own" for a ticket that the executor issues
		setup      func(*testExecutor)
		first      string
		second     string
		executions int
	}{
		{"answered", "/ok", "own", nil, "200 ok", "200 ok", 1},
		{"answered, idempotent", "/ok", "", nil, "200 ok", "200 ok", 2},
		{"target hangs", "/hold", "own", nil, "deadline_exceeded unknown", "ticket_unknown unknown", 1},
		{"target hangs, idempotent", "/hold", "", nil, "deadline_exceeded unknown", "deadline_exceeded unknown", 2},
		{"target truncates its response", "/cut", "own", nil, "target_failed unknown", "ticket_unknown unknown", 1},
		{"target truncates a chunked response", "/cut-chunked", "own", nil, "target_failed unknown", "ticket_unknown unknown", 1},
		{"target truncates its response, idempotent", "/cut", "", nil, "cut", "cut", 2},
		{"target closes after reading", "/drop", "own", nil, "target_failed unknown", "ticket_unknown unknown", 1},
		{"target closes after reading, idempotent", "/drop", "", nil, "target_failed unknown", "target_failed unknown", 2},
		{"target sheds", "/shed", "own", nil, "overloaded not-run", "ticket_void not-run", 1},
		{"target sheds, idempotent", "/shed", "", nil, "overloaded not-run", "overloaded not-run", 2},
		{"target claims not run without the context", "/shed-unnamed", "own", nil, "503 ", "503 ", 1},
		{"target claims not run after a sub-call", "/sub-shed", "own", nil, "503 ", "503 ", 1},
		{"target refuses connections", "/ok", "own", closeServer, "no_target not-run", "ticket_void not-run", 0},
		{"target refuses connections, idempotent", "/ok", "", closeServer, "no_target not-run", "no_target not-run", 0},
		{"target withdrawn", "/ok", "own", withdraw, "no_target not-run", "ticket_void not-run", 0},
		{"node drains", "/ok", "own", func(r *testExecutor) { r.Drain() }, "draining not-run", "ticket_void not-run", 0},
		{"node drains, idempotent", "/ok", "", func(r *testExecutor) { r.Drain() }, "draining not-run", "draining not-run", 0},
		{"response too long to record", "/large", "own", nil, "200 " + strings.Repeat("\x00", 10), "ticket_unknown unknown", 1},
		{"response too long to buffer", "/huge", "own", nil, "target_failed unknown", "ticket_unknown unknown", 1},
		{"recorded response evicted", "/ok", "own", func(r *testExecutor) { r.dedupStore = ticket.NewDedupStore(time.Hour, 1) }, "200 ok", "ticket_unknown unknown", 1},
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
			if c.setup != nil {
				c.setup(r)
			}
			assert.Equal(t, r.call(context.Background(), newRequest(c.path, tk)), c.first)
			assert.Equal(t, r.call(context.Background(), newRequest(c.path, tk)), c.second, "retry")
			assert.Equal(t, r.executionCount(c.path), c.executions, "executions")
			assert.Equal(t, r.InFlight(), 0, "slots must be released")
		})
	}
}

// Guards against a second execution when requests with the same ticket arrive
// concurrently, and against callers that get different responses.
func TestConcurrentUsesOfOneTicketRunOnce(t *testing.T) {
	r := newTestExecutor(t, 10)
	tk := r.issueTestTicket(t)
	results := make(chan string, 32)
	for range cap(results) {
		req := newRequest("/hold", tk)
		req.RemainingMicros = 5_000_000
		go func() { results <- r.call(context.Background(), req) }()
	}
	r.waitFor(t, "the execution", func() bool { return r.executionCount("/hold") == 1 })
	close(r.releaseHeld)
	for range cap(results) {
		assert.Equal(t, <-results, "200 ok")
	}
	assert.Equal(t, r.executionCount("/hold"), 1)
}

// Guards against canceling a non-idempotent execution when its caller
// disconnects: a retry must find the recorded response. An idempotent execution
// is canceled, since nobody can fetch its response.
func TestCallerDisconnectsWhileRequestRuns(t *testing.T) {
	r := newTestExecutor(t, 10)
	for _, tk := range []string{r.issueTestTicket(t), ""} {
		ctx, cancel := context.WithCancel(context.Background())
		req := newRequest("/hold", tk)
		req.RemainingMicros = 5_000_000
		result := make(chan string, 1)
		before := r.executionCount("/hold")
		go func() { result <- r.call(ctx, req) }()
		r.waitFor(t, "the execution", func() bool { return r.executionCount("/hold") > before })
		cancel()
		assert.Equal(t, <-result, "canceled unknown")
		if tk == "" {
			<-r.heldCanceled
			continue
		}
		r.releaseHeld <- struct{}{}
		assert.Equal(t, r.call(context.Background(), req), "200 ok")
		assert.Equal(t, r.executionCount("/hold"), 1)
	}
}

// Guards against net/http resending a request by itself on a reused connection
// that the target closes after it has read the request.
func TestRequestOnReusedConnectionIsNotResent(t *testing.T) {
	r := newTestExecutor(t, 10)
	assert.Equal(t, r.call(context.Background(), newRequest("/ok", "")), "200 ok") // names its context, so that connections are kept
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
		before := r.executionCount("/drop")
		assert.Equal(t, r.call(context.Background(), newRequest("/ok", "")), "200 ok")
		req := newRequest("/drop", "")
		req.Method = method
		assert.Equal(t, r.call(context.Background(), req), "target_failed unknown")
		assert.Equal(t, r.executionCount("/drop"), before+1)
		assert.Equal(t, r.remoteAddrs["/drop"], r.remoteAddrs["/ok"], "test setup: the connection must be reused")
	}
}

// Guards against a retry allowance that is lost with a refusal, returned twice,
// or larger than the kind permits.
func TestUnusedAllowanceIsReturnedOnce(t *testing.T) {
	r := newTestExecutor(t, 10)
	for _, c := range []struct{ depth, given, want int }{{1, 1, 1}, {1, 50, 2}, {2, 50, maxAllowance}, {1, -3, 0}} {
		req := newRequest("/ok", "")
		req.Depth, req.Allowance = c.depth, c.given
		resp, err := r.Execute(context.Background(), req, nil)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.Trailer().Allowance, c.want)
		assert.Equal(t, resp.Trailer().Allowance, 0, "the trailer must return the allowance once")
		req.Path = "/shed"
		_, err = r.Execute(context.Background(), req, nil)
		var refusal *Refusal
		assert.Assert(t, errors.As(err, &refusal))
		assert.Equal(t, refusal.Allowance, c.want)
	}
}

// Guards against sending the target a deadline that is not reduced by the time
// that the request spent in the queue.
func TestQueueTimeReducesDeadline(t *testing.T) {
	const wait = 60 * time.Millisecond
	r := newTestExecutor(t, 1)
	done := make(chan string, 2)
	for i, path := range []string{"/hold", "/ok"} {
		req := newRequest(path, r.issueTestTicket(t))
		req.RemainingMicros = 2_000_000
		go func() { done <- r.call(context.Background(), req) }()
		r.waitFor(t, "the running or queued request", func() bool { return r.InFlight() == i+1 && r.executionCount("/hold") == 1 })
	}
	time.Sleep(wait)
	assert.Equal(t, r.executionCount("/ok"), 0, "test setup: the request must be queued")
	close(r.releaseHeld)
	assert.Equal(t, <-done, "200 ok")
	assert.Equal(t, <-done, "200 ok")
	assert.Assert(t, r.deadlinesMS["/ok"] <= int((2*time.Second-wait).Milliseconds()), "deadline sent to the target: %d ms", r.deadlinesMS["/ok"])
}

// Guards against sending a request to the target although its caller
// disconnected while it was queued.
func TestQueuedRequestOfDisconnectedCallerDoesNotRun(t *testing.T) {
	r := newTestExecutor(t, 1)
	go r.call(context.Background(), newRequest("/hold", ""))
	r.waitFor(t, "the occupied slot", func() bool { return r.executionCount("/hold") == 1 })
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan string, 1)
	go func() { result <- r.call(ctx, newRequest("/ok", "")) }()
	r.waitFor(t, "the queued request", func() bool { return r.InFlight() == 2 })
	cancel()
	assert.Equal(t, <-result, "canceled not-run")
	close(r.releaseHeld)
	r.waitFor(t, "the end of all requests", func() bool { return r.InFlight() == 0 })
	assert.Equal(t, r.executionCount("/ok"), 0)
}
