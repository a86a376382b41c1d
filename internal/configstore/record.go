package configstore

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"time"

	"parsleyturn/internal/policy"
)

// Manifest lists the files of one version.
type Manifest struct {
	// Files maps names to the hex SHA-256 of their content.
	Files map[string]string `json:"files" msgpack:"f"`
}

// Record is one accepted version.
type Record struct {
	Version uint64 `json:"version" msgpack:"v"`
	// ChangeID is random. A writer whose response was lost compares it to find
	// out whether this version is its own.
	ChangeID string   `json:"change_id" msgpack:"c"`
	Manifest Manifest `json:"manifest" msgpack:"m"`
	// Fence is set only in the row "current", after the row was rewritten to
	// invalidate a write whose response was lost.
	Fence string `json:"fence,omitempty" msgpack:"-"`
}

// Audit is the audit record of one version.
type Audit struct {
	Version  uint64    `json:"version"`
	ChangeID string    `json:"change_id"`
	Author   string    `json:"who"`
	Time     time.Time `json:"when"`
	Reason   string    `json:"why"`
	// Action is "apply" or "rollback".
	Action string `json:"action"`
	// Changed lists the names of files that were added, changed or removed.
	Changed []string `json:"changed"`
}

// Hash returns the hex SHA-256 of content.
func Hash(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// ValidHash reports whether s has the format of a value returned by Hash.
func ValidHash(s string) bool {
	raw, err := hex.DecodeString(s)
	return err == nil && len(raw) == sha256.Size
}

// NewManifest returns the manifest of the given files.
func NewManifest(files []policy.File) Manifest {
	m := Manifest{Files: make(map[string]string, len(files))}
	for _, f := range files {
		m.Files[f.Name] = Hash(f.Content)
	}
	return m
}

// Changed returns the sorted names of files that differ between two manifests.
func Changed(a, b Manifest) []string {
	names := []string{}
	for n, h := range a.Files {
		if b.Files[n] != h {
			names = append(names, n)
		}
	}
	for n := range b.Files {
		if _, ok := a.Files[n]; !ok {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	return names
}
