package executor

import (
	"context"
	"maps"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"parsleyturn/internal/kernel"
	"parsleyturn/internal/retry"
	"parsleyturn/internal/wire"
)

// RunningRequest is a request that holds a slot of the target and has not ended.
// Sub-calls inherit its request ID, client account, deadline, priority and a part
// of its retry allowance.
type RunningRequest struct {
	// ContextToken is the value of the header field Parsley-Context.
	ContextToken string
	Request      wire.Request
	Allowance    *retry.Allowance

	ctx      context.Context
	cancel   context.CancelFunc
	deadline time.Duration

	mu             sync.Mutex
	hasSubCalls    bool
	thresholds     map[string]int
	subCallRefused bool
}

// startRunning registers a request that is about to be sent to the target.
func (s *Service) startRunning(parent context.Context, req *wire.Request, allowance *retry.Allowance, deadline time.Duration) *RunningRequest {
	ctx, cancel := context.WithTimeout(parent, deadline-kernel.Uptime())
	r := &RunningRequest{
		ContextToken: strconv.FormatUint(rand.Uint64(), 36) + strconv.FormatUint(rand.Uint64(), 36),
		Request:      *req, Allowance: allowance, ctx: ctx, cancel: cancel, deadline: deadline,
	}
	s.mu.Lock()
	s.running[r.ContextToken] = r
	s.mu.Unlock()
	return r
}

// FindRunning returns the running request with the given context token.
func (s *Service) FindRunning(token string) (*RunningRequest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.running[token]
	return r, ok
}

// Context returns a context that is canceled when the request ends or its
// deadline passes.
func (r *RunningRequest) Context() context.Context { return r.ctx }

// Remaining returns the time left until the deadline.
func (r *RunningRequest) Remaining() time.Duration { return r.deadline - kernel.Uptime() }

// RecordSubCall records that the target made a sub-call. From then on a refusal
// by the target does not prove that the request had no effect.
func (r *RunningRequest) RecordSubCall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hasSubCalls = true
}

// HasSubCalls reports whether the target made a sub-call.
func (r *RunningRequest) HasSubCalls() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hasSubCalls
}

// RecordThreshold records the admission threshold that a node of a downstream
// service reported. The highest one per service is kept.
func (r *RunningRequest) RecordThreshold(service string, threshold int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.thresholds == nil {
		r.thresholds = make(map[string]int)
	}
	r.thresholds[service] = max(r.thresholds[service], threshold)
}

// Thresholds returns, by service, the highest admission threshold that
// sub-calls reported.
func (r *RunningRequest) Thresholds() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.thresholds)
}

// RecordSubCallRefused records that a sub-call was refused because of overload.
func (r *RunningRequest) RecordSubCallRefused() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subCallRefused = true
}

// trailer returns the trailer of the response. It takes the unused retry
// allowance of the request, so a second trailer carries none.
func (r *RunningRequest) trailer() wire.End {
	unused, thresholds := r.Allowance.MoveAll(), r.Thresholds()
	r.mu.Lock()
	defer r.mu.Unlock()
	return wire.End{Allowance: unused, Thresholds: thresholds, RefusedDownstream: r.subCallRefused}
}
