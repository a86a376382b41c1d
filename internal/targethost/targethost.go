// Package targethost runs requests on a node's own target. It alone sends to
// that target, so it decides how many requests run at once, and whether the
// target may still be sent to at all.
package targethost

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"parsleyturn/internal/admission"
	"parsleyturn/internal/apierror"
	"parsleyturn/internal/callchain"
	"parsleyturn/internal/closehook"
	"parsleyturn/internal/eventlog"
	"parsleyturn/internal/headers"
	"parsleyturn/internal/kernel"
	"parsleyturn/internal/targetconn"
	"parsleyturn/internal/throttle"
	"parsleyturn/internal/wire"
)

// Name is the name of the service in the kernel.
const Name = "targethost"

const (
	// maxQueue bounds the wait for a slot. Callers give up after about a
	// second.
	maxQueue = 400 * time.Millisecond
	// lostBeats is the number of missed announcements after which the target
	// counts as gone. An announcement may be seconds late.
	lostBeats = 4
	// downTime keeps requests away from a target that refuses connections,
	// until its next announcement at the latest.
	downTime = 300 * time.Millisecond
	// throttlePause is the least time after which a caller may come back whose
	// request would have failed deeper in its chain. Such overload lasts for the
	// crest of a demand swing, several seconds.
	throttlePause = 700 * time.Millisecond
	// minRemaining is the least time worth sending a request with.
	minRemaining = 5 * time.Millisecond
)

var (
	served    = metrics.NewCounter(`parsley_host_requests_total`)
	refusals  = metrics.NewCounter(`parsley_host_refused_total`)
	failures  = metrics.NewCounter(`parsley_host_failed_total`)
	durations = metrics.NewHistogram(`parsley_host_target_seconds`)
	throttled = metrics.NewCounter(`parsley_host_throttled_total`)
	ignored   = metrics.NewCounter(`parsley_host_announcements_ignored_total`)
)

// Response is what the target answered.
type Response struct {
	Status  int
	Headers wire.Headers
	// Body is the body or its beginning.
	Body []byte
	// BodyRest continues Whole; nil if there is no more. It must be closed.
	BodyRest io.ReadCloser
	// Overload is set on a failure of the target if one of its calls, or one
	// further down, was refused for want of room.
	Overload bool
}

// Refusal is a failure to get an answer of the target.
type Refusal struct {
	*apierror.Error
	// Reached is set if the request was sent to the target.
	Reached bool
	// Final is set if other nodes would refuse the request too.
	Final bool
	// overload is that of Answer.
	overload bool
}

// Host serves the target of one node.
type Host struct {
	kernel.Base
	Dialect *headers.Dialect
	// HeartbeatInterval is the interval of the target's announcements.
	HeartbeatInterval time.Duration
	Log               eventlog.Log
	// OnTargetChange is told of each change of the target that other nodes need.
	OnTargetChange func(t Announcement, ready bool)

	gate    *gate
	conns   targetconn.Pool
	running atomic.Int64

	throttleMu sync.Mutex
	throttle   *throttle.Controller
	// requests holds those at the target with their deadlines.
	requests callchain.InFlight

	mu      sync.Mutex
	target  Announcement
	known   bool
	heardAt time.Duration
	// downUntil is the end of the time without requests after a failed
	// connection.
	downUntil time.Duration
	ready     bool
	// closing is set once the node itself leaves.
	closing bool
	watch   kernel.Duty
}

// Provision prepares the gate.
func (h *Host) Provision(*kernel.Kernel) error {
	h.throttle = throttle.New()
	h.throttle.OnChange = func(route string, share float64, ended, succeeded int) {
		h.Log.System.Info().Str("event", "throttle").Str("route", route).Float64("share", share).Int("ended", ended).Int("succeeded", succeeded).
			Msg("share of the route's requests that is let through changed")
	}
	h.gate = newGate(admission.Config{Slots: 0, MaxQueueTime: maxQueue})
	return nil
}

// Start begins to watch for missed announcements.
func (h *Host) Start(context.Context) error {
	h.watch.Every(h.HeartbeatInterval/2, h.checkBeats)
	return nil
}

// Stop ends the watch.
func (h *Host) Stop(context.Context) error {
	h.watch.End()
	h.conns.Close()
	return nil
}

// StartDraining refuses further requests, as the node leaves.
func (h *Host) StartDraining() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closing = true
}

// InFlight is the number of requests at the target.
func (h *Host) InFlight() int { return int(h.running.Load()) }

