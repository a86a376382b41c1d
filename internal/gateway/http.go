package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	kithttp "github.com/go-kit/kit/transport/http"

	"parsleyturn/internal/apierror"
	"parsleyturn/internal/bytebudget"
	"parsleyturn/internal/callerconn"
	"parsleyturn/internal/connlimit"
	"parsleyturn/internal/headers"
	"parsleyturn/internal/listener"
)

const (
	maxHeaderBytes    = 32 << 10
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	// bodyIdleTimeout bounds the wait for more bytes of a request body. Without
	// it a caller that stops sending delays a drain until the drain's time
	// limit.
	bodyIdleTimeout = 10 * time.Second
	copyBufferSize  = 32 << 10
	// maxBodyBytes bounds the request bodies that are in memory together, unless one
	// of MaxBodyBytes needs more while its buffer grows.
	maxBodyBytes = 32 << 20
)

// Start starts serving callers on CallerAddress and the local target on
// TargetListenAddress, a loopback address.
func (s *Service) Start(context.Context) error {
	s.callerServer = s.server(s.handler(false))
	mux := http.NewServeMux()
	mux.Handle("/parsley/target", s.targetStatus)
	mux.Handle("/", s.handler(true))
	s.loopbackServer = s.server(mux)
	var err error
	if s.loopbackListener, err = s.serve(s.loopbackServer, s.TargetListenAddress, "target", s.TargetConnections); err != nil {
		return err
	}
	s.callerListener, err = s.serve(s.callerServer, s.CallerAddress, "callers", s.CallerConnections)
	return err
}

func (s *Service) server(h http.Handler) *http.Server {
	return &http.Server{Handler: h, MaxHeaderBytes: maxHeaderBytes}
}

func (s *Service) serve(server *http.Server, address, name string, limit connlimit.Config) (*callerconn.Listener, error) {
	base, err := listener.Listen(address, name, s.Log)
	if err != nil {
		return nil, err
	}
	base.OnLost = s.OnListenerLost
	limits := callerconn.Limits{IdleTimeout: idleTimeout, HeaderTimeout: readHeaderTimeout, MaxHeadBytes: maxHeaderBytes}
	l := callerconn.New(base, callerconn.Options{Name: name, Limit: limit, Limits: func() callerconn.Limits { return limits }, Log: s.Log})
	l.Attach(server)
	go func() { _ = server.Serve(l) }() // the listener reports its loss
	return l, nil
}

// StopCallers closes the caller listener and waits until the requests in flight
// are answered or ctx ends.
func (s *Service) StopCallers(ctx context.Context) error { return s.callerServer.Shutdown(ctx) }

// Stop closes both listeners and waits until the requests in flight are answered
// or ctx ends.
func (s *Service) Stop(ctx context.Context) error {
	err := errors.Join(s.callerServer.Shutdown(ctx), s.loopbackServer.Shutdown(ctx))
	s.callerListener.Stop()
	s.loopbackListener.Stop()
	return err
}

// InFlight returns the number of requests in flight, including sub-calls.
func (s *Service) InFlight() int { return int(s.inFlight.Load()) }

// CallerRequests returns the number of requests in flight that come from
// callers.
func (s *Service) CallerRequests() int { return int(s.callerRequests.Load()) }

// handler returns the HTTP handler for requests of callers or, if loopback is
// set, of the local target.
func (s *Service) handler(loopback bool) http.Handler {
	server := kithttp.NewServer(s.endpoint, s.decoder(loopback), encodeResult,
		kithttp.ServerErrorEncoder(encodeError), kithttp.ServerBefore(withHTTPRequest))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		control := http.NewResponseController(w)
		// The connection may still have the deadline of the previous request.
		_ = control.SetWriteDeadline(time.Time{})
		if r.Body != http.NoBody {
			r.Body = &idleTimeoutBody{r.Body, control, s.bodyTimeout}
		}
		if !loopback {
			s.callerRequests.Add(1)
			defer s.callerRequests.Add(-1)
		}
		ctx, hold := bytebudget.NewHold(r.Context())
		defer hold.End()
		err := callerconn.Begin(ctx)
		if errors.Is(err, callerconn.ErrClosed) {
			panic(http.ErrAbortHandler)
		}
		if !callerconn.KeepAlive(ctx) {
			w.Header().Set("Connection", "close")
		}
		r = r.WithContext(ctx)
		if err != nil {
			refusal := apierror.New(apierror.Overloaded, apierror.NotRun, "%w", err)
			refusal.RetryAfter = time.Second
			encodeError(withHTTPRequest(ctx, r), refusal, w)
			return
		}
		server.ServeHTTP(w, r)
	})
}

// idleTimeoutBody is a request body whose Read fails if no data arrives within
// the timeout.
type idleTimeoutBody struct {
	io.ReadCloser
	control *http.ResponseController
	timeout time.Duration
}

