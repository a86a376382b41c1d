package admission

import (
	"math"
	"time"
)

const (
	// reserveTimeConstant is the time constant of the mean number of running jobs
	// of a priority.
	reserveTimeConstant = time.Second
	// reserveWeight is the weight of a job in the smoothed wait of its priority.
	reserveWeight = 0.05
	// fullReserveWait is the smoothed wait of jobs of a higher priority from which on
	// all slots that they use are kept from lower ones. Below it, a part is.
	fullReserveWait = 20 * time.Millisecond
)

// priorityReserve keeps slots free for jobs of higher priorities while these have
// to wait. The order of the queue alone does not help them at a target whose slots
// are all held by jobs of a lower priority that take long: a request that takes a
// second starts whenever the queue is empty for a moment.
type priorityReserve struct {
	running [MaxPriority + 1]int
	// mean is the smoothed number of running jobs, as of updated, and wait the
	// smoothed time in the queue.
	mean    [MaxPriority + 1]float64
	wait    [MaxPriority + 1]time.Duration
	updated time.Duration
}

func (r *priorityReserve) started(now time.Duration, priority int, waited time.Duration) {
	r.update(now)
	r.running[priority]++
	r.waited(priority, waited)
}

// waited records the time that a job has waited until it was started or refused.
func (r *priorityReserve) waited(priority int, d time.Duration) {
	r.wait[priority] += time.Duration(reserveWeight * float64(d-r.wait[priority]))
}

func (r *priorityReserve) finished(now time.Duration, priority int) {
	r.update(now)
	r.running[priority]--
}

func (r *priorityReserve) update(now time.Duration) {
	if now <= r.updated {
		return
	}
	weight := 1 - math.Exp(-float64(now-r.updated)/float64(reserveTimeConstant))
	for p, n := range r.running {
		r.mean[p] += (float64(n) - r.mean[p]) * weight
	}
	r.updated = now
}

// allows reports whether a job of a priority may start although the slots that
// higher priorities use on average, and a margin, must remain for these. One slot
// is always left.
func (r *priorityReserve) allows(priority, limit int) bool {
	running, above, wait := 0, 0.0, time.Duration(0)
	for p := range r.running {
		if p <= priority {
			running += r.running[p]
			continue
		}
		above += r.mean[p]
		wait = max(wait, r.wait[p])
	}
	if wait == 0 || running == 0 {
		return true
	}
	share := min(float64(wait)/float64(fullReserveWait), 1)
	reserved := share * (above + reserveMargin*math.Sqrt(above))
	return running < max(limit-int(reserved+0.5), 1)
}
