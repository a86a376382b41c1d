// Package gateway accepts HTTP requests from callers and, on a loopback address,
// sub-calls from the local target. Sub-calls inherit the request ID, client
// account, deadline, priority and a part of the retry allowance of their parent
// request.
//
// It is the entry of a node with the product's own interface (package node);
// package ingress is that of a node on the users' platform.
package gateway

import (
	"context"
	mathrand "math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/kit/endpoint"
	"github.com/rs/zerolog"

	"parsleyturn/internal/apierror"
	"parsleyturn/internal/bytebudget"
	"parsleyturn/internal/callerconn"
	"parsleyturn/internal/closehook"
	"parsleyturn/internal/configdist"
	"parsleyturn/internal/connlimit"
	"parsleyturn/internal/entryshed"
	"parsleyturn/internal/executor"
	"parsleyturn/internal/kernel"
	"parsleyturn/internal/policy"
	"parsleyturn/internal/retry"
	"parsleyturn/internal/router"
	"parsleyturn/internal/targetstatus"
	"parsleyturn/internal/wire"
)

// Name is the name of the service in the kernel.
const Name = "gateway"

// MaxDepth is the maximum number of calls in a call chain, including the request
// of the caller.
const MaxDepth = 16

var (
	requests        = metrics.NewCounter(`parsley_gateway_requests_total`)
	badRequests     = metrics.NewCounter(`parsley_gateway_requests_malformed_total`)
	notRun          = metrics.NewCounter(`parsley_gateway_answers_total{outcome="not-run"}`)
	unknown         = metrics.NewCounter(`parsley_gateway_answers_total{outcome="unknown"}`)
	answered        = metrics.NewCounter(`parsley_gateway_answers_total{outcome="answered"}`)
	truncatedBodies = metrics.NewCounter(`parsley_gateway_bodies_cut_total`)
	durations       = metrics.NewHistogram(`parsley_gateway_duration_seconds`)
	orphanSubCalls  = metrics.NewCounter(`parsley_gateway_subcalls_without_parent_total`)
	clientsLeft     = metrics.NewCounter(`parsley_gateway_clients_left_total`)
	shedAtEntry     = metrics.NewCounter(`parsley_gateway_shed_at_entry_total`)
	ticketsIssued   = metrics.NewCounter(`parsley_gateway_tickets_given_total`)
)

// Request is a decoded request of a caller or a sub-call of the local target.
type Request struct {
	ID            string
	ClientAccount string
	Attempt       int
	Remaining     time.Duration // 0 if the caller set no deadline
	Ticket        string
	TicketFor     string
	ContextToken  string
	// Loopback is set for requests that arrived on the loopback address, which
	// the local target uses.
	Loopback bool
	Method   string
	Path     string
	Headers  []wire.Header
	Body     []byte

	kind policy.Kind
	// parent is the request that the local target was running when it made this
	// sub-call. It is nil for a request of a caller.
	parent *executor.RunningRequest
	// counted is set after this attempt was counted in Service.attempts.
	counted bool
	// retried is set if the request may have been sent before.
	retried bool
	// allowance is the number of retries that the call chain of the request may
	// use inside the mesh.
	allowance int
}

// Result is the response to a request.
type Result struct {
	*executor.Response
	ID            string
	ConfigVersion uint64
	// NextTicket is the ticket requested with Parsley-Ticket-For, or "" if none
	// was requested or issued.
	NextTicket string
	// deadline is the time by which the body must have been sent.
	deadline time.Time
}

// Service serves the requests of callers and of the local target.
type Service struct {
	kernel.Base
	CallerAddress       string
	TargetListenAddress string
	MaxBodyBytes        int64
	Log                 zerolog.Logger
	// CallerConnections and TargetConnections are the numbers of connections of callers
	// and of the local target, for its sub-calls.
	CallerConnections, TargetConnections connlimit.Config
	// OnListenerLost is called if no more connections can be accepted.
	OnListenerLost func(err error)

	config       *configdist.Service
	router       *router.Service
	executor     *executor.Service
	targetStatus *targetstatus.Service

	mu        sync.Mutex
	attempts  *retry.AttemptCounter
	entryShed *entryshed.Controller
	rng       *mathrand.Rand

	endpoint                         endpoint.Endpoint
	callerServer                     *http.Server
	loopbackServer                   *http.Server
	callerListener, loopbackListener *callerconn.Listener
	inFlight                         atomic.Int64
	bodies                           *bytebudget.Budget
	// bodyTimeout is bodyIdleTimeout, except in tests.
	bodyTimeout time.Duration
	// callerRequests counts the requests in inFlight that come from callers.
	callerRequests atomic.Int64
}

