// Package throttle refuses requests at the start of a call chain that would
// probably find no room deeper in it. It knows nothing of the chain: it
// follows how the requests of each route end, and lets through little more
// than what succeeds. Less urgent routes are throttled, so that the deep
// service has room for the calls of the urgent ones.
//
// The package is pure: time and randomness are passed in. A Controller is not
// safe for concurrent use.
package throttle

import (
	"time"
)

const (
	// MinThrottledRank is the rank from which routes are throttled. Calls within a
	// chain have rank 1: to refuse one wastes all that ran above it.
	MinThrottledRank = 2
	// interval is the least time between adjustments.
	interval = 300 * time.Millisecond
	// patience is the time after which a share is adjusted without enough
	// evidence: longer than a request takes whose chain has to wait.
	patience = 1500 * time.Millisecond
	// wanted is the share of the requests let through that has to succeed. With
	// 0.8 and more, requests were refused that the deep service had room for;
	// with 0.5 more of them failed and no more were served (docs/MEASUREMENTS.md).
	wanted = 0.7
	// growth is the factor by which the share let through grows while they do,
	// and fastGrowth the one while nearly all succeed: the overload is over,
	// and from a tenth to all takes 1.5 s.
	growth     = 1.25
	fastGrowth = 1.6
	nearlyAll  = 0.95
	// maxCut bounds one reduction, as chance decides much in one interval.
	maxCut = 0.6
	// minShare is always let through, to see whether requests succeed again.
	minShare = 0.05
	// evidence is the number of ends that an adjustment needs.
	evidence = 5
	// callShare is the part of a route's requests that are calls from which it
	// counts as a route of calls. One call in six of the least known kind was
	// known as one, and one in fifty requests of callers was taken for a call.
	callShare = 0.1
	// maxArrived is the number of requests after which older ones count less.
	maxArrived = 1000
	// maxRoutes bounds what is remembered.
	maxRoutes = 1024
)

// Controller follows the routes of one target.
type Controller struct {
	// OnChange, if set, is told of each new share and of the ends that led to
	// it.
	OnChange func(name string, share float64, ended, succeeded int)

	routes map[string]*route
}

type route struct {
	// arrived and calls count the recent requests of the route and those of
	// them that are known as calls within a chain.
	arrived, calls int
	share          float64
	// cut is the time of the last reduction. What was let through before says
	// nothing of the share since.
	cut time.Duration
	// since is the time of the last adjustment; ended and succeeded count the
	// requests that ended since.
	since            time.Duration
	ended, succeeded int
}

// New returns a controller that throttles nothing yet.
func New() *Controller { return &Controller{routes: make(map[string]*route)} }

func (c *Controller) route(now time.Duration, name string) *route {
	r := c.routes[name]
	if r == nil {
		if len(c.routes) >= maxRoutes {
			clear(c.routes)
		}
		r = &route{share: 1, since: now}
		c.routes[name] = r
	}
	if before, ended, succeeded := r.share, r.ended, r.succeeded; r.adjust(now) && r.share != before && c.OnChange != nil {
		c.OnChange(name, r.share, ended, succeeded)
	}
	return r
}

// adjust changes the share once there is evidence, or none for so long that
// nothing shows that the share has to be small. It reports whether it did.
func (r *route) adjust(now time.Duration) bool {
	age := now - r.since
	if age < interval || r.ended < evidence && age < patience {
		return false
	}
	ratio := 1.0
	if r.ended >= evidence {
		ratio = float64(r.succeeded) / float64(r.ended)
	}
	switch {
	case ratio < wanted:
		r.share = max(r.share*max(ratio/wanted, maxCut), minShare)
		r.cut = now
	case ratio < nearlyAll:
		r.share = min(r.share*growth, 1)
	default:
		r.share = min(r.share*fastGrowth, 1)
	}
	r.since, r.ended, r.succeeded = now, 0, 0
	return true
}

// RecordArrival counts a request of a route. A route that calls use is not throttled,
// as not every call is known as one.
func (c *Controller) RecordArrival(now time.Duration, name string, call bool) {
	r := c.route(now, name)
	if r.arrived >= maxArrived {
		r.arrived, r.calls = r.arrived/2, r.calls/2
	}
	r.arrived++
	if call {
		r.calls++
	}
}

// AdmitProbability is the share of the requests of a route that is let through.
func (c *Controller) AdmitProbability(now time.Duration, name string, rank int) float64 {
	if rank < MinThrottledRank {
		return 1
	}
	r := c.route(now, name)
	if float64(r.calls) > callShare*float64(r.arrived) {
		return 1
	}
	return r.share
}

// Admit decides on a request. chance is a random number in [0, 1).
func (c *Controller) Admit(now time.Duration, name string, rank int, chance float64) bool {
	return chance < c.AdmitProbability(now, name, rank)
}

// RecordOutcome counts the end of a request that was let through at the time begin. ok
// is false if it failed because there was no room deeper in its chain.
func (c *Controller) RecordOutcome(now, begin time.Duration, name string, ok bool) {
	r := c.route(now, name)
	if begin < r.cut {
		return
	}
	r.ended++
	if ok {
		r.succeeded++
	}
}
