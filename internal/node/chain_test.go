package node_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"parsleyturn/internal/headers"
	standin "parsleyturn/internal/standin/platform"
)

const processingTime = 30 * time.Millisecond

// chain runs four nodes, with the targets reports, directory, leaf and
// bookings. The first two targets call the next one and do not cancel that
// sub-call when their own request is canceled, so only the nodes can cancel
// the requests further down the chain.
type chain struct {
	nodes       []*testNode
	mu          sync.Mutex
	deadlineMS  map[string]int // deadline that the target received, by service
	canceled    atomic.Int64
	leafReached chan struct{}
	bookings    atomic.Int64
}

var (
	chainServices = []string{"reports", "directory", "leaf"}
	allServices   = append(chainServices[:3:3], "bookings")
)

func newChain(t *testing.T) *chain {
	t.Helper()
	plat := httptest.NewServer(standin.New())
	t.Cleanup(plat.Close)
	applyPolicy(t, plat.URL)
	c := &chain{deadlineMS: map[string]int{}, leafReached: make(chan struct{}, 100)}
	var seeds []string
	for i, service := range allServices {
		n := startNode(t, service, plat.URL, seeds...)
		seeds = []string{n.settings.GossipAddress}
		c.nodes = append(c.nodes, n)
		target := httptest.NewServer(c.target(i))
		t.Cleanup(target.Close)
		announce(t, n, service, strings.TrimPrefix(target.URL, "http://"))
	}
	t.Cleanup(func() {
		var wg sync.WaitGroup
		for _, n := range c.nodes {
			wg.Go(func() { _ = n.Stop() })
		}
		wg.Wait()
	})
	for _, n := range c.nodes {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			for _, service := range allServices {
				method := http.MethodGet
				if service == "bookings" {
					method = http.MethodPost
				}
				resp, _ := sendRequest(t, method, "http://"+n.settings.CallerAddress+"/"+service+"/x", nil)
				if resp.StatusCode != 200 && resp.StatusCode != http.StatusPreconditionRequired {
					return poll.Continue("%s: status %d", service, resp.StatusCode)
				}
			}
			return poll.Success()
		}, poll.WithTimeout(10*time.Second))
	}
	return c
}

func (c *chain) target(i int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ms, _ := strconv.Atoi(r.Header.Get(headers.DeadlineMS))
		c.mu.Lock()
		c.deadlineMS[allServices[i]] = ms
		c.mu.Unlock()
		if allServices[i] == "bookings" {
			time.Sleep(processingTime)
			fmt.Fprintf(w, "run %d", c.bookings.Add(1))
			return
		}
		_, kind, _ := strings.Cut(r.URL.Path[1:], "/")
		if kind == "x" {
			return
		}
		time.Sleep(processingTime)
		if i < len(chainServices)-1 {
			sub, _ := http.NewRequest(http.MethodGet, "http://"+c.nodes[i].settings.TargetListenAddress+"/"+chainServices[i+1]+"/"+kind, nil)
			sub.Header.Set(headers.ContextToken, r.Header.Get(headers.ContextToken))
			if resp, err := http.DefaultClient.Do(sub); err == nil {
				_ = resp.Body.Close()
			}
		}
		switch kind {
		case "hold":
			if i == len(chainServices)-1 {
				c.leafReached <- struct{}{}
			}
			<-r.Context().Done()
			c.canceled.Add(1)
		case "cut", "cut-chunked":
			if kind == "cut" {
				w.Header().Set("Content-Length", "100")
			}
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

// Guards against a chain that keeps working after the caller has disconnected,
// and against a hop that passes its deadline on without subtracting the time
// already spent.
func (c *chain) testCancellationAndDeadline(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.nodes[2].settings.CallerAddress+"/reports/hold", nil)
	assert.NilError(t, err)
	req.Header.Set(headers.DeadlineMS, "3500")
	go func() { _, _ = http.DefaultClient.Do(req) }()
	select {
	case <-c.leafReached:
	case <-time.After(3 * time.Second):
		t.Fatal("the request did not reach the end of the chain")
	}
	last := 3500
	for _, service := range chainServices {
		assert.Assert(t, c.deadlineMS[service] > 0 && c.deadlineMS[service] <= last, "%s received a deadline of %d ms; at most %d ms were left", service, c.deadlineMS[service], last)
		last = c.deadlineMS[service] - int(processingTime.Milliseconds())
	}
	cancel()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := c.canceled.Load(); n < 3 {
			return poll.Continue("%d of 3 requests were canceled", n)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Second))
}

// Guards against a response body that the target truncates, by closing its
// connection, and that the caller sees as complete: when the entry node
// reaches the target over a link, and when it is the target's own node.
func (c *chain) testTruncatedBody(t *testing.T) {
	for _, entry := range c.nodes[1:3] { // another node, and the target's own node
		for _, kind := range []string{"cut", "cut-chunked"} {
			resp, err := http.Get("http://" + entry.settings.CallerAddress + "/leaf/" + kind)
			assert.NilError(t, err)
			body, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			assert.ErrorIs(t, err, io.ErrUnexpectedEOF, "%s at %s: %q", kind, entry.settings.ID, body)
		}
	}
}

// Guards against a second execution when requests with the same ticket arrive
// at two entry nodes at the same time.
func (c *chain) testTicketAtTwoEntryNodes(t *testing.T) {
	resp, _ := sendRequest(t, http.MethodPost, "http://"+c.nodes[0].settings.CallerAddress+"/bookings/new", nil)
	tk := resp.Header.Get(headers.Ticket)
	bodies := make(chan string, 10)
	for i := range cap(bodies) {
		go func() {
			_, body := sendRequest(t, http.MethodPost, "http://"+c.nodes[i%2].settings.CallerAddress+"/bookings/new",
				map[string]string{headers.RequestID: fmt.Sprint("order-", i), headers.Ticket: tk})
			bodies <- body
		}()
	}
	for range cap(bodies) {
		assert.Equal(t, <-bodies, "run 1")
	}
	assert.Equal(t, c.bookings.Load(), int64(1))
}

func TestChainOfNodes(t *testing.T) {
	c := newChain(t)
	t.Run("cancellation and deadline", c.testCancellationAndDeadline)
	t.Run("truncated body", c.testTruncatedBody)
	t.Run("ticket at two entry nodes", c.testTicketAtTwoEntryNodes)
}
