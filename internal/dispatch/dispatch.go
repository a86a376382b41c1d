// Package dispatch sends a request of a caller to a target of its service: to
// the node's local target, or over a link to the node of another target. It
// decides whether a failed request may be retried.
//
// It serves nodes on the users' platform (package meshnode); package router
// does the same for nodes with the product's own interface.
package dispatch

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"parsleyturn/internal/apierror"
	"parsleyturn/internal/balancer"
	"parsleyturn/internal/callchain"
	"parsleyturn/internal/eventlog"
	"parsleyturn/internal/gossip"
	"parsleyturn/internal/kernel"
	"parsleyturn/internal/link"
	"parsleyturn/internal/routetable"
	"parsleyturn/internal/targetconn"
	"parsleyturn/internal/targethost"
	"parsleyturn/internal/wire"
)

// Name is the name of the service in the kernel.
const Name = "dispatch"

const (
	// maxRedirects bounds the number of nodes that are tried after the first one.
	// Once a target was reached, the attempt limit of the route and the retry
	// budget apply too.
	maxRedirects = 4
	// maxBufferedBody is the number of response body bytes that are read before
	// any part of a response is forwarded, so that the request can still be
	// retried if the response is broken.
	maxBufferedBody = targetconn.MaxBufferedBody
	// maxWaitDivisor is the inverse of the fraction of a request's time after
	// which an overload refusal is final. Requests wait for slots at the nodes that
	// they can be tried at for that long together.
	maxWaitDivisor = 3
	// minWait is the shortest wait for a slot that a request is allowed.
	minWait = 10 * time.Millisecond
	// nearMargin and farMargin are reserved for the round trip to a node within
	// the region and in another one. They cover one-way delays of 1.4 ms and
	// 30 ms and the processing time of a busy node.
	nearMargin = 10 * time.Millisecond
	farMargin  = 80 * time.Millisecond
	// topPriority is the internal priority of the most urgent routes, those of
	// rank 0. Requests with higher priority values are shed later.
	topPriority = 10
)

var (
	calls            = metrics.NewCounter(`parsley_dispatch_calls_total`)
	attempts         = metrics.NewCounter(`parsley_dispatch_attempts_total`)
	redirects        = metrics.NewCounter(`parsley_dispatch_redirects_total`)
	retries          = metrics.NewCounter(`parsley_dispatch_repeats_total`)
	localTargetCalls = metrics.NewCounter(`parsley_dispatch_calls_of_target_total`)
	budgetRefusals   = metrics.NewCounter(`parsley_dispatch_budget_refused_total`)
	latencies        = metrics.NewHistogram(`parsley_dispatch_seconds`)
)

// Call is a request from a caller.
type Call struct {
	ID      string
	Host    string
	Method  string
	URI     string
	Headers wire.Headers
	// Body is the request body, or its first part if BodyRest is set.
	Body     []byte
	BodyRest io.Reader
	// Route and Service come from the configuration.
	Route   *routetable.Route
	Service string
	// ArrivedAt is the uptime at which the request arrived.
	ArrivedAt time.Duration
	// Deadline is the uptime at which the final response is due.
	Deadline      time.Duration
	ConfigVersion uint64
	// CallerDeadline is the uptime at which the caller gives up, or 0 if the
	// caller did not specify it.
	CallerDeadline time.Duration

	// parent is the request at the local target that made the call, or nil.
	parent *callchain.Request
	chain  callchain.Chain
	// mayBeSubCall is set if a request at the local target may have made the call.
	mayBeSubCall bool
	// retried is the probability that the call is a sub-call of a retried request.
	retried float64
	exclude map[string]bool
	// targetsReached is the number of targets that the request was sent to.
	targetsReached int
	// mayHaveRun is set if any attempt may have been run by a target.
	mayHaveRun bool
}

