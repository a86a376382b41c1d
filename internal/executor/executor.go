// Package executor runs requests on the node's own target. It alone sends to
// that target: it checks tickets, asks admission for a slot, forwards, and
// keeps track of what is running so that sub-calls find their parent.
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
	// dedupRetention is how long a repeat finds what became of its ticket
	// after the ticket's expiry. Later repeats are told that it is unknown,
	// and running tickets are kept until they end, so it costs no safety.
	dedupRetention = time.Minute
	dedupMaxBytes  = 8 << 20
	// maxRecordedBytes bounds one recorded answer in bytes.
	maxRecordedBytes = 64 << 10
	// maxBufferedResponse bounds the answer of a non-idempotent request, which
	// is held in memory until it is whole.
	maxBufferedResponse = 1 << 20
	tickInterval        = 5 * time.Millisecond
)

var (
	executions        = metrics.NewCounter(`parsley_executor_executions_total`)
	refusals          = metrics.NewCounter(`parsley_executor_refusals_total`)
	recordedResponses = metrics.NewCounter(`parsley_executor_recorded_answers_total`)
)

// Response is the answer of the target.
type Response struct {
	Status  int
	Headers []wire.Header
	// Length is the size of the body in bytes, -1 if it is not known.
	Length int64
	// Body must be read to its end or closed.
	Body io.ReadCloser
	// Ticket is set if the request asked for one.
	Ticket string
	Load   wire.Load
	// Trailer returns the trailer; call it after Body is done.
	Trailer func() wire.End
}

// Refusal is an error with the node's load and the unused allowance.
type Refusal struct {
	Err       *apierror.Error
	Load      wire.Load
	Allowance int
}

// Error gives the message of the typed error.
func (r *Refusal) Error() string { return r.Err.Error() }

// Unwrap gives the typed error.
func (r *Refusal) Unwrap() error { return r.Err }

// Service runs requests on one target.
type Service struct {
	kernel.Base
	NodeID         string
	Incarnation    uint64
	TicketLifetime time.Duration
	Log            zerolog.Logger

	targetStatus *targetstatus.Service
	config       *configdist.Service
	forwarder    forward.Forwarder

	mu         sync.Mutex
	admission  *admission.Controller
	verdicts   map[uint64]chan admission.Verdict
	nextID     uint64
	running    map[string]*RunningRequest
	inFlight   int
	draining   bool
	issuer     *ticket.Issuer
	dedupStore *ticket.DedupStore

	tickLoop kernel.Duty
}

// Provision finds the other services.
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
	s.admission = admission.New(admission.Config{})
	s.verdicts = make(map[uint64]chan admission.Verdict)
	s.running = make(map[string]*RunningRequest)
	s.targetStatus.OnChange = s.targetChanged
	return nil
}

// Start begins to time out queued requests.
func (s *Service) Start(context.Context) error {
	s.tickLoop.Every(tickInterval, s.tick)
	return nil
}

// Stop ends the duty of Start.
func (s *Service) Stop(context.Context) error {
	s.tickLoop.End()
	return nil
}

// tick is also needed without waiting requests, so that the threshold falls.
func (s *Service) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliverVerdicts(s.admission.Tick(kernel.Uptime()))
}

// ConfigChanged takes over the limits that the configuration declares.
func (s *Service) ConfigChanged() {
	a, present := s.targetStatus.Target()
	s.targetChanged(a, present)
}

// targetChanged takes over the limits of the target.
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
	if c := s.config.InForce(); c != nil {
		if svc, ok := c.Policy.Services[service]; ok && svc.MaxQueue > 0 {
			return svc.MaxQueue
		}
	}
	return defaultMaxQueueTime
}

// deliverVerdicts passes later decisions to the waiting requests. s.mu is held.
func (s *Service) deliverVerdicts(events []admission.Event) {
	for _, e := range events {
		if ch, ok := s.verdicts[e.ID]; ok {
			delete(s.verdicts, e.ID)
			ch <- e.Verdict
		}
	}
}

// Load returns the state that peers learn.
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

// wireLoad converts the state of admission for peers.
func wireLoad(l admission.Load) wire.Load {
	return wire.Load{
		InFlight: l.InFlight, Limit: l.Limit, Queued: l.Queued,
		Threshold: l.Threshold, LongThreshold: l.LongThreshold,
	}
}

// Drain refuses all further requests; those in flight go on.
func (s *Service) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Draining says whether this node is leaving.
func (s *Service) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// InFlight is the number of requests that are queued or running, those whose
// caller has left included.
func (s *Service) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// Execute runs a request on the target. allowance holds the retries moved to
// this node. The error is a *Refusal.
func (s *Service) Execute(ctx context.Context, req *wire.Request, body []byte) (*Response, error) {
	allowance := retry.NewAllowance(s.boundedAllowance(req))
	answer, err := s.execute(ctx, req, body, allowance)
	if err != nil {
		refusals.Inc()
		// An execution that goes on without its caller must not use what is
		// returned here as well, so the rest is moved.
		return nil, &Refusal{apierror.From(err), s.Load(), allowance.MoveAll()}
	}
	return answer, nil
}

// boundedAllowance bounds the allowance of a peer by what the kind can have at most.
func (s *Service) boundedAllowance(req *wire.Request) int {
	most := maxAllowance
	if c := s.config.InForce(); c != nil && req.Depth == 1 {
		if k, ok := c.Policy.Kinds[req.Kind]; ok {
			most, _ = retry.SplitRetries(k.Retries)
		}
	}
	return min(req.Allowance, most)
}