func (b *idleTimeoutBody) Read(p []byte) (int, error) {
	_ = b.control.SetReadDeadline(time.Now().Add(b.timeout))
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		// The server continues to read in order to detect that the caller
		// disconnects. After other errors the deadline stays, so that the
		// server does not wait for the rest of the body.
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

type httpRequestKey struct{}

// withHTTPRequest stores the HTTP request in the context, so that encodeError
// can read the request ID from its header.
func withHTTPRequest(ctx context.Context, r *http.Request) context.Context {
	return context.WithValue(ctx, httpRequestKey{}, r)
}

// decoder returns a function that decodes a request. It buffers the complete
// body, so that the node can send the request again in a retry.
func (s *Service) decoder(loopback bool) kithttp.DecodeRequestFunc {
	return func(ctx context.Context, hr *http.Request) (any, error) {
		r := &Request{Loopback: loopback, Method: hr.Method, Path: hr.URL.RequestURI(), Headers: headers.ToWire(hr.Header)}
		err := r.parseHeaders(hr.Header)
		if r.ID == "" {
			r.ID = newRequestID()
		}
		hr.Header.Set(headers.RequestID, r.ID)
		if err != nil {
			badRequests.Inc()
			return nil, s.adjustOutcome(r, apierror.New(apierror.BadRequest, apierror.NotRun, "%w", err))
		}
		if hr.ContentLength > s.MaxBodyBytes {
			badRequests.Inc()
			return nil, s.adjustOutcome(r, apierror.New(apierror.TooLarge, apierror.NotRun, "request body has %d bytes; at most %d are allowed", hr.ContentLength, s.MaxBodyBytes))
		}
		body, free, err := s.bodies.Read(hr.Body, hr.ContentLength, s.MaxBodyBytes+1)
		bytebudget.Attach(ctx, free)
		if errors.Is(err, bytebudget.ErrExhausted) {
			overloaded := apierror.New(apierror.Overloaded, apierror.NotRun, "%w", err)
			overloaded.RetryAfter = time.Second
			return nil, s.adjustOutcome(r, overloaded)
		}
		if err != nil {
			badRequests.Inc()
			return nil, s.adjustOutcome(r, apierror.New(apierror.BadRequest, apierror.NotRun, "request body is incomplete: %w", err))
		}
		if int64(len(body)) > s.MaxBodyBytes {
			badRequests.Inc()
			return nil, s.adjustOutcome(r, apierror.New(apierror.TooLarge, apierror.NotRun, "request body is longer than %d bytes", s.MaxBodyBytes))
		}
		r.Body = body
		return r, nil
	}
}

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferSize); return &b }}

// encodeResult streams the response. If reading or writing the body fails, the
// connection is aborted, so that the caller does not take a truncated body for a
// complete one.
func encodeResult(_ context.Context, w http.ResponseWriter, response any) error {
	r := response.(*Result)
	defer r.Body.Close()
	// Without a write deadline a caller that stops reading would occupy a slot
	// of the target, since the request's context does not cancel the write.
	_ = http.NewResponseController(w).SetWriteDeadline(r.deadline)
	h := w.Header()
	for _, f := range r.Headers {
		h.Add(f.Name, f.Value)
	}
	h.Set(headers.Outcome, string(apierror.Answered))
	h.Set(headers.RequestID, r.ID)
	h.Set(headers.ConfigVersion, strconv.FormatUint(r.ConfigVersion, 10))
	if r.NextTicket != "" {
		h.Set(headers.Ticket, r.NextTicket)
	}
	w.WriteHeader(r.Status)
	if err := copyBody(w, r.Body); err != nil {
		truncatedBodies.Inc()
		// Many HTTP clients silently resend a GET request if the connection
		// closes before the response head, so the head must be sent first.
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	return nil
}

// copyBody copies the body. Before each write but the first it flushes the data
// written before, so that a streamed body is at most one read behind and does
// not wait for a full buffer.
func copyBody(w http.ResponseWriter, body io.Reader) error {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	flusher, _ := w.(http.Flusher)
	first := true
	for {
		n, err := body.Read(*buf)
		if n > 0 {
			if !first && flusher != nil {
				flusher.Flush()
			}
			first = false
			if _, werr := w.Write((*buf)[:n]); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// encodeError writes an error response that the node itself generates.
func encodeError(ctx context.Context, err error, w http.ResponseWriter) {
	apiErr := apierror.From(err)
	id := ""
	if r, ok := ctx.Value(httpRequestKey{}).(*http.Request); ok {
		id = r.Header.Get(headers.RequestID)
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headers.Outcome, string(apiErr.Outcome))
	h.Set(headers.Error, string(apiErr.Code))
	h.Set(headers.RequestID, id)
	if apiErr.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int((apiErr.RetryAfter+time.Second-1)/time.Second)))
	}
	if apiErr.Ticket != "" {
		h.Set(headers.Ticket, apiErr.Ticket)
	}
	w.WriteHeader(apiErr.Status())
	_ = json.NewEncoder(w).Encode(apiErr.Body(id))
}
