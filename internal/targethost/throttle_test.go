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

// Guards against a throttle that acts on failures which fewer requests would
// not make fewer, or that refuses calls within a chain or urgent requests.
func TestThrottleActsOnOverloadDeeperInTheChain(t *testing.T) {
	late := &Refusal{Error: apierror.New(apierror.DeadlineExceeded, apierror.Unknown, "no answer in time"), Reached: true}
	lateOverload := *late
	lateOverload.overload = true
	for _, c := range []struct {
		name      string
		chain     callchain.Chain
		answer    *Response
		refusal   *Refusal
		throttled bool
	}{
		{name: "failures for want of room", chain: callchain.Chain{Rank: 2}, answer: &Response{Status: 500, Overload: true}, throttled: true},
		{name: "too late for want of room", chain: callchain.Chain{Rank: 2}, refusal: &lateOverload, throttled: true},
		{name: "other failures", chain: callchain.Chain{Rank: 2}, answer: &Response{Status: 500}},
		{name: "too late for other reasons", chain: callchain.Chain{Rank: 2}, refusal: late},
		{name: "success", chain: callchain.Chain{Rank: 2}, answer: &Response{Status: 200}},
		{name: "urgent", chain: callchain.Chain{Rank: 0}, answer: &Response{Status: 500, Overload: true}},
		{name: "call", chain: callchain.Chain{Rank: 2, Depth: 1}, answer: &Response{Status: 500, Overload: true}},
	} {
		h := &Host{throttle: throttle.New()}
		for range 100 {
			h.noteEnd(&c.chain, kernel.Uptime(), "r", c.answer, c.refusal)
		}
		time.Sleep(310 * time.Millisecond) // the interval of the throttle
		refused := 0
		for range 1000 {
			if !h.admit(&c.chain, "r") {
				refused++
			}
		}
		assert.Equal(t, refused > 100, c.throttled, "%s: %d of 1000 are refused", c.name, refused)
	}
}
