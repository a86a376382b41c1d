package node_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
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

// Guards against callers at other nodes that get no response until their deadline,
// because what a faulty target sent does not fit into a message between nodes.
func TestCallersOfFaultyTargetGetAnErrorAtOnce(t *testing.T) {
	plat := httptest.NewServer(standin.New())
	t.Cleanup(plat.Close)
	applyPolicy(t, plat.URL)
	a := startNode(t, "a", plat.URL)
	t.Cleanup(func() { _ = a.Stop() })
	b := startNode(t, "b", plat.URL, a.settings.GossipAddress)
	t.Cleanup(func() { _ = b.Stop() })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	responses := map[string]string{
		"/directory/ok":     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"/directory/line":   strings.Repeat("\x00", 30<<10) + "\r\n\r\n",
		"/directory/fields": "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + strings.Repeat("a:\r\n", 8000) + "\r\n",
		"/directory/large":  "HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("a", 70<<10) + "\r\n\r\n",
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, responses[req.URL.Path])
				}
			}()
		}
	}()
	announce(t, b, "directory", l.Addr().String())
	get := func(path string) (int, string) {
		ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.settings.CallerAddress+path, nil)
		assert.NilError(t, err)
		req.Header.Set(headers.RequestID, fmt.Sprint("r-", time.Now().UnixNano()))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0, err.Error()
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(body)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if status, body := get("/directory/ok"); status != http.StatusOK {
			return poll.Continue("status %d: %s", status, body)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	for path, want := range map[string]int{"/directory/line": http.StatusBadGateway, "/directory/large": http.StatusBadGateway, "/directory/fields": http.StatusOK} {
		begin := time.Now()
		status, body := get(path)
		assert.Equal(t, status, want, "%s: %.200s", path, body)
		assert.Assert(t, time.Since(begin) < time.Second, "%s took %v", path, time.Since(begin))
		assert.Assert(t, len(body) < 4<<10, "%s: the error has %d bytes", path, len(body))
	}
}
