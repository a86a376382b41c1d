package node_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"parsleyturn/internal/headers"
	standin "parsleyturn/internal/standin/platform"
)

func startReadyNode(t *testing.T) (*testNode, *httptest.Server) {
	plat := httptest.NewServer(standin.New())
	t.Cleanup(plat.Close)
	applyPolicy(t, plat.URL)
	n := startNode(t, "a", plat.URL)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp, body := sendRequest(t, http.MethodGet, "http://"+n.settings.AdminAddress+"/readyz", nil)
		if resp.StatusCode == http.StatusOK {
			return poll.Success()
		}
		return poll.Continue("status %d: %s", resp.StatusCode, body)
	}, poll.WithTimeout(5*time.Second))
	return n, plat
}

// Guards against a draining node that still reports ready, so that load
// balancers keep sending to it, and against one that reports unhealthy, so
// that a supervisor kills it before its requests are finished.
func TestDrainingNodeIsHealthyButNotReady(t *testing.T) {
	n, _ := startReadyNode(t)
	held, release := make(chan struct{}), make(chan struct{})
	target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(held)
		<-release
	}))
	t.Cleanup(target.Close)
	announce(t, n, "directory", strings.TrimPrefix(target.URL, "http://"))
	status := make(chan int, 1)
	go func() {
		resp, _ := sendRequest(t, http.MethodGet, "http://"+n.settings.CallerAddress+"/directory/x", nil)
		status <- resp.StatusCode
	}()
	<-held
	stopped := make(chan error, 1)
	go func() { stopped <- n.Stop() }()
	admin := "http://" + n.settings.AdminAddress
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if resp, body := sendRequest(t, http.MethodGet, admin+"/readyz", nil); resp.StatusCode != http.StatusServiceUnavailable || !strings.Contains(body, "draining") {
			return poll.Continue("status %d: %s", resp.StatusCode, body)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
	resp, _ := sendRequest(t, http.MethodGet, admin+"/healthz", nil)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	_, body := sendRequest(t, http.MethodGet, admin+"/v1/status", nil)
	assert.Assert(t, strings.Contains(body, `"in_flight": 1,`), "a request must be counted once at the node of its target: %s", body)
	assert.Assert(t, strings.Contains(body, `"draining": true`) && strings.Contains(body, `"ready": false`), body)
	close(release)
	assert.Equal(t, <-status, http.StatusOK)
	assert.NilError(t, <-stopped)
}

// Guards against a malformed request that is refused without a request ID, so
// that its log lines cannot be found, and against a ticket that routes an
// idempotent request to a node of another service.
func TestMalformedHeaders(t *testing.T) {
	n, _ := startReadyNode(t)
	t.Cleanup(func() { _ = n.Stop() })
	url := "http://" + n.settings.CallerAddress + "/directory/x"
	for _, h := range []map[string]string{
		{headers.Attempt: "x"}, {headers.DeadlineMS: "-1"}, {headers.RequestID: strings.Repeat("a", 129)}, {headers.RequestID: "a b"},
		{headers.Ticket: "any"},
	} {
		resp, body := sendRequest(t, http.MethodGet, url, h)
		assert.Equal(t, resp.StatusCode, http.StatusBadRequest, body)
		assert.Equal(t, resp.Header.Get(headers.Error), "bad_request")
		assert.Equal(t, len(resp.Header.Get(headers.RequestID)), 32, "%v: %s", h, body)
	}
}

// Guards against an invalid announcement that is accepted, so that the target
// gets no requests and its owner sees no error.
func TestInvalidAnnouncements(t *testing.T) {
	n, _ := startReadyNode(t)
	t.Cleanup(func() { _ = n.Stop() })
	const validFields = `"service":"directory","address":"127.0.0.1:9000","slots":1,"connections":1,"state":"ready","incarnation":"1"`
	for body, want := range map[string]int{
		"":                            http.StatusBadRequest,
		"{" + validFields + "} more":  http.StatusBadRequest,
		"{" + validFields + `,"x":1}`: http.StatusBadRequest,
		strings.Replace("{"+validFields+"}", "9000", "99999", 1):                         http.StatusUnprocessableEntity,
		strings.Replace("{"+validFields+"}", `"incarnation":"1"`, `"incarnation":""`, 1): http.StatusUnprocessableEntity,
		"{" + validFields + `,"cold_start_ms":-5}`:                                       http.StatusUnprocessableEntity,
		"{" + validFields + "}":                                                          http.StatusNoContent,
	} {
		req, err := http.NewRequest(http.MethodPut, "http://"+n.settings.TargetListenAddress+"/parsley/target", strings.NewReader(body))
		assert.NilError(t, err)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		_ = resp.Body.Close()
		assert.Equal(t, resp.StatusCode, want, body)
	}
}
