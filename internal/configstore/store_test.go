package configstore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "parsleyturn/internal/rapidseed"

	"parsleyturn/internal/platformclient"
	"parsleyturn/internal/policy"
	standin "parsleyturn/internal/standin/platform"
)

type cleanupT interface {
	assert.TestingT
	Cleanup(func())
}

func newStore(t cleanupT) (*Store, *standin.Server) {
	server := standin.New()
	h := httptest.NewServer(server)
	t.Cleanup(h.Close)
	client, err := platformclient.New(h.URL)
	assert.NilError(t, err)
	s := New(client)
	s.backoff = time.Millisecond
	return s, server
}

func sampleConfiguration(deadline int) []policy.File {
	return []policy.File{{Name: "a.toml", Content: fmt.Appendf(nil,
		"team=\"a\"\n[service.s]\n[kind.k]\nservice=\"s\"\npath_prefix=\"/\"\npriority=1\ndeadline_ms=%d\n", deadline)}}
}

func change(base uint64, deadline int) Change {
	return Change{ChangeID: NewChangeID(), Author: "ama", Reason: "test", Action: ActionApply, Base: base, Files: sampleConfiguration(deadline)}
}

// Guards against a change that is lost or applied twice when the response to
// the write is lost. The write takes effect, never arrives, or arrives late.
func TestLostResponse(t *testing.T) {
	faults := map[string]standin.Faults{
		"written": {DropResponses: 1}, "unwritten": {DropWrites: 1}, "late": {HoldWrites: 1}, "late fence": {HoldWrites: 2},
		"late or lost fences": {HoldWrites: 3, DropWrites: 1, DropResponses: 0},
	}
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			s, server := newStore(t)
			for v := range uint64(2) {
				ch := change(v, 100+int(v))
				assert.NilError(t, s.storeFiles(t.Context(), Manifest{}, ch.Files))
				server.SetFaults(f)
				rec, err := s.apply(t.Context(), &pendingChange{store: s, change: ch, rec: newRecord(ch), filesStored: true})
				assert.NilError(t, err)
				assert.Equal(t, rec.Version, v+1)
				server.ReleaseHeldWrites()
				cur, err := s.Current(t.Context())
				assert.NilError(t, err)
				assert.DeepEqual(t, cur, rec)
			}
			history, err := s.History(t.Context(), 0, 10)
			assert.NilError(t, err)
			assert.Equal(t, len(history), 2)
		})
	}
}

// Guards against late writes of a change that replace a version accepted after
// Apply gave up on that change. The platform has no version at first, so the
// late writes are conditional on the absence of the row "current".
func TestUnknownOutcome(t *testing.T) {
	s, server := newStore(t)
	server.SetFaults(standin.Faults{DropWrites: 1, HoldWrites: 1000})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := s.Apply(ctx, change(0, 100))
	var unknown *UnknownOutcomeError
	assert.Assert(t, errors.As(err, &unknown) || errors.As(err, new(*NotAcceptedError)), "%v", err)
	server.SetFaults(standin.Faults{})
	rec, err := s.Apply(t.Context(), change(0, 100))
	assert.NilError(t, err)
	server.ReleaseHeldWrites()
	cur, err := s.Current(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, cur, rec)
	// Applying the same files again does not create a version.
	_, err = s.Apply(t.Context(), change(1, 100))
	assert.Assert(t, errors.As(err, new(*NoChangeError)), "%v", err)
}

// Guards against NotAcceptedError although an earlier write of the same change
// can still take effect. The platform delays the first transaction and rejects
// later ones; unless Apply rewrites the row "current", the delayed transaction
// is accepted.
func TestLateWriteAfterRefusal(t *testing.T) {
	server := standin.New()
	transactions := 0
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/transactions" {
			if transactions++; transactions > 1 {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			server.SetFaults(standin.Faults{HoldWrites: 1})
		}
		server.ServeHTTP(w, r)
	}))
	t.Cleanup(h.Close)
	client, err := platformclient.New(h.URL)
	assert.NilError(t, err)
	s := New(client)
	_, err = s.Apply(t.Context(), change(0, 100))
	assert.Assert(t, errors.As(err, new(*NotAcceptedError)), "%v", err)
	assert.Equal(t, server.ReleaseHeldWrites(), 1)
	cur, err := s.Current(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, cur.Version, uint64(0))
}

// Guards against two concurrent changes to the same version that are both
// accepted, and against a conflict error that does not list the accepted change.
func TestConcurrentApplies(t *testing.T) {
	s, _ := newStore(t)
	const operators = 8
	errs := make([]error, operators)
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() { _, errs[i] = s.Apply(t.Context(), change(0, 100+i)) })
	}
	wg.Wait()
	winners := 0
	for _, err := range errs {
		var conflict *ConflictError
		switch {
		case err == nil:
			winners++
		case errors.As(err, &conflict):
			assert.Equal(t, conflict.Changes[0].Author, "ama")
			assert.DeepEqual(t, conflict.Changes[0].Changed, []string{"a.toml"})
		default:
			t.Errorf("neither accepted nor a conflict: %v", err)
		}
	}
	assert.Equal(t, winners, 1)
}

