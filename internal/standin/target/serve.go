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

// Header fields of answers that let a reader check them.
const (
	HeaderRequestID = "X-Standin-Request-Id"
	HeaderSeed      = "X-Standin-Seed"
	HeaderBytes     = "X-Standin-Bytes"
	// HeaderStraggler is "1" if the job or one of its sub-calls was made a
	// straggler, so that a reader can keep the latency of short work apart.
	HeaderStraggler = "X-Standin-Straggler"
)

// call is one request on its way through the stand-in.
type call struct {
	id     string
	buyer  string
	token  string
	route  *Route
	bytes  int64
	faults Faults
	rec    *Record
	// straggler is set if this job or a sub-call takes StragglerFactor times
	// longer.
	straggler bool
}

// subCallError names the sub-call that failed.
type subCallError struct {
	call   string
	reason string
}

// Error names the sub-call.
func (e *subCallError) Error() string { return fmt.Sprintf("sub-call %s failed: %s", e.call, e.reason) }

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	route := s.cfg.match(r.Method, r.URL.Path)
	if route == nil {
		http.Error(w, fmt.Sprintf("no route for %s %s", r.Method, r.URL.Path), http.StatusNotFound)
		return
	}
	s.enter()
	defer s.leave()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		http.Error(w, "request body was cut", http.StatusBadRequest)
		return
	}
	c := &call{
		id: r.Header.Get(headers.RequestID), buyer: r.Header.Get(headers.ClientAccount), token: r.Header.Get(headers.ContextToken),
		route: route, bytes: route.BodyBytes, faults: s.Faults(),
	}
	if v := r.URL.Query().Get("bytes"); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n < 0 {
			http.Error(w, fmt.Sprintf("bytes %q is not a size", v), http.StatusBadRequest)
			return
		}
		c.bytes = n
	}
	ctx, cancel := s.workContext(r)
	defer cancel()
	c.rec = s.record.receive(c.id, r.Method, r.URL.Path)
	s.execute(ctx, w, c)
}

// workContext ends when the work should stop.
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

func (s *Server) execute(ctx context.Context, w http.ResponseWriter, c *call) {
	if c.faults.Hang {
		<-ctx.Done()
		s.record.end(c.rec, CanceledQueued)
		http.Error(w, "deadline passed before the work began", http.StatusGatewayTimeout)
		return
	}
	ok, err := s.slots.acquire(ctx, s.cfg.Shed || c.faults.Shed)
	switch {
	case err != nil:
		s.record.end(c.rec, CanceledQueued)
		http.Error(w, "deadline passed in the queue", http.StatusGatewayTimeout)
		return
	case !ok:
		s.record.end(c.rec, Shed)
		w.Header().Set(headers.Outcome, string(apierror.NotRun))
		w.Header().Set("Retry-After", "1")
		http.Error(w, "all slots are busy", http.StatusServiceUnavailable)
		return
	}
	defer s.slots.release()
	s.record.start(c.rec)
	var failed *subCallError
	switch err := s.work(ctx, c); {
	case errors.As(err, &failed):
		s.record.end(c.rec, SubCallFailed)
		w.Header().Set(HeaderRequestID, c.id)
		http.Error(w, failed.Error(), http.StatusBadGateway)
	case err != nil:
		s.record.end(c.rec, Canceled)
		http.Error(w, "deadline passed during the work", http.StatusGatewayTimeout)
	default:
		s.answer(ctx, w, c)
	}
}

// work spends the service time, half before and half after the sub-calls.
func (s *Server) work(ctx context.Context, c *call) error {
	total, straggler := c.route.serviceTime(s.cfg.Seed, c.id, &c.faults)
	c.straggler = straggler
	now := time.Now()
	factor := c.faults.factor(now)
	if now.Sub(s.started) < s.cfg.coldStart() {
		factor *= s.cfg.ColdFactor
	}
	total = time.Duration(float64(total) * factor)
	if len(c.route.SubCalls) == 0 {
		return sleep(ctx, total)
	}
	if err := sleep(ctx, total/2); err != nil {
		return err
	}
	for i := range c.route.SubCalls {
		if err := s.subCall(ctx, c, i); err != nil {
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

// answer writes the body in chunks.
func (s *Server) answer(ctx context.Context, w http.ResponseWriter, c *call) {
	if c.faults.FailShare > 0 && share(c.id, c.rec.ReceivedMicros+1) < c.faults.FailShare {
		s.record.end(c.rec, Truncated)
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	contentType, body := "application/octet-stream", io.Reader(NewBody(s.cfg.Seed, c.id))
	if c.route.Text {
		contentType, body = "text/plain; charset=utf-8", newTextBody(s.cfg.Service, c.rec.Method, c.rec.Path, c.id, c.bytes)
	}
	h.Set("Content-Type", contentType)
	h.Set("Content-Length", strconv.FormatInt(c.bytes, 10))
	h.Set(HeaderRequestID, c.id)
	h.Set(HeaderSeed, strconv.FormatUint(s.cfg.Seed, 10))
	h.Set(HeaderBytes, strconv.FormatInt(c.bytes, 10))
	if c.straggler {
		h.Set(HeaderStraggler, "1")
	}
	size := c.bytes
	// The choice depends on the arrival and not only on the id, so that a
	// repeat is not always cut again.
	cut := c.faults.TruncateShare > 0 && share(c.id, c.rec.ReceivedMicros) < c.faults.TruncateShare
	if cut {
		size /= 2
	}
	if err := writeBody(ctx, w, body, size, c.route); err != nil {
		s.record.end(c.rec, Canceled)
		panic(http.ErrAbortHandler)
	}
	if cut {
		// Without the flush a short answer would end before its head was sent.
		_ = http.NewResponseController(w).Flush()
		s.record.end(c.rec, Truncated)
		panic(http.ErrAbortHandler)
	}
	s.record.end(c.rec, Completed)
}

func share(id string, salt int64) float64 {
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

// subCall makes one sub-call with its naive repeats.
func (s *Server) subCall(ctx context.Context, c *call, index int) error {
	sub := &c.route.SubCalls[index]
	path := strings.NewReplacer("{id}", c.id, "{buyer}", c.buyer).Replace(sub.Path)
	var err error
	for try := 0; try <= s.cfg.SubCallRetries; try++ {
		err = s.trySubCall(ctx, c, sub, path)
		s.record.subCall(err != nil)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return &subCallError{sub.Method + " " + path, err.Error()}
}

func (s *Server) trySubCall(ctx context.Context, c *call, sub *SubCall, path string) error {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(s.cfg.SubCallTimeoutMS)*time.Millisecond)
	defer cancel()
	var body io.Reader
	if sub.BodyBytes > 0 {
		body = io.LimitReader(NewBody(s.cfg.Seed, c.id), sub.BodyBytes)
	}
	req, err := http.NewRequestWithContext(ctx, sub.Method, s.cfg.Node+path, body)
	if err != nil {
		return err
	}
	req.ContentLength = sub.BodyBytes
	req.Header.Set(headers.ContextToken, c.token)
	req.Header.Set(headers.RequestID, c.id)
	if c.buyer != "" {
		req.Header.Set(headers.ClientAccount, c.buyer)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	c.straggler = c.straggler || resp.Header.Get(HeaderStraggler) != ""
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return fmt.Errorf("answer was cut: %w", err)
	}
	if resp.StatusCode >= 400 {
		return fmt.Errorf("status %d, error %q", resp.StatusCode, resp.Header.Get(headers.Error))
	}
	return nil
}
