package configwatch

import (
	"context"
	"errors"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
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

// Guards against followers that read the configuration from the store while the
// readers of their availability zone wait for it, as over a narrow link, which the
// copies for the followers would fill (CONFIG).
func TestFollowerDoesNotReadStoreBesideReaders(t *testing.T) {
	var addresses []string
	var readers []*fakeSource
	for range 2 {
		src := newSource(5)
		reader := startService(t, src, eventlog.Nop())
		waitVersion(t, reader, 5)
		readers, addresses = append(readers, src), append(addresses, serve(t, reader))
	}
	src := newSource(5)
	follower, _ := startFollower(t, src, addresses...)
	follower.Adopt(newTable(5), "test", 0) // unless a reader has already sent it
	assert.Equal(t, follower.Version(), uint64(5))
	src.set(func() { src.current = newTable(6) })
	follower.ObservePeerVersion(6, "")
	time.Sleep(relayWait + relayWait/2)
	for _, reader := range readers {
		reader.set(func() { reader.current = newTable(6) })
	}
	waitVersion(t, follower, 6)
	assert.Equal(t, src.readCount(), 0)
}

// deadCallSource is a source whose first call for changes never returns, as when
// its connection has gone silent.
type deadCallSource struct {
	*fakeSource
	waits atomic.Int32
}

func (s *deadCallSource) WaitConfig(ctx context.Context, after Position, wait time.Duration) (Update, error) {
	if s.waits.Add(1) == 1 {
		<-ctx.Done()
		return Update{}, ctx.Err()
	}
	return s.fakeSource.WaitConfig(ctx, after, wait)
}

// Guards against a node that waits for a response of the store that it has lost,
// although a peer has a later version, and so misses the versions after it.
func TestDeadStoreCallIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &deadCallSource{fakeSource: newSource(5)}
		s := &Service{Source: src, Log: eventlog.Nop()}
		assert.NilError(t, s.Provision(nil))
		assert.NilError(t, s.Start(t.Context()))
		defer func() { assert.NilError(t, s.Stop(context.Background())) }()
		time.Sleep(time.Second)
		src.set(func() { src.current = newTable(6) })
		s.ObservePeerVersion(6, "")
		s.Adopt(newTable(6), "test", 0)
		time.Sleep(configBound)
		src.set(func() { src.current = newTable(7) })
		time.Sleep(configBound)
		assert.Equal(t, s.Version(), uint64(7))
	})
}

// Guards against a follower that waits at a leader that has lost its response of
// the store, and so misses the versions after it.
func TestDeadLeaderCallIsReplacedByStore(t *testing.T) {
	leader := startService(t, &deadCallSource{fakeSource: newSource(5)}, eventlog.Nop())
	waitVersion(t, leader, 5)
	src := newSource(5)
	follower, _ := startFollower(t, src, serve(t, leader))
	waitVersion(t, follower, 5)
	for v := uint64(6); v < 8; v++ {
		src.set(func() { src.current = newTable(v) })
		begin := time.Now()
		follower.ObservePeerVersion(v, "")
		waitVersion(t, follower, v)
		assert.Assert(t, time.Since(begin) < configBound, "version %d active after %v", v, time.Since(begin))
	}
}

// Guards against followers that do not learn of a version that their reader has
// from a peer, as the store refuses it.
func TestFollowerReceivesVersionThatReaderHasFromPeer(t *testing.T) {
	reader := startService(t, newSource(5), eventlog.Nop())
	waitVersion(t, reader, 5)
	follower, _ := startFollower(t, newSource(5), serve(t, reader))
	waitVersion(t, follower, 5)
	reader.Adopt(newTable(6), "test", 0)
	waitVersion(t, follower, 6)
}

// Guards against a reported version that does not exist, such as the largest
// number, and hides the later reports.
func TestUntrueReportHidesNoOther(t *testing.T) {
	peer := startService(t, newSource(5), eventlog.Nop())
	waitVersion(t, peer, 5)
	address := serve(t, peer)
	src := newSource(5)
	s := startService(t, src, eventlog.Nop())
	waitVersion(t, s, 5)
	s.ObservePeerVersion(math.MaxUint64, address)
	for s.reports.latest() != (report{}) {
		time.Sleep(10 * time.Millisecond)
	}
	assert.Assert(t, peer.Adopt(newTable(6), "test", 0))
	s.ObservePeerVersion(6, address)
	waitVersion(t, s, 6)
}