// Cause returns the request at the target that made a call of a route which
// expires at the given uptime, or nil.
func (h *Host) Cause(route string, expires time.Duration) *callchain.Request {
	return h.requests.FindParent(route, expires)
}

// Announce takes over what the target says of itself.
func (h *Host) Announce(a Announcement) error {
	if err := a.Validate(); err != nil {
		ignored.Inc()
		h.Log.System.Warn().Err(err).Str("event", "announcement-ignored").Msg("announcement names no target")
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.known && !a.supersedes(&h.target) {
		ignored.Inc()
		h.Log.System.Info().Str("event", "announcement-ignored").Str("target", a.ID).Int64("sequence", a.Sequence).
			Int64("born", a.StartedAtMillis).Str("in_force", h.target.ID).Int64("sequence_in_force", h.target.Sequence).Msg("announcement is older than the state in force")
		return nil
	}
	same := h.known && a.ID == h.target.ID && a.StartedAtMillis == h.target.StartedAtMillis
	if !same {
		h.conns.Close()
		h.downUntil = 0
	}
	if !same || a.Slots != h.target.Slots {
		h.gate.configure(admission.Config{Slots: a.Slots, MaxQueueTime: maxQueue})
	}
	changed := !same || a.Draining != h.target.Draining || a.Slots != h.target.Slots || !h.ready || (a.WarmupLeft > 0) != (h.target.WarmupLeft > 0)
	h.target, h.known, h.heardAt = a, true, kernel.Uptime()
	if changed {
		h.publish("announced")
	}
	return nil
}

// Withdraw notes that a target has left. A target of another id or of a later
// start stays.
func (h *Host) Withdraw(id string, born int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.known || h.target.ID != id || born != 0 && h.target.StartedAtMillis > born {
		h.Log.System.Info().Str("event", "withdrawal-ignored").Str("target", id).Str("in_force", h.target.ID).Msg("withdrawal of a target that is not in force")
		return
	}
	h.target.Draining = true
	h.publish("withdrawn")
}

// publish tells the others about the target. h.mu is held.
func (h *Host) publish(why string) {
	h.ready = h.known && !h.target.Draining
	h.Log.System.Info().Str("event", "target").Str("why", why).Str("target", h.target.ID).Str("service", h.target.Service).Str("zone", h.target.Zone).Str("version", h.target.Version).
		Bool("ready", h.ready).Int("slots", h.target.Slots).Int64("born", h.target.StartedAtMillis).Int64("sequence", h.target.Sequence).
		Dur("warmup_left", h.target.WarmupLeft).Msg("state of the own target changed")
	if h.OnTargetChange != nil {
		h.OnTargetChange(h.target, h.ready)
	}
}

// checkBeats withdraws a target that has been silent for too long.
func (h *Host) checkBeats() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ready && kernel.Uptime()-h.heardAt > lostBeats*h.HeartbeatInterval {
		h.known = false
		h.publish("silent")
	}
}

// Load returns the present load of the target.
func (h *Host) Load() wire.Load {
	l := h.gate.load()
	h.mu.Lock()
	defer h.mu.Unlock()
	return wire.Load{
		InFlight: l.InFlight, Limit: l.Limit, Queued: l.Queued, Threshold: l.Threshold, LongThreshold: l.LongThreshold,
		Draining: !h.ready || h.closing, Cold: h.target.WarmupLeft > kernel.Uptime()-h.heardAt,
	}
}

// usable returns the target if it may run a request of the service.
func (h *Host) usable(service string) (Announcement, *apierror.Error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.closing:
		return h.target, apierror.New(apierror.Draining, apierror.NotRun, "the node beside target %q is leaving", h.target.ID)
	case !h.known:
		return h.target, apierror.New(apierror.NoTarget, apierror.NotRun, "no target has announced itself on this VM")
	case h.target.Service != service:
		return h.target, apierror.New(apierror.NoTarget, apierror.NotRun, "the target of this VM offers service %q", h.target.Service)
	case h.target.Draining:
		return h.target, apierror.New(apierror.Draining, apierror.NotRun, "target %q is leaving", h.target.ID)
	case kernel.Uptime() < h.downUntil:
		return h.target, apierror.New(apierror.NoTarget, apierror.NotRun, "target %q refuses connections", h.target.ID)
	}
	return h.target, nil
}

