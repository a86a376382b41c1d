package router

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"parsleyturn/internal/apierror"
	"parsleyturn/internal/balancer"
	"parsleyturn/internal/executor"
	"parsleyturn/internal/kernel"
	"parsleyturn/internal/link"
	"parsleyturn/internal/wire"
)

// attempt is the state of one call over its attempts.
type attempt struct {
	*Call
	ticket string
	// issue asks for a ticket instead of running the call.
	issue    bool
	tried    map[string]bool
	retries  int
	reroutes int
	// mayHaveRun is set once an attempt ended with an unknown outcome.
	mayHaveRun bool
	// lastReached says whether the last attempt reached the node.
	lastReached bool
}

// note records how an attempt ended.
func (a *attempt) note(f *apierror.Error, nodeID string) {
	if a.tried == nil {
		a.tried = make(map[string]bool)
	}
	a.tried[nodeID] = true
	if f.Outcome != apierror.NotRun {
		a.mayHaveRun = true
	} else if a.ticket != "" && a.lastReached {
		// The issuer has voided the ticket, which settles all attempts.
		a.mayHaveRun = false
	}
}

// final is the error for the caller. A "not run" of the last attempt is no
// proof for the earlier ones.
func (a *attempt) final(err error) error {
	f := *apierror.From(err)
	if f.Outcome == apierror.NotRun && a.mayHaveRun && !a.issue {
		f.Outcome = apierror.Unknown
	}
	return &f
}

func (a *attempt) request(s *Service, given int) *wire.Request {
	return &wire.Request{
		ID: a.ID, Kind: a.Kind.Name, Service: a.Kind.Service, Method: a.Method, Path: a.Path, Headers: a.Headers,
		RemainingMicros: (a.Deadline - kernel.Uptime()).Microseconds(), Priority: a.Priority, Allowance: given,
		Buyer: a.Buyer, Depth: a.Depth, Ticket: a.ticket, IssueTicket: a.issue, NonIdempotent: a.Kind.NonIdempotent,
		Region: s.Region, ConfigVersion: s.conf.Version(),
	}
}

// send makes one attempt. The allowance moves to the node and what it did not
// use comes back with the end of the answer.
func (s *Service) send(ctx context.Context, a *attempt, node target) (*executor.Response, error) {
	a.lastReached = false
	if kernel.Uptime() >= a.Deadline {
		return nil, apierror.New(apierror.DeadlineExceeded, apierror.NotRun, "deadline passed before the call was sent")
	}
	given := 0
	if !a.issue {
		given = a.Allowance.MoveHalf()
	}
	req := a.request(s, given)
	body := a.Body
	if a.issue {
		body = nil
	}
	t := &tracker{s: s, call: a.Call, node: node.ID, given: given, start: kernel.Uptime()}
	s.mu.Lock()
	s.balancer.Started(t.start, node.ID)
	s.mu.Unlock()
	var answer *executor.Response
	var err error
	if node.ID == s.NodeID {
		a.lastReached = true
		answer, err = s.executeLocal(ctx, a, req, body)
	} else {
		answer, err = s.sendRemote(ctx, a, node, req, body)
	}
	if err != nil {
		return nil, t.failed(ctx, err)
	}
	t.answered(&answer.Load)
	inner := answer.Trailer
	answer.Body = &trackedBody{ReadCloser: answer.Body, done: func() { t.ended(inner()) }}
	return answer, nil
}

// executeLocal runs a call on the node's own target and counts it until its
// body is closed.
func (s *Service) executeLocal(ctx context.Context, a *attempt, req *wire.Request, body []byte) (*executor.Response, error) {
	if a.Depth > 1 || a.issue {
		return s.local.Execute(ctx, req, body)
	}
	s.localCalls.Add(1)
	end := sync.OnceFunc(func() { s.localCalls.Add(-1) })
	answer, err := s.local.Execute(ctx, req, body)
	if err != nil {
		end()
		return nil, err
	}
	answer.Body = &countedBody{answer.Body, end}
	return answer, nil
}

type countedBody struct {
	io.ReadCloser
	end func()
}

func (b *countedBody) Close() error {
	err := b.ReadCloser.Close()
	b.end()
	return err
}

// errNotSent wraps an error that came before the request left this node.
type errNotSent struct{ cause error }

func (e *errNotSent) Error() string { return e.cause.Error() }
func (e *errNotSent) Unwrap() error { return e.cause }

