package callerconn

import (
	"os"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
)

// defaultDescriptors is assumed where the limit of the process cannot be read.
const defaultDescriptors = 1024

// DescriptorLimit returns the number of descriptors that the process may use: that of
// the settings, or 0 if they name none, and at most that of the process.
func DescriptorLimit(configured int) int {
	limit := defaultDescriptors
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err == nil {
		limit = int(min(r.Cur, 1<<20))
	}
	if configured > 0 {
		limit = min(limit, configured)
	}
	descriptorLimit.Set(float64(limit))
	return limit
}

var descriptorLimit = metrics.NewGauge(`parsley_descriptors_limit`, nil)

var _ = metrics.NewGauge(`parsley_descriptors_open`, func() float64 {
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return -1
	}
	return float64(len(entries))
})
