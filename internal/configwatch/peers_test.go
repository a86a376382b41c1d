package configwatch

import (
	"context"
	"errors"
	"fmt"
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
		server := httptest.NewServer(reader)
		defer server.Close()
		readers, addresses = append(readers, src), append(addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	src := newSource(5)
	follower, _ := startFollower(t, src, addresses...)
	assert.Assert(t, follower.Adopt(newTable(5), "test", 0))
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

func (s *deadCallSource) WaitVersion(ctx context.Context, after Position, wait time.Duration) (uint64, Position, error) {
	if s.waits.Add(1) == 1 {
		<-ctx.Done()
		return 0, Position{}, ctx.Err()
	}
	return s.fakeSource.WaitVersion(ctx, after, wait)
}

// Guards against a node that waits for a response of the store that it has lost,
// although a peer has a later version, and so misses the versions after it.
func TestDeadStoreCallIsRepeated(t *testing.T) {
	for _, reader := range []bool{true, false} {
		t.Run(fmt.Sprintf("reader=%v", reader), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				src := &deadCallSource{fakeSource: newSource(5)}
				s := &Service{Source: src, Log: eventlog.Nop(), IsReader: func() bool { return reader }}
				assert.NilError(t, s.Provision(nil))
				assert.NilError(t, s.Start(t.Context()))
				defer func() { assert.NilError(t, s.Stop(context.Background())) }()
				time.Sleep(time.Second)
				src.set(func() { src.current = newTable(6) })
				s.ObservePeerVersion(6, "")
				s.Adopt(newTable(6), "test", 0)
				time.Sleep(configBound)
				src.set(func() { src.current, src.announced, src.announcedAt = newTable(7), 7, src.position+1 })
				time.Sleep(configBound)
				assert.Equal(t, s.Version(), uint64(7))
			})
		})
	}
}

func (s *fakeSource) announcedVersion() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announced
}

// Guards against followers that reach the store but no peer and wait for half a
// minute, because the readers have a version from a peer or read it as their first
// one, and none of them announces it.
func TestReaderAnnouncesVersionThatItDidNotWaitFor(t *testing.T) {
	t.Run("from a peer", func(t *testing.T) {
		peer := startService(t, newSource(6), eventlog.Nop())
		waitVersion(t, peer, 6)
		server := httptest.NewServer(peer)
		defer server.Close()
		src := newSource(5)
		reader := startService(t, src, eventlog.Nop())
		waitVersion(t, reader, 5)
		reader.ObservePeerVersion(6, strings.TrimPrefix(server.URL, "http://"))
		for begin := time.Now(); src.announcedVersion() < 6; time.Sleep(5 * time.Millisecond) {
			assert.Assert(t, time.Since(begin) < configBound)
		}
	})
	t.Run("at the start", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			src := newSource(6)
			src.announced = 5
			s := &Service{Source: src, Log: eventlog.Nop()}
			assert.NilError(t, s.Provision(nil))
			assert.NilError(t, s.Start(t.Context()))
			defer func() { assert.NilError(t, s.Stop(context.Background())) }()
			time.Sleep(configBound)
			assert.Equal(t, src.announcedVersion(), uint64(6))
		})
	})
}
