package target

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleyturn/internal/apierror"
	"parsleyturn/internal/headers"
)

// Header fields with which a client verifies a response.
const (
	HeaderRequestID = "X-Standin-Request-Id"
	HeaderSeed      = "X-Standin-Seed"
	HeaderBytes     = "X-Standin-Bytes"
	// HeaderStraggler is "1" if the request or one of its sub-calls was a
	// straggler, so that a client can report the latency of other requests
	// separately.
	HeaderStraggler = "X-Standin-Straggler"
)

// request is the state of one request while it is processed.
type request struct {
	id            string
	clientAccount string
	token         string
	route         *Route
	bodyBytes     int64
	faults        Faults
	record        *Record
	// straggler is set if the request or one of its sub-calls takes
	// StragglerFactor times longer.
	straggler bool
}

// subCallError is the failure of a sub-call after its last attempt.
type subCallError struct {
	name   string
	reason string
}

// Error returns the method and path of the sub-call and the reason.
func (e *subCallError) Error() string { return fmt.Sprintf("sub-call %s failed: %s", e.name, e.reason) }

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if token := r.Header.Get(headers.ContextToken); token != "" {
		w.Header().Set(headers.ContextToken, token)
	}
	route := s.cfg.match(r.Method, r.URL.Path)
	if route == nil {
		http.Error(w, fmt.Sprintf("no route for %s %s", r.Method, r.URL.Path), http.StatusNotFound)
		return
	}
	s.requestStarted()
	defer s.requestFinished()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		http.Error(w, "request body could not be read completely", http.StatusBadRequest)
		return
	}
	req := &request{
		id: r.Header.Get(headers.RequestID), clientAccount: r.Header.Get(headers.ClientAccount), token: r.Header.Get(headers.ContextToken),
		route: route, bodyBytes: route.BodyBytes, faults: s.Faults(),
	}
	if v := r.URL.Query().Get("bytes"); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n < 0 {
			http.Error(w, fmt.Sprintf("query parameter bytes %q is not a non-negative integer", v), http.StatusBadRequest)
			return
		}
		req.bodyBytes = n
	}
	ctx, cancel := s.workContext(r)
	defer cancel()
	req.record = s.recorder.receive(req.id, r.Method, r.URL.Path)
	s.execute(ctx, w, req)
}

