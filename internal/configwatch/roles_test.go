package configwatch

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/eventlog"
	"parsleyturn/internal/routetable"
)

// settleTime is the time in which nodes of these tests learn of each other.
const settleTime = time.Second

// startFollower starts a service with leaders. It becomes a reader when the
// returned flag is set.
func startFollower(t *testing.T, src Source, leaders ...string) (*Service, *atomic.Bool) {
	t.Helper()
	reader := new(atomic.Bool)
	s := &Service{Source: src, Log: eventlog.Nop(), Readers: func() []string { return leaders }, Leaders: func() []string {
		if reader.Load() {
			return nil
		}
		return leaders
	}}
	assert.NilError(t, s.Provision(nil))
	assert.NilError(t, s.Start(t.Context()))
	t.Cleanup(func() { assert.NilError(t, s.Stop(context.Background())) })
	return s, reader
}

// serve serves the configuration of a service as nodes do, and returns the address.
func serve(t *testing.T, s *Service) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: s, ReadTimeout: 100 * time.Millisecond}
	go func() { _ = server.Serve(l) }() // ends with Close
	t.Cleanup(func() { assert.NilError(t, server.Close()) })
	return l.Addr().String()
}

func (s *fakeSource) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// storeCalls returns the number of calls of the source.
func (s *fakeSource) storeCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads + s.waits
}

// Guards against followers that call the store although a reader of their
// availability zone has the configuration, also while nothing changes for longer
// than the time limits of the server.
func TestFollowerMakesNoCallsBesideReader(t *testing.T) {
	src := newSource(5)
	reader := startService(t, src, eventlog.Nop())
	waitVersion(t, reader, 5)
	own := newSource(1)
	follower, _ := startFollower(t, own, serve(t, reader))
	waitVersion(t, follower, 5)
	for v := uint64(6); v < 9; v++ {
		time.Sleep(150 * time.Millisecond)
		src.set(func() { src.current = newTable(v) })
		waitVersion(t, follower, v)
	}
	assert.Equal(t, own.storeCalls(), 0)
}

// Guards against a follower that reaches the store but no other node and keeps
// an old configuration.
func TestFollowerWithoutPeersReadsStore(t *testing.T) {
	src := newSource(5)
	follower, _ := startFollower(t, src, "127.0.0.1:1")
	waitVersion(t, follower, 5)
	src.set(func() { src.current = newTable(6) })
	begin := time.Now()
	waitVersion(t, follower, 6)
	assert.Assert(t, time.Since(begin) < 2*time.Second)
}

// Guards against a follower that waits for a leader after it has become a reader.
func TestPromotedFollowerReadsStore(t *testing.T) {
	src := newSource(5)
	leader := startService(t, newSource(5), eventlog.Nop())
	follower, reader := startFollower(t, src, serve(t, leader))
	waitVersion(t, follower, 5)
	src.set(func() { src.current = newTable(6) })
	reader.Store(true)
	waitVersion(t, follower, 6)
}

// Guards against followers that miss a change because the store refuses their
// leaders and serves them (CONFIG).
func TestFollowerReadsStoreThatRefusesItsLeaders(t *testing.T) {
	refused := []*fakeSource{newSource(5), newSource(5)}
	var leaders []string
	for _, src := range refused {
		src.set(func() {}) // as in a store, no position is 0
		leader := startService(t, src, eventlog.Nop())
		waitVersion(t, leader, 5)
		leaders = append(leaders, serve(t, leader))
	}
	src := newSource(5)
	src.set(func() {})
	first, _ := startFollower(t, src, leaders...)
	second, _ := startFollower(t, src, append(leaders, serve(t, first))...)
	waitVersion(t, first, 5)
	waitVersion(t, second, 5)
	assert.Equal(t, src.storeCalls(), 0)
	for _, r := range refused {
		r.set(func() { r.err = errors.New("refused") })
	}
	begin := time.Now()
	src.set(func() { src.current = newTable(6) })
	waitVersion(t, first, 6)
	waitVersion(t, second, 6)
	assert.Assert(t, time.Since(begin) < configBound, "version 6 active after %v", time.Since(begin))
	assert.Equal(t, src.readCount(), 0, "the position of the leaders was not used")
}

