package admission

import (
	"math"
	"time"
)

// Controller admits jobs to one target.
type Controller struct {
	config      Config
	limiter     limiter
	pacer       pacer
	kinds       map[string]*kindStats
	queue       *queue
	running     map[uint64]*entry
	pendingLong indexedHeap[*entry]
	runningLong int
	thresholds  [classes]threshold
	// refusedPriority holds, per class, the highest priority that was refused
	// for overload since a long job (for long) or any job (for short) last
	// started. Lower priorities are not queued, because not even the higher one
	// has made progress.
	refusedPriority [classes]int
	// meanShort is the smoothed number of running short jobs, as of
	// meanShortUpdated.
	meanShort        float64
	meanShortUpdated time.Duration
	reserve          priorityReserve
	freeEntries      []*entry
}

const (
	// A job that runs for more than longFactor times the median service time of
	// its kind counts as long. With exponential service times, 1 in 250 jobs
	// does.
	longFactor = 8
	// minLongTime keeps timer jitter from making jobs of very short kinds count
	// as long.
	minLongTime = 20 * time.Millisecond
	// minReserveShare keeps a slot free for the first short jobs after a period
	// without any. It costs a service with only long jobs at most 5% of the
	// limit, or one slot if that is more.
	minReserveShare = 0.05
	// reserveMargin is the size of the reserve in excess of the mean number of
	// short jobs, in standard deviations of a Poisson distribution.
	reserveMargin = 0.5
	// meanShortTimeConstant is the time constant of meanShort. Long jobs regain
	// an unused reserve within seconds.
	meanShortTimeConstant = time.Second
	// A priority serves the newest job of a client account first once its queue
	// has not been empty for standingQueueFactor times MaxQueueTime. With a factor
	// of 1, a load of 80% on 20 slots was sometimes taken for a standing queue, and
	// 0.2% of the jobs were refused.
	standingQueueFactor = 5
	// never is the due time of running jobs that cannot be reclassified as long.
	never = time.Duration(1<<63 - 1)
	// maxFreeEntries bounds the number of entries kept for reuse.
	maxFreeEntries = 1024
)

func New(c Config) *Controller {
	c = c.withDefaults()
	return &Controller{
		config: c, pacer: pacer{rate: c.MaxRate}, limiter: newLimiter(c.Slots), kinds: make(map[string]*kindStats),
		queue: newQueue(standingQueueFactor * c.MaxQueueTime), running: make(map[uint64]*entry), pendingLong: dueHeap(),
	}
}

// Configure changes the limits, for example when the target announces a
// different number of slots. It refuses the queued jobs that exceed the new
// MaxQueueLength, and all of them if there are no slots.
func (c *Controller) Configure(now time.Duration, cfg Config) []Event {
	c.config = cfg.withDefaults()
	c.queue.standingTime = standingQueueFactor * c.config.MaxQueueTime
	c.limiter.setSlots(c.config.Slots)
	c.pacer.setRate(now, c.config.MaxRate)
	events := c.advance(now, nil)
	for c.queue.len() > c.config.MaxQueueLength || c.config.Slots == 0 && c.queue.len() > 0 {
		lv := c.queue.levels[c.queue.lowestPriority()]
		f := lv.class[short]
		if f.count == 0 {
			f = lv.class[long]
		}
		events = c.evict(newestOfHeaviest(f), events)
	}
	return events
}

