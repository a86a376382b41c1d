package configwatch

import (
	"context"
	"errors"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"parsleyturn/internal/eventlog"
	"parsleyturn/internal/routetable"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func table(version uint64) *routetable.Table {
	return &routetable.Table{Version: version, Source: []byte(strconv.FormatUint(version, 10))}
}

// source is a store whose answers a test sets.
type source struct {
	mu      sync.Mutex
	current *routetable.Table
	err     error
	gone    bool
	reads   int
	// at counts the changes; changed is closed at the next one.
	at      Position
	changed chan struct{}
}

func newSource(version uint64) *source {
	return &source{current: table(version), changed: make(chan struct{})}
}

func (s *source) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	s.at++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *source) Read(context.Context) (*routetable.Table, Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	return s.current, s.at, s.err
}

func (s *source) Wait(ctx context.Context, after Position, _ time.Duration) (*routetable.Table, Position, error) {
	s.mu.Lock()
	at, changed := s.at, s.changed
	s.mu.Unlock()
	if at <= after {
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gone {
		s.gone = false
		return nil, 0, ErrHistoryGone
	}
	return s.current, s.at, s.err
}

func (s *source) Decode(data []byte) (*routetable.Table, error) {
	v, err := strconv.ParseUint(string(data), 10, 64)
	return table(v), err
}

func start(t *testing.T, src *source, log eventlog.Log) *Service {
	t.Helper()
	s := &Service{Source: src, Log: log}
	assert.NilError(t, s.Provision(nil))
	assert.NilError(t, s.Start(t.Context()))
	t.Cleanup(func() { assert.NilError(t, s.Stop(context.Background())) })
	return s
}

func reaches(t *testing.T, s *Service, version uint64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := s.Version(); got != version {
			return poll.Continue("version %d is in force", got)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
}

// Guards against a version that goes back when the store answers from the
// past, and against one that is missed when the history is gone.
func TestVersionsOnlyRise(t *testing.T) {
	src := newSource(5)
	s := start(t, src, eventlog.Nop())
	reaches(t, s, 5)
	src.set(func() { src.current = table(3) })
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, s.Version(), uint64(5))
	src.set(func() { src.current, src.gone = table(8), true })
	reaches(t, s, 8)
}

// Guards against a lost store that takes the configuration away, that is asked
// without pause, or whose return is not noticed.
func TestStoreAway(t *testing.T) {
	var out strings.Builder
	var mu sync.Mutex
	log := eventlog.New(writer(func(p []byte) { mu.Lock(); defer mu.Unlock(); out.Write(p) }), "n")
	src := newSource(5)
	s := start(t, src, log)
	reaches(t, s, 5)
	src.set(func() { src.err = errors.New("down") })
	time.Sleep(time.Second)
	assert.Equal(t, s.Version(), uint64(5))
	src.mu.Lock()
	reads := src.reads
	src.mu.Unlock()
	assert.Assert(t, reads < 15, "%d reads in a second of an outage", reads)
	src.set(func() { src.err, src.current = nil, table(6) })
	reaches(t, s, 6)
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, strings.Count(out.String(), "dependency-lost"), 1)
	assert.Equal(t, strings.Count(out.String(), "dependency-regained"), 1)
}

type writer func(p []byte)

func (w writer) Write(p []byte) (int, error) {
	w(p)
	return len(p), nil
}

// Guards against a node without the store that does not learn a version its
// peers have, and against a peer that takes a node back.
func TestPeersPassTheConfigurationOn(t *testing.T) {
	peer := start(t, newSource(9), eventlog.Nop())
	reaches(t, peer, 9)
	server := httptest.NewServer(peer)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	away := newSource(4)
	s := start(t, away, eventlog.Nop())
	reaches(t, s, 4)
	s.ObservePeerVersion(t.Context(), 9, address)
	assert.Equal(t, s.Version(), uint64(9))
	assert.Assert(t, !s.Adopt(table(8), "test"))
	assert.Equal(t, s.Version(), uint64(9))
	s.ObservePeerVersion(t.Context(), 12, "127.0.0.1:1") // a peer that is gone changes nothing
	assert.Equal(t, s.Version(), uint64(9))
}
