package dispatch

import (
	"context"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"parsleyturn/internal/apierror"
	"parsleyturn/internal/eventlog"
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
		s.budgets.call(0, "a", false)
	}
	return s
}

func call(idempotent bool) *Call {
	return &Call{Service: "a", Route: &routetable.Route{Idempotent: idempotent, MaxAttempts: 2}, ArrivedAt: kernel.Uptime(), Deadline: kernel.Uptime() + time.Minute}
}

// Guards against a second run of a non-idempotent request and against a send
// beyond what the route, the time or the caller allow.
func TestAgain(t *testing.T) {
	left, cancel := context.WithCancel(context.Background())
	cancel()
	refused := &targethost.Refusal{Error: apierror.New(apierror.Overloaded, apierror.NotRun, "full")}
	late := &targethost.Refusal{Error: apierror.New(apierror.DeadlineExceeded, apierror.NotRun, "late")}
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
		{name: "full, most time left", change: func(c *Call) { c.ArrivedAt = kernel.Uptime() - 10*time.Second }, want: true},
		{name: "full, waited long", change: func(c *Call) { c.ArrivedAt = kernel.Uptime() - 50*time.Second }},
		{name: "no time at two nodes", last: late, try: 2},
		{name: "no time at one node", last: late, try: 1, want: true},
		{name: "past its deadline", change: func(c *Call) { c.Deadline = kernel.Uptime() }},
		{name: "caller left", ctx: left},
		{name: "body not kept", change: func(c *Call) { c.BodyRest = strings.NewReader("") }},
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
	f := service().final(c, &targethost.Refusal{Error: apierror.New(apierror.Overloaded, apierror.NotRun, "full")})
	assert.Equal(t, f.Outcome, apierror.Unknown)
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
				for i := range int(perSecond * 10) {
					now := time.Duration(float64(i) / perSecond * 1e9)
					b.call(now, "a", false)
					requests++
					if rnd.Float64() < 0.55 && b.take(now, "a", 0, true) {
						repeats++
					}
				}
			}
			bound := ratio*float64(requests) + slack*float64(max(nodes, 17))/17
			assert.Assert(t, float64(repeats) <= bound, "%d nodes, %v requests a second: %d repeats, bound %v", nodes, perSecond, repeats, bound)
		}
	}
}

// meshOfChains offers call chains of several levels whose targets refuse a part
// of what arrives, in virtual time, with one budget for each level on each
// node.
type meshOfChains struct {
	nodes, levels, fanOut int
	refused               float64 // share of arrivals that targets refuse
	deepOnly              bool    // only those of the last level refuse
	ran                   float64 // share of arrivals that fail after they ran
	assigned              float64 // share of calls that are assigned to their cause
	rnd                   *rand.Rand
	at                    []*budgets
	requests, repeats     [][]int // by level and second
	failed                [2]int  // chains, by rank
	begun                 [2]int
}

// send plays a request or call at a level and reports whether it succeeded.
func (m *meshOfChains) send(now time.Duration, level, rank int, ofRepeat bool) bool {
	b, service, second := m.at[m.rnd.IntN(m.nodes)], string(rune('a'+level)), int(now/time.Second)
	known := ofRepeat && m.rnd.Float64() < m.assigned
	b.call(now, service, known)
	m.requests[level][second]++
	if ofRepeat {
		m.repeats[level][second]++
	}
	for try := range 2 {
		if m.deepOnly && level+1 < m.levels || m.rnd.Float64() >= m.refused {
			ok := m.rnd.Float64() >= m.ran
			if level+1 < m.levels {
				for range m.fanOut {
					ok = m.send(now, level+1, rank, ofRepeat || try > 0) && ok
				}
			}
			if ok {
				return true
			}
			if try > 0 || !b.take(now, service, rank, false) {
				return false
			}
		} else if try > 0 || !b.take(now, service, rank, true) {
			return false
		}
		m.repeats[level][second]++
	}
	return false
}

func (m *meshOfChains) run(seconds, perSecond int) {
	m.rnd = rand.New(rand.NewPCG(3, uint64(m.nodes)))
	for range m.nodes {
		b := &budgets{slack: 49, window: 10 * time.Second}
		b.setNodes(m.nodes)
		m.at = append(m.at, b)
	}
	for range m.levels {
		m.requests, m.repeats = append(m.requests, make([]int, seconds)), append(m.repeats, make([]int, seconds))
	}
	for i := range seconds * perSecond {
		rank := 2
		if i%3 == 0 {
			rank = 0
		}
		m.begun[min(rank, 1)]++
		if !m.send(time.Duration(i)*time.Second/time.Duration(perSecond), 0, rank, false) {
			m.failed[min(rank, 1)]++
		}
	}
}

// The pattern: targets of every level refuse four arrivals in ten although they
// have room, or fail them after they ran. Guards against repeats beyond the
// bound at a deep level, where the calls of repeated runs count as repeats too,
// even if one call in five is not assigned to its cause.
func TestRepeatsOfChainsStayWithinTheBoundAtEveryLevel(t *testing.T) {
	const seconds = 40
	for _, m := range []*meshOfChains{
		{nodes: 17, levels: 4, fanOut: 2, refused: 0.4, assigned: 0.8},
		{nodes: 17, levels: 4, fanOut: 2, ran: 0.2, assigned: 0.8},
		{nodes: 4, levels: 4, fanOut: 2, refused: 0.3, ran: 0.1, assigned: 0.8},
		{nodes: 89, levels: 2, fanOut: 4, refused: 0.4, assigned: 0.8},
	} {
		m.run(seconds, 200)
		for level := range m.levels {
			for from := 10; from+10 <= seconds; from++ {
				requests, before, repeats := 0, 0, 0
				for s := from; s < from+10; s++ {
					requests += m.requests[level][s]
					before += m.requests[level][s-10]
					repeats += m.repeats[level][s]
				}
				bound := 0.2*float64(max(requests, before)) + 49
				assert.Assert(t, float64(repeats) <= bound, "%d nodes, level %d, second %d: %d repeats, bound %.0f", m.nodes, level, from, repeats, bound)
			}
		}
	}
}

// The pattern: every target of a deep service refuses four arrivals in ten, and
// each chain makes four calls there (srv_grey with shed all, both sites,
// scale-1). Guards against repeats that are spread over all chains, so that
// nearly all of them fail, bookings like browsing.
func TestUrgentChainsAreRepeatedFirst(t *testing.T) {
	m := &meshOfChains{nodes: 17, levels: 2, fanOut: 4, refused: 0.4, deepOnly: true, assigned: 0.8}
	m.run(20, 200)
	served := 1 - float64(m.failed[0])/float64(m.begun[0])
	alone := math.Pow(1-m.refused, float64(m.fanOut)) // without any repeat
	assert.Assert(t, served > 2*alone, "%.2f of the urgent chains are served, %.2f would be without repeats", served, alone)
	others := 1 - float64(m.failed[1])/float64(m.begun[1])
	assert.Assert(t, served > 1.5*others, "%.2f of the urgent chains are served, %.2f of the others", served, others)
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
	assert.Equal(t, s.TargetCount("a"), 1)
	s.noteReplaced(peer{id: "self", incarnation: 1})
	assert.Equal(t, s.TargetCount("a"), 0)
	s.noteReplaced(peer{id: "self", incarnation: 0})
	assert.Equal(t, s.TargetCount("a"), 1)
	assert.Equal(t, len(s.replaced), 0)
}
