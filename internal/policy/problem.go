package policy

import (
	"fmt"
	"strings"
)

// ProblemCode identifies the type of a problem.
type ProblemCode string

// Problem codes.
const (
	ProblemSyntax ProblemCode = "syntax"
	// ProblemSize means that a file, the number of files or their total size
	// exceeds its limit.
	ProblemSize ProblemCode = "size"
	// ProblemName means that the name of a file or table is invalid, or that
	// two files have the same name.
	ProblemName ProblemCode = "name"
	// ProblemTeam means that a file does not name its team.
	ProblemTeam       ProblemCode = "team"
	ProblemUnknownKey ProblemCode = "unknown_key"
	ProblemMissingKey ProblemCode = "missing_key"
	ProblemValue      ProblemCode = "value"
	// ProblemOwnership means that a team set a key of another team's table
	// without permission.
	ProblemOwnership ProblemCode = "ownership"
	// ProblemUnknownService means that a kind refers to a service that no file
	// declares.
	ProblemUnknownService ProblemCode = "unknown_service"
	// ProblemAmbiguous means that two kinds match the same requests with the
	// same specificity.
	ProblemAmbiguous ProblemCode = "ambiguous"
	// ProblemEmpty means that there is no service or no kind.
	ProblemEmpty ProblemCode = "empty"
)

// Problem is one reason why a configuration is invalid.
type Problem struct {
	Code ProblemCode `json:"code"`
	File string      `json:"file,omitempty"`
	// Line counts from 1; 0 means that the line is unknown.
	Line  int    `json:"line,omitempty"`
	Table string `json:"table,omitempty"`
	Key   string `json:"key,omitempty"`
	// Owner is the team that owns the table, and OwnerFile the first file that
	// defines it. They are set for ProblemOwnership only.
	Owner     string `json:"owner,omitempty"`
	OwnerFile string `json:"owner_file,omitempty"`
	Message   string `json:"message"`
	Remedy    string `json:"remedy"`
}

// Error returns the location, the problem and the remedy.
func (p *Problem) Error() string {
	var b strings.Builder
	if p.File != "" {
		fmt.Fprintf(&b, "file %q", p.File)
		if p.Line > 0 {
			fmt.Fprintf(&b, ", line %d", p.Line)
		}
	}
	if p.Table != "" {
		fmt.Fprintf(&b, ", table %s", p.Table)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, ", key %s", p.Key)
	}
	if b.Len() > 0 {
		b.WriteString(": ")
	}
	b.WriteString(p.Message)
	if p.Owner != "" {
		fmt.Fprintf(&b, " (owner: team %q by file %q)", p.Owner, p.OwnerFile)
	}
	return b.String() + "; " + p.Remedy
}

// InvalidError lists all problems of a configuration.
type InvalidError struct {
	Problems []*Problem
}

// Error returns one problem per line.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the problems, for errors.As.
func (e *InvalidError) Unwrap() []error {
	errs := make([]error, len(e.Problems))
	for i, p := range e.Problems {
		errs[i] = p
	}
	return errs
}
