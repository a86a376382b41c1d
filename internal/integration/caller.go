package integration

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"parsleyturn/internal/apierror"
	"parsleyturn/internal/headers"
	"parsleyturn/internal/standin/target"
)

// callResult is what the caller knows about a request after its last attempt.
type callResult struct {
	id      string
	outcome apierror.Outcome // empty if no response came
	// code is the error code of the response, or the text of the error if no
	// response came.
	code     string
	status   int
	attempts int
	// bodyError says why a response was truncated, changed or that of another
	// request. It is empty if the response is correct.
	bodyError string
	elapsed   time.Duration
	body      []byte
}

// caller sends requests as a client does: it retries a request whose outcome is
// unknown, with the same request ID and ticket.
type caller struct {
	m *mesh
	// entries are the hosts of the entry nodes, used in turn for the attempts.
	entries []*host
	// timeout bounds one attempt.
	timeout  time.Duration
	attempts int
}

func (m *mesh) newCaller(entries ...*host) *caller {
	return &caller{m: m, entries: entries, timeout: 6 * time.Second, attempts: 3}
}

// call sends a request until its outcome is "answered" or "not run", its
// response is wrong, or its attempts are used up.
func (c *caller) call(method, path, id string) callResult {
	result := callResult{id: id}
	start := time.Now()
	ticket := ""
	for n := 1; n <= c.attempts; n++ {
		result.attempts = n
		entry := c.entries[(n-1)%len(c.entries)]
		if method == http.MethodPost && ticket == "" {
			var done bool
			if ticket, done = c.requestTicket(entry, path, &result); done {
				break
			}
			if ticket == "" {
				time.Sleep(50 * time.Millisecond)
				continue
			}
		}
		c.attempt(entry, method, path, ticket, n, &result)
		if result.outcome == apierror.Answered || result.outcome == apierror.NotRun || result.bodyError != "" {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	result.elapsed = time.Since(start)
	return result
}

// requestTicket sends a request without a ticket to get one. It reports whether
// the request ended here, with the outcome "not run".
func (c *caller) requestTicket(entry *host, path string, result *callResult) (string, bool) {
	resp, body, err := c.send(entry, http.MethodPost, path, result.id, nil)
	if err != nil {
		return "", false
	}
	c.record(resp, body, result)
	if resp.StatusCode == http.StatusPreconditionRequired {
		result.outcome = ""
		return resp.Header.Get(headers.Ticket), false
	}
	return "", result.outcome == apierror.NotRun
}

func (c *caller) attempt(entry *host, method, path, ticket string, n int, result *callResult) {
	h := map[string]string{headers.Attempt: strconv.Itoa(n)}
	if ticket != "" {
		h[headers.Ticket] = ticket
	}
	resp, body, err := c.send(entry, method, path, result.id, h)
	if err != nil {
		result.outcome, result.code = "", err.Error()
		return
	}
	c.record(resp, body, result)
	if result.outcome == apierror.Answered && resp.StatusCode == 200 {
		result.bodyError = checkBody(resp, body, result.id)
	}
}

func (c *caller) record(resp *http.Response, body []byte, result *callResult) {
	result.outcome = apierror.Outcome(resp.Header.Get(headers.Outcome))
	result.code = resp.Header.Get(headers.Error)
	result.status = resp.StatusCode
	result.body = body
}

// checkBody compares the body with the one that the stand-in target makes for
// the request, and returns what differs, or an empty string.
func checkBody(resp *http.Response, body []byte, id string) string {
	if got := resp.Header.Get(target.HeaderRequestID); got != id {
		return fmt.Sprintf("response belongs to request %q", got)
	}
	seed, _ := strconv.ParseUint(resp.Header.Get(target.HeaderSeed), 10, 64)
	size, _ := strconv.Atoi(resp.Header.Get(target.HeaderBytes))
	if len(body) != size {
		return fmt.Sprintf("response body truncated without an error: got %d of %d bytes", len(body), size)
	}
	want := make([]byte, size)
	_, _ = target.NewBody(seed, id).Read(want)
	if !bytes.Equal(body, want) {
		return "response body differs from what the target sent"
	}
	return ""
}

func (c *caller) send(entry *host, method, path, id string, h map[string]string) (*http.Response, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, entry.callerURL()+path, nil)
	if err != nil {
		return nil, nil, err
	}
	req.Header.Set(headers.RequestID, id)
	for k, v := range h {
		req.Header.Set(k, v)
	}
	resp, err := c.m.client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}
