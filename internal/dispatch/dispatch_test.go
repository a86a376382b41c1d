package dispatch

import (
	"context"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"parsleyturn/internal/eventlog"
	"parsleyturn/internal/fault"
	"parsleyturn/internal/gossip"
	"parsleyturn/internal/kernel"
	"parsleyturn/internal/membership"
	"parsleyturn/internal/routetable"
	"parsleyturn/internal/targethost"
)

func service() *Service {
	s := &Service{Log: eventlog.Nop()}
	s.budgets.slack, s.budgets.window = 49, 10*time.Second
	s.budgets.setNodes(1)
	for range 100 {
		s.budgets.call("a")
	}
	return s
}

func call(idempotent bool) *Call {
	return &Call{Service: "a", Route: &routetable.Route{Idempotent: idempotent, MaxAttempts: 2}, Begin: kernel.Uptime(), Deadline: kernel.Uptime() + time.Minute}
}

// Guards against a second run of a non-idempotent request and against a send
// beyond what the route, the time or the caller allow.
func TestAgain(t *testing.T) {
	left, cancel := context.WithCancel(context.Background())
	cancel()
	refused := &targethost.Refusal{Error: fault.New(fault.Overloaded, fault.NotRun, "full")}
	late := &targethost.Refusal{Error: fault.New(fault.DeadlineExceeded, fault.NotRun, "late")}
	for _, c := range []struct {
		name   string
		change func(c *Call)
		unsafe bool
		ctx    context.Context
		last   *targethost.Refusal
		try    int
		want   bool
	}{
		{name: "not sent", want: true},
		{name: "unsafe, not sent", unsafe: true, want: true},
		{name: "refused by the target", change: func(c *Call) { c.reached = 1 }, want: true},
		{name: "unsafe, refused by the target", unsafe: true, change: func(c *Call) { c.reached = 1 }, want: true},
		{name: "unsafe, may have run", unsafe: true, change: func(c *Call) { c.reached, c.uncertain = 1, true }},
		{name: "safe, may have run", change: func(c *Call) { c.reached, c.uncertain = 1, true }, want: true},
		{name: "enough targets", change: func(c *Call) { c.reached = 2 }},
		{name: "enough nodes", try: maxRedirects + 1},
		{name: "full, most time left", change: func(c *Call) { c.Begin = kernel.Uptime() - 10*time.Second }, want: true},
		{name: "full, waited long", change: func(c *Call) { c.Begin = kernel.Uptime() - 50*time.Second }},
		{name: "no time at two nodes", last: late, try: 2},
		{name: "no time at one node", last: late, try: 1, want: true},
		{name: "past its deadline", change: func(c *Call) { c.Deadline = kernel.Uptime() }},
		{name: "caller left", ctx: left},
		{name: "body not kept", change: func(c *Call) { c.More = strings.NewReader("") }},
	} {
		cl := call(!c.unsafe)
		if c.change != nil {
			c.change(cl)
		}
		ctx, last := c.ctx, c.last
		if ctx == nil {
			ctx = context.Background()
		}
		if last == nil {
			last = refused
		}
		got, why := service().again(ctx, cl, last, max(c.try, 1))
		assert.Equal(t, got, c.want, "%s: %s", c.name, why)
	}
}

// Guards against "not run" for a request of which an earlier attempt may have
// run.
func TestFinalAnswerIsNoFalsePromise(t *testing.T) {
	c := call(true)
	c.uncertain = true
	f := service().final(c, &targethost.Refusal{Error: fault.New(fault.Overloaded, fault.NotRun, "full")})
	assert.Equal(t, f.Outcome, fault.Unknown)
}

// The pattern: every target of a service refuses more than half of what
// arrives, and the chain above it is four levels deep. Guards against repeats
// beyond the bound of all nodes together, whatever their number and load.
func TestBudgetsOfAllNodesStayWithinTheBound(t *testing.T) {
	const ratio, slack = 0.2, 49.0
	rnd := rand.New(rand.NewPCG(1, 2))
	for _, nodes := range []int{1, 4, 17, 89} {
		for _, perSecond := range []float64{0, 1, 25, 300} {
			repeats, requests := 0, 0
			for range nodes {
				b := &budgets{slack: slack * float64(max(nodes, 17)) / 17, window: 10 * time.Second}
				b.setNodes(nodes)
				for range int(perSecond * 10) {
					b.call("a")
					requests++
					if rnd.Float64() < 0.55 && b.take("a") {
						repeats++
					}
				}
			}
			bound := ratio*float64(requests) + slack*float64(max(nodes, 17))/17
			assert.Assert(t, float64(repeats) <= bound, "%d nodes, %v requests a second: %d repeats, bound %v", nodes, perSecond, repeats, bound)
		}
	}
}

// Guards against nodes that take the parts of others while they know few.
func TestBudgetKeepsItsPartWhileNodesAreUnknown(t *testing.T) {
	b := &budgets{slack: 49, window: 10 * time.Second}
	b.setNodes(17)
	b.setNodes(1)
	assert.Equal(t, b.nodes, 17)
}

// The pattern: a VM is replaced and its address goes to the next one. Guards
// against requests that go to the old node again and again until gossip finds
// out, and against a node that stays left out after it came back.
func TestNodeAtAReusedAddressIsLeftOut(t *testing.T) {
	member := func(id string, incarnation uint64) membership.Node {
		return membership.Node{ID: id, Incarnation: incarnation, GossipAddr: "127.0.0.1:1", Service: "a", Slots: 1}
	}
	s := service()
	s.Members = gossip.New(member("self", 1), "127.0.0.1:0", nil, zerolog.Nop())
	assert.Equal(t, s.Targets("a"), 1)
	s.noteReplaced(peer{id: "self", incarnation: 1})
	assert.Equal(t, s.Targets("a"), 0)
	s.noteReplaced(peer{id: "self", incarnation: 0})
	assert.Equal(t, s.Targets("a"), 1)
	assert.Equal(t, len(s.replaced), 0)
}
