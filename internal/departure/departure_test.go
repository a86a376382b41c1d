package departure

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"parsleyturn/internal/kernel"
	"parsleyturn/internal/platformclient"
)

// Guards against a heartbeat that was sent before a departure and is taken for a later
// one, and against a target that has started again and is taken for the one that left.
func TestDepartureCoversEarlierHeartbeatsOnly(t *testing.T) {
	draining := Departure{TargetID: "i", StartedAtMillis: 1000, Sequence: 7, StatedAtMillis: 5000}
	withdrawn := Departure{TargetID: "i", StartedAtMillis: 1000, StatedAtMillis: 5000}
	unknownStart := Departure{TargetID: "i", StatedAtMillis: 5000}
	late, after := LateLimit-1, LateLimit
	for name, c := range map[string]struct {
		departure Departure
		id        string
		start     int64
		sequence  int64
		at        time.Duration
		covered   bool
	}{
		"before draining, late":                 {draining, "i", 1000, 6, late, true},
		"before draining, no longer late":       {draining, "i", 1000, 6, after, false},
		"draining itself":                       {draining, "i", 1000, 7, late, true},
		"after draining":                        {draining, "i", 1000, 8, 0, false},
		"after a withdrawal":                    {withdrawn, "i", 1000, 99, after, true},
		"another target":                        {withdrawn, "j", 1000, 6, 0, false},
		"earlier incarnation, late":             {withdrawn, "i", 900, 99, late, true},
		"earlier start, no longer late":         {withdrawn, "i", 900, 99, after, false},
		"later incarnation":                     {withdrawn, "i", 1001, 1, 0, false},
		"no start, late":                        {withdrawn, "i", 0, 6, late, true},
		"no start, no longer late":              {withdrawn, "i", 0, 6, after, false},
		"withdrawal without start, late":        {unknownStart, "i", 4999, 6, late, true},
		"withdrawal without start, not late":    {unknownStart, "i", 4999, 6, after, false},
		"started after such a withdrawal":       {unknownStart, "i", 5001, 1, 0, false},
		"start ahead of the clock, late":        {unknownStart, "i", 6001, 1, late, true},
		"start ahead of the clock, not late":    {unknownStart, "i", 6001, 1, after, false},
		"no start anywhere, late":               {unknownStart, "i", 0, 6, late, true},
		"no start anywhere, no longer late":     {unknownStart, "i", 0, 6, after, false},
		"no start, after draining without that": {Departure{TargetID: "i", Sequence: 7, StatedAtMillis: 5000}, "i", 0, 8, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			var s Set
			s.Add(c.departure, 0)
			assert.Equal(t, s.Covers(c.id, c.start, c.sequence, c.at, 6000), c.covered)
		})
	}
}

// Guards against a departure that is replaced by a weaker statement, against one that
// outlasts the target's own word, and against a memory without bound.
func TestSetKeepsTheStrongestStatement(t *testing.T) {
	var s Set
	first := s.Add(Departure{TargetID: "i", StartedAtMillis: 1, Sequence: 5}, 0)
	assert.Equal(t, s.Add(Departure{TargetID: "i", StartedAtMillis: 1, Sequence: 9}, 0), first)
	assert.Assert(t, !s.Covers("i", 1, 9, 0, 6000))
	s.Remove(Departure{TargetID: "i", StartedAtMillis: 1})
	assert.Assert(t, !s.Covers("i", 1, 4, 0, 6000))
	gone := s.Add(Departure{TargetID: "i", StartedAtMillis: 1}, 0)
	assert.Equal(t, s.Add(Departure{TargetID: "i", StartedAtMillis: 1, Sequence: 5}, 0), gone)
	for n := range int64(100) {
		s.Add(Departure{TargetID: "other", StartedAtMillis: n}, 0)
	}
	assert.Equal(t, len(s.entries), maxRemembered)
}

// An earlier departure of a target is learned from another node after a later one.
// Guards against the later one being forgotten: an incarnation between the two is used
// again.
func TestEarlierDepartureDoesNotReplaceALaterOne(t *testing.T) {
	var s Set
	s.Add(Departure{TargetID: "i", StatedAtMillis: 5000}, 0)
	s.Add(Departure{TargetID: "i", StatedAtMillis: 1000}, 0)
	assert.Assert(t, s.Covers("i", 3000, 1, 0, 6000))
}

// memoryStore is a store in memory.
type memoryStore struct {
	mu   sync.Mutex
	rows map[string][]byte
	// fail is called before each write; its error is returned. If applied is set, the
	// write takes effect all the same.
	fail    func() error
	applied bool
	writes  int
}

func (m *memoryStore) List(_ context.Context, _, prefix, after string, limit int) ([]platformclient.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []platformclient.Row
	for _, key := range slices.Sorted(maps.Keys(m.rows)) {
		if strings.HasPrefix(key, prefix) && key > after && len(out) < limit {
			out = append(out, platformclient.Row{Key: key, Data: m.rows[key]})
		}
	}
	return out, nil
}

