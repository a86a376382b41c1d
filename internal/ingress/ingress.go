// Package ingress accepts HTTP requests from the callers and the target on the
// node's VM and returns the responses.
//
// It is the entry of a node on the users' platform (package meshnode); package
// gateway is that of a node with the product's own interface.
package ingress

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/kit/endpoint"

	"parsleyturn/internal/apierror"
	"parsleyturn/internal/bytebudget"
	"parsleyturn/internal/callerconn"
	"parsleyturn/internal/closehook"
	"parsleyturn/internal/configwatch"
	"parsleyturn/internal/connlimit"
	"parsleyturn/internal/dispatch"
	"parsleyturn/internal/eventlog"
	"parsleyturn/internal/headers"
	"parsleyturn/internal/kernel"
	"parsleyturn/internal/listener"
	"parsleyturn/internal/routetable"
	"parsleyturn/internal/targethost"
)

// Name is the name of the service in the kernel.
const Name = "ingress"

const (
	// Limits that apply until a configuration names others.
	headerTimeout  = 5 * time.Second
	idleTimeout    = 75 * time.Second
	maxHeaderBytes = 32 << 10
	// maxHeaderBytesLimit bounds the maxHeaderBytes of a configuration. The head of a
	// request has to fit into a frame of a link.
	maxHeaderBytesLimit = 56 << 10
	// defaultDeadline is the time limit of requests without one from the caller.
	// The timeout of the route applies instead if it is shorter.
	defaultDeadline = 10 * time.Second
	// drainQuietPeriod is the time without requests after which draining ends.
	// It is longer than the time from accepting a connection to receiving its
	// first request.
	drainQuietPeriod  = 200 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
	// responseMargin is the part of the caller's time limit that is reserved
	// for sending the response back.
	responseMargin = 5 * time.Millisecond
	// maxBodyBytes bounds the request bodies, or their first parts, that are in memory
	// together.
	maxBodyBytes = 16 << 20
)

var (
	requests        = metrics.NewCounter(`parsley_ingress_requests_total`)
	notRun          = metrics.NewCounter(`parsley_ingress_answers_total{outcome="not-run"}`)
	unknown         = metrics.NewCounter(`parsley_ingress_answers_total{outcome="unknown"}`)
	answered        = metrics.NewCounter(`parsley_ingress_answers_total{outcome="answered"}`)
	truncatedBodies = metrics.NewCounter(`parsley_ingress_bodies_cut_total`)
	callersLeft     = metrics.NewCounter(`parsley_ingress_callers_left_total`)
	durations       = metrics.NewHistogram(`parsley_ingress_seconds`)
)

// Service accepts requests over HTTP.
type Service struct {
	kernel.Base
	Address  string
	Dialect  *headers.Dialect
	Config   *configwatch.Service
	Dispatch *dispatch.Service
	Log      eventlog.Log
	// Connections is the number of connections of callers.
	Connections connlimit.Config
	// OnListenerLost is called if no more connections can be accepted.
	OnListenerLost func(err error)

	listener         *callerconn.Listener
	server           *http.Server
	endpoint         endpoint.Endpoint
	bodies           *bytebudget.Budget
	inFlight         atomic.Int64
	closeConnections atomic.Bool
	refuseRequests   atomic.Bool
	// endsAt is the uptime at which the process ends, or 0 if it is not stopping.
	endsAt atomic.Int64
	// cancelRequests cancels the requests in flight.
	cancelRequests context.CancelFunc
}

// request is a request that passes through the endpoint chain.
type request struct {
	http  *http.Request
	begin time.Duration
	call  *dispatch.Call
	table *routetable.Table
}

func (s *Service) Provision(*kernel.Kernel) error {
	s.bodies = bytebudget.New(maxBodyBytes)
	s.endpoint = endpoint.Chain(s.matchRoute, s.withDeadline, s.readBody)(s.dispatchCall)
	var base context.Context
	base, s.cancelRequests = context.WithCancel(context.Background())
	s.server = &http.Server{
		Handler: s, MaxHeaderBytes: maxHeaderBytesLimit,
		BaseContext: func(net.Listener) context.Context { return base },
	}
	return nil
}

func (s *Service) Start(context.Context) error {
	base, err := listener.Listen(s.Address, "callers", s.Log.System)
	if err != nil {
		return err
	}
	base.OnLost = s.OnListenerLost
	s.listener = callerconn.New(base, callerconn.Options{Name: "callers", Limit: s.Connections, Limits: s.limits, Log: s.Log.System})
	s.listener.Attach(s.server)
	go func() { _ = s.server.Serve(s.listener) }() // the listener reports its loss
	return nil
}

