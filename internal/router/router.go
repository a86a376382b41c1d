// Package router sends one call to a target of its service: it chooses a node,
// sends the call over the link to that node, and retries where that is allowed.
//
// It serves nodes with the product's own interface (package node); package
// dispatch does the same for nodes on the users' platform.
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
	// the chosen node cannot be reached, has no target, or is starting or
	// draining. A reroute causes no work at a target, so it does not count as a
	// retry.
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

// Call is a request to be sent to a target of the service of its kind.
type Call struct {
	ID            string
	Kind          policy.Kind
	Method        string
	Path          string
	Headers       []wire.Header
	Body          []byte
	Priority      int
	ClientAccount string
	Depth         int
	// Ticket is the ticket that the caller sent. If a sub-call of a
	// non-idempotent kind has none, the router obtains one.
	Ticket string
	// Allowance holds the retries that may still be used for the call and its
	// sub-calls.
	Allowance *retry.Allowance
	// Deadline is relative to the clock of kernel.Uptime.
	Deadline time.Duration
	// Parent is the request that the local target was running when it made this
	// sub-call. It is nil for a request of a caller.
	Parent *executor.RunningRequest
}

// Service routes calls.
type Service struct {
	kernel.Base
	NodeID   string
	Region   string
	Zone     string
	LocalIP  net.IP
	Hello    func() wire.Hello
	Timeouts link.Timeouts
	Log      zerolog.Logger

	gossip        *gossip.Service
	config        *configdist.Service
	executor      *executor.Service
	regionLimiter *regionlimiter.Service
	pool          *link.Pool
	directory     directory
	retryBudget   *retry.Budget
	// localCalls counts the requests of callers of this node that the local target
	// serves.
	localCalls atomic.Int64

	mu       sync.Mutex
	balancer *balancer.Balancer
	rng      *rand.Rand
}

// Provision looks up the services that the router uses.
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
	s.pool = &link.Pool{Hello: s.Hello, LocalIP: s.LocalIP, Timeouts: s.Timeouts, OnClose: s.linkClosed}
	s.balancer = balancer.New()
	s.retryBudget = retry.NewBudget()
	s.rng = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	s.directory.view = s.gossip.View
	return nil
}

// linkClosed logs the loss of a connection to another node. Idle timeouts and
// closes by this node are not logged.
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

// LocalCalls returns the number of requests of callers that are in flight both
// at this node's gateway and at its executor.
func (s *Service) LocalCalls() int { return int(s.localCalls.Load()) }

// RequestTicket obtains a ticket for the call from a node whose target offers
// the service.
func (s *Service) RequestTicket(ctx context.Context, c *Call) (string, error) {
	resp, err := s.deliver(ctx, &callState{Call: c, issueTicket: true})
	if err != nil {
		return "", err
	}
	_ = resp.Body.Close()
	return resp.Ticket, nil
}

// Do sends a call and returns the response of the target. Errors are of type
// *apierror.Error. The outcome NotRun means that no attempt of the call ran.
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
		// issued it can confirm that the request did not run.
		state.mayHaveRun = true
	}
	resp, err := s.deliver(ctx, state)
	if err != nil && c.Ticket != "" {
		return nil, callerTicketError(err)
	}
	return resp, err
}

// callerTicketError returns the error for a caller whose request carried a ticket.
// If the node that issued the ticket cannot serve the request, the ticket is void,
// and no other node accepts it, so the caller needs a new one.
func callerTicketError(err error) error {
	apiErr := apierror.From(err)
	if apiErr.Outcome != apierror.NotRun || !isUnavailable(apiErr) {
		return err
	}
	return apierror.New(apierror.TicketVoid, apierror.NotRun, "%s; the ticket can no longer be used", apiErr.Message)
}

// doWithNewTickets runs a non-idempotent sub-call. A ticket whose request was
// refused cannot be used again, so the next attempt gets a new one.
func (s *Service) doWithNewTickets(ctx context.Context, c *Call) (*executor.Response, error) {
	for earlierAttempts := 0; ; earlierAttempts++ {
		t, err := s.RequestTicket(ctx, c)
		if err != nil {
			return nil, err
		}
		resp, err := s.deliver(ctx, &callState{Call: c, ticket: t})
		if err == nil {
			return resp, nil
		}
		apiErr := apierror.From(err)
		if apiErr.Outcome != apierror.NotRun || !s.mayRetry(apiErr, c, &earlierAttempts) {
			return nil, err
		}
	}
}

// mayRetry decides whether doWithNewTickets tries again after the outcome
// NotRun. It takes a retry if the node refused the call.
func (s *Service) mayRetry(apiErr *apierror.Error, c *Call, earlierAttempts *int) bool {
	switch {
	case isUnavailable(apiErr):
		reroutesTotal.Inc()
		return *earlierAttempts < maxReroutes
	case isRefused(apiErr):
		return s.takeRetry(c)
	}
	return false
}

