// Package regionbudget limits how much of the link between regions one node
// uses. All nodes of a region share the link without a coordinator.
//
// A node's share is nine tenths of the link's capacity, divided by the number
// of live nodes that use the link. High priorities may also use the node's
// share of the remaining tenth, the reserve. Call MaySend before a call is sent
// to another region, StartTransfer when it is sent, and Transfer.Reserve before
// each chunk.
//
// The budget reads no clock: the caller passes the time. It is not safe for
// concurrent use.
package regionbudget

import (
	"math"
	"time"
)

// Config holds the limits of a budget. Zero values select the defaults.
type Config struct {
	// BitsPerSecond is the capacity of the link in the budget's direction.
	// Default 30 Mbit/s.
	BitsPerSecond float64
	// ReserveShare is the fraction of the capacity that is reserved for high
	// priorities. Default 0.1.
	ReserveShare float64
	// ReservePriority is the lowest priority that may use the reserve.
	// Default 8.
	ReservePriority int
	// Burst is the time for which unused capacity accumulates. Default 100 ms.
	Burst time.Duration
	// MaxBacklog is the maximum wait for the first chunk of a new call; no call
	// is sent that would wait longer. Default 250 ms.
	MaxBacklog time.Duration
	// IdleTimeout is the time after the last use of the link until the node no
	// longer counts as a user. Default 60 s.
	IdleTimeout time.Duration
}

// Limits of the chunk size in bytes. MaxChunk is the maximum payload of a Data
// frame.
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

// Budget is one node's share of the link in one direction.
type Budget struct {
	config Config
	// common serves all priorities; reserve serves only high ones.
	common, reserve bucket
	// pending is the number of bytes that started transfers are still expected
	// to send.
	pending  float64
	lastUse  time.Duration
	everUsed bool
	deferred uint64 // reserved chunks that had to wait
}

// bucket is a token bucket with one token per byte. The number of tokens is
// negative while reserved chunks wait for their time. rate is in bytes per
// second, burst in bytes.
type bucket struct {
	rate, burst, tokens float64
	last                time.Duration // of the last refill
	// reservations counts the calls of Reserve, so that Cancel can recognize
	// the latest reservation.
	reservations uint64
}

// New returns the budget of a node that does not share the link with others.
func New(cfg Config) *Budget {
	cfg.setDefaults()
	b := &Budget{config: cfg}
	b.SetOtherNodes(0, 0)
	b.common.tokens, b.reserve.tokens = b.common.burst, b.reserve.burst
	return b
}

// SetOtherNodes sets the number of other live nodes of the region that use the
// link. Accumulated capacity is limited to the burst at the new rate. Reserved
// chunks keep their time; their bytes delay later chunks at the new rate.
func (b *Budget) SetOtherNodes(now time.Duration, others int) {
	total := b.config.BitsPerSecond / 8 / float64(max(others, 0)+1)
	b.common.setRate(now, total*(1-b.config.ReserveShare), b.config.Burst)
	b.reserve.setRate(now, total*b.config.ReserveShare, b.config.Burst)
}

// setRate sets the rate in bytes per second, and the burst to the bytes that the
// bucket receives in the given time.
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

// wait returns the time until the bucket would hold n tokens if it were not
// limited to the burst.
func (k *bucket) wait(n float64) time.Duration {
	if n <= k.tokens {
		return 0
	}
	return toDuration((n - k.tokens) / k.rate)
}

// toDuration converts seconds to a duration. It rounds up, so that a chunk is
// not sent a fraction of a nanosecond too early, and bounds the result, so that
// it does not overflow.
func toDuration(s float64) time.Duration {
	if s > math.MaxInt64/2e9 {
		return math.MaxInt64 / 2
	}
	return time.Duration(math.Ceil(s * 1e9))
}

// InUse reports whether the node counts as a user of the link: from its first
// use until it has not used the link for IdleTimeout. Gossip carries this flag.
func (b *Budget) InUse(now time.Duration) bool {
	return b.everUsed && (b.pending > 0 || now-b.lastUse < b.config.IdleTimeout)
}

func (b *Budget) recordUse(now time.Duration) { b.everUsed, b.lastUse = true, max(now, b.lastUse) }

