package executor

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"parsleyturn/internal/apierror"
	"parsleyturn/internal/bytebudget"
	"parsleyturn/internal/closehook"
	"parsleyturn/internal/kernel"
	"parsleyturn/internal/retry"
	"parsleyturn/internal/ticket"
	"parsleyturn/internal/wire"
)

type ticketResult struct {
	status   ticket.Status
	response *ticket.Response
}

// executeOnce runs a non-idempotent request if its ticket was not used before.
// Otherwise it returns the result of the earlier use.
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
		results := make(chan ticketResult, 1)
		s.dedupStore.Wait(claims, func(st ticket.Status, resp *ticket.Response) { results <- ticketResult{st, resp} })
		s.mu.Unlock()
		return s.awaitExecution(ctx, results, allowance)
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
		// A ticket is valid for one kind only, so this request did not run,
		// even if the ticket was used for its own kind.
		return apierror.New(apierror.BadRequest, apierror.NotRun, "%w", err)
	}
	return apierror.New(apierror.BadRequest, apierror.Unknown, "%w", err)
}

// awaitExecution waits for the running execution under the same ticket and
// returns its result.
func (s *Service) awaitExecution(ctx context.Context, results chan ticketResult, allowance *retry.Allowance) (*Response, error) {
	select {
	case o := <-results:
		return s.usedTicketResponse(o.status, o.response, allowance)
	case <-ctx.Done():
		return nil, apierror.New(apierror.DeadlineExceeded, apierror.Unknown, "a request with the same ticket is still running")
	}
}

// usedTicketResponse returns the response or error for a ticket that was used
// before or has expired.
func (s *Service) usedTicketResponse(status ticket.Status, recorded *ticket.Response, allowance *retry.Allowance) (*Response, error) {
	switch status {
	case ticket.Void:
		return nil, apierror.New(apierror.TicketVoid, apierror.NotRun, "the request with this ticket was refused earlier, and the ticket can no longer be used")
	case ticket.Expired:
		return nil, apierror.New(apierror.TicketVoid, apierror.NotRun, "the ticket expired before it was used and can no longer be used")
	case ticket.Done:
		recordedResponses.Inc()
		return s.recordedResponse(recorded, allowance), nil
	}
	return nil, apierror.New(apierror.TicketUnknown, apierror.Unknown, "the ticket was used and its response is no longer recorded")
}

func (s *Service) recordedResponse(resp *ticket.Response, allowance *retry.Allowance) *Response {
	hs := make([]wire.Header, len(resp.Headers))
	for i, h := range resp.Headers {
		hs[i] = wire.Header{Name: h[0], Value: h[1]}
	}
	return &Response{
		Status: resp.Status, Headers: hs, Length: int64(len(resp.Body)), Body: io.NopCloser(bytes.NewReader(resp.Body)), Load: s.Load(),
		Trailer: func() wire.End { return wire.End{Allowance: allowance.MoveAll()} },
	}
}

// executeFresh runs the request of an unused ticket. The execution continues
// when the caller disconnects, so that a retry finds the recorded response.
func (s *Service) executeFresh(ctx context.Context, req *wire.Request, body []byte, allowance *retry.Allowance, claims ticket.Claims) (*Response, error) {
	if err := s.checkTargetAccepts(req.Service); err != nil {
		s.finishTicket(claims, ticket.Void, nil)
		return nil, err
	}
	results := make(chan bufferedResult)
	bodyDone := bytebudget.Join(ctx)
	go func() {
		defer bodyDone()
		r := s.runBuffered(ctx, req, body, allowance)
		s.recordResult(claims, r.resp, r.err)
		select {
		case results <- r:
		case <-ctx.Done():
			r.release()
		}
	}()
	select {
	case r := <-results:
		if r.err != nil {
			return nil, r.err
		}
		resp := s.recordedResponse(r.resp, allowance)
		resp.Trailer = func() wire.End { return r.trailer }
		resp.Body = closehook.New(resp.Body, r.release)
		return resp, nil
	case <-ctx.Done():
		return nil, apierror.New(apierror.Canceled, apierror.Unknown, "caller disconnected while the request was running")
	}
}

