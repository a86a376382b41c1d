// Package regionbudget keeps one node within its part of the link between
// regions, which all nodes of a region share without a coordinator.
//
// A node's share is nine tenths of the link, divided by the number of live
// nodes that use it. High priorities may also use the node's part of the
// remaining tenth. Ask MaySend before a call goes to another region, Begin
// when it does, and Transfer.Reserve before each chunk.
//
// The budget is pure: time is passed in. It is not safe for concurrent use.
package regionbudget

import (
	"math"
	"time"
)

// Config sets the limits of a budget. Zero values select the defaults.
type Config struct {
	// BitsPerSecond is the capacity of the link in this direction. Default 30
	// Mbit/s.
	BitsPerSecond float64
	// ReserveShare of the capacity is kept for high priorities. Default 0.1.
	ReserveShare float64
	// ReservePriority is the lowest priority that may use it. Default 8.
	ReservePriority int
	// Burst is the time for which unused capacity is saved. Default 100 ms.
	Burst time.Duration
	// MaxBacklog is the wait for the first byte above which no new call is sent.
	// Default 250 ms.
	MaxBacklog time.Duration
	// IdleTimeout is the time without use after which the node no longer counts as
	// using the link. Default 60 s.
	IdleTimeout time.Duration
}

// Limits of a chunk in bytes. The upper one is that of a frame of the link
// between nodes.
const (
	MinChunk = 1 << 10
	MaxChunk = 16 << 10
)

func (c *Config) setDefaults() {
	if c.BitsPerSecond <= 0 {
		c.BitsPerSecond = 30e6
	}
	if c.ReserveShare <= 0 {
		c.ReserveShare = 0.1
	}
	if c.ReservePriority <= 0 {
		c.ReservePriority = 8
	}
	if c.Burst <= 0 {
		c.Burst = 100 * time.Millisecond
	}
	if c.MaxBacklog <= 0 {
		c.MaxBacklog = 250 * time.Millisecond
	}
	if c.IdleTimeout <= 0 {
		c.IdleTimeout = time.Minute
	}
}

// Budget is one node's part of the link.
type Budget struct {
	config          Config
	common, reserve bucket
	// pending is the number of bytes that begun transfers still expect to send.
	pending  float64
	lastUse  time.Duration
	used     bool
	deferred uint64
}

// bucket holds tokens in bytes. Tokens below zero are booked by chunks that
// wait for their time.
type bucket struct {
	rate, burst, tokens float64
	last                time.Duration
	// bookings counts Reserve, so that Cancel can tell the last one.
	bookings uint64
}

// New returns the budget of a node that shares the link with nobody.
func New(cfg Config) *Budget {
	cfg.setDefaults()
	b := &Budget{config: cfg}
	b.SetOtherNodes(0, 0)
	b.common.tokens, b.reserve.tokens = b.common.burst, b.reserve.burst
	return b
}

// SetOtherNodes sets the number of other live nodes of the region that use the
// link. Saved capacity shrinks with the share. Chunks that were booked keep
// their time; their bytes delay later ones at the new rate.
func (b *Budget) SetOtherNodes(now time.Duration, others int) {
	total := b.config.BitsPerSecond / 8 / float64(max(others, 0)+1)
	b.common.setRate(now, total*(1-b.config.ReserveShare), b.config.Burst)
	b.reserve.setRate(now, total*b.config.ReserveShare, b.config.Burst)
}

func (k *bucket) setRate(now time.Duration, rate float64, burst time.Duration) {
	k.refill(now)
	k.rate, k.burst = rate, rate*burst.Seconds()
	k.tokens = min(k.tokens, k.burst)
}

func (k *bucket) refill(now time.Duration) {
	if now > k.last {
		k.tokens = min(k.tokens+k.rate*(now-k.last).Seconds(), k.burst)
		k.last = now
	}
}

// wait is the time until the bucket has earned n bytes.
func (k *bucket) wait(n float64) time.Duration {
	if n <= k.tokens {
		return 0
	}
	return seconds((n - k.tokens) / k.rate)
}

// seconds rounds up, so that a chunk is never early by a fraction of a ns.
func seconds(s float64) time.Duration {
	if s > math.MaxInt64/2e9 {
		return math.MaxInt64 / 2
	}
	return time.Duration(math.Ceil(s * 1e9))
}

