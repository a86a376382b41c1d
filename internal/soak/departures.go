package soak

import (
	"net/http"
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
)

// leaveUpstream lets the target say in its responses that it leaves, while its
// announcements say that it is ready, and then stops it and starts the next one.
func (v *vm) leaveUpstream(d time.Duration) {
	v.mu.Lock()
	u := v.upstream
	v.leaving = true
	v.mu.Unlock()
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
	for end := time.Now().Add(withdrawalPatience); time.Now().Before(end) && v.run.ctx.Err() == nil; {
		status, err := platformtest.Withdraw(v.run.httpClient, v.controlAddress, u)
		if err == nil && status/100 == http.StatusOK/100 {
			v.run.recorder.recordDeparture(u.ID, withdrawalName(kill))
			break
		}
		v.run.sleep(heartbeatInterval)
	}
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

func withdrawalName(kill bool) string {
	if kill {
		return "its withdrawal, before a kill of the node,"
	}
	return "its withdrawal"
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
