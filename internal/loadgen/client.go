package loadgen

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"parsleyturn/internal/apierror"
	"parsleyturn/internal/headers"
	"parsleyturn/internal/standin/target"
)

// Outcome is how a job ended, as its client saw it.
type Outcome string

// Outcomes of a job.
const (
	// Answered is a complete response with a status below 400.
	Answered Outcome = "answered"
	// Failed is a complete response of the target with a status of 400 or more.
	Failed Outcome = "failed"
	// NotRun means that every attempt got "not run" or could not connect.
	NotRun Outcome = "not_run"
	// Unknown means that the job may have been executed: the last attempt got
	// the outcome "unknown" or a connection that broke before the response, or
	// it was not run but an earlier attempt ended otherwise.
	Unknown Outcome = "unknown"
	// Truncated is a response whose body ended early.
	Truncated Outcome = "cut"
	// Wrong is a response that ended normally but does not match the job.
	Wrong Outcome = "wrong"
	// TimedOut means that the client gave up at the job timeout.
	TimedOut Outcome = "given_up"
)

var outcomes = []Outcome{Answered, Failed, NotRun, Unknown, Truncated, Wrong, TimedOut}

// attemptResult is the result of one attempt.
type attemptResult struct {
	outcome    Outcome
	status     int
	code       string
	retryAfter time.Duration
	ticket     string
	straggler  bool
	bytes      int64
	// dialFailed means that no connection could be opened, so that no byte of
	// the request was sent.
	dialFailed bool
	detail     string
}

// errorName returns the error code or, without one, a short description.
func (t *attemptResult) errorName() string {
	switch {
	case t.code != "":
		return t.code
	case t.dialFailed:
		return "no connection"
	case t.status > 0:
		return "status " + strconv.Itoa(t.status)
	}
	return "no answer"
}

// jobResult is the result of the last attempt of a job, with data on the whole
// job.
type jobResult struct {
	attemptResult
	// firstError is the error name of the first failed attempt.
	firstError string
	attempts   int
	latency    time.Duration
}

// maxTicketFetches limits how often one job fetches a ticket.
const maxTicketFetches = 4

// maxErrorBytes is how much of the body of an error response is kept.
const maxErrorBytes = 512

// client sends jobs and checks the responses.
type client struct {
	scenario        *Scenario
	nodes           []string
	requestIDPrefix string
	http            *http.Transport
	tickets         ticketPool
}

func newClient(s *Scenario, nodes []string, requestIDPrefix string) *client {
	return &client{scenario: s, nodes: nodes, requestIDPrefix: requestIDPrefix, http: &http.Transport{
		// Without a limit, a stall of one address at 20,000 requests/s exhausts
		// the ephemeral ports and file descriptors, and dialing slows down the
		// requests to the other addresses.
		MaxConnsPerHost: s.MaxConnections, MaxIdleConnsPerHost: s.MaxConnections,
		IdleConnTimeout: 90 * time.Second, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
	}}
}

// ticketPool holds prefetched tickets by kind.
type ticketPool struct {
	mu     sync.Mutex
	byKind map[string][]pooledTicket
}

type pooledTicket struct {
	value      string
	receivedAt time.Time
}

const (
	// pooledTicketLifetime is below the node's default ticket lifetime of 30 s.
	pooledTicketLifetime = 20 * time.Second
	maxPooledTickets     = 10000
)

func (p *ticketPool) put(kind, t string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byKind == nil {
		p.byKind = map[string][]pooledTicket{}
	}
	if list := p.byKind[kind]; len(list) < maxPooledTickets {
		p.byKind[kind] = append(list, pooledTicket{t, time.Now()})
	}
}

// take removes and returns the newest ticket of a kind. It returns "" if there
// is none or if the newest is too old to use.
func (p *ticketPool) take(kind string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.byKind[kind]
	if len(list) == 0 {
		return ""
	}
	t := list[len(list)-1]
	if time.Since(t.receivedAt) > pooledTicketLifetime {
		p.byKind[kind] = nil // all others are older
		return ""
	}
	p.byKind[kind] = list[:len(list)-1]
	return t.value
}

func (c *client) requestID(j job) string { return c.requestIDPrefix + "-" + strconv.Itoa(j.number) }

// do sends a job, with its retries, until it has a final outcome. arrival is the
// scheduled arrival, from which the latency counts.
func (c *client) do(j job, arrival time.Time) jobResult {
	k := &c.scenario.Kinds[j.kind]
	ctx, cancel := context.WithDeadline(context.Background(), arrival.Add(time.Duration(k.JobTimeoutMS)*time.Millisecond))
	defer cancel()
	rng := rand.New(rand.NewPCG(j.seed, 1))
	ticket := ""
	if k.NonIdempotent {
		ticket = c.tickets.take(k.TicketKind)
	}
	r := jobResult{attempts: 1}
	allNotRun := true
	node, ticketFetches := j.firstNode, 0
	for {
		r.attemptResult = c.attempt(ctx, j, k, r.attempts, node, ticket)
		if k.NonIdempotent && r.status == http.StatusPreconditionRequired && r.ticket != "" && ticketFetches < maxTicketFetches {
			ticketFetches++
			ticket = r.ticket
			continue
		}
		if r.outcome == Answered || r.outcome == Wrong {
			break
		}
		if ctx.Err() != nil {
			r.outcome = TimedOut
			break
		}
		if r.firstError == "" {
			r.firstError = r.errorName()
		}
		allNotRun = allNotRun && r.outcome == NotRun
		if r.attempts > k.MaxRetries || k.RetryPolicy == NoRetry || !retryable(k, &r.attemptResult) {
			break
		}
		if r.code == string(apierror.TicketVoid) {
			ticket = ""
		}
		if !waitBeforeRetry(ctx, k, &r, rng) {
			r.outcome = TimedOut
			break
		}
		r.attempts++
		node = (node + 1) % len(c.nodes)
	}
	if r.outcome == NotRun && !allNotRun {
		r.outcome = Unknown
	}
	r.latency = time.Since(arrival)
	return r
}

