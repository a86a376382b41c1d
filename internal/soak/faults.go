package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"parsleyturn/internal/faultproxy"
	"parsleyturn/platform/platformtest"
)

// part is the part of a VM that a fault affects. Faults of different parts may
// overlap.
type part int

const (
	process part = iota
	network
	target
	heartbeats
	callers
	parts
)

// fault is one kind of fault. inject starts it and returns when it has ended. A
// fault of open connections, such as a blackhole, lasts as long as they do;
// inject returns at once.
type fault struct {
	name   string
	part   part
	inject func(r *run, v *vm, length time.Duration)
}

const (
	// seriesLength is the number of faults in a series, and seriesPause the time
	// between two of them.
	seriesLength = 3
	seriesPause  = 300 * time.Millisecond
	// targetLimit is far below the request rate of a target, about 20 a second.
	targetLimit = 4.0
	// minOutagePause and maxOutagePause bound the time between two faults of
	// outageFaults, which have a random stream of their own.
	minOutagePause = 4 * time.Second
	maxOutagePause = 12 * time.Second
	outageStream   = 2
	// restoreOutage is how long the store is away before it is restored, and
	// rewriteDelay the time after which the operator writes again what is lost.
	restoreOutage = 500 * time.Millisecond
	rewriteDelay  = 300 * time.Millisecond
	// largeRouteCount is the number of routes that make a configuration of 250 KB.
	largeRouteCount = 1400
)

