// Package targethost runs requests on a node's local target. No other component
// sends to that target, so targethost decides how many requests run at once and
// whether the target may receive requests at all.
//
// It serves nodes on the users' platform (package meshnode); package executor
// does the same for nodes with the product's own interface.
package targethost

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"parsleyturn/internal/admission"
	"parsleyturn/internal/apierror"
	"parsleyturn/internal/bytebudget"
	"parsleyturn/internal/callchain"
	"parsleyturn/internal/closehook"
	"parsleyturn/internal/departure"
	"parsleyturn/internal/eventlog"
	"parsleyturn/internal/headers"
	"parsleyturn/internal/kernel"
	"parsleyturn/internal/targetconn"
	"parsleyturn/internal/targetstate"
	"parsleyturn/internal/throttle"
	"parsleyturn/internal/wire"
)

// Name is the name of the service in the kernel.
const Name = "targethost"

const (
	// maxQueueTime bounds the wait for a slot. Callers give up after about 1 s.
	maxQueueTime = 400 * time.Millisecond
	// dialBackoff is the time without requests after the target failed to
	// accept a connection. If the target's port refused the connection, no
	// requests are sent until the next announcement instead.
	dialBackoff = 300 * time.Millisecond
	// throttleRetryDelay is the minimum retry delay for a caller whose request
	// would fail downstream in its call chain. Such overload lasts for the peak
	// of a load swing, several seconds.
	throttleRetryDelay = 700 * time.Millisecond
	// minRemaining is the minimum remaining time with which a request is sent.
	minRemaining = 5 * time.Millisecond
)

var (
	served    = metrics.NewCounter(`parsley_host_requests_total`)
	refusals  = metrics.NewCounter(`parsley_host_refused_total`)
	failures  = metrics.NewCounter(`parsley_host_failed_total`)
	durations = metrics.NewHistogram(`parsley_host_target_seconds`)
	throttled = metrics.NewCounter(`parsley_host_throttled_total`)
)

// Response is a response from a target.
type Response struct {
	Status  int
	Headers wire.Headers
	// Body is the body, or its first part if BodyRest is set.
	Body []byte
	// BodyRest is the rest of the body; nil if there is none. It must be
	// closed.
	BodyRest io.ReadCloser
	// Overload is set on a server error of the target if one of its sub-calls,
	// or one further downstream, was refused for lack of capacity.
	Overload bool
	// LeavingTarget is the target that responded, if it said that it leaves.
	LeavingTarget wire.Target
}

// Refusal is the reason why there is no response from the target.
type Refusal struct {
	*apierror.Error
	// SentToTarget is set if the request was, or may have been, sent to the
	// target.
	SentToTarget bool
	// Final is set if other nodes would refuse the request too.
	Final bool
	// overload has the meaning of Response.Overload.
	overload bool
	// LeavingTarget is the target, if the reason is that it leaves.
	LeavingTarget wire.Target
}

// Host runs requests on the local target of a node.
type Host struct {
	kernel.Base
	Dialect *headers.Dialect
	// HeartbeatInterval is the interval of the target's announcements.
	HeartbeatInterval time.Duration
	// TargetIP is the IP address of the target. Announcements with another one are
	// rejected. The zero value allows all.
	TargetIP netip.Addr
	// KnowsService reports whether a service exists. Announcements of others are
	// rejected. Nil allows all.
	KnowsService func(service string) bool
	// Departures keeps the departures that are acknowledged. Nil keeps them in this
	// process only.
	Departures *departure.Journal
	// HealthPath returns the path at which the targets of a service say whether they
	// are ready, or an empty text if it is not known. Nil means that none does.
	HealthPath func(service string) string
	Log        eventlog.Log
	// OnTargetChange is called for each change of the target that other nodes
	// need to know. It must not call methods of the Host, whose lock is held.
	OnTargetChange func(t targetstate.Announcement, ready bool)

	slots    *slotQueue
	bodies   *bytebudget.Budget
	connPool targetconn.Pool
	inFlight atomic.Int64

	throttleMu sync.Mutex
	throttle   *throttle.Controller
	// inFlightRequests holds the requests at the target with their deadlines.
	inFlightRequests callchain.InFlight
	subCallFailures  subCallFailures

	mu    sync.Mutex
	state targetstate.Machine
	// downUntil is the time until which no requests are sent after a failed
	// connection.
	downUntil time.Duration
	signals   signals
	// draining is set once the node itself is shutting down.
	draining       bool
	heartbeatCheck kernel.Worker
	confirmer      confirmer
}