// limits returns the limits of the configuration in force for connections.
func (s *Service) limits() callerconn.Limits {
	l := callerconn.Limits{IdleTimeout: idleTimeout, HeaderTimeout: headerTimeout, MaxHeadBytes: maxHeaderBytes}
	t := s.Config.Current()
	if t == nil {
		return l
	}
	l.IdleTimeout = cmp.Or(t.Limits.IdleTimeout, l.IdleTimeout)
	l.HeaderTimeout = cmp.Or(t.Limits.HeaderTimeout, l.HeaderTimeout)
	l.MaxHeadBytes = min(cmp.Or(t.Limits.MaxHeaderBytes, l.MaxHeadBytes), maxHeaderBytesLimit)
	return l
}

// CloseConnections makes every further response close its connection.
func (s *Service) CloseConnections() { s.closeConnections.Store(true) }

// EndAt sets the uptime at which the process ends. Non-idempotent requests that
// may take longer are refused from then on: the caller of one that is cut off
// could not send it again.
func (s *Service) EndAt(at time.Duration) { s.endsAt.Store(int64(at)) }

// CancelRequests ends the requests in flight with an error response.
func (s *Service) CancelRequests() { s.cancelRequests() }

// RefuseRequests makes the service refuse every further request.
func (s *Service) RefuseRequests() { s.refuseRequests.Store(true) }

// InFlight returns the number of requests whose response is not yet complete.
func (s *Service) InFlight() int { return int(s.inFlight.Load()) }

// Drain closes the listener and the idle connections and waits until no request
// has been in flight for drainQuietPeriod, at most until ctx ends. Connections
// that were accepted but carry no request yet can send one in that period.
func (s *Service) Drain(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.server.Shutdown(ctx) // returns an error only if ctx ended, which the caller can check
	}()
	var idle time.Duration
	for begin := kernel.Uptime(); idle < drainQuietPeriod; {
		select {
		case <-done:
			return
		case <-ctx.Done():
			return
		case <-time.After(drainPollInterval):
		}
		now := kernel.Uptime()
		if s.InFlight() > 0 {
			begin = now
		}
		idle = now - begin
	}
}

// Stop closes the listener and the connections.
func (s *Service) Stop(context.Context) error {
	err := s.server.Close()
	s.listener.Stop()
	return err
}

func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	requests.Inc()
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	begin := time.Now()
	defer durations.UpdateDuration(begin)
	req := &request{http: r, begin: kernel.Uptime()}
	err := callerconn.Begin(r.Context())
	if errors.Is(err, callerconn.ErrClosed) {
		panic(http.ErrAbortHandler)
	}
	var out any
	if err == nil {
		out, err = s.endpoint(r.Context(), req)
	} else {
		err = apierror.New(apierror.Overloaded, apierror.NotRun, "%w", err)
	}
	if s.closeConnections.Load() || !callerconn.KeepAlive(r.Context()) {
		w.Header().Set("Connection", "close")
	}
	if err != nil {
		s.writeError(w, req, apierror.From(err))
		return
	}
	answered.Inc()
	s.writeResponse(w, r, out.(*targethost.Response))
}

func (s *Service) matchRoute(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, in any) (any, error) {
		r := in.(*request)
		if s.refuseRequests.Load() {
			return nil, apierror.New(apierror.Draining, apierror.NotRun, "the node is shutting down and could not finish the request")
		}
		if r.table = s.Config.Current(); r.table == nil {
			return nil, apierror.New(apierror.Starting, apierror.NotRun, "the node has no configuration yet")
		}
		// As it was sent, so that an escaped slash does not separate segments.
		path := r.http.URL.EscapedPath()
		route := r.table.Match(r.http.Host, path)
		if route == nil {
			return nil, apierror.New(apierror.NoKind, apierror.NotRun, "no route for host %q and path %q in configuration version %d", r.http.Host, path, r.table.Version)
		}
		id := r.http.Header.Get(s.Dialect.RequestID)
		if id == "" {
			return nil, apierror.New(apierror.BadRequest, apierror.NotRun, "the request has no header %s", s.Dialect.RequestID)
		}
		r.call = &dispatch.Call{
			ID: id, Host: r.http.Host, Method: r.http.Method, URI: r.http.RequestURI, Headers: s.Dialect.EndToEnd(r.http.Header),
			Route: route, Service: route.NextService(), ConfigVersion: r.table.Version,
		}
		return next(ctx, in)
	}
}