// Submit decides on a job. The events concern other jobs.
func (c *Controller) Submit(now time.Duration, j Job) (Verdict, []Event) {
	events := c.advance(now, nil)
	k := c.kindStatsFor(j.Kind)
	estimate := k.expectedServiceTime(now)
	if j.Deadline <= now || j.Deadline-now < estimate {
		return RefusedDeadline, events
	}
	e := c.newEntry(now, j, k)
	if c.canStart(e.class) && c.reserve.allows(e.priority, c.limiter.value()) {
		c.startJob(now, e)
		return Run, events
	}
	wait := c.expectedWait(e)
	switch {
	case c.config.Slots == 0 || wait >= e.maxWait.Seconds() || e.priority < c.minQueuePriority(e.class):
		return RefusedOverload, c.refuse(e, events)
	case (j.Deadline - now - estimate).Seconds() < wait:
		c.recycle(e)
		return RefusedDeadline, events
	case c.queue.len() >= c.config.MaxQueueLength:
		victim := c.queue.victim(e)
		if victim == nil {
			return RefusedOverload, c.refuse(e, events)
		}
		events = c.evict(victim, events)
	}
	e.due = min(j.Deadline-estimate, now+e.maxWait)
	c.queue.add(e)
	return Queued, events
}

// Finish records the end of a running job. ok is false if the duration of the
// job is not a valid sample, because the target failed or was not called.
func (c *Controller) Finish(now time.Duration, id uint64, ok bool) []Event {
	e := c.running[id]
	if e == nil {
		return c.advance(now, nil)
	}
	atLimit := len(c.running) >= c.limiter.value()
	delete(c.running, id)
	c.reserve.finished(now, e.priority)
	e.kind.running--
	if e.chargedFlow != nil {
		e.chargedFlow.correctCharge((now - e.stateSince).Seconds() - e.cost)
	}
	c.pendingLong.remove(e)
	if e.class == long {
		c.runningLong--
	}
	if ok {
		e.kind.observe(now, now-e.stateSince)
		c.limiter.finish(now, e.kind, atLimit)
	}
	c.recycle(e)
	return c.advance(now, nil)
}

// Cancel removes a queued job. It has no effect on a running job; use Finish
// instead.
func (c *Controller) Cancel(now time.Duration, id uint64) []Event {
	if e := c.queue.byID[id]; e != nil {
		c.queue.remove(e)
		c.recycle(e)
	}
	return c.advance(now, nil)
}

// Tick refuses jobs that have waited too long and adapts the limit. Call it at
// NextDue or every few milliseconds.
func (c *Controller) Tick(now time.Duration) []Event { return c.advance(now, nil) }

// NextDue returns the time at which Tick will refuse the next queued job or start
// one that waits for MaxRate, or false if no job is queued.
func (c *Controller) NextDue() (time.Duration, bool) {
	if c.queue.len() == 0 {
		return 0, false
	}
	due := c.queue.due.items[0].due
	if !c.pacer.ready() && len(c.running) < c.limiter.value() {
		due = min(due, c.pacer.readyAt())
	}
	return due, true
}

// Load returns the current state.
func (c *Controller) Load() Load {
	return Load{
		InFlight: len(c.running), Limit: c.limiter.value(), Queued: c.queue.len(),
		Threshold:     c.thresholds[short].value,
		LongThreshold: max(c.thresholds[short].value, c.thresholds[long].value),
	}
}

// ExpectedServiceTime returns the expected time from start to end of a job of a
// kind. Jobs with less time to their deadline are refused. It is 0 without
// recent samples.
func (c *Controller) ExpectedServiceTime(now time.Duration, kind string) time.Duration {
	if k := c.kinds[kind]; k != nil {
		return k.expectedServiceTime(now)
	}
	return 0
}

// advance updates the state to now: it closes windows, starts queued jobs in
// free slots and refuses queued jobs that are due.
func (c *Controller) advance(now time.Duration, events []Event) []Event {
	c.limiter.closeWindow(now, c.kinds)
	c.pacer.advance(now)
	c.reclassifyLong(now)
	c.updateMeanShort(now)
	// Slots are assigned first, so that no job is refused for overload while a
	// slot is free for it.
	events = c.startQueued(now, events)
	events = c.expire(now, events)
	for i := range c.thresholds {
		if c.canStart(class(i)) {
			c.thresholds[i].slotFree = true
		}
		c.thresholds[i].closeWindow(now)
	}
	return events
}

