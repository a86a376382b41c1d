package kernel

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a clock that stands still while the VM is suspended, so that a
// permission which has run out meanwhile still seems valid, against one that counts a
// suspension twice, and against one that goes back.
func TestUptimeIncludesSuspensions(t *testing.T) {
	defer suspended.Store(suspended.Load())
	before := Uptime()
	total := time.Duration(suspended.Load())
	for range 2 {
		recordTotal(total + 5*time.Second)
	}
	recordTotal(total + time.Second)
	recordTotal(total + 5*time.Second + minSuspension/2)
	passed := Uptime() - before
	assert.Assert(t, passed >= 5*time.Second && passed < 6*time.Second, "%v", passed)
	ObserveSuspension() // this machine was not suspended
	assert.Assert(t, Uptime()-before < 6*time.Second)
}
