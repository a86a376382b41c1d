package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// freeAddress returns an unused address on a loopback host of this process, so
// that parallel test runs do not use the same ports, and outgoing connections of
// other tests do not take them.
func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.250.1:0", 210+os.Getpid()%40))
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// Guards against a demonstration that does not start or serve requests, does not
// stop a node when it is drained, or does not stop as a whole.
func TestDemoServesAndStops(t *testing.T) {
	m, err := Start(context.Background(), freeAddress(t), freeAddress(t), zerolog.Nop())
	assert.NilError(t, err)
	resp, err := http.Get("http://" + m.CallerAddress + "/directory/fitters")
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	assert.Assert(t, strings.HasPrefix(string(body), `{"request":"GET /directory/fitters"`), string(body))
	assert.Equal(t, int64(len(body)), resp.ContentLength)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	// A drain through the administration API stops that node, Stop the others.
	resp, err = http.Post("http://"+m.AdminAddresses[1]+"/v1/drain", "", nil)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp, err := http.Get("http://" + m.AdminAddresses[1] + "/healthz")
		if err != nil {
			return poll.Success()
		}
		_ = resp.Body.Close()
		return poll.Continue("node is still running")
	}, poll.WithTimeout(10*time.Second))
	http.DefaultClient.CloseIdleConnections()
	assert.NilError(t, m.Stop())
}