func (m *memoryStore) Put(_ context.Context, _, key string, data []byte, _ platformclient.Condition) (string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writes++
	var err error
	if m.fail != nil {
		err = m.fail()
	}
	if err != nil && !m.applied {
		return "", err
	}
	if m.rows == nil {
		m.rows = make(map[string][]byte)
	}
	m.rows[key] = data
	return "", err
}

func (m *memoryStore) Delete(_ context.Context, _, key string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.rows, key)
	return nil
}

func (m *memoryStore) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.rows)
}

func recorderAt(store RowStore, node string, now time.Time) *Recorder {
	r := NewRecorder(store, nil, "z", node, zerolog.Nop())
	r.now = func() time.Time { return now }
	return r
}

// Guards against departures that a later process of the node does not find, or that
// are those of another node whose ID begins alike.
func TestLaterProcessFindsTheDeparturesOfItsNode(t *testing.T) {
	store, now := &memoryStore{}, time.UnixMilli(10_000_000)
	first := Departure{TargetID: "i", StartedAtMillis: 1000, Sequence: 4, StatedAtMillis: now.UnixMilli() - 2}
	second := Departure{TargetID: "j", StartedAtMillis: 2000, StatedAtMillis: now.UnixMilli()}
	r := recorderAt(store, "vm-1", now)
	assert.NilError(t, r.Record(t.Context(), second))
	assert.NilError(t, r.Record(t.Context(), first))
	assert.NilError(t, recorderAt(store, "vm-11", now).Record(t.Context(), Departure{TargetID: "k", StatedAtMillis: now.UnixMilli()}))
	got, err := recorderAt(store, "vm-1", now).Load(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, got, []Departure{first, second})

	store.writes = 0
	assert.NilError(t, r.Record(t.Context(), first))
	assert.Equal(t, store.writes, 0, "a departure that is in the store was written again")
	gone := first
	gone.Sequence = 0
	assert.NilError(t, r.Record(t.Context(), gone))
	assert.NilError(t, r.Record(t.Context(), first))
	got, err = recorderAt(store, "vm-1", now).Load(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, got, []Departure{gone, second})
}

// Guards against an acknowledgement of what is not in the store, and against one that
// is withheld only because a response of the store was lost.
func TestDepartureIsRecordedOrAnError(t *testing.T) {
	d := Departure{TargetID: "i", StartedAtMillis: 1000, StatedAtMillis: 5000}
	store := &memoryStore{fail: func() error { return platformclient.ErrUnavailable }}
	r := recorderAt(store, "vm", time.UnixMilli(5000))
	assert.ErrorIs(t, r.Record(t.Context(), d), ErrNotRecorded)
	assert.Equal(t, store.writes, 1, "a call that the store refused was repeated at once")
	store.fail = nil
	assert.NilError(t, r.Record(t.Context(), d))

	lost := errors.New("no response")
	store = &memoryStore{applied: true, fail: func() error { err := lost; lost = nil; return errors.Join(err, unknownIf(err)) }}
	assert.NilError(t, recorderAt(store, "vm", time.UnixMilli(5000)).Record(t.Context(), d))
	assert.Equal(t, store.writes, 2)
}

func unknownIf(err error) error {
	if err == nil {
		return nil
	}
	return platformclient.ErrUnknownOutcome
}

// Guards against a table that grows with each target that ever left, and against the
// deletion of rows that are still needed.
func TestExpiredRowsAreDeleted(t *testing.T) {
	store, begin := &memoryStore{}, time.UnixMilli(10_000_000)
	for n := range int64(5) {
		assert.NilError(t, recorderAt(store, "vm-1", begin).Record(t.Context(), Departure{TargetID: "i", StartedAtMillis: n + 1, StatedAtMillis: begin.UnixMilli()}))
	}
	now := begin.Add(retention + time.Second)
	fresh := Departure{TargetID: "j", StartedAtMillis: 1, StatedAtMillis: now.UnixMilli()}
	assert.NilError(t, recorderAt(store, "vm-2", now).Record(t.Context(), fresh))
	third := recorderAt(store, "vm-3", now)
	_, err := third.Load(t.Context())
	assert.NilError(t, err)
	assert.NilError(t, third.Record(t.Context(), Departure{TargetID: "k", StartedAtMillis: 1, StatedAtMillis: now.UnixMilli()}))
	for begin := time.Now(); store.count() != 2; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(begin) < 5*time.Second, "%d rows remain, not 2", store.count())
	}
	got, err := recorderAt(store, "vm-2", now).Load(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, got, []Departure{fresh})
}

