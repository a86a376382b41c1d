// Package executor runs requests on the local target. It is the only sender of
// requests to that target: it checks tickets, asks admission control for a
// slot, forwards the request, and keeps track of running requests so that
// sub-calls find their parent request.
//
// It serves nodes with the product's own interface (package node); package
// targethost does the same for nodes on the users' platform.
package executor

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"parsleyturn/internal/admission"
	"parsleyturn/internal/apierror"
	"parsleyturn/internal/configdist"
	"parsleyturn/internal/forward"
	"parsleyturn/internal/headers"
	"parsleyturn/internal/kernel"
	"parsleyturn/internal/retry"
	"parsleyturn/internal/targetstatus"
	"parsleyturn/internal/ticket"
	"parsleyturn/internal/wire"
)

// Name is the name of the service in the kernel.
const Name = "executor"

const (
	// dedupRetention is how long after a ticket's expiry a retry still learns
	// the result of the first use. Later retries get an unknown outcome, and
	// tickets of running requests are kept until the request ends, so the end
	// of the retention never permits a second execution.
	dedupRetention = time.Minute
	// dedupMaxBytes bounds all recorded responses. The oldest are dropped first;
	// retries with their tickets then get an unknown outcome.
	dedupMaxBytes = 8 << 20
	// maxRecordedBytes bounds one recorded response.
	maxRecordedBytes = 64 << 10
	// maxBufferedResponse bounds the response body of a non-idempotent request
	// in bytes. Such a body is buffered in memory until it is complete.
	maxBufferedResponse = 1 << 20
	// maxLargeResponses is the number of non-idempotent requests whose responses may
	// be longer than smallResponse at the same time. Others wait, so that the memory
	// does not grow with the slots of the target.
	maxLargeResponses = 16
	smallResponse     = 64 << 10
	// tickInterval is the time between two calls of tick.
	tickInterval = 5 * time.Millisecond
)

var (
	executions        = metrics.NewCounter(`parsley_executor_executions_total`)
	refusals          = metrics.NewCounter(`parsley_executor_refusals_total`)
	recordedResponses = metrics.NewCounter(`parsley_executor_recorded_answers_total`)
)

// Response is the response of the target, or the ticket that the node issued.
type Response struct {
	Status  int
	Headers []wire.Header
	// Length is the size of the body in bytes, -1 if it is not known.
	Length int64
	// Body must be read to its end or closed.
	Body io.ReadCloser
	// Ticket is set if the request asked for a ticket.
	Ticket string
	Load   wire.Load
	// Trailer returns the trailer; call it after Body was read to its end or
	// closed.
	Trailer func() wire.End
}

// Refusal is the error of Execute, with the node's load and the unused retry
// allowance. Depending on the outcome in Err the target may have run the request.
type Refusal struct {
	Err       *apierror.Error
	Load      wire.Load
	Allowance int
}

func (r *Refusal) Error() string { return r.Err.Error() }

func (r *Refusal) Unwrap() error { return r.Err }

// Service runs requests on the local target.
type Service struct {
	kernel.Base
	NodeID         string
	Incarnation    uint64
	TicketLifetime time.Duration
	Log            zerolog.Logger

	targetStatus *targetstatus.Service
	config       *configdist.Service
	forwarder    forward.Forwarder

	mu        sync.Mutex
	admission *admission.Controller
	// verdicts holds the channels of the queued requests by admission ID.
	verdicts map[uint64]chan admission.Verdict
	lastID   uint64
	// running holds the running requests by context token.
	running    map[string]*RunningRequest
	inFlight   int
	draining   bool
	issuer     *ticket.Issuer
	dedupStore *ticket.DedupStore
	// largeResponses has an element for each large response in memory.
	largeResponses chan struct{}

	tickLoop kernel.Worker
}

