package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"parsleyturn/internal/headers"
	"parsleyturn/internal/targetstatus"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startTarget(t *testing.T, cfg Config) *Server {
	t.Helper()
	cfg.Service = "directory"
	s, err := New(cfg)
	assert.NilError(t, err)
	assert.NilError(t, s.Start(t.Context()))
	t.Cleanup(s.Stop)
	return s
}

func get(ctx context.Context, s *Server, path, id string) (*http.Response, []byte, error) {
	req, _ := http.NewRequestWithContext(ctx, "GET", "http://"+s.Addr()+path, nil)
	req.Header.Set(headers.RequestID, id)
	req.Header.Set(headers.ContextToken, "token")
	tr := &http.Transport{DisableKeepAlives: true}
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

// Guards against a Body whose bytes depend on the sizes of the reads: a client
// that reads in other sizes than the target would then report complete
// responses as corrupted.
func TestBodyDoesNotDependOnReadSizes(t *testing.T) {
	full, pieces := make([]byte, 1000), make([]byte, 0, 1000)
	_, _ = NewBody(1, "a").Read(full)
	b := NewBody(1, "a")
	for i := 1; len(pieces) < 1000; i++ {
		p := make([]byte, min(i%13+1, 1000-len(pieces)))
		_, _ = b.Read(p)
		pieces = append(pieces, p...)
	}
	assert.Assert(t, bytes.Equal(full, pieces))
	other := make([]byte, 1000)
	_, _ = NewBody(1, "b").Read(other)
	assert.Assert(t, !bytes.Equal(full, other))
}

// Guards against responses whose body differs from that of NewBody for the seed
// and request ID, and against completed requests without a record.
func TestResponseAndRecord(t *testing.T) {
	s := startTarget(t, Config{Seed: 7, Routes: []Route{{PathPrefix: "/directory/", BodyBytes: 100000}}})
	resp, body, err := get(t.Context(), s, "/directory/a", "r1")
	assert.NilError(t, err)
	assert.Equal(t, resp.Header.Get(HeaderRequestID), "r1")
	want := make([]byte, 100000)
	_, _ = NewBody(7, "r1").Read(want)
	assert.Assert(t, bytes.Equal(body, want))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		r := s.Records()
		if len(r) == 1 && r[0].Result == Completed && r[0].StartedMicros > 0 {
			return poll.Success()
		}
		return poll.Continue("records: %+v", r)
	})
}

// Guards against a shed request that is counted as started or whose response
// does not carry the outcome not-run.
func TestShedding(t *testing.T) {
	s := startTarget(t, Config{Slots: 1, Shed: true, Routes: []Route{{PathPrefix: "/", TimeMS: 300}}})
	var wg sync.WaitGroup
	wg.Go(func() { _, _, _ = get(t.Context(), s, "/a", "first") })
	waitStarted(t, s, 1)
	resp, _, err := get(t.Context(), s, "/a", "second")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 503)
	assert.Equal(t, resp.Header.Get(headers.Outcome), "not-run")
	wg.Wait()
	c := s.Counters()
	assert.Equal(t, c.Started, int64(1))
	assert.Equal(t, c.Results[Shed], int64(1))
}

func waitStarted(t *testing.T, s *Server, n int64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.Counters().Started == n {
			return poll.Success()
		}
		return poll.Continue("requests started: %d", s.Counters().Started)
	}, poll.WithDelay(time.Millisecond))
}

// Guards against work that continues or keeps its slot after the caller has
// disconnected: the next request would wait for the 60 s of the first.
func TestCancellationFreesTheSlot(t *testing.T) {
	s := startTarget(t, Config{Slots: 1, Routes: []Route{{PathPrefix: "/long", TimeMS: 60000}, {PathPrefix: "/"}}})
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _, _, _ = get(ctx, s, "/long", "long") })
	waitStarted(t, s, 1)
	cancel()
	wg.Wait()
	resp, _, err := get(t.Context(), s, "/a", "next")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, s.Counters().Results[Canceled], int64(1))
}

// Guards against a request that stays in the queue past the deadline in its
// Parsley-Deadline-Ms header.
func TestDeadlineEndsQueuedWork(t *testing.T) {
	s := startTarget(t, Config{Slots: 1, Routes: []Route{{PathPrefix: "/", TimeMS: 400}}})
	var wg sync.WaitGroup
	wg.Go(func() { _, _, _ = get(t.Context(), s, "/a", "first") })
	waitStarted(t, s, 1)
	req, _ := http.NewRequestWithContext(t.Context(), "GET", "http://"+s.Addr()+"/a", nil)
	req.Header.Set(headers.DeadlineMS, "20")
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, 504)
	assert.Equal(t, s.Counters().Results[CanceledQueued], int64(1))
	wg.Wait()
}

