package retry

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// AttemptCounter counts the attempts of each request ID that arrived at this
// node. An ID is kept for at least the TTL after its last attempt, unless more
// IDs arrive than fit. It is safe for concurrent use.
//
// IDs are stored as 64-bit hashes in two generations. When the current
// generation is full or older than the TTL, the previous one is dropped.
type AttemptCounter struct {
	mu             sync.Mutex
	generationSize int
	ttl            time.Duration
	current        map[uint64]uint32
	previous       map[uint64]uint32
	rotatedAt      time.Duration
	earlyEvictions uint64
}

// Defaults of an AttemptCounter. At 370 requests/s, the mean of a node at the
// target size, one generation (half of the size) fills in 88 s.
const (
	DefaultAttemptCounterSize = 65536
	DefaultAttemptCounterTTL  = time.Minute
)

// NewAttemptCounter returns a counter for up to size request IDs, each kept for
// at least ttl after its last attempt unless more IDs arrive than fit.
func NewAttemptCounter(size int, ttl time.Duration) *AttemptCounter {
	return &AttemptCounter{generationSize: max(size/2, 1), ttl: ttl, current: make(map[uint64]uint32), previous: make(map[uint64]uint32)}
}

// Record counts an attempt of requestID and returns the number of attempts so
// far, including this one.
func (c *AttemptCounter) Record(now time.Duration, requestID string) int {
	key := xxhash.Sum64String(requestID)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(now)
	count, ok := c.current[key]
	if !ok {
		if len(c.current) >= c.generationSize {
			c.earlyEvictions++
			c.rotate(now)
		}
		count = c.previous[key]
		delete(c.previous, key)
	}
	if count < 1<<31 {
		count++
	}
	c.current[key] = count
	return int(count)
}

// Contains reports whether an attempt of requestID was recorded. It does not
// record one.
func (c *AttemptCounter) Contains(now time.Duration, requestID string) bool {
	key := xxhash.Sum64String(requestID)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(now)
	return c.current[key] > 0 || c.previous[key] > 0
}

// expire rotates the generations once the TTL has passed. Every Record and
// Contains calls it, so if the last rotation is more than two TTLs ago, nothing
// was recorded within the last TTL and both generations are dropped.
func (c *AttemptCounter) expire(now time.Duration) {
	age := now - c.rotatedAt
	if age > c.ttl {
		c.rotate(now)
	}
	if age > 2*c.ttl {
		clear(c.previous)
	}
}

// rotate drops the previous generation and starts an empty current one.
func (c *AttemptCounter) rotate(now time.Duration) {
	c.current, c.previous = c.previous, c.current
	clear(c.current)
	c.rotatedAt = now
}

// Len returns the number of request IDs kept.
func (c *AttemptCounter) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.current) + len(c.previous)
}

// EarlyEvictions returns how many generations were dropped because the current
// generation was full before the TTL had passed.
func (c *AttemptCounter) EarlyEvictions() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.earlyEvictions
}
