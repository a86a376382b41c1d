// Package router sends one call to a target of its service: it chooses a node,
// talks to it over the link, and repeats the call where that is allowed.
package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"parsleyturn/internal/apierror"
	"parsleyturn/internal/balancer"
	"parsleyturn/internal/configdist"
	"parsleyturn/internal/executor"
	"parsleyturn/internal/gossip"
	"parsleyturn/internal/kernel"
	"parsleyturn/internal/link"
	"parsleyturn/internal/policy"
	"parsleyturn/internal/regionlimiter"
	"parsleyturn/internal/retry"
	"parsleyturn/internal/ticket"
	"parsleyturn/internal/wire"
)

// Name is the name of the service in the kernel.
const Name = "router"

const (
	// maxReroutes bounds how often one call is sent to another node because
	// the chosen one is gone or leaving. No target does any work for these.
	maxReroutes    = 3
	backoffBase    = 5 * time.Millisecond
	backoffCeiling = 100 * time.Millisecond
)

var (
	callsTotal    = metrics.NewCounter(`parsley_router_calls_total`)
	retriesTotal  = metrics.NewCounter(`parsley_router_retries_total`)
	reroutesTotal = metrics.NewCounter(`parsley_router_reroutes_total`)
	budgetDenied  = metrics.NewCounter(`parsley_router_retry_budget_denied_total`)
)

// Call is a request to be sent to a target of its kind's service.
type Call struct {
	ID       string
	Kind     policy.Kind
	Method   string
	Path     string
	Headers  []wire.Header
	Body     []byte
	Priority int
	Buyer    string
	Depth    int
	// Ticket is what the caller presented. A sub-call of a non-idempotent
	// kind has none and gets one here.
	Ticket string
	// Allowance holds the retries that may be used.
	Allowance *retry.Allowance
	// Deadline is on the clock of kernel.Uptime.
	Deadline time.Duration
	// Parent is the running request of a sub-call, or nil.
	Parent *executor.RunningRequest
}

// Service routes calls.
type Service struct {
	kernel.Base
	NodeID  string
	Region  string
	Zone    string
	LocalIP net.IP
	Hello   func() wire.Hello
	Timing  link.Timing
	Log     zerolog.Logger

	gossip        *gossip.Service
	config        *configdist.Service
	executor      *executor.Service
	regionLimiter *regionlimiter.Service
	pool          *link.Pool
	directory     directory
	retryBudget   *retry.Budget
	// localCalls are calls of callers that run on the node's own target.
	localCalls atomic.Int64

	mu       sync.Mutex
	balancer *balancer.Balancer
	rng      *rand.Rand
}

// Provision finds the other services.
func (s *Service) Provision(k *kernel.Kernel) error {
	var err error
	if s.gossip, err = kernel.Lookup[*gossip.Service](k, gossip.Name); err != nil {
		return err
	}
	if s.config, err = kernel.Lookup[*configdist.Service](k, configdist.Name); err != nil {
		return err
	}
	if s.executor, err = kernel.Lookup[*executor.Service](k, executor.Name); err != nil {
		return err
	}
	if s.regionLimiter, err = kernel.Lookup[*regionlimiter.Service](k, regionlimiter.Name); err != nil {
		return err
	}
	s.pool = &link.Pool{Hello: s.Hello, LocalIP: s.LocalIP, Timing: s.Timing, OnClose: s.linkClosed}
	s.balancer = balancer.New()
	s.retryBudget = retry.NewBudget()
	s.rng = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	s.directory.view = s.gossip.View
	return nil
}

// linkClosed logs the end of a connection that was in use.
func (s *Service) linkClosed(peer wire.Hello, reason error) {
	if errors.Is(reason, link.ErrIdle) || errors.Is(reason, link.ErrClosed) {
		return
	}
	s.Log.Warn().Str("peer", peer.NodeID).Err(reason).Msg("link closed")
}

// Stop closes the connections to other nodes.
func (s *Service) Stop(context.Context) error {
	s.pool.Close()
	return nil
}

// LocalCalls is the number of callers' requests that are in flight both at
// this node's gateway and at its executor.
func (s *Service) LocalCalls() int { return int(s.localCalls.Load()) }

