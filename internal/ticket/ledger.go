package ticket

import (
	"container/heap"
	"time"
)

// Status is the state of a ticket in the ledger.
type Status int

// States of a ticket.
const (
	// Fresh means that the ticket has not been used; it is now running.
	Fresh Status = iota
	// Running means that an execution is under way.
	Running
	// Done means that an answer was recorded.
	Done
	// DoneUnrecorded means that the execution ended without an answer that
	// could be recorded: it may have run.
	DoneUnrecorded
	// Void means that the ticket was refused for good and never ran.
	Void
	// Expired means that the ticket is too old to be used first; it never ran.
	Expired
)

// Response is a recorded answer.
type Response struct {
	Status  int
	Headers [][2]string
	Body    []byte
}

type entry struct {
	number  uint64
	status  Status
	answer  *Response
	waiters []func(Status, *Response)
	forget  time.Duration
	index   int
	// older and newer link the entries that hold an answer.
	older, newer *entry
}

// DedupStore remembers the tickets of one issuer that were used. It is not safe
// for concurrent use.
type DedupStore struct {
	// retention is how long an entry is kept after the expiry of its ticket.
	retention time.Duration
	// maxBytes bounds the recorded answers; older ones are dropped first.
	maxBytes int
	bytes    int
	entries  map[uint64]*entry
	expiry   expiryHeap
	// oldest and newest end the list of the entries that hold an answer, in
	// the order in which the answers were recorded.
	oldest, newest *entry
}

// NewDedupStore returns an empty ledger. retention is how long an entry is kept
// after the expiry of its ticket; after that the outcome counts as unknown.
func NewDedupStore(retention time.Duration, maxBytes int) *DedupStore {
	return &DedupStore{retention: retention, maxBytes: maxBytes, entries: make(map[uint64]*entry)}
}

// Use marks a verified ticket as running if it is fresh. Otherwise it reports
// what became of it.
func (l *DedupStore) Use(now time.Duration, c Claims) (Status, *Response) {
	l.expire(now)
	if e, ok := l.entries[c.Number]; ok {
		return e.status, e.answer
	}
	expires := time.Duration(c.ExpiresMicros) * time.Microsecond
	if now >= expires {
		// Entries are kept beyond the expiry, but after that the ledger no
		// longer knows whether the ticket was used.
		if now >= expires+l.retention {
			return DoneUnrecorded, nil
		}
		l.add(c, Void, expires)
		return Expired, nil
	}
	l.add(c, Running, expires)
	return Fresh, nil
}

func (l *DedupStore) add(c Claims, s Status, expires time.Duration) {
	e := &entry{number: c.Number, status: s, forget: expires + l.retention}
	l.entries[c.Number] = e
	heap.Push(&l.expiry, e)
}

// Wait calls fn when the running ticket ends. It reports false if the ticket
// is not running.
func (l *DedupStore) Wait(c Claims, fn func(Status, *Response)) bool {
	e, ok := l.entries[c.Number]
	if !ok || e.status != Running {
		return false
	}
	e.waiters = append(e.waiters, fn)
	return true
}

// Finish ends a running ticket and wakes those that wait for it. answer may
// be nil.
func (l *DedupStore) Finish(c Claims, s Status, answer *Response) {
	e, ok := l.entries[c.Number]
	if !ok || e.status != Running {
		return
	}
	e.status = s
	if answer != nil {
		l.record(e, answer)
		l.dropAnswers()
	}
	for _, fn := range e.waiters {
		fn(s, answer)
	}
	e.waiters = nil
}

// record keeps the answer of an entry.
func (l *DedupStore) record(e *entry, answer *Response) {
	e.answer = answer
	l.bytes += len(answer.Body)
	e.older = l.newest
	if l.newest != nil {
		l.newest.newer = e
	} else {
		l.oldest = e
	}
	l.newest = e
}

// drop forgets the answer of an entry, if it has one.
func (l *DedupStore) drop(e *entry) {
	if e.answer == nil {
		return
	}
	l.bytes -= len(e.answer.Body)
	e.answer = nil
	if e.older != nil {
		e.older.newer = e.newer
	} else {
		l.oldest = e.newer
	}
	if e.newer != nil {
		e.newer.older = e.older
	} else {
		l.newest = e.older
	}
	e.older, e.newer = nil, nil
}

// dropAnswers forgets the oldest answers, but not that their tickets ran.
func (l *DedupStore) dropAnswers() {
	for l.bytes > l.maxBytes && l.oldest != nil {
		e := l.oldest
		l.drop(e)
		e.status = DoneUnrecorded
	}
}

// expire forgets entries that no repeat can match any more.
func (l *DedupStore) expire(now time.Duration) {
	for len(l.expiry) > 0 && l.expiry[0].forget <= now {
		if l.expiry[0].status == Running {
			// Kept until it ends, however long that takes.
			l.expiry[0].forget = now + l.retention
			heap.Fix(&l.expiry, 0)
			continue
		}
		e := heap.Pop(&l.expiry).(*entry)
		l.drop(e)
		delete(l.entries, e.number)
	}
}

// Len is the number of remembered tickets.
func (l *DedupStore) Len() int { return len(l.entries) }

type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].forget < h[j].forget }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}
func (h *expiryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