var faults = []fault{
	{"pause", process, func(r *run, v *vm, length time.Duration) {
		v.signal(syscall.SIGSTOP)
		r.sleep(length)
		r.recorder.forgetLeaving(v.index)
		v.signal(syscall.SIGCONT)
	}},
	{"kill again and again", process, func(r *run, v *vm, _ time.Duration) {
		for range seriesLength {
			v.stop(syscall.SIGKILL)
			r.restart(v)
			r.sleep(seriesPause)
		}
	}},
	{"term while paused", process, func(r *run, v *vm, length time.Duration) {
		v.signal(syscall.SIGSTOP)
		resumed := make(chan struct{})
		go func() {
			defer close(resumed)
			r.sleep(length / 2)
			v.signalStopped(syscall.SIGCONT)
		}()
		v.stop(syscall.SIGTERM)
		<-resumed
		r.restart(v)
	}},
	{"kill", process, func(r *run, v *vm, length time.Duration) {
		v.stop(syscall.SIGKILL)
		r.sleep(length / 4)
		r.restart(v)
	}},
	{"term", process, func(r *run, v *vm, _ time.Duration) {
		v.stop(syscall.SIGTERM)
		r.restart(v)
	}},
	{"crowd", process, func(r *run, v *vm, length time.Duration) { r.crowd(v, length) }},
	{"clients leave", callers, func(r *run, v *vm, _ time.Duration) { r.leave(v) }},
	{"late heartbeats", heartbeats, func(_ *run, v *vm, length time.Duration) { v.delayHeartbeats(2*time.Second + length) }},
	{"odd heartbeats", heartbeats, func(_ *run, v *vm, length time.Duration) { v.addOddHeartbeats(2*time.Second + length) }},
	{"hup", process, func(_ *run, v *vm, _ time.Duration) { v.signal(syscall.SIGHUP) }},
	{"cut", network, func(r *run, v *vm, length time.Duration) {
		r.setRule(v.ip, "*", faultproxy.Rule{Drop: true})
		r.setRule("*", v.ip, faultproxy.Rule{Drop: true})
		r.sleep(length)
		r.setRule(v.ip, "*", faultproxy.Rule{})
		r.setRule("*", v.ip, faultproxy.Rule{})
	}},
	{"cut inbound traffic", network, func(r *run, v *vm, length time.Duration) {
		r.setRule("*", v.ip, faultproxy.Rule{Drop: true})
		r.sleep(length)
		r.setRule("*", v.ip, faultproxy.Rule{})
	}},
	{"delay", network, func(r *run, v *vm, length time.Duration) {
		r.setRule(v.ip, "*", faultproxy.Rule{Delay: 150 * time.Millisecond})
		r.sleep(length)
		r.setRule(v.ip, "*", faultproxy.Rule{})
	}},
	{"blackhole links", network, func(r *run, v *vm, _ time.Duration) { r.meshProxy.Blackhole(v.ip, "") }},
	{"reset links", network, func(r *run, v *vm, _ time.Duration) { r.meshProxy.Reset("", v.ip) }},
	{"blackhole store connections", network, func(_ *run, v *vm, _ time.Duration) { v.storeProxy.Blackhole("", "") }},
	{"reset store connections", network, func(_ *run, v *vm, _ time.Duration) { v.storeProxy.Reset("", "") }},
	{"cut from store", network, func(r *run, v *vm, length time.Duration) {
		v.storeProxy.SetRules(func(string, string) faultproxy.Rule { return faultproxy.Rule{Drop: true} })
		r.sleep(length)
		v.storeProxy.SetRules(func(string, string) faultproxy.Rule { return faultproxy.Rule{} })
	}},
	{"store down", network, func(r *run, _ *vm, length time.Duration) {
		r.store.SetDown(true)
		r.sleep(length)
		r.store.SetDown(false)
	}},
	{"store truncates history", network, func(r *run, _ *vm, _ time.Duration) { r.store.TruncateHistory() }},
	{"store restored from older copy", network, func(r *run, _ *vm, length time.Duration) { r.restoreStore(length) }},
	{"target repeats a refusal", target, func(_ *run, v *vm, length time.Duration) { v.faultResponses(platformtest.RepeatedRefusal, length) }},
	{"target breaks responses", target, func(_ *run, v *vm, length time.Duration) { v.faultResponses(platformtest.BrokenResponse, length) }},
	{"target names a limit", target, func(_ *run, v *vm, length time.Duration) { v.limitUpstream(targetLimit, limitWindow+length) }},
	{"target says that it leaves", target, func(_ *run, v *vm, length time.Duration) { v.leaveUpstream(drainBound + deadline + length/2) }},
	{"target sends bytes without end", target, func(_ *run, v *vm, length time.Duration) { v.garbleUpstream(length) }},
	{"target sheds load", target, func(r *run, v *vm, length time.Duration) {
		v.mu.Lock()
		u := v.upstream
		v.mu.Unlock()
		u.SetShed(true)
		r.sleep(length)
		u.SetShed(false)
	}},
	{"target crashes", target, func(_ *run, v *vm, length time.Duration) { v.crashUpstream(length / 2) }},
	{"target drains", target, func(_ *run, v *vm, length time.Duration) { v.drainUpstream(drainBound+length/2, false) }},
	{"target drains, node killed", target, func(_ *run, v *vm, length time.Duration) { v.drainUpstream(drainBound+length/2, true) }},
	{"target withdraws", target, func(_ *run, v *vm, length time.Duration) { v.withdrawUpstream(2*length, time.Second+2*length, false) }},
	{"target withdraws, node killed", target, func(_ *run, v *vm, length time.Duration) { v.withdrawUpstream(0, time.Second+2*length, true) }},
	{"target closes connections", target, func(r *run, v *vm, length time.Duration) {
		v.mu.Lock()
		u := v.upstream
		v.mu.Unlock()
		for end := time.Now().Add(length); time.Now().Before(end) && r.ctx.Err() == nil; {
			u.Server.CloseClientConnections()
			r.sleep(50 * time.Millisecond)
		}
	}},
	{"config", network, func(r *run, _ *vm, _ time.Duration) { r.changeConfig() }},
	{"series of large configs", network, func(r *run, _ *vm, length time.Duration) {
		r.setLargeConfig(true)
		for range seriesLength {
			r.changeConfig()
			r.sleep(length / (2 * seriesLength))
		}
		r.setLargeConfig(false)
		r.changeConfig()
	}},
}