// startQueued starts queued jobs in the free slots that their priorities may use.
// Jobs whose time to the deadline has become too short are refused instead.
func (c *Controller) startQueued(now time.Duration, events []Event) []Event {
	for c.canStart(short) {
		priority := c.queue.highestPriority(c.canStart(long))
		if priority < 0 || !c.reserve.allows(priority, c.limiter.value()) {
			break
		}
		e := c.queue.pop(now, c.canStart(long), c.limiter.value())
		if e.job.Deadline <= now || e.job.Deadline-now < e.kind.expectedServiceTime(now) {
			events = append(events, Event{e.job.ID, RefusedDeadline})
			c.recycle(e)
			continue
		}
		c.startJob(now, e)
		events = append(events, Event{e.job.ID, Run})
	}
	return events
}

// reclassifyLong makes jobs that run much longer than the median of their kind
// count as long.
func (c *Controller) reclassifyLong(now time.Duration) {
	for c.pendingLong.len() > 0 && c.pendingLong.items[0].due <= now {
		e := c.pendingLong.items[0]
		// The median may have risen since the job started: on a target that is
		// slow for all jobs, slow jobs do not count as long.
		if due := e.stateSince + longRunTime(e.kind); due > now {
			e.due = due
			c.pendingLong.fix(e)
			continue
		}
		c.pendingLong.remove(e)
		e.class = long
		c.runningLong++
	}
}

// longRunTime returns the running time from which a job of a kind counts as
// long.
func longRunTime(k *kindStats) time.Duration { return max(longFactor*k.median, minLongTime) }

// expire refuses the queued jobs that are due.
func (c *Controller) expire(now time.Duration, events []Event) []Event {
	for c.queue.len() > 0 && c.queue.due.items[0].due <= now {
		e := c.queue.due.items[0]
		if e.stateSince+e.maxWait <= now {
			c.reserve.waited(e.priority, e.maxWait)
			events = c.evict(e, events)
			continue
		}
		c.queue.remove(e)
		events = append(events, Event{e.job.ID, RefusedDeadline})
		c.recycle(e)
	}
	return events
}

// canStart reports whether a job of a class may start now: a slot is free for it,
// and MaxRate allows it. Jobs of both classes count against the limit, long ones
// also against longLimit.
func (c *Controller) canStart(cl class) bool {
	return c.pacer.ready() && len(c.running) < c.limiter.value() && (cl == short || c.runningLong < c.longLimit())
}

// longLimit returns the number of slots that long jobs may use. The rest is
// reserved for short jobs: meanShort plus a margin, at most a share of
// 1 - LongShare of the limit, and at least minReserveShare of it and at least
// one slot, unless the limit is 1.
func (c *Controller) longLimit() int {
	limit := c.limiter.value()
	minReserve := max(int(minReserveShare*float64(limit)), 1)
	maxReserve := max(limit-int(c.config.LongShare*float64(limit)), minReserve)
	return max(limit-min(max(int(c.meanShort+reserveMargin*math.Sqrt(c.meanShort)+0.5), minReserve), maxReserve), 1)
}

// updateMeanShort updates the mean number of slots that short jobs use.
func (c *Controller) updateMeanShort(now time.Duration) {
	if now > c.meanShortUpdated {
		c.meanShort += (float64(len(c.running)-c.runningLong) - c.meanShort) * (1 - math.Exp(-float64(now-c.meanShortUpdated)/float64(meanShortTimeConstant)))
		c.meanShortUpdated = now
	}
}

// minQueuePriority returns the lowest priority of a class that may be queued.
func (c *Controller) minQueuePriority(cl class) int {
	return max(c.refusedPriority[short], c.refusedPriority[cl])
}

