// Package admission decides which requests for the local target run, wait in
// the queue or are refused. Only the local node sends requests to its target,
// so it knows exactly how many are in flight.
//
// The controller is pure: time is passed in as the monotonic time since the
// start of the process, and the caller acts on the returned events. It is not
// safe for concurrent use. Operations take O(log n) time in the number of queued
// and running jobs, with the cost of refusing queued jobs amortized over their
// submission. In addition, queueing a sub-call may visit the queued jobs of its
// client account, and choosing the next job may visit the kinds of its priority.
package admission

import "time"

// MaxPriority is the highest priority. Higher values count as MaxPriority and
// negative ones as 0.
const MaxPriority = 15

// Job is a request for a slot of the target.
type Job struct {
	// ID must be unique among the jobs that are queued or running.
	ID            uint64
	Kind          string
	ClientAccount string
	// Priority decides which jobs are shed first: those with lower values.
	Priority int
	// Share is the weight among kinds of the same priority; 0 counts as 1.
	Share float64
	// ClientAccountShare is the weight among client accounts of the same kind;
	// 0 counts as 1.
	ClientAccountShare float64
	// BudgetShare is the maximum share of the limit that the kind may use while
	// another kind of the same priority that is below its own share waits for a
	// slot. 0 and 1 mean no bound.
	BudgetShare float64
	// Long jobs may not use the slots reserved for short jobs.
	Long bool
	// InChain is set for a sub-call of a call chain that started at the time
	// ChainStart. Among sub-calls of one kind and client account, those of
	// older chains are served first.
	InChain    bool
	ChainStart time.Duration
	// Deadline is the time by which the response must be complete.
	Deadline time.Duration
	// MaxWait bounds the time in the queue further than Config.MaxQueueTime, so that
	// a refused job can still run elsewhere. 0 means no further bound.
	MaxWait time.Duration
}

// Verdict is the decision on a job.
type Verdict int

// Verdicts.
const (
	// Run means that the job has got a slot and starts now.
	Run Verdict = iota
	// Queued means that the job waits and a later event reports the verdict.
	Queued
	// RefusedOverload means that the job would wait or has waited for its longest
	// time in the queue, that the queue is full, or that a job of a higher priority has
	// been refused.
	RefusedOverload
	// RefusedDeadline means that the job is not expected to finish by its
	// deadline.
	RefusedDeadline
)

// Event reports the verdict on a queued job.
type Event struct {
	ID      uint64
	Verdict Verdict
}

// Load is the state that peers receive with every response.
type Load struct {
	InFlight int
	Limit    int
	Queued   int
	// Threshold is the lowest priority that is currently admitted.
	Threshold int
	// LongThreshold is the lowest priority of long jobs that is currently
	// admitted. It is at least Threshold.
	LongThreshold int
}

// Defaults of Config.
const (
	// DefaultLongShare lets up to half of the slots be reserved for short jobs.
	DefaultLongShare = 0.5
	// defaultQueuedPerSlot makes the queue reach its bound on time before its
	// bound on length, unless jobs are shorter than MaxQueueTime / 8.
	defaultQueuedPerSlot = 8
	minMaxQueueLength    = 16
)

// Config sets the limits of a controller.
type Config struct {
	// Slots is the concurrency that the target declared. 0 refuses every job.
	Slots int
	// MaxQueueTime bounds the time in the queue. 0 means that no job waits.
	MaxQueueTime time.Duration
	// MaxQueueLength bounds the number of queued jobs. 0 means 8 per slot and at
	// least 16.
	MaxQueueLength int
	// MaxRate is the number of jobs per second that may start, with bursts of up
	// to a quarter of a second. 0 means no bound.
	MaxRate float64
	// LongShare is the share of the limit that long jobs may always use,
	// between 0 and 1. While short jobs do not need the rest, long jobs may use
	// 95% of the limit, but leave at least one slot. One slot is always allowed,
	// even if the limit is 1. 0 means DefaultLongShare.
	LongShare float64
}

func (c Config) withDefaults() Config {
	c.Slots, c.MaxRate = max(c.Slots, 0), max(c.MaxRate, 0)
	if c.MaxQueueLength <= 0 {
		c.MaxQueueLength = max(minMaxQueueLength, defaultQueuedPerSlot*c.Slots)
	}
	if c.LongShare <= 0 || c.LongShare > 1 {
		c.LongShare = DefaultLongShare
	}
	return c
}

// class distinguishes short jobs from long ones, which may not use the reserve.
type class int

const (
	short class = iota
	long
	classes
)

// entry is a queued or running job.
type entry struct {
	job      Job
	class    class
	priority int
	kind     *kindStats
	// cost is the expected slot time in seconds.
	cost float64
	// stateSince is the time of arrival while queued, and of the start while
	// running.
	stateSince time.Duration
	// due is the time at which the job is refused while queued, and from which
	// it counts as long while running.
	due time.Duration
	// maxWait bounds the time in the queue.
	maxWait time.Duration
	// orderTime is the start of the job's call chain, or else its arrival.
	orderTime time.Duration
	// heapIndex is the position in the heap by due time, or -1.
	heapIndex  int
	flow       *flow
	prev, next *entry
	// chargedFlow is the client account's flow that was charged cost when the job
	// started, or nil if the job was not queued.
	chargedFlow *flow
}
