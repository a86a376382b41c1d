// Package throttle refuses requests at the start of a call chain that would
// probably fail for lack of capacity further downstream. It does not know the
// chain: it records the outcomes of the requests of each route and admits
// little more than what succeeds. Less urgent routes are throttled, so that the
// overloaded downstream service has capacity for the sub-calls of urgent ones.
//
// The package is pure: time and randomness are passed in. A Controller is not
// safe for concurrent use. It serves nodes on the users' platform; package
// entryshed has this role with the product's own interface.
package throttle

import (
	"time"
)

const (
	// MinThrottledRank is the most urgent rank that is throttled; 0 is the most
	// urgent of all. Routes of sub-calls should have rank 1: if the parent of a
	// sub-call is unknown, the rank of its own route applies, and refusing the
	// sub-call would waste the work already done upstream.
	MinThrottledRank = 2
	// adjustInterval is the minimum time between adjustments.
	adjustInterval = 300 * time.Millisecond
	// maxAdjustInterval is the time after which the admit probability is raised
	// even with fewer than minOutcomes outcomes. It exceeds the duration of a
	// request whose chain has to queue.
	maxAdjustInterval = 1500 * time.Millisecond
	// targetSuccessRatio is the success ratio of admitted requests below which
	// the admit probability is lowered, in proportion to the shortfall. At 0.8 and
	// above, requests were refused that the downstream service had capacity for;
	// at 0.5 more requests failed and no more were served (docs/MEASUREMENTS.md).
	targetSuccessRatio = 0.7
	// growthFactor raises the admit probability while the success ratio is at
	// least targetSuccessRatio. fastGrowthFactor applies from
	// recoveredSuccessRatio on, when the overload is over: the probability
	// returns from 0.1 to 1 within 1.5 s.
	growthFactor          = 1.25
	fastGrowthFactor      = 1.6
	recoveredSuccessRatio = 0.95
	// minCutFactor is the lowest factor of a single reduction, because the success
	// ratio of one interval is noisy.
	minCutFactor = 0.6
	// minAdmitProbability keeps some requests flowing, to detect recovery.
	minAdmitProbability = 0.05
	// minOutcomes is the number of outcomes that an adjustment needs before
	// maxAdjustInterval has passed.
	minOutcomes = 5
	// subCallRouteRatio is the ratio of recognized sub-calls among the requests
	// of a route above which the route is treated as a sub-call route. For the
	// kind of sub-call recognized least often, one in six was recognized; one
	// in fifty requests of callers was mistaken for a sub-call.
	subCallRouteRatio = 0.1
	// maxArrivals is the number of requests after which both counts are halved,
	// so that older requests weigh less.
	maxArrivals = 1000
	// maxRoutes bounds the memory. A further route clears the state of all routes.
	maxRoutes = 1024
)

// Controller tracks the routes of one target.
type Controller struct {
	// OnChange, if set, is called with each new admit probability and the
	// outcomes that led to it.
	OnChange func(name string, probability float64, completed, succeeded int)

	routes map[string]*route
}

type route struct {
	// arrivals and subCalls count the recent requests of the route and those
	// of them that were recognized as sub-calls.
	arrivals, subCalls int
	admitProbability   float64
	// lastReduction is the time of the last reduction. Outcomes of requests
	// admitted earlier say nothing about the probability set since.
	lastReduction time.Duration
	// completed and succeeded count the outcomes since lastAdjustment.
	lastAdjustment       time.Duration
	completed, succeeded int
}

// New returns a controller that admits every request.
func New() *Controller { return &Controller{routes: make(map[string]*route)} }

// route returns the state of a route, creating it if necessary, after adjusting
// its admit probability.
func (c *Controller) route(now time.Duration, name string) *route {
	r := c.routes[name]
	if r == nil {
		if len(c.routes) >= maxRoutes {
			clear(c.routes)
		}
		r = &route{admitProbability: 1, lastAdjustment: now}
		c.routes[name] = r
	}
	if before, completed, succeeded := r.admitProbability, r.completed, r.succeeded; r.adjust(now) && r.admitProbability != before && c.OnChange != nil {
		c.OnChange(name, r.admitProbability, completed, succeeded)
	}
	return r
}

// adjust updates the admit probability once there are enough outcomes, or
// raises it after maxAdjustInterval without them, as nothing then indicates an
// overload. It reports whether it made an adjustment.
func (r *route) adjust(now time.Duration) bool {
	age := now - r.lastAdjustment
	if age < adjustInterval || r.completed < minOutcomes && age < maxAdjustInterval {
		return false
	}
	ratio := 1.0
	if r.completed >= minOutcomes {
		ratio = float64(r.succeeded) / float64(r.completed)
	}
	switch {
	case ratio < targetSuccessRatio:
		r.admitProbability = max(r.admitProbability*max(ratio/targetSuccessRatio, minCutFactor), minAdmitProbability)
		r.lastReduction = now
	case ratio < recoveredSuccessRatio:
		r.admitProbability = min(r.admitProbability*growthFactor, 1)
	default:
		r.admitProbability = min(r.admitProbability*fastGrowthFactor, 1)
	}
	r.lastAdjustment, r.completed, r.succeeded = now, 0, 0
	return true
}

// RecordArrival counts a request of a route. A route that sub-calls use is not
// throttled, because not every sub-call is recognized as one.
func (c *Controller) RecordArrival(now time.Duration, name string, subCall bool) {
	r := c.route(now, name)
	if r.arrivals >= maxArrivals {
		r.arrivals, r.subCalls = r.arrivals/2, r.subCalls/2
	}
	r.arrivals++
	if subCall {
		r.subCalls++
	}
}

// AdmitProbability returns the probability with which requests of a route and
// rank are admitted. It is 1 for ranks below MinThrottledRank and for routes that
// sub-calls use.
func (c *Controller) AdmitProbability(now time.Duration, name string, rank int) float64 {
	if rank < MinThrottledRank {
		return 1
	}
	r := c.route(now, name)
	if float64(r.subCalls) > subCallRouteRatio*float64(r.arrivals) {
		return 1
	}
	return r.admitProbability
}

// Admit reports whether to admit a request. random is in [0, 1).
func (c *Controller) Admit(now time.Duration, name string, rank int, random float64) bool {
	return random < c.AdmitProbability(now, name, rank)
}

// RecordOutcome counts the outcome of a request that was admitted at the time
// start, unless the admit probability has been reduced since. ok is false if the
// request failed for lack of capacity further downstream.
func (c *Controller) RecordOutcome(now, start time.Duration, name string, ok bool) {
	r := c.route(now, name)
	if start < r.lastReduction {
		return
	}
	r.completed++
	if ok {
		r.succeeded++
	}
}
