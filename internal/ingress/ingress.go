// Package ingress takes requests over HTTP from the callers and the target on
// the node's VM, and answers them.
package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/kit/endpoint"

	"parsleyturn/internal/apierror"
	"parsleyturn/internal/closehook"
	"parsleyturn/internal/configwatch"
	"parsleyturn/internal/dispatch"
	"parsleyturn/internal/eventlog"
	"parsleyturn/internal/headers"
	"parsleyturn/internal/kernel"
	"parsleyturn/internal/routetable"
	"parsleyturn/internal/targethost"
)

// Name is the name of the service in the kernel.
const Name = "ingress"

const (
	// headerTimeout is used until a configuration gives one.
	headerTimeout = 5 * time.Second
	// idleTimeout is longer than that of the deployments, so that a caller ends
	// its idle connections first.
	idleTimeout = 75 * time.Second
	// maxHeaderBytes is used until a configuration gives a limit.
	maxHeaderBytes = 64 << 10
	// defaultDeadline bounds requests whose caller and route set no time.
	defaultDeadline = 10 * time.Second
	// drainIdle is longer than a request takes from a caller whose connection
	// was just accepted.
	drainIdle = 200 * time.Millisecond
	drainPoll = 20 * time.Millisecond
	// answerMargin is kept of the time for the way back to the caller.
	answerMargin = 5 * time.Millisecond
)

var (
	requests  = metrics.NewCounter(`parsley_ingress_requests_total`)
	notRun    = metrics.NewCounter(`parsley_ingress_answers_total{outcome="not-run"}`)
	unknown   = metrics.NewCounter(`parsley_ingress_answers_total{outcome="unknown"}`)
	answered  = metrics.NewCounter(`parsley_ingress_answers_total{outcome="answered"}`)
	cut       = metrics.NewCounter(`parsley_ingress_bodies_cut_total`)
	durations = metrics.NewHistogram(`parsley_ingress_seconds`)
)

// Service takes requests.
type Service struct {
	kernel.Base
	Address  string
	Dialect  *headers.Dialect
	Config   *configwatch.Service
	Dispatch *dispatch.Service
	Log      eventlog.Log

	server   *http.Server
	endpoint endpoint.Endpoint
	active   atomic.Int64
	leaving  atomic.Bool
	refusing atomic.Bool
}

// request is a decoded request on its way through the stages.
type request struct {
	http  *http.Request
	begin time.Duration
	call  *dispatch.Call
	table *routetable.Table
}

// Provision prepares the server.
func (s *Service) Provision(*kernel.Kernel) error {
	s.endpoint = endpoint.Chain(s.match, s.withDeadline, s.readBody)(s.send)
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	return nil
}

// Start listens for requests.
func (s *Service) Start(context.Context) error {
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	go func() {
		if err := s.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.Log.System.Error().Err(err).Str("event", "listener-lost").Msg("no more requests are accepted")
		}
	}()
	return nil
}

// CloseConnections makes every further answer close its connection.
func (s *Service) CloseConnections() { s.leaving.Store(true) }

// RejectRequests makes the service refuse every further request.
func (s *Service) RejectRequests() { s.refusing.Store(true) }

// InFlight is the number of requests that are not answered yet.
func (s *Service) InFlight() int { return int(s.active.Load()) }

// Drain closes the listener and the idle connections and waits until no
// request is in flight, at most until ctx ends. Connections that were accepted
// and carry no request yet are given drainIdle.
func (s *Service) Drain(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.server.Shutdown(ctx) // an error says that ctx ended, which the caller sees too
	}()
	var idle time.Duration
	for begin := kernel.Uptime(); idle < drainIdle; {
		select {
		case <-done:
			return
		case <-ctx.Done():
			return
		case <-time.After(drainPoll):
		}
		now := kernel.Uptime()
		if s.InFlight() > 0 {
			begin = now
		}
		idle = now - begin
	}
}