// InUse reports whether the node counts as using the link: from its first use
// until it was quiet for the configured time. Gossip carries this flag.
func (b *Budget) InUse(now time.Duration) bool {
	return b.used && (b.pending > 0 || now-b.lastUse < b.config.IdleTimeout)
}

func (b *Budget) touch(now time.Duration) { b.used, b.lastUse = true, max(now, b.lastUse) }

// ChunkSize is the size in bytes into which a body should be split: what the
// share earns in the time of a burst, so that other streams get their turn.
func (b *Budget) ChunkSize() int {
	return min(max(int(b.common.burst), MinChunk), MaxChunk)
}

// choose returns the bucket that can send n bytes of a priority first.
func (b *Budget) choose(now time.Duration, priority int, n float64) (*bucket, time.Duration) {
	b.common.refill(now)
	wait := b.common.wait(n)
	if wait == 0 || priority < b.config.ReservePriority {
		return &b.common, wait
	}
	b.reserve.refill(now)
	if w := b.reserve.wait(n); w < wait {
		return &b.reserve, w
	}
	return &b.common, wait
}

// MaySend reports whether a new call that will send about size bytes may go
// across now: its first chunk goes out soon, and the rest within the given
// time beside the transfers that were begun.
func (b *Budget) MaySend(now time.Duration, priority, size int, within time.Duration) bool {
	first := float64(min(max(size, 0), b.ChunkSize()))
	if _, wait := b.choose(now, priority, first); wait > b.config.MaxBacklog {
		return false
	}
	rate, ahead := b.common.rate, b.pending
	if priority >= b.config.ReservePriority {
		// The reserve carries these while lower priorities wait.
		rate, ahead = rate+b.reserve.rate, 0
	}
	return seconds((ahead+float64(max(size, 0))-max(b.common.tokens, 0))/rate) <= within
}

// StartTransfer registers a transfer of about size bytes, so that MaySend accounts for
// it. The transfer must be ended.
func (b *Budget) StartTransfer(now time.Duration, priority, size int) *Transfer {
	b.touch(now)
	t := &Transfer{budget: b, priority: priority, expected: float64(max(size, 0))}
	b.pending += t.expected
	return t
}

// Charge accounts for bytes that are sent at once and do not wait, such as the
// head of a request. They delay later chunks.
func (b *Budget) Charge(now time.Duration, priority, n int) {
	b.touch(now)
	k, _ := b.choose(now, priority, float64(max(n, 0)))
	k.tokens -= float64(max(n, 0))
}

// Deferred counts chunks that had to wait.
func (b *Budget) Deferred() uint64 { return b.deferred }

// Transfer is a body that crosses the link in chunks.
type Transfer struct {
	budget   *Budget
	priority int
	expected float64
}

// Reservation is a booked chunk.
type Reservation struct {
	// Wait is the time after which the chunk may be sent.
	Wait    time.Duration
	bucket  *bucket
	bytes   float64
	booking uint64
}

// Reserve books a chunk of n bytes and tells how long to wait before it is
// sent. It never refuses, so that a body that was begun also ends. A chunk
// larger than the burst waits until all of it is earned.
func (t *Transfer) Reserve(now time.Duration, n int) Reservation {
	b, bytes := t.budget, float64(max(n, 0))
	b.touch(now)
	k, wait := b.choose(now, t.priority, bytes)
	k.tokens -= bytes
	done := min(bytes, t.expected)
	t.expected -= done
	b.pending = max(b.pending-done, 0)
	if wait > 0 {
		b.deferred++
	}
	k.bookings++
	return Reservation{wait, k, bytes, k.bookings}
}

// Cancel gives back a chunk that is not sent. It may be called once, before
// the chunk's time. If others were booked after it, its bytes are lost: they
// keep their times, and giving the bytes away again would send twice the rate
// then.
func (b *Budget) Cancel(now time.Duration, r Reservation) {
	if r.bucket == nil || r.booking != r.bucket.bookings {
		return
	}
	r.bucket.refill(now)
	r.bucket.tokens = min(r.bucket.tokens+r.bytes, r.bucket.burst)
}

// End ends a transfer, whether or not it sent what was expected.
func (t *Transfer) End(now time.Duration) {
	t.budget.touch(now)
	t.budget.pending = max(t.budget.pending-t.expected, 0)
	t.expected = 0
}