// Provision looks up the services that the executor uses, creates its ticket key
// and subscribes to changes of the target.
func (s *Service) Provision(k *kernel.Kernel) error {
	var err error
	if s.targetStatus, err = kernel.Lookup[*targetstatus.Service](k, targetstatus.Name); err != nil {
		return err
	}
	if s.config, err = kernel.Lookup[*configdist.Service](k, configdist.Name); err != nil {
		return err
	}
	key := make([]byte, 32)
	if _, err := rand.Read(key); err != nil {
		return fmt.Errorf("create ticket key: %w", err)
	}
	s.issuer = ticket.NewIssuer(s.NodeID, s.Incarnation, key, s.TicketLifetime)
	s.dedupStore = ticket.NewDedupStore(dedupRetention, dedupMaxBytes)
	s.largeResponses = make(chan struct{}, maxLargeResponses)
	s.admission = admission.New(admission.Config{})
	s.verdicts = make(map[uint64]chan admission.Verdict)
	s.running = make(map[string]*RunningRequest)
	s.targetStatus.OnChange = s.targetChanged
	return nil
}

// Start starts the periodic call of tick.
func (s *Service) Start(context.Context) error {
	s.tickLoop.StartPeriodic(tickInterval, s.tick)
	return nil
}

// Stop ends the periodic call of tick.
func (s *Service) Stop(context.Context) error {
	s.tickLoop.Stop()
	return nil
}

// tick advances admission control, which refuses requests that were queued too
// long. It also runs while no request is queued, so that the admission threshold
// falls again.
func (s *Service) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliverVerdicts(s.admission.Tick(kernel.Uptime()))
}

// ConfigChanged applies the maximum queue time that the configuration declares.
func (s *Service) ConfigChanged() {
	a, present := s.targetStatus.Target()
	s.targetChanged(a, present)
}

// targetChanged applies the address and limits that the target announces, and the
// maximum queue time of its service. Without a target the last ones stay.
func (s *Service) targetChanged(a targetstatus.Announcement, present bool) {
	if !present {
		return
	}
	s.forwarder.Configure(a.Address, a.Connections)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliverVerdicts(s.admission.Configure(kernel.Uptime(), admission.Config{Slots: a.Slots, MaxQueueTime: s.maxQueueTime(a.Service)}))
}

const defaultMaxQueueTime = 100 * time.Millisecond

func (s *Service) maxQueueTime(service string) time.Duration {
	if c := s.config.ActiveConfig(); c != nil {
		if svc, ok := c.Policy.Services[service]; ok && svc.MaxQueueTime > 0 {
			return svc.MaxQueueTime
		}
	}
	return defaultMaxQueueTime
}

// deliverVerdicts passes admission decisions to the queued requests. s.mu must
// be held.
func (s *Service) deliverVerdicts(events []admission.Event) {
	for _, e := range events {
		if ch, ok := s.verdicts[e.ID]; ok {
			delete(s.verdicts, e.ID)
			ch <- e.Verdict
		}
	}
}

// Load returns the load and state that peers learn with each response.
func (s *Service) Load() wire.Load {
	a, present := s.targetStatus.Target()
	s.mu.Lock()
	defer s.mu.Unlock()
	l := wireLoad(s.admission.Load())
	l.Draining = s.draining || !present || a.State == targetstatus.Draining
	l.Cold = a.State == targetstatus.Cold
	l.ConfigVersion = s.config.Version()
	return l
}

// wireLoad converts the state of admission control to its wire form.
func wireLoad(l admission.Load) wire.Load {
	return wire.Load{
		InFlight: l.InFlight, Limit: l.Limit, Queued: l.Queued,
		Threshold: l.Threshold, LongThreshold: l.LongThreshold,
	}
}

// Drain makes the executor start no more requests. Requests in flight continue,
// and recorded responses are still returned.
func (s *Service) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Draining reports whether Drain was called.
func (s *Service) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// InFlight returns the number of requests that are queued or run on the target,
// including those whose caller has disconnected.
func (s *Service) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// Execute runs a request on the target. The request carries the retry allowance
// that was moved to this node. The error is a *Refusal.
func (s *Service) Execute(ctx context.Context, req *wire.Request, body []byte) (*Response, error) {
	allowance := retry.NewAllowance(s.boundedAllowance(req))
	resp, err := s.execute(ctx, req, body, allowance)
	if err != nil {
		refusals.Inc()
		// The execution may continue without its caller. Moving the remaining
		// allowance keeps it from using retries that are returned here.
		return nil, &Refusal{apierror.From(err), s.Load(), allowance.MoveAll()}
	}
	return resp, nil
}