// Provision looks up the services that the gateway uses and builds the endpoint
// with its middleware.
func (s *Service) Provision(k *kernel.Kernel) error {
	var err error
	if s.config, err = kernel.Lookup[*configdist.Service](k, configdist.Name); err != nil {
		return err
	}
	if s.router, err = kernel.Lookup[*router.Service](k, router.Name); err != nil {
		return err
	}
	if s.executor, err = kernel.Lookup[*executor.Service](k, executor.Name); err != nil {
		return err
	}
	if s.targetStatus, err = kernel.Lookup[*targetstatus.Service](k, targetstatus.Name); err != nil {
		return err
	}
	s.bodyTimeout = bodyIdleTimeout
	s.bodies = bytebudget.New(max(maxBodyBytes, 2*s.MaxBodyBytes))
	s.attempts = retry.NewAttemptCounter(retry.DefaultAttemptCounterSize, retry.DefaultAttemptCounterTTL)
	s.entryShed = entryshed.New(entryshed.Config{})
	s.rng = mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64()))
	s.endpoint = endpoint.Chain(s.countOutcomes, s.requireConfig, s.classify, s.shedEarly, s.limitRetries, s.withDeadline)(s.call)
	return nil
}

// countOutcomes counts requests and their outcomes and measures durations.
func (s *Service) countOutcomes(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		requests.Inc()
		start := time.Now()
		out, err := next(ctx, request)
		durations.UpdateDuration(start)
		if err == nil {
			answered.Inc()
			return out, nil
		}
		if apierror.From(err).Outcome == apierror.NotRun {
			notRun.Inc()
		} else {
			unknown.Inc()
		}
		return nil, err
	}
}

// requireConfig refuses requests while no configuration is active.
func (s *Service) requireConfig(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		if s.config.ActiveConfig() == nil {
			return nil, s.adjustOutcome(request.(*Request), apierror.New(apierror.Starting, apierror.NotRun, "the node has no configuration yet"))
		}
		return next(ctx, request)
	}
}

// classify determines the kind of the request and, for a sub-call, its parent
// request.
func (s *Service) classify(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		r := request.(*Request)
		kind, ok := s.config.ActiveConfig().Policy.Match(r.Method, r.Path)
		if !ok {
			return nil, s.adjustOutcome(r, apierror.New(apierror.NoKind, apierror.NotRun, "no request kind matches %s %s", r.Method, r.Path))
		}
		r.kind = kind
		if r.Ticket != "" && !kind.NonIdempotent {
			// A request with a ticket would be sent to the node that issued the
			// ticket, which may not offer the service, and would not be checked
			// by shedEarly.
			badRequests.Inc()
			return nil, s.adjustOutcome(r, apierror.New(apierror.BadRequest, apierror.NotRun, "kind %q is idempotent and takes no ticket; send the request without Parsley-Ticket", kind.Name))
		}
		if r.Loopback && r.ContextToken != "" {
			parent, ok := s.executor.FindRunning(r.ContextToken)
			if !ok {
				orphanSubCalls.Inc()
				return nil, s.adjustOutcome(r, apierror.New(apierror.Canceled, apierror.NotRun, "the parent request of this sub-call has ended"))
			}
			parent.RecordSubCall()
			r.parent = parent
		}
		return next(ctx, request)
	}
}

// limitRetries refuses a request of which the caller has sent more attempts than
// its kind permits. It sets the retry allowance of the request.
func (s *Service) limitRetries(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		r := request.(*Request)
		if r.parent != nil {
			return next(ctx, request)
		}
		// A non-idempotent request without a ticket only obtains one, so it does
		// not count as an attempt.
		if r.kind.NonIdempotent && r.Ticket == "" {
			return next(ctx, request)
		}
		s.mu.Lock()
		seen := s.attempts.Record(kernel.Uptime(), r.ID)
		s.mu.Unlock()
		r.counted = true
		r.retried = max(r.Attempt, seen) > 1
		var ok bool
		if r.allowance, ok = retry.AdmitAttempt(r.kind.Retries, r.Attempt, seen); !ok {
			return nil, s.adjustOutcome(r, apierror.New(apierror.RetryLimit, apierror.NotRun, "attempt %d of request %q exceeds the retry limit of kind %q", max(r.Attempt, seen), r.ID, r.kind.Name))
		}
		return next(ctx, request)
	}
}

// withDeadline cancels the request at its deadline, and a sub-call also when its
// parent request ends. After a success the context stays alive until the
// response body is closed.
func (s *Service) withDeadline(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		r := request.(*Request)
		if r.Remaining <= 0 || r.Remaining > r.kind.Deadline {
			r.Remaining = r.kind.Deadline
		}
		if r.parent != nil {
			r.Remaining = min(r.Remaining, r.parent.Remaining())
		}
		ctx, cancel := context.WithTimeout(ctx, r.Remaining)
		stop := func() bool { return true }
		if r.parent != nil {
			stop = context.AfterFunc(r.parent.Context(), cancel)
		}
		end := func() {
			stop()
			cancel()
		}
		out, err := next(ctx, request)
		if err != nil {
			end()
			return nil, err
		}
		result := out.(*Result)
		result.Body = closehook.New(result.Body, end)
		result.deadline, _ = ctx.Deadline()
		return result, nil
	}
}

