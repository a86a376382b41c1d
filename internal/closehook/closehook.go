// Package closehook runs a function when a body is closed.
package closehook

import "io"

type body struct {
	io.ReadCloser
	onClose func()
}

// New returns a body that calls onClose after closing rc. Close must be called
// only once.
func New(rc io.ReadCloser, onClose func()) io.ReadCloser { return &body{rc, onClose} }

func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.onClose()
	return err
}
