package departure

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"
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

// awaitRows waits until the store has rows, as long as a writer needs at most once the
// store responds.
func awaitRows(t *testing.T, store *memoryStore, keys ...string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, key := range keys {
			if !store.has(key) {
				return poll.Continue("%s is not in the store", key)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(2*maxRetry), poll.WithDelay(time.Millisecond))
}

// startRecorder starts a recorder that has a session once the store responds.
func startRecorder(t *testing.T, store RowStore, d Depositor, node string) *Recorder {
	t.Helper()
	r := NewRecorder(store, d, "z", node, zerolog.Nop())
	r.Sessions = true
	r.Start()
	t.Cleanup(r.Stop)
	r.BeginSession()
	return r
}

func awaitSession(t *testing.T, r *Recorder) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !r.nodesSuffice() {
			return poll.Continue("no session")
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
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
	awaitSession(t, r)
	store.setFail(outage)
	d := departureAt("i", 1000, 0)
	assert.NilError(t, r.Record(t.Context(), d))
	assert.Assert(t, !store.has(r.key(&d)))
	store.setFail(nil)
	awaitRows(t, store, r.key(&d))
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
	awaitRows(t, store, r.key(&refused), r.key(&returned))
}

// Guards against an acknowledgement that other nodes are to keep while nothing in the
// store tells the next process that it may exist.
func TestNodesDoNotSufficeWithoutSession(t *testing.T) {
	store := &memoryStore{fail: outage}
	r := startRecorder(t, store, depositor{}, "vm")
	assert.ErrorIs(t, r.Record(t.Context(), departureAt("i", 1000, 0)), ErrNotRecorded)
	store.setFail(nil)
	awaitSession(t, r)
	store.setFail(outage)
	assert.NilError(t, r.Record(t.Context(), departureAt("j", 1000, 0)))
	r.Rewrite() // the store was restored and may have lost the session
	assert.ErrorIs(t, r.Record(t.Context(), departureAt("k", 1000, 0)), ErrNotRecorded)
}

// loadAgain starts the next process of a node and reports whether it finds that the
// store has all departures.
func loadAgain(t *testing.T, store RowStore, node string) (complete bool, count int) {
	t.Helper()
	r := NewRecorder(store, nil, "z", node, zerolog.Nop())
	assert.Assert(t, !r.Complete(), "complete before the store was read")
	earlier, err := r.Load(t.Context())
	assert.NilError(t, err)
	return r.Complete(), len(earlier)
}

// Guards against a process that takes an empty store for the truth although the process
// before it was killed, or stopped with departures that other nodes held, and against
// one that distrusts its target after a stop with all departures in the store.
func TestNextProcessKnowsWhetherDeparturesMayBeMissing(t *testing.T) {
	store := &memoryStore{}
	complete, _ := loadAgain(t, store, "vm")
	assert.Assert(t, complete, "first process")

	r := startRecorder(t, store, depositor{}, "vm")
	awaitSession(t, r)
	complete, _ = loadAgain(t, store, "vm")
	assert.Assert(t, !complete, "after a kill")
	complete, _ = loadAgain(t, store, "vm-1")
	assert.Assert(t, complete, "another node")

	store.setFail(outage)
	assert.NilError(t, r.Record(t.Context(), departureAt("i", 1000, 0)))
	r.EndSession(t.Context())
	assert.ErrorIs(t, r.Record(t.Context(), departureAt("j", 1000, 0)), ErrNotRecorded, "after the end of the session")
	r.Stop()
	store.setFail(nil)
	complete, count := loadAgain(t, store, "vm")
	assert.Assert(t, !complete && count == 0, "after a stop during an outage")

	again := startRecorder(t, store, depositor{}, "vm")
	_, err := again.Load(t.Context())
	assert.NilError(t, err)
	awaitSession(t, again)
	again.EndEarlier()
	store.setFail(outage)
	assert.NilError(t, again.Record(t.Context(), departureAt("i", 1000, 0)))
	store.setFail(nil)
	again.EndSession(t.Context())
	complete, count = loadAgain(t, store, "vm")
	assert.Assert(t, complete && count == 1, "after a stop with all departures in the store")
}

// Guards against sessions of lost nodes that remain in the store, and against the end of
// one that is in use, or that another writer has changed.
func TestExpiredSessionsOfOtherNodesAreDeleted(t *testing.T) {
	now := time.UnixMilli(10_000_000)
	encode := func(at time.Time) []byte {
		data, err := msgpack.Marshal(session{WrittenAtMillis: at.UnixMilli()})
		assert.NilError(t, err)
		return data
	}
	store := &memoryStore{rows: map[string][]byte{
		"z/lost/session/1": encode(now.Add(-retention - time.Second)), "z/used/session/1": encode(now.Add(-retention + time.Second)),
		"z/odd/session/1": []byte("x"), "z/vm/session/1": encode(now.Add(-2 * retention)),
	}}
	r := recorderAt(store, "vm", now)
	_, err := r.Load(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, !r.Complete(), "an own session is never too old")
	assert.NilError(t, r.Record(t.Context(), Departure{TargetID: "i", StartedAtMillis: 1, StatedAtMillis: now.UnixMilli()}))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if store.has("z/lost/session/1") {
			return poll.Continue("the expired session remains")
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
	for _, key := range []string{"z/used/session/1", "z/odd/session/1", "z/vm/session/1"} {
		assert.Assert(t, store.has(key), key)
	}
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
	awaitRows(t, store, r.key(&d))
}

// Guards against a withdrawal that is lost because an earlier statement of the same
// incarnation is written late, in its place.
func TestLateWriteOfAWeakerStatementIsUndone(t *testing.T) {
	var l Ledger
	draining := Departure{TargetID: "i", StartedAtMillis: 1000, Sequence: 7, StatedAtMillis: 1}
	withdrawn := Departure{TargetID: "i", StartedAtMillis: 1000, StatedAtMillis: 2}
	l.Add("k", draining)
	l.Add("k", withdrawn)
	assert.Assert(t, l.Written("k", withdrawn))
	assert.Equal(t, len(l.Pending()), 0)
	assert.Assert(t, !l.Written("k", draining))
	assert.DeepEqual(t, l.Pending(), map[string]Departure{"k": withdrawn})
	assert.Assert(t, !l.EndSession())
	l.Written("k", withdrawn)
	assert.Assert(t, !l.Add("k", draining))
	assert.Assert(t, l.EndSession())
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

// heldStore is a store that holds the first write back until release is closed.
type heldStore struct {
	memoryStore
	first   chan struct{}
	release chan struct{}
}

func (s *heldStore) Put(ctx context.Context, table, key string, data []byte, cond platformclient.Condition) (string, error) {
	select {
	case s.first <- struct{}{}:
		<-s.release
	default:
	}
	return s.memoryStore.Put(ctx, table, key, data, cond)
}

// Guards against a withdrawal that is lost because the write of the statement before it
// takes effect after its own.
func TestWithdrawalIsWrittenAgainAfterALateWrite(t *testing.T) {
	store := &heldStore{first: make(chan struct{}, 1), release: make(chan struct{})}
	r := NewRecorder(store, nil, "z", "vm", zerolog.Nop())
	r.Start()
	t.Cleanup(r.Stop)
	draining, withdrawn := departureAt("i", 1000, 7), departureAt("i", 1000, 0)
	go func() { _ = r.writeDeparture(t.Context(), &draining, 1) }()
	for len(store.first) == 0 {
		time.Sleep(time.Millisecond)
	}
	assert.NilError(t, r.Record(t.Context(), withdrawn))
	close(store.release)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		store.mu.Lock()
		defer store.mu.Unlock()
		if d, err := Decode(store.rows[r.key(&withdrawn)]); err != nil || d.Sequence != 0 || store.writes < 3 {
			return poll.Continue("the store has sequence %d after %d writes: %v", d.Sequence, store.writes, err)
		}
		return poll.Success()
	}, poll.WithTimeout(2*maxRetry), poll.WithDelay(time.Millisecond))
}
