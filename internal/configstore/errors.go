package configstore

import (
	"fmt"
	"strings"
)

// ConflictError means that the accepted version is not the base version of the
// change. The change was not accepted and never will be.
type ConflictError struct {
	Base    uint64
	Current Record
	// Audit is the audit record of the current version.
	Audit Audit
	// Changes lists the changes after Base, oldest first. It is empty if they
	// could not be read.
	Changes []Audit
}

// Error lists the changes since the base version, with their authors.
func (e *ConflictError) Error() string {
	if e.Base > e.Current.Version {
		return fmt.Sprintf("base version %d does not exist, the accepted version is %d; nothing was accepted; apply with --base %d",
			e.Base, e.Current.Version, e.Current.Version)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "configuration moved from version %d to %d", e.Base, e.Current.Version)
	changes := e.Changes
	if len(changes) == 0 && e.Audit.Version > 0 {
		changes = []Audit{e.Audit}
	}
	for _, a := range changes {
		fmt.Fprintf(&b, "; version %d: %s changed %v (%s)", a.Version, a.Author, a.Changed, a.Reason)
	}
	return b.String() + "; nothing was accepted; review it with 'parsleyctl config diff' and apply again"
}

// UnknownOutcomeError means that it could not be determined whether the change
// was accepted.
type UnknownOutcomeError struct {
	ChangeID string
	Version  uint64
	cause    error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("change %s may have been accepted as version %d: %v; check with 'parsleyctl config history', or apply it again with --base %d: it cannot be accepted twice",
		e.ChangeID, e.Version, e.cause, e.Version-1)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.cause }

// NotAcceptedError means that the change was not accepted and never will be.
type NotAcceptedError struct{ cause error }

// Error implements error.
func (e *NotAcceptedError) Error() string {
	return fmt.Sprintf("nothing was accepted: %v; the accepted configuration is unchanged, apply again when the platform is reachable", e.cause)
}

// Unwrap returns the cause.
func (e *NotAcceptedError) Unwrap() error { return e.cause }

// InconsistentError means that the platform has a row of a version that was not
// accepted, for example after only some rows were restored from a backup. The
// change was not accepted.
type InconsistentError struct {
	Table, Key string
	Current    uint64
}

// Error implements error.
func (e *InconsistentError) Error() string {
	return fmt.Sprintf("the platform has the row %s/%s, but the accepted version is %d; nothing was accepted; restore the tables config and audit to the same time, or remove the row, and apply again",
		e.Table, e.Key, e.Current)
}

// NoChangeError means that the accepted version already has the same files.
type NoChangeError struct{ Current Record }

// Error implements error.
func (e *NoChangeError) Error() string {
	return fmt.Sprintf("version %d already has exactly these files; there is nothing to accept", e.Current.Version)
}