// Guards against sub-calls without the context token and request ID of their
// parent, against more or fewer than SubCallRetries retries, and against the
// outcome header of a failed sub-call being passed on to the caller: "not-run"
// would be wrong for the parent, whose work has started.
func TestSubCalls(t *testing.T) {
	var mu sync.Mutex
	var seen []string
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		if r.URL.Path == "/parsley/target" {
			return
		}
		seen = append(seen, r.URL.Path+" "+r.Header.Get(headers.ContextToken)+" "+r.Header.Get(headers.RequestID))
		if strings.HasPrefix(r.URL.Path, "/bad") {
			w.Header().Set(headers.Outcome, "not-run")
			w.WriteHeader(503)
		}
	}))
	defer node.Close()
	s := startTarget(t, Config{Node: node.URL, SubCallRetries: 2, Routes: []Route{
		{PathPrefix: "/good", SubCalls: []SubCall{{Method: "GET", Path: "/directory/{id}"}}},
		{PathPrefix: "/fails", SubCalls: []SubCall{{Method: "POST", Path: "/bad", BodyBytes: 10}}},
	}})
	resp, _, err := get(t.Context(), s, "/good", "r1")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200)
	resp, body, err := get(t.Context(), s, "/fails", "r2")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 502)
	assert.Equal(t, resp.Header.Get(headers.Outcome), "")
	assert.Assert(t, strings.Contains(string(body), "POST /bad"))
	assert.DeepEqual(t, seen, []string{"/directory/r1 token r1", "/bad token r2", "/bad token r2", "/bad token r2"})
}

// Guards against a drain that aborts requests in flight or does not announce
// the states draining and stopping.
func TestDrainFinishesWorkAndAnnounces(t *testing.T) {
	var mu sync.Mutex
	var states []targetstatus.State
	node := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var a targetstatus.Announcement
		_ = json.NewDecoder(r.Body).Decode(&a)
		mu.Lock()
		defer mu.Unlock()
		if a.Validate() == nil && (len(states) == 0 || states[len(states)-1] != a.State) {
			states = append(states, a.State)
		}
	}))
	defer node.Close()
	s := startTarget(t, Config{Node: node.URL, Routes: []Route{{PathPrefix: "/", TimeMS: 200}}})
	var wg sync.WaitGroup
	wg.Go(func() {
		resp, _, err := get(t.Context(), s, "/a", "r")
		assert.Check(t, err)
		assert.Check(t, resp.StatusCode == 200)
	})
	waitStarted(t, s, 1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		mu.Lock()
		defer mu.Unlock()
		if len(states) > 0 {
			return poll.Success()
		}
		return poll.Continue("no announcement received")
	})
	assert.Equal(t, s.Drain(t.Context()), 0)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	assert.DeepEqual(t, states, []targetstatus.State{targetstatus.Ready, targetstatus.Draining, targetstatus.Stopping})
}

// Guards against a connection limit that is not enforced, or that still counts
// a connection after it was closed.
func TestConnectionLimit(t *testing.T) {
	s := startTarget(t, Config{Connections: 1, Routes: []Route{{PathPrefix: "/"}}})
	first, err := net.Dial("tcp", s.Addr())
	assert.NilError(t, err)
	time.Sleep(20 * time.Millisecond) // the target accepts the first connection
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, _, err = get(ctx, s, "/a", "r")
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	first.Close()
	_, _, err = get(t.Context(), s, "/a", "r")
	assert.NilError(t, err)
}

// Guards against faults that are accepted but have no effect (truncated
// responses, longer service times, stragglers and a reported health), and against
// a TruncateShare out of range that is accepted.
func TestFaults(t *testing.T) {
	s := startTarget(t, Config{Routes: []Route{{PathPrefix: "/", TimeMS: 10, BodyBytes: 1000}}})
	assert.ErrorContains(t, s.SetFaults(Faults{TruncateShare: 2}), "cut_share")
	assert.NilError(t, s.SetFaults(Faults{TruncateShare: 1}))
	_, _, err := get(t.Context(), s, "/a", "r")
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.NilError(t, s.SetFaults(Faults{SlowFactor: 30, SlowMS: 60000}))
	begin := time.Now()
	_, _, err = get(t.Context(), s, "/a", "r")
	assert.NilError(t, err)
	assert.Assert(t, time.Since(begin) >= 300*time.Millisecond)
	assert.NilError(t, s.SetFaults(Faults{Health: "down"}))
	resp, _, err := get(t.Context(), s, "/healthz", "r")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 503)
	duration, straggler := (&Route{TimeMS: 1}).serviceTime(1, "x", &Faults{StragglerShare: 1, StragglerFactor: 50})
	assert.Assert(t, straggler)
	assert.Equal(t, duration, 50*time.Millisecond)
}

// Guards against configuration errors that do not name the file and the key.
func TestConfigErrorsNameTheKey(t *testing.T) {
	c := Config{Routes: []Route{{PathPrefix: "x", Distribution: "pareto"}}}
	err := c.Validate("t.toml")
	for _, want := range []string{`"t.toml"`, `"service"`, `"route[0].path_prefix"`, `"route[0].distribution"`} {
		assert.ErrorContains(t, err, want)
	}
}
