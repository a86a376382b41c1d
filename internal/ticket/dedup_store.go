package ticket

import (
	"container/heap"
	"time"
)

// Status is the state of a ticket in a DedupStore.
type Status int

// Ticket states.
const (
	// Fresh means that the ticket was unused until now. Its request may be
	// executed, and its stored state becomes Running.
	Fresh Status = iota
	// Running means that an execution is in progress.
	Running
	// Done means that the execution ended and its response is recorded.
	Done
	// DoneUnrecorded means that the request may have been executed, but no
	// response is recorded.
	DoneUnrecorded
	// Void means that the request was refused, or that the ticket had expired at
	// an earlier use, and that the request will never be executed under this
	// ticket.
	Void
	// Expired means that this is the first use of the ticket and that it had
	// expired before. The request was never executed, and the stored state becomes
	// Void.
	Expired
)

// Response is the recorded response to a request.
type Response struct {
	Status  int
	Headers [][2]string
	Body    []byte
}

// headerOverhead is the memory of a header field besides its texts, in bytes.
const headerOverhead = 32

// Size returns the memory that the response takes, in bytes.
func (r *Response) Size() int {
	n := len(r.Body)
	for _, h := range r.Headers {
		n += len(h[0]) + len(h[1]) + headerOverhead
	}
	return n
}

type entry struct {
	number    uint64
	status    Status
	response  *Response
	waiters   []func(Status, *Response)
	removeAt  time.Duration
	heapIndex int
	// older and newer link the entries that hold a response.
	older, newer *entry
}

// DedupStore keeps the used tickets of one issuer and the responses to their
// requests, so that no ticket is executed twice. It is not safe for concurrent
// use.
type DedupStore struct {
	// retention is how long an entry is kept after the expiry of its ticket.
	retention time.Duration
	// maxBytes bounds the total size of the recorded responses. The oldest ones are
	// evicted first.
	maxBytes int
	bytes    int
	entries  map[uint64]*entry
	expiry   expiryHeap
	// oldest and newest are the ends of the list of entries that hold a response,
	// in the order in which the responses were recorded.
	oldest, newest *entry
}

// NewDedupStore returns an empty store. retention is how long an entry is kept
// after the expiry of its ticket; afterwards the outcome is unknown.
func NewDedupStore(retention time.Duration, maxBytes int) *DedupStore {
	return &DedupStore{retention: retention, maxBytes: maxBytes, entries: make(map[uint64]*entry)}
}

// Use returns Fresh and marks the ticket as Running if it was not used before
// and has not expired. Otherwise it returns the state of the ticket and the
// response, if one is recorded. The ticket must have been verified.
func (d *DedupStore) Use(now time.Duration, c Claims) (Status, *Response) {
	d.expire(now)
	if e, ok := d.entries[c.Number]; ok {
		return e.status, e.response
	}
	expires := time.Duration(c.ExpiresMicros) * time.Microsecond
	if now >= expires {
		// Entries are removed at the end of retention, so it is unknown
		// whether the ticket was used.
		if now >= expires+d.retention {
			return DoneUnrecorded, nil
		}
		d.add(c, Void, expires)
		return Expired, nil
	}
	d.add(c, Running, expires)
	return Fresh, nil
}

func (d *DedupStore) add(c Claims, s Status, expires time.Duration) {
	e := &entry{number: c.Number, status: s, removeAt: expires + d.retention}
	d.entries[c.Number] = e
	heap.Push(&d.expiry, e)
}

// Wait registers fn to be called when the execution of a running ticket ends. It
// returns false if the ticket is not running.
func (d *DedupStore) Wait(c Claims, fn func(Status, *Response)) bool {
	e, ok := d.entries[c.Number]
	if !ok || e.status != Running {
		return false
	}
	e.waiters = append(e.waiters, fn)
	return true
}

// Finish records the final status of a running ticket and calls the functions
// registered with Wait. response may be nil.
func (d *DedupStore) Finish(c Claims, s Status, response *Response) {
	e, ok := d.entries[c.Number]
	if !ok || e.status != Running {
		return
	}
	e.status = s
	if response != nil {
		d.recordResponse(e, response)
		d.evictResponses()
	}
	for _, fn := range e.waiters {
		fn(s, response)
	}
	e.waiters = nil
}

// recordResponse adds the response of an entry.
func (d *DedupStore) recordResponse(e *entry, response *Response) {
	e.response = response
	d.bytes += response.Size()
	e.older = d.newest
	if d.newest != nil {
		d.newest.newer = e
	} else {
		d.oldest = e
	}
	d.newest = e
}

// dropResponse removes the response of an entry, if it has one.
func (d *DedupStore) dropResponse(e *entry) {
	if e.response == nil {
		return
	}
	d.bytes -= e.response.Size()
	e.response = nil
	if e.older != nil {
		e.older.newer = e.newer
	} else {
		d.oldest = e.newer
	}
	if e.newer != nil {
		e.newer.older = e.older
	} else {
		d.newest = e.older
	}
	e.older, e.newer = nil, nil
}

// evictResponses removes the oldest responses until maxBytes is met. The entries
// are kept as DoneUnrecorded.
func (d *DedupStore) evictResponses() {
	for d.bytes > d.maxBytes && d.oldest != nil {
		e := d.oldest
		d.dropResponse(e)
		e.status = DoneUnrecorded
	}
}

// expire removes the entries whose retention has ended. Use reports a retry after
// that as DoneUnrecorded.
func (d *DedupStore) expire(now time.Duration) {
	for len(d.expiry) > 0 && d.expiry[0].removeAt <= now {
		if d.expiry[0].status == Running {
			// A running ticket is kept at least until its execution ends: it is
			// checked again after another retention time.
			d.expiry[0].removeAt = now + d.retention
			heap.Fix(&d.expiry, 0)
			continue
		}
		e := heap.Pop(&d.expiry).(*entry)
		d.dropResponse(e)
		delete(d.entries, e.number)
	}
}

// Len returns the number of tickets in the store.
func (d *DedupStore) Len() int { return len(d.entries) }

type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].removeAt < h[j].removeAt }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}
func (h *expiryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
