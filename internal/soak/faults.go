package soak

import (
	"fmt"
	"syscall"
	"time"

	"parsleyturn/internal/faultproxy"
)

// fault is one kind of fault. It returns when the fault has ended.
type fault struct {
	name string
	run  func(r *run, v *vm, length time.Duration)
}

var faults = []fault{
	{"pause", func(r *run, v *vm, length time.Duration) {
		v.signal(syscall.SIGSTOP)
		r.sleep(length)
		v.signal(syscall.SIGCONT)
	}},
	{"kill", func(r *run, v *vm, length time.Duration) {
		v.end(syscall.SIGKILL)
		r.sleep(length / 4)
		r.restart(v)
	}},
	{"term", func(r *run, v *vm, _ time.Duration) {
		v.end(syscall.SIGTERM)
		r.restart(v)
	}},
	{"hup", func(_ *run, v *vm, _ time.Duration) { v.signal(syscall.SIGHUP) }},
	{"cut", func(r *run, v *vm, length time.Duration) {
		r.setRule(v.ip, "*", faultproxy.Rule{Drop: true})
		r.setRule("*", v.ip, faultproxy.Rule{Drop: true})
		r.sleep(length)
		r.setRule(v.ip, "*", faultproxy.Rule{})
		r.setRule("*", v.ip, faultproxy.Rule{})
	}},
	{"cut one way", func(r *run, v *vm, length time.Duration) {
		r.setRule("*", v.ip, faultproxy.Rule{Drop: true})
		r.sleep(length)
		r.setRule("*", v.ip, faultproxy.Rule{})
	}},
	{"delay", func(r *run, v *vm, length time.Duration) {
		r.setRule(v.ip, "*", faultproxy.Rule{Delay: 150 * time.Millisecond})
		r.sleep(length)
		r.setRule(v.ip, "*", faultproxy.Rule{})
	}},
	{"silence links", func(r *run, v *vm, _ time.Duration) { r.links.Blackhole(v.ip, "") }},
	{"reset links", func(r *run, v *vm, _ time.Duration) { r.links.Reset("", v.ip) }},
	{"silence store", func(_ *run, v *vm, _ time.Duration) { v.store.Blackhole("", "") }},
	{"reset store", func(_ *run, v *vm, _ time.Duration) { v.store.Reset("", "") }},
	{"cut from store", func(r *run, v *vm, length time.Duration) {
		v.store.SetRules(func(string, string) faultproxy.Rule { return faultproxy.Rule{Drop: true} })
		r.sleep(length)
		v.store.SetRules(func(string, string) faultproxy.Rule { return faultproxy.Rule{} })
	}},
	{"store down", func(r *run, _ *vm, length time.Duration) {
		r.store.SetDown(true)
		r.sleep(length)
		r.store.SetDown(false)
	}},
	{"store forgets", func(r *run, _ *vm, _ time.Duration) { r.store.TruncateHistory() }},
	{"target sheds", func(r *run, v *vm, length time.Duration) {
		v.mu.Lock()
		u := v.upstream
		v.mu.Unlock()
		u.SetShed(true)
		r.sleep(length)
		u.SetShed(false)
	}},
	{"target crashes", func(_ *run, v *vm, length time.Duration) { v.crash(length / 2) }},
	{"target leaves", func(_ *run, v *vm, length time.Duration) { v.leave(drainBound + length/2) }},
	{"target breaks connections", func(r *run, v *vm, length time.Duration) {
		v.mu.Lock()
		u := v.upstream
		v.mu.Unlock()
		for end := time.Now().Add(length); time.Now().Before(end) && r.ctx.Err() == nil; {
			u.Server.CloseClientConnections()
			r.sleep(50 * time.Millisecond)
		}
	}},
	{"config", func(r *run, _ *vm, _ time.Duration) {
		if err := r.putConfig(); err != nil {
			r.record.broken("write of a configuration: %v", err)
		}
	}},
}

func (r *run) restart(v *vm) {
	if err := v.start(); err != nil {
		r.record.broken("vm-%d does not start: %v", v.index, err)
	}
}

// inject starts faults that follow from the seed and may overlap, and waits
// for the end of the last one. A VM has one fault of its own at a time, but
// those of the network, the store and the configuration come beside it.
func (r *run) inject() {
	begin := time.Now()
	busy := make([]chan struct{}, len(r.vms))
	for i := range busy {
		busy[i] = make(chan struct{}, 1)
	}
	done := make(chan struct{}, 1000)
	started := 0
	for time.Since(begin) < r.config.FaultDuration && r.ctx.Err() == nil {
		f := faults[r.rnd.IntN(len(faults))]
		v := r.vms[r.rnd.IntN(len(r.vms))]
		length := 200*time.Millisecond + time.Duration(r.rnd.Int64N(int64(3*time.Second)))
		pause := time.Duration(r.rnd.Int64N(int64(1200 * time.Millisecond)))
		select {
		case busy[v.index] <- struct{}{}:
			r.faults = append(r.faults, fmt.Sprintf("%6.2f s %s, vm-%d, %v", time.Since(begin).Seconds(), f.name, v.index, length.Round(time.Millisecond)))
			started++
			go func() {
				f.run(r, v, length)
				<-busy[v.index]
				done <- struct{}{}
			}()
		default:
		}
		r.sleep(pause)
	}
	for range started {
		<-done
	}
}

// rule is the rule for traffic between nodes.
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
