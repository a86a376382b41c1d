package departure

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"parsleyturn/internal/platformclient"
)

// outage is an error of all calls of the store.
func outage() error { return platformclient.ErrUnavailable }

// setFail begins or ends an outage.
func (m *memoryStore) setFail(fail func() error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fail = fail
}

func (m *memoryStore) has(key string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.rows[key]
	return ok
}

// startRecorder starts a recorder.
func startRecorder(t *testing.T, store RowStore, d Depositor, node string) *Recorder {
	t.Helper()
	r := NewRecorder(store, d, "z", node, zerolog.Nop())
	r.Start()
	t.Cleanup(r.Stop)
	return r
}

// departureAt returns a departure that was stated now.
func departureAt(id string, startedAtMillis, sequence int64) Departure {
	return Departure{TargetID: id, StartedAtMillis: startedAtMillis, Sequence: sequence, StatedAtMillis: time.Now().UnixMilli()}
}

// A departure is acknowledged during an outage of the store. Guards against one that is
// not written once the store is back, and is lost with the nodes that hold it (DRAIN).
func TestDepartureOfAnOutageIsWrittenOnceTheStoreIsBack(t *testing.T) {
	store := &memoryStore{}
	r := startRecorder(t, store, depositor{}, "vm")
	store.setFail(outage)
	d := departureAt("i", 1000, 0)
	assert.NilError(t, r.Record(t.Context(), d))
	assert.Assert(t, !store.has(r.key(&d)))
	store.setFail(nil)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !store.has(r.key(&d)) {
			return poll.Continue("not in the store")
		}
		return poll.Success()
	}, poll.WithTimeout(2*maxRetry), poll.WithDelay(time.Millisecond))
}

// Guards against a departure that is not acknowledged, is in effect all the same and is
// never written, and against one that an earlier process left with other nodes only.
func TestDeparturesThatAreNotAcknowledgedAreWrittenToo(t *testing.T) {
	store := &memoryStore{fail: outage}
	r := startRecorder(t, store, nil, "vm")
	refused, returned := departureAt("i", 1000, 0), departureAt("j", 1000, 0)
	assert.ErrorIs(t, r.Record(t.Context(), refused), ErrNotRecorded)
	r.Adopt(returned)
	store.setFail(nil)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !store.has(r.key(&refused)) || !store.has(r.key(&returned)) {
			return poll.Continue("not in the store")
		}
		return poll.Success()
	}, poll.WithTimeout(2*maxRetry), poll.WithDelay(time.Millisecond))
}

// Guards against a departure that is lost with a store that is restored while it is
// away for longer than one attempt to write.
func TestRewriteGoesOnUntilItSucceeds(t *testing.T) {
	store := &memoryStore{}
	r := startRecorder(t, store, nil, "vm")
	d := departureAt("i", 1000, 0)
	assert.NilError(t, r.Record(t.Context(), d))
	assert.NilError(t, store.Delete(t.Context(), Table, r.key(&d)))
	store.setFail(outage)
	r.Rewrite()
	time.Sleep(2 * minRetry)
	store.setFail(nil)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !store.has(r.key(&d)) {
			return poll.Continue("not in the store")
		}
		return poll.Success()
	}, poll.WithTimeout(2*maxRetry), poll.WithDelay(time.Millisecond))
}

// Guards against a withdrawal that is lost because an earlier statement of the same
// incarnation is written late, in its place.
func TestLateWriteOfAWeakerStatementIsUndone(t *testing.T) {
	var l Ledger
	draining := Departure{TargetID: "i", StartedAtMillis: 1000, Sequence: 7, StatedAtMillis: 1}
	withdrawn := Departure{TargetID: "i", StartedAtMillis: 1000, StatedAtMillis: 2}
	l.Add("k", draining)
	l.Add("k", withdrawn)
	l.Written("k", withdrawn)
	assert.Equal(t, len(l.Pending()), 0)
	l.Written("k", draining)
	assert.DeepEqual(t, l.Pending(), map[string]Departure{"k": withdrawn})
	l.Written("k", withdrawn)
	assert.Assert(t, !l.Add("k", draining))
	assert.Equal(t, len(l.Pending()), 0)
}

// goneNodes is other nodes that hold nothing, and counts the attempts.
type goneNodes struct{ attempts chan []byte }

func (g goneNodes) Deposit(_ context.Context, data []byte) error {
	g.attempts <- data
	return errors.New("no node")
}

// Guards against a departure that only nodes hold that have stopped meanwhile: it is
// left with others for as long as it is not in the store.
func TestPendingDeparturesAreDepositedAgain(t *testing.T) {
	nodes := goneNodes{make(chan []byte, 100)}
	r := startRecorder(t, &memoryStore{fail: outage}, nodes, "vm")
	d := departureAt("i", 1000, 0)
	assert.ErrorIs(t, r.Record(t.Context(), d), ErrNotRecorded)
	for range 3 {
		select {
		case data := <-nodes.attempts:
			got, err := Decode(data)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, d)
		case <-time.After(3 * maxRetry):
			t.Fatal("the departure was not left with other nodes again")
		}
	}
}
