// Package closehook attaches the end of a request to the closing of its body.
package closehook

import "io"

type body struct {
	io.ReadCloser
	end func()
}

// New returns a body that calls end after rc was closed. Close it once.
func New(rc io.ReadCloser, end func()) io.ReadCloser { return &body{rc, end} }

// Close closes the body and calls the hook.
func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.end()
	return err
}