func (s *Service) sendRemote(ctx context.Context, a *attempt, node target, req *wire.Request, body []byte) (*executor.Response, error) {
	conn, err := s.pool.Get(ctx, node.Address, node.ID)
	if err != nil {
		return nil, &errNotSent{err}
	}
	stream, err := conn.Open(ctx, req, body, false)
	if err != nil {
		return nil, &errNotSent{err}
	}
	a.lastReached = true
	remote := node.Region != s.Region
	if remote {
		s.cross.Sent(a.Priority, len(body))
	}
	resp, err := stream.Response()
	if err != nil {
		stream.Cancel()
		return nil, err
	}
	answer := &executor.Response{
		Status: resp.Status, Headers: resp.Headers, Length: -1, Ticket: resp.Ticket, Load: resp.Load,
		Body: &streamBody{stream},
		Trailer: func() wire.End {
			end, _ := stream.End()
			return end
		},
	}
	if remote {
		answer.Body = s.cross.Body(a.Kind.Name, a.Priority, answer.Body)
	}
	return answer, nil
}

// streamBody is the body of an answer from another node.
type streamBody struct{ s *link.Stream }

func (b *streamBody) Read(p []byte) (int, error) {
	n, err := b.s.Read(p)
	if err == io.EOF {
		b.s.Close()
	}
	return n, err
}

func (b *streamBody) Close() error {
	b.s.Cancel()
	return nil
}

// trackedBody reports the end of a body once.
type trackedBody struct {
	io.ReadCloser
	done func()
	once sync.Once
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.once.Do(b.done)
	}
	return n, err
}

// tracker tells the balancer and the allowance how an attempt went.
type tracker struct {
	s     *Service
	call  *Call
	node  string
	given int
	start time.Duration
}

func (t *tracker) finished(r balancer.Result, load *wire.Load) {
	now := kernel.Uptime()
	var l *balancer.Load
	if load != nil {
		l = balancerLoad(load)
		if t.call.Parent != nil {
			t.call.Parent.RecordThreshold(t.call.Kind.Service, l.ThresholdFor(t.call.Kind.Long))
		}
	}
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	t.s.balancer.Finished(now, t.node, now-t.start, r, l)
}

// balancerLoad converts the load that a node sent with an answer.
func balancerLoad(l *wire.Load) *balancer.Load {
	return &balancer.Load{
		InFlight: l.InFlight, Limit: l.Limit, Queued: l.Queued,
		Threshold: l.Threshold, LongThreshold: l.LongThreshold,
		Draining: l.Draining, Cold: l.Cold,
	}
}

// answered is called when the head of the answer has arrived.
func (t *tracker) answered(load *wire.Load) { t.finished(balancer.OK, load) }

// ended takes back the unused allowance when the whole answer has arrived.
func (t *tracker) ended(end wire.End) {
	t.call.Allowance.Return(t.given, end.Allowance)
	if t.call.Parent != nil {
		for service, threshold := range end.Thresholds {
			t.call.Parent.RecordThreshold(service, threshold)
		}
		if end.RefusedDeep {
			t.call.Parent.RecordSubCallRefused()
		}
	}
}

// failed types the error of an attempt.
func (t *tracker) failed(ctx context.Context, err error) error {
	var notSent *errNotSent
	var refused *link.RefusedError
	var refusal *executor.Refusal
	switch {
	case errors.As(err, &refusal):
		t.call.Allowance.Return(t.given, refusal.Allowance)
		t.finished(resultOf(refusal.Err), &refusal.Load)
		return refusal.Err
	case errors.As(err, &refused):
		t.call.Allowance.Return(t.given, refused.Allowance)
		f := apierror.New(refused.Code, refused.Outcome, "%s", refused.Message)
		f.RetryAfter = time.Duration(refused.RetryAfterMillis) * time.Millisecond
		t.finished(resultOf(f), &refused.Load)
		return f
	case errors.As(err, &notSent):
		t.call.Allowance.Return(t.given, t.given)
		if ctx.Err() != nil {
			t.finished(balancer.Abandoned, nil)
			return apierror.New(apierror.DeadlineExceeded, apierror.NotRun, "call ended before it was sent")
		}
		t.finished(balancer.Unreachable, nil)
		return apierror.New(apierror.NoTarget, apierror.NotRun, "node %q cannot be reached: %w", t.node, err)
	case ctx.Err() != nil:
		t.finished(balancer.Abandoned, nil)
		return apierror.New(apierror.Canceled, apierror.Unknown, "call ended before its answer came")
	}
	// The other node may have used the allowance that was moved to it, so it
	// is lost with the answer.
	t.finished(balancer.Failed, nil)
	return apierror.New(apierror.LinkLost, apierror.Unknown, "link to node %q was lost: %w", t.node, err)
}

func resultOf(f *apierror.Error) balancer.Result {
	switch f.Code {
	case apierror.Overloaded, apierror.DeadlineExceeded:
		return balancer.Refused
	case apierror.NoTarget, apierror.Draining, apierror.Starting, apierror.TargetFailed:
		return balancer.Failed
	}
	return balancer.Abandoned
}
