package router

import (
	"testing"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/balancer"
	"parsleyturn/internal/executor"
	"parsleyturn/internal/policy"
	"parsleyturn/internal/wire"
)

// Guards against a field of a peer's load that is not passed to the balancer.
func TestBalancerLoadCopiesAllFields(t *testing.T) {
	got := balancerLoad(&wire.Load{InFlight: 1, Limit: 2, Queued: 3, Threshold: 4, LongThreshold: 5, Draining: true, Cold: true})
	want := &balancer.Load{InFlight: 1, Limit: 2, Queued: 3, Threshold: 4, LongThreshold: 5, Draining: true, Cold: true}
	assert.DeepEqual(t, got, want)
}

// Guards against reporting the threshold of short requests for a long sub-call,
// or the reverse, to the parent request.
func TestSubCallThresholdMatchesRequestLength(t *testing.T) {
	for _, long := range []bool{false, true} {
		parent := &executor.RunningRequest{}
		s := &Service{balancer: balancer.New()}
		call := &Call{Kind: policy.Kind{Service: "reports", Long: long}, Parent: parent}
		tr := &attemptTracker{s: s, call: call, node: "n1"}
		tr.reportResult(balancer.Refused, &wire.Load{Threshold: 2, LongThreshold: 6})
		want := map[bool]int{false: 2, true: 6}[long]
		assert.Equal(t, parent.Thresholds()["reports"], want, "long %v", long)
	}
}
