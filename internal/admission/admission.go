// Package admission decides which requests a target's own node runs, queues
// or refuses. The node alone sends to its target, so it knows exactly what is
// in flight.
//
// The controller is pure: time is passed in as the monotonic time since the
// start of the process, and the caller acts on the returned events. It is not
// safe for concurrent use. Every operation costs O(log n) in the number of
// queued and running jobs; jobs that a call refuses are amortized over their
// own arrival.
package admission

import "time"

// MaxPriority is the highest priority that is told apart from lower ones.
// Higher values count as MaxPriority and negative ones as 0.
const MaxPriority = 15

// Job is a request that asks for a slot.
type Job struct {
	// ID must be unique among the jobs that are queued or running.
	ID     uint64
	Kind   string
	Client string
	// Priority: higher values are shed later.
	Priority int
	// Share is the weight among kinds of the same priority; 0 counts as 1.
	Share float64
	// ClientShare is the weight among buyers of the same kind; 0 counts as 1.
	ClientShare float64
	// BudgetShare is the part of the limit that the kind holds at most while
	// other kinds of the same priority wait for a slot. 0 and 1 mean no bound.
	BudgetShare float64
	// Long jobs may not use the reserve for short work.
	Long bool
	// InChain is set for a call within a call chain that began at the time
	// Chain. Among calls of one kind and buyer, older chains go first.
	InChain    bool
	ChainStart time.Duration
	// Deadline is the time by which the answer must be complete.
	Deadline time.Duration
}

// Verdict is the decision on a job.
type Verdict int

// Verdicts.
const (
	// Run means that the job has a slot and starts now.
	Run Verdict = iota
	// Queued means that a later event decides.
	Queued
	// RefusedOverload means that the queue has no place for this priority.
	RefusedOverload
	// RefusedDeadline means that the job could not finish in time.
	RefusedDeadline
)

// Event reports a later decision on a queued job.
type Event struct {
	ID      uint64
	Verdict Verdict
}

// Load is the state that peers learn with every answer.
type Load struct {
	InFlight int
	Limit    int
	Queued   int
	// Threshold is the lowest priority that is admitted now.
	Threshold int
	// LongThreshold is the lowest priority of long jobs that is admitted now.
	// It is at least Threshold.
	LongThreshold int
}

// Defaults of Config.
const (
	// DefaultLongShare lets short work reserve up to half of the slots.
	DefaultLongShare = 0.5
	// defaultQueuedPerSlot lets the time bound of the queue act before the
	// bound on its length, unless the jobs are shorter than MaxQueue / 8.
	defaultQueuedPerSlot = 8
	minMaxQueued         = 16
)

// Config sets the limits of a controller.
type Config struct {
	// Slots is what the target declared. 0 refuses every job.
	Slots int
	// MaxQueueTime bounds the time in the queue. 0 means that no job waits.
	MaxQueueTime time.Duration
	// MaxQueueLength bounds the number of queued jobs. 0 means 8 per slot and at
	// least 16.
	MaxQueueLength int
	// LongShare is the part of the limit that long jobs may always occupy,
	// between 0 and 1; they get up to 95% while short work does not use the
	// rest. 0 means DefaultLongShare. Long jobs get at least one slot.
	LongShare float64
}

func (c Config) withDefaults() Config {
	c.Slots = max(c.Slots, 0)
	if c.MaxQueueLength <= 0 {
		c.MaxQueueLength = max(minMaxQueued, defaultQueuedPerSlot*c.Slots)
	}
	if c.LongShare <= 0 || c.LongShare > 1 {
		c.LongShare = DefaultLongShare
	}
	return c
}

// class tells long jobs, which may not use the reserve, from short ones.
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
	// at is the arrival while queued and the start while running.
	at time.Duration
	// due is the end of the wait while queued, and the time from which the
	// job counts as long while running.
	due time.Duration
	// order is the begin of the job's call chain, or its arrival.
	order time.Duration
	// index is the position in the heap of due times, or -1.
	index      int
	flow       *flow
	prev, next *entry
	// charged is the flow of the buyer that paid cost for the start of the
	// job, or nil if the job did not queue.
	charged *flow
}
