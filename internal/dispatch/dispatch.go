// Package dispatch sends one request of a caller to a target of its service:
// to the node's own target or over a link to the node beside another one. It
// decides whether a request may be sent again.
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
	// maxRedirects bounds the nodes that are asked although none before has
	// sent the request to its target.
	maxRedirects = 3
	// wholeLimit is the size up to which an answer is read before any of it is
	// passed on, so that a broken one can be replaced.
	wholeLimit = targetconn.MaxBufferedBody
	// maxWaitShare is the inverse of the share of its time that a request may
	// wait for slots before it is refused. With a third node asked, requests
	// waited 1.2 s for their refusal.
	maxWaitShare = 4
	// nearMargin and farMargin are kept for the way to a node and back, within
	// the region and from another one: 1.4 ms and 30 ms each way, and what a
	// busy node takes.
	nearMargin = 10 * time.Millisecond
	farMargin  = 80 * time.Millisecond
	// topPriority is the priority of rank 0 inside the product, where higher
	// values are shed later.
	topPriority = 10
)

var (
	calls     = metrics.NewCounter(`parsley_dispatch_calls_total`)
	attempts  = metrics.NewCounter(`parsley_dispatch_attempts_total`)
	redirects = metrics.NewCounter(`parsley_dispatch_redirects_total`)
	repeats   = metrics.NewCounter(`parsley_dispatch_repeats_total`)
	inherited = metrics.NewCounter(`parsley_dispatch_calls_of_target_total`)
	exhausted = metrics.NewCounter(`parsley_dispatch_budget_refused_total`)
	latencies = metrics.NewHistogram(`parsley_dispatch_seconds`)
)

// Call is one request of a caller.
type Call struct {
	ID      string
	Host    string
	Method  string
	URI     string
	Headers wire.Headers
	// Body is sent first, and then More, if it is set.
	Body     []byte
	BodyRest io.Reader
	// Route and Service are what the configuration says of the request.
	Route   *routetable.Route
	Service string
	// ArrivedAt is the uptime at which the request arrived.
	ArrivedAt time.Duration
	// Deadline is the uptime at which the final answer is due.
	Deadline      time.Duration
	ConfigVersion uint64
	// CallerDeadline is the uptime at which the caller gives up, or 0 if it did not
	// say.
	CallerDeadline time.Duration

	// cause is the request at the own target that made the call, or nil.
	cause   *callchain.Request
	chain   callchain.Chain
	exclude map[string]bool
	// reached is the number of targets that the request was sent to.
	reached int
	// uncertain is set once the request may have run.
	uncertain bool
}

// Service sends requests.
type Service struct {
	kernel.Base
	NodeID        string
	CallerService string
	Zone, Region  string
	Host          *targethost.Host
	Members       *gossip.Service
	Pool          *link.Pool
	Log           eventlog.Log
	// RetrySlack is the number of repeats that all nodes together may send to
	// a service in RetryWindow besides a share of the requests.
	RetrySlack  float64
	RetryWindow time.Duration

	budgets budgets

	mu       sync.Mutex
	balancer *balancer.Balancer
	rnd      *rand.Rand
	viewed   uint64
	services map[string][]balancer.Candidate
	nodes    map[string]peer
	// replaced has the incarnations of nodes at whose address another node
	// answered.
	replaced map[string]uint64
}

// peer is a node that offers a service.
type peer struct {
	id          string
	incarnation uint64
	address     string // of its link
	region      string
}

// Provision prepares the balancer.
func (s *Service) Provision(*kernel.Kernel) error {
	s.balancer = balancer.New()
	s.rnd = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	s.budgets.slack, s.budgets.window = s.RetrySlack, s.RetryWindow
	return nil
}

// Stop closes the links.
func (s *Service) Stop(context.Context) error {
	s.Pool.Close()
	return nil
}

// candidates returns the nodes that offer a service. s.mu is held.
func (s *Service) candidates(service string) []balancer.Candidate {
	view := s.Members.View()
	if s.services == nil || view.Generation != s.viewed {
		s.viewed = view.Generation
		s.forgetReplaced(view)
		s.services = make(map[string][]balancer.Candidate)
		s.nodes = make(map[string]peer)
		for _, n := range view.Nodes() {
			if n.Service == "" || n.Draining || s.replaced[n.ID] == n.Incarnation {
				continue
			}
			s.nodes[n.ID] = peer{n.ID, n.Incarnation, n.LinkAddr, n.Region}
			s.services[n.Service] = append(s.services[n.Service], balancer.Candidate{
				NodeID: n.ID, Incarnation: n.Incarnation, Region: n.Region, Zone: n.Zone, Slots: n.Slots, Cold: n.Cold,
			})
		}
		s.budgets.setNodes(len(view.Nodes()))
	}
	return s.services[service]
}

