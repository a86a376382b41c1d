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

// Actions in audit records.
const (
	ActionApply    = "apply"
	ActionRollback = "rollback"
)

// Change is a request to accept a new version.
type Change struct {
	// ChangeID identifies the change; see NewChangeID.
	ChangeID       string
	Author, Reason string
	Action         string
	Time           time.Time
	// Base is the version that the operator based the change on.
	Base  uint64
	Files []policy.File
}

// NewChangeID returns a random identifier.
func NewChangeID() string { return rand.Text() }

// maxAttempts bounds the steps of one Apply. If every step fails immediately,
// the delays between them take 5.5 s in total.
const maxAttempts = 8

// Apply stores the files as the next version. It returns
//
//   - *policy.InvalidError if the files are not a valid configuration,
//   - *ConflictError if the accepted version is not Base,
//   - *NoChangeError if the accepted version has the same files,
//   - *NotAcceptedError if the platform did not accept the change,
//   - *InconsistentError if the rows in the platform contradict each other,
//   - *UnknownOutcomeError if a write failed with a conflict or got no usable
//     response, and it could not be determined whether it took effect.
//
// After every error except *UnknownOutcomeError the change was not accepted and
// never will be. A change is accepted at most once, even if it is applied
// several times with the same Base.
func (s *Store) Apply(ctx context.Context, ch Change) (Record, error) {
	if _, err := policy.Parse(ch.Files); err != nil {
		return Record{}, err
	}
	return s.apply(ctx, &pendingChange{store: s, change: ch, rec: newRecord(ch)})
}

func newRecord(ch Change) Record {
	return Record{Version: ch.Base + 1, ChangeID: ch.ChangeID, Manifest: NewManifest(ch.Files)}
}

func (s *Store) apply(ctx context.Context, p *pendingChange) (Record, error) {
	pause := s.backoff
	for range maxAttempts {
		done, err := p.step(ctx)
		if done {
			return p.rec, err
		}
		if err == nil {
			continue
		}
		p.lastErr = err
		select {
		case <-time.After(pause):
			pause = min(2*pause, maxBackoff)
		case <-ctx.Done():
			return Record{}, p.finalError()
		}
	}
	return Record{}, p.finalError()
}

// pendingChange is the state of one Apply.
type pendingChange struct {
	store       *Store
	change      Change
	rec         Record
	filesStored bool
	// outcomeUnknown is set while a write without a response may have been
	// accepted or may still be in transit. The write was conditional on
	// sentETag.
	outcomeUnknown bool
	sentETag       string
	lastErr        error
}

func (p *pendingChange) finalError() error {
	if p.outcomeUnknown {
		return &UnknownOutcomeError{p.rec.ChangeID, p.rec.Version, p.lastErr}
	}
	return &NotAcceptedError{p.lastErr}
}

// step reads the state of the platform and takes the next step. It returns true
// when the outcome is certain, and false with an error when the next step has to
// wait for the backoff.
func (p *pendingChange) step(ctx context.Context) (bool, error) {
	cur, etag, err := p.store.current(ctx)
	switch {
	case err != nil && p.outcomeUnknown:
		return false, err
	case err != nil:
		return true, p.resetAsNotAccepted(err)
	case cur.Version != p.change.Base:
		return p.resolveVersionChange(ctx, cur)
	case p.outcomeUnknown && etag == p.sentETag:
		// The write may still arrive. Rewriting the row changes its ETag, so
		// that the condition of the late write fails.
		return false, p.store.fenceCurrent(ctx, cur, etag)
	}
	// The row has the same version but not sentETag, so the earlier write was
	// not accepted and its condition can no longer hold.
	p.outcomeUnknown = false
	return p.tryAccept(ctx, cur, etag)
}

func (p *pendingChange) resetAsNotAccepted(err error) error {
	p.rec = Record{}
	return &NotAcceptedError{err}
}

