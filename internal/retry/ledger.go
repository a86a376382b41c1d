package retry

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// AttemptCounter counts how often this node saw a request identity. It keeps an
// identity for at least its time to live after it was last seen, unless more
// identities arrive than it has places for. It is safe for concurrent use.
//
// Identities are kept as 64-bit hashes in two generations; when the younger
// one is full or old, the older one is dropped.
type AttemptCounter struct {
	mu       sync.Mutex
	half     int
	ttl      time.Duration
	young    map[uint64]uint32
	old      map[uint64]uint32
	started  time.Duration
	overruns uint64
}

// Defaults of a ledger. 370 requests a second, the mean of a node at the
// target size, fill half of it in 88 s.
const (
	DefaultAttemptCounterSize = 65536
	DefaultAttemptCounterTTL  = time.Minute
)

// NewAttemptCounter returns a ledger for size identities, which are kept for ttl.
func NewAttemptCounter(size int, ttl time.Duration) *AttemptCounter {
	return &AttemptCounter{half: max(size/2, 1), ttl: ttl, young: make(map[uint64]uint32), old: make(map[uint64]uint32)}
}

// Record records an identity and returns how often it was seen, this time
// included.
func (l *AttemptCounter) Record(now time.Duration, identity string) int {
	key := xxhash.Sum64String(identity)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	count, ok := l.young[key]
	if !ok {
		if len(l.young) >= l.half {
			l.overruns++
			l.rotate(now)
		}
		count = l.old[key]
		delete(l.old, key)
	}
	if count < 1<<31 {
		count++
	}
	l.young[key] = count
	return int(count)
}

// Contains reports whether an identity was seen, without recording it.
func (l *AttemptCounter) Contains(now time.Duration, identity string) bool {
	key := xxhash.Sum64String(identity)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	return l.young[key] > 0 || l.old[key] > 0
}

// expire drops what is old. It runs for every identity, so after twice the
// time to live nothing was recorded within it.
func (l *AttemptCounter) expire(now time.Duration) {
	age := now - l.started
	if age > l.ttl {
		l.rotate(now)
	}
	if age > 2*l.ttl {
		clear(l.old)
	}
}

// rotate drops the older generation and starts a new one.
func (l *AttemptCounter) rotate(now time.Duration) {
	l.young, l.old = l.old, l.young
	clear(l.young)
	l.started = now
}

// Len is the number of identities kept.
func (l *AttemptCounter) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.young) + len(l.old)
}

// EarlyEvictions counts how often identities were dropped before their time because
// all places were taken.
func (l *AttemptCounter) EarlyEvictions() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.overruns
}
