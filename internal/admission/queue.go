package admission

import (
	"math/bits"
	"time"
)

// flow is a node of the hierarchical fair queue of one priority: the root is a
// class, its children are kinds, and their children are client accounts, which
// hold the jobs. Start-time fair queueing divides slot time among siblings by
// the expected cost of their jobs in seconds.
type flow struct {
	parent   *flow
	children map[string]*flow
	share    float64
	// startTag is the virtual start time of the flow's next job.
	startTag float64
	// virtualTime is the virtual time of the children.
	virtualTime float64
	// backlog is the total cost of the queued jobs.
	backlog float64
	count   int
	// activeShares is the sum of the shares of the children that have queued jobs.
	activeShares float64
	// byStart and byBacklog order the children that have queued jobs by startTag
	// and by descending weighted backlog.
	byStart, byBacklog           indexedHeap[*flow]
	byStartIndex, byBacklogIndex int
	head, tail                   *entry
	// kind is set only on flows of kinds.
	kind *kindStats
}

func newFlow(parent *flow) *flow {
	f := &flow{parent: parent, share: 1, byStartIndex: -1, byBacklogIndex: -1}
	f.byStart.less = func(a, b *flow) bool { return a.startTag < b.startTag }
	f.byStart.index = func(f *flow) *int { return &f.byStartIndex }
	f.byBacklog.less = func(a, b *flow) bool { return a.weightedBacklog() > b.weightedBacklog() }
	f.byBacklog.index = func(f *flow) *int { return &f.byBacklogIndex }
	return f
}

// weightedBacklog returns the backlog divided by the share.
func (f *flow) weightedBacklog() float64 {
	if f.parent == nil {
		return f.backlog / max(f.activeShares, 1e-9)
	}
	return f.backlog / f.share
}

// maxIdleChildren is the number of children that a flow may keep in addition to
// twice the number of those with queued jobs before removeIdle is called.
const maxIdleChildren = 256

// child returns the flow for a key, creating it if necessary, and updates its
// share.
func (f *flow) child(key string, share float64) *flow {
	if !(share > 0) {
		share = 1
	}
	c, ok := f.children[key]
	if !ok {
		if f.children == nil {
			f.children = make(map[string]*flow)
		}
		if len(f.children) > 2*f.byStart.len()+maxIdleChildren {
			f.removeIdle()
		}
		c = newFlow(f)
		f.children[key] = c
	}
	if c.share != share {
		if c.count > 0 {
			f.activeShares += share - c.share
		}
		c.share = share
		f.byBacklog.fix(c)
	}
	return c
}

// removeIdle removes idle children whose start tag is not ahead of the virtual
// time, so that the number of client accounts kept is bounded by the number of
// those with queued jobs. If too many remain, as when every job has a different
// account, it removes all idle children: the start tag of each is ahead by
// about the cost of one job only.
func (f *flow) removeIdle() {
	for key, c := range f.children {
		if c.count == 0 && c.startTag <= f.virtualTime {
			delete(f.children, key)
		}
	}
	if len(f.children) <= f.byStart.len()+maxIdleChildren/2 {
		return
	}
	for key, c := range f.children {
		if c.count == 0 {
			delete(f.children, key)
		}
	}
}

// insert inserts a job after those of older call chains. Jobs outside a chain
// are appended in order of arrival.
func (f *flow) insert(e *entry) {
	after := f.tail
	for after != nil && after.orderTime > e.orderTime {
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

// costAhead returns the cost of the client account's jobs that are served before
// a new job e.
func (f *flow) costAhead(e *entry) float64 {
	if !e.job.InChain {
		return f.backlog
	}
	sum := 0.0
	for other := f.head; other != nil && other.orderTime <= e.orderTime; other = other.next {
		sum += other.cost
	}
	return sum
}

// add queues a job in a client account's flow and updates the counts and backlogs
// of the flow and its ancestors. Each of them that was empty becomes active in its
// parent.
func (f *flow) add(e *entry) {
	f.insert(e)
	for n := f; n != nil; n = n.parent {
		n.count++
		n.backlog += e.cost
		p := n.parent
		switch {
		case p == nil:
		case n.count == 1:
			n.startTag = max(n.startTag, p.virtualTime)
			p.activeShares += n.share
			p.byStart.push(n)
			p.byBacklog.push(n)
		default:
			p.byBacklog.fix(n)
		}
	}
}

// remove removes a job without charging its flows.
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
		f.byBacklog.fix(child)
		return
	}
	f.byStart.remove(child)
	f.byBacklog.remove(child)
	f.activeShares -= child.share
	if f.byStart.len() == 0 {
		// At the end of a busy period, the rounding error of the sum is cleared,
		// and the virtual time catches up with the last child, which then starts
		// the next period without a charge carried over.
		f.activeShares = 0
		f.virtualTime = max(f.virtualTime, child.startTag)
	}
}