// Guards against a follower that keeps waiting at a leader whose VM has been lost,
// although it reaches the store.
func TestFollowerLeavesLostLeader(t *testing.T) {
	for _, lost := range []string{"process ended", "does not respond"} {
		t.Run(lost, func(t *testing.T) {
			handler := new(atomic.Pointer[http.HandlerFunc])
			leader := startService(t, newSource(5), eventlog.Nop())
			waitVersion(t, leader, 5)
			serveHTTP := http.HandlerFunc(leader.ServeHTTP)
			handler.Store(&serveHTTP)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { (*handler.Load())(w, r) }))
			ended := make(chan struct{})
			t.Cleanup(func() { close(ended); server.Close() })
			src := newSource(5)
			follower, _ := startFollower(t, src, strings.TrimPrefix(server.URL, "http://"))
			waitVersion(t, follower, 5)
			hang := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-ended })
			if lost == "process ended" {
				handler.Store(&hang)
				server.CloseClientConnections()
			} else {
				time.Sleep(50 * time.Millisecond) // the follower waits at the leader
				handler.Store(&hang)
			}
			begin := time.Now()
			src.set(func() { src.current = newTable(6) })
			follower.ObservePeerVersion(6, "127.0.0.1:1")
			waitVersion(t, follower, 6)
			assert.Assert(t, time.Since(begin) < configBound, "version 6 active after %v", time.Since(begin))
		})
	}
}

// Many nodes start at once, and gossip reports the versions that each has to all
// others. Guards against nodes that each read the store, and against a start that
// takes much longer than one read.
func TestNodesThatStartTogetherReadStoreOnce(t *testing.T) {
	const nodes = 30
	src := newSource(5)
	var services []*Service
	var addresses []string
	begin := time.Now()
	for range nodes {
		s := &Service{Source: src, Log: eventlog.Nop(), SettleTime: settleTime}
		s.OnAdopt = func(*routetable.Table) {
			for i, other := range services {
				if s == other {
					for _, told := range services {
						told.ObservePeerVersion(5, addresses[i])
					}
				}
			}
		}
		assert.NilError(t, s.Provision(nil))
		services, addresses = append(services, s), append(addresses, serve(t, s))
	}
	for _, s := range services {
		assert.NilError(t, s.Start(t.Context()))
		defer func() { assert.NilError(t, s.Stop(context.Background())) }()
	}
	for _, s := range services {
		waitVersion(t, s, 5)
	}
	assert.Assert(t, time.Since(begin) < settleTime, "%v", time.Since(begin))
	assert.Assert(t, src.storeCalls() < nodes/3, "%d calls of the store", src.storeCalls())
}

// Guards against a node that finds no peer and never reads the store.
func TestNodeWithoutPeersReadsStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Service{Source: newSource(5), Log: eventlog.Nop(), SettleTime: settleTime}
		assert.NilError(t, s.Provision(nil))
		assert.NilError(t, s.Start(t.Context()))
		defer func() { assert.NilError(t, s.Stop(context.Background())) }()
		time.Sleep(maxFirstRead)
		assert.Equal(t, s.Version(), uint64(5))
	})
}

// Guards against a follower that takes a reader without contact for one that has
// the latest configuration, and against one that does not adopt what it has.
func TestLeaderWithoutContactIsNotFollowed(t *testing.T) {
	out := newSource(5)
	leader := startService(t, out, eventlog.Nop())
	waitVersion(t, leader, 5)
	leader.contact.lose()
	src := newSource(4)
	follower, _ := startFollower(t, src, serve(t, leader))
	waitVersion(t, follower, 5)
	src.set(func() { src.current = newTable(6) })
	waitVersion(t, follower, 6)
}

// Guards against positions that are malformed or of another form than they are
// sent in.
func TestPositionIsParsed(t *testing.T) {
	for _, p := range []Position{{}, {Era: 3, Version: 1 << 40}} {
		got, err := parsePosition(p.String())
		assert.NilError(t, err)
		assert.Equal(t, got, p)
	}
	for _, text := range []string{"7", "-", "a-1", "1-18446744073709551615", "1-2-3", "1--2"} {
		_, err := parsePosition(text)
		assert.ErrorIs(t, err, errNoPosition, text)
	}
}