// IssueTicket asks a target's node for a ticket for the call.
func (s *Service) IssueTicket(ctx context.Context, c *Call) (string, error) {
	resp, err := s.deliver(ctx, &callState{Call: c, issueTicket: true})
	if err != nil {
		return "", err
	}
	_ = resp.Body.Close()
	return resp.Ticket, nil
}

// Do sends a call and returns the answer of the target. Errors are typed; an
// error with the outcome NotRun is certain for all attempts together.
func (s *Service) Do(ctx context.Context, c *Call) (*executor.Response, error) {
	callsTotal.Inc()
	s.retryBudget.RecordCall()
	state := &callState{Call: c, ticket: c.Ticket}
	if c.Kind.NonIdempotent && c.Ticket == "" {
		if c.Depth == 1 {
			return nil, apierror.New(apierror.TicketRequired, apierror.NotRun, "kind %q is non-idempotent and needs a ticket", c.Kind.Name)
		}
		return s.doWithNewTickets(ctx, c)
	}
	if c.Ticket != "" {
		// The caller may have used the ticket before, so only the node that
		// issued it can say that the request did not run.
		state.mayHaveRun = true
	}
	return s.deliver(ctx, state)
}

// doWithNewTickets runs a non-idempotent sub-call. A ticket that was refused
// is void for good, so the next node gets a new one.
func (s *Service) doWithNewTickets(ctx context.Context, c *Call) (*executor.Response, error) {
	for reroutes := 0; ; reroutes++ {
		t, err := s.IssueTicket(ctx, c)
		if err != nil {
			return nil, err
		}
		resp, err := s.deliver(ctx, &callState{Call: c, ticket: t})
		if err == nil {
			return resp, nil
		}
		apiErr := apierror.From(err)
		if apiErr.Outcome != apierror.NotRun || !s.mayRetry(apiErr, c, &reroutes) {
			return nil, err
		}
	}
}

// mayRetry decides on another try after a certain "not run".
func (s *Service) mayRetry(apiErr *apierror.Error, c *Call, reroutes *int) bool {
	switch {
	case isUnavailable(apiErr):
		reroutesTotal.Inc()
		return *reroutes < maxReroutes
	case isRefused(apiErr):
		return s.takeRetry(c)
	}
	return false
}

// isUnavailable reports whether the node had no target to offer, so that the
// call goes to another one without using a retry.
func isUnavailable(apiErr *apierror.Error) bool {
	return apiErr.Code == apierror.Draining || apiErr.Code == apierror.NoTarget || apiErr.Code == apierror.Starting
}

// isRefused reports whether the node turned the call away although it has a
// target, so that another try is a retry.
func isRefused(apiErr *apierror.Error) bool {
	return apiErr.Code == apierror.Overloaded || apiErr.Code == apierror.TicketVoid
}

// reservedShare is the part of the node's retry budget that a priority leaves to
// higher ones: none for the highest, 45% for the lowest.
func reservedShare(priority int) float64 {
	return float64(max(policy.MaxPriority-priority, 0)) / (2 * policy.MaxPriority)
}

// takeRetry uses one retry of the request and of this node.
func (s *Service) takeRetry(c *Call) bool {
	if c.Allowance.Left() == 0 {
		return false
	}
	if !s.retryBudget.TakeWithReserve(kernel.Uptime(), reservedShare(c.Priority)) {
		budgetDenied.Inc()
		return false
	}
	if !c.Allowance.Take() {
		return false
	}
	retriesTotal.Inc()
	return true
}

// deliver sends the call until it is answered or may not be repeated.
func (s *Service) deliver(ctx context.Context, state *callState) (*executor.Response, error) {
	for {
		node, err := s.chooseNode(state)
		if err != nil {
			return nil, state.finalError(err)
		}
		resp, err := s.sendAttempt(ctx, state, node)
		if err == nil {
			return resp, nil
		}
		apiErr := apierror.From(err)
		state.recordError(apiErr, node.ID)
		if ctx.Err() != nil {
			return nil, state.finalError(s.contextError(ctx, apiErr))
		}
		if !s.prepareRetry(ctx, state, apiErr) {
			return nil, state.finalError(apiErr)
		}
	}
}