// maxAllowance is the largest number of retries that a policy can declare.
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

// checkAccepts checks that the target takes new work. A repeat with a ticket is
// let through, since it may only ask for a recorded answer.
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
		return apierror.New(apierror.Draining, apierror.NotRun, "node %q is leaving", s.NodeID)
	case !present:
		return apierror.New(apierror.NoTarget, apierror.NotRun, "node %q has no target at present", s.NodeID)
	case a.Service != service:
		return apierror.New(apierror.NoTarget, apierror.NotRun, "target of node %q offers service %q and not %q", s.NodeID, a.Service, service)
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

// run admits, forwards and returns the streaming answer.
func (s *Service) run(ctx context.Context, req *wire.Request, body []byte, allowance *retry.Allowance) (*Response, error) {
	// The time in the queue counts, so the deadline is set before it.
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
	answer, err := s.forward(r, req, body)
	if err != nil {
		s.finish(id, r, false)
		return nil, err
	}
	answer.Body = &slotBody{ReadCloser: answer.Body, release: func(ok bool) { s.finish(id, r, ok) }}
	answer.Trailer = r.trailer
	return answer, nil
}

func (s *Service) endInFlight() {
	s.mu.Lock()
	s.inFlight--
	s.mu.Unlock()
}

// admit waits for a slot.
func (s *Service) admit(ctx context.Context, req *wire.Request, deadline time.Duration) (uint64, error) {
	now := kernel.Uptime()
	job := admission.Job{Kind: req.Kind, Client: req.Buyer, Priority: req.Priority, Deadline: deadline, Share: 1, ClientShare: 1}
	if c := s.config.InForce(); c != nil {
		if k, ok := c.Policy.Kinds[req.Kind]; ok {
			job.Long, job.Share, job.BudgetShare = k.Long, k.Share, k.BudgetShare
		}
		if b, ok := c.Policy.Buyers[req.Buyer]; ok {
			job.ClientShare = b.Share
		}
	}
	s.mu.Lock()
	s.nextID++
	job.ID = s.nextID
	verdict, events := s.admission.Submit(now, job)
	s.deliverVerdicts(events)
	var ch chan admission.Verdict
	if verdict == admission.Queued {
		ch = make(chan admission.Verdict, 1)
		s.verdicts[job.ID] = ch
	}
	s.mu.Unlock()
	if ch != nil {
		var err error
		if verdict, err = s.awaitVerdict(ctx, job.ID, ch); err != nil {
			return 0, err
		}
	}
	switch verdict {
	case admission.Run:
		if kernel.Uptime() >= deadline {
			// The process may have been paused since the slot was granted.
			s.releaseSlot(job.ID, false)
			return 0, apierror.New(apierror.DeadlineExceeded, apierror.NotRun, "deadline passed before the target was called")
		}
		return job.ID, nil
	case admission.RefusedDeadline:
		return 0, apierror.New(apierror.DeadlineExceeded, apierror.NotRun, "the request could not finish by its deadline")
	}
	e := apierror.New(apierror.Overloaded, apierror.NotRun, "target of service %q is overloaded for priority %d", req.Service, req.Priority)
	e.RetryAfter = time.Second
	return 0, e
}

func (s *Service) awaitVerdict(ctx context.Context, id uint64, ch chan admission.Verdict) (admission.Verdict, error) {
	select {
	case v := <-ch:
		return v, nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.verdicts[id]; ok {
		delete(s.verdicts, id)
		s.deliverVerdicts(s.admission.Cancel(kernel.Uptime(), id))
	} else if v := <-ch; v == admission.Run {
		s.deliverVerdicts(s.admission.Finish(kernel.Uptime(), id, false))
	}
	return 0, apierror.New(apierror.Canceled, apierror.NotRun, "caller gave up while the request was queued")
}

func (s *Service) releaseSlot(id uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliverVerdicts(s.admission.Finish(kernel.Uptime(), id, ok))
}

func (s *Service) forward(r *RunningRequest, req *wire.Request, body []byte) (*Response, error) {
	executions.Inc()
	resp, err := s.forwarder.Do(r.ctx, req, body, r.Remaining(), r.ContextToken)
	if err != nil {
		var dial *forward.DialError
		if errors.As(err, &dial) {
			s.targetStatus.Withdraw("target accepts no connection")
		}
		return nil, err
	}
	if resp.Header.Get(headers.Outcome) == string(apierror.NotRun) && resp.StatusCode == http.StatusServiceUnavailable && !r.HasSubCalls() {
		_ = resp.Body.Close()
		e := apierror.New(apierror.Overloaded, apierror.NotRun, "target of service %q shed the request", req.Service)
		e.RetryAfter = time.Second
		return nil, e
	}
	length := resp.ContentLength
	if resp.Body == http.NoBody {
		length = 0 // the answer to a HEAD request declares the length of a body that it does not have
	}
	return &Response{Status: resp.StatusCode, Headers: headers.ToWire(resp.Header), Length: length, Body: resp.Body, Load: s.Load()}, nil
}

// finish gives back the slot and forgets the running request.
func (s *Service) finish(id uint64, r *RunningRequest, ok bool) {
	r.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	delete(s.running, r.ContextToken)
	s.deliverVerdicts(s.admission.Finish(kernel.Uptime(), id, ok))
}

// slotBody releases the slot when the body ends or is closed.
type slotBody struct {
	io.ReadCloser
	release func(ok bool)
	once    sync.Once
}

func (b *slotBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.once.Do(func() { b.release(err == io.EOF) })
	}
	return n, err
}

func (b *slotBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.release(true) })
	return err
}