// ChunkSize returns the size in bytes of the chunks into which a body should be
// split: the capacity of the share during Burst, within MinChunk and MaxChunk.
// Small chunks let other streams send in between.
func (b *Budget) ChunkSize() int {
	return min(max(int(b.common.burst), MinChunk), MaxChunk)
}

// chooseBucket returns the bucket that allows n bytes of the given priority
// first, and the wait until then.
func (b *Budget) chooseBucket(now time.Duration, priority int, n float64) (*bucket, time.Duration) {
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

// MaySend reports whether a new call that will send about size bytes may be
// sent now: its first chunk waits no longer than MaxBacklog, and all of it can
// be sent within the remaining time. Priorities below ReservePriority come after
// the bytes that started transfers have yet to send; higher ones do not.
func (b *Budget) MaySend(now time.Duration, priority, size int, remaining time.Duration) bool {
	first := float64(min(max(size, 0), b.ChunkSize()))
	if _, wait := b.chooseBucket(now, priority, first); wait > b.config.MaxBacklog {
		return false
	}
	rate, backlog := b.common.rate, b.pending
	if priority >= b.config.ReservePriority {
		// The chunks of high priority use the reserve while those of the started
		// transfers wait for the common bucket.
		rate, backlog = rate+b.reserve.rate, 0
	}
	return toDuration((backlog+float64(max(size, 0))-max(b.common.tokens, 0))/rate) <= remaining
}

// StartTransfer registers a transfer of about size bytes, so that MaySend takes
// it into account. The transfer must be ended with End.
func (b *Budget) StartTransfer(now time.Duration, priority, size int) *Transfer {
	b.recordUse(now)
	t := &Transfer{budget: b, priority: priority, expected: float64(max(size, 0))}
	b.pending += t.expected
	return t
}

// Charge accounts for bytes that are sent without waiting, such as a request or a
// short response. They delay later chunks.
func (b *Budget) Charge(now time.Duration, priority, n int) {
	b.recordUse(now)
	k, _ := b.chooseBucket(now, priority, float64(max(n, 0)))
	k.tokens -= float64(max(n, 0))
}

// Deferred returns the number of chunks that had to wait.
func (b *Budget) Deferred() uint64 { return b.deferred }

// Transfer is a body that is sent over the link in chunks.
type Transfer struct {
	budget   *Budget
	priority int
	expected float64
}

// Reservation is the permission to send a chunk after Wait.
type Reservation struct {
	// Wait is the time from the call of Reserve until the chunk may be sent.
	Wait   time.Duration
	bucket *bucket
	bytes  float64
	// sequence is the value of bucket.reservations after this reservation.
	sequence uint64
}

// Reserve reserves a chunk of n bytes and returns how long to wait before
// sending it. It never refuses, so that a started body can always be completed.
// A chunk larger than the burst waits as if the bucket could hold all its bytes.
func (t *Transfer) Reserve(now time.Duration, n int) Reservation {
	b, bytes := t.budget, float64(max(n, 0))
	b.recordUse(now)
	k, wait := b.chooseBucket(now, t.priority, bytes)
	k.tokens -= bytes
	done := min(bytes, t.expected)
	t.expected -= done
	b.pending = max(b.pending-done, 0)
	if wait > 0 {
		b.deferred++
	}
	k.reservations++
	return Reservation{wait, k, bytes, k.reservations}
}

// Cancel refunds the bytes of a reserved chunk that is not sent. It may be called
// once, before the chunk's time. If other chunks were reserved from the same
// bucket after it, nothing is refunded: those chunks keep their times, and
// reserving the bytes again for the same time would double the rate.
func (b *Budget) Cancel(now time.Duration, r Reservation) {
	if r.bucket == nil || r.sequence != r.bucket.reservations {
		return
	}
	r.bucket.refill(now)
	r.bucket.tokens = min(r.bucket.tokens+r.bytes, r.bucket.burst)
}

// End ends a transfer, even if it did not send the expected number of bytes.
func (t *Transfer) End(now time.Duration) {
	t.budget.recordUse(now)
	t.budget.pending = max(t.budget.pending-t.expected, 0)
	t.expected = 0
}
