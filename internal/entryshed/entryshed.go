// Package entryshed sheds load at the entry of a call chain: it refuses
// requests that a downstream service would otherwise refuse after upstream
// services have done work for them.
//
// Every response carries the admission thresholds of the services that its
// sub-calls reached. From these a Controller learns, per request kind, which
// downstream services the kind calls and how often, which priorities they
// admit, and which share of the requests they refuse. The probability of a
// refusal at the entry is never higher than the share of the admitted requests
// that is refused downstream.
//
// The controller does no I/O: time and randomness are passed in. It is not safe
// for concurrent use. It serves nodes with the product's own interface; package
// throttle has this role on the users' platform.
package entryshed

import (
	"math"
	"math/rand/v2"
	"time"
)

// Decision is what to do with an arriving request.
type Decision int

// Decisions.
const (
	// Admit admits the request.
	Admit Decision = iota
	// Refuse refuses the request before any work is done.
	Refuse
	// Probe admits a request that would be refused, to learn whether the
	// downstream service is still overloaded.
	Probe
)

// String returns the name of the decision.
func (d Decision) String() string { return [...]string{"admit", "refuse", "probe"}[d] }

// maxPriority is the highest priority. It is never refused at the entry.
const maxPriority = 10

// Config sets the limits of a controller. Zero values select the defaults.
type Config struct {
	// ThresholdTTL is how long a reported threshold is valid. Default 500 ms.
	ThresholdTTL time.Duration
	// TimeConstant is the time constant of the decaying means. Default 300 ms.
	TimeConstant time.Duration
	// ProbeShare is the share of the refused requests that is admitted as
	// probes, in addition to the requests that are not expected to be refused
	// downstream. Default 0.03.
	ProbeShare float64
	// MaxRefusedShare bounds the share of requests that is refused, so that
	// responses keep arriving to learn from. Default 0.97.
	MaxRefusedShare float64
	// Exponent is the power to which the share of requests that call the
	// overloaded service is raised in the refuse probability. Refusing a request
	// that would not call that service loses it needlessly, so the probability
	// must fall steeply with that share. Default 8.
	Exponent float64
	// MaxKinds bounds the number of request kinds tracked. Default 1024.
	MaxKinds int
	// MaxServices bounds the number of downstream services tracked per kind.
	// Default 128.
	MaxServices int
}

func (c *Config) setDefaults() {
	if c.ThresholdTTL <= 0 {
		c.ThresholdTTL = 500 * time.Millisecond
	}
	if c.TimeConstant <= 0 {
		c.TimeConstant = 300 * time.Millisecond
	}
	if c.ProbeShare <= 0 {
		c.ProbeShare = 0.03
	}
	if c.MaxRefusedShare <= 0 {
		c.MaxRefusedShare = 0.97
	}
	if c.Exponent <= 0 {
		c.Exponent = 8
	}
	if c.MaxKinds <= 0 {
		c.MaxKinds = 1024
	}
	if c.MaxServices <= 0 {
		c.MaxServices = 128
	}
}

// Controller tracks, on one node, the downstream services of root request
// kinds.
type Controller struct {
	config Config
	kinds  map[string]*kindState
	// DroppedObservations counts observations of kinds or services beyond
	// MaxKinds and MaxServices.
	DroppedObservations uint64
}

// New returns a controller without observations, which admits every request.
func New(cfg Config) *Controller {
	cfg.setDefaults()
	return &Controller{config: cfg, kinds: make(map[string]*kindState)}
}

// kindState is the observed state of one root kind.
type kindState struct {
	services map[string]*serviceState
	// refused is the share of responses with a downstream refusal, by priority.
	refused [maxPriority + 1]decayingMean
	// maxThreshold is the highest valid threshold at the last observation. With
	// it, most decisions need not scan the services.
	maxThreshold int
	lastObserved time.Duration
}

// serviceState is the observed state of a downstream service of a kind.
type serviceState struct {
	threshold  int
	reportedAt time.Duration
	// confirmedAt is when a threshold at least this high was last reported.
	confirmedAt time.Duration
	// callingShare is the share of responses whose call chain called the
	// service.
	callingShare decayingMean
}

// decayingMean is an exponentially decaying mean of samples that are 0 or 1;
// weight is the decayed number of samples.
type decayingMean struct {
	sum, weight float64
	at          time.Duration
}

func (s *decayingMean) add(now, tau time.Duration, value float64) {
	s.decay(now, tau)
	s.sum += value
	s.weight++
}

func (s *decayingMean) decay(now, tau time.Duration) {
	if now > s.at {
		f := math.Exp(-float64(now-s.at) / float64(tau))
		s.sum, s.weight, s.at = s.sum*f, s.weight*f, now
	}
}

// value returns the mean with a prior of one sample of 0, so that a single
// refused response does not cause most requests to be refused.
func (s *decayingMean) value() float64 { return s.sum / (s.weight + 1) }

