package kernel

import (
	"context"
	"sync"
	"sync/atomic"
)

// OverflowPolicy says what a ring does with an item when it is full.
type OverflowPolicy int

// Policies of a full ring.
const (
	// RejectNew drops the new item; Put returns false.
	RejectNew OverflowPolicy = iota
	// DropOldest makes room by dropping the oldest item.
	DropOldest
	// Block makes Put wait until there is room or the ring is closed.
	Block
)

// Queue is a bounded queue between goroutines. It is safe for any number of
// producers and consumers.
type Queue[T any] struct {
	items     chan T
	closed    chan struct{}
	closeOnce sync.Once
	policy    OverflowPolicy
	dropped   atomic.Uint64
}

// NewQueue returns a ring for size items.
func NewQueue[T any](size int, policy OverflowPolicy) *Queue[T] {
	return &Queue[T]{items: make(chan T, size), closed: make(chan struct{}), policy: policy}
}

// Put adds an item and reports whether it was accepted.
func (r *Queue[T]) Put(item T) bool {
	select {
	case <-r.closed:
		return false
	default:
	}
	switch r.policy {
	case Block:
		select {
		case r.items <- item:
			return true
		case <-r.closed:
			return false
		}
	case DropOldest:
		return r.putDroppingOldest(item)
	default:
		select {
		case r.items <- item:
			return true
		default:
			r.dropped.Add(1)
			return false
		}
	}
}

func (r *Queue[T]) putDroppingOldest(item T) bool {
	for {
		select {
		case r.items <- item:
			return true
		default:
		}
		select {
		case <-r.items:
			r.dropped.Add(1)
		default:
		}
	}
}

// Get waits for an item. It returns false when the ring is closed and empty,
// or when ctx ends.
func (r *Queue[T]) Get(ctx context.Context) (T, bool) {
	select {
	case item := <-r.items:
		return item, true
	default:
	}
	select {
	case item := <-r.items:
		return item, true
	case <-r.closed:
		return r.TryGet()
	case <-ctx.Done():
		var zero T
		return zero, false
	}
}

// TryGet returns an item if there is one.
func (r *Queue[T]) TryGet() (T, bool) {
	select {
	case item := <-r.items:
		return item, true
	default:
		var zero T
		return zero, false
	}
}

// Items is the receiving end, for use in a select statement.
func (r *Queue[T]) Items() <-chan T { return r.items }

// Close refuses further items. Items already queued can still be taken.
func (r *Queue[T]) Close() { r.closeOnce.Do(func() { close(r.closed) }) }

// Dropped is the number of items lost because the ring was full.
func (r *Queue[T]) Dropped() uint64 { return r.dropped.Load() }

// Len is the number of queued items.
func (r *Queue[T]) Len() int { return len(r.items) }