// contextError replaces a follow-on error when the call ran out of time.
func (s *Service) contextError(ctx context.Context, apiErr *apierror.Error) *apierror.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return apierror.New(apierror.DeadlineExceeded, apiErr.Outcome, "no answer by the deadline (%s)", apiErr.Message)
	}
	return apierror.New(apierror.Canceled, apiErr.Outcome, "the caller gave up")
}

// prepareRetry decides whether to send the call once more and waits the backoff.
func (s *Service) prepareRetry(ctx context.Context, state *callState, apiErr *apierror.Error) bool {
	switch {
	case state.issueTicket || state.ticket == "":
		if apiErr.Outcome == apierror.NotRun {
			if isRefused(apiErr) {
				return s.retryAfterBackoff(ctx, state)
			}
			if isUnavailable(apiErr) {
				state.reroutes++
				reroutesTotal.Inc()
				return state.reroutes <= maxReroutes
			}
			return false
		}
		return !state.Kind.NonIdempotent && isRetryable(apiErr) && s.retryAfterBackoff(ctx, state)
	case apiErr.Outcome == apierror.NotRun && !state.lastReachedNode:
		// The issuing node could not be dialed; it may be reachable again.
		return s.retryAfterBackoff(ctx, state)
	case apiErr.Code == apierror.LinkLost:
		// The same ticket can be shown again without running twice.
		return s.retryAfterBackoff(ctx, state)
	}
	return false
}

func isRetryable(apiErr *apierror.Error) bool {
	return apiErr.Code == apierror.LinkLost || apiErr.Code == apierror.TargetFailed
}

func (s *Service) retryAfterBackoff(ctx context.Context, state *callState) bool {
	if !s.takeRetry(state.Call) {
		return false
	}
	state.retries++
	s.mu.Lock()
	wait := retry.Backoff(s.rng, backoffBase, backoffCeiling, state.retries)
	s.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// chooseNode picks the node for the next attempt.
func (s *Service) chooseNode(state *callState) (destination, error) {
	if state.ticket != "" && !state.issueTicket {
		return s.issuingNode(state.ticket)
	}
	candidates := s.directory.candidates(state.Kind.Service)
	remote := s.regionLimiter.Allows(state.Kind.Name, state.Priority, len(state.Body), state.Deadline-kernel.Uptime())
	s.mu.Lock()
	defer s.mu.Unlock()
	q := balancer.Query{Region: s.Region, Zone: s.Zone, Priority: state.Priority, Long: state.Kind.Long, Exclude: state.tried, RemoteAllowed: remote}
	c, err := s.balancer.Pick(kernel.Uptime(), s.rng, candidates, q)
	if err != nil && len(state.tried) > 0 {
		// Every node was tried; a second try of one beats giving up.
		q.Exclude = nil
		c, err = s.balancer.Pick(kernel.Uptime(), s.rng, candidates, q)
	}
	switch {
	case errors.Is(err, balancer.ErrAllShedding):
		if state.Parent != nil {
			// No node was asked, so no answer carries the threshold.
			state.Parent.RecordThreshold(state.Kind.Service, state.Priority+1)
		}
		e := apierror.New(apierror.Overloaded, apierror.NotRun, "all targets of service %q shed priority %d", state.Kind.Service, state.Priority)
		e.RetryAfter = time.Second
		return destination{}, e
	case err != nil:
		return destination{}, apierror.New(apierror.NoTarget, apierror.NotRun, "no target of service %q is known", state.Kind.Service)
	}
	return s.directory.node(c.NodeID)
}

// AllShedding reports whether all known targets of a service shed a priority.
func (s *Service) AllShedding(service string, priority int) bool {
	candidates := s.directory.candidates(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	q := balancer.Query{Region: s.Region, Zone: s.Zone, Priority: priority, RemoteAllowed: true}
	return s.balancer.AllShedding(kernel.Uptime(), candidates, q)
}

// issuingNode finds the node that issued a ticket.
func (s *Service) issuingNode(t string) (destination, error) {
	claims, err := ticket.Parse(t)
	if err != nil {
		return destination{}, apierror.New(apierror.BadRequest, apierror.Unknown, "%w", err)
	}
	node, err := s.directory.node(claims.NodeID)
	if err != nil || node.Incarnation != claims.Incarnation {
		return destination{}, apierror.New(apierror.TicketUnknown, apierror.Unknown, "node %q that issued the ticket is gone", claims.NodeID)
	}
	return node, nil
}