// charge advances the virtual times and the start tags on the path to the root
// when a job starts.
func (f *flow) charge(cost float64) {
	for n := f; n.parent != nil; n = n.parent {
		p := n.parent
		p.virtualTime = max(p.virtualTime, n.startTag)
		n.startTag += cost / n.share
		p.byStart.fix(n)
	}
}

// correctCharge charges a client account for the difference between the slot
// time of a job and its expected cost. The expected cost is the mean of the
// kind, so an account whose jobs all take longer than the mean would get more
// than its share. The difference is dropped while the kind has no queued jobs,
// because its client accounts do not compete then.
func (f *flow) correctCharge(cost float64) {
	if f.parent.count == 0 {
		return
	}
	f.startTag += cost / f.share
	f.parent.byStart.fix(f)
}

// level holds the queued jobs of one priority.
type level struct {
	class       [classes]*flow
	virtualTime float64
	// busySince is the time since which the level has not been empty.
	busySince time.Duration
}

// queue holds the queued jobs of all priorities.
type queue struct {
	levels [MaxPriority + 1]level
	// nonEmpty[c] has bit p set if priority p has queued jobs of class c.
	nonEmpty [classes]uint32
	due      indexedHeap[*entry]
	byID     map[uint64]*entry
	// standingTime is the time after which a priority that has not been empty
	// serves the newest job of a client account first: the oldest jobs are about
	// to be refused, and in order of arrival every job would wait for nearly
	// MaxQueueTime. Sub-calls keep their order, as the newest chains have the most
	// work left.
	standingTime time.Duration
}

func newQueue(standingTime time.Duration) *queue {
	q := &queue{standingTime: standingTime, due: dueHeap(), byID: make(map[uint64]*entry)}
	for p := range q.levels {
		q.levels[p].class = [classes]*flow{newFlow(nil), newFlow(nil)}
	}
	return q
}

func (q *queue) len() int { return len(q.byID) }

// clientAccountFlow returns the flow for the client account of a job. It creates
// the flows of the job's kind and client account if necessary and sets their
// shares to those of the job.
func (q *queue) clientAccountFlow(e *entry) *flow {
	kind := q.levels[e.priority].class[e.class].child(e.job.Kind, e.job.Share)
	kind.kind = e.kind
	return kind.child(e.job.ClientAccount, e.job.ClientAccountShare)
}

func (q *queue) add(e *entry) {
	lv := &q.levels[e.priority]
	if lv.class[short].count+lv.class[long].count == 0 {
		lv.busySince = e.stateSince
	}
	if root := lv.class[e.class]; root.count == 0 {
		root.startTag = max(root.startTag, lv.virtualTime)
	}
	q.clientAccountFlow(e).add(e)
	q.nonEmpty[e.class] |= 1 << e.priority
	q.byID[e.job.ID] = e
	q.due.push(e)
}

func (q *queue) remove(e *entry) {
	e.flow.remove(e)
	if q.levels[e.priority].class[e.class].count == 0 {
		q.nonEmpty[e.class] &^= 1 << e.priority
	}
	delete(q.byID, e.job.ID)
	q.due.remove(e)
}

// highestPriority returns the highest priority that has queued jobs, or -1. Long
// jobs are skipped unless withLong is set.
func (q *queue) highestPriority(withLong bool) int {
	priorities := q.nonEmpty[short]
	if withLong {
		priorities |= q.nonEmpty[long]
	}
	return bits.Len32(priorities) - 1
}

// pop removes and returns the next job to start, or nil. Long jobs are skipped
// unless withLong is set. Kinds at their budget are skipped while another kind
// of the same priority can start a job.
func (q *queue) pop(now time.Duration, withLong bool, limit int) *entry {
	priority := q.highestPriority(withLong)
	if priority < 0 {
		return nil
	}
	lv := &q.levels[priority]
	root, f := lv.next(withLong, limit)
	for f.head == nil {
		f = f.byStart.items[0]
	}
	e := f.head
	if now-lv.busySince > q.standingTime && !f.tail.job.InChain {
		e = f.tail
	}
	lv.virtualTime = max(lv.virtualTime, root.startTag)
	root.startTag += e.cost / max(root.activeShares, 1e-9)
	f.charge(e.cost)
	q.remove(e)
	e.chargedFlow = f
	return e
}

// next returns the class and the kind to serve. If all kinds are at their
// budget, budgets are ignored, so that no slot stays idle.
func (lv *level) next(withLong bool, limit int) (root, kind *flow) {
	for cl, r := range lv.class {
		if r.count == 0 || class(cl) == long && !withLong {
			continue
		}
		if k := r.firstBelowBudget(limit); k != nil && (root == nil || r.startTag < root.startTag) {
			root, kind = r, k
		}
	}
	if root != nil {
		root.skipTo(kind)
		return root, kind
	}
	root = lv.class[short]
	if l := lv.class[long]; root.count == 0 || withLong && l.count > 0 && l.startTag < root.startTag {
		root = l
	}
	return root, root.byStart.items[0]
}