// Stop closes the listener and the connections.
func (s *Service) Stop(context.Context) error { return s.server.Close() }

// ServeHTTP answers one request.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	requests.Inc()
	s.active.Add(1)
	defer s.active.Add(-1)
	begin := time.Now()
	defer durations.UpdateDuration(begin)
	req := &request{http: r, begin: kernel.Uptime()}
	out, err := s.endpoint(r.Context(), req)
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if err != nil {
		s.refuse(w, req, apierror.From(err))
		return
	}
	answered.Inc()
	s.answer(w, r, out.(*targethost.Response))
}

// match finds the route of the request.
func (s *Service) match(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, in any) (any, error) {
		r := in.(*request)
		if s.refusing.Load() {
			return nil, apierror.New(apierror.Draining, apierror.NotRun, "the node is leaving and could not finish the request")
		}
		if r.table = s.Config.Current(); r.table == nil {
			return nil, apierror.New(apierror.Starting, apierror.NotRun, "the node has no configuration yet")
		}
		route := r.table.Match(r.http.Host, r.http.URL.Path)
		if route == nil {
			return nil, apierror.New(apierror.NoKind, apierror.NotRun, "no route for host %q and path %q in version %d", r.http.Host, r.http.URL.Path, r.table.Version)
		}
		id := r.http.Header.Get(s.Dialect.RequestID)
		if id == "" {
			return nil, apierror.New(apierror.BadRequest, apierror.NotRun, "the request has no %s", s.Dialect.RequestID)
		}
		r.call = &dispatch.Call{
			ID: id, Host: r.http.Host, Method: r.http.Method, URI: r.http.RequestURI, Headers: s.Dialect.EndToEnd(r.http.Header),
			Route: route, Service: route.NextService(), ConfigVersion: r.table.Version,
		}
		return next(ctx, in)
	}
}

// withDeadline ends the request when the caller or the route allows no more
// time.
func (s *Service) withDeadline(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, in any) (any, error) {
		r := in.(*request)
		allowed := defaultDeadline
		if v := r.http.Header.Get(s.Dialect.DeadlineMS); v != "" {
			ms, err := strconv.ParseInt(v, 10, 64)
			if err != nil || ms < 0 {
				return nil, apierror.New(apierror.BadRequest, apierror.NotRun, "%s: %q is no number of ms", s.Dialect.DeadlineMS, v)
			}
			r.call.CallerDeadline = r.begin + time.Duration(ms)*time.Millisecond
			allowed = time.Duration(ms)*time.Millisecond - answerMargin
		}
		if t := r.call.Route.Timeout; t > 0 {
			allowed = min(allowed, t)
		}
		r.call.ArrivedAt, r.call.Deadline = r.begin, r.begin+allowed
		ctx, cancel := context.WithTimeout(ctx, r.call.Deadline-kernel.Uptime())
		out, err := next(ctx, in)
		if err != nil {
			cancel()
			return nil, err
		}
		answer := out.(*targethost.Response)
		if answer.BodyRest == nil {
			cancel()
			return answer, nil
		}
		answer.BodyRest = closehook.New(answer.BodyRest, cancel)
		return answer, nil
	}
}

// readBody reads a short body whole and leaves a long one to be passed on.
func (s *Service) readBody(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, in any) (any, error) {
		r := in.(*request)
		if r.http.Body == http.NoBody {
			return next(ctx, in)
		}
		limit := r.table.Limits.MaxBodyBytes
		if limit > 0 && r.http.ContentLength > limit {
			return nil, apierror.New(apierror.TooLarge, apierror.NotRun, "the body has %d bytes; at most %d are allowed", r.http.ContentLength, limit)
		}
		body, err := io.ReadAll(io.LimitReader(r.http.Body, targethost.MaxBufferedBody))
		if err != nil {
			return nil, apierror.New(apierror.Canceled, apierror.NotRun, "read the body: %w", err)
		}
		r.call.Body = body
		if len(body) == targethost.MaxBufferedBody {
			r.call.BodyRest = r.http.Body
			if limit > 0 {
				r.call.BodyRest = http.MaxBytesReader(nil, r.http.Body, limit-targethost.MaxBufferedBody)
			}
		}
		return next(ctx, in)
	}
}

