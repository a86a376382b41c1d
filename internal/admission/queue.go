package admission

import (
	"math/bits"
	"time"
)

// flow is a node of the fair queue of one priority: a class, below it the
// kinds, below each kind the buyers, which hold the jobs. Siblings share by
// start-time fair queueing over the expected cost of their jobs in seconds.
type flow struct {
	parent   *flow
	children map[string]*flow
	share    float64
	// start is the virtual time at which the next job of this flow starts.
	start float64
	// vtime is the virtual time of the children.
	vtime float64
	// backlog is the cost of the queued jobs.
	backlog float64
	count   int
	// shares is the sum of the shares of the children that have queued jobs.
	shares float64
	// ready orders the children that have jobs by start, heavy by backlog.
	ready, heavy           indexedHeap[*flow]
	readyIndex, heavyIndex int
	head, tail             *entry
	// kind is set on the flow of a kind.
	kind *kindStats
}

func newFlow(parent *flow) *flow {
	f := &flow{parent: parent, share: 1, readyIndex: -1, heavyIndex: -1}
	f.ready.less = func(a, b *flow) bool { return a.start < b.start }
	f.ready.index = func(f *flow) *int { return &f.readyIndex }
	f.heavy.less = func(a, b *flow) bool { return a.load() > b.load() }
	f.heavy.index = func(f *flow) *int { return &f.heavyIndex }
	return f
}

// load is the backlog relative to the share.
func (f *flow) load() float64 {
	if f.parent == nil {
		return f.backlog / max(f.shares, 1e-9)
	}
	return f.backlog / f.share
}

// maxIdle is the number of idle children that a flow keeps without a sweep.
const maxIdle = 256

// child returns the flow for a key and takes over its share.
func (f *flow) child(key string, share float64) *flow {
	if !(share > 0) {
		share = 1
	}
	c, ok := f.children[key]
	if !ok {
		if f.children == nil {
			f.children = make(map[string]*flow)
		}
		if len(f.children) > 2*f.ready.len()+maxIdle {
			f.sweep()
		}
		c = newFlow(f)
		f.children[key] = c
	}
	if c.share != share {
		if c.count > 0 {
			f.shares += share - c.share
		}
		c.share = share
		f.heavy.fix(c)
	}
	return c
}

// sweep forgets idle children that owe nothing, so that the number of buyers
// kept is bounded by the number of those that queue. If most of them owe, as
// when every job has another buyer, the debts are forgotten too: each is about
// the cost of one job.
func (f *flow) sweep() {
	for key, c := range f.children {
		if c.count == 0 && c.start <= f.vtime {
			delete(f.children, key)
		}
	}
	if len(f.children) <= f.ready.len()+maxIdle/2 {
		return
	}
	for key, c := range f.children {
		if c.count == 0 {
			delete(f.children, key)
		}
	}
}

// insert puts a job behind those of older call chains. Jobs that are no calls
// of a chain come in their order of arrival, at the end.
func (f *flow) insert(e *entry) {
	after := f.tail
	for after != nil && after.order > e.order {
		after = after.prev
	}
	e.flow, e.prev = f, after
	if after != nil {
		e.next, after.next = after.next, e
	} else {
		e.next, f.head = f.head, e
	}
	if e.next != nil {
		e.next.prev = e
	} else {
		f.tail = e
	}
}

// before is the cost of the jobs that are served before a new one.
func (f *flow) before(e *entry) float64 {
	if !e.job.InChain {
		return f.backlog
	}
	sum := 0.0
	for other := f.head; other != nil && other.order <= e.order; other = other.next {
		sum += other.cost
	}
	return sum
}

// add puts a job into a buyer's flow.
func (f *flow) add(e *entry) {
	f.insert(e)
	for n := f; n != nil; n = n.parent {
		n.count++
		n.backlog += e.cost
		p := n.parent
		switch {
		case p == nil:
		case n.count == 1:
			n.start = max(n.start, p.vtime)
			p.shares += n.share
			p.ready.push(n)
			p.heavy.push(n)
		default:
			p.heavy.fix(n)
		}
	}
}

