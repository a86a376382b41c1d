package configstore

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"parsleyturn/internal/platformclient"
	"parsleyturn/internal/policy"
)

// Actions of the audit trail.
const (
	ActionApply    = "apply"
	ActionRollback = "rollback"
)

// Change describes a change to be accepted.
type Change struct {
	// ChangeID identifies the change; see NewChangeID.
	ChangeID       string
	Author, Reason string
	Action         string
	Time           time.Time
	// Base is the version the operator saw.
	Base  uint64
	Files []policy.File
}

// NewChangeID returns a random id.
func NewChangeID() string { return rand.Text() }

// maxAttempts bounds the rounds of one Apply. With the pauses between them
// they take about 4 s if the platform refuses at once.
const maxAttempts = 8

// Apply makes the files the next version. It returns
//
//   - *policy.InvalidError if the files are not a configuration,
//   - *ConflictError if the configuration is not at Base,
//   - *NoChangeError if the accepted version has the same files,
//   - *NotAcceptedError if the platform did not take the change,
//   - *InconsistentError if its rows contradict each other,
//   - *UnknownError if a write got no answer and its outcome could not be
//     found out.
//
// After every error but *UnknownError the change is not accepted and never
// will be. A change is accepted at most once, however often it is applied
// with the same Base.
func (s *Store) Apply(ctx context.Context, ch Change) (Record, error) {
	if _, err := policy.Parse(ch.Files); err != nil {
		return Record{}, err
	}
	return s.apply(ctx, &application{store: s, change: ch, rec: newRecord(ch)})
}

func newRecord(ch Change) Record {
	return Record{Version: ch.Base + 1, ChangeID: ch.ChangeID, Manifest: NewManifest(ch.Files)}
}

func (s *Store) apply(ctx context.Context, a *application) (Record, error) {
	pause := s.backoff
	for range maxAttempts {
		done, err := a.round(ctx)
		if done {
			return a.rec, err
		}
		if err == nil {
			continue
		}
		a.cause = err
		select {
		case <-time.After(pause):
			pause = min(2*pause, maxBackoff)
		case <-ctx.Done():
			return Record{}, a.giveUp()
		}
	}
	return Record{}, a.giveUp()
}

// application is one change on its way to acceptance.
type application struct {
	store  *Store
	change Change
	rec    Record
	stored bool
	// doubt is set while a write without an answer may have been accepted,
	// or may still be on its way. It was conditional on the ETag sent.
	doubt bool
	sent  string
	cause error
}

func (a *application) giveUp() error {
	if a.doubt {
		return &UnknownOutcomeError{a.rec.ChangeID, a.rec.Version, a.cause}
	}
	return &NotAcceptedError{a.cause}
}

// round reads the state of the platform and takes the one step that it calls
// for. It returns true when the outcome is certain, and an error without true
// when the next round should wait.
func (a *application) round(ctx context.Context) (bool, error) {
	cur, etag, err := a.store.current(ctx)
	switch {
	case err != nil && a.doubt:
		return false, err
	case err != nil:
		return true, a.fail(err)
	case cur.Version != a.change.Base:
		return a.moved(ctx, cur)
	case a.doubt && etag == a.sent:
		// The write may still arrive. Rewriting the row changes its ETag, so
		// that the late write fails its condition.
		return false, a.store.fence(ctx, cur, etag)
	}
	// The row has another ETag than the one sent, at the same version, so the
	// earlier write was not accepted and cannot be any more.
	a.doubt = false
	return a.attempt(ctx, cur, etag)
}

func (a *application) fail(err error) error {
	a.rec = Record{}
	return &NotAcceptedError{err}
}

// moved decides whose change moved the configuration. A lost answer or a
// repeated delivery of the own write shows up here.
func (a *application) moved(ctx context.Context, cur Record) (bool, error) {
	if cur.Version > a.change.Base && a.doubt {
		got, err := a.store.Version(ctx, a.rec.Version)
		if err != nil {
			return false, err
		}
		if got.ChangeID == a.rec.ChangeID {
			return true, nil
		}
	}
	a.rec = Record{}
	return true, a.store.conflict(ctx, a.change.Base, cur)
}