// Guards against an outage of the platform that is not reported as
// NotAcceptedError, and against a rollback that reuses a version number.
func TestOutageAndRollback(t *testing.T) {
	s, server := newStore(t)
	for v := range uint64(2) {
		_, err := s.Apply(t.Context(), change(v, 100+int(v)))
		assert.NilError(t, err)
	}
	for _, f := range []standin.Faults{{Refuse: true}, {RefuseWrites: true}} {
		server.SetFaults(f)
		_, err := s.Apply(t.Context(), change(2, 300))
		assert.Assert(t, errors.As(err, new(*NotAcceptedError)), "%v", err)
		assert.ErrorIs(t, err, platformclient.ErrUnavailable)
	}
	server.SetFaults(standin.Faults{})
	rec, files, err := s.Rollback(t.Context(), 1, Change{ChangeID: "r", Base: 2})
	assert.NilError(t, err)
	assert.Equal(t, rec.Version, uint64(3))
	assert.DeepEqual(t, files, sampleConfiguration(100))
	files, err = s.Files(t.Context(), rec.Manifest)
	assert.NilError(t, err)
	assert.DeepEqual(t, files, sampleConfiguration(100))
}

// Guards against unlimited retries when the platform has a row of a version that
// was not accepted, as after a partial restore.
func TestInconsistentTables(t *testing.T) {
	s, server := newStore(t)
	_, err := s.platform.Put(t.Context(), tableAudit, versionKey(1), []byte("{}"), platformclient.Condition{})
	assert.NilError(t, err)
	before := server.Counts().Writes
	_, err = s.Apply(t.Context(), change(0, 100))
	assert.Error(t, err, "the platform has the row audit/version-000000000001, but the accepted version is 0; nothing was accepted; "+
		"restore the tables config and audit to the same time, or remove the row, and apply again")
	assert.Equal(t, server.Counts().Writes-before, int64(2))
}

// historyModel records the results of Apply and compares them with the audit
// trail.
type historyModel struct {
	accepted, notAccepted map[string]bool
	seen                  map[uint64]Record
	version               uint64
}

func (m *historyModel) apply(t *rapid.T, s *Store, ch Change) {
	rec, err := s.Apply(t.Context(), ch)
	switch {
	case err == nil:
		m.accepted[ch.ChangeID] = true
		m.seen[rec.Version] = rec
	case errors.As(err, new(*UnknownOutcomeError)):
	default:
		m.notAccepted[ch.ChangeID] = true
	}
}

func (m *historyModel) check(t *rapid.T, s *Store) {
	history, err := s.History(t.Context(), 0, 1000)
	assert.NilError(t, err)
	found := map[string]bool{}
	for i, a := range history {
		assert.Equal(t, a.Version, uint64(i+1))
		assert.Assert(t, !found[a.ChangeID], "change was accepted twice")
		assert.Assert(t, !m.notAccepted[a.ChangeID], "change was accepted after Apply reported that it was not")
		found[a.ChangeID] = true
		rec, err := s.Version(t.Context(), a.Version)
		assert.NilError(t, err)
		assert.Equal(t, rec.ChangeID, a.ChangeID)
		if old, ok := m.seen[a.Version]; ok {
			assert.DeepEqual(t, rec, old)
		}
		m.seen[a.Version] = rec
	}
	for id := range m.accepted {
		assert.Assert(t, found[id], "accepted change is missing from the audit trail")
	}
	cur, err := s.Current(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, cur.Version, uint64(len(history)))
	m.version = cur.Version
}

// Guards against a sequence of lost, delayed and rejected writes after which a
// guarantee of the store does not hold: versions increase by one, a change is
// accepted at most once and never after Apply reported that it was not, and an
// accepted version never changes.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, server := newStore(t)
		m := &historyModel{map[string]bool{}, map[string]bool{}, map[uint64]Record{}, 0}
		count := rapid.IntRange(0, 3)
		t.Repeat(map[string]func(*rapid.T){
			"apply": func(t *rapid.T) {
				f := standin.Faults{DropResponses: count.Draw(t, "lose"), HoldWrites: count.Draw(t, "hold"), DropWrites: count.Draw(t, "drop")}
				f.RefuseWrites = rapid.IntRange(0, 9).Draw(t, "refuse") == 0
				server.SetFaults(f)
				ch := change(m.version, rapid.IntRange(1, 1000).Draw(t, "deadline"))
				if rapid.IntRange(0, 4).Draw(t, "stale") == 0 && ch.Base > 0 {
					ch.Base--
				}
				var wg sync.WaitGroup
				if rapid.Bool().Draw(t, "release meanwhile") {
					wg.Go(func() { server.ReleaseHeldWrites() })
				}
				m.apply(t, s, ch)
				wg.Wait()
			},
			"release": func(*rapid.T) { server.ReleaseHeldWrites() },
			"": func(t *rapid.T) {
				server.SetFaults(standin.Faults{})
				m.check(t, s)
			},
		})
		server.ReleaseHeldWrites()
		m.check(t, s)
	})
}