// outageFaults affect all nodes. They are drawn apart from the others, so that these and
// their order stay the same for a seed.
var outageFaults = []fault{
	{"target withdraws in an outage, all nodes killed", target, func(_ *run, v *vm, length time.Duration) { v.withdrawInOutage(length, syscall.SIGKILL, 0) }},
	{"target withdraws in an outage, nodes killed in turn", target, func(_ *run, v *vm, length time.Duration) {
		v.withdrawInOutage(length, syscall.SIGKILL, seriesPause)
	}},
	{"target withdraws in an outage, nodes stopped in turn", target, func(_ *run, v *vm, length time.Duration) {
		v.withdrawInOutage(length, syscall.SIGTERM, seriesPause)
	}},
}

// restoreStore lets the store lose what was written during age, and be away for a
// moment. The operator writes the configuration again.
func (r *run) restoreStore(age time.Duration) {
	r.configMu.Lock()
	older := r.store.Copy()
	r.configMu.Unlock()
	r.sleep(age)
	r.configMu.Lock()
	defer r.configMu.Unlock()
	r.store.SetDown(true)
	r.sleep(restoreOutage)
	r.store.Restore(older)
	r.store.SetDown(false)
	r.sleep(rewriteDelay)
	if err := r.writeConfig(); err != nil {
		r.recorder.addViolation("write configuration again: %v", err)
	}
}

func (r *run) changeConfig() {
	if err := r.putConfig(); err != nil {
		r.recorder.addViolation("write configuration: %v", err)
	}
}

func (r *run) setLargeConfig(large bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.largeConfig = large
}

func (r *run) restart(v *vm) {
	if err := v.start(); err != nil {
		r.recorder.addViolation("start node process of vm-%d: %v", v.index, err)
	}
}

// inject starts faults that the seed determines and waits until all have
// ended. Each fault is drawn with a VM and is skipped while an earlier fault of
// the same part of that VM lasts; all others may overlap. Faults of the store and
// the configuration affect all VMs, whichever VM they were drawn with.
func (r *run) inject() {
	var all sync.WaitGroup
	all.Go(func() { r.injectFrom(faults, r.rng, 0, 1200*time.Millisecond) })
	all.Go(func() {
		r.injectFrom(outageFaults, rand.New(rand.NewPCG(r.config.Seed, outageStream)), minOutagePause, maxOutagePause)
	})
	all.Wait()
}

// injectFrom starts faults of a list, with a pause between two of them.
func (r *run) injectFrom(list []fault, rng *rand.Rand, minPause, maxPause time.Duration) {
	begin := time.Now()
	var started sync.WaitGroup
	defer started.Wait()
	for time.Since(begin) < r.config.FaultDuration && r.ctx.Err() == nil {
		f := list[rng.IntN(len(list))]
		v := r.vms[rng.IntN(len(r.vms))]
		length := 200*time.Millisecond + time.Duration(rng.Int64N(int64(3*time.Second)))
		pause := minPause + time.Duration(rng.Int64N(int64(maxPause-minPause)))
		lane := v.busy[f.part]
		select {
		case lane <- struct{}{}:
			r.recordFault(fmt.Sprintf("%6.2f s %s, vm-%d, %v", time.Since(begin).Seconds(), f.name, v.index, length.Round(time.Millisecond)))
			started.Go(func() {
				f.inject(r, v, length)
				<-lane
			})
		default:
		}
		r.sleep(pause)
	}
}

func (r *run) recordFault(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, text)
}

// rule returns the rule for traffic between nodes. A rule for the exact pair
// precedes one for the source, which precedes one for the destination.
func (r *run) rule(from, to string) faultproxy.Rule {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, key := range [...]string{from + ">" + to, from + ">*", "*>" + to} {
		if rule, ok := r.rules[key]; ok {
			return rule
		}
	}
	return faultproxy.Rule{}
}

func (r *run) setRule(from, to string, rule faultproxy.Rule) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rule == (faultproxy.Rule{}) {
		delete(r.rules, from+">"+to)
		return
	}
	r.rules[from+">"+to] = rule
}
