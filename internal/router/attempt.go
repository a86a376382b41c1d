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

// callState is the state of one call across its attempts.
type callState struct {
	*Call
	ticket string
	// issueTicket is set if the call asks for a ticket instead of running.
	issueTicket bool
	// tried holds the IDs of the nodes at which an attempt failed.
	tried    map[string]bool
	retries  int
	reroutes int
	// mayHaveRun is set after an attempt with an unknown outcome.
	mayHaveRun bool
	// lastAttemptSent is set if the last attempt was sent and so may have
	// reached the node.
	lastAttemptSent bool
}

// recordError records that an attempt at a node failed and whether the call may
// have run.
func (state *callState) recordError(apiErr *apierror.Error, nodeID string) {
	if state.tried == nil {
		state.tried = make(map[string]bool)
	}
	state.tried[nodeID] = true
	if apiErr.Outcome != apierror.NotRun {
		state.mayHaveRun = true
	} else if state.ticket != "" && state.lastAttemptSent {
		// The issuer has voided the ticket, so no attempt ran or will run.
		state.mayHaveRun = false
	}
}

// finalError returns the error for the caller. The outcome is Unknown if the
// last attempt did not run but an earlier one may have run.
func (state *callState) finalError(err error) error {
	apiErr := *apierror.From(err)
	if apiErr.Outcome == apierror.NotRun && state.mayHaveRun && !state.issueTicket {
		apiErr.Outcome = apierror.Unknown
	}
	return &apiErr
}

func (state *callState) request(s *Service, allowance int) *wire.Request {
	return &wire.Request{
		ID: state.ID, Kind: state.Kind.Name, Service: state.Kind.Service, Method: state.Method, Path: state.Path, Headers: state.Headers,
		RemainingMicros: (state.Deadline - kernel.Uptime()).Microseconds(), Priority: state.Priority, Allowance: allowance,
		ClientAccount: state.ClientAccount, Depth: state.Depth, Ticket: state.ticket, IssueTicket: state.issueTicket, NonIdempotent: state.Kind.NonIdempotent,
		Region: s.Region, ConfigVersion: s.config.Version(),
	}
}

// sendAttempt makes one attempt. Half of the remaining retry allowance moves to
// the node, which returns the unused part with the trailer of the response or
// with a refusal. A request for a ticket carries neither allowance nor body.
func (s *Service) sendAttempt(ctx context.Context, state *callState, node destination) (*executor.Response, error) {
	state.lastAttemptSent = false
	if kernel.Uptime() >= state.Deadline {
		return nil, apierror.New(apierror.DeadlineExceeded, apierror.NotRun, "deadline passed before the call was sent")
	}
	movedAllowance := 0
	if !state.issueTicket {
		movedAllowance = state.Allowance.MoveHalf()
	}
	req := state.request(s, movedAllowance)
	body := state.Body
	if state.issueTicket {
		body = nil
	}
	t := &attemptTracker{s: s, call: state.Call, node: node.ID, movedAllowance: movedAllowance, start: kernel.Uptime()}
	s.mu.Lock()
	s.balancer.Started(t.start, node.ID)
	s.mu.Unlock()
	var resp *executor.Response
	var err error
	if node.ID == s.NodeID {
		state.lastAttemptSent = true
		resp, err = s.executeLocal(ctx, state, req, body)
	} else {
		resp, err = s.sendToNode(ctx, state, node, req, body)
	}
	if err != nil {
		return nil, t.classifyError(ctx, err)
	}
	t.headReceived(&resp.Load)
	trailer := resp.Trailer
	resp.Body = &notifyingBody{ReadCloser: resp.Body, done: func() { t.trailerReceived(trailer()) }}
	return resp, nil
}

// executeLocal runs a call on the local target. localCalls counts a request of a
// caller until its response body is closed.
func (s *Service) executeLocal(ctx context.Context, state *callState, req *wire.Request, body []byte) (*executor.Response, error) {
	if state.Depth > 1 || state.issueTicket {
		return s.executor.Execute(ctx, req, body)
	}
	s.localCalls.Add(1)
	end := sync.OnceFunc(func() { s.localCalls.Add(-1) })
	resp, err := s.executor.Execute(ctx, req, body)
	if err != nil {
		end()
		return nil, err
	}
	resp.Body = &localCallBody{resp.Body, end}
	return resp, nil
}

// localCallBody is a response body that calls end when it is closed.
type localCallBody struct {
	io.ReadCloser
	end func()
}

func (b *localCallBody) Close() error {
	err := b.ReadCloser.Close()
	b.end()
	return err
}

// notSentError wraps an error that occurred before the request was sent, so that
// the outcome is NotRun.
type notSentError struct{ cause error }

func (e *notSentError) Error() string { return e.cause.Error() }
func (e *notSentError) Unwrap() error { return e.cause }

