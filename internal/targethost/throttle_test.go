package targethost

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/apierror"
	"parsleyturn/internal/callchain"
	"parsleyturn/internal/kernel"
	"parsleyturn/internal/throttle"
)

// Guards against a throttle that does not react to overload downstream, that
// reacts to failures that fewer requests would not prevent, or that refuses
// sub-calls or urgent requests.
func TestThrottleReactsToDownstreamOverload(t *testing.T) {
	late := &Refusal{Error: apierror.New(apierror.DeadlineExceeded, apierror.Unknown, "no response before the deadline"), SentToTarget: true}
	lateOverload := *late
	lateOverload.overload = true
	for _, c := range []struct {
		name      string
		chain     callchain.Chain
		response  *Response
		refusal   *Refusal
		throttled bool
	}{
		{name: "server error because of overload", chain: callchain.Chain{Rank: 2}, response: &Response{Status: 500, Overload: true}, throttled: true},
		{name: "deadline exceeded because of overload", chain: callchain.Chain{Rank: 2}, refusal: &lateOverload, throttled: true},
		{name: "server error for other reasons", chain: callchain.Chain{Rank: 2}, response: &Response{Status: 500}},
		{name: "deadline exceeded for other reasons", chain: callchain.Chain{Rank: 2}, refusal: late},
		{name: "success", chain: callchain.Chain{Rank: 2}, response: &Response{Status: 200}},
		{name: "urgent", chain: callchain.Chain{Rank: 0}, response: &Response{Status: 500, Overload: true}},
		{name: "sub-call", chain: callchain.Chain{Rank: 2, Depth: 1}, response: &Response{Status: 500, Overload: true}},
	} {
		h := &Host{throttle: throttle.New()}
		for range 100 {
			h.recordOutcome(&c.chain, kernel.Uptime(), "r", c.response, c.refusal)
		}
		time.Sleep(310 * time.Millisecond) // longer than the adjustment interval of the throttle
		refused := 0
		for range 1000 {
			if !h.admitChain(&c.chain, "r") {
				refused++
			}
		}
		assert.Equal(t, refused > 100, c.throttled, "%s: %d of 1000 requests are refused", c.name, refused)
	}
}
