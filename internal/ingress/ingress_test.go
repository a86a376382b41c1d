package ingress

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/apierror"
)

// Guards against a retry delay that ends before targets can have announced
// themselves, and against callers that retry at the same time. The failure
// occurs when all VMs have lost power and all nodes start at once: callers that
// are refused in the first second retry only once.
func TestRetryAfter(t *testing.T) {
	for _, c := range []struct {
		code     apierror.Code
		min, max time.Duration
	}{
		{apierror.Starting, 800 * time.Millisecond, 1600 * time.Millisecond},
		{apierror.NoTarget, 800 * time.Millisecond, 1600 * time.Millisecond},
		{apierror.Overloaded, 500 * time.Millisecond, time.Second},
		{apierror.Draining, 200 * time.Millisecond, 400 * time.Millisecond},
	} {
		least, most := time.Hour, time.Duration(0)
		for range 1000 {
			d := retryAfter(apierror.New(c.code, apierror.NotRun, ""))
			least, most = min(least, d), max(most, d)
		}
		assert.Assert(t, least >= c.min && most <= c.max, "%s: delay is %v to %v", c.code, least, most)
		assert.Assert(t, most-least > (c.max-c.min)*9/10, "%s: delays are not spread: %v to %v", c.code, least, most)
	}
	withDelay := apierror.New(apierror.Overloaded, apierror.NotRun, "")
	withDelay.RetryAfter = 3 * time.Second
	assert.Equal(t, retryAfter(withDelay), 3*time.Second)
}

// Guards against a status that guarantees "not run" for a request that may have
// run, and against a 404 that hides an overload.
func TestStatusOf(t *testing.T) {
	for _, c := range []struct {
		code    apierror.Code
		outcome apierror.Outcome
		want    int
	}{
		{apierror.Overloaded, apierror.NotRun, http.StatusServiceUnavailable},
		{apierror.DeadlineExceeded, apierror.NotRun, http.StatusServiceUnavailable},
		{apierror.LinkLost, apierror.NotRun, http.StatusServiceUnavailable},
		{apierror.Starting, apierror.NotRun, http.StatusServiceUnavailable},
		{apierror.NoKind, apierror.NotRun, http.StatusNotFound},
		{apierror.TooLarge, apierror.NotRun, http.StatusRequestEntityTooLarge},
		{apierror.Overloaded, apierror.Unknown, http.StatusBadGateway},
		{apierror.NoTarget, apierror.Unknown, http.StatusBadGateway},
		{apierror.TargetFailed, apierror.Unknown, http.StatusBadGateway},
		{apierror.DeadlineExceeded, apierror.Unknown, http.StatusGatewayTimeout},
	} {
		assert.Equal(t, statusOf(apierror.New(c.code, c.outcome, "")), c.want, "%s %s", c.code, c.outcome)
	}
}
