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

// told is what a caller was told in the end.
type told struct {
	id       string
	outcome  apierror.Outcome // empty if no answer came
	code     string
	status   int
	attempts int
	// wrong says why an answer was not whole or not the caller's own.
	wrong   string
	elapsed time.Duration
	answer  []byte
}

// caller sends requests as a member's phone would: it repeats what has no
// certain outcome, with the same identity and ticket.
type caller struct {
	m *mesh
	// entries are the nodes that are tried in turn.
	entries []*host
	// timeout bounds one attempt.
	timeout  time.Duration
	attempts int
}

func (m *mesh) caller(entries ...*host) *caller {
	return &caller{m: m, entries: entries, timeout: 6 * time.Second, attempts: 3}
}

// call sends a request until its outcome is certain.
func (c *caller) call(method, path, id string) told {
	result := told{id: id}
	start := time.Now()
	ticket := ""
	for n := 1; n <= c.attempts; n++ {
		result.attempts = n
		entry := c.entries[(n-1)%len(c.entries)]
		if method == http.MethodPost && ticket == "" {
			var done bool
			if ticket, done = c.ticket(entry, path, &result); done {
				break
			}
			if ticket == "" {
				time.Sleep(50 * time.Millisecond)
				continue
			}
		}
		c.try(entry, method, path, ticket, n, &result)
		if result.outcome == apierror.Answered || result.outcome == apierror.NotRun || result.wrong != "" {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	result.elapsed = time.Since(start)
	return result
}

// ticket gets a ticket. It reports whether the request ended here.
func (c *caller) ticket(entry *host, path string, result *told) (string, bool) {
	resp, body, err := c.send(entry, http.MethodPost, path, result.id, nil)
	if err != nil {
		return "", false
	}
	c.note(resp, body, result)
	if resp.StatusCode == http.StatusPreconditionRequired {
		result.outcome = ""
		return resp.Header.Get(headers.Ticket), false
	}
	return "", result.outcome == apierror.NotRun
}

func (c *caller) try(entry *host, method, path, ticket string, n int, result *told) {
	h := map[string]string{headers.Attempt: strconv.Itoa(n)}
	if ticket != "" {
		h[headers.Ticket] = ticket
	}
	resp, body, err := c.send(entry, method, path, result.id, h)
	if err != nil {
		result.outcome, result.code = "", err.Error()
		return
	}
	c.note(resp, body, result)
	if result.outcome == apierror.Answered && resp.StatusCode == 200 {
		result.wrong = checkAnswer(resp, body, result.id)
	}
}

func (c *caller) note(resp *http.Response, body []byte, result *told) {
	result.outcome = apierror.Outcome(resp.Header.Get(headers.Outcome))
	result.code = resp.Header.Get(headers.Error)
	result.status = resp.StatusCode
	result.answer = body
}

// checkAnswer reports an answer that is not the whole answer to the request.
func checkAnswer(resp *http.Response, body []byte, id string) string {
	if got := resp.Header.Get(target.HeaderRequestID); got != id {
		return fmt.Sprintf("answer belongs to %q", got)
	}
	seed, _ := strconv.ParseUint(resp.Header.Get(target.HeaderSeed), 10, 64)
	size, _ := strconv.Atoi(resp.Header.Get(target.HeaderBytes))
	if len(body) != size {
		return fmt.Sprintf("%d of %d bytes passed off as whole", len(body), size)
	}
	want := make([]byte, size)
	_, _ = target.NewBody(seed, id).Read(want)
	if !bytes.Equal(body, want) {
		return "body differs"
	}
	return ""
}

func (c *caller) send(entry *host, method, path, id string, h map[string]string) (*http.Response, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, entry.caller()+path, nil)
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
