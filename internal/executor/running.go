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

// RunningRequest is a request that the target works on. Sub-calls inherit from it.
type RunningRequest struct {
	// ContextToken is the value of Parsley-Context.
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

// FindRunning returns the running request of a sub-call.
func (s *Service) FindRunning(token string) (*RunningRequest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.running[token]
	return r, ok
}

// Context ends with the request.
func (r *RunningRequest) Context() context.Context { return r.ctx }

// Remaining is the time left.
func (r *RunningRequest) Remaining() time.Duration { return r.deadline - kernel.Uptime() }

// RecordSubCall records that the target made a sub-call. After that a refusal
// by the target proves nothing about the effects of the request.
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

// RecordThreshold records the lowest priority that a service further down
// admits.
func (r *RunningRequest) RecordThreshold(service string, threshold int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.thresholds == nil {
		r.thresholds = make(map[string]int)
	}
	r.thresholds[service] = max(r.thresholds[service], threshold)
}

// Thresholds returns the highest threshold that sub-calls met, by service.
func (r *RunningRequest) Thresholds() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.thresholds)
}

// RecordSubCallRefused records that a sub-call was refused for overload.
func (r *RunningRequest) RecordSubCallRefused() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subCallRefused = true
}

// trailer is the trailer of the answer.
func (r *RunningRequest) trailer() wire.End {
	unused, thresholds := r.Allowance.MoveAll(), r.Thresholds()
	r.mu.Lock()
	defer r.mu.Unlock()
	return wire.End{Allowance: unused, Thresholds: thresholds, RefusedDeep: r.subCallRefused}
}