// noteReplaced leaves a node out at whose address another one answered, until
// it is heard of with a later incarnation. Gossip takes some 6 s to find out.
func (s *Service) noteReplaced(p peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replaced == nil {
		s.replaced = make(map[string]uint64)
	}
	s.replaced[p.id] = p.incarnation
	s.services = nil
	s.Log.System.Info().Str("event", "node-replaced").Str("peer", p.id).Uint64("incarnation", p.incarnation).Str("address", p.address).Msg("another node answers at its address")
}

// forgetReplaced drops what holds for no known node any more. s.mu is held.
func (s *Service) forgetReplaced(view *gossip.View) {
	for id, incarnation := range s.replaced {
		if n, ok := view.Node(id); !ok || !n.State.Live() || n.Incarnation != incarnation {
			delete(s.replaced, id)
		}
	}
}

// TargetCount is the number of nodes that are known to offer a service.
func (s *Service) TargetCount(service string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.candidates(service))
}

// pick chooses a node for the next attempt of a call.
func (s *Service) pick(c *Call) (peer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := kernel.Uptime()
	chosen, err := s.balancer.Pick(now, s.rnd, s.candidates(c.Service), balancer.Query{
		Region: s.Region, Zone: s.Zone, Priority: priority(c.Route), Exclude: c.exclude, RemoteAllowed: true,
	})
	if err != nil {
		return peer{}, err
	}
	s.balancer.Started(now, chosen.NodeID)
	return s.nodes[chosen.NodeID], nil
}