func (c *Controller) startJob(now time.Duration, e *entry) {
	c.refusedPriority[short], c.refusedPriority[e.class] = 0, 0
	c.reserve.started(now, e.priority, now-e.stateSince)
	e.stateSince, e.due = now, never
	c.running[e.job.ID] = e
	e.kind.running++
	c.pacer.take()
	c.thresholds[e.class].started[e.priority]++
	if e.class == long {
		c.runningLong++
		return
	}
	if e.kind.median > 0 {
		e.due = now + longRunTime(e.kind)
		c.pendingLong.push(e)
	}
	c.updateMeanShort(now)
}

// evict removes a queued job and refuses it for overload.
func (c *Controller) evict(e *entry, events []Event) []Event {
	c.queue.remove(e)
	return c.refuse(e, append(events, Event{e.job.ID, RefusedOverload}))
}

// refuse records a refusal for overload. It also refuses all queued jobs of
// lower priorities that compete for the same slots.
func (c *Controller) refuse(e *entry, events []Event) []Event {
	c.thresholds[e.class].refused[e.priority]++
	p, cl := e.priority, e.class
	c.refusedPriority[cl] = max(c.refusedPriority[cl], p)
	c.recycle(e)
	for lower := c.queue.lowerPriority(p, cl); lower != nil; lower = c.queue.lowerPriority(p, cl) {
		c.queue.remove(lower)
		c.thresholds[lower.class].refused[lower.priority]++
		events = append(events, Event{lower.job.ID, RefusedOverload})
		c.recycle(lower)
	}
	return events
}

// expectedWait returns the expected time in the queue in seconds: the slot time
// of the jobs ahead, divided by the slots that they use, or the time in which
// MaxRate lets them start, whichever is longer.
func (c *Controller) expectedWait(e *entry) float64 {
	return max(c.expectedSlotWait(e), c.pacer.expectedWait(c.queue.countAhead(e)))
}

// expectedSlotWait returns the expected time in seconds until a slot is free.
func (c *Controller) expectedSlotWait(e *entry) float64 {
	limit := float64(max(c.limiter.value(), 1))
	shorts, longs := c.queue.costAhead(e, short), c.queue.costAhead(e, long)
	waitForAll := (shorts + longs) / limit
	longLimit := float64(c.longLimit())
	if e.class == long {
		return max(waitForAll, longs/longLimit)
	}
	// Long jobs ahead can use no more than longLimit slots.
	return min(waitForAll, shorts/max(limit-longLimit, 1))
}

func (c *Controller) kindStatsFor(name string) *kindStats {
	k, ok := c.kinds[name]
	if ok {
		return k
	}
	if len(c.kinds) >= maxKinds {
		name = ""
		if k, ok = c.kinds[name]; ok {
			k.overflow = true
			return k
		}
	}
	k = &kindStats{overflow: len(c.kinds) >= maxKinds}
	c.kinds[name] = k
	return k
}

// maxWait returns the longest time that a job may spend in the queue.
func (c *Controller) maxWait(j *Job) time.Duration {
	if j.MaxWait <= 0 {
		return c.config.MaxQueueTime
	}
	return min(c.config.MaxQueueTime, j.MaxWait)
}

func (c *Controller) newEntry(now time.Duration, j Job, k *kindStats) *entry {
	var e *entry
	if n := len(c.freeEntries); n > 0 {
		e, c.freeEntries = c.freeEntries[n-1], c.freeEntries[:n-1]
	} else {
		e = new(entry)
	}
	*e = entry{job: j, kind: k, cost: k.expectedCost(), stateSince: now, heapIndex: -1, priority: min(max(j.Priority, 0), MaxPriority), maxWait: c.maxWait(&j)}
	e.orderTime = now
	if j.InChain {
		e.orderTime = j.ChainStart
	}
	if j.Long {
		e.class = long
	}
	k.long, k.budgetShare = j.Long, j.BudgetShare
	return e
}

func (c *Controller) recycle(e *entry) {
	if len(c.freeEntries) < maxFreeEntries {
		*e = entry{heapIndex: -1}
		c.freeEntries = append(c.freeEntries, e)
	}
}