func (h *Host) Provision(*kernel.Kernel) error {
	h.throttle = throttle.New()
	h.throttle.OnChange = func(route string, share float64, ended, succeeded int) {
		h.Log.System.Info().Str("event", "throttle").Str("route", route).Float64("share", share).Int("ended", ended).Int("succeeded", succeeded).
			Msg("admit probability of the route changed")
	}
	h.state.HeartbeatInterval = h.HeartbeatInterval
	if h.Departures.Keeps() {
		h.state.Distrust(now())
	}
	h.confirmer.init()
	h.bodies = bytebudget.New(maxBodyBytes)
	h.slots = newSlotQueue(admission.Config{Slots: 0, MaxQueueTime: maxQueueTime})
	return nil
}

// Start starts to check for missed announcements, and to read earlier departures.
func (h *Host) Start(context.Context) error {
	h.Departures.Start()
	h.confirmer.worker.Start(h.confirmTargets)
	h.heartbeatCheck.StartPeriodic(h.HeartbeatInterval/2, h.checkHeartbeat)
	return nil
}

func (h *Host) Stop(context.Context) error {
	h.heartbeatCheck.Stop()
	h.confirmer.worker.Stop()
	h.Departures.Stop()
	h.connPool.Close()
	return nil
}

// StartDraining makes the host refuse further requests because the node is
// shutting down.
func (h *Host) StartDraining() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = true
}

// InFlight returns the number of requests at the target.
func (h *Host) InFlight() int { return int(h.inFlight.Load()) }

// FindParent returns the request at the target that made a sub-call of the given
// route and deadline, or nil if none is found.
func (h *Host) FindParent(route string, deadline time.Duration) *callchain.Request {
	return h.inFlightRequests.FindParent(route, deadline)
}

// PossibleParents reports whether a request at the target may have made a call whose
// parent was not found, and which share of those that may have made it are retries.
func (h *Host) PossibleParents(route string, deadline time.Duration) (possible bool, retried float64) {
	return h.inFlightRequests.PossibleParents(route, deadline)
}

// RecordSubCallFailure records the failure of a call that any request at the target
// may have made, and whether it was refused for lack of capacity.
func (h *Host) RecordSubCallFailure(overload bool) {
	h.subCallFailures.record(kernel.Uptime(), overload)
}

// overloaded reports whether a request that was sent to the target at the uptime sent
// has probably failed because a sub-call was refused for lack of capacity.
func (h *Host) overloaded(r *callchain.Request, sent time.Duration) bool {
	return r.Overloaded() || h.subCallFailures.overload(kernel.Uptime(), sent)
}

// Load returns the current load of the target.
func (h *Host) Load() wire.Load {
	l := h.slots.load()
	h.mu.Lock()
	defer h.mu.Unlock()
	t, _ := h.state.Target()
	return wire.Load{
		InFlight: l.InFlight, Limit: l.Limit, Queued: l.Queued, Threshold: l.Threshold, LongThreshold: l.LongThreshold,
		Draining: !h.state.Ready() || h.draining, Cold: t.WarmupLeft > kernel.Uptime()-h.state.AnnouncedAt(),
	}
}