func (a *application) attempt(ctx context.Context, cur Record, etag string) (bool, error) {
	changed := Changed(cur.Manifest, a.rec.Manifest)
	if cur.Version > 0 && len(changed) == 0 {
		a.rec = Record{}
		return true, &NoChangeError{cur}
	}
	if !a.stored {
		if err := a.store.storeFiles(ctx, cur.Manifest, a.change.Files); err != nil {
			return true, a.fail(err)
		}
		a.stored = true
	}
	tx, err := acceptance(a.rec, etag, a.change, changed)
	if err != nil {
		return true, a.fail(err)
	}
	err = a.store.platform.Transact(ctx, tx)
	var conflict *platformclient.ConflictError
	switch {
	case errors.As(err, &conflict) && conflict.Index > 0:
		// The row current met its condition, so no version followed Base, and
		// yet a row of the next version exists.
		a.rec = Record{}
		return true, &InconsistentError{conflict.Table, conflict.Key, cur.Version}
	case err == nil:
		return true, nil
	case errors.Is(err, platformclient.ErrConflict), errors.Is(err, platformclient.ErrUnknownOutcome):
		// A conflict can be the echo of this very write, if the HTTP path
		// delivered it twice, so both cases read back.
		a.doubt, a.sent = true, etag
		return false, err
	}
	return true, a.fail(err)
}

// storeFiles stores the content that the accepted version does not have.
// Objects are named by their hash, so a lost answer is met by a repetition.
func (s *Store) storeFiles(ctx context.Context, accepted Manifest, files []policy.File) error {
	known := map[string]bool{}
	for _, hash := range accepted.Files {
		known[hash] = true
	}
	for _, f := range files {
		hash := Hash(f.Content)
		if known[hash] {
			continue
		}
		known[hash] = true
		err := s.platform.PutObject(ctx, hash, f.Content)
		for range 2 {
			if !errors.Is(err, platformclient.ErrUnknownOutcome) || ctx.Err() != nil {
				break
			}
			err = s.platform.PutObject(ctx, hash, f.Content)
		}
		if err != nil {
			return fmt.Errorf("store configuration file %q: %w", f.Name, err)
		}
	}
	return nil
}

func acceptance(rec Record, etag string, ch Change, changed []string) (platformclient.Transaction, error) {
	value, err := json.Marshal(&rec)
	if err != nil {
		return platformclient.Transaction{}, fmt.Errorf("encode configuration: %w", err)
	}
	audit, err := json.Marshal(&Audit{
		Version: rec.Version, ChangeID: ch.ChangeID, Author: ch.Author, Time: ch.Time, Reason: ch.Reason,
		Action: ch.Action, Changed: changed,
	})
	if err != nil {
		return platformclient.Transaction{}, fmt.Errorf("encode audit record: %w", err)
	}
	create := platformclient.Condition{IfNoneMatch: true}
	key := versionKey(rec.Version)
	return platformclient.Transaction{Operations: []platformclient.Operation{
		{Table: tableConfig, Key: keyCurrent, Condition: unchanged(etag), Value: value},
		{Table: tableConfig, Key: key, Condition: create, Value: value},
		{Table: tableAudit, Key: key, Condition: create, Value: audit},
	}}, nil
}

// unchanged is the condition that the row current is as it was read.
func unchanged(etag string) platformclient.Condition {
	return platformclient.Condition{IfMatch: etag, IfNoneMatch: etag == ""}
}

// fence rewrites the row current with the same version. The rewritten row has
// a random mark, so that its ETag differs even if the platform derives ETags
// from the content. Other operators' writes that fail for the new ETag find
// the version unchanged and repeat. Before the first version the fence
// creates the row with version 0, which no node adopts.
func (s *Store) fence(ctx context.Context, cur Record, etag string) error {
	cur.Fence = rand.Text()
	value, err := json.Marshal(&cur)
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	_, err = s.platform.Put(ctx, tableConfig, keyCurrent, value, unchanged(etag))
	if errors.Is(err, platformclient.ErrConflict) {
		return nil
	}
	return err
}

// conflict tells who changed what since base.
func (s *Store) conflict(ctx context.Context, base uint64, cur Record) error {
	const shown = 20
	cur.Fence = ""
	e := &ConflictError{Base: base, Current: cur}
	if base < cur.Version {
		// The conflict itself is certain, so that an unreadable audit trail
		// only makes the message shorter.
		e.Audit, _ = s.Audit(ctx, cur.Version)
		e.Changes, _ = s.History(ctx, base, shown)
	}
	return e
}

// Rollback makes the content of an earlier version the next version and
// returns its files. The change gives everything but Action and Files. Errors
// are those of Apply, or those of reading the earlier version.
func (s *Store) Rollback(ctx context.Context, to uint64, ch Change) (Record, []policy.File, error) {
	rec, err := s.Version(ctx, to)
	if err != nil {
		return Record{}, nil, err
	}
	if ch.Files, err = s.Files(ctx, rec.Manifest); err != nil {
		return Record{}, nil, err
	}
	ch.Action = ActionRollback
	rec, err = s.Apply(ctx, ch)
	return rec, ch.Files, err
}
