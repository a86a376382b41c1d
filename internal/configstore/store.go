// Package configstore stores accepted configurations and their audit trail in
// the platform's service.
//
// A configuration consists of a manifest, which maps file names to content
// hashes, and of the files, stored as objects named by their hash. A version is
// accepted in a single conditional transaction. If two operators apply a change
// to the same version, exactly one succeeds. An accepted version never changes.
package configstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"time"

	"parsleyturn/internal/platformclient"
	"parsleyturn/internal/policy"
)

// Tables and keys in the platform's service.
const (
	tableConfig = "config"
	tableAudit  = "audit"
	keyCurrent  = "current"
)

// ErrHashMismatch means that the content of an object does not match the hash
// that it is named by.
var ErrHashMismatch = errors.New("content of the object does not match its hash; restore the object in the platform")

// Store reads and writes configurations.
type Store struct {
	platform *platformclient.Client
	// backoff is the first delay between two steps of Apply. It doubles up to
	// maxBackoff.
	backoff time.Duration
}

const (
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = time.Second
)

// New returns a store that uses the given client.
func New(p *platformclient.Client) *Store { return &Store{platform: p, backoff: initialBackoff} }

// current returns the accepted version with its ETag. Version 0 means that no
// version was accepted yet.
func (s *Store) current(ctx context.Context) (Record, string, error) {
	v, err := s.platform.Get(ctx, tableConfig, keyCurrent)
	if errors.Is(err, platformclient.ErrNotFound) {
		return Record{Manifest: Manifest{Files: map[string]string{}}}, "", nil
	}
	if err != nil {
		return Record{}, "", err
	}
	var r Record
	if err := json.Unmarshal(v.Data, &r); err != nil {
		return Record{}, "", fmt.Errorf("decode current configuration: %w", err)
	}
	return r, v.ETag, nil
}

// Current returns the accepted version.
func (s *Store) Current(ctx context.Context) (Record, error) {
	r, _, err := s.current(ctx)
	r.Fence = ""
	return r, err
}

// Version returns an accepted version by number.
func (s *Store) Version(ctx context.Context, version uint64) (Record, error) {
	v, err := s.platform.Get(ctx, tableConfig, versionKey(version))
	if err != nil {
		return Record{}, fmt.Errorf("read configuration version %d: %w", version, err)
	}
	var r Record
	if err := json.Unmarshal(v.Data, &r); err != nil {
		return Record{}, fmt.Errorf("decode configuration version %d: %w", version, err)
	}
	return r, nil
}

// Files reads the files of a manifest and verifies their hashes.
func (s *Store) Files(ctx context.Context, m Manifest) ([]policy.File, error) {
	files := make([]policy.File, 0, len(m.Files))
	for name, hash := range m.Files {
		content, err := s.File(ctx, hash)
		if err != nil {
			return nil, fmt.Errorf("configuration file %q: %w", name, err)
		}
		files = append(files, policy.File{Name: name, Content: content})
	}
	sort.Slice(files, func(i, j int) bool { return files[i].Name < files[j].Name })
	return files, nil
}

// File reads the content with the given hash and verifies it.
func (s *Store) File(ctx context.Context, hash string) ([]byte, error) {
	content, err := s.platform.GetObject(ctx, hash)
	if err != nil {
		return nil, fmt.Errorf("read configuration object %s: %w", hash, err)
	}
	if Hash(content) != hash {
		return nil, fmt.Errorf("read configuration object %s: %w", hash, ErrHashMismatch)
	}
	return content, nil
}

// History returns up to limit audit records with a version above after, oldest
// first.
func (s *Store) History(ctx context.Context, after uint64, limit int) ([]Audit, error) {
	from := ""
	if after > 0 {
		from = versionKey(after)
	}
	rows, err := s.platform.List(ctx, tableAudit, "version-", from, limit)
	if err != nil {
		return nil, fmt.Errorf("read audit trail: %w", err)
	}
	records := make([]Audit, 0, len(rows))
	for _, row := range rows {
		var a Audit
		if err := json.Unmarshal(row.Data, &a); err != nil {
			return nil, fmt.Errorf("decode audit record %q: %w", row.Key, err)
		}
		records = append(records, a)
	}
	return records, nil
}

// Audit returns the audit record of one version.
func (s *Store) Audit(ctx context.Context, version uint64) (Audit, error) {
	v, err := s.platform.Get(ctx, tableAudit, versionKey(version))
	if err != nil {
		return Audit{}, fmt.Errorf("read audit record of version %d: %w", version, err)
	}
	var a Audit
	if err := json.Unmarshal(v.Data, &a); err != nil {
		return Audit{}, fmt.Errorf("decode audit record of version %d: %w", version, err)
	}
	return a, nil
}

// versionKey returns the row key of a version. Keys sort in the order of the
// version numbers.
func versionKey(v uint64) string { return fmt.Sprintf("version-%012d", v) }
