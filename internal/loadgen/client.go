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

// Outcome is how a job ended for its client.
type Outcome string

// Outcomes of a job.
const (
	// Answered is a whole answer with a status below 400.
	Answered Outcome = "answered"
	// Failed is a whole answer of the target with a status of 400 or more.
	Failed Outcome = "failed"
	// NotRun means that every attempt was told "not run".
	NotRun Outcome = "not_run"
	// Unknown is any other refusal or broken connection.
	Unknown Outcome = "unknown"
	// Truncated is an answer whose body ended early.
	Truncated Outcome = "cut"
	// Wrong is an answer that claims to be whole and is not that of the job.
	Wrong Outcome = "wrong"
	// TimedOut means that the client's patience ended.
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
	// dialFailed means that no byte of the request was sent.
	dialFailed bool
	detail     string
}

// errorName is a short name of the error.
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

// jobResult is what became of a job.
type jobResult struct {
	attemptResult
	// firstError names the error of the first attempt.
	firstError string
	attempts   int
	latency    time.Duration
}

// maxTicketFetches bounds how often one job fetches a ticket.
const maxTicketFetches = 4

// maxErrorBytes bounds what is kept of the body of a refusal, in bytes.
const maxErrorBytes = 512

// client sends jobs.
type client struct {
	scenario        *Scenario
	nodes           []string
	requestIDPrefix string
	http            *http.Transport
	tickets         ticketPool
}

func newClient(s *Scenario, nodes []string, tag string) *client {
	return &client{scenario: s, nodes: nodes, requestIDPrefix: tag, http: &http.Transport{
		// Without a bound, a stall at 20,000 calls/s to one address used up the
		// ephemeral ports and the open files, and dialing slowed the rest.
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
	// pooledTicketLifetime stays below the node's default ticket lifetime of 30 s.
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

// take returns the newest ticket, or "".
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

// do runs a job to its end. arrival is the scheduled time.
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
	node, rounds := j.firstNode, 0
	for {
		r.attemptResult = c.attempt(ctx, j, k, r.attempts, node, ticket)
		if k.NonIdempotent && r.status == http.StatusPreconditionRequired && r.ticket != "" && rounds < maxTicketFetches {
			rounds++
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

// retryable is false if a repeat cannot change the answer. Only hard clients
// go on after they were told to stop.
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

// waitBeforeRetry waits before a repeat. It returns false if patience ends first.
func waitBeforeRetry(ctx context.Context, k *Kind, r *jobResult, rng *rand.Rand) bool {
	if k.RetryPolicy == ImmediateRetry {
		return true
	}
	wait := r.retryAfter
	if wait == 0 {
		wait = 100 * time.Millisecond << min(r.attempts-1, 6)
	}
	// Without jitter, clients refused in the same second would return together.
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

// attempt sends once, to the next node if one cannot be dialed.
func (c *client) attempt(ctx context.Context, j job, k *Kind, number, node int, ticket string) attemptResult {
	distance := time.Duration(c.scenario.ClientLatencyMS * float64(time.Millisecond))
	if !sleep(ctx, distance) {
		return attemptResult{outcome: TimedOut}
	}
	sending := ctx
	if k.AttemptTimeoutMS > 0 {
		var cancel context.CancelFunc
		sending, cancel = context.WithTimeout(ctx, time.Duration(k.AttemptTimeoutMS)*time.Millisecond)
		defer cancel()
	}
	var t attemptResult
	for i := range c.nodes {
		t = c.send(sending, j, k, number, (node+i)%len(c.nodes), ticket)
		if !t.dialFailed || sending.Err() != nil {
			break
		}
	}
	sleep(ctx, distance)
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
	req.GetBody = nil // keeps net/http from repeating the request on its own
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

// readResponse classifies an answer and checks its body.
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