// remove takes a job out without charging its flows.
func (f *flow) remove(e *entry) {
	if e.prev != nil {
		e.prev.next = e.next
	} else {
		f.head = e.next
	}
	if e.next != nil {
		e.next.prev = e.prev
	} else {
		f.tail = e.prev
	}
	e.flow, e.prev, e.next = nil, nil, nil
	for n := f; n != nil; n = n.parent {
		n.count--
		n.backlog -= e.cost
		if n.count == 0 {
			n.backlog = 0
		}
		if p := n.parent; p != nil {
			p.deactivate(n)
		}
	}
}

func (f *flow) deactivate(child *flow) {
	if child.count > 0 {
		f.heavy.fix(child)
		return
	}
	f.ready.remove(child)
	f.heavy.remove(child)
	f.shares -= child.share
	if f.ready.len() == 0 {
		// The end of a busy period: the rounding of the sum and the debts of
		// the children are forgotten.
		f.shares = 0
		f.vtime = max(f.vtime, child.start)
	}
}

// charge advances the virtual times on the path of a job that starts.
func (f *flow) charge(cost float64) {
	for n := f; n.parent != nil; n = n.parent {
		p := n.parent
		p.vtime = max(p.vtime, n.start)
		n.start += cost / n.share
		p.ready.fix(n)
	}
}

// correct charges a buyer for the difference between the slot time of a job and
// its expected cost. Expected costs are means of a kind, so a buyer whose jobs
// are all heavier than the mean would get more than its share. Between busy
// periods all debts are forgotten, and so is the difference.
func (f *flow) correct(cost float64) {
	if f.parent.count == 0 {
		return
	}
	f.start += cost / f.share
	f.parent.ready.fix(f)
}

// level holds the queued jobs of one priority.
type level struct {
	class [classes]*flow
	vtime float64
	// since is the time from which the level has never been empty.
	since time.Duration
}

// queue holds the queued jobs of all priorities.
type queue struct {
	levels [MaxPriority + 1]level
	// filled has bit p set in filled[c] if priority p has jobs of class c.
	filled [classes]uint32
	due    indexedHeap[*entry]
	byID   map[uint64]*entry
	// standing is the time after which a priority that was never empty serves
	// the newest job of a buyer first: the oldest ones are about to be
	// refused, and in order of arrival every job would wait that long. Calls
	// of chains keep their order: the newest chains have the most to do yet.
	standing time.Duration
}

func newQueue(standing time.Duration) *queue {
	q := &queue{standing: standing, due: dueHeap(), byID: make(map[uint64]*entry)}
	for p := range q.levels {
		q.levels[p].class = [classes]*flow{newFlow(nil), newFlow(nil)}
	}
	return q
}

func (q *queue) len() int { return len(q.byID) }

// flowOf returns the flow of the buyer of a job.
func (q *queue) flowOf(e *entry) *flow {
	kind := q.levels[e.priority].class[e.class].child(e.job.Kind, e.job.Share)
	kind.kind = e.kind
	return kind.child(e.job.Client, e.job.ClientShare)
}

func (q *queue) add(e *entry) {
	lv := &q.levels[e.priority]
	if lv.class[short].count+lv.class[long].count == 0 {
		lv.since = e.at
	}
	if root := lv.class[e.class]; root.count == 0 {
		root.start = max(root.start, lv.vtime)
	}
	q.flowOf(e).add(e)
	q.filled[e.class] |= 1 << e.priority
	q.byID[e.job.ID] = e
	q.due.push(e)
}

func (q *queue) remove(e *entry) {
	e.flow.remove(e)
	if q.levels[e.priority].class[e.class].count == 0 {
		q.filled[e.class] &^= 1 << e.priority
	}
	delete(q.byID, e.job.ID)
	q.due.remove(e)
}

// pop takes out the next job to start, or returns nil. Long jobs are passed
// over unless withLong is set. Kinds that hold their part of the limit are
// passed over while another kind of the priority can start a job.
func (q *queue) pop(now time.Duration, withLong bool, limit int) *entry {
	filled := q.filled[short]
	if withLong {
		filled |= q.filled[long]
	}
	if filled == 0 {
		return nil
	}
	lv := &q.levels[bits.Len32(filled)-1]
	root, f := lv.next(withLong, limit)
	for f.head == nil {
		f = f.ready.items[0]
	}
	e := f.head
	if now-lv.since > q.standing && !f.tail.job.InChain {
		e = f.tail
	}
	lv.vtime = max(lv.vtime, root.start)
	root.start += e.cost / max(root.shares, 1e-9)
	f.charge(e.cost)
	q.remove(e)
	e.charged = f
	return e
}