// bufferedResult is a complete response in memory, or the error in its place. release
// must be called once the response is no longer used.
type bufferedResult struct {
	resp    *ticket.Response
	trailer wire.End
	release func()
	err     error
}

// runBuffered runs the request and reads the complete response into memory.
func (s *Service) runBuffered(ctx context.Context, req *wire.Request, body []byte, allowance *retry.Allowance) bufferedResult {
	failed := func(err error) bufferedResult { return bufferedResult{release: func() {}, err: err} }
	resp, err := s.run(context.WithoutCancel(ctx), req, body, allowance)
	if err != nil {
		return failed(err)
	}
	defer resp.Body.Close()
	content, release, err := s.readResponse(resp, time.Duration(req.RemainingMicros)*time.Microsecond)
	if err != nil {
		return failed(err)
	}
	out := &ticket.Response{Status: resp.Status, Body: content}
	for _, h := range resp.Headers {
		if h.Name != http.CanonicalHeaderKey("Content-Length") {
			out.Headers = append(out.Headers, [2]string{h.Name, h.Value})
		}
	}
	return bufferedResult{resp: out, trailer: resp.Trailer(), release: release}
}

// readResponse reads a body of up to maxBufferedResponse bytes. One that is longer than
// smallResponse waits until fewer than maxLargeResponses are in memory, at most for
// the given time, and counts as one of them until release is called.
func (s *Service) readResponse(resp *Response, timeout time.Duration) (content []byte, release func(), err error) {
	buf := bytes.NewBuffer(make([]byte, 0, min(max(resp.Length, 512), smallResponse)))
	if _, err := io.Copy(buf, io.LimitReader(resp.Body, smallResponse)); err != nil {
		return nil, nil, truncatedError(err)
	}
	if buf.Len() < smallResponse {
		return buf.Bytes(), func() {}, nil
	}
	select {
	case s.largeResponses <- struct{}{}:
	case <-time.After(timeout):
		return nil, nil, apierror.New(apierror.TargetFailed, apierror.Unknown, "response of the target is longer than %d bytes, and %d such responses are in memory; send shorter ones", smallResponse, maxLargeResponses)
	}
	free := sync.OnceFunc(func() { <-s.largeResponses })
	defer func() {
		if err != nil {
			free()
		}
	}()
	buf.Grow(maxBufferedResponse + 1 - smallResponse)
	if _, err := io.Copy(buf, io.LimitReader(resp.Body, maxBufferedResponse+1-smallResponse)); err != nil {
		return nil, nil, truncatedError(err)
	}
	if buf.Len() > maxBufferedResponse {
		return nil, nil, apierror.New(apierror.TargetFailed, apierror.Unknown, "response of the target exceeds %d bytes, the limit for non-idempotent kinds", maxBufferedResponse)
	}
	return buf.Bytes(), free, nil
}

func truncatedError(err error) error {
	return apierror.New(apierror.TargetFailed, apierror.Unknown, "response of the target was truncated: %w", err)
}

// recordResult records the result of the execution under a ticket for later
// requests with the ticket. A response larger than maxRecordedBytes is not kept.
func (s *Service) recordResult(claims ticket.Claims, resp *ticket.Response, err error) {
	switch {
	case err == nil && resp.Size() <= maxRecordedBytes:
		s.finishTicket(claims, ticket.Done, resp)
	case err != nil && apierror.From(err).Outcome == apierror.NotRun:
		s.finishTicket(claims, ticket.Void, nil)
	default:
		s.finishTicket(claims, ticket.DoneUnrecorded, nil)
	}
}

func (s *Service) finishTicket(claims ticket.Claims, status ticket.Status, resp *ticket.Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dedupStore.Finish(claims, status, resp)
}
