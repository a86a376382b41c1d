package targethost

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/apierror"
	"parsleyturn/internal/kernel"
	"parsleyturn/internal/wire"
)

// A request waits for a slot while the VM is suspended past its deadline. Guards
// against sending it after its caller has given up, with the time that it had left
// before (a permission that has run out).
func TestRequestIsNotSentAfterSuspensionPastItsDeadline(t *testing.T) {
	release := make(chan struct{})
	var sent atomic.Int32
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sent.Add(1)
		<-release
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Stamp", "s")
	}))
	defer target.Close()
	h := host(t)
	h.Dialect.ResponseSignature, h.Dialect.DeadlineMS = "X-Stamp", "X-Deadline"
	a := heartbeat("i", 1, 1)
	a.Address, a.Slots = strings.TrimPrefix(target.URL, "http://"), 1
	assert.NilError(t, h.HandleAnnouncement(a))
	serve := func(id string) *Refusal {
		_, refusal := h.Serve(context.Background(), &wire.Request{ID: id, Kind: "order", Service: "a", Method: http.MethodPost, Path: "/", RemainingMicros: 3e6}, nil, nil)
		return refusal
	}
	first, second := make(chan *Refusal, 1), make(chan *Refusal, 1)
	go func() { first <- serve("first") }()
	for sent.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	go func() { second <- serve("second") }()
	for h.Load().Queued == 0 {
		time.Sleep(time.Millisecond)
	}
	kernel.RecordSuspension(5 * time.Second)
	close(release)
	<-first
	refusal := <-second
	assert.Assert(t, refusal != nil, "the request was sent after its deadline")
	assert.Equal(t, refusal.Outcome, apierror.NotRun)
	assert.Equal(t, sent.Load(), int32(1))
}

// A target withdraws, and its node restarts and gets a heartbeat that the target had
// sent before. Guards against the target being used again, where other nodes know that
// it leaves: the node named it in its refusals.
func TestWithdrawnTargetIsNamedInRefusals(t *testing.T) {
	h := host(t)
	assert.NilError(t, h.HandleAnnouncement(heartbeat("i", 1000, 4)))
	assert.NilError(t, h.Withdraw("i", 1000))
	_, refusal := h.Serve(context.Background(), &wire.Request{ID: "r", Service: "a", RemainingMicros: 1e6}, nil, nil)
	assert.Equal(t, refusal.Code, apierror.Draining)
	assert.Equal(t, refusal.LeavingTarget, wire.Target{ID: "i", StartedAtMillis: 1000})

	restarted := host(t)
	assert.NilError(t, restarted.HandleAnnouncement(heartbeat("i", 1000, 3)))
	_, again := restarted.Serve(context.Background(), &wire.Request{ID: "s", Service: "a", RemainingMicros: 1e6, LeavingTarget: refusal.LeavingTarget}, nil, nil)
	assert.Equal(t, again.Code, apierror.Draining)
}