// usable returns the target, and an error if it must not run a request for the
// service.
func (h *Host) usable(service string) (targetstate.Announcement, *apierror.Error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t, known := h.state.Target()
	switch {
	case h.draining:
		return t, apierror.New(apierror.Draining, apierror.NotRun, "the node of target %q is shutting down", t.ID)
	case !known:
		return t, apierror.New(apierror.NoTarget, apierror.NotRun, "no target has announced itself on this VM")
	case t.Service != service:
		return t, apierror.New(apierror.NoTarget, apierror.NotRun, "the target of this VM offers service %q", t.Service)
	case !t.Draining && !h.state.Ready():
		return t, apierror.New(apierror.NoTarget, apierror.NotRun, "target %q is not confirmed since the start of its node", t.ID)
	case t.Draining:
		return t, apierror.New(apierror.Draining, apierror.NotRun, "target %q is shutting down", t.ID)
	case kernel.Uptime() < h.downUntil:
		return t, apierror.New(apierror.NoTarget, apierror.NotRun, "target %q accepts no connections", t.ID)
	}
	return t, nil
}

// Serve runs a request on the target. The request is sent at most once.
func (h *Host) Serve(ctx context.Context, req *wire.Request, body []byte, bodyRest io.Reader) (*Response, *Refusal) {
	served.Inc()
	begin := kernel.Uptime()
	deadline := begin + time.Duration(req.RemainingMicros)*time.Microsecond
	h.learnLeaving(req.LeavingTarget)
	if _, err := h.usable(req.Service); err != nil {
		return nil, h.refuse(req, err, false, 0)
	}
	chain := callchain.Chain{Start: begin - time.Duration(max(req.ChainAgeMicros, 0))*time.Microsecond, Rank: req.ChainRank, Depth: req.ChainDepth, Retried: req.ChainRetried}
	if !h.admitChain(&chain, req.Kind) {
		throttled.Inc()
		f := apierror.New(apierror.Overloaded, apierror.NotRun, "route is throttled: its requests fail downstream for lack of capacity")
		f.RetryAfter = throttleRetryDelay + rand.N(throttleRetryDelay)
		r := h.refuse(req, f, false, 0)
		r.Final = true
		return nil, r
	}
	id, verdict := h.slots.acquire(ctx, admission.Job{Kind: req.Kind, Priority: req.Priority, Deadline: deadline, InChain: chain.Depth > 0, ChainStart: chain.Start, MaxWait: time.Duration(req.MaxWaitMicros) * time.Microsecond})
	waited := kernel.Uptime() - begin
	switch verdict {
	case admission.RefusedOverload:
		return nil, h.refuse(req, apierror.New(apierror.Overloaded, apierror.NotRun, "no free slot at the target for priority %d", req.Priority), false, waited)
	case admission.RefusedDeadline:
		return nil, h.refuse(req, apierror.New(apierror.DeadlineExceeded, apierror.NotRun, "the request could not finish before its deadline"), false, waited)
	}
	// The target may have changed while the request waited, and the VM may have been
	// suspended.
	kernel.ObserveSuspension()
	target, unusable := h.usable(req.Service)
	remaining := deadline - kernel.Uptime()
	switch {
	case unusable != nil:
		h.slots.release(id, false)
		return nil, h.refuse(req, unusable, false, waited)
	case ctx.Err() != nil || remaining < minRemaining:
		h.slots.release(id, false)
		return nil, h.refuse(req, apierror.New(apierror.DeadlineExceeded, apierror.NotRun, "too little time was left or the caller disconnected before the request was sent"), false, waited)
	}
	response, refusal := h.send(ctx, req, body, bodyRest, &target, remaining, chain)
	h.recordOutcome(&chain, begin, req.Kind, response, refusal)
	if refusal != nil {
		h.slots.release(id, false)
		return nil, h.refuse(req, refusal.Error, refusal.SentToTarget, waited)
	}
	if response.BodyRest == nil {
		h.slots.release(id, response.Status < http.StatusInternalServerError)
		return response, nil
	}
	response.BodyRest = closehook.New(response.BodyRest, func() { h.slots.release(id, true) })
	return response, nil
}

