package kernel

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the shortest suspension that is recorded. It exceeds the time
// between the readings of two clocks.
const minSuspension = 20 * time.Millisecond

var (
	started = time.Now()
	// suspended is the total time for which the VM was suspended, in ns.
	suspended atomic.Int64
	recordMu  sync.Mutex
	// bootLead is the lead of the boot clock over the monotonic clock when the
	// process started.
	bootLead = readBootLead()
)

// Uptime returns the monotonic time since the start of the process. Timeouts
// and intervals use it instead of the wall clock, which can jump. It includes the
// suspensions of the VM that have been recorded, in which the monotonic clock of the
// system stands still.
func Uptime() time.Duration { return time.Since(started) + time.Duration(suspended.Load()) }

// ObserveSuspension records the time for which the VM has been suspended since the
// last call. Call it before a permission is used that may have run out meanwhile.
func ObserveSuspension() {
	if lead := readBootLead(); lead > 0 && bootLead > 0 {
		recordTotal(lead - bootLead)
	}
}

// recordTotal records that the VM has been suspended for a time in total.
func recordTotal(total time.Duration) {
	recordMu.Lock()
	defer recordMu.Unlock()
	if missing := total - time.Duration(suspended.Load()); missing >= minSuspension {
		RecordSuspension(missing)
	}
}

// RecordSuspension records that the VM has been suspended for d.
func RecordSuspension(d time.Duration) { suspended.Add(int64(d)) }

// readBootLead returns the lead of the boot clock, which counts suspensions, over the
// monotonic clock, or 0 if there is no boot clock.
func readBootLead() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}
	// A lead of 0 is that of a VM that was never suspended.
	return max(time.Duration(boot.Nano()-monotonic.Nano()), 0) + 1
}
