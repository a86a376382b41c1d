package admission

import (
	"math"
	"time"
)

// Controller admits jobs to one target.
type Controller struct {
	config     Config
	limiter    limiter
	kinds      map[string]*kindStats
	queue      *queue
	running    map[uint64]*entry
	turning    indexedHeap[*entry]
	longs      int
	thresholds [classes]threshold
	// gates holds the highest priority that was refused for overload since a
	// job of the class last started. Lower ones do not enter the queue: it
	// made no progress for the higher one either.
	gates [classes]int
	// shortMean is the smoothed number of short jobs that run, as of shortAt.
	shortMean float64
	shortAt   time.Duration
	free      []*entry
}

const (
	// longFactor: a job that runs longer than this many times the usual time
	// of its kind counts as long. Exponential service times exceed it once
	// in 250 jobs.
	longFactor = 8
	// minLongTime keeps timer jitter of very short kinds from making jobs long.
	minLongTime = 20 * time.Millisecond
	// minReserve keeps a slot for the first short jobs after a pause without
	// costing a service that does only long work more than a twentieth.
	minReserve = 0.05
	// reserveMargin is the part of the reserve beyond the mean number of short
	// jobs, in standard deviations of a Poisson distribution.
	reserveMargin = 0.5
	// shortTime is the time constant of that mean. A reserve that is no longer
	// used returns to long work within seconds.
	shortTime = time.Second
	// A priority serves the newest job first when its queue was not empty for
	// standingFactor times MaxQueue. With a factor of 1, orders at 80% load on
	// 20 slots counted as standing overload at times and 0.2% were refused.
	standingFactor = 5
	// never is the due time of running jobs that cannot turn long.
	never = time.Duration(1<<63 - 1)
	// maxFree bounds the entries kept for reuse.
	maxFree = 1024
)

// New returns a controller.
func New(c Config) *Controller {
	c = c.withDefaults()
	return &Controller{
		config: c, limiter: newLimiter(c.Slots), kinds: make(map[string]*kindStats),
		queue: newQueue(standingFactor * c.MaxQueueTime), running: make(map[uint64]*entry), turning: dueHeap(),
	}
}

// Configure changes the limits, for example when the target announces other
// slots.
func (c *Controller) Configure(now time.Duration, cfg Config) []Event {
	c.config = cfg.withDefaults()
	c.queue.standing = standingFactor * c.config.MaxQueueTime
	c.limiter.setSlots(c.config.Slots)
	events := c.advance(now, nil)
	for c.queue.len() > c.config.MaxQueueLength || c.config.Slots == 0 && c.queue.len() > 0 {
		lv := c.queue.levels[c.queue.lowest()]
		f := lv.class[short]
		if f.count == 0 {
			f = lv.class[long]
		}
		events = c.evict(heaviest(f), events)
	}
	return events
}

