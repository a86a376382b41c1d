package node_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"parsleyturn/internal/configstore"
	"parsleyturn/internal/headers"
	"parsleyturn/internal/node"
	"parsleyturn/internal/platformclient"
	"parsleyturn/internal/policy"
	"parsleyturn/internal/settings"
	standin "parsleyturn/internal/standin/platform"
	"parsleyturn/internal/targetstatus"
)

const testPolicy = `
team = "fitters"

[service.directory]
[service.bookings]
[service.reports]
[service.leaf]

[kind.report]
service = "reports"
path_prefix = "/reports/"
priority = 5
deadline_ms = 4000

[kind.leaf]
service = "leaf"
path_prefix = "/leaf/"
priority = 5
deadline_ms = 4000

[kind.browse]
service = "directory"
path_prefix = "/directory/"
priority = 5
deadline_ms = 2000
retries = 2

[kind.book]
service = "bookings"
methods = ["POST"]
path_prefix = "/bookings/"
priority = 9
non_idempotent = true
deadline_ms = 3000
retries = 4
`

// addresses numbers the addresses that freeAddress has returned.
var addresses atomic.Uint32

// freeAddress returns an unused address for TCP on a loopback host of its own. On
// the common one, an outgoing connection of another test may get the port before
// it is used.
func freeAddress(t testing.TB) string {
	t.Helper()
	n := addresses.Add(1)
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 210+os.Getpid()%40, n/250%250, 1+n%250))
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

type testNode struct {
	*node.Node
	settings *settings.Node
}

func startNode(t testing.TB, id, platformURL string, seeds ...string) *testNode {
	t.Helper()
	return startNodeWith(t, nodeSettings(t, id, platformURL, seeds...), zerolog.Nop())
}

func nodeSettings(t testing.TB, id, platformURL string, seeds ...string) *settings.Node {
	t.Helper()
	s := &settings.Node{
		ID: id, Region: "Ashanti", AvailabilityZone: "ashanti-1",
		CallerAddress: freeAddress(t), TargetListenAddress: freeAddress(t), LinkAddress: freeAddress(t),
		GossipAddress: freeAddress(t), AdminAddress: freeAddress(t), Platform: platformURL, Seeds: seeds,
		DrainLimitMS: 5000, MaxBodyBytes: 1 << 20, TicketLifetimeMS: 30000,
	}
	s.AdvertiseLink, s.AdvertiseGossip, s.AdvertiseAdmin = s.LinkAddress, s.GossipAddress, s.AdminAddress
	return s
}

func startNodeWith(t testing.TB, s *settings.Node, log zerolog.Logger) *testNode {
	t.Helper()
	n, err := node.New(s, log)
	assert.NilError(t, err)
	assert.NilError(t, n.Start(context.Background()))
	return &testNode{n, s}
}

// announce announces a target to a node once a second until the test ends.
func announce(t testing.TB, n *testNode, service, address string) {
	t.Helper()
	body, err := json.Marshal(&targetstatus.Announcement{
		Service: service, Address: address, Slots: 10, Connections: 50, State: targetstatus.Ready, Incarnation: "1",
	})
	assert.NilError(t, err)
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	send := func() {
		req, _ := http.NewRequest(http.MethodPut, "http://"+n.settings.TargetListenAddress+"/parsley/target", bytes.NewReader(body))
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}
	send()
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
				send()
			}
		}
	}()
}

func applyPolicy(t testing.TB, url string) {
	t.Helper()
	applyPolicyText(t, url, testPolicy)
}

func applyPolicyText(t testing.TB, url, text string) {
	t.Helper()
	client, err := platformclient.New(url)
	assert.NilError(t, err)
	_, err = configstore.New(client).Apply(context.Background(), configstore.Change{
		ChangeID: "c1", Author: "test", Action: "apply", Files: []policy.File{{Name: "10.toml", Content: []byte(text)}},
	})
	assert.NilError(t, err)
}

func sendRequest(t testing.TB, method, url string, h map[string]string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(method, url, nil)
	assert.NilError(t, err)
	for k, v := range h {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp, string(body)
}

// Guards against a break anywhere on the path of a request: caller, node, link,
// node, target, sub-call through the loopback listener, another target, and
// back. Also guards against a retry with the same ticket that executes the
// request again, and against a refused retry that reports the executed request
// as not run.
func TestRequestWithSubCallThroughTwoNodes(t *testing.T) {
	plat := httptest.NewServer(standin.New())
	t.Cleanup(plat.Close)
	applyPolicy(t, plat.URL)
	a := startNode(t, "a", plat.URL)
	t.Cleanup(func() { _ = a.Stop() })
	b := startNode(t, "b", plat.URL, a.settings.GossipAddress)
	t.Cleanup(func() { _ = b.Stop() })

	directory := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, "fitters for %s", r.Header.Get(headers.RequestID))
	}))
	t.Cleanup(directory.Close)
	var executions atomic.Int64
	bookings := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		executions.Add(1)
		resp, body := sendRequest(t, http.MethodGet, "http://"+b.settings.TargetListenAddress+"/directory/fitters", map[string]string{headers.ContextToken: r.Header.Get(headers.ContextToken)})
		fmt.Fprintf(w, "booked (%d): %s", resp.StatusCode, body)
	}))
	t.Cleanup(bookings.Close)
	announce(t, a, "directory", strings.TrimPrefix(directory.URL, "http://"))
	announce(t, b, "bookings", strings.TrimPrefix(bookings.URL, "http://"))

	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp, body := sendRequest(t, http.MethodGet, "http://"+b.settings.CallerAddress+"/directory/x", map[string]string{headers.RequestID: "r1-" + fmt.Sprint(time.Now().UnixNano())})
		if resp.StatusCode == 200 && strings.HasPrefix(body, "fitters for r1") {
			return poll.Success()
		}
		return poll.Continue("status %d: %s", resp.StatusCode, body)
	}, poll.WithTimeout(10*time.Second))

	url := "http://" + a.settings.CallerAddress + "/bookings/new"
	resp, _ := sendRequest(t, http.MethodPost, url, map[string]string{headers.RequestID: "order-1"})
	assert.Equal(t, resp.StatusCode, http.StatusPreconditionRequired)
	assert.Equal(t, resp.Header.Get(headers.Outcome), "not-run")
	ticket := resp.Header.Get(headers.Ticket)
	for attempt := 1; attempt <= 3; attempt++ {
		resp, body := sendRequest(t, http.MethodPost, url, map[string]string{headers.RequestID: "order-1", headers.Ticket: ticket, headers.Attempt: fmt.Sprint(attempt)})
		assert.Equal(t, resp.StatusCode, 200, body)
		assert.Equal(t, body, "booked (200): fitters for order-1")
		assert.Equal(t, resp.Header.Get(headers.Outcome), "answered")
	}
	assert.Equal(t, executions.Load(), int64(1), "the booking must be executed once for all retries")
	resp, _ = sendRequest(t, http.MethodPost, url, map[string]string{headers.RequestID: "order-1", headers.Ticket: ticket, headers.Attempt: "4"})
	assert.Equal(t, resp.StatusCode, http.StatusTooManyRequests)
	assert.Equal(t, resp.Header.Get(headers.Outcome), "unknown", "the booking was executed, so its outcome must not be not-run")
}