// Observe records the response to a request of the named kind. thresholds holds
// the highest threshold that its sub-calls encountered, by service.
// refusedDownstream reports that a sub-call was refused because of overload, so
// that the work already done for the request was wasted. A kind is tracked from
// its first response with a threshold or a refusal.
func (c *Controller) Observe(now time.Duration, name string, priority int, thresholds map[string]int, refusedDownstream bool) {
	k := c.kinds[name]
	if k == nil {
		if len(thresholds) == 0 && !refusedDownstream {
			return
		}
		if len(c.kinds) >= c.config.MaxKinds {
			c.expire(now)
		}
		if len(c.kinds) >= c.config.MaxKinds {
			c.DroppedObservations++
			return
		}
		k = &kindState{services: make(map[string]*serviceState)}
		c.kinds[name] = k
	}
	value := 0.0
	if refusedDownstream {
		value = 1
	}
	k.refused[clampPriority(priority)].add(now, c.config.TimeConstant, value)
	c.updateServices(now, k, thresholds)
}

// updateServices updates the services of a kind and its maxThreshold. It removes
// services without a report for 20 times ThresholdTTL.
func (c *Controller) updateServices(now time.Duration, k *kindState, thresholds map[string]int) {
	for name, threshold := range thresholds {
		s := k.services[name]
		if s == nil {
			if len(k.services) >= c.config.MaxServices {
				c.DroppedObservations++
				continue
			}
			s = &serviceState{}
			k.services[name] = s
		}
		s.observeThreshold(now, threshold, c.config.ThresholdTTL/2)
	}
	k.maxThreshold, k.lastObserved = 0, now
	for name, s := range k.services {
		called := 0.0
		if _, ok := thresholds[name]; ok {
			called = 1
		}
		s.callingShare.add(now, c.config.TimeConstant, called)
		switch {
		case now-s.reportedAt > 20*c.config.ThresholdTTL:
			delete(k.services, name)
		case now-s.reportedAt <= c.config.ThresholdTTL:
			k.maxThreshold = max(k.maxThreshold, s.threshold)
		}
	}
}

// observeThreshold records a reported threshold. The stored threshold is
// lowered only after it has not been confirmed for longer than hold, because
// the nodes of a service shed at different priorities.
func (s *serviceState) observeThreshold(now time.Duration, threshold int, hold time.Duration) {
	s.reportedAt = now
	if threshold >= s.threshold || now-s.confirmedAt > hold {
		s.threshold, s.confirmedAt = threshold, now
	}
}

// expire removes kinds that were not observed for 20 times ThresholdTTL.
func (c *Controller) expire(now time.Duration) {
	for name, k := range c.kinds {
		if now > k.lastObserved+20*c.config.ThresholdTTL {
			delete(c.kinds, name)
		}
	}
}

// Decide decides on an arriving request of the named kind.
func (c *Controller) Decide(now time.Duration, rnd *rand.Rand, name string, priority int) Decision {
	k := c.kinds[name]
	if k == nil || priority >= maxPriority || priority >= k.maxThreshold {
		return Admit
	}
	refuse := c.refuseProbability(now, k, priority)
	r := rnd.Float64()
	if r >= refuse {
		return Admit
	}
	if r < refuse*c.config.ProbeShare {
		return Probe
	}
	return Refuse
}

// refuseProbability returns the probability with which to refuse a request. It
// follows the share of refusals among the admitted requests that call a service
// known to shed the priority, and falls steeply with the share of requests that
// do not call that service.
func (c *Controller) refuseProbability(now time.Duration, k *kindState, priority int) float64 {
	callingShare := 0.0
	for _, s := range k.services {
		if s.threshold > priority && now-s.reportedAt <= c.config.ThresholdTTL {
			s.callingShare.decay(now, c.config.TimeConstant)
			callingShare = max(callingShare, s.callingShare.sum/max(s.callingShare.weight, 1e-9))
		}
	}
	if callingShare == 0 {
		return 0
	}
	s := &k.refused[clampPriority(priority)]
	s.decay(now, c.config.TimeConstant)
	refusedShare := min(s.value()/callingShare, 1)
	return min(refusedShare*math.Pow(callingShare, c.config.Exponent), c.config.MaxRefusedShare)
}

// Dependencies returns the downstream services that at least the given share of
// a kind's recent call chains reached.
func (c *Controller) Dependencies(now time.Duration, name string, share float64) []string {
	k := c.kinds[name]
	if k == nil {
		return nil
	}
	var names []string
	for service := range k.services {
		if c.DependencyShare(now, name, service) >= share {
			names = append(names, service)
		}
	}
	return names
}

// DependencyShare returns the share of a kind's recent call chains that reached
// a downstream service.
func (c *Controller) DependencyShare(now time.Duration, name, service string) float64 {
	k := c.kinds[name]
	if k == nil || k.services[service] == nil {
		return 0
	}
	s := &k.services[service].callingShare
	s.decay(now, c.config.TimeConstant)
	if s.weight == 0 {
		return 0
	}
	return s.sum / s.weight
}

func clampPriority(p int) int { return min(max(p, 0), maxPriority) }
