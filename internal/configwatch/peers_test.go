package configwatch

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/eventlog"
)

// configBound is the time in which a deployment requires a confirmed version to
// be active on every node.
const configBound = 2500 * time.Millisecond

// newUnresponsivePeer returns the address of a peer that accepts requests and
// never responds.
func newUnresponsivePeer(t *testing.T) string {
	t.Helper()
	ended := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-ended:
		}
	}))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(ended) })
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against a follower that keeps an old configuration while the store
// refuses it and the readers of its availability zone do not respond, although
// another peer has reported the later version.
func TestFollowerFetchesFromReporterWhenReadersDoNotRespond(t *testing.T) {
	peer := startService(t, newSource(6), eventlog.Nop())
	waitVersion(t, peer, 6)
	server := httptest.NewServer(peer)
	defer server.Close()
	src := newSource(5)
	follower, _ := startFollower(t, src, newUnresponsivePeer(t), newUnresponsivePeer(t))
	assert.Assert(t, follower.Adopt(newTable(5), "test", 0))
	src.set(func() { src.err = errors.New("refused") })
	begin := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), 4*configBound)
	defer cancel()
	for follower.Version() < 6 && ctx.Err() == nil {
		follower.ObservePeerVersion(6, strings.TrimPrefix(server.URL, "http://"))
		follower.waitVersion(ctx, 6, time.Second) // gossip reports a version about every second
	}
	assert.Equal(t, follower.Version(), uint64(6))
	assert.Assert(t, time.Since(begin) < configBound, "version 6 active after %v", time.Since(begin))
}
