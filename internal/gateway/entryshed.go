package gateway

import (
	"context"
	"time"

	"github.com/go-kit/kit/endpoint"

	"parsleyturn/internal/apierror"
	"parsleyturn/internal/entryshed"
	"parsleyturn/internal/kernel"
	"parsleyturn/internal/policy"
	"parsleyturn/internal/wire"
)

// shedEarly refuses requests of callers that a downstream service would probably
// refuse, before any target does work for them. Requests with a ticket pass,
// since the ticket was issued when the call chain had capacity, and so do
// sub-calls.
func (s *Service) shedEarly(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		r := request.(*Request)
		if r.parent != nil || r.Ticket != "" {
			return next(ctx, request)
		}
		if s.wouldBeRefused(r.kind) {
			shedAtEntry.Inc()
			apiErr := apierror.New(apierror.Overloaded, apierror.NotRun, "a service that requests of kind %q depend on sheds requests of priority %d", r.kind.Name, r.kind.Priority)
			apiErr.RetryAfter = time.Second
			return nil, s.adjustOutcome(r, apiErr)
		}
		return next(ctx, request)
	}
}

const (
	// dependencyProbability is the fraction of the call chains of a kind that
	// must use a service before its load in this node's balancer can cause a
	// refusal.
	dependencyProbability = 0.9
	// entryProbeProbability is the fraction of the requests that pass without a
	// check of the balancer, so that responses keep reporting the load of these
	// services.
	entryProbeProbability = 0.03
)

// wouldBeRefused reports whether a request of the kind would probably be refused
// downstream. It uses the thresholds that earlier call chains of the kind
// reported, and the load that the balancer of this node knows of the services
// on which the kind depends.
func (s *Service) wouldBeRefused(kind policy.Kind) bool {
	now := kernel.Uptime()
	s.mu.Lock()
	decision := s.entryShed.Decide(now, s.rng, kind.Name, kind.Priority)
	services := s.entryShed.Dependencies(now, kind.Name, dependencyProbability)
	probe := s.rng.Float64() < entryProbeProbability
	s.mu.Unlock()
	if decision == entryshed.Refuse {
		return true
	}
	if decision == entryshed.Probe || probe {
		return false
	}
	for _, service := range services {
		if s.router.AllShedding(service, kind.Priority) {
			return true
		}
	}
	return false
}

// observeChain records the admission thresholds of the services that the
// sub-calls of a request used, and whether one of the sub-calls was refused.
func (s *Service) observeChain(r *Request, end wire.End) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entryShed.Observe(kernel.Uptime(), r.kind.Name, r.kind.Priority, end.Thresholds, end.RefusedDownstream)
}
