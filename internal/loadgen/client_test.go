package loadgen

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/headers"
	"parsleyturn/internal/standin/target"
)

// fakeNode serves each request with the next handler, and further ones with the
// last. It records the headers and times of the requests.
type fakeNode struct {
	*httptest.Server
	mu        sync.Mutex
	responses []http.HandlerFunc
	requests  []http.Header
	times     []time.Time
}

func newFakeNode(t *testing.T, responses ...http.HandlerFunc) *fakeNode {
	n := &fakeNode{responses: responses}
	n.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.mu.Lock()
		i := min(len(n.requests), len(n.responses)-1)
		n.requests = append(n.requests, r.Header.Clone())
		n.times = append(n.times, time.Now())
		n.mu.Unlock()
		n.responses[i](w, r)
	}))
	t.Cleanup(n.Close)
	return n
}

func errorResponse(status int, outcome, code, ticket string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headers.Outcome, outcome)
		w.Header().Set(headers.Error, code)
		if ticket != "" {
			w.Header().Set(headers.Ticket, ticket)
		}
		w.WriteHeader(status)
	}
}

// bodyResponse responds with the first sent bytes of the stand-in target's body
// for a request ID, and with a header that gives the size of the body as size
// bytes. An empty id means the ID of the first request.
func bodyResponse(id string, size, sent int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if id == "" {
			id = r.Header.Get(headers.RequestID)
		}
		body := make([]byte, sent)
		_, _ = target.NewBody(3, id).Read(body)
		w.Header().Set(target.HeaderSeed, "3")
		w.Header().Set(target.HeaderBytes, strconv.Itoa(size))
		_, _ = w.Write(body)
	}
}

func runJob(t *testing.T, n *fakeNode, k Kind) jobResult {
	t.Helper()
	s := &Scenario{Name: "t", RatePerSecond: 1, Phases: []Phase{{Name: "a", DurationMS: 1000, Multiplier: 1}}}
	k.Name, k.Path, k.Weight = "k", "/x/{n}", 1
	s.Kinds = []Kind{k}
	s.setDefaults()
	assert.NilError(t, s.validate("test"))
	c := newClient(s, []string{n.Listener.Addr().String()}, "tag")
	t.Cleanup(c.http.CloseIdleConnections)
	return c.do(job{number: 7}, time.Now())
}

func (n *fakeNode) headerValues(name string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	for _, h := range n.requests {
		out = append(out, h.Get(name))
	}
	return strings.Join(out, ",")
}

// Guards against jobs that do not present the ticket they were given or change it
// between retries, and against retries that do not increase the attempt number.
func TestTicketsAndImmediateRetries(t *testing.T) {
	n := newFakeNode(t, errorResponse(428, "not-run", "ticket_required", "T1"), errorResponse(502, "unknown", "link_lost", ""),
		errorResponse(502, "unknown", "link_lost", ""), bodyResponse("", 10, 10))
	r := runJob(t, n, Kind{Method: "POST", NonIdempotent: true, RetryPolicy: ImmediateRetry})
	assert.Equal(t, r.outcome, Answered)
	assert.Equal(t, n.headerValues(headers.Ticket), ",T1,T1,T1")
	assert.Equal(t, n.headerValues(headers.Attempt), "1,1,2,3")
	assert.Equal(t, n.headerValues(headers.RequestID), "tag-7,tag-7,tag-7,tag-7")
}

// Guards against presenting a void ticket again: the node rejects it with
// ticket_void, and the client must fetch a new one.
func TestVoidTicketIsReplaced(t *testing.T) {
	n := newFakeNode(t, errorResponse(428, "not-run", "ticket_required", "T1"), errorResponse(409, "not-run", "ticket_void", ""),
		errorResponse(428, "not-run", "ticket_required", "T2"), bodyResponse("", 10, 10))
	r := runJob(t, n, Kind{Method: "POST", NonIdempotent: true, RetryPolicy: ImmediateRetry})
	assert.Equal(t, r.outcome, Answered)
	assert.Equal(t, n.headerValues(headers.Ticket), ",T1,,T2")
}