// Submit decides on a job. Events concern other jobs.
func (c *Controller) Submit(now time.Duration, j Job) (Verdict, []Event) {
	events := c.advance(now, nil)
	k := c.kind(j.Kind)
	estimate := k.estimate(now)
	if j.Deadline <= now || j.Deadline-now < estimate {
		return RefusedDeadline, events
	}
	e := c.entry(now, j, k)
	if c.canStart(e.class) {
		c.run(now, e)
		return Run, events
	}
	wait := c.wait(e)
	switch {
	case c.config.Slots == 0 || wait >= c.config.MaxQueueTime.Seconds() || e.priority < c.gate(e.class):
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
	e.due = min(j.Deadline-estimate, now+c.config.MaxQueueTime)
	c.queue.add(e)
	return Queued, events
}

// Finish ends a running job. ok is false when the duration of the job says
// nothing about the target, because the target failed or was not called.
func (c *Controller) Finish(now time.Duration, id uint64, ok bool) []Event {
	e := c.running[id]
	if e == nil {
		return c.advance(now, nil)
	}
	full := len(c.running) >= c.limiter.value()
	delete(c.running, id)
	e.kind.running--
	if e.charged != nil {
		e.charged.correct((now - e.at).Seconds() - e.cost)
	}
	c.turning.remove(e)
	if e.class == long {
		c.longs--
	}
	if ok {
		e.kind.observe(now, now-e.at)
		c.limiter.finish(now, e.kind, full)
	}
	c.recycle(e)
	return c.advance(now, nil)
}

// Cancel removes a queued job. It has no effect on a running job, which ends
// with Finish.
func (c *Controller) Cancel(now time.Duration, id uint64) []Event {
	if e := c.queue.byID[id]; e != nil {
		c.queue.remove(e)
		c.recycle(e)
	}
	return c.advance(now, nil)
}

// Tick refuses jobs that waited too long and adapts the limit. Call it at
// NextDue or every few milliseconds.
func (c *Controller) Tick(now time.Duration) []Event { return c.advance(now, nil) }

// NextDue returns the time at which Tick refuses the next queued job, or
// false if none is queued.
func (c *Controller) NextDue() (time.Duration, bool) {
	if c.queue.len() == 0 {
		return 0, false
	}
	return c.queue.due.items[0].due, true
}

// Load returns the present state.
func (c *Controller) Load() Load {
	return Load{
		InFlight: len(c.running), Limit: c.limiter.value(), Queued: c.queue.len(),
		Threshold:     c.thresholds[short].value,
		LongThreshold: max(c.thresholds[short].value, c.thresholds[long].value),
	}
}

// ExpectedServiceTime is the time that a job of a kind needs from its start, by which jobs
// are refused that could not finish in time. It is 0 if none ended of late.
func (c *Controller) ExpectedServiceTime(now time.Duration, kind string) time.Duration {
	if k := c.kinds[kind]; k != nil {
		return k.estimate(now)
	}
	return 0
}

// advance brings the state to now: it closes windows, refuses what is due and
// starts what has a slot.
func (c *Controller) advance(now time.Duration, events []Event) []Event {
	c.limiter.close(now, c.kinds)
	c.promote(now)
	c.noteShort(now)
	// Slots are given out first, so that no job is refused for overload while
	// a slot is free for it.
	events = c.start(now, events)
	events = c.expire(now, events)
	for i := range c.thresholds {
		if c.canStart(class(i)) {
			c.thresholds[i].spare = true
		}
		c.thresholds[i].close(now)
	}
	return events
}

// start gives free slots to queued jobs.
func (c *Controller) start(now time.Duration, events []Event) []Event {
	for c.canStart(short) {
		e := c.queue.pop(now, c.canStart(long), c.limiter.value())
		if e == nil {
			break
		}
		if e.job.Deadline <= now || e.job.Deadline-now < e.kind.estimate(now) {
			events = append(events, Event{e.job.ID, RefusedDeadline})
			c.recycle(e)
			continue
		}
		c.run(now, e)
		events = append(events, Event{e.job.ID, Run})
	}
	return events
}

// promote counts jobs that run much longer than usual as long.
func (c *Controller) promote(now time.Duration) {
	for c.turning.len() > 0 && c.turning.items[0].due <= now {
		e := c.turning.items[0]
		// A target that is slow throughout does not make its jobs long.
		if due := e.at + longTime(e.kind); due > now {
			e.due = due
			c.turning.fix(e)
			continue
		}
		c.turning.remove(e)
		e.class = long
		c.longs++
	}
}

// longTime is the running time from which a job of a kind counts as long.
func longTime(k *kindStats) time.Duration { return max(longFactor*k.usual, minLongTime) }

// expire refuses the queued jobs whose due time has come.
func (c *Controller) expire(now time.Duration, events []Event) []Event {
	for c.queue.len() > 0 && c.queue.due.items[0].due <= now {
		e := c.queue.due.items[0]
		if e.at+c.config.MaxQueueTime <= now {
			events = c.evict(e, events)
			continue
		}
		c.queue.remove(e)
		events = append(events, Event{e.job.ID, RefusedDeadline})
		c.recycle(e)
	}
	return events
}

// canStart reports whether a job of a class finds a slot. Jobs of both
// classes count against the limit, long ones also against their part of it.
func (c *Controller) canStart(cl class) bool {
	return len(c.running) < c.limiter.value() && (cl == short || c.longs < c.longLimit())
}

// longLimit is the part of the limit that long jobs may occupy. The rest is
// the reserve for short work: the mean number of slots that short jobs held
// during the last second and a margin, at most 1 - LongShare of the limit, and
// at least minReserve of it but one slot, unless there is only one.
func (c *Controller) longLimit() int {
	limit := c.limiter.value()
	least := max(int(minReserve*float64(limit)), 1)
	most := max(limit-int(c.config.LongShare*float64(limit)), least)
	return max(limit-min(max(int(c.shortMean+reserveMargin*math.Sqrt(c.shortMean)+0.5), least), most), 1)
}

// noteShort follows the mean number of slots that short jobs hold.
func (c *Controller) noteShort(now time.Duration) {
	if now > c.shortAt {
		c.shortMean += (float64(len(c.running)-c.longs) - c.shortMean) * (1 - math.Exp(-float64(now-c.shortAt)/float64(shortTime)))
		c.shortAt = now
	}
}

// gate is the lowest priority of a class that may enter the queue.
func (c *Controller) gate(cl class) int { return max(c.gates[short], c.gates[cl]) }

func (c *Controller) run(now time.Duration, e *entry) {
	c.gates[short], c.gates[e.class] = 0, 0
	e.at, e.due = now, never
	c.running[e.job.ID] = e
	e.kind.running++
	c.thresholds[e.class].ran[e.priority]++
	if e.class == long {
		c.longs++
		return
	}
	if e.kind.usual > 0 {
		e.due = now + longTime(e.kind)
		c.turning.push(e)
	}
	c.noteShort(now)
}

// evict refuses a queued job for overload.
func (c *Controller) evict(e *entry, events []Event) []Event {
	c.queue.remove(e)
	return c.refuse(e, append(events, Event{e.job.ID, RefusedOverload}))
}

// refuse notes a refusal for overload. No lower priority that competes for
// the same slots stays in the queue.
func (c *Controller) refuse(e *entry, events []Event) []Event {
	c.thresholds[e.class].refused[e.priority]++
	p, cl := e.priority, e.class
	c.gates[cl] = max(c.gates[cl], p)
	c.recycle(e)
	for lower := c.queue.below(p, cl); lower != nil; lower = c.queue.below(p, cl) {
		c.queue.remove(lower)
		c.thresholds[lower.class].refused[lower.priority]++
		events = append(events, Event{lower.job.ID, RefusedOverload})
		c.recycle(lower)
	}
	return events
}

// wait is the expected time in the queue in seconds: the slot time of the jobs
// ahead, spread over the slots they use.
func (c *Controller) wait(e *entry) float64 {
	limit := float64(max(c.limiter.value(), 1))
	shorts, longs := c.queue.ahead(e, short), c.queue.ahead(e, long)
	all := (shorts + longs) / limit
	longLimit := float64(c.longLimit())
	if e.class == long {
		return max(all, longs/longLimit)
	}
	// Long jobs ahead can use no more than their part.
	return min(all, shorts/max(limit-longLimit, 1))
}

func (c *Controller) kind(name string) *kindStats {
	k, ok := c.kinds[name]
	if ok {
		return k
	}
	if len(c.kinds) >= maxKinds {
		name = ""
		if k, ok = c.kinds[name]; ok {
			k.shared = true
			return k
		}
	}
	k = &kindStats{shared: len(c.kinds) >= maxKinds}
	c.kinds[name] = k
	return k
}

func (c *Controller) entry(now time.Duration, j Job, k *kindStats) *entry {
	var e *entry
	if n := len(c.free); n > 0 {
		e, c.free = c.free[n-1], c.free[:n-1]
	} else {
		e = new(entry)
	}
	*e = entry{job: j, kind: k, cost: k.cost(), at: now, index: -1, priority: min(max(j.Priority, 0), MaxPriority)}
	e.order = now
	if j.InChain {
		e.order = j.ChainStart
	}
	if j.Long {
		e.class = long
	}
	k.long, k.part = j.Long, j.BudgetShare
	return e
}

func (c *Controller) recycle(e *entry) {
	if len(c.free) < maxFree {
		*e = entry{index: -1}
		c.free = append(c.free, e)
	}
}
