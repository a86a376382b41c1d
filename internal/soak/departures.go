package soak

import (
	"net/http"
	"sync"
	"syscall"
	"time"

	"parsleyturn/platform/platformtest"
)

const (
	// withdrawalPatience is how long a target repeats a withdrawal that was not
	// acknowledged.
	withdrawalPatience = 5 * time.Second
	// lateService is how long a target serves after the last heartbeat that arrives
	// late, so that requests show whether the heartbeat was believed.
	lateService = drainBound + 500*time.Millisecond
	// outageMargin is the length of an outage beyond that of its fault. It exceeds the
	// time in which a node acknowledges a departure without the store.
	outageMargin = time.Second
)

// leaveUpstream lets the target say in its responses that it leaves, while its
// announcements say that it is ready, and then stops it and starts the next one.
func (v *vm) leaveUpstream(d time.Duration) {
	v.mu.Lock()
	u := v.upstream
	v.leaving = true
	v.mu.Unlock()
	u.SetHealthy(false)
	v.run.sleep(d)
	v.replaceUpstream(u, 0)
}

// drainUpstream announces that the target is draining, lets it serve for drainTime,
// stops it and starts the next one. If kill is set, the node process is killed as soon
// as it has acknowledged the announcement.
func (v *vm) drainUpstream(drainTime time.Duration, kill bool) {
	kill = kill && v.reserveProcess()
	v.mu.Lock()
	u := v.upstream
	v.draining = true
	v.mu.Unlock()
	u.SetHealthy(false)
	v.announceUpstream()
	if kill {
		v.killAndRestart()
	}
	v.run.sleep(drainTime)
	v.replaceUpstream(u, 0)
}

// withdrawUpstream withdraws the target without an announcement that it is draining.
// Its heartbeats stop earlier by silence, so that the node may have lost it, and one of
// them arrives lateness after the withdrawal. If kill is set, the node process is killed
// as soon as it has acknowledged the withdrawal.
func (v *vm) withdrawUpstream(silence, lateness time.Duration, kill bool) {
	kill = kill && v.reserveProcess()
	late, sent := v.nextHeartbeat()
	v.mu.Lock()
	u := v.upstream
	v.silent = true
	v.mu.Unlock()
	v.run.sleep(silence)
	name := "its withdrawal"
	if kill {
		name = "its withdrawal, before a kill of the node,"
	}
	v.withdraw(u, name)
	if kill {
		v.killAndRestart()
	}
	v.run.sleep(lateness)
	if sent {
		v.sendHeartbeat(late)
	}
	v.run.sleep(lateService)
	v.replaceUpstream(u, 0)
}

// withdraw withdraws the target until its node acknowledges that.
func (v *vm) withdraw(u *platformtest.Upstream, name string) {
	u.SetHealthy(false)
	for end := time.Now().Add(withdrawalPatience); time.Now().Before(end) && v.run.ctx.Err() == nil; {
		status, err := platformtest.Withdraw(v.run.httpClient, v.controlAddress, u)
		if err == nil && status/100 == http.StatusOK/100 {
			v.run.recorder.recordDeparture(u.ID, name)
			return
		}
		v.run.sleep(heartbeatInterval)
	}
}

// withdrawInOutage withdraws the target during an outage of the store, and ends the
// processes of all nodes by a signal, one after the other with the given pause. The
// store is back meanwhile or later. A heartbeat from before arrives last.
func (v *vm) withdrawInOutage(length time.Duration, s syscall.Signal, pause time.Duration) {
	late, sent := v.nextHeartbeat()
	v.mu.Lock()
	u := v.upstream
	v.silent = true
	v.mu.Unlock()
	v.run.store.SetDown(true)
	restored := make(chan struct{})
	go func() {
		defer close(restored)
		v.run.sleep(outageMargin + length)
		v.run.store.SetDown(false)
	}()
	v.run.sleep(outageMargin / 2)
	v.withdraw(u, "its withdrawal in an outage of the store, before the nodes were restarted,")
	var restarts sync.WaitGroup
	for i, other := range v.run.vms {
		restarts.Go(func() {
			v.run.sleep(time.Duration(i) * pause)
			if other.reserveProcess() {
				other.stop(s)
				v.run.restart(other)
				<-other.busy[process]
			}
		})
	}
	restarts.Wait()
	<-restored
	v.run.sleep(time.Second)
	if sent {
		v.sendHeartbeat(late)
	}
	v.run.sleep(lateService)
	v.replaceUpstream(u, 0)
}

// reserveProcess keeps other faults of the node process away until killAndRestart. It
// returns false if there is one already.
func (v *vm) reserveProcess() bool {
	select {
	case v.busy[process] <- struct{}{}:
		return true
	default:
		return false
	}
}

func (v *vm) killAndRestart() {
	v.stop(syscall.SIGKILL)
	v.run.restart(v)
	<-v.busy[process]
}

// crashUpstream stops the target without an announcement and starts the next one
// after the pause.
func (v *vm) crashUpstream(pause time.Duration) {
	v.mu.Lock()
	u := v.upstream
	v.mu.Unlock()
	v.replaceUpstream(u, pause)
}

// replaceUpstream stops the target and starts the next one after the pause.
func (v *vm) replaceUpstream(u *platformtest.Upstream, pause time.Duration) {
	v.mu.Lock()
	v.silent = true
	v.mu.Unlock()
	u.Crash()
	v.run.sleep(pause)
	v.startUpstream()
}