// finished teaches the balancer how an attempt ended.
func (s *Service) finished(node string, latency time.Duration, r balancer.Result, l *wire.Load) {
	var load *balancer.Load
	if l != nil {
		load = &balancer.Load{InFlight: l.InFlight, Limit: l.Limit, Queued: l.Queued, Threshold: l.Threshold, LongThreshold: l.LongThreshold, Draining: l.Draining, Cold: l.Cold}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.Finished(kernel.Uptime(), node, latency, r, load)
}

// priority is the product's priority of a route.
func priority(r *routetable.Route) int { return max(topPriority-r.Priority, 0) }

// Do sends the call until it is answered or may not be sent again.
func (s *Service) Do(ctx context.Context, c *Call) (*targethost.Response, *apierror.Error) {
	calls.Inc()
	begin := kernel.Uptime()
	s.join(c)
	s.budgets.call(kernel.Uptime(), c.Service, c.chain.Retried)
	c.exclude = make(map[string]bool)
	var last *targethost.Refusal
	for try := 1; ; try++ {
		to, err := s.pick(c)
		if err != nil {
			return nil, s.giveUp(c, begin, last, err)
		}
		attempts.Inc()
		answer, refusal := s.attempt(ctx, c, to)
		if refusal == nil {
			latencies.Update((kernel.Uptime() - begin).Seconds())
			if c.cause != nil && answer.Overload {
				c.cause.MarkOverloaded()
			}
			log := &s.Log.Success
			if try > 1 || answer.Status >= http.StatusInternalServerError {
				log = &s.Log.Failure
			}
			log.Info().Str("event", "answered").Str("request", c.ID).Str("cause", c.chain.ParentID).Str("route", c.Route.Name).Str("service", c.Service).
				Str("to", to.id).Int("tries", try).Int("status", answer.Status).Uint64("config", c.ConfigVersion).Uint64("members", s.Members.Generation()).Dur("took", kernel.Uptime()-begin).Send()
			return answer, nil
		}
		last = refusal
		c.exclude[to.id] = true
		if refusal.Reached {
			c.reached++
		}
		c.uncertain = c.uncertain || refusal.Outcome != apierror.NotRun
		again, why := s.again(ctx, c, refusal, try)
		s.Log.Failure.Info().Str("event", "attempt-failed").Str("request", c.ID).Str("cause", c.chain.ParentID).Str("route", c.Route.Name).Str("service", c.Service).Str("to", to.id).
			Int("try", try).Bool("reached", refusal.Reached).Str("code", string(refusal.Code)).Str("outcome", string(refusal.Outcome)).
			Str("reason", refusal.Message).Bool("again", again).Str("why", why).Dur("left", c.Deadline-kernel.Uptime()).Uint64("config", c.ConfigVersion).Uint64("members", s.Members.Generation()).Send()
		if !again {
			c.noteOverload(ctx, refusal)
			return nil, s.final(c, refusal)
		}
	}
}

// join finds the call chain that the call belongs to. It begins one unless the
// own target made it.
func (s *Service) join(c *Call) {
	c.chain = callchain.Chain{Start: c.ArrivedAt, Rank: c.Route.Priority}
	if c.CallerDeadline > 0 {
		c.cause = s.Host.Cause(c.Route.Name, c.CallerDeadline)
	}
	if c.cause != nil {
		inherited.Inc()
		c.chain = c.cause.ChildChain()
	}
}

// noteOverload tells the request that made the call that there was no room for
// it. A target that refuses what its node admitted is not full but faulty.
func (c *Call) noteOverload(ctx context.Context, last *targethost.Refusal) {
	full := last.Outcome == apierror.NotRun && !last.Reached && (last.Code == apierror.Overloaded || last.Code == apierror.DeadlineExceeded)
	if c.cause != nil && full && ctx.Err() == nil {
		c.cause.MarkOverloaded()
	}
}

// again decides whether the call may be sent to another node, and says why.
func (s *Service) again(ctx context.Context, c *Call, last *targethost.Refusal, try int) (bool, string) {
	switch {
	case ctx.Err() != nil || kernel.Uptime() >= c.Deadline:
		return false, "no time is left"
	case last.Code == apierror.Overloaded && kernel.Uptime()-c.ArrivedAt > (c.Deadline-c.ArrivedAt)/maxWaitShare:
		return false, "it has waited long enough"
	case last.Final:
		return false, "other nodes would refuse it too"
	case c.BodyRest != nil:
		return false, "the body was not kept"
	case c.uncertain && !c.Route.Idempotent:
		return false, "it may have run"
	case try > maxRedirects || try > 1 && last.Code == apierror.DeadlineExceeded:
		return false, "enough nodes were asked"
	case c.reached == 0:
		redirects.Inc()
		return true, "no target was reached"
	case c.reached >= c.Route.MaxAttempts:
		return false, "it was sent to as many targets as the route allows"
	case !s.budgets.take(kernel.Uptime(), c.Service, c.chain.Rank, !c.uncertain):
		exhausted.Inc()
		return false, "the retry budget is used up"
	}
	repeats.Inc()
	return true, "the retry budget allows it"
}

// giveUp is the answer when no node can be chosen.
func (s *Service) giveUp(c *Call, begin time.Duration, last *targethost.Refusal, err error) *apierror.Error {
	s.Log.Failure.Info().Str("event", "no-node").Str("request", c.ID).Str("cause", c.chain.ParentID).Str("route", c.Route.Name).Str("service", c.Service).
		Err(err).Int("tried", len(c.exclude)).Dur("took", kernel.Uptime()-begin).Uint64("config", c.ConfigVersion).Send()
	switch {
	case last != nil:
		return s.final(c, last)
	case errors.Is(err, balancer.ErrAllShedding):
		return apierror.New(apierror.Overloaded, apierror.NotRun, "%w", err)
	}
	return apierror.New(apierror.NoTarget, apierror.NotRun, "service %q: %w", c.Service, err)
}

// final is the answer after the last attempt. It promises "not run" only if
// that holds for every attempt.
func (s *Service) final(c *Call, r *targethost.Refusal) *apierror.Error {
	f := *r.Error
	if c.uncertain {
		f.Outcome = apierror.Unknown
	}
	return &f
}

// attempt sends the call to one node.
func (s *Service) attempt(ctx context.Context, c *Call, to peer) (*targethost.Response, *targethost.Refusal) {
	begin := kernel.Uptime()
	remaining := c.Deadline - begin - s.margin(to)
	if remaining <= 0 {
		s.finished(to.id, 0, balancer.Abandoned, nil)
		return nil, &targethost.Refusal{Error: apierror.New(apierror.DeadlineExceeded, apierror.NotRun, "%v are left, less than the way to node %q takes", c.Deadline-begin, to.id)}
	}
	req := &wire.Request{
		ID: c.ID, Kind: c.Route.Name, Service: c.Service, Method: c.Method, Path: c.URI, Headers: c.Headers,
		RemainingMicros: remaining.Microseconds(), Priority: priority(c.Route), NonIdempotent: !c.Route.Idempotent,
		Region: s.Region, ConfigVersion: c.ConfigVersion, Host: c.Host, CallerService: s.CallerService,
		ChainAgeMicros: (begin - c.chain.Start).Microseconds(), ChainRank: c.chain.Rank, ChainDepth: c.chain.Depth,
		ChainRepeat: c.chain.Retried || c.reached > 0,
	}
	var answer *targethost.Response
	var refusal *targethost.Refusal
	var load *wire.Load
	if to.id == s.NodeID {
		answer, refusal = s.Host.Serve(ctx, req, c.Body, c.BodyRest)
		l := s.Host.Load()
		load = &l
	} else {
		answer, refusal, load = s.remote(ctx, c, req, to)
	}
	s.finished(to.id, kernel.Uptime()-begin, result(ctx, answer, refusal, load), load)
	return answer, refusal
}

// result is what an attempt says of the node. A target's own failure is often
// that of a deeper service, so that it does not count against the node.
func result(ctx context.Context, answer *targethost.Response, refusal *targethost.Refusal, load *wire.Load) balancer.Result {
	switch {
	case answer != nil:
		return balancer.OK
	case ctx.Err() != nil:
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

// remote sends the call over a link.
func (s *Service) remote(ctx context.Context, c *Call, req *wire.Request, to peer) (*targethost.Response, *targethost.Refusal, *wire.Load) {
	conn, err := s.Pool.Get(ctx, to.address, to.id)
	if errors.Is(err, link.ErrWrongPeer) {
		s.noteReplaced(to)
	}
	if err != nil {
		return nil, &targethost.Refusal{Error: apierror.New(apierror.LinkLost, apierror.NotRun, "%w", err)}, nil
	}
	stream, err := conn.Open(ctx, req, c.Body, c.BodyRest != nil)
	if err != nil {
		return nil, &targethost.Refusal{Error: apierror.New(apierror.LinkLost, apierror.NotRun, "%w", err)}, nil
	}
	if c.BodyRest != nil {
		go sendBody(stream, c.BodyRest)
	}
	resp, err := stream.Response()
	if err != nil {
		stream.Cancel()
		refusal, load := remoteFailure(ctx, err)
		return nil, refusal, load
	}
	answer := &targethost.Response{Status: resp.Status, Headers: resp.Headers, Overload: resp.Overload}
	whole := make([]byte, 0, 8<<10)
	for len(whole) <= wholeLimit {
		if len(whole) == cap(whole) {
			whole = append(whole, 0)[:len(whole)]
		}
		n, err := stream.Read(whole[len(whole):cap(whole)])
		whole = whole[:len(whole)+n]
		if err == io.EOF {
			stream.Close()
			answer.Body = whole
			return answer, nil, &resp.Load
		}
		if err != nil {
			stream.Cancel()
			return nil, &targethost.Refusal{Error: apierror.New(apierror.LinkLost, apierror.Unknown, "%w", err), Reached: true}, &resp.Load
		}
	}
	answer.Body, answer.BodyRest = whole, &rest{stream: stream}
	return answer, nil, &resp.Load
}

func sendBody(stream *link.Stream, more io.Reader) {
	_, err := io.Copy(stream, more)
	_ = stream.Finish(wire.End{Aborted: err != nil}) // fails only with the link, which the answer reports too
}

// remoteFailure tells a refusal by the other node from the loss of the link,
// after which the request may run.
func remoteFailure(ctx context.Context, err error) (*targethost.Refusal, *wire.Load) {
	var refused *link.RefusedError
	if errors.As(err, &refused) {
		f := &apierror.Error{Code: refused.Code, Outcome: refused.Outcome, Message: refused.Message, RetryAfter: time.Duration(refused.RetryAfterMillis) * time.Millisecond}
		return &targethost.Refusal{Error: f, Reached: refused.Reached, Final: refused.Final}, &refused.Load
	}
	code := apierror.LinkLost
	if ctx.Err() != nil {
		code = apierror.DeadlineExceeded
	}
	return &targethost.Refusal{Error: apierror.New(code, apierror.Unknown, "%w", err), Reached: true}, nil
}

// margin is the part of the remaining time that is kept for the answer of a
// node, so that its verdict arrives before the call ends.
func (s *Service) margin(to peer) time.Duration {
	switch {
	case to.id == s.NodeID:
		return 0
	case to.region == s.Region:
		return nearMargin
	}
	return farMargin
}

// rest is the remainder of a long answer.
type rest struct {
	stream *link.Stream
	whole  bool
}

func (r *rest) Read(p []byte) (int, error) {
	n, err := r.stream.Read(p)
	r.whole = r.whole || err == io.EOF
	return n, err
}

func (r *rest) Close() error {
	if r.whole {
		r.stream.Close()
	} else {
		r.stream.Cancel()
	}
	return nil
}