// Guards against departures that are taken for none because an availability zone has
// more rows than one response of the store holds.
func TestDeparturesBehindAFullPageAreFound(t *testing.T) {
	store, now := &memoryStore{rows: map[string][]byte{}}, time.UnixMilli(10_000_000)
	other := recorderAt(store, "a", now)
	for i := range 2*pageRows + 7 {
		d := Departure{TargetID: fmt.Sprint(i), StartedAtMillis: 1, StatedAtMillis: now.UnixMilli()}
		data, err := msgpack.Marshal(&d)
		assert.NilError(t, err)
		store.rows[other.key(&d)] = data
	}
	own := Departure{TargetID: "i", StartedAtMillis: 1, StatedAtMillis: now.UnixMilli()}
	assert.NilError(t, recorderAt(store, "vm", now).Record(t.Context(), own))
	got, err := recorderAt(store, "vm", now).Load(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, got, []Departure{own})
}

// Guards against an odd row of another writer that ends a starting node or hides the
// departures beside it.
func TestOddRowsOfDeparturesAreSkipped(t *testing.T) {
	now := time.UnixMilli(10_000_000)
	good := Departure{TargetID: "i", StartedAtMillis: 1000, StatedAtMillis: now.UnixMilli()}
	encode := func(v any) []byte {
		data, err := msgpack.Marshal(v)
		assert.NilError(t, err)
		return data
	}
	deep := make([]byte, 60_000)
	for i := range deep {
		deep[i] = 0x91
	}
	store := &memoryStore{}
	r := recorderAt(store, "vm", now)
	assert.NilError(t, r.Record(t.Context(), good))
	for i, data := range [][]byte{
		nil, {0xc1}, deep, encode("text"), encode(map[string]any{"t": 5}), encode(map[string]any{"t": ""}),
		encode(map[string]any{"t": string(make([]byte, 10_000)), "w": 1}), encode(map[string]any{"t": "i", "s": -1, "w": 1}), encode(map[string]any{"t": "i", "s": 1 << 62}),
		encode(Departure{TargetID: "of another key", StatedAtMillis: now.UnixMilli()}),
	} {
		store.rows[r.nodePrefix+string(rune('a'+i))] = data
	}
	got, err := recorderAt(store, "vm", now).Load(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, got, []Departure{good})
}

func FuzzDecode(f *testing.F) {
	data, err := msgpack.Marshal(&Departure{TargetID: "i", StartedAtMillis: 1000, Sequence: 4, StatedAtMillis: 5000})
	assert.NilError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		if d, err := Decode(data); err == nil {
			assert.Assert(t, d.TargetID != "" && d.StartedAtMillis >= 0 && d.Sequence >= 0)
		}
	})
}

// depositor is the other nodes. They hold what they get unless err is set.
type depositor struct{ err error }

func (d depositor) Deposit(context.Context, []byte) error { return d.err }

// slowStore does not respond to writes.
type slowStore struct{ memoryStore }

func (s *slowStore) Put(ctx context.Context, _, _ string, _ []byte, _ platformclient.Condition) (string, error) {
	<-ctx.Done()
	return "", platformclient.ErrUnknownOutcome
}

// Guards against a departure that is not acknowledged while the store is away although
// other nodes hold it, against one that only they hold although the store responds, and
// against an acknowledgement that nobody, or only other nodes without a session, keep.
func TestOtherNodesKeepDeparturesWhileTheStoreIsAway(t *testing.T) {
	nobody := depositor{errors.New("too few nodes")}
	refusing := &memoryStore{fail: func() error { return platformclient.ErrUnavailable }}
	for name, c := range map[string]struct {
		store     RowStore
		depositor Depositor
		session   bool
		keptBy    string
		min, max  time.Duration
	}{
		"store and nodes":              {&memoryStore{}, depositor{}, true, keptByStore, 0, storePatience},
		"store only":                   {&memoryStore{}, nobody, true, keptByStore, 0, storePatience},
		"refusing store":               {refusing, depositor{}, true, keptByNodes, 0, storePatience},
		"refusing store and nobody":    {refusing, nobody, true, "", 0, storePatience},
		"silent store":                 {&slowStore{}, depositor{}, true, keptByNodes, storePatience, 2 * storePatience},
		"silent store, no node":        {&slowStore{}, nobody, true, "", storePatience, 3 * storePatience},
		"refusing store, single node":  {refusing, nil, true, "", 0, storePatience},
		"store, without a session":     {&memoryStore{}, depositor{}, false, keptByStore, 0, storePatience},
		"refusing store, no session":   {refusing, depositor{}, false, "", 0, storePatience},
		"silent store, not in session": {&slowStore{}, depositor{}, false, "", storePatience, 3 * storePatience},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewRecorder(c.store, c.depositor, "z", "vm", zerolog.Nop())
			if c.session {
				r.ledger.BeginSession(kernel.Uptime() + time.Minute)
			}
			begin := time.Now()
			by, err := r.keep(t.Context(), &Departure{TargetID: "i", StartedAtMillis: 1, StatedAtMillis: 1})
			took := time.Since(begin)
			assert.Equal(t, by, c.keptBy)
			assert.Equal(t, err == nil, c.keptBy != "")
			assert.Assert(t, took >= c.min && took < c.max, "took %v", took)
		})
	}
}
