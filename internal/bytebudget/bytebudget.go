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

	mu   sync.Mutex
	used int64
	// idle has the buffers that Read outgrew or gave up, by capacity. Without them the
	// garbage of many bodies read at once takes as much memory again as the budget.
	idle      map[int64][][]byte
	idleBytes int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit, idle: map[int64][][]byte{}} }

// Used returns the number of bytes in use.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Take counts n bytes, or returns false if that would exceed the budget.
func (b *Budget) Take(n int64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.take(n)
}

// take is Take with the lock held. Idle buffers make room for bytes in use.
func (b *Budget) take(n int64) bool {
	if b.used+n > b.limit {
		return false
	}
	b.used += n
	for capacity, buffers := range b.idle {
		if b.used+b.idleBytes <= b.limit {
			break
		}
		b.idleBytes -= capacity * int64(len(buffers))
		delete(b.idle, capacity)
	}
	return true
}

// Give returns n bytes that were taken.
func (b *Budget) Give(n int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.give(n)
}

// give is Give with the lock held. Idle buffers are kept only while bodies are in memory.
func (b *Budget) give(n int64) {
	b.used -= n
	if b.used == 0 {
		clear(b.idle)
		b.idleBytes = 0
	}
}

// buffer counts the bytes of a buffer and returns it, or false if there is no room.
func (b *Budget) buffer(capacity int64) ([]byte, bool) {
	if b == nil {
		return make([]byte, 0, capacity), true
	}
	b.mu.Lock()
	if buffers := b.idle[capacity]; len(buffers) > 0 && b.used+capacity <= b.limit {
		last := len(buffers) - 1
		buffer := buffers[last]
		buffers[last], b.idle[capacity] = nil, buffers[:last]
		b.idleBytes -= capacity
		b.used += capacity
		b.mu.Unlock()
		return buffer[:0], true
	}
	ok := b.take(capacity)
	b.mu.Unlock()
	if !ok {
		return nil, false
	}
	return make([]byte, 0, capacity), true
}

// recycle returns the bytes of a buffer that nothing refers to.
func (b *Budget) recycle(buffer []byte) {
	capacity := int64(cap(buffer))
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if capacity >= minBuffer {
		b.idle[capacity] = append(b.idle[capacity], buffer)
		b.idleBytes += capacity
	}
	b.give(capacity)
}

// Read reads until the end of r, or until it has read limit bytes. size is the length
// of the body, or -1 if it is not known. The bytes count until free is called, which is
// not nil. The error is ErrExhausted or that of r.
func (b *Budget) Read(r io.Reader, size, limit int64) (data []byte, free func(), err error) {
	next := min(limit, minBuffer)
	if size >= 0 {
		next = min(limit, firstBuffer(size))
	}
	for {
		// Both buffers are in memory while one is copied to the other.
		grown, ok := b.buffer(next)
		if !ok {
			b.recycle(data)
			return nil, func() {}, ErrExhausted
		}
		grown = append(grown, data...)
		b.recycle(data)
		data = grown
		for len(data) < cap(data) {
			n, err := r.Read(data[len(data):cap(data)])
			data = data[:len(data)+n]
			if err == io.EOF {
				return data, sync.OnceFunc(func() { b.Give(next) }), nil
			}
			if err != nil {
				b.recycle(data)
				return nil, func() {}, err
			}
		}
		if next == limit {
			return data, sync.OnceFunc(func() { b.Give(next) }), nil
		}
		next = min(2*next, limit)
	}
}

// firstBuffer returns the capacity of the first buffer of a body of size bytes. The end
// of a body is reported only if there is room beyond it. Capacities of buffers that can
// grow are powers of two, so that one body's buffer fits another.
func firstBuffer(size int64) int64 {
	if size < minBuffer {
		return size + 1
	}
	capacity := int64(minBuffer)
	for capacity <= size && capacity < maxFirstBuffer {
		capacity *= 2
	}
	return capacity
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
