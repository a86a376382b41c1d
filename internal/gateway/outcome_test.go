package gateway

import (
	"context"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/apierror"
	"parsleyturn/internal/entryshed"
	"parsleyturn/internal/executor"
	"parsleyturn/internal/kernel"
	"parsleyturn/internal/policy"
	"parsleyturn/internal/retry"
)

// Guards against "not run" for a request that is shed at the entry although an
// earlier attempt with the same request ID may have run, and against "unknown"
// for a non-idempotent request without a ticket, which is never sent to a target.
func TestShedRetryIsUnknown(t *testing.T) {
	browse, order := policy.Kind{Name: "browse", Priority: 5}, policy.Kind{Name: "order", Priority: 5, NonIdempotent: true}
	s := &Service{attempts: retry.NewAttemptCounter(10, retry.DefaultAttemptCounterTTL), entryShed: entryshed.New(entryshed.Config{}), rng: rand.New(rand.NewPCG(1, 1))}
	s.attempts.Record(kernel.Uptime(), "seen")
	for _, c := range []struct {
		request *Request
		want    apierror.Outcome
	}{
		{&Request{ID: "new", Attempt: 1, kind: browse}, apierror.NotRun},
		{&Request{ID: "seen", Attempt: 1, kind: browse}, apierror.Unknown},
		{&Request{ID: "counted", Attempt: 2, kind: browse}, apierror.Unknown},
		{&Request{ID: "seen", Attempt: 1, kind: order}, apierror.NotRun},
	} {
		pass := func(context.Context, any) (any, error) { return &Result{Response: &executor.Response{}}, nil }
		var err error
		for i := range 1000 {
			thresholds := map[string]int{"deep": 9}
			if i%2 > 0 {
				// Fewer than dependencyProbability of the chains use the
				// service, so the gateway does not ask the router, which is
				// nil here.
				thresholds = nil
			}
			s.entryShed.Observe(kernel.Uptime(), c.request.kind.Name, 5, thresholds, true)
			if i < 10 {
				continue
			}
			if _, err = s.shedEarly(pass)(context.Background(), c.request); err != nil {
				break
			}
		}
		assert.Assert(t, err != nil, "test setup: the request must be refused")
		assert.Equal(t, apierror.From(err).Outcome, c.want, "%s of kind %s", c.request.ID, c.request.kind.Name)
	}
}
