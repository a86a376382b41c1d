package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"parsleyturn/platform/platformtest"
)

// startUpstream starts the next instance of the target.
func (v *vm) startUpstream() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.upstreamCount++
	u := platformtest.NewUpstream(fmt.Sprintf("i-%d-%d", v.index, v.upstreamCount))
	u.SetProcessingTime(time.Duration(5+5*v.index) * time.Millisecond)
	u.OnExecution(func(execution platformtest.Execution) { v.run.recorder.recordExecution(v.index, u.ID, execution) })
	u.SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
		return v.handleGarbled(w) || v.addSignals(w, u.ID) || v.handleSubCall(w, r)
	})
	v.upstream, v.draining, v.silent, v.sequence, v.startedAt = u, false, false, 0, time.Now().UnixMilli()
	v.limit, v.leaving, v.garbled = 0, false, false
}

// handleGarbled sends bytes without end that are no response, until the node
// closes the connection, if the target is to do that. It reports whether it did.
func (v *vm) handleGarbled(w http.ResponseWriter) bool {
	v.mu.Lock()
	garbled := v.garbled
	v.mu.Unlock()
	if !garbled {
		return false
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return false
	}
	defer conn.Close()
	for block := []byte(strings.Repeat("X-Filler: 1\r\n", 500)); err == nil; {
		_, err = conn.Write(block)
	}
	return true
}

// addSignals adds what the target says about itself to a response. It reports
// false, as the response is yet to be written.
func (v *vm) addSignals(w http.ResponseWriter, target string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.limit > 0 {
		platformtest.SetLimit(w.Header(), v.limit)
		v.run.recorder.recordLimit(target, v.limit)
	} else {
		v.run.recorder.recordLimit(target, 0)
	}
	if v.leaving {
		platformtest.SetLeaving(w.Header())
	}
	return false
}

// limitUpstream lets the target name a limit for the duration.
func (v *vm) limitUpstream(rate float64, d time.Duration) {
	set := func(rate float64) {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.limit = rate
	}
	set(rate)
	v.run.sleep(d)
	set(0)
}

// garbleUpstream lets the target send bytes that are no response for the
// duration.
func (v *vm) garbleUpstream(d time.Duration) {
	set := func(garbled bool) {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.garbled = garbled
	}
	set(true)
	v.run.sleep(d)
	set(false)
}

// faultResponses lets the target's responses have a fault for the duration.
func (v *vm) faultResponses(f platformtest.ResponseFault, d time.Duration) {
	v.mu.Lock()
	u := v.upstream
	v.mu.Unlock()
	u.SetResponseFault(f)
	v.run.sleep(d)
	u.SetResponseFault(platformtest.NoResponseFault)
}