// Serve runs a request on the target. The request is sent at most once.
func (h *Host) Serve(ctx context.Context, req *wire.Request, body []byte, more io.Reader) (*Response, *Refusal) {
	served.Inc()
	begin := kernel.Uptime()
	deadline := begin + time.Duration(req.RemainingMicros)*time.Microsecond
	if _, err := h.usable(req.Service); err != nil {
		return nil, h.refuse(req, err, false, 0)
	}
	chain := callchain.Chain{Start: begin - time.Duration(max(req.ChainAgeMicros, 0))*time.Microsecond, Rank: req.ChainRank, Depth: req.ChainDepth, Retried: req.ChainRepeat}
	if !h.admit(&chain, req.Kind) {
		throttled.Inc()
		f := apierror.New(apierror.Overloaded, apierror.NotRun, "requests of the route fail deeper in their call chain for want of room")
		f.RetryAfter = throttlePause + rand.N(throttlePause)
		r := h.refuse(req, f, false, 0)
		r.Final = true
		return nil, r
	}
	id, verdict := h.gate.enter(ctx, admission.Job{Kind: req.Kind, Priority: req.Priority, Deadline: deadline, InChain: chain.Depth > 0, ChainStart: chain.Start})
	waited := kernel.Uptime() - begin
	switch verdict {
	case admission.RefusedOverload:
		return nil, h.refuse(req, apierror.New(apierror.Overloaded, apierror.NotRun, "no slot at the target for priority %d", req.Priority), false, waited)
	case admission.RefusedDeadline:
		return nil, h.refuse(req, apierror.New(apierror.DeadlineExceeded, apierror.NotRun, "the request could not finish in the time that is left"), false, waited)
	}
	// The target may have changed while the request waited.
	target, unusable := h.usable(req.Service)
	remaining := deadline - kernel.Uptime()
	switch {
	case unusable != nil:
		h.gate.leave(id, false)
		return nil, h.refuse(req, unusable, false, waited)
	case ctx.Err() != nil || remaining < minRemaining:
		h.gate.leave(id, false)
		return nil, h.refuse(req, apierror.New(apierror.DeadlineExceeded, apierror.NotRun, "the caller gave up before the request was sent"), false, waited)
	}
	answer, refusal := h.send(ctx, req, body, more, &target, remaining, chain)
	h.noteEnd(&chain, begin, req.Kind, answer, refusal)
	if refusal != nil {
		h.gate.leave(id, false)
		return nil, h.refuse(req, refusal.Error, refusal.Reached, waited)
	}
	if answer.BodyRest == nil {
		h.gate.leave(id, answer.Status < http.StatusInternalServerError)
		return answer, nil
	}
	answer.BodyRest = closehook.New(answer.BodyRest, func() { h.gate.leave(id, true) })
	return answer, nil
}

// admit decides whether a request is likely to find room further down its
// chain. A call within a chain is not refused here, as it would waste what ran
// above it.
func (h *Host) admit(chain *callchain.Chain, route string) bool {
	h.throttleMu.Lock()
	defer h.throttleMu.Unlock()
	h.throttle.RecordArrival(kernel.Uptime(), route, chain.Depth > 0)
	return chain.Depth > 0 || h.throttle.Admit(kernel.Uptime(), route, chain.Rank, rand.Float64())
}

// noteEnd teaches the throttle how a request at the start of a chain ended.
// Failures for other reasons than overload would not be fewer with fewer
// requests.
func (h *Host) noteEnd(chain *callchain.Chain, begin time.Duration, route string, answer *Response, refusal *Refusal) {
	ok := answer != nil && answer.Status < http.StatusInternalServerError
	overload := answer != nil && answer.Overload || refusal != nil && refusal.overload
	if chain.Depth > 0 || chain.Rank < throttle.MinThrottledRank || !ok && !overload {
		return
	}
	h.throttleMu.Lock()
	defer h.throttleMu.Unlock()
	h.throttle.RecordOutcome(kernel.Uptime(), begin, route, ok)
}

// refuse logs and counts a refusal or failure.
func (h *Host) refuse(req *wire.Request, err *apierror.Error, reached bool, waited time.Duration) *Refusal {
	if err.Outcome == apierror.NotRun {
		refusals.Inc()
	} else {
		failures.Inc()
	}
	load := h.gate.load()
	h.Log.Failure.Info().Str("event", "host-refused").Str("request", req.ID).Str("route", req.Kind).Str("service", req.Service).
		Int("priority", req.Priority).Int("depth", req.ChainDepth).Int64("chain_age_us", req.ChainAgeMicros).Int64("remaining_us", req.RemainingMicros).Dur("waited", waited).Int("in_flight", load.InFlight).Int("limit", load.Limit).Int("queued", load.Queued).
		Dur("usual", h.gate.usual(req.Kind)).Uint64("config", req.ConfigVersion).
		Str("code", string(err.Code)).Str("outcome", string(err.Outcome)).Bool("reached", reached).Str("reason", err.Message).Send()
	return &Refusal{Error: err, Reached: reached}
}

