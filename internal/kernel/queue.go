package kernel

import (
	"context"
	"sync"
	"sync/atomic"
)

// OverflowPolicy determines what a full queue does with a new item.
type OverflowPolicy int

// Overflow policies.
const (
	// RejectNew drops the new item; Put returns false.
	RejectNew OverflowPolicy = iota
	// DropOldest makes room by dropping the oldest item.
	DropOldest
	// Block makes Put wait until there is room or the queue is closed.
	Block
)

// Queue is a bounded FIFO queue between goroutines. It is safe for any number of
// producers and consumers.
type Queue[T any] struct {
	items     chan T
	closed    chan struct{}
	closeOnce sync.Once
	policy    OverflowPolicy
	dropped   atomic.Uint64
}

// NewQueue returns a queue for up to size items.
func NewQueue[T any](size int, policy OverflowPolicy) *Queue[T] {
	return &Queue[T]{items: make(chan T, size), closed: make(chan struct{}), policy: policy}
}

// Put adds an item and reports whether it was added.
func (q *Queue[T]) Put(item T) bool {
	select {
	case <-q.closed:
		return false
	default:
	}
	switch q.policy {
	case Block:
		select {
		case q.items <- item:
			return true
		case <-q.closed:
			return false
		}
	case DropOldest:
		return q.putDroppingOldest(item)
	default:
		select {
		case q.items <- item:
			return true
		default:
			q.dropped.Add(1)
			return false
		}
	}
}

func (q *Queue[T]) putDroppingOldest(item T) bool {
	for {
		select {
		case q.items <- item:
			return true
		default:
		}
		select {
		case <-q.items:
			q.dropped.Add(1)
		default:
		}
	}
}

// Get waits for an item. It returns false when the queue is closed and empty, or
// when ctx ends.
func (q *Queue[T]) Get(ctx context.Context) (T, bool) {
	select {
	case item := <-q.items:
		return item, true
	default:
	}
	select {
	case item := <-q.items:
		return item, true
	case <-q.closed:
		return q.TryGet()
	case <-ctx.Done():
		var zero T
		return zero, false
	}
}

// TryGet returns an item, or false if the queue is empty.
func (q *Queue[T]) TryGet() (T, bool) {
	select {
	case item := <-q.items:
		return item, true
	default:
		var zero T
		return zero, false
	}
}

// Items returns the channel of queued items, for use in a select statement.
func (q *Queue[T]) Items() <-chan T { return q.items }

// Close makes Put reject further items. Items already queued can still be read.
func (q *Queue[T]) Close() { q.closeOnce.Do(func() { close(q.closed) }) }

// Dropped returns the number of items dropped because the queue was full.
func (q *Queue[T]) Dropped() uint64 { return q.dropped.Load() }

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return len(q.items) }
