package gateway

import (
	"parsleyturn/internal/apierror"
	"parsleyturn/internal/kernel"
)

// adjustOutcome changes the outcome NotRun to Unknown for a request of which an
// earlier attempt may have run.
func (s *Service) adjustOutcome(r *Request, apiErr *apierror.Error) *apierror.Error {
	if apiErr.Outcome == apierror.NotRun && (r.retried || r.Ticket != "" || r.Attempt > 1 || s.hasEarlierAttempt(r)) {
		apiErr.Outcome = apierror.Unknown
	}
	return apiErr
}

// hasEarlierAttempt reports whether this node has counted an earlier attempt of
// a request that is refused before it reaches limitRetries. Sub-calls are not
// counted by request ID, and a non-idempotent request without a ticket is never
// sent to a target.
func (s *Service) hasEarlierAttempt(r *Request) bool {
	if r.counted || r.Loopback && r.ContextToken != "" || r.kind.NonIdempotent && r.Ticket == "" {
		return false
	}
	return s.attempts.Contains(kernel.Uptime(), r.ID)
}