// admitChain reports whether the throttle admits a request, which depends on
// how many recent requests of its route found capacity downstream in their call
// chains. Sub-calls are never refused here, as that would waste the work already
// done upstream in the chain.
func (h *Host) admitChain(chain *callchain.Chain, route string) bool {
	h.throttleMu.Lock()
	defer h.throttleMu.Unlock()
	h.throttle.RecordArrival(kernel.Uptime(), route, chain.Depth > 0)
	return chain.Depth > 0 || h.throttle.Admit(kernel.Uptime(), route, chain.Rank, rand.Float64())
}

// recordOutcome reports the outcome of a request at the start of a chain to the
// throttle, if its rank is one that can be throttled. Failures for reasons other
// than overload are left out, as fewer requests would not prevent them.
func (h *Host) recordOutcome(chain *callchain.Chain, begin time.Duration, route string, response *Response, refusal *Refusal) {
	ok := response != nil && response.Status < http.StatusInternalServerError
	overload := response != nil && response.Overload || refusal != nil && refusal.overload
	if chain.Depth > 0 || chain.Rank < throttle.MinThrottledRank || !ok && !overload {
		return
	}
	h.throttleMu.Lock()
	defer h.throttleMu.Unlock()
	h.throttle.RecordOutcome(kernel.Uptime(), begin, route, ok)
}

// refuse logs and counts an error and returns it as a Refusal.
func (h *Host) refuse(req *wire.Request, err *apierror.Error, sentToTarget bool, waited time.Duration) *Refusal {
	if err.Outcome == apierror.NotRun {
		refusals.Inc()
	} else {
		failures.Inc()
	}
	load := h.slots.load()
	h.Log.Failure.Info().Str("event", "host-refused").Str("request", req.ID).Str("route", req.Kind).Str("service", req.Service).
		Int("priority", req.Priority).Int("depth", req.ChainDepth).Int64("chain_age_us", req.ChainAgeMicros).Int64("remaining_us", req.RemainingMicros).Dur("waited", waited).Int("in_flight", load.InFlight).Int("limit", load.Limit).Int("queued", load.Queued).
		Dur("usual", h.slots.expectedServiceTime(req.Kind)).Uint64("config", req.ConfigVersion).
		Str("code", string(err.Code)).Str("outcome", string(err.Outcome)).Bool("reached", sentToTarget).Str("reason", err.Message).Send()
	return &Refusal{Error: err, SentToTarget: sentToTarget, LeavingTarget: h.leavingTarget()}
}

// leavingTarget returns the current target if it is known to leave for the rest of its
// incarnation.
func (h *Host) leavingTarget() wire.Target {
	h.mu.Lock()
	defer h.mu.Unlock()
	t, ok := h.state.Leaving()
	if !ok {
		return wire.Target{}
	}
	return wire.Target{ID: t.ID, StartedAtMillis: t.StartedAtMillis}
}

