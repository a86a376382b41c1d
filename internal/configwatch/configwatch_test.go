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

func newTable(version uint64) *routetable.Table {
	return &routetable.Table{Version: version, Source: []byte(strconv.FormatUint(version, 10))}
}

// fakeSource is a Source whose state is set by the test.
type fakeSource struct {
	mu           sync.Mutex
	current      *routetable.Table
	err          error
	historyGone  bool
	reads, waits int
	// position counts the changes; changed is closed at the next change.
	position uint64
	// era is the era of all positions.
	era     uint64
	changed chan struct{}
}

func newSource(version uint64) *fakeSource {
	return &fakeSource{current: newTable(version), changed: make(chan struct{})}
}

func (s *fakeSource) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	s.position++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeSource) ReadConfig(context.Context) (Update, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	return Update{Table: s.current, Position: s.at()}, s.err
}

// at returns the current position. s.mu must be held.
func (s *fakeSource) at() Position { return Position{Era: s.era, Version: s.position} }

func (s *fakeSource) WaitConfig(ctx context.Context, after Position, wait time.Duration) (Update, error) {
	s.mu.Lock()
	s.waits++
	at, changed := s.at(), s.changed
	s.mu.Unlock()
	if at.Era == after.Era && at.Version <= after.Version {
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
			return Update{}, ctx.Err()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.historyGone || s.era != after.Era {
		s.historyGone = false
		return Update{}, ErrHistoryGone
	}
	return Update{Table: s.current, Position: s.at()}, s.err
}

func (s *fakeSource) Decode(data []byte) (*routetable.Table, error) {
	v, err := strconv.ParseUint(string(data), 10, 64)
	return newTable(v), err
}

func startService(t *testing.T, src Source, log eventlog.Log) *Service {
	t.Helper()
	s := &Service{Source: src, Log: log}
	assert.NilError(t, s.Provision(nil))
	assert.NilError(t, s.Start(t.Context()))
	t.Cleanup(func() { assert.NilError(t, s.Stop(context.Background())) })
	return s
}

func waitVersion(t *testing.T, s *Service, version uint64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := s.Version(); got != version {
			return poll.Continue("version %d is active", got)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
}

// waitLog waits until the log contains text.
func waitLog(t *testing.T, log *lockedBuffer, text string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !strings.Contains(log.String(), text) {
			return poll.Continue("the log does not contain %q", text)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
}

// Guards against an active version that decreases when the store returns an
// older configuration, and against a new version that is missed when the store
// no longer has the changes after the node's position.
func TestVersionNeverDecreases(t *testing.T) {
	src := newSource(5)
	s := startService(t, src, eventlog.Nop())
	waitVersion(t, s, 5)
	src.set(func() { src.current = newTable(3) })
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, s.Version(), uint64(5))
	src.set(func() { src.current, src.historyGone = newTable(8), true })
	waitVersion(t, s, 8)
}

// Guards against an outage of the store that deactivates the configuration, or
// in which the store is polled without backoff, and against a recovery that goes
// undetected.
func TestStoreOutage(t *testing.T) {
	out := &lockedBuffer{}
	src := newSource(5)
	s := startService(t, src, eventlog.New(out, "n"))
	waitVersion(t, s, 5)
	src.set(func() { src.err = errors.New("down") })
	time.Sleep(time.Second)
	assert.Equal(t, s.Version(), uint64(5))
	src.mu.Lock()
	reads := src.reads
	src.mu.Unlock()
	assert.Assert(t, reads < 15, "%d reads in 1 s of an outage", reads)
	src.set(func() { src.err, src.current = nil, newTable(6) })
	waitVersion(t, s, 6)
	waitLog(t, out, "dependency-regained") // written after the version has become active
	assert.Equal(t, strings.Count(out.String(), "dependency-lost"), 1)
	assert.Equal(t, strings.Count(out.String(), "dependency-regained"), 1)
}

// lockedBuffer collects log output from several goroutines.
type lockedBuffer struct {
	mu  sync.Mutex
	buf strings.Builder
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// Guards against a node that does not learn a newer version from its peers while
// its store has only an older one, and against an older configuration or an
// unreachable peer that changes the active one.
func TestConfigurationIsFetchedFromPeer(t *testing.T) {
	peer := startService(t, newSource(9), eventlog.Nop())
	waitVersion(t, peer, 9)
	server := httptest.NewServer(peer)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	outdated := newSource(4)
	log := &lockedBuffer{}
	s := startService(t, outdated, eventlog.New(log, "n"))
	waitVersion(t, s, 4)
	s.ObservePeerVersion(9, address)
	waitVersion(t, s, 9)
	assert.Assert(t, !s.Adopt(newTable(8), "test", 0))
	assert.Equal(t, s.Version(), uint64(9))
	s.ObservePeerVersion(12, "127.0.0.1:1") // an unreachable peer changes nothing
	waitLog(t, log, "config-peer-failed")
	assert.Equal(t, s.Version(), uint64(9))
}
