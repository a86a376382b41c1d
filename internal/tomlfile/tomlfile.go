// Package tomlfile decodes and validates TOML files that are written by hand.
// Unknown keys are errors, and every error names the file, the key if there is
// one, and a remedy.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Error reports an invalid value.
type Error struct {
	File    string
	Key     string
	Problem string
	Remedy  string
}

// Error returns the file, the key, the problem and the remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("file %q, key %q: %s; %s", e.File, e.Key, e.Problem, e.Remedy)
}

// Checker collects the problems of one file.
type Checker struct {
	File string
	errs []error
}

// Fail records a problem with a key.
func (c *Checker) Fail(key, remedy, format string, args ...any) {
	c.errs = append(c.errs, &Error{c.File, key, fmt.Sprintf(format, args...), remedy})
}

// Check records a problem with a key unless ok is true.
func (c *Checker) Check(ok bool, key, remedy, format string, args ...any) {
	if !ok {
		c.Fail(key, remedy, format, args...)
	}
}

// Err returns all recorded problems as one error, or nil if there are none.
func (c *Checker) Err() error { return errors.Join(c.errs...) }

// Decode decodes the content of a file into a struct. Keys without a matching
// field are errors.
func Decode(file string, content []byte, into any) error {
	err := toml.NewDecoder(bytes.NewReader(content)).DisallowUnknownFields().Decode(into)
	var strict *toml.StrictMissingError
	var de *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &strict):
		c := Checker{File: file}
		for _, e := range strict.Errors {
			c.Fail(strings.Join(e.Key(), "."), "remove it or fix its spelling", "unknown key")
		}
		return c.Err()
	case errors.As(err, &de):
		row, col := de.Position()
		return &Error{file, strings.Join(de.Key(), "."), fmt.Sprintf("line %d, column %d: %s", row, col, de.Error()), "fix the TOML"}
	}
	return fmt.Errorf("file %q: %w; fix the TOML", file, err)
}
