package kernel

import "time"

var started = time.Now()

// Uptime returns the monotonic time since the start of the process. Timeouts
// and intervals use it instead of the wall clock, which can jump.
func Uptime() time.Duration { return time.Since(started) }