// resolveVersionChange determines whether this change or another one changed the
// accepted version. It can be this change if the response to its write was lost
// or the write was delivered twice.
func (p *pendingChange) resolveVersionChange(ctx context.Context, cur Record) (bool, error) {
	if cur.Version > p.change.Base && p.outcomeUnknown {
		got, err := p.store.Version(ctx, p.rec.Version)
		if err != nil {
			return false, err
		}
		if got.ChangeID == p.rec.ChangeID {
			return true, nil
		}
	}
	p.rec = Record{}
	return true, p.store.conflictError(ctx, p.change.Base, cur)
}

func (p *pendingChange) tryAccept(ctx context.Context, cur Record, etag string) (bool, error) {
	changed := Changed(cur.Manifest, p.rec.Manifest)
	if cur.Version > 0 && len(changed) == 0 {
		p.rec = Record{}
		return true, &NoChangeError{cur}
	}
	if !p.filesStored {
		if err := p.store.storeFiles(ctx, cur.Manifest, p.change.Files); err != nil {
			return true, p.resetAsNotAccepted(err)
		}
		p.filesStored = true
	}
	tx, err := acceptTransaction(p.rec, etag, p.change, changed)
	if err != nil {
		return true, p.resetAsNotAccepted(err)
	}
	err = p.store.platform.Transact(ctx, tx)
	var conflict *platformclient.ConflictError
	switch {
	case errors.As(err, &conflict) && conflict.Index > 0:
		// The condition on the row "current" held, so no version was accepted
		// after Base, but a row of the next version exists.
		p.rec = Record{}
		return true, &InconsistentError{conflict.Table, conflict.Key, cur.Version}
	case err == nil:
		return true, nil
	case errors.Is(err, platformclient.ErrConflict), errors.Is(err, platformclient.ErrUnknownOutcome):
		// A conflict can be caused by this write itself if it was delivered
		// twice over HTTP. In both cases the next step reads back.
		p.outcomeUnknown, p.sentETag = true, etag
		return false, err
	}
	return true, p.resetAsNotAccepted(err)
}

// storeFiles stores the files whose content the accepted version does not have.
// Objects are named by their hash, so a write whose response was lost can be
// retried safely.
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

func acceptTransaction(rec Record, etag string, ch Change, changed []string) (platformclient.Transaction, error) {
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
		{Table: tableConfig, Key: keyCurrent, Condition: ifUnchanged(etag), Value: value},
		{Table: tableConfig, Key: key, Condition: create, Value: value},
		{Table: tableAudit, Key: key, Condition: create, Value: audit},
	}}, nil
}

// ifUnchanged returns the condition that the row "current" is unchanged since it
// was read with this ETag.
func ifUnchanged(etag string) platformclient.Condition {
	return platformclient.Condition{IfMatch: etag, IfNoneMatch: etag == ""}
}

// fenceCurrent rewrites the row "current" with the same version, so that a late
// write that is conditional on the old ETag fails. The new row contains a random
// value, so that its ETag differs even if the platform derives ETags from the
// content. Writes of other operators that fail because of the new ETag find the
// version unchanged and retry. Before the first version, fenceCurrent creates
// the row with version 0, which no node adopts.
func (s *Store) fenceCurrent(ctx context.Context, cur Record, etag string) error {
	cur.Fence = rand.Text()
	value, err := json.Marshal(&cur)
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	_, err = s.platform.Put(ctx, tableConfig, keyCurrent, value, ifUnchanged(etag))
	if errors.Is(err, platformclient.ErrConflict) {
		return nil
	}
	return err
}

// conflictError returns a *ConflictError with the changes since base.
func (s *Store) conflictError(ctx context.Context, base uint64, cur Record) error {
	const shown = 20
	cur.Fence = ""
	e := &ConflictError{Base: base, Current: cur}
	if base < cur.Version {
		// Errors are ignored: without the audit records the message is only
		// shorter.
		e.Audit, _ = s.Audit(ctx, cur.Version)
		e.Changes, _ = s.History(ctx, base, shown)
	}
	return e
}

// Rollback applies the files of an earlier version as the next version and
// returns them. The Action and Files of ch are ignored. Errors are those of
// Apply, or those of reading the earlier version.
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