// withDeadline limits the request to the time that the caller and the route
// allow.
func (s *Service) withDeadline(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, in any) (any, error) {
		r := in.(*request)
		allowed := defaultDeadline
		if v := r.http.Header.Get(s.Dialect.DeadlineMS); v != "" {
			ms, err := strconv.ParseInt(v, 10, 64)
			if err != nil || ms < 0 {
				return nil, apierror.New(apierror.BadRequest, apierror.NotRun, "header %s: %q is not a number of milliseconds", s.Dialect.DeadlineMS, v)
			}
			r.call.CallerDeadline = r.begin + time.Duration(ms)*time.Millisecond
			allowed = time.Duration(ms)*time.Millisecond - responseMargin
		}
		if t := r.call.Route.Timeout; t > 0 {
			allowed = min(allowed, t)
		}
		r.call.ArrivedAt, r.call.Deadline = r.begin, r.begin+allowed
		if end := time.Duration(s.endsAt.Load()); end > 0 && r.call.Deadline > end && !r.call.Route.Idempotent {
			return nil, apierror.New(apierror.Draining, apierror.NotRun, "the node is shutting down and might not finish the request")
		}
		ctx, cancel := context.WithTimeout(ctx, r.call.Deadline-kernel.Uptime())
		out, err := next(ctx, in)
		if err != nil {
			cancel()
			return nil, err
		}
		response := out.(*targethost.Response)
		if response.BodyRest == nil {
			cancel()
			return response, nil
		}
		response.BodyRest = closehook.New(response.BodyRest, cancel)
		return response, nil
	}
}

// readBody reads a short body completely. The rest of a long one is streamed to
// the target.
func (s *Service) readBody(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, in any) (any, error) {
		r := in.(*request)
		if r.http.Body == http.NoBody {
			return next(ctx, in)
		}
		limit := r.table.Limits.MaxBodyBytes
		if limit > 0 && r.http.ContentLength > limit {
			return nil, apierror.New(apierror.TooLarge, apierror.NotRun, "the request body has %d bytes; at most %d are allowed", r.http.ContentLength, limit)
		}
		body, free, err := s.bodies.Read(r.http.Body, r.http.ContentLength, targethost.MaxBufferedBody)
		switch {
		case errors.Is(err, bytebudget.ErrExhausted):
			return nil, apierror.New(apierror.Overloaded, apierror.NotRun, "%w", err)
		case err != nil:
			return nil, apierror.New(apierror.Canceled, apierror.NotRun, "read the request body: %w", err)
		}
		defer free()
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

func (s *Service) dispatchCall(ctx context.Context, in any) (any, error) {
	if err := callerconn.Check(ctx); err != nil {
		callersLeft.Inc()
		return nil, apierror.New(apierror.Canceled, apierror.NotRun, "%w", err)
	}
	response, f := s.Dispatch.Do(ctx, in.(*request).call)
	if f != nil {
		return nil, f
	}
	return response, nil
}

// writeResponse forwards the target's response. If the response ends early, the
// connection is aborted, so that the response does not look complete.
func (s *Service) writeResponse(w http.ResponseWriter, r *http.Request, response *targethost.Response) {
	h := w.Header()
	for _, f := range response.Headers {
		h[f.Name] = append(h[f.Name], f.Value)
	}
	if id := r.Header.Get(s.Dialect.RequestID); id != "" {
		h[s.Dialect.RequestID] = []string{id}
	}
	if response.BodyRest == nil {
		h["Content-Length"] = []string{strconv.Itoa(len(response.Body))}
		w.WriteHeader(response.Status)
		s.logWriteError(r, write(w, response.Body))
		return
	}
	defer response.BodyRest.Close()
	w.WriteHeader(response.Status)
	err := write(w, response.Body)
	if err == nil {
		_, err = io.Copy(w, response.BodyRest)
	}
	if err != nil {
		s.logWriteError(r, err)
		panic(http.ErrAbortHandler)
	}
}

func write(w io.Writer, p []byte) error {
	_, err := w.Write(p)
	if errors.Is(err, http.ErrBodyNotAllowed) {
		return nil // response to HEAD, or status without a body
	}
	return err
}

func (s *Service) logWriteError(r *http.Request, err error) {
	if err == nil {
		return
	}
	truncatedBodies.Inc()
	s.Log.Failure.Info().Err(err).Str("event", "answer-cut").Str("request", r.Header.Get(s.Dialect.RequestID)).Msg("response could not be sent completely to the caller")
}

// writeError sends an error response of the node itself.
func (s *Service) writeError(w http.ResponseWriter, r *request, f *apierror.Error) {
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
	s.logWriteError(r.http, write(w, []byte(body)))
}

// statusOf returns the HTTP status of an error. 503 guarantees that the request
// was not run and will not be run. So do the 4xx statuses of requests that match
// no route, are malformed or are too large.
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
