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

// shedEarly refuses what would be refused deep in the chain, before any target
// works on it. A ticket was issued when the chain had room, so its request is
// let through.
func (s *Service) shedEarly(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		r := request.(*Request)
		if r.parent != nil || r.Ticket != "" {
			return next(ctx, request)
		}
		if s.wouldBeRefused(r.kind) {
			shedAtEntry.Inc()
			apiErr := apierror.New(apierror.Overloaded, apierror.NotRun, "a service that requests of kind %q depend on sheds priority %d", r.kind.Name, r.kind.Priority)
			apiErr.RetryAfter = time.Second
			return nil, s.adjustOutcome(r, apiErr)
		}
		return next(ctx, request)
	}
}

// Requests are refused at the entry for a service that nearly all chains of
// their kind meet; a few are let through, so that answers keep coming.
const (
	dependencyProbability = 0.9
	entryProbeProbability = 0.03
)

// wouldBeRefused decides whether a request of a kind would be refused further
// down, by what its own chains met and by what this node's calls to the
// services they depend on met.
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

// observeChain learns what the sub-calls of a request met.
func (s *Service) observeChain(r *Request, end wire.End) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entryShed.Observe(kernel.Uptime(), r.kind.Name, r.kind.Priority, end.Thresholds, end.RefusedDownstream)
}