func (s *Service) sendToNode(ctx context.Context, state *callState, node destination, req *wire.Request, body []byte) (*executor.Response, error) {
	conn, err := s.pool.Get(ctx, node.Address, node.ID)
	if err != nil {
		return nil, &notSentError{err}
	}
	stream, err := conn.Open(ctx, req, body, false)
	if err != nil {
		return nil, &notSentError{err}
	}
	state.lastAttemptSent = true
	crossRegion := node.Region != s.Region
	if crossRegion {
		s.regionLimiter.RecordSent(state.Priority, len(body))
	}
	head, err := stream.Response()
	if err != nil {
		stream.Cancel()
		return nil, err
	}
	resp := &executor.Response{
		Status: head.Status, Headers: head.Headers, Length: -1, Ticket: head.Ticket, Load: head.Load,
		Body: &streamBody{stream},
		Trailer: func() wire.End {
			end, _ := stream.Trailer()
			return end
		},
	}
	if crossRegion {
		resp.Body = s.regionLimiter.TrackBody(state.Kind.Name, state.Priority, resp.Body)
	}
	return resp, nil
}

// streamBody is the body of a response from another node. Closing it before its
// end cancels the call.
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

// notifyingBody calls done once when the body has been read to its end.
type notifyingBody struct {
	io.ReadCloser
	done func()
	once sync.Once
}

func (b *notifyingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.once.Do(b.done)
	}
	return n, err
}

// attemptTracker reports the result of an attempt to the balancer and, for a
// sub-call, to its parent request. It returns the unused allowance to the call.
type attemptTracker struct {
	s              *Service
	call           *Call
	node           string
	movedAllowance int
	start          time.Duration
}

// reportResult ends the attempt in the balancer. load is nil if the node did not
// respond.
func (t *attemptTracker) reportResult(r balancer.Result, load *wire.Load) {
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

// balancerLoad converts the load that a node sent with a response.
func balancerLoad(l *wire.Load) *balancer.Load {
	return &balancer.Load{
		InFlight: l.InFlight, Limit: l.Limit, Queued: l.Queued,
		Threshold: l.Threshold, LongThreshold: l.LongThreshold,
		Draining: l.Draining, Cold: l.Cold,
	}
}

// headReceived is called when the head of the response has arrived.
func (t *attemptTracker) headReceived(load *wire.Load) { t.reportResult(balancer.OK, load) }

// trailerReceived is called when the complete response has arrived. It returns
// the unused allowance to the call and records in the parent request the
// thresholds and refusals that the sub-calls of this call reported.
func (t *attemptTracker) trailerReceived(end wire.End) {
	t.call.Allowance.Return(t.movedAllowance, end.Allowance)
	if t.call.Parent != nil {
		for service, threshold := range end.Thresholds {
			t.call.Parent.RecordThreshold(service, threshold)
		}
		if end.RefusedDownstream {
			t.call.Parent.RecordSubCallRefused()
		}
	}
}

// classifyError converts the error of an attempt to a typed error, reports the
// result of the attempt, and returns the allowance as far as it is known to be
// unused.
func (t *attemptTracker) classifyError(ctx context.Context, err error) error {
	var notSent *notSentError
	var refused *link.RefusedError
	var refusal *executor.Refusal
	var tooLong *wire.FrameError
	switch {
	case errors.As(err, &refusal):
		t.call.Allowance.Return(t.movedAllowance, refusal.Allowance)
		t.reportResult(balancerResult(refusal.Err), &refusal.Load)
		return refusal.Err
	case errors.As(err, &refused):
		t.call.Allowance.Return(t.movedAllowance, refused.Allowance)
		apiErr := apierror.New(refused.Code, refused.Outcome, "%s", refused.Message)
		apiErr.RetryAfter = time.Duration(refused.RetryAfterMillis) * time.Millisecond
		t.reportResult(balancerResult(apiErr), &refused.Load)
		return apiErr
	case errors.As(err, &notSent) && errors.As(err, &tooLong):
		t.call.Allowance.Return(t.movedAllowance, t.movedAllowance)
		t.reportResult(balancer.Abandoned, nil)
		return apierror.New(apierror.TooLarge, apierror.NotRun, "the head of the request is too large to be passed on")
	case errors.As(err, &notSent):
		t.call.Allowance.Return(t.movedAllowance, t.movedAllowance)
		if ctx.Err() != nil {
			t.reportResult(balancer.Abandoned, nil)
			return apierror.New(apierror.DeadlineExceeded, apierror.NotRun, "call was canceled or timed out before it was sent")
		}
		t.reportResult(balancer.Unreachable, nil)
		return apierror.New(apierror.NoTarget, apierror.NotRun, "node %q cannot be reached: %w", t.node, err)
	case ctx.Err() != nil:
		t.reportResult(balancer.Abandoned, nil)
		return apierror.New(apierror.Canceled, apierror.Unknown, "call was canceled or timed out before its response arrived")
	}
	// The other node may have used the allowance that was moved to it, so it is
	// not returned.
	t.reportResult(balancer.Failed, nil)
	return apierror.New(apierror.LinkLost, apierror.Unknown, "link to node %q was lost: %w", t.node, err)
}

// balancerResult returns what the balancer learns from a refusal. Codes that say
// nothing about the load or health of the node count as Abandoned.
func balancerResult(apiErr *apierror.Error) balancer.Result {
	switch apiErr.Code {
	case apierror.Overloaded, apierror.DeadlineExceeded:
		return balancer.Refused
	case apierror.NoTarget, apierror.Draining, apierror.Starting, apierror.TargetFailed:
		return balancer.Failed
	}
	return balancer.Abandoned
}