// isUnavailable reports whether the node could not be reached or cannot serve the
// call at present. The call is then sent to another node without using a retry.
func isUnavailable(apiErr *apierror.Error) bool {
	return apiErr.Code == apierror.Draining || apiErr.Code == apierror.NoTarget || apiErr.Code == apierror.Starting
}

// isRefused reports whether the node has a target but refused the call, because
// of overload or because the ticket is void. Another attempt counts as a retry.
func isRefused(apiErr *apierror.Error) bool {
	return apiErr.Code == apierror.Overloaded || apiErr.Code == apierror.TicketVoid
}

// reservedShare returns the share of the node's retry budget that is reserved
// for higher priorities: none for the highest priority, 45% for the lowest.
func reservedShare(priority int) float64 {
	return float64(max(policy.MaxPriority-priority, 0)) / (2 * policy.MaxPriority)
}

// takeRetry takes one retry from the allowance of the request and one from the
// budget of this node, and reports whether both had one left.
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

// deliver sends the call until a response arrives, no retry is allowed or ctx
// ends.
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

// contextError returns the error for a call whose context has ended. It keeps
// the outcome of the error that the last attempt reported.
func (s *Service) contextError(ctx context.Context, apiErr *apierror.Error) *apierror.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return apierror.New(apierror.DeadlineExceeded, apiErr.Outcome, "no response by the deadline (%s)", apiErr.Message)
	}
	return apierror.New(apierror.Canceled, apiErr.Outcome, "the call was canceled by the caller")
}

// prepareRetry decides whether to send the call again, and waits for the backoff
// if the next attempt counts as a retry.
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
	case apiErr.Outcome == apierror.NotRun && !state.lastAttemptSent:
		// Connecting to the issuing node failed; it may become reachable again.
		return s.retryAfterBackoff(ctx, state)
	case apiErr.Code == apierror.LinkLost:
		// With the same ticket the request cannot run twice.
		return s.retryAfterBackoff(ctx, state)
	}
	return false
}

// isRetryable reports whether an idempotent call that may have run is worth
// another attempt.
func isRetryable(apiErr *apierror.Error) bool {
	return apiErr.Code == apierror.LinkLost || apiErr.Code == apierror.TargetFailed
}

// retryAfterBackoff takes a retry and waits for its backoff. It returns false if
// none is left or ctx ends first.
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

// chooseNode returns the node for the next attempt.
func (s *Service) chooseNode(state *callState) (destination, error) {
	if state.ticket != "" && !state.issueTicket {
		return s.issuingNode(state.ticket)
	}
	candidates := s.directory.candidates(state.Kind.Service)
	crossRegionAllowed := s.regionLimiter.Allows(state.Kind.Name, state.Priority, len(state.Body), state.Deadline-kernel.Uptime())
	s.mu.Lock()
	defer s.mu.Unlock()
	q := balancer.Query{Region: s.Region, Zone: s.Zone, Priority: state.Priority, Long: state.Kind.Long, Exclude: state.tried, CrossRegionAllowed: crossRegionAllowed}
	c, err := s.balancer.Pick(kernel.Uptime(), s.rng, candidates, q)
	if err != nil && len(state.tried) > 0 {
		// No untried node accepts the call; a second attempt at a node that was
		// tried is better than an error.
		q.Exclude = nil
		c, err = s.balancer.Pick(kernel.Uptime(), s.rng, candidates, q)
	}
	switch {
	case errors.Is(err, balancer.ErrAllShedding):
		if state.Parent != nil {
			// The call was sent to no node, so no response reports a threshold
			// to the parent request. It is above the call's priority.
			state.Parent.RecordThreshold(state.Kind.Service, state.Priority+1)
		}
		e := apierror.New(apierror.Overloaded, apierror.NotRun, "all targets of service %q shed requests of priority %d", state.Kind.Service, state.Priority)
		e.RetryAfter = time.Second
		return destination{}, e
	case err != nil:
		return destination{}, apierror.New(apierror.NoTarget, apierror.NotRun, "no target of service %q is available", state.Kind.Service)
	}
	return s.directory.node(c.NodeID)
}

// AllShedding reports whether all targets of a service, in any region, are known
// to shed requests of the given priority.
func (s *Service) AllShedding(service string, priority int) bool {
	candidates := s.directory.candidates(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	q := balancer.Query{Region: s.Region, Zone: s.Zone, Priority: priority, CrossRegionAllowed: true}
	return s.balancer.AllShedding(kernel.Uptime(), candidates, q)
}

// issuingNode returns the node that issued a ticket. It returns an error if the
// node is unknown or has restarted since, because the record of used tickets is
// lost with the process.
func (s *Service) issuingNode(t string) (destination, error) {
	claims, err := ticket.Parse(t)
	if err != nil {
		return destination{}, apierror.New(apierror.BadRequest, apierror.Unknown, "%w", err)
	}
	node, err := s.directory.node(claims.NodeID)
	if err != nil || node.Incarnation != claims.Incarnation {
		return destination{}, apierror.New(apierror.TicketUnknown, apierror.Unknown, "node %q, which issued the ticket, is no longer available", claims.NodeID)
	}
	return node, nil
}
