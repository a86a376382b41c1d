package soak

import (
	"net/http"
	"time"

	"parsleyturn/platform/platformtest"
)

// heartbeat is an announcement of a target.
type heartbeat struct {
	upstream  *platformtest.Upstream
	state     string
	sequence  int
	startedAt int64
}

// lateness returns by how much a heartbeat arrives late, from 1 s to 8 s.
func (h heartbeat) lateness() time.Duration {
	return time.Second + time.Duration(h.sequence*37%71)*100*time.Millisecond
}

// announceLoop sends the target's heartbeats until the run ends.
func (v *vm) announceLoop() {
	for v.run.ctx.Err() == nil {
		v.announceUpstream()
		select {
		case <-v.run.ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// announceUpstream sends the next heartbeat, beside or after those that a fault adds.
func (v *vm) announceUpstream() {
	h, ok := v.nextHeartbeat()
	if !ok {
		return
	}
	v.mu.Lock()
	late, odd := v.lateHeartbeats, v.oddHeartbeats
	v.mu.Unlock()
	if odd {
		v.sendHeartbeat(heartbeat{h.upstream, "ready", int(time.Now().UnixMilli()), 0})
	}
	if late && h.state == "ready" {
		v.run.wg.Go(func() {
			v.run.sleep(h.lateness())
			v.sendHeartbeat(h)
		})
		return
	}
	v.sendHeartbeat(h)
}

// nextHeartbeat returns the next heartbeat of the target, or false if it sends none.
func (v *vm) nextHeartbeat() (heartbeat, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.silent {
		return heartbeat{}, false
	}
	v.sequence++
	state := "ready"
	if v.draining {
		state = "draining"
	}
	return heartbeat{v.upstream, state, v.sequence, v.startedAt}, true
}

func (v *vm) sendHeartbeat(h heartbeat) {
	status, err := platformtest.Announce(v.run.httpClient, v.controlAddress, h.upstream, v.service, h.state, h.sequence, h.startedAt)
	if err == nil && status == http.StatusOK && h.state == "draining" {
		v.run.recorder.recordDeparture(h.upstream.ID, "draining")
	}
}

// delayHeartbeats lets the heartbeats that say that the target is ready arrive late for
// the duration.
func (v *vm) delayHeartbeats(d time.Duration) {
	set := func(late bool) {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.lateHeartbeats = late
	}
	set(true)
	v.run.sleep(d)
	set(false)
}

// addOddHeartbeats lets another writer send heartbeats for the duration that name the
// target, claim the latest order and lack its start.
func (v *vm) addOddHeartbeats(d time.Duration) {
	set := func(odd bool) {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.oddHeartbeats = odd
	}
	set(true)
	v.run.sleep(d)
	set(false)
}