// send passes an admitted request to the target.
func (h *Host) send(ctx context.Context, req *wire.Request, body []byte, more io.Reader, target *Announcement, remaining time.Duration, chain callchain.Chain) (*Response, *Refusal) {
	d := h.Dialect
	header := make(http.Header, len(req.Headers)+5)
	for _, f := range req.Headers {
		header.Add(f.Name, f.Value)
	}
	if header["User-Agent"] == nil {
		header["User-Agent"] = nil // keeps the library from adding its own
	}
	header[d.RequestID] = []string{req.ID}
	allowed := max(remaining.Truncate(time.Millisecond), time.Millisecond)
	header[d.DeadlineMS] = []string{strconv.FormatInt(allowed.Milliseconds(), 10)}
	header[d.TargetInstance] = []string{target.ID}
	header[d.CallerService] = []string{req.CallerService}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	h.running.Add(1)
	running := h.requests.Add(req.ID, req.Kind, kernel.Uptime()+allowed, chain)
	begin := time.Now()
	resp, err := h.conns.Do(ctx, target.Address, &targetconn.Request{
		Method: req.Method, URI: req.Path, Host: req.Host, Header: header, Body: body, BodyRest: more, ID: req.ID, IDHeader: d.RequestID,
	})
	durations.UpdateDuration(begin)
	end := func() {
		cancel()
		h.requests.Remove(running)
		h.running.Add(-1)
	}
	if err != nil || resp.BodyRest == nil {
		defer end()
	} else {
		resp.BodyRest = closehook.New(resp.BodyRest, end)
	}
	switch {
	case errors.Is(err, targetconn.ErrNotSent):
		h.noteDown(target, err)
		return nil, &Refusal{Error: apierror.New(apierror.NoTarget, apierror.NotRun, "%w", err), Reached: false}
	case err != nil && ctx.Err() != nil:
		return nil, &Refusal{Error: apierror.New(apierror.DeadlineExceeded, apierror.Unknown, "%w", err), Reached: true, overload: running.Overloaded()}
	case err != nil:
		return nil, &Refusal{Error: apierror.New(apierror.TargetFailed, apierror.Unknown, "%w", err), Reached: true}
	}
	if resp.Header.Get(d.NotExecuted) != "" {
		return nil, h.notExecuted(resp, target)
	}
	// Whatever a target makes itself is signed, failures too.
	if resp.Header.Get(d.Stamp) == "" {
		if resp.BodyRest != nil {
			_ = resp.BodyRest.Close()
		}
		return nil, &Refusal{Error: apierror.New(apierror.TargetFailed, apierror.Unknown, "the target's answer has no signature"), Reached: true}
	}
	overload := resp.Status >= http.StatusInternalServerError && running.Overloaded()
	return &Response{Overload: overload, Status: resp.Status, Headers: d.EndToEnd(resp.Header), Body: resp.Body, BodyRest: resp.BodyRest}, nil
}

// notExecuted turns an answer of a target that did not run the request into a
// refusal.
func (h *Host) notExecuted(resp *targetconn.Response, target *Announcement) *Refusal {
	if resp.BodyRest != nil {
		_ = resp.BodyRest.Close()
	}
	if resp.Status == http.StatusMisdirectedRequest {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.known && h.target.ID == target.ID && h.target.StartedAtMillis == target.StartedAtMillis {
			h.known = false
			h.publish("replaced")
		}
		return &Refusal{Error: apierror.New(apierror.NoTarget, apierror.NotRun, "another target has the address of %q", target.ID), Reached: true}
	}
	return &Refusal{Error: apierror.New(apierror.Overloaded, apierror.NotRun, "the target answered %d without running the request", resp.Status), Reached: true}
}

// noteDown keeps requests away from a target that takes no connections.
func (h *Host) noteDown(target *Announcement, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.downUntil = kernel.Uptime() + downTime
	if errors.Is(err, syscall.ECONNREFUSED) && h.ready && h.target.ID == target.ID && h.target.StartedAtMillis == target.StartedAtMillis {
		// Nobody listens on this VM, so the target is gone until it announces
		// itself again.
		h.known = false
		h.publish("connection refused")
		return
	}
	h.Log.System.Warn().Err(err).Str("event", "target-down").Str("target", target.ID).Msg("the own target takes no connections")
}