// Guards against clients that do not follow their retry policy: NoRetry, the
// default, makes one attempt, ImmediateRetry makes 6 attempts by default and goes
// on after retry_limit, and BackoffRetry stops at retry_limit and waits for
// Retry-After.
func TestRetryPolicies(t *testing.T) {
	overloaded := errorResponse(503, "not-run", "overloaded", "")
	n := newFakeNode(t, overloaded)
	r := runJob(t, n, Kind{RetryPolicy: ImmediateRetry})
	assert.Equal(t, r.outcome, NotRun)
	assert.Equal(t, r.attempts, 6)
	n = newFakeNode(t, overloaded)
	assert.Equal(t, runJob(t, n, Kind{}).attempts, 1)
	limit := errorResponse(429, "unknown", "retry_limit", "")
	assert.Equal(t, runJob(t, newFakeNode(t, limit), Kind{RetryPolicy: BackoffRetry}).attempts, 1)
	assert.Equal(t, runJob(t, newFakeNode(t, limit), Kind{RetryPolicy: ImmediateRetry}).attempts, 6)
	n = newFakeNode(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Retry-After", "1")
		overloaded(w, r)
	}, bodyResponse("", 10, 10))
	assert.Equal(t, runJob(t, n, Kind{RetryPolicy: BackoffRetry}).outcome, Answered)
	assert.Assert(t, n.times[1].Sub(n.times[0]) >= time.Second)
}

// Guards against counting a job as not run when an earlier attempt may have been
// executed: the first attempt ends as unknown, the retries as not run.
func TestNotRunNeedsEveryAttempt(t *testing.T) {
	n := newFakeNode(t, errorResponse(502, "unknown", "target_failed", ""), errorResponse(503, "not-run", "overloaded", ""))
	assert.Equal(t, runJob(t, n, Kind{RetryPolicy: ImmediateRetry}).outcome, Unknown)
}

// Guards against clients that wait longer than the job timeout or the attempt
// timeout for a node that does not respond.
func TestJobTimeoutAndAttemptTimeout(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}
	r := runJob(t, newFakeNode(t, hang), Kind{JobTimeoutMS: 100, RetryPolicy: ImmediateRetry})
	assert.Equal(t, r.outcome, TimedOut)
	assert.Equal(t, r.attempts, 1)
	r = runJob(t, newFakeNode(t, hang, bodyResponse("", 10, 10)), Kind{AttemptTimeoutMS: 50, RetryPolicy: ImmediateRetry})
	assert.Equal(t, r.outcome, Answered)
	assert.Equal(t, r.attempts, 2)
}

// Guards against counting as answered a response to another request, a truncated
// one, or one with an error status.
func TestResponsesAreChecked(t *testing.T) {
	cases := []struct {
		name string
		h    http.HandlerFunc
		want Outcome
	}{
		{"whole", bodyResponse("", 100000, 100000), Answered},
		{"body of another request", bodyResponse("tag-8", 100, 100), Wrong},
		{"short body with a normal end", bodyResponse("", 100, 99), Wrong},
		{"other request ID", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(headers.RequestID, "tag-8") }, Wrong},
		{"cut", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "100")
			bodyResponse("", 100, 50)(w, r)
		}, Truncated},
		{"failed", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(502) }, Failed},
	}
	for _, c := range cases {
		r := runJob(t, newFakeNode(t, c.h), Kind{})
		assert.Equal(t, r.outcome, c.want, "%s: %s", c.name, r.detail)
	}
}

// Guards against prefetched tickets that are not used, used twice, used for
// another kind or used after their lifetime.
func TestPrefetchedTickets(t *testing.T) {
	var p ticketPool
	p.put("book", "T1")
	assert.Equal(t, p.take("other"), "")
	assert.Equal(t, p.take("book"), "T1")
	assert.Equal(t, p.take("book"), "")
	p.byKind["book"] = []pooledTicket{{"old", time.Now().Add(-time.Minute)}}
	assert.Equal(t, p.take("book"), "")
}
