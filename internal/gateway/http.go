package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	kithttp "github.com/go-kit/kit/transport/http"

	"parsleyturn/internal/apierror"
	"parsleyturn/internal/headers"
)

const (
	maxHeaderBytes    = 32 << 10
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	// bodyIdleTimeout bounds the silence within a request body. Without it a
	// caller that stopped sending held up a drain until its limit.
	bodyIdleTimeout = 10 * time.Second
	copyBufferSize  = 32 << 10
)

// Start listens on both sides.
func (s *Service) Start(context.Context) error {
	s.callers = s.server(s.handler(false))
	mux := http.NewServeMux()
	mux.Handle("/parsley/target", s.targetStatus)
	mux.Handle("/", s.handler(true))
	s.loopback = s.server(mux)
	if err := serve(s.loopback, s.TargetAddress); err != nil {
		return fmt.Errorf("loopback side: %w", err)
	}
	if err := serve(s.callers, s.CallerAddress); err != nil {
		return fmt.Errorf("caller side: %w", err)
	}
	return nil
}

func (s *Service) server(h http.Handler) *http.Server {
	return &http.Server{Handler: h, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
}

func serve(srv *http.Server, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w; free the address or change the settings", err)
	}
	go func() { _ = srv.Serve(l) }()
	return nil
}

// StopCallers refuses new connections of callers and waits until the requests
// in flight are answered or ctx ends.
func (s *Service) StopCallers(ctx context.Context) error { return s.callers.Shutdown(ctx) }

// Stop closes both sides.
func (s *Service) Stop(ctx context.Context) error {
	return errors.Join(s.callers.Shutdown(ctx), s.loopback.Shutdown(ctx))
}

// InFlight is the number of requests being answered, sub-calls included.
func (s *Service) InFlight() int { return int(s.inFlight.Load()) }

// CallerRequests is the number of requests of callers being answered.
func (s *Service) CallerRequests() int { return int(s.callerRequests.Load()) }

// handler serves requests through the go-kit endpoint.
func (s *Service) handler(loopback bool) http.Handler {
	server := kithttp.NewServer(s.endpoint, s.decoder(loopback), encodeResult,
		kithttp.ServerErrorEncoder(encodeError), kithttp.ServerBefore(withHTTPRequest))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		control := http.NewResponseController(w)
		// The connection may have the deadline of the request before.
		_ = control.SetWriteDeadline(time.Time{})
		if r.Body != http.NoBody {
			r.Body = &idleTimeoutBody{r.Body, control, s.bodyTimeout}
		}
		if !loopback {
			s.callerRequests.Add(1)
			defer s.callerRequests.Add(-1)
		}
		server.ServeHTTP(w, r)
	})
}

// idleTimeoutBody fails a read of a request body that gets nothing for too long.
type idleTimeoutBody struct {
	io.ReadCloser
	control *http.ResponseController
	timeout time.Duration
}

func (b *idleTimeoutBody) Read(p []byte) (int, error) {
	_ = b.control.SetReadDeadline(time.Now().Add(b.timeout))
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		// The server goes on reading to notice that the caller leaves. After
		// other errors the deadline keeps it from waiting for the rest.
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

type httpRequestKey struct{}

// withHTTPRequest keeps the request's identity for encodeError.
func withHTTPRequest(ctx context.Context, r *http.Request) context.Context {
	return context.WithValue(ctx, httpRequestKey{}, r)
}

// decoder reads a request whole, so that it can be repeated.
func (s *Service) decoder(loopback bool) kithttp.DecodeRequestFunc {
	return func(_ context.Context, hr *http.Request) (any, error) {
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
		body, err := io.ReadAll(io.LimitReader(hr.Body, s.MaxBodyBytes+1))
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

// encodeResult streams the answer. A body that is cut on the way aborts the
// connection, so that the caller cannot take it for whole.
func encodeResult(_ context.Context, w http.ResponseWriter, response any) error {
	r := response.(*Result)
	defer r.Body.Close()
	// Without a deadline a caller that stops reading keeps a slot of the
	// target, since the write does not end with the request's context.
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
		// Many HTTP clients silently repeat a GET whose connection closed
		// before the head of the answer, so the head must go out first.
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	return nil
}

// copyBody copies and flushes whenever the source has nothing more at hand.
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

// encodeError writes an answer made by the system.
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
