package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/headers"
	"parsleyturn/internal/retry"
)

// Guards against malformed header fields that are accepted with another meaning
// instead of being refused.
func TestMalformedHeadersAreRefused(t *testing.T) {
	for name, value := range map[string]string{
		headers.RequestID:     "with space",
		headers.ClientAccount: strings.Repeat("b", maxClientAccount+1),
		headers.Attempt:       "0",
		headers.DeadlineMS:    "-5",
	} {
		var r Request
		err := r.parseHeaders(http.Header{name: {value}})
		assert.ErrorContains(t, err, name)
		assert.ErrorContains(t, err, "use ")
	}
}

// Guards against header fields that crash the node or exceed its limits.
func FuzzParseHeaders(f *testing.F) {
	f.Add("r1", "buyer", "1", "500")
	f.Add("", "", "", "")
	f.Add("r\x00", strings.Repeat("x", 200), "99999999999999999999", "0x10")
	s := &Service{attempts: retry.NewAttemptCounter(10, time.Minute), MaxBodyBytes: 100}
	f.Fuzz(func(t *testing.T, id, account, attempt, deadline string) {
		hr := httptest.NewRequest(http.MethodGet, "/directory/x", nil)
		hr.Header = http.Header{
			headers.RequestID: {id}, headers.ClientAccount: {account}, headers.Attempt: {attempt}, headers.DeadlineMS: {deadline},
		}
		// The decoder generates a request ID if the caller sent none.
		out, err := s.decoder(false)(context.Background(), hr)
		if err != nil {
			return
		}
		r := out.(*Request)
		if r.ID == "" || len(r.ID) > maxRequestID || len(r.ClientAccount) > maxClientAccount || r.Attempt < 1 || r.Attempt > maxAttempt || r.Remaining < 0 || r.Remaining > maxDeadline {
			t.Fatalf("accepted a request that exceeds the limits: %+v", r)
		}
	})
}