// boundedAllowance returns the allowance that the sender moved to this node,
// bounded by the maximum for the kind or, for a sub-call, by maxAllowance.
func (s *Service) boundedAllowance(req *wire.Request) int {
	maximum := maxAllowance
	if c := s.config.ActiveConfig(); c != nil && req.Depth == 1 {
		if k, ok := c.Policy.Kinds[req.Kind]; ok {
			maximum, _ = retry.SplitRetries(k.Retries)
		}
	}
	return min(req.Allowance, maximum)
}

// maxAllowance is the largest number of retries that a policy may declare.
const maxAllowance = 20

func (s *Service) execute(ctx context.Context, req *wire.Request, body []byte, allowance *retry.Allowance) (*Response, error) {
	if err := s.checkAccepts(req); err != nil {
		return nil, err
	}
	if req.IssueTicket {
		return s.issueTicket(req)
	}
	if req.NonIdempotent {
		return s.executeOnce(ctx, req, body, allowance)
	}
	return s.run(ctx, req, body, allowance)
}

// checkAccepts returns an error if the target does not accept the request. A
// non-idempotent request with a ticket passes, since it may be a retry that only
// fetches a recorded response; for an unused ticket, executeFresh makes the
// check.
func (s *Service) checkAccepts(req *wire.Request) error {
	if req.NonIdempotent && req.Ticket != "" {
		return nil
	}
	return s.checkTargetAccepts(req.Service)
}

func (s *Service) checkTargetAccepts(service string) error {
	a, present := s.targetStatus.Target()
	s.mu.Lock()
	draining := s.draining
	s.mu.Unlock()
	switch {
	case draining || a.State == targetstatus.Draining || a.State == targetstatus.Stopping:
		return apierror.New(apierror.Draining, apierror.NotRun, "node %q is draining", s.NodeID)
	case !present:
		return apierror.New(apierror.NoTarget, apierror.NotRun, "node %q has no registered target", s.NodeID)
	case a.Service != service:
		return apierror.New(apierror.NoTarget, apierror.NotRun, "target of node %q offers service %q, not %q", s.NodeID, a.Service, service)
	}
	return nil
}

func (s *Service) issueTicket(req *wire.Request) (*Response, error) {
	s.mu.Lock()
	t, err := s.issuer.Issue(kernel.Uptime(), req.Kind)
	s.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return &Response{Status: http.StatusOK, Ticket: t, Body: http.NoBody, Load: s.Load(), Trailer: func() wire.End { return wire.End{Allowance: req.Allowance} }}, nil
}

// run waits for a slot, forwards the request and returns the response. The slot
// is released when the response body ends or is closed.
func (s *Service) run(ctx context.Context, req *wire.Request, body []byte, allowance *retry.Allowance) (*Response, error) {
	// Time in the queue counts towards the deadline.
	deadline := kernel.Uptime() + time.Duration(req.RemainingMicros)*time.Microsecond
	s.mu.Lock()
	s.inFlight++
	s.mu.Unlock()
	id, err := s.admit(ctx, req, deadline)
	if err != nil {
		s.endInFlight()
		return nil, err
	}
	r := s.startRunning(ctx, req, allowance, deadline)
	resp, err := s.forward(r, req, body)
	if err != nil {
		s.finish(id, r, false)
		return nil, err
	}
	resp.Body = &slotBody{ReadCloser: resp.Body, release: func(err error) { s.endBody(id, r, err) }}
	resp.Trailer = r.trailer
	return resp, nil
}

func (s *Service) endInFlight() {
	s.mu.Lock()
	s.inFlight--
	s.mu.Unlock()
}

