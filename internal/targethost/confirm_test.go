package targethost

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"parsleyturn/internal/departure"
	"parsleyturn/internal/eventlog"
	"parsleyturn/internal/headers"
	"parsleyturn/internal/kernel"
	"parsleyturn/internal/targetstate"
)

// distrustingHost returns a host that does not know what earlier processes have
// acknowledged.
func distrustingHost(t *testing.T) *Host {
	t.Helper()
	h := &Host{
		Dialect: &headers.Dialect{RequestID: "X-Id", HealthTarget: "X-Target"}, HeartbeatInterval: time.Second, Log: eventlog.Nop(),
		HealthPath: func(string) string { return "/healthy" },
	}
	assert.NilError(t, h.Provision(nil))
	h.state.Distrust(now())
	assert.NilError(t, h.Start(t.Context()))
	t.Cleanup(func() { assert.NilError(t, h.Stop(t.Context())) })
	return h
}

// ready reports whether the host runs requests on its target.
func (h *Host) ready() bool { return !h.Load().Draining }

// Guards against requests for a target that has left and that the node does not know
// after its restart, against another target or an error that is taken for its word, and
// against a target that is lost although it says that it is ready.
func TestTargetIsConfirmedByItsHealthCheck(t *testing.T) {
	var status atomic.Int32
	var id atomic.Value
	status.Store(http.StatusServiceUnavailable)
	id.Store("i")
	var checks atomic.Int32
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		checks.Add(1)
		if r.URL.Path != "/healthy" || r.Method != http.MethodGet {
			t.Errorf("%s %s", r.Method, r.URL)
		}
		w.Header().Set("X-Target", id.Load().(string))
		w.WriteHeader(int(status.Load()))
	}))
	defer target.Close()
	h := distrustingHost(t)
	a := heartbeat("i", 1000, 1)
	a.Address = strings.TrimPrefix(target.URL, "http://")
	assert.NilError(t, h.HandleAnnouncement(a))
	awaitChecks := func() {
		before := checks.Load()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if checks.Load() < before+2 {
				return poll.Continue("%d health checks", checks.Load()-before)
			}
			return poll.Success()
		}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
	}
	awaitChecks()
	assert.Assert(t, !h.ready(), "the target says that it leaves")
	status.Store(http.StatusOK)
	id.Store("j")
	awaitChecks()
	assert.Assert(t, !h.ready(), "another target has responded")
	_, refusal := h.usable("a")
	assert.ErrorContains(t, refusal, "not confirmed")
	id.Store("i")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !h.ready() {
			return poll.Continue("not ready")
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
	count := checks.Load()
	a.Sequence++
	assert.NilError(t, h.HandleAnnouncement(a))
	assert.Assert(t, h.ready())
	time.Sleep(2 * minConfirmDelay)
	assert.Equal(t, checks.Load(), count, "a confirmed target was checked again")
}

// Guards against a target that is not used because it has no health check: its
// announcements are believed once none from before the start can arrive, or if it
// started later.
func TestTargetWithoutHealthCheckIsUsedAgain(t *testing.T) {
	h := distrustingHost(t)
	h.HealthPath = nil
	assert.NilError(t, h.HandleAnnouncement(heartbeat("i", 1000, 1)))
	assert.Assert(t, !h.ready())
	time.Sleep(2 * time.Millisecond)
	later := heartbeat("i", time.Now().UnixMilli(), 1)
	assert.NilError(t, h.HandleAnnouncement(later))
	assert.Assert(t, h.ready(), "the target started after the node")

	h = distrustingHost(t)
	h.HealthPath = nil
	assert.NilError(t, h.HandleAnnouncement(heartbeat("i", 1000, 1)))
	kernel.RecordSuspension(departure.LateLimit)
	assert.Assert(t, !h.ready(), "an announcement that arrived before is believed")
	assert.NilError(t, h.HandleAnnouncement(heartbeat("i", 1000, 2)))
	assert.Assert(t, h.ready())
}

// Guards against a target that has left and that is used because all departures before
// are known, or because it is confirmed late.
func TestConfirmationDoesNotBringBackATargetThatHasLeft(t *testing.T) {
	h := distrustingHost(t)
	h.HealthPath = nil
	assert.NilError(t, h.HandleAnnouncement(heartbeat("i", 1000, 1)))
	h.LearnDeparture(departure.Departure{TargetID: "i", StatedAtMillis: time.Now().UnixMilli()}, "test")
	h.DeparturesComplete()
	assert.Assert(t, !h.ready())
	a := heartbeat("i", 1000, 1)
	h.mu.Lock()
	r := h.state.Confirm(&a)
	h.mu.Unlock()
	assert.DeepEqual(t, r, targetstate.Result{})
	assert.Assert(t, !h.ready())
}