// send passes an admitted request to the target.
func (h *Host) send(ctx context.Context, req *wire.Request, body []byte, bodyRest io.Reader, target *targetstate.Announcement, remaining time.Duration, chain callchain.Chain) (*Response, *Refusal) {
	d := h.Dialect
	header := make(http.Header, len(req.Headers)+5)
	for _, f := range req.Headers {
		header.Add(f.Name, f.Value)
	}
	if header["User-Agent"] == nil {
		header["User-Agent"] = nil // keeps net/http from adding its default
	}
	header[d.RequestID] = []string{req.ID}
	allowed := max(remaining.Truncate(time.Millisecond), time.Millisecond)
	header[d.DeadlineMS] = []string{strconv.FormatInt(allowed.Milliseconds(), 10)}
	header[d.TargetInstance] = []string{target.ID}
	header[d.CallerService] = []string{req.CallerService}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	h.inFlight.Add(1)
	running := h.inFlightRequests.Add(req.ID, req.Kind, kernel.Uptime()+allowed, chain)
	begin, sent := time.Now(), kernel.Uptime()
	resp, err := h.connPool.Do(ctx, target.Address, &targetconn.Request{
		Method: req.Method, URI: req.Path, Host: req.Host, Header: header, Body: body, BodyRest: bodyRest, ID: req.ID, IDHeader: d.RequestID,
	})
	durations.UpdateDuration(begin)
	end := func() {
		cancel()
		h.inFlightRequests.Remove(running)
		h.inFlight.Add(-1)
	}
	if err != nil || resp.BodyRest == nil {
		defer end()
	} else {
		resp.BodyRest = closehook.New(resp.BodyRest, end)
	}
	switch {
	case errors.Is(err, targetconn.ErrNotSent):
		h.handleDialError(target, err)
		return nil, &Refusal{Error: apierror.New(apierror.NoTarget, apierror.NotRun, "%w", err), SentToTarget: false}
	case err != nil && ctx.Err() != nil:
		return nil, &Refusal{Error: apierror.New(apierror.DeadlineExceeded, apierror.Unknown, "%w", err), SentToTarget: true, overload: h.overloaded(running, sent)}
	case err != nil:
		return nil, &Refusal{Error: apierror.New(apierror.TargetFailed, apierror.Unknown, "%w", err), SentToTarget: true}
	}
	if resp.Status != http.StatusMisdirectedRequest { // that response is from another target
		h.observeResponse(target, sent, resp.Header)
	}
	if resp.Header.Get(d.NotExecuted) != "" {
		return nil, h.notExecutedRefusal(resp, target)
	}
	// A target signs all its responses, including errors.
	if resp.Header.Get(d.ResponseSignature) == "" {
		if resp.BodyRest != nil {
			_ = resp.BodyRest.Close()
		}
		return nil, &Refusal{Error: apierror.New(apierror.TargetFailed, apierror.Unknown, "the target's response has no signature"), SentToTarget: true}
	}
	out := &Response{Status: resp.Status, Headers: d.EndToEnd(resp.Header), Body: resp.Body, BodyRest: resp.BodyRest}
	out.Overload = resp.Status >= http.StatusInternalServerError && h.overloaded(running, sent)
	if resp.Header.Get(d.TargetLeaving) != "" {
		out.LeavingTarget = wire.Target{ID: target.ID, StartedAtMillis: target.StartedAtMillis}
	}
	return out, nil
}

// notExecutedRefusal converts the response of a target that did not run the
// request into a refusal. If another target responded, the current one is
// withdrawn until it announces itself again.
func (h *Host) notExecutedRefusal(resp *targetconn.Response, target *targetstate.Announcement) *Refusal {
	if resp.BodyRest != nil {
		_ = resp.BodyRest.Close()
	}
	if resp.Status == http.StatusMisdirectedRequest {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.publishChange(h.state.Lose(target), "replaced")
		return &Refusal{Error: apierror.New(apierror.NoTarget, apierror.NotRun, "another target responded at the address of target %q", target.ID), SentToTarget: true}
	}
	return &Refusal{Error: apierror.New(apierror.Overloaded, apierror.NotRun, "the target responded with status %d without running the request", resp.Status), SentToTarget: true}
}

// handleDialError stops sending requests to a target that accepts no
// connections, for dialBackoff or until it announces itself again.
func (h *Host) handleDialError(target *targetstate.Announcement, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.downUntil = kernel.Uptime() + dialBackoff
	if errors.Is(err, syscall.ECONNREFUSED) && h.state.Ready() && h.state.InForce(target) {
		// Nothing listens at the address, so the target is gone until it
		// announces itself again.
		h.publishChange(h.state.Lose(target), "connection refused")
		return
	}
	h.Log.System.Warn().Err(err).Str("event", "target-down").Str("target", target.ID).Msg("the local target accepts no connections")
}
