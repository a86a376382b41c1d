package node_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"parsleyturn/internal/apierror"
	"parsleyturn/internal/headers"
	"parsleyturn/internal/rawtarget"
	standin "parsleyturn/internal/standin/platform"
)

// uploadSize is more than the socket buffers between a node and its target hold.
const uploadSize = 5 << 20

// rawPolicy has one kind, with a deadline that a large upload meets under the race
// detector too.
const rawPolicy = `
team = "t"
[service.s]
[kind.any]
service = "s"
path_prefix = "/"
priority = 5
deadline_ms = 30000
`

// syncBuffer is a buffer for concurrent use.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// rawMesh is a mesh of a node without a target and one with a target that sends a
// response of its own for each path.
type rawMesh struct {
	t testing.TB
	// entries are the nodes by the way from them to the target.
	entries map[string]*testNode
	// log is that of the node beside the target.
	log *syncBuffer
}

func startRawMesh(t *testing.T, responses map[string]rawtarget.Response) *rawMesh {
	t.Helper()
	plat := httptest.NewServer(standin.New())
	t.Cleanup(plat.Close)
	applyPolicyText(t, plat.URL, rawPolicy)
	start := func(id string, log io.Writer, seeds ...string) *testNode {
		s := nodeSettings(t, id, plat.URL, seeds...)
		s.MaxBodyBytes = 2 * uploadSize
		n := startNodeWith(t, s, zerolog.New(log))
		t.Cleanup(func() { _ = n.Stop() })
		return n
	}
	m := &rawMesh{t: t, log: &syncBuffer{}}
	far := start("a", io.Discard)
	near := start("b", m.log, far.settings.GossipAddress)
	m.entries = map[string]*testNode{"local": near, "link": far}
	announce(t, near, "s", rawtarget.Start(t, headers.ContextToken, func(r *http.Request) rawtarget.Response {
		if r.URL.Path == "/ready" {
			return rawtarget.Response{Bytes: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}
		}
		return responses[r.URL.Path]
	}))
	for _, n := range m.entries {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if status, _, _, err := m.send(n, "/ready", fmt.Sprint("ready-", time.Now().UnixNano()), nil); err != nil || status != http.StatusOK {
				return poll.Continue("status %d: %v", status, err)
			}
			return poll.Success()
		}, poll.WithTimeout(10*time.Second))
	}
	return m
}

// send sends a request and returns the response, with the outcome that it states.
func (m *rawMesh) send(n *testNode, path, id string, body []byte) (status int, outcome, content string, err error) {
	req, err := http.NewRequestWithContext(m.t.Context(), http.MethodPost, "http://"+n.settings.CallerAddress+path, bytes.NewReader(body))
	assert.NilError(m.t, err)
	req.Header.Set(headers.RequestID, id)
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return 0, "", "", err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get(headers.Outcome), string(got), err
}

// assertBroken sends requests to the path through each node and asserts that their
// callers get no response of the target that looks complete, that nothing promises that
// the request did not run, and that the log of the target's node names the request.
func (m *rawMesh) assertBroken(path string, body []byte, attempts int) {
	m.t.Helper()
	for way, n := range m.entries {
		for i := range attempts {
			id := fmt.Sprintf("%s-%s-%d", strings.ReplaceAll(strings.Trim(path, "/"), "/", "-"), way, i)
			status, outcome, content, err := m.send(n, path, id, body)
			if err == nil { // otherwise the connection was broken off
				assert.Equal(m.t, status, http.StatusBadGateway, "%s: %.200q", id, content)
				assert.Equal(m.t, outcome, string(apierror.Unknown), id)
			}
			assert.Assert(m.t, strings.Contains(m.log.String(), fmt.Sprintf("%q", id)), "%s: no line in the log", id)
		}
	}
}

// assertPassedOn asserts that callers get the status and body that the target sends for
// the path.
func (m *rawMesh) assertPassedOn(path string, status int, body string) {
	m.t.Helper()
	for way, n := range m.entries {
		got, outcome, content, err := m.send(n, path, strings.ReplaceAll(strings.Trim(path, "/"), "/", "-")+"-"+way, nil)
		assert.NilError(m.t, err, "%s, %s", path, way)
		assert.Equal(m.t, got, status, "%s, %s: %q", path, way, content)
		assert.Equal(m.t, outcome, string(apierror.Answered))
		assert.Equal(m.t, content, body, "%s, %s", path, way)
	}
}

// Guards against the part of a response without length that callers get as a complete
// response, because the target reset the connection while the request was being sent
// (MIXED).
func TestResponseResetDuringUploadIsNotComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + headers.ContextToken + ": ID\r\n\r\n"
	m := startRawMesh(t, map[string]rawtarget.Response{
		"/short":    {Bytes: head + "part", Early: true, End: rawtarget.Reset},
		"/streamed": {Bytes: head + strings.Repeat("x", 300<<10), Early: true, End: rawtarget.Reset},
	})
	attempts := 3
	if testing.Short() {
		attempts = 1 // with the race detector, a link carries 2 MB a second
	}
	for _, path := range []string{"/short", "/streamed"} {
		m.assertBroken(path, make([]byte, uploadSize), attempts)
	}
}

// Guards against a response without a valid status that callers get as an answer (MIXED),
// and against a sound one that they lose.
func TestInvalidStatusIsNotPassedOn(t *testing.T) {
	const whole = headers.ContextToken + ": ID\r\nConnection: close\r\nContent-Length: 5\r\n\r\nwhole"
	responses := map[string]rawtarget.Response{}
	invalid, valid := []string{"000", "099", "600", "999"}, []int{200, 299, 418, 599}
	for _, status := range invalid {
		responses["/invalid-"+status] = rawtarget.Response{Bytes: "HTTP/1.1 " + status + " X\r\n" + whole}
	}
	for _, status := range valid {
		responses[fmt.Sprint("/", status)] = rawtarget.Response{Bytes: fmt.Sprintf("HTTP/1.1 %d X\r\n%s", status, whole)}
	}
	m := startRawMesh(t, responses)
	for _, status := range invalid {
		m.assertBroken("/invalid-"+status, nil, 1)
	}
	for _, status := range valid {
		m.assertPassedOn(fmt.Sprint("/", status), status, "whole")
	}
}

// Guards against a response in whose head the name of a field holds a blank or a control
// byte, and that callers get with that line or with another body (MIXED).
func TestInvalidFieldNameIsNotPassedOn(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nConnection: close\r\n" + headers.ContextToken + ": ID\r\n"
	valid := map[string]string{
		"/punctuation": "!#$%&'*+-.^_`|~: 1\r\n" + rawtarget.Whole,
		"/continued":   "X: a\r\n b: c\r\n" + rawtarget.Whole,
		"/no-length":   "\r\n" + rawtarget.Body,
	}
	invalid := rawtarget.InvalidFields(head)
	invalid["streamed"] = head + "Content-Length : 5\r\n\r\n" + strings.Repeat("x", 300<<10)
	responses := map[string]rawtarget.Response{}
	for name, response := range invalid {
		responses["/"+strings.ReplaceAll(name, " ", "-")] = rawtarget.Response{Bytes: response}
	}
	for path, rest := range valid {
		responses[path] = rawtarget.Response{Bytes: head + rest}
	}
	m := startRawMesh(t, responses)
	for name := range invalid {
		m.assertBroken("/"+strings.ReplaceAll(name, " ", "-"), nil, 1)
	}
	for path := range valid {
		m.assertPassedOn(path, http.StatusOK, rawtarget.Body)
	}
}
