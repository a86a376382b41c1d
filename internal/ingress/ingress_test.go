package ingress

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/fault"
)

// The pattern: every VM has lost power and all nodes start at once; callers
// that are refused in the first second repeat only once. Guards against a time
// to come back before targets can have announced themselves, and against
// callers that come back together.
func TestRetryAfter(t *testing.T) {
	for _, c := range []struct {
		code     fault.Code
		min, max time.Duration
	}{
		{fault.Starting, 800 * time.Millisecond, 1600 * time.Millisecond},
		{fault.NoTarget, 800 * time.Millisecond, 1600 * time.Millisecond},
		{fault.Overloaded, 500 * time.Millisecond, time.Second},
		{fault.Draining, 200 * time.Millisecond, 400 * time.Millisecond},
	} {
		least, most := time.Hour, time.Duration(0)
		for range 1000 {
			d := retryAfter(fault.New(c.code, fault.NotRun, ""))
			least, most = min(least, d), max(most, d)
		}
		assert.Assert(t, least >= c.min && most <= c.max, "%s: %v to %v", c.code, least, most)
		assert.Assert(t, most-least > (c.max-c.min)*9/10, "%s: returns are not spread: %v to %v", c.code, least, most)
	}
	told := fault.New(fault.Overloaded, fault.NotRun, "")
	told.RetryAfter = 3 * time.Second
	assert.Equal(t, retryAfter(told), 3*time.Second)
}

// Guards against a status that promises "not run" for a request that may have
// run, and against a 404 that hides an overload.
func TestStatus(t *testing.T) {
	for _, c := range []struct {
		code    fault.Code
		outcome fault.Outcome
		want    int
	}{
		{fault.Overloaded, fault.NotRun, http.StatusServiceUnavailable},
		{fault.DeadlineExceeded, fault.NotRun, http.StatusServiceUnavailable},
		{fault.LinkLost, fault.NotRun, http.StatusServiceUnavailable},
		{fault.Starting, fault.NotRun, http.StatusServiceUnavailable},
		{fault.NoKind, fault.NotRun, http.StatusNotFound},
		{fault.TooLarge, fault.NotRun, http.StatusRequestEntityTooLarge},
		{fault.Overloaded, fault.Unknown, http.StatusBadGateway},
		{fault.NoTarget, fault.Unknown, http.StatusBadGateway},
		{fault.TargetFailed, fault.Unknown, http.StatusBadGateway},
		{fault.DeadlineExceeded, fault.Unknown, http.StatusGatewayTimeout},
	} {
		assert.Equal(t, statusOf(fault.New(c.code, c.outcome, "")), c.want, "%s %s", c.code, c.outcome)
	}
}
