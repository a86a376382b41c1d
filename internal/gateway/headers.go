package gateway

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"parsleyturn/internal/headers"
)

func newRequestID() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

const (
	maxRequestID     = 128
	maxClientAccount = 128
	maxDeadline      = 24 * time.Hour
	maxAttempt       = 1000
)

// parseHeaders sets the fields of r from the Parsley header fields. After an
// error the remaining fields are not set.
func (r *Request) parseHeaders(h http.Header) error {
	var err error
	if r.ID, err = parseIdentifier(h, headers.RequestID, maxRequestID); err != nil {
		return err
	}
	if r.ClientAccount, err = parseIdentifier(h, headers.ClientAccount, maxClientAccount); err != nil {
		return err
	}
	attempt, err := parsePositive(h, headers.Attempt, maxAttempt)
	if err != nil {
		return err
	}
	r.Attempt = max(int(attempt), 1)
	ms, err := parsePositive(h, headers.DeadlineMS, maxDeadline.Milliseconds())
	if err != nil {
		return err
	}
	r.Remaining = time.Duration(ms) * time.Millisecond
	r.Ticket, r.TicketFor = h.Get(headers.Ticket), h.Get(headers.TicketFor)
	r.ContextToken = h.Get(headers.ContextToken)
	return nil
}

// parseIdentifier returns the value of a header field, or "" if it is absent. It
// rejects more than limit characters and any that is not visible ASCII.
func parseIdentifier(h http.Header, name string, limit int) (string, error) {
	v := h.Get(name)
	if len(v) > limit {
		return "", fmt.Errorf("%s has %d characters; use at most %d", name, len(v), limit)
	}
	for i := range len(v) {
		if v[i] <= ' ' || v[i] > '~' {
			return "", fmt.Errorf("%s has a character that is not visible ASCII; use letters, digits and punctuation", name)
		}
	}
	return v, nil
}

// parsePositive returns the value of a header field that holds an integer from 1
// to limit, or 0 if the field is absent.
func parsePositive(h http.Header, name string, limit int64) (int64, error) {
	v := h.Get(name)
	if v == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n < 1 || n > limit {
		return 0, fmt.Errorf("%s is %.40q; use a whole number from 1 to %d", name, v, limit)
	}
	return n, nil
}