func (s *Service) send(ctx context.Context, in any) (any, error) {
	answer, f := s.Dispatch.Do(ctx, in.(*request).call)
	if f != nil {
		return nil, f
	}
	return answer, nil
}

// answer passes the target's answer on. An answer that ends early breaks the
// connection, so that it does not look complete.
func (s *Service) answer(w http.ResponseWriter, r *http.Request, a *targethost.Response) {
	h := w.Header()
	for _, f := range a.Headers {
		h[f.Name] = append(h[f.Name], f.Value)
	}
	if id := r.Header.Get(s.Dialect.RequestID); id != "" {
		h[s.Dialect.RequestID] = []string{id}
	}
	if a.BodyRest == nil {
		h["Content-Length"] = []string{strconv.Itoa(len(a.Body))}
		w.WriteHeader(a.Status)
		s.noteCut(r, write(w, a.Body))
		return
	}
	defer a.BodyRest.Close()
	w.WriteHeader(a.Status)
	err := write(w, a.Body)
	if err == nil {
		_, err = io.Copy(w, a.BodyRest)
	}
	if err != nil {
		s.noteCut(r, err)
		panic(http.ErrAbortHandler)
	}
}

func write(w io.Writer, p []byte) error {
	_, err := w.Write(p)
	if errors.Is(err, http.ErrBodyNotAllowed) {
		return nil // the answer to HEAD, or a status without a body
	}
	return err
}

func (s *Service) noteCut(r *http.Request, err error) {
	if err == nil {
		return
	}
	cut.Inc()
	s.Log.Failure.Info().Err(err).Str("event", "answer-cut").Str("request", r.Header.Get(s.Dialect.RequestID)).Msg("the answer did not reach the caller whole")
}

// refuse answers on behalf of the node.
func (s *Service) refuse(w http.ResponseWriter, r *request, f *apierror.Error) {
	id := r.http.Header.Get(s.Dialect.RequestID)
	status := statusOf(f)
	line := s.Log.Failure.Info().Str("event", "refused").Str("request", id).Int("status", status).Str("code", string(f.Code)).
		Str("outcome", string(f.Outcome)).Str("reason", f.Message).Dur("took", kernel.Uptime()-r.begin).Uint64("config", s.Config.Version()).Dur("config_age", s.Config.Age())
	if r.call != nil {
		line = line.Str("route", r.call.Route.Name).Str("service", r.call.Service)
	}
	line.Send()
	h := w.Header()
	if f.Outcome == apierror.NotRun {
		notRun.Inc()
		if status == http.StatusServiceUnavailable {
			h["Retry-After"] = []string{strconv.FormatFloat(retryAfter(f).Seconds(), 'f', 3, 64)}
		}
	} else {
		unknown.Inc()
	}
	if id != "" {
		h[s.Dialect.RequestID] = []string{id}
	}
	body := f.Message + "\n"
	h["Content-Type"] = []string{"text/plain; charset=utf-8"}
	h["Content-Length"] = []string{strconv.Itoa(len(body))}
	w.WriteHeader(status)
	s.noteCut(r.http, write(w, []byte(body)))
}

// statusOf is the HTTP status of a failure. 503 promises that the request did
// not run and never will.
func statusOf(f *apierror.Error) int {
	if f.Outcome == apierror.NotRun {
		switch f.Code {
		case apierror.NoKind, apierror.BadRequest, apierror.TooLarge:
			return f.Status()
		}
		return http.StatusServiceUnavailable
	}
	if f.Code == apierror.DeadlineExceeded || f.Code == apierror.Canceled {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
