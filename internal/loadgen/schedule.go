package loadgen

import (
	"math/rand/v2"
	"strconv"
	"time"
)

// job is one scheduled arrival.
type job struct {
	number        int
	at            time.Duration
	phase         int
	kind          int
	clientAccount string
	// firstNode is the index of the node that gets the first attempt. seed seeds
	// the jitter of the retries.
	firstNode int
	seed      uint64
}

// schedule generates the arrivals of a scenario in order of time. Equal seeds
// give equal jobs.
type schedule struct {
	scenario   *Scenario
	rng        *rand.Rand
	zipf       *rand.Zipf
	nodes      int
	now        time.Duration
	nextNumber int
	// peakRate is the highest rate of all phases, in jobs/s. Arrivals are
	// generated at this rate and thinned to the current one.
	peakRate    float64
	totalWeight float64
}

func newSchedule(s *Scenario, nodes int) *schedule {
	sc := &schedule{scenario: s, rng: rand.New(rand.NewPCG(s.Seed, 0)), nodes: nodes}
	for _, ph := range s.Phases {
		sc.peakRate = max(sc.peakRate, ph.Multiplier*s.RatePerSecond)
	}
	for _, k := range s.Kinds {
		sc.totalWeight += k.Weight
	}
	if s.ClientAccounts.Zipf > 1 {
		sc.zipf = rand.NewZipf(sc.rng, s.ClientAccounts.Zipf, 1, uint64(sc.clientAccountCount()-1))
	}
	return sc
}

func (sc *schedule) clientAccountCount() int {
	if len(sc.scenario.ClientAccounts.Names) > 0 {
		return len(sc.scenario.ClientAccounts.Names)
	}
	return sc.scenario.ClientAccounts.Count
}

// rate returns the phase and the arrival rate at a time of the run. ok is false
// after the end.
func (s *Scenario) rate(at time.Duration) (phase int, perSecond float64, ok bool) {
	previous := 0.0
	for i, ph := range s.Phases {
		length := time.Duration(ph.DurationMS) * time.Millisecond
		if at >= length {
			at -= length
			previous = ph.Multiplier
			continue
		}
		m := ph.Multiplier
		if ramp := time.Duration(ph.RampMS) * time.Millisecond; at < ramp {
			if i == 0 {
				previous = 0
			}
			m = previous + (m-previous)*float64(at)/float64(ramp)
		}
		return i, m * s.RatePerSecond, true
	}
	return 0, 0, false
}

// nextJob returns the next arrival, or false after the last phase.
func (sc *schedule) nextJob() (job, bool) {
	for {
		sc.now += time.Duration(sc.rng.ExpFloat64() / sc.peakRate * float64(time.Second))
		phase, rate, ok := sc.scenario.rate(sc.now)
		if !ok {
			return job{}, false
		}
		if sc.rng.Float64()*sc.peakRate >= rate {
			continue
		}
		j := job{number: sc.nextNumber, at: sc.now, phase: phase, kind: sc.pickKind(), clientAccount: sc.pickClientAccount(), firstNode: sc.rng.IntN(sc.nodes), seed: sc.rng.Uint64()}
		sc.nextNumber++
		return j, true
	}
}

func (sc *schedule) pickKind() int {
	x := sc.rng.Float64() * sc.totalWeight
	for i, k := range sc.scenario.Kinds {
		if x -= k.Weight; x < 0 {
			return i
		}
	}
	return len(sc.scenario.Kinds) - 1
}

func (sc *schedule) pickClientAccount() string {
	var n uint64
	if sc.zipf != nil {
		n = sc.zipf.Uint64()
	} else {
		n = sc.rng.Uint64N(uint64(sc.clientAccountCount()))
	}
	if len(sc.scenario.ClientAccounts.Names) > 0 {
		return sc.scenario.ClientAccounts.Names[n]
	}
	return "buyer-" + strconv.FormatUint(n, 10)
}