// firstBelowBudget returns the kind with the earliest start tag among those
// below their budget, or nil. It examines all kinds only if the first one is at
// its budget.
func (f *flow) firstBelowBudget(limit int) *flow {
	var best *flow
	for i, k := range f.byStart.items {
		if !k.kind.atBudget(limit) && (best == nil || k.startTag < best.startTag) {
			best = k
			if i == 0 {
				break
			}
		}
	}
	return best
}

// skipTo advances the start tags of the kinds ahead of the chosen one to its
// start tag. Otherwise a kind at its budget would accumulate credit and take
// every slot as soon as it is below its budget again.
func (f *flow) skipTo(chosen *flow) {
	for first := f.byStart.items[0]; first.startTag < chosen.startTag; first = f.byStart.items[0] {
		first.startTag = chosen.startTag
		f.byStart.fix(first)
	}
}

// lowestPriority returns the lowest priority that has queued jobs, or -1.
func (q *queue) lowestPriority() int {
	priorities := q.nonEmpty[short] | q.nonEmpty[long]
	if priorities == 0 {
		return -1
	}
	return bits.TrailingZeros32(priorities)
}

// victim returns the job to evict from a full queue in favor of e, or nil if e
// itself is to be refused. It is the newest job of the flow with the largest
// weighted backlog in the lowest priority.
func (q *queue) victim(e *entry) *entry {
	p := q.lowestPriority()
	if p < 0 || p > e.priority {
		return nil
	}
	lv := &q.levels[p]
	heaviest := lv.class[short]
	if l := lv.class[long]; heaviest.count == 0 || l.count > 0 && l.weightedBacklog() > heaviest.weightedBacklog() {
		heaviest = l
	}
	if p < e.priority {
		return newestOfHeaviest(heaviest)
	}
	accountFlow := q.clientAccountFlow(e)
	for _, ownFlow := range []*flow{lv.class[e.class], accountFlow.parent, accountFlow} {
		if heaviest != ownFlow {
			if heaviest.weightedBacklog() > ownFlow.weightedBacklog()+e.cost/ownFlow.share {
				return newestOfHeaviest(heaviest)
			}
			return nil
		}
		if heaviest.byBacklog.len() > 0 {
			heaviest = heaviest.byBacklog.items[0]
		}
	}
	if last := accountFlow.tail; last != nil && last.orderTime > e.orderTime {
		return last
	}
	return nil
}

// newestOfHeaviest follows the largest weighted backlog down to a client
// account and returns its last job.
func newestOfHeaviest(f *flow) *entry {
	for f.tail == nil {
		f = f.byBacklog.items[0]
	}
	return f.tail
}

// lowerPriority returns a queued job of a lower priority than p that competes
// for slots with jobs of class c, or nil. Short jobs compete with all jobs,
// long jobs only with long ones, because they may not use the reserve.
func (q *queue) lowerPriority(p int, c class) *entry {
	mask := uint32(1)<<p - 1
	for _, other := range []class{long, short} {
		if c == long && other == short {
			continue
		}
		if m := q.nonEmpty[other] & mask; m != 0 {
			return newestOfHeaviest(q.levels[bits.TrailingZeros32(m)].class[other])
		}
	}
	return nil
}

// costAhead returns the cost in seconds of the queued jobs of class c that
// would start before e if e arrived now.
func (q *queue) costAhead(e *entry, c class) float64 {
	sum := 0.0
	for m := q.nonEmpty[c] >> (e.priority + 1) << (e.priority + 1); m != 0; m &= m - 1 {
		sum += q.levels[bits.TrailingZeros32(m)].class[c].backlog
	}
	root := q.levels[e.priority].class[c]
	if c != e.class || root.count == 0 {
		return sum + root.backlog
	}
	return sum + min(root.backlog, q.fairCostAhead(e, root))
}

// countAhead returns the number of queued jobs of at least the priority of e.
func (q *queue) countAhead(e *entry) int {
	n := 0
	for p := e.priority; p <= MaxPriority; p++ {
		n += q.levels[p].class[short].count + q.levels[p].class[long].count
	}
	return n
}

// fairCostAhead returns the cost that start-time fair queueing serves before a
// new job of a client account.
func (q *queue) fairCostAhead(e *entry, root *flow) float64 {
	account := q.clientAccountFlow(e)
	kind := account.parent
	costWithinKind := account.costAhead(e) * max(kind.activeShares, account.share) / account.share
	costWithinKind = min(costWithinKind, kind.backlog)
	return costWithinKind * max(root.activeShares, kind.share) / kind.share
}
