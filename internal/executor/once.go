package executor

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"parsleyturn/internal/apierror"
	"parsleyturn/internal/kernel"
	"parsleyturn/internal/retry"
	"parsleyturn/internal/ticket"
	"parsleyturn/internal/wire"
)

type ticketResult struct {
	status   ticket.Status
	response *ticket.Response
}

// executeOnce runs a non-idempotent request under its ticket, or gives what
// became of an earlier use of the ticket.
func (s *Service) executeOnce(ctx context.Context, req *wire.Request, body []byte, allowance *retry.Allowance) (*Response, error) {
	if req.Ticket == "" {
		return nil, apierror.New(apierror.TicketRequired, apierror.NotRun, "kind %q is non-idempotent and needs a ticket", req.Kind)
	}
	s.mu.Lock()
	claims, err := s.issuer.Verify(req.Ticket, req.Kind)
	if err != nil {
		s.mu.Unlock()
		return nil, verifyError(err)
	}
	status, recorded := s.dedupStore.Use(kernel.Uptime(), claims)
	if status == ticket.Running {
		ch := make(chan ticketResult, 1)
		s.dedupStore.Wait(claims, func(st ticket.Status, a *ticket.Response) { ch <- ticketResult{st, a} })
		s.mu.Unlock()
		return s.awaitExecution(ctx, ch, allowance)
	}
	s.mu.Unlock()
	if status != ticket.Fresh {
		return s.usedTicketResponse(status, recorded, allowance)
	}
	return s.executeFresh(ctx, req, body, allowance, claims)
}

func verifyError(err error) error {
	switch {
	case errors.Is(err, ticket.ErrOtherIncarnation):
		return apierror.New(apierror.TicketUnknown, apierror.Unknown, "%w", err)
	case errors.Is(err, ticket.ErrWrongKind):
		// The ticket may have been used for its own kind, but never for this
		// one, so this request did not run.
		return apierror.New(apierror.BadRequest, apierror.NotRun, "%w", err)
	}
	return apierror.New(apierror.BadRequest, apierror.Unknown, "%w", err)
}

// awaitExecution waits for the execution that is under way.
func (s *Service) awaitExecution(ctx context.Context, ch chan ticketResult, allowance *retry.Allowance) (*Response, error) {
	select {
	case o := <-ch:
		return s.usedTicketResponse(o.status, o.response, allowance)
	case <-ctx.Done():
		return nil, apierror.New(apierror.DeadlineExceeded, apierror.Unknown, "an earlier use of the ticket is still running")
	}
}

// usedTicketResponse answers for a ticket that was used before.
func (s *Service) usedTicketResponse(status ticket.Status, recorded *ticket.Response, allowance *retry.Allowance) (*Response, error) {
	switch status {
	case ticket.Void:
		return nil, apierror.New(apierror.TicketVoid, apierror.NotRun, "the ticket was refused before and can no longer run")
	case ticket.Expired:
		return nil, apierror.New(apierror.TicketVoid, apierror.NotRun, "the ticket expired unused and can no longer run")
	case ticket.Done:
		recordedResponses.Inc()
		return s.recordedResponse(recorded, allowance), nil
	}
	return nil, apierror.New(apierror.TicketUnknown, apierror.Unknown, "the ticket was used and its answer is not held any more")
}

func (s *Service) recordedResponse(a *ticket.Response, allowance *retry.Allowance) *Response {
	hs := make([]wire.Header, len(a.Headers))
	for i, h := range a.Headers {
		hs[i] = wire.Header{Name: h[0], Value: h[1]}
	}
	return &Response{
		Status: a.Status, Headers: hs, Length: int64(len(a.Body)), Body: io.NopCloser(bytes.NewReader(a.Body)), Load: s.Load(),
		Trailer: func() wire.End { return wire.End{Allowance: allowance.MoveAll()} },
	}
}

// executeFresh runs a fresh ticket. The execution does not end when the caller
// leaves, so that a repeat finds its answer.
func (s *Service) executeFresh(ctx context.Context, req *wire.Request, body []byte, allowance *retry.Allowance, claims ticket.Claims) (*Response, error) {
	if err := s.checkTargetAccepts(req.Service); err != nil {
		s.finishTicket(claims, ticket.Void, nil)
		return nil, err
	}
	type result struct {
		answer *ticket.Response
		end    wire.End
		err    error
	}
	ch := make(chan result, 1)
	go func() {
		var r result
		r.answer, r.end, r.err = s.runBuffered(ctx, req, body, allowance)
		s.recordResult(claims, r.answer, r.err)
		ch <- r
	}()
	select {
	case r := <-ch:
		if r.err != nil {
			return nil, r.err
		}
		a := s.recordedResponse(r.answer, allowance)
		a.Trailer = func() wire.End { return r.end }
		return a, nil
	case <-ctx.Done():
		return nil, apierror.New(apierror.Canceled, apierror.Unknown, "caller left while the request was running")
	}
}

// runBuffered runs the request and reads its whole answer.
func (s *Service) runBuffered(ctx context.Context, req *wire.Request, body []byte, allowance *retry.Allowance) (*ticket.Response, wire.End, error) {
	a, err := s.run(context.WithoutCancel(ctx), req, body, allowance)
	if err != nil {
		return nil, wire.End{}, err
	}
	defer a.Body.Close()
	content, err := io.ReadAll(io.LimitReader(a.Body, maxBufferedResponse+1))
	if err != nil {
		return nil, wire.End{}, apierror.New(apierror.TargetFailed, apierror.Unknown, "answer of the target was cut: %w", err)
	}
	if len(content) > maxBufferedResponse {
		return nil, wire.End{}, apierror.New(apierror.TargetFailed, apierror.Unknown, "answer of the target is longer than %d bytes, the limit for non-idempotent kinds", maxBufferedResponse)
	}
	out := &ticket.Response{Status: a.Status, Body: content}
	for _, h := range a.Headers {
		if h.Name != http.CanonicalHeaderKey("Content-Length") {
			out.Headers = append(out.Headers, [2]string{h.Name, h.Value})
		}
	}
	return out, a.Trailer(), nil
}

// recordResult records what became of a fresh ticket.
func (s *Service) recordResult(claims ticket.Claims, a *ticket.Response, err error) {
	switch {
	case err == nil && len(a.Body) <= maxRecordedBytes:
		s.finishTicket(claims, ticket.Done, a)
	case err != nil && apierror.From(err).Outcome == apierror.NotRun:
		s.finishTicket(claims, ticket.Void, nil)
	default:
		s.finishTicket(claims, ticket.DoneUnrecorded, nil)
	}
}

func (s *Service) finishTicket(claims ticket.Claims, status ticket.Status, a *ticket.Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dedupStore.Finish(claims, status, a)
}