// workContext returns a context that ends when the caller disconnects, unless
// IgnoreCancellation is set, or when the deadline passes, unless IgnoreDeadlines
// is set.
func (s *Server) workContext(r *http.Request) (context.Context, context.CancelFunc) {
	ctx := r.Context()
	if s.cfg.IgnoreCancellation {
		ctx = context.WithoutCancel(ctx)
	}
	ms, err := strconv.ParseInt(r.Header.Get(headers.DeadlineMS), 10, 64)
	if err != nil || s.cfg.IgnoreDeadlines {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
}

func (s *Server) execute(ctx context.Context, w http.ResponseWriter, req *request) {
	if req.faults.Hang {
		<-ctx.Done()
		s.recorder.end(req.record, CanceledQueued)
		http.Error(w, "request canceled or deadline exceeded before processing started", http.StatusGatewayTimeout)
		return
	}
	ok, err := s.slots.acquire(ctx, s.cfg.Shed || req.faults.Shed)
	switch {
	case err != nil:
		s.recorder.end(req.record, CanceledQueued)
		http.Error(w, "request canceled or deadline exceeded in the queue", http.StatusGatewayTimeout)
		return
	case !ok:
		s.recorder.end(req.record, Shed)
		w.Header().Set(headers.Outcome, string(apierror.NotRun))
		w.Header().Set("Retry-After", "1")
		http.Error(w, "all slots are busy", http.StatusServiceUnavailable)
		return
	}
	defer s.slots.release()
	s.recorder.start(req.record)
	var subCallErr *subCallError
	switch err := s.work(ctx, req); {
	case errors.As(err, &subCallErr):
		s.recorder.end(req.record, SubCallFailed)
		w.Header().Set(HeaderRequestID, req.id)
		http.Error(w, subCallErr.Error(), http.StatusBadGateway)
	case err != nil:
		s.recorder.end(req.record, Canceled)
		http.Error(w, "request canceled or deadline exceeded during processing", http.StatusGatewayTimeout)
	default:
		s.respond(ctx, w, req)
	}
}

// work waits for the service time and makes the sub-calls of the route after
// half of it.
func (s *Server) work(ctx context.Context, req *request) error {
	total, straggler := req.route.serviceTime(s.cfg.Seed, req.id, &req.faults)
	req.straggler = straggler
	now := time.Now()
	factor := req.faults.serviceTimeFactor(now)
	if now.Sub(s.started) < s.cfg.coldStart() {
		factor *= s.cfg.ColdFactor
	}
	total = time.Duration(float64(total) * factor)
	if len(req.route.SubCalls) == 0 {
		return sleep(ctx, total)
	}
	if err := sleep(ctx, total/2); err != nil {
		return err
	}
	for i := range req.route.SubCalls {
		if err := s.subCall(ctx, req, i); err != nil {
			return err
		}
	}
	return sleep(ctx, total-total/2)
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// respond sends the response, with the body in chunks, and applies the faults
// that close its connection early.
func (s *Server) respond(ctx context.Context, w http.ResponseWriter, req *request) {
	if req.faults.FailShare > 0 && hashFraction(req.id, req.record.ReceivedMicros+1) < req.faults.FailShare {
		s.recorder.end(req.record, Truncated)
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	contentType, body := "application/octet-stream", io.Reader(NewBody(s.cfg.Seed, req.id))
	if req.route.Text {
		contentType, body = "text/plain; charset=utf-8", newTextBody(s.cfg.Service, req.record.Method, req.record.Path, req.id, req.bodyBytes)
	}
	h.Set("Content-Type", contentType)
	h.Set("Content-Length", strconv.FormatInt(req.bodyBytes, 10))
	h.Set(HeaderRequestID, req.id)
	h.Set(HeaderSeed, strconv.FormatUint(s.cfg.Seed, 10))
	h.Set(HeaderBytes, strconv.FormatInt(req.bodyBytes, 10))
	if req.straggler {
		h.Set(HeaderStraggler, "1")
	}
	size := req.bodyBytes
	// The choice depends on the time of arrival in addition to the ID, so that
	// a retry is not always truncated again.
	truncate := req.faults.TruncateShare > 0 && hashFraction(req.id, req.record.ReceivedMicros) < req.faults.TruncateShare
	if truncate {
		size /= 2
	}
	if err := writeBody(ctx, w, body, size, req.route); err != nil {
		s.recorder.end(req.record, Canceled)
		panic(http.ErrAbortHandler)
	}
	if truncate {
		// Without the flush, the connection of a short response would be
		// closed before the response header is sent.
		_ = http.NewResponseController(w).Flush()
		s.recorder.end(req.record, Truncated)
		panic(http.ErrAbortHandler)
	}
	s.recorder.end(req.record, Completed)
}

// hashFraction maps an ID and a salt to a number in [0, 1).
func hashFraction(id string, salt int64) float64 {
	return float64(xxhash.Sum64String(id+strconv.FormatInt(salt, 10))>>11) / (1 << 53)
}

func writeBody(ctx context.Context, w http.ResponseWriter, body io.Reader, size int64, route *Route) error {
	buf := make([]byte, min(int64(route.ChunkBytes), size))
	delay := time.Duration(route.ChunkDelayMS) * time.Millisecond
	for size > 0 {
		n := min(int64(len(buf)), size)
		if _, err := io.ReadFull(body, buf[:n]); err != nil {
			return err
		}
		if _, err := w.Write(buf[:n]); err != nil {
			return err
		}
		size -= n
		if delay > 0 && size > 0 {
			_ = http.NewResponseController(w).Flush()
			if err := sleep(ctx, delay); err != nil {
				return err
			}
		}
	}
	return nil
}

// subCall makes one sub-call, with up to SubCallRetries retries.
func (s *Server) subCall(ctx context.Context, req *request, index int) error {
	sub := &req.route.SubCalls[index]
	path := strings.NewReplacer("{id}", req.id, "{buyer}", req.clientAccount).Replace(sub.Path)
	var err error
	for attempt := 0; attempt <= s.cfg.SubCallRetries; attempt++ {
		err = s.sendSubCall(ctx, req, sub, path)
		s.recorder.countSubCall(err != nil)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return &subCallError{sub.Method + " " + path, err.Error()}
}

func (s *Server) sendSubCall(ctx context.Context, parent *request, sub *SubCall, path string) error {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(s.cfg.SubCallTimeoutMS)*time.Millisecond)
	defer cancel()
	var body io.Reader
	if sub.BodyBytes > 0 {
		body = io.LimitReader(NewBody(s.cfg.Seed, parent.id), sub.BodyBytes)
	}
	req, err := http.NewRequestWithContext(ctx, sub.Method, s.cfg.Node+path, body)
	if err != nil {
		return err
	}
	req.ContentLength = sub.BodyBytes
	req.Header.Set(headers.ContextToken, parent.token)
	req.Header.Set(headers.RequestID, parent.id)
	if parent.clientAccount != "" {
		req.Header.Set(headers.ClientAccount, parent.clientAccount)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	parent.straggler = parent.straggler || resp.Header.Get(HeaderStraggler) != ""
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return fmt.Errorf("read response body: %w", err)
	}
	if resp.StatusCode >= 400 {
		return fmt.Errorf("status %d, error %q", resp.StatusCode, resp.Header.Get(headers.Error))
	}
	return nil
}