// Service dispatches requests to targets.
type Service struct {
	kernel.Base
	NodeID        string
	CallerService string
	Zone, Region  string
	Host          *targethost.Host
	Members       *gossip.Service
	Pool          *link.Pool
	Log           eventlog.Log
	// RetrySlack is the number of retries to a service that all nodes together
	// may send within RetryWindow, in addition to a ratio of the requests.
	RetrySlack  float64
	RetryWindow time.Duration

	budgets retryBudgets

	mu                  sync.Mutex
	balancer            *balancer.Balancer
	rnd                 *rand.Rand
	viewGeneration      uint64
	candidatesByService map[string][]balancer.Candidate
	peers               map[string]peer
	// replacedIncarnations has, by node ID, the incarnations of nodes at whose
	// address another node responded.
	replacedIncarnations map[string]uint64
	// leavingTargets has, by node ID, the targets that said in a response that they
	// leave.
	leavingTargets map[string]wire.Target
}

func (s *Service) Provision(*kernel.Kernel) error {
	s.balancer = balancer.New()
	s.rnd = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	s.budgets.slack, s.budgets.window = s.RetrySlack, s.RetryWindow
	return nil
}

func (s *Service) Stop(context.Context) error {
	s.Pool.Close()
	return nil
}

// pick chooses a node for the next attempt of a call, and returns the number of nodes
// that the call was not sent to.
func (s *Service) pick(c *Call) (to peer, untried int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := kernel.Uptime()
	candidates := s.candidates(c.Service)
	chosen, err := s.balancer.Pick(now, s.rnd, candidates, balancer.Query{
		Region: s.Region, Zone: s.Zone, Priority: c.priority(), Exclude: c.exclude, CrossRegionAllowed: true,
	})
	if err != nil {
		return peer{}, 0, err
	}
	s.balancer.Started(now, chosen.NodeID)
	return s.peers[chosen.NodeID], len(candidates) - len(c.exclude), nil
}