// call sends the request to a target. A non-idempotent request of a caller
// without a ticket is refused with a new ticket instead.
func (s *Service) call(ctx context.Context, request any) (any, error) {
	r := request.(*Request)
	if err := callerconn.Check(ctx); err != nil {
		clientsLeft.Inc()
		return nil, s.adjustOutcome(r, apierror.New(apierror.Canceled, apierror.NotRun, "%w", err))
	}
	c := &router.Call{
		ID: r.ID, Kind: r.kind, Method: r.Method, Path: r.Path, Headers: r.Headers, Body: r.Body,
		Priority: r.kind.Priority, ClientAccount: r.ClientAccount, Depth: 1, Ticket: r.Ticket,
		Deadline: kernel.Uptime() + r.Remaining, Parent: r.parent,
	}
	if err := s.inheritFromParent(r, c); err != nil {
		return nil, err
	}
	if r.kind.NonIdempotent && r.Ticket == "" && c.Depth == 1 {
		return nil, s.ticketRequiredError(ctx, c)
	}
	resp, err := s.router.Do(ctx, c)
	if err != nil {
		s.returnAllowance(r, c)
		apiErr := apierror.From(err)
		if r.parent != nil && apiErr.Code == apierror.Overloaded {
			r.parent.RecordSubCallRefused()
		}
		if r.Ticket == "" {
			apiErr = s.adjustOutcome(r, apiErr)
		}
		return nil, apiErr
	}
	result := &Result{Response: resp, ID: r.ID, ConfigVersion: s.config.Version(), NextTicket: s.nextTicket(ctx, r, c)}
	trailer := resp.Trailer
	resp.Body = closehook.New(resp.Body, func() {
		s.returnAllowance(r, c)
		if r.parent == nil {
			s.observeChain(r, trailer())
		}
	})
	return result, nil
}

// inheritFromParent sets the retry allowance of the call and, for a sub-call,
// the fields that it inherits from its parent request.
func (s *Service) inheritFromParent(r *Request, c *router.Call) error {
	if r.parent == nil {
		c.Allowance = retry.NewAllowance(r.allowance)
		return nil
	}
	p := r.parent.Request
	c.ID, c.ClientAccount, c.Priority, c.Depth = p.ID, p.ClientAccount, p.Priority, p.Depth+1
	if c.Depth > MaxDepth {
		return apierror.New(apierror.BadRequest, apierror.NotRun, "call chain is longer than %d calls", MaxDepth)
	}
	c.Allowance = retry.NewAllowance(r.parent.Allowance.MoveHalf())
	return nil
}

// returnAllowance returns the unused allowance of a sub-call to its parent
// request.
func (s *Service) returnAllowance(r *Request, c *router.Call) {
	if r.parent != nil {
		n := c.Allowance.MoveAll()
		r.parent.Allowance.Return(n, n)
	}
}

// ticketRequiredError obtains a ticket for the call and returns the error
// response that carries it, or the reason why no ticket was issued.
func (s *Service) ticketRequiredError(ctx context.Context, c *router.Call) error {
	t, err := s.router.RequestTicket(ctx, c)
	if err != nil {
		apiErr := apierror.From(err)
		// Without a ticket the request is never sent to a target.
		apiErr.Outcome = apierror.NotRun
		return apiErr
	}
	ticketsIssued.Inc()
	apiErr := apierror.New(apierror.TicketRequired, apierror.NotRun, "kind %q is non-idempotent and needs a ticket", c.Kind.Name)
	apiErr.Ticket = t
	return apiErr
}

// nextTicket returns a ticket for the kind named in Parsley-Ticket-For. It
// returns "" if the request has no such field, the kind needs no ticket, or none
// can be obtained.
func (s *Service) nextTicket(ctx context.Context, r *Request, c *router.Call) string {
	if r.TicketFor == "" {
		return ""
	}
	kind, ok := s.config.ActiveConfig().Policy.Kinds[r.TicketFor]
	if !ok || !kind.NonIdempotent {
		return ""
	}
	next := *c
	next.Kind, next.Priority, next.Allowance = kind, kind.Priority, retry.NewAllowance(0)
	t, err := s.router.RequestTicket(ctx, &next)
	if err != nil {
		return ""
	}
	ticketsIssued.Inc()
	return t
}
