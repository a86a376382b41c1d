package gateway

import (
	"parsleyturn/internal/apierror"
	"parsleyturn/internal/kernel"
)

// adjustOutcome lowers "not run" to "unknown" for a request that may have run when
// it was sent before.
func (s *Service) adjustOutcome(r *Request, apiErr *apierror.Error) *apierror.Error {
	if apiErr.Outcome == apierror.NotRun && (r.retried || r.Ticket != "" || r.Attempt > 1 || s.hasEarlierAttempt(r)) {
		apiErr.Outcome = apierror.Unknown
	}
	return apiErr
}

// hasEarlierAttempt reports whether this node saw an earlier attempt of a request that
// is refused before limitRepeats. Sub-calls are not counted by identity, and
// without a ticket a non-idempotent request is sent to no target.
func (s *Service) hasEarlierAttempt(r *Request) bool {
	if r.counted || r.Loopback && r.ContextToken != "" || r.kind.NonIdempotent && r.Ticket == "" {
		return false
	}
	return s.attempts.Contains(kernel.Uptime(), r.ID)
}