// reportAttempt passes the result of an attempt to the balancer.
func (s *Service) reportAttempt(node string, latency time.Duration, r balancer.Result, l *wire.Load) {
	var load *balancer.Load
	if l != nil {
		load = &balancer.Load{InFlight: l.InFlight, Limit: l.Limit, Queued: l.Queued, Threshold: l.Threshold, LongThreshold: l.LongThreshold, Draining: l.Draining, Cold: l.Cold}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.Finished(kernel.Uptime(), node, latency, r, load)
}

// priority returns the internal priority of the call: that of its route, or of the
// root request of its chain if that is more urgent.
func (c *Call) priority() int { return max(topPriority-min(c.Route.Priority, c.chain.Rank), 0) }

// mayBeUrgent reports whether the call belongs to an urgent chain, or may: the chain
// of a sub-call without a known parent is not known.
func (c *Call) mayBeUrgent() bool {
	return c.chain.Rank <= maxUrgentRank || c.parent == nil && c.mayBeSubCall
}

// Do sends the call until it gets a response or must not be sent again.
func (s *Service) Do(ctx context.Context, c *Call) (*targethost.Response, *apierror.Error) {
	calls.Inc()
	begin := kernel.Uptime()
	s.joinChain(c)
	s.budgets.recordRequest(kernel.Uptime(), c.Service, c.retried)
	c.exclude = make(map[string]bool)
	var last *targethost.Refusal
	for try := 1; ; try++ {
		to, untried, err := s.pick(c)
		if err != nil {
			return nil, s.noNodeError(c, begin, last, err)
		}
		attempts.Inc()
		response, refusal := s.attempt(ctx, c, to, c.maxWait(kernel.Uptime(), min(untried, maxRedirects+2-try)))
		if refusal == nil {
			latencies.Update((kernel.Uptime() - begin).Seconds())
			if response.Status >= http.StatusInternalServerError {
				s.reportFailure(c, response.Overload)
			}
			log := &s.Log.Success
			if try > 1 || response.Status >= http.StatusInternalServerError {
				log = &s.Log.Failure
			}
			log.Info().Str("event", "answered").Str("request", c.ID).Str("cause", c.chain.ParentID).Str("route", c.Route.Name).Str("service", c.Service).
				Str("to", to.id).Int("tries", try).Int("status", response.Status).Uint64("config", c.ConfigVersion).Uint64("members", s.Members.Generation()).Dur("took", kernel.Uptime()-begin).Send()
			return response, nil
		}
		last = refusal
		c.exclude[to.id] = true
		if refusal.SentToTarget {
			c.targetsReached++
		}
		c.mayHaveRun = c.mayHaveRun || refusal.Outcome != apierror.NotRun
		retrying, reason := s.mayRetry(ctx, c, refusal, try)
		s.Log.Failure.Info().Str("event", "attempt-failed").Str("request", c.ID).Str("cause", c.chain.ParentID).Str("route", c.Route.Name).Str("service", c.Service).Str("to", to.id).
			Int("try", try).Bool("reached", refusal.SentToTarget).Str("code", string(refusal.Code)).Str("outcome", string(refusal.Outcome)).
			Str("reason", refusal.Message).Bool("again", retrying).Str("why", reason).Dur("left", c.Deadline-kernel.Uptime()).Uint64("config", c.ConfigVersion).Uint64("members", s.Members.Generation()).Send()
		if !retrying {
			if ctx.Err() == nil {
				s.reportFailure(c, isOverload(refusal))
			}
			return nil, s.finalError(c, refusal)
		}
	}
}

// joinChain determines the call chain of the call. A call for which no parent
// request is found at the local target starts a new chain. Any request there that
// ends later may have made it nevertheless.
func (s *Service) joinChain(c *Call) {
	c.chain = callchain.Chain{Start: c.ArrivedAt, Rank: c.Route.Priority}
	if c.CallerDeadline == 0 {
		return
	}
	c.parent = s.Host.FindParent(c.Route.Name, c.CallerDeadline)
	if c.parent == nil {
		c.mayBeSubCall, c.retried = s.Host.PossibleParents(c.Route.Name, c.CallerDeadline)
		return
	}
	localTargetCalls.Inc()
	c.mayBeSubCall, c.chain = true, c.parent.ChildChain()
	if c.chain.Retried {
		c.retried = 1
	}
}

// isOverload reports whether a call was refused for lack of capacity, which includes
// a refusal because its deadline could not be met. A refusal by a target after its
// node admitted the request does not count, as it indicates a faulty target rather
// than a full one.
func isOverload(refusal *targethost.Refusal) bool {
	return refusal.Outcome == apierror.NotRun && !refusal.SentToTarget && (refusal.Code == apierror.Overloaded || refusal.Code == apierror.DeadlineExceeded)
}

// reportFailure tells the parent of a failed call, or the host if any request at the
// target may have made it, whether a call in its chain was refused for lack of
// capacity.
func (s *Service) reportFailure(c *Call, overload bool) {
	switch {
	case c.parent == nil && c.mayBeSubCall:
		s.Host.RecordSubCallFailure(overload)
	case c.parent != nil && overload:
		c.parent.MarkOverloaded()
	}
}

// mayRetry decides whether the call may be sent to another node and returns the
// reason for the log.
func (s *Service) mayRetry(ctx context.Context, c *Call, last *targethost.Refusal, try int) (bool, string) {
	switch {
	case ctx.Err() != nil || kernel.Uptime() >= c.Deadline:
		return false, "the deadline has passed or the caller has disconnected"
	case last.Code == apierror.Overloaded && kernel.Uptime()-c.ArrivedAt > (c.Deadline-c.ArrivedAt)/maxWaitDivisor:
		return false, "the request waited too long for a slot"
	case last.Final:
		return false, "other nodes would refuse the request too"
	case c.BodyRest != nil:
		return false, "the request body is not buffered"
	case c.mayHaveRun && !c.Route.Idempotent:
		return false, "the request may have run and is not idempotent"
	case try > maxRedirects || try > 1 && last.Code == apierror.DeadlineExceeded:
		return false, "the limit of nodes to try is reached"
	case c.targetsReached == 0:
		redirects.Inc()
		return true, "no target was reached"
	case c.targetsReached >= c.Route.MaxAttempts:
		return false, "the attempt limit of the route is reached"
	case !s.budgets.take(kernel.Uptime(), c.Service, c.mayBeUrgent(), !c.mayHaveRun):
		budgetRefusals.Inc()
		return false, "the retry budget is exhausted"
	}
	retries.Inc()
	return true, "the retry budget allows it"
}

// noNodeError logs that no node can be selected for a call and returns the
// error for its caller.
func (s *Service) noNodeError(c *Call, begin time.Duration, last *targethost.Refusal, err error) *apierror.Error {
	s.Log.Failure.Info().Str("event", "no-node").Str("request", c.ID).Str("cause", c.chain.ParentID).Str("route", c.Route.Name).Str("service", c.Service).
		Err(err).Int("tried", len(c.exclude)).Dur("took", kernel.Uptime()-begin).Uint64("config", c.ConfigVersion).Send()
	switch {
	case last != nil:
		return s.finalError(c, last)
	case errors.Is(err, balancer.ErrAllShedding):
		return apierror.New(apierror.Overloaded, apierror.NotRun, "%w", err)
	}
	return apierror.New(apierror.NoTarget, apierror.NotRun, "service %q: %w", c.Service, err)
}

// finalError returns the error after the last attempt. Its outcome is NotRun only
// if that holds for every attempt.
func (s *Service) finalError(c *Call, r *targethost.Refusal) *apierror.Error {
	f := *r.Error
	if c.mayHaveRun {
		f.Outcome = apierror.Unknown
	}
	return &f
}

// maxWait returns the time for which the call may wait for a slot at the next node. It
// divides what is left of the time for waits among the nodes that may be tried.
func (c *Call) maxWait(now time.Duration, nodes int) time.Duration {
	left := c.ArrivedAt + (c.Deadline-c.ArrivedAt)/maxWaitDivisor - now
	return max(left/time.Duration(max(nodes, 1)), minWait)
}

// attempt sends the call to one node.
func (s *Service) attempt(ctx context.Context, c *Call, to peer, maxWait time.Duration) (*targethost.Response, *targethost.Refusal) {
	begin := kernel.Uptime()
	remaining := c.Deadline - begin - s.returnMargin(to)
	if remaining <= 0 {
		s.reportAttempt(to.id, 0, balancer.Abandoned, nil)
		return nil, &targethost.Refusal{Error: apierror.New(apierror.DeadlineExceeded, apierror.NotRun, "remaining time %v is less than the round trip to node %q takes", c.Deadline-begin, to.id)}
	}
	req := &wire.Request{
		ID: c.ID, Kind: c.Route.Name, Service: c.Service, Method: c.Method, Path: c.URI, Headers: c.Headers,
		RemainingMicros: remaining.Microseconds(), Priority: c.priority(), NonIdempotent: !c.Route.Idempotent,
		Region: s.Region, ConfigVersion: c.ConfigVersion, Host: c.Host, CallerService: s.CallerService,
		ChainAgeMicros: (begin - c.chain.Start).Microseconds(), ChainRank: c.chain.Rank, ChainDepth: c.chain.Depth,
		ChainRetried: c.chain.Retried || c.targetsReached > 0, MaxWaitMicros: maxWait.Microseconds(),
	}
	var response *targethost.Response
	var refusal *targethost.Refusal
	var load *wire.Load
	if to.id == s.NodeID {
		response, refusal = s.Host.Serve(ctx, req, c.Body, c.BodyRest)
		l := s.Host.Load()
		load = &l
	} else {
		response, refusal, load = s.sendToNode(ctx, c, req, to)
	}
	s.reportAttempt(to.id, kernel.Uptime()-begin, attemptResult(ctx, response, refusal, load), load)
	return response, refusal
}

// attemptResult classifies an attempt for the balancer. A server error in a
// response is often caused by a downstream service, so any response counts as
// OK.
func attemptResult(ctx context.Context, response *targethost.Response, refusal *targethost.Refusal, load *wire.Load) balancer.Result {
	switch {
	case response != nil:
		return balancer.OK
	case ctx.Err() != nil || refusal.Code == apierror.TooLarge:
		return balancer.Abandoned
	case refusal.Outcome == apierror.NotRun && load == nil:
		return balancer.Unreachable
	case refusal.Code == apierror.NoTarget || refusal.Code == apierror.Draining:
		return balancer.Failed
	case refusal.Outcome == apierror.NotRun:
		return balancer.Refused
	}
	return balancer.Failed
}

// sendToNode sends the call to another node over a link.
func (s *Service) sendToNode(ctx context.Context, c *Call, req *wire.Request, to peer) (*targethost.Response, *targethost.Refusal, *wire.Load) {
	req.LeavingTarget = s.leavingTarget(to.id)
	get := s.Pool.Get
	if !c.Route.Idempotent {
		get = s.Pool.GetConfirmed
	}
	conn, err := get(ctx, to.address, to.id)
	if errors.Is(err, link.ErrWrongPeer) {
		s.markReplaced(to)
	}
	if err != nil {
		return nil, &targethost.Refusal{Error: apierror.New(apierror.LinkLost, apierror.NotRun, "%w", err)}, nil
	}
	stream, err := conn.Open(ctx, req, c.Body, c.BodyRest != nil)
	var tooLong *wire.FrameError
	if errors.As(err, &tooLong) {
		return nil, &targethost.Refusal{Error: apierror.New(apierror.TooLarge, apierror.NotRun, "the head of the request is too large to be passed on"), Final: true}, nil
	}
	if err != nil {
		return nil, &targethost.Refusal{Error: apierror.New(apierror.LinkLost, apierror.NotRun, "%w", err)}, nil
	}
	if c.BodyRest != nil {
		go sendBody(stream, c.BodyRest)
	}
	resp, err := stream.Response()
	if err != nil {
		stream.Cancel()
		refusal, load := nodeFailure(ctx, err)
		s.recordLeaving(to.id, refusal.LeavingTarget)
		return nil, refusal, load
	}
	s.recordLeaving(to.id, resp.LeavingTarget)
	response := &targethost.Response{Status: resp.Status, Headers: resp.Headers, Overload: resp.Overload}
	buf := make([]byte, 0, 8<<10)
	for len(buf) <= maxBufferedBody {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := stream.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err == io.EOF {
			stream.Close()
			response.Body = buf
			return response, nil, &resp.Load
		}
		if err != nil {
			stream.Cancel()
			return nil, &targethost.Refusal{Error: apierror.New(apierror.LinkLost, apierror.Unknown, "%w", err), SentToTarget: true}, &resp.Load
		}
	}
	response.Body, response.BodyRest = buf, &responseBody{stream: stream}
	return response, nil, &resp.Load
}

func sendBody(stream *link.Stream, body io.Reader) {
	_, err := io.Copy(stream, body)
	_ = stream.Finish(wire.End{Aborted: err != nil}) // fails only if the link is lost, which Response reports too
}

// nodeFailure distinguishes a refusal by the other node from the loss of the
// link, after which the request may still run.
func nodeFailure(ctx context.Context, err error) (*targethost.Refusal, *wire.Load) {
	var refused *link.RefusedError
	if errors.As(err, &refused) {
		f := &apierror.Error{Code: refused.Code, Outcome: refused.Outcome, Message: refused.Message, RetryAfter: time.Duration(refused.RetryAfterMillis) * time.Millisecond}
		return &targethost.Refusal{Error: f, SentToTarget: refused.SentToTarget, Final: refused.Final, LeavingTarget: refused.LeavingTarget}, &refused.Load
	}
	code := apierror.LinkLost
	if ctx.Err() != nil {
		code = apierror.DeadlineExceeded
	}
	return &targethost.Refusal{Error: apierror.New(code, apierror.Unknown, "%w", err), SentToTarget: true}, nil
}

// returnMargin is the part of the remaining time that is reserved for the
// response of a node, so that it arrives before the call's deadline.
func (s *Service) returnMargin(to peer) time.Duration {
	switch {
	case to.id == s.NodeID:
		return 0
	case to.region == s.Region:
		return nearMargin
	}
	return farMargin
}

// responseBody reads the rest of a long response from the link.
type responseBody struct {
	stream *link.Stream
	eof    bool
}

func (r *responseBody) Read(p []byte) (int, error) {
	n, err := r.stream.Read(p)
	r.eof = r.eof || err == io.EOF
	return n, err
}

func (r *responseBody) Close() error {
	if r.eof {
		r.stream.Close()
	} else {
		r.stream.Cancel()
	}
	return nil
}
