package targethost

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"parsleyturn/internal/admission"
	"parsleyturn/internal/apierror"
	"parsleyturn/internal/eventlog"
	"parsleyturn/internal/headers"
	_ "parsleyturn/internal/rapidseed"
	"parsleyturn/internal/targetstate"
	"parsleyturn/internal/wire"
)

func host(t *testing.T) *Host {
	t.Helper()
	h := &Host{Dialect: &headers.Dialect{RequestID: "X-Id"}, HeartbeatInterval: time.Second, Log: eventlog.Nop()}
	assert.NilError(t, h.Provision(nil))
	return h
}

func heartbeat(id string, startedAtMillis, sequence int64) targetstate.Announcement {
	return targetstate.Announcement{ID: id, Address: "127.0.0.1:1", Service: "a", Slots: 2, StartedAtMillis: startedAtMillis, Sequence: sequence}
}

// Guards against an announcement that replaces the current state although it is
// older: it was sent by an earlier incarnation, or before the shutdown, and
// arrives late.
func TestOutdatedAnnouncementsAreIgnored(t *testing.T) {
	h := host(t)
	assert.NilError(t, h.HandleAnnouncement(heartbeat("new", 2000, 1)))
	assert.NilError(t, h.HandleAnnouncement(heartbeat("old", 1000, 50)))
	inForce, _ := h.state.Target()
	assert.Equal(t, inForce.ID, "new")
	draining := heartbeat("new", 2000, 3)
	draining.Draining = true
	assert.NilError(t, h.HandleAnnouncement(draining))
	assert.NilError(t, h.HandleAnnouncement(heartbeat("new", 2000, 2)))
	_, err := h.usable("a")
	assert.Equal(t, err.Code, apierror.Draining)
	// A restart under the same ID starts a new sequence.
	assert.NilError(t, h.HandleAnnouncement(heartbeat("new", 3000, 1)))
	_, err = h.usable("a")
	assert.Assert(t, err == nil)
	assert.NilError(t, h.Withdraw("new", 2000))
	_, err = h.usable("a")
	assert.Assert(t, err == nil, "the withdrawal of an earlier incarnation applied to the later one")
	assert.NilError(t, h.Withdraw("new", 3000))
	_, err = h.usable("a")
	assert.Equal(t, err.Code, apierror.Draining)
}

// Guards against an older state that becomes current because announcements
// arrive in another order than they were sent. One that says that the target drains
// counts, however late, until a later one says that it is ready.
func TestTheLatestAnnouncementWins(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := host(t)
		var newest targetstate.Announcement
		drainedLate := false
		for range rapid.IntRange(1, 20).Draw(rt, "count") {
			a := heartbeat("i", int64(rapid.IntRange(1, 4).Draw(rt, "born")), int64(rapid.IntRange(1, 5).Draw(rt, "sequence")))
			a.Draining = rapid.Bool().Draw(rt, "leaving")
			assert.NilError(t, h.HandleAnnouncement(a))
			if a.StartedAtMillis > newest.StartedAtMillis || a.StartedAtMillis == newest.StartedAtMillis && a.Sequence > newest.Sequence {
				newest, drainedLate = a, false
			} else if a.StartedAtMillis == newest.StartedAtMillis && a.Draining {
				drainedLate = true
			}
			want := newest
			want.Draining = newest.Draining || drainedLate
			inForce, _ := h.state.Target()
			assert.Equal(t, inForce, want)
		}
	})
}

// Guards against running requests for a service that the target does not offer.
func TestRequestsForAnotherServiceAreRefused(t *testing.T) {
	h := host(t)
	assert.NilError(t, h.HandleAnnouncement(heartbeat("i", 1, 1)))
	_, refusal := h.Serve(context.Background(), &wire.Request{ID: "r", Service: "b", RemainingMicros: 1e6}, nil, nil)
	assert.Equal(t, refusal.Code, apierror.NoTarget)
	assert.Equal(t, refusal.Outcome, apierror.NotRun)
	assert.Assert(t, !refusal.SentToTarget)
}

// Guards against sending requests to a dead target until its announcements are
// missed, and against a target that stays withdrawn after its next announcement.
// Nothing listens at the address of the target.
func TestRefusedConnectionWithdrawsTheTarget(t *testing.T) {
	h := host(t)
	var ready []bool
	h.OnTargetChange = func(_ targetstate.Announcement, r bool) { ready = append(ready, r) }
	assert.NilError(t, h.HandleAnnouncement(heartbeat("i", 1, 1)))
	_, refusal := h.Serve(context.Background(), &wire.Request{ID: "r", Service: "a", RemainingMicros: 1e6}, nil, nil)
	assert.Equal(t, refusal.Outcome, apierror.NotRun)
	assert.DeepEqual(t, ready, []bool{true, false})
	assert.NilError(t, h.HandleAnnouncement(heartbeat("i", 1, 2)))
	assert.DeepEqual(t, ready, []bool{true, false, true})
}

// Guards against a waiting request that is never woken, that keeps waiting after
// its context has ended, or that waits longer than MaxQueueTime.
func TestSlotQueueWakesWaiters(t *testing.T) {
	q := newSlotQueue(admission.Config{Slots: 1, MaxQueueTime: time.Second})
	first, verdict := q.acquire(context.Background(), admission.Job{Deadline: time.Hour})
	assert.Equal(t, verdict, admission.Run)
	got := make(chan admission.Verdict, 1)
	go func() {
		id, v := q.acquire(context.Background(), admission.Job{Deadline: time.Hour})
		got <- v
		q.release(id, true)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, verdict = q.acquire(ctx, admission.Job{Deadline: time.Hour})
	assert.Equal(t, verdict, admission.RefusedDeadline)
	q.release(first, true)
	assert.Equal(t, <-got, admission.Run)
	short := newSlotQueue(admission.Config{Slots: 1, MaxQueueTime: 30 * time.Millisecond})
	short.acquire(context.Background(), admission.Job{Deadline: time.Hour})
	begin := time.Now()
	_, verdict = short.acquire(context.Background(), admission.Job{Deadline: time.Hour})
	assert.Equal(t, verdict, admission.RefusedOverload)
	assert.Assert(t, time.Since(begin) < time.Second)
}

// Guards against a peer's statement that a target leaves which drains a later
// incarnation of it, and against one that a later heartbeat overrides.
func TestPeerStatementConcernsOneIncarnationOfTheTarget(t *testing.T) {
	h := host(t)
	assert.NilError(t, h.HandleAnnouncement(heartbeat("i", 2000, 1)))
	for _, other := range []wire.Target{{}, {ID: "i"}, {ID: "i", StartedAtMillis: 1000}, {ID: "j", StartedAtMillis: 2000}} {
		h.learnLeaving(other)
		_, err := h.usable("a")
		assert.Assert(t, err == nil, "%+v", other)
	}
	h.learnLeaving(wire.Target{ID: "i", StartedAtMillis: 2000})
	assert.NilError(t, h.HandleAnnouncement(heartbeat("i", 2000, 2)))
	_, err := h.usable("a")
	assert.Equal(t, err.Code, apierror.Draining)
	assert.NilError(t, h.HandleAnnouncement(heartbeat("i", 3000, 1)))
	_, err = h.usable("a")
	assert.Assert(t, err == nil)
}