// next returns the class and the kind to serve. Without a kind below its part
// of the limit, the fair order alone decides, so that no slot stays idle.
func (lv *level) next(withLong bool, limit int) (root, kind *flow) {
	for cl, r := range lv.class {
		if r.count == 0 || class(cl) == long && !withLong {
			continue
		}
		if k := r.unspent(limit); k != nil && (root == nil || r.start < root.start) {
			root, kind = r, k
		}
	}
	if root != nil {
		root.passOver(kind)
		return root, kind
	}
	root = lv.class[short]
	if l := lv.class[long]; root.count == 0 || withLong && l.count > 0 && l.start < root.start {
		root = l
	}
	return root, root.ready.items[0]
}

// unspent returns the first kind that is below its part of the limit, or nil.
// It looks at all kinds only if the first one holds its part.
func (f *flow) unspent(limit int) *flow {
	var best *flow
	for i, k := range f.ready.items {
		if !k.kind.spent(limit) && (best == nil || k.start < best.start) {
			best = k
			if i == 0 {
				break
			}
		}
	}
	return best
}

// passOver moves the kinds ahead of the chosen one to its virtual time. Without
// this, a kind at its bound would save up turns and take every slot when its
// bound ends.
func (f *flow) passOver(chosen *flow) {
	for first := f.ready.items[0]; first.start < chosen.start; first = f.ready.items[0] {
		first.start = chosen.start
		f.ready.fix(first)
	}
}

// lowest returns the lowest priority that has jobs, or -1.
func (q *queue) lowest() int {
	filled := q.filled[short] | q.filled[long]
	if filled == 0 {
		return -1
	}
	return bits.TrailingZeros32(filled)
}

// victim returns the job that makes room for e in a full queue, or nil if e
// has the weakest claim itself. It is the newest job of the flow that has the
// largest backlog for its share, in the lowest priority.
func (q *queue) victim(e *entry) *entry {
	p := q.lowest()
	if p < 0 || p > e.priority {
		return nil
	}
	lv := &q.levels[p]
	heavy := lv.class[short]
	if l := lv.class[long]; heavy.count == 0 || l.count > 0 && l.load() > heavy.load() {
		heavy = l
	}
	if p < e.priority {
		return heaviest(heavy)
	}
	buyer := q.flowOf(e)
	for _, own := range []*flow{lv.class[e.class], buyer.parent, buyer} {
		if heavy != own {
			if heavy.load() > own.load()+e.cost/own.share {
				return heaviest(heavy)
			}
			return nil
		}
		if heavy.heavy.len() > 0 {
			heavy = heavy.heavy.items[0]
		}
	}
	if last := buyer.tail; last != nil && last.order > e.order {
		return last
	}
	return nil
}

func heaviest(f *flow) *entry {
	for f.tail == nil {
		f = f.heavy.items[0]
	}
	return f.tail
}

// below returns a queued job of a lower priority than p that e of class c
// competes with, or nil. Short jobs compete with all, long jobs only with
// long ones, because they may not use the reserve.
func (q *queue) below(p int, c class) *entry {
	mask := uint32(1)<<p - 1
	for _, other := range []class{long, short} {
		if c == long && other == short {
			continue
		}
		if m := q.filled[other] & mask; m != 0 {
			return heaviest(q.levels[bits.TrailingZeros32(m)].class[other])
		}
	}
	return nil
}

// ahead is the cost in seconds of the queued jobs of class c that start
// before e, if e arrives now.
func (q *queue) ahead(e *entry, c class) float64 {
	sum := 0.0
	for m := q.filled[c] >> (e.priority + 1) << (e.priority + 1); m != 0; m &= m - 1 {
		sum += q.levels[bits.TrailingZeros32(m)].class[c].backlog
	}
	root := q.levels[e.priority].class[c]
	if c != e.class || root.count == 0 {
		return sum + root.backlog
	}
	return sum + min(root.backlog, q.fairAhead(e, root))
}

// fairAhead is the cost that start-time fair queueing serves before a new job
// at the end of its buyer's flow.
func (q *queue) fairAhead(e *entry, root *flow) float64 {
	buyer := q.flowOf(e)
	kind := buyer.parent
	within := buyer.before(e) * max(kind.shares, buyer.share) / buyer.share
	within = min(within, kind.backlog)
	return within * max(root.shares, kind.share) / kind.share
}