// retryable reports whether a retry could change the response. Only clients
// with ImmediateRetry go on after retry_limit.
func retryable(k *Kind, t *attemptResult) bool {
	if t.code == string(apierror.RetryLimit) && k.RetryPolicy != ImmediateRetry {
		return false
	}
	switch t.status {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusRequestEntityTooLarge:
		return false
	}
	return t.code != string(apierror.TicketUnknown)
}

// waitBeforeRetry waits for Retry-After or, without it, with exponential
// backoff; with ImmediateRetry it returns at once. It returns false if the job
// times out first.
func waitBeforeRetry(ctx context.Context, k *Kind, r *jobResult, rng *rand.Rand) bool {
	if k.RetryPolicy == ImmediateRetry {
		return true
	}
	wait := r.retryAfter
	if wait == 0 {
		wait = 100 * time.Millisecond << min(r.attempts-1, 6)
	}
	// Without jitter, clients refused in the same second would retry together.
	wait += time.Duration(rng.Float64() * float64(wait) / 2)
	return sleep(ctx, wait)
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// attempt sends the request once. If a node cannot be dialed, it tries the next.
func (c *client) attempt(ctx context.Context, j job, k *Kind, number, node int, ticket string) attemptResult {
	latency := time.Duration(c.scenario.ClientLatencyMS * float64(time.Millisecond))
	if !sleep(ctx, latency) {
		return attemptResult{outcome: TimedOut}
	}
	attemptCtx := ctx
	if k.AttemptTimeoutMS > 0 {
		var cancel context.CancelFunc
		attemptCtx, cancel = context.WithTimeout(ctx, time.Duration(k.AttemptTimeoutMS)*time.Millisecond)
		defer cancel()
	}
	var t attemptResult
	for i := range c.nodes {
		t = c.send(attemptCtx, j, k, number, (node+i)%len(c.nodes), ticket)
		if !t.dialFailed || attemptCtx.Err() != nil {
			break
		}
	}
	sleep(ctx, latency)
	return t
}

func (c *client) newRequest(ctx context.Context, j job, k *Kind, number, node int, ticket string) (*http.Request, error) {
	path := strings.NewReplacer("{n}", strconv.Itoa(j.number), "{buyer}", j.clientAccount).Replace(k.Path)
	if k.BodyBytes > 0 {
		path += "?bytes=" + strconv.FormatInt(k.BodyBytes, 10)
	}
	var body io.Reader
	if k.RequestBytes > 0 {
		content := make([]byte, k.RequestBytes)
		_, _ = target.NewBody(c.scenario.Seed, c.requestID(j)).Read(content)
		body = bytes.NewReader(content)
	}
	req, err := http.NewRequestWithContext(ctx, k.Method, "http://"+c.nodes[node]+path, body)
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // keeps net/http from retrying the request on its own
	h := req.Header
	h.Set(headers.RequestID, c.requestID(j))
	h.Set(headers.ClientAccount, j.clientAccount)
	h.Set(headers.Attempt, strconv.Itoa(number))
	if k.DeadlineMS > 0 {
		h.Set(headers.DeadlineMS, strconv.FormatInt(k.DeadlineMS, 10))
	}
	if ticket != "" {
		h.Set(headers.Ticket, ticket)
	}
	if k.TicketFor != "" {
		h.Set(headers.TicketFor, k.TicketFor)
	}
	return req, nil
}

func (c *client) send(ctx context.Context, j job, k *Kind, number, node int, ticket string) attemptResult {
	req, err := c.newRequest(ctx, j, k, number, node, ticket)
	if err != nil {
		return attemptResult{outcome: Failed, detail: err.Error()}
	}
	resp, err := c.http.RoundTrip(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return attemptResult{outcome: NotRun, dialFailed: true, detail: err.Error()}
		}
		return attemptResult{outcome: Unknown, detail: err.Error()}
	}
	defer resp.Body.Close()
	return c.readResponse(resp, j, k)
}

// readResponse classifies a response and checks its body.
func (c *client) readResponse(resp *http.Response, j job, k *Kind) attemptResult {
	h := resp.Header
	t := attemptResult{status: resp.StatusCode, code: h.Get(headers.Error), ticket: h.Get(headers.Ticket), straggler: h.Get(target.HeaderStraggler) != ""}
	if s, err := strconv.Atoi(h.Get("Retry-After")); err == nil {
		t.retryAfter = time.Duration(s) * time.Second
	}
	if resp.StatusCode >= 400 {
		text, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		switch {
		case h.Get(headers.Outcome) == string(apierror.NotRun):
			t.outcome = NotRun
		case h.Get(headers.Outcome) == string(apierror.Unknown):
			t.outcome = Unknown
		case err != nil:
			t.outcome = Truncated
		default:
			t.outcome = Failed
		}
		t.detail = strconv.Itoa(resp.StatusCode) + " " + strings.TrimSpace(string(text))
		return t
	}
	t.outcome, t.bytes, t.detail = checkResponse(resp, c.requestID(j), k.BodyBytes)
	if t.outcome == Answered && k.TicketFor != "" && t.ticket != "" {
		c.tickets.put(k.TicketFor, t.ticket)
	}
	return t
}
