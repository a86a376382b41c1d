// Package bytebudget bounds the memory that a process uses for bodies that it reads
// completely, over all senders together.
package bytebudget

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// ErrExhausted means that too many bodies are in memory to read another one.
var ErrExhausted = errors.New("too many bodies are in memory; try again later")

// Sizes of the first buffer in bytes. A declared length is trusted only up to
// maxFirstBuffer, as its sender may send less.
const (
	minBuffer      = 4 << 10
	maxFirstBuffer = 64 << 10
)

// Budget is a number of bytes. It is safe for concurrent use. A nil Budget has no limit.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the number of bytes in use.
func (b *Budget) Used() int64 { return b.used.Load() }

// Take counts n bytes, or returns false if that would exceed the budget.
func (b *Budget) Take(n int64) bool {
	if b == nil {
		return true
	}
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// Give returns n bytes that were taken.
func (b *Budget) Give(n int64) {
	if b != nil {
		b.used.Add(-n)
	}
}

// Read reads until the end of r, or until it has read limit bytes. size is the length
// of the body, or -1 if it is not known. The bytes count until free is called, which is
// not nil. The error is ErrExhausted or that of r.
func (b *Budget) Read(r io.Reader, size, limit int64) (data []byte, free func(), err error) {
	taken := int64(0)
	free = sync.OnceFunc(func() { b.Give(taken) })
	next := min(limit, minBuffer)
	if size >= 0 {
		next = min(limit, size+1, maxFirstBuffer+1) // the end is reported only if there is room
	}
	for {
		// Both buffers are in memory while one is copied to the other.
		if !b.Take(next) {
			free()
			return nil, func() {}, ErrExhausted
		}
		grown := make([]byte, len(data), next)
		copy(grown, data)
		b.Give(taken)
		data, taken = grown, next
		for len(data) < cap(data) {
			n, err := r.Read(data[len(data):cap(data)])
			data = data[:len(data)+n]
			if err == io.EOF {
				return data, free, nil
			}
			if err != nil {
				free()
				return nil, func() {}, err
			}
		}
		if next == limit {
			return data, free, nil
		}
		next = min(2*next, limit)
	}
}

// Hold keeps the bytes of a body counted until all its users have ended.
type Hold struct {
	users atomic.Int64
	free  func()
}

type holdKey struct{}

// NewHold returns a hold with one user, who must call End, and a context with which
// others use it.
func NewHold(ctx context.Context) (context.Context, *Hold) {
	h := &Hold{free: func() {}}
	h.users.Store(1)
	return context.WithValue(ctx, holdKey{}, h), h
}

// Attach sets the function that is called when the last user of the context's hold has
// ended. It must be called before others join.
func Attach(ctx context.Context, free func()) {
	if h, ok := ctx.Value(holdKey{}).(*Hold); ok {
		h.free = free
	}
}

// End ends the use of one user.
func (h *Hold) End() {
	if h.users.Add(-1) == 0 {
		h.free()
	}
}

// Join joins the hold of a context for an execution that may go on after the call that
// it belongs to. The returned function ends the use.
func Join(ctx context.Context) (end func()) {
	h, ok := ctx.Value(holdKey{}).(*Hold)
	if !ok {
		return func() {}
	}
	h.users.Add(1)
	return h.End
}