// admit waits for a slot and returns the admission ID of the request.
func (s *Service) admit(ctx context.Context, req *wire.Request, deadline time.Duration) (uint64, error) {
	now := kernel.Uptime()
	job := admission.Job{Kind: req.Kind, ClientAccount: req.ClientAccount, Priority: req.Priority, Deadline: deadline, Share: 1, ClientAccountShare: 1}
	if c := s.config.ActiveConfig(); c != nil {
		if k, ok := c.Policy.Kinds[req.Kind]; ok {
			job.Long, job.Share, job.BudgetShare = k.Long, k.Share, k.BudgetShare
		}
		if b, ok := c.Policy.ClientAccounts[req.ClientAccount]; ok {
			job.ClientAccountShare = b.Share
		}
	}
	s.mu.Lock()
	s.lastID++
	job.ID = s.lastID
	verdict, events := s.admission.Submit(now, job)
	s.deliverVerdicts(events)
	var verdicts chan admission.Verdict
	if verdict == admission.Queued {
		verdicts = make(chan admission.Verdict, 1)
		s.verdicts[job.ID] = verdicts
	}
	s.mu.Unlock()
	if verdicts != nil {
		var err error
		if verdict, err = s.awaitVerdict(ctx, job.ID, verdicts); err != nil {
			return 0, err
		}
	}
	switch verdict {
	case admission.Run:
		if kernel.Uptime() >= deadline {
			// The process may have been paused after the slot was granted.
			s.releaseSlot(job.ID, false)
			return 0, apierror.New(apierror.DeadlineExceeded, apierror.NotRun, "deadline passed before the request was sent to the target")
		}
		return job.ID, nil
	case admission.RefusedDeadline:
		return 0, apierror.New(apierror.DeadlineExceeded, apierror.NotRun, "the request was refused because it would not finish by its deadline")
	}
	e := apierror.New(apierror.Overloaded, apierror.NotRun, "target of service %q is overloaded for requests of priority %d", req.Service, req.Priority)
	e.RetryAfter = time.Second
	return 0, e
}

// awaitVerdict waits for the admission decision on a queued request. If ctx ends
// first, it removes the request from the queue or gives back its slot.
func (s *Service) awaitVerdict(ctx context.Context, id uint64, verdicts chan admission.Verdict) (admission.Verdict, error) {
	select {
	case v := <-verdicts:
		return v, nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.verdicts[id]; ok {
		delete(s.verdicts, id)
		s.deliverVerdicts(s.admission.Cancel(kernel.Uptime(), id))
	} else if v := <-verdicts; v == admission.Run {
		s.deliverVerdicts(s.admission.Finish(kernel.Uptime(), id, false))
	}
	return 0, apierror.New(apierror.Canceled, apierror.NotRun, "the request was canceled while it was queued")
}

func (s *Service) releaseSlot(id uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliverVerdicts(s.admission.Finish(kernel.Uptime(), id, ok))
}

// forward sends the request to the target. If the target responds that it did
// not run the request, and names the request's context, forward returns an error
// with the outcome NotRun, unless the target has made sub-calls, which may have
// had effects. Without the context, the response could be an earlier refusal that
// the target has sent again on the connection.
func (s *Service) forward(r *RunningRequest, req *wire.Request, body []byte) (*Response, error) {
	executions.Inc()
	resp, err := s.forwarder.Do(r.ctx, req, body, r.Remaining(), r.ContextToken)
	if err != nil {
		var dial *forward.DialError
		if errors.As(err, &dial) {
			s.targetStatus.Withdraw("target does not accept connections")
		} else {
			s.logBroken(r, err)
		}
		return nil, err
	}
	refused := resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(headers.Outcome) == string(apierror.NotRun) && resp.Header.Get(headers.ContextToken) == r.ContextToken
	if refused && !r.HasSubCalls() {
		_ = resp.Body.Close()
		e := apierror.New(apierror.Overloaded, apierror.NotRun, "target of service %q shed the request", req.Service)
		e.RetryAfter = time.Second
		return nil, e
	}
	length := resp.ContentLength
	if resp.Body == http.NoBody {
		length = 0 // the response to a HEAD request declares the length of a body that it does not have
	}
	return &Response{Status: resp.StatusCode, Headers: headers.ToWire(resp.Header), Length: length, Body: resp.Body, Load: s.Load()}, nil
}

// finish releases the slot and removes the running request. ok is false if the
// target failed, so that admission control does not use the duration.
func (s *Service) finish(id uint64, r *RunningRequest, ok bool) {
	r.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	delete(s.running, r.ContextToken)
	s.deliverVerdicts(s.admission.Finish(kernel.Uptime(), id, ok))
}
