// Package entryshed refuses at the entry what would be refused deep in the chain.
//
// Every answer carries the thresholds that its sub-calls met, by service. A
// Controller learns from them which deep services a kind of request depends on,
// how often, and which priorities those services admit, and how large a part of
// the requests was refused deep. It refuses at the entry no larger part.
//
// The controller is pure: time and randomness are passed in. It is not safe for
// concurrent use.
package entryshed

import (
	"math"
	"math/rand/v2"
	"time"
)

// Decision on an arriving request.
type Decision int

// Decisions.
const (
	// Admit lets the request in.
	Admit Decision = iota
	// Refuse turns it away before any work is done.
	Refuse
	// Probe lets it in although it would be refused, to learn whether the cause
	// is still there.
	Probe
)

// String returns the name of the decision.
func (d Decision) String() string { return [...]string{"admit", "refuse", "probe"}[d] }

// maxPriority is the highest priority, which is never refused here.
const maxPriority = 10

// Config sets the limits of a controller. Zero values select the defaults.
type Config struct {
	// ThresholdTTL is the time for which a threshold is believed. Default 500 ms.
	ThresholdTTL time.Duration
	// TimeConstant is the time constant of the learnt shares. Default 300 ms.
	TimeConstant time.Duration
	// ProbeShare is the part of the refused requests let in as probes, in
	// addition to the part that is not expected to be refused. Default 0.03.
	ProbeShare float64
	// MaxRefusedShare bounds the part that is refused, so that answers keep coming.
	// Default 0.97.
	MaxRefusedShare float64
	// Exponent is the power of the share of requests that meet the shedding
	// service in the refused part. A request that would not meet it is lost
	// without need when it is refused. Default 8.
	Exponent float64
	// MaxKinds bounds the kinds that are remembered. Default 1024.
	MaxKinds int
	// MaxServices bounds the deep services remembered for a kind. Default 128.
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

// Controller holds what one node learnt of the deep services of root kinds.
type Controller struct {
	config Config
	kinds  map[string]*kind
	// DroppedObservations counts observations without a place.
	DroppedObservations uint64
}

// New returns a controller that admits everything.
func New(cfg Config) *Controller {
	cfg.setDefaults()
	return &Controller{config: cfg, kinds: make(map[string]*kind)}
}

// kind is what was learnt of one root kind.
type kind struct {
	services map[string]*service
	// refused is the share of answers with a deep refusal, by priority.
	refused [maxPriority + 1]share
	// threshold is the highest threshold believed at the last observation; most
	// decisions need no look at the services.
	threshold int
	last      time.Duration
}

// service is a deep service that a kind depends on.
type service struct {
	threshold int
	at        time.Duration
	// highAt is when the threshold was last confirmed.
	highAt time.Duration
	// called is the share of answers whose chain met the service.
	called share
}

// share is an exponentially weighted mean of 0 and 1 over time, with the
// weight of what it is based on.
type share struct {
	sum, weight float64
	at          time.Duration
}

func (s *share) add(now, tau time.Duration, value float64) {
	s.age(now, tau)
	s.sum += value
	s.weight++
}

func (s *share) age(now, tau time.Duration) {
	if now > s.at {
		f := math.Exp(-float64(now-s.at) / float64(tau))
		s.sum, s.weight, s.at = s.sum*f, s.weight*f, now
	}
}

// value is the mean. A prior of one answer without refusal keeps a single
// refusal from turning away most requests.
func (s *share) value() float64 { return s.sum / (s.weight + 1) }

// Observe learns from the answer to a request of a kind. thresholds has the
// highest threshold that its sub-calls met, by service. refusedDeep tells that
// a sub-call was refused for overload, so that the request's work was lost.
func (c *Controller) Observe(now time.Duration, name string, priority int, thresholds map[string]int, refusedDeep bool) {
	k := c.kinds[name]
	if k == nil {
		if len(thresholds) == 0 && !refusedDeep {
			return
		}
		if len(c.kinds) >= c.config.MaxKinds {
			c.expire(now)
		}
		if len(c.kinds) >= c.config.MaxKinds {
			c.DroppedObservations++
			return
		}
		k = &kind{services: make(map[string]*service)}
		c.kinds[name] = k
	}
	value := 0.0
	if refusedDeep {
		value = 1
	}
	k.refused[clampPriority(priority)].add(now, c.config.TimeConstant, value)
	c.learn(now, k, thresholds)
}

// learn updates the services of a kind and the threshold that follows.
func (c *Controller) learn(now time.Duration, k *kind, thresholds map[string]int) {
	for name, threshold := range thresholds {
		s := k.services[name]
		if s == nil {
			if len(k.services) >= c.config.MaxServices {
				c.DroppedObservations++
				continue
			}
			s = &service{}
			k.services[name] = s
		}
		s.hear(now, threshold, c.config.ThresholdTTL/2)
	}
	k.threshold, k.last = 0, now
	for name, s := range k.services {
		met := 0.0
		if _, ok := thresholds[name]; ok {
			met = 1
		}
		s.called.add(now, c.config.TimeConstant, met)
		switch {
		case now-s.at > 20*c.config.ThresholdTTL:
			delete(k.services, name)
		case now-s.at <= c.config.ThresholdTTL:
			k.threshold = max(k.threshold, s.threshold)
		}
	}
}

// hear takes a threshold. It falls only when a higher one was not confirmed
// for a while, because the nodes of a service shed at different priorities.
func (s *service) hear(now time.Duration, threshold int, hold time.Duration) {
	s.at = now
	if threshold >= s.threshold || now-s.highAt > hold {
		s.threshold, s.highAt = threshold, now
	}
}

// expire drops kinds of which nothing is believed any more.
func (c *Controller) expire(now time.Duration) {
	for name, k := range c.kinds {
		if now > k.last+20*c.config.ThresholdTTL {
			delete(c.kinds, name)
		}
	}
}

// Decide decides on an arriving request of a kind.
func (c *Controller) Decide(now time.Duration, rnd *rand.Rand, name string, priority int) Decision {
	k := c.kinds[name]
	if k == nil || priority >= maxPriority || priority >= k.threshold {
		return Admit
	}
	refuse := c.refuseShare(now, k, priority)
	r := rnd.Float64()
	if r >= refuse {
		return Admit
	}
	if r < refuse*c.config.ProbeShare {
		return Probe
	}
	return Refuse
}

// refuseShare is the part of arriving requests to refuse. It follows the share
// refused deep among the admitted requests that meet a service known to shed
// the priority, and falls steeply when other requests do not meet it.
func (c *Controller) refuseShare(now time.Duration, k *kind, priority int) float64 {
	meets := 0.0
	for _, s := range k.services {
		if s.threshold > priority && now-s.at <= c.config.ThresholdTTL {
			s.called.age(now, c.config.TimeConstant)
			meets = max(meets, s.called.sum/max(s.called.weight, 1e-9))
		}
	}
	if meets == 0 {
		return 0
	}
	s := &k.refused[clampPriority(priority)]
	s.age(now, c.config.TimeConstant)
	lost := min(s.value()/meets, 1)
	return min(lost*math.Pow(meets, c.config.Exponent), c.config.MaxRefusedShare)
}

// Dependencies returns the deep services that at least the given share of a
// kind's chains met lately.
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

// DependencyShare is the share of a kind's chains that met a deep service lately.
func (c *Controller) DependencyShare(now time.Duration, name, service string) float64 {
	k := c.kinds[name]
	if k == nil || k.services[service] == nil {
		return 0
	}
	s := &k.services[service].called
	s.age(now, c.config.TimeConstant)
	if s.weight == 0 {
		return 0
	}
	return s.sum / s.weight
}

func clampPriority(p int) int { return min(max(p, 0), maxPriority) }
