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
		s.budgets.recordRequest(0, "a", 0)
	}
	return s
}

func call(idempotent bool) *Call {
	return &Call{Service: "a", Route: &routetable.Route{Idempotent: idempotent, MaxAttempts: 2}, ArrivedAt: kernel.Uptime(), Deadline: kernel.Uptime() + time.Minute}
}

// Guards against sending a non-idempotent request again after it may have run,
// against another attempt when a limit is reached, the deadline has passed or
// the caller has disconnected, and against giving up although another attempt is
// safe.
func TestMayRetry(t *testing.T) {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	refused := &targethost.Refusal{Error: apierror.New(apierror.Overloaded, apierror.NotRun, "full")}
	late := &targethost.Refusal{Error: apierror.New(apierror.DeadlineExceeded, apierror.NotRun, "late")}
	for _, c := range []struct {
		name          string
		change        func(c *Call)
		nonIdempotent bool
		ctx           context.Context
		last          *targethost.Refusal
		try           int
		want          bool
	}{
		{name: "not sent to a target", want: true},
		{name: "non-idempotent, not sent to a target", nonIdempotent: true, want: true},
		{name: "refused by the target", change: func(c *Call) { c.targetsReached = 1 }, want: true},
		{name: "non-idempotent, refused by the target", nonIdempotent: true, change: func(c *Call) { c.targetsReached = 1 }, want: true},
		{name: "non-idempotent, may have run", nonIdempotent: true, change: func(c *Call) { c.targetsReached, c.mayHaveRun = 1, true }},
		{name: "idempotent, may have run", change: func(c *Call) { c.targetsReached, c.mayHaveRun = 1, true }, want: true},
		{name: "attempt limit of the route reached", change: func(c *Call) { c.targetsReached = 2 }},
		{name: "limit of nodes to try reached", try: maxRedirects + 1},
		{name: "overloaded, most time left", change: func(c *Call) { c.ArrivedAt = kernel.Uptime() - 10*time.Second }, want: true},
		{name: "overloaded, waited too long", change: func(c *Call) { c.ArrivedAt = kernel.Uptime() - 50*time.Second }},
		{name: "deadline exceeded at two nodes", last: late, try: 2},
		{name: "deadline exceeded at one node", last: late, try: 1, want: true},
		{name: "deadline passed", change: func(c *Call) { c.Deadline = kernel.Uptime() }},
		{name: "caller left", ctx: canceled},
		{name: "body not buffered", change: func(c *Call) { c.BodyRest = strings.NewReader("") }},
	} {
		cl := call(!c.nonIdempotent)
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
		got, why := service().mayRetry(ctx, cl, last, max(c.try, 1))
		assert.Equal(t, got, c.want, "%s: %s", c.name, why)
	}
}

// Guards against the outcome NotRun for a request that an earlier attempt may
// have run.
func TestFinalErrorIsNotRunOnlyIfNoAttemptMayHaveRun(t *testing.T) {
	c := call(true)
	c.mayHaveRun = true
	f := service().finalError(c, &targethost.Refusal{Error: apierror.New(apierror.Overloaded, apierror.NotRun, "full")})
	assert.Equal(t, f.Outcome, apierror.Unknown)
}

// Guards against retries to a service that exceed the bound for all nodes
// together, at several numbers of nodes and request rates. The failure occurs
// when the targets refuse more than half of the requests and the budgets of the
// nodes add up to more than the bound.
func TestRetryBudgetsOfAllNodesStayWithinBound(t *testing.T) {
	const ratio, slack = 0.2, 49.0
	rnd := rand.New(rand.NewPCG(1, 2))
	for _, nodes := range []int{1, 4, 17, 89} {
		for _, perSecond := range []float64{0, 1, 25, 300} {
			retries, requests := 0, 0
			for range nodes {
				b := &retryBudgets{slack: slack * float64(max(nodes, 17)) / 17, window: 10 * time.Second}
				b.setNodes(nodes)
				for i := range int(perSecond * 10) {
					now := time.Duration(float64(i) / perSecond * 1e9)
					b.recordRequest(now, "a", 0)
					requests++
					if rnd.Float64() < 0.55 && b.take(now, "a", true, true) {
						retries++
					}
				}
			}
			bound := ratio*float64(requests) + slack*float64(max(nodes, 17))/17
			assert.Assert(t, float64(retries) <= bound, "%d nodes, %v requests per second: %d retries, want at most %v", nodes, perSecond, retries, bound)
		}
	}
}

// chainSimulation simulates, in virtual time, call chains of several levels
// whose targets refuse some arrivals. Each node has one retry budget for each
// level.
type chainSimulation struct {
	nodes, levels, fanOut int
	refused               float64 // ratio of arrivals that targets refuse
	onlyLastLevelRefuses  bool    // only targets of the last level refuse
	failedAfterRun        float64 // ratio of arrivals that fail after they ran
	linked                float64 // ratio of sub-calls that are linked to their parent request
	rnd                   *rand.Rand
	budgets               []*retryBudgets
	requests, retries     [][]int // by level and second
	failed                [2]int  // chains: of rank 0, of other ranks
	started               [2]int  // likewise
}

// send simulates a request or sub-call at a level and reports whether it
// succeeded.
func (m *chainSimulation) send(now time.Duration, level, rank int, ofRetry bool) bool {
	b, service, second := m.budgets[m.rnd.IntN(m.nodes)], string(rune('a'+level)), int(now/time.Second)
	retried := m.retriedShare(level-1, second)
	if m.rnd.Float64() < m.linked {
		retried = 0
		if ofRetry {
			retried = 1
		}
	}
	b.recordRequest(now, service, retried)
	m.requests[level][second]++
	if ofRetry {
		m.retries[level][second]++
	}
	for try := range 2 {
		if m.onlyLastLevelRefuses && level+1 < m.levels || m.rnd.Float64() >= m.refused {
			ok := m.rnd.Float64() >= m.failedAfterRun
			if level+1 < m.levels {
				for range m.fanOut {
					ok = m.send(now, level+1, rank, ofRetry || try > 0) && ok
				}
			}
			if ok {
				return true
			}
			if try > 0 || !b.take(now, service, rank == 0, false) {
				return false
			}
		} else if try > 0 || !b.take(now, service, rank == 0, true) {
			return false
		}
		m.retries[level][second]++
	}
	return false
}

// retriedShare returns the share of the requests at a level that are retries, which
// the nodes see among the requests at their targets.
func (m *chainSimulation) retriedShare(level, second int) float64 {
	if level < 0 || m.requests[level][second] == 0 {
		return 0
	}
	return float64(m.retries[level][second]) / float64(m.requests[level][second]+m.retries[level][second])
}

func (m *chainSimulation) run(seconds, perSecond int) {
	m.rnd = rand.New(rand.NewPCG(3, uint64(m.nodes)))
	for range m.nodes {
		b := &retryBudgets{slack: 49, window: 10 * time.Second}
		b.setNodes(m.nodes)
		m.budgets = append(m.budgets, b)
	}
	for range m.levels {
		m.requests, m.retries = append(m.requests, make([]int, seconds)), append(m.retries, make([]int, seconds))
	}
	for i := range seconds * perSecond {
		rank := 2
		if i%3 == 0 {
			rank = 0
		}
		m.started[min(rank, 1)]++
		if !m.send(time.Duration(i)*time.Second/time.Duration(perSecond), 0, rank, false) {
			m.failed[min(rank, 1)]++
		}
	}
}

// Guards against retries beyond the bound at any level of a call chain, where
// the sub-calls of retried requests count as retries too, even if one sub-call
// in five is not linked to its parent request, or none. The failure occurs when targets
// of every level refuse three or four arrivals in ten although they have
// capacity, or fail one or two in ten after running them.
func TestChainRetriesStayWithinBoundAtEveryLevel(t *testing.T) {
	const seconds = 40
	for _, m := range []*chainSimulation{
		{nodes: 17, levels: 4, fanOut: 2, refused: 0.4, linked: 0.8},
		{nodes: 17, levels: 4, fanOut: 2, failedAfterRun: 0.2, linked: 0.8},
		{nodes: 4, levels: 4, fanOut: 2, refused: 0.3, failedAfterRun: 0.1, linked: 0.8},
		{nodes: 89, levels: 2, fanOut: 4, refused: 0.4, linked: 0.8},
		{nodes: 17, levels: 4, fanOut: 2, refused: 0.4},
		{nodes: 17, levels: 4, fanOut: 2, failedAfterRun: 0.2},
		{nodes: 17, levels: 3, fanOut: 4, refused: 0.55, onlyLastLevelRefuses: true},
		{nodes: 89, levels: 3, fanOut: 4, refused: 0.4, failedAfterRun: 0.1},
	} {
		m.run(seconds, 200)
		for level := range m.levels {
			for from := 10; from+10 <= seconds; from++ {
				requests, before, retries := 0, 0, 0
				for s := from; s < from+10; s++ {
					requests += m.requests[level][s]
					before += m.requests[level][s-10]
					retries += m.retries[level][s]
				}
				bound := 0.2*float64(max(requests, before)) + 49
				assert.Assert(t, float64(retries) <= bound, "%d nodes, level %d, second %d: %d retries, want at most %.0f", m.nodes, level, from, retries, bound)
			}
		}
	}
}

// Guards against spreading retries over all chains, so that nearly all of them
// fail, urgent ones (bookings) as well as others (browsing). The failure occurs
// when every target of a downstream service refuses four arrivals in ten and
// each chain makes four sub-calls there (scenario srv_grey with shed all, both
// sites, scale-1).
func TestUrgentChainsAreRetriedFirst(t *testing.T) {
	m := &chainSimulation{nodes: 17, levels: 2, fanOut: 4, refused: 0.4, onlyLastLevelRefuses: true, linked: 0.8}
	m.run(20, 200)
	succeeded := 1 - float64(m.failed[0])/float64(m.started[0])
	withoutRetries := math.Pow(1-m.refused, float64(m.fanOut))
	assert.Assert(t, succeeded > 2*withoutRetries, "%.2f of the urgent chains succeeded, %.2f would succeed without retries", succeeded, withoutRetries)
	others := 1 - float64(m.failed[1])/float64(m.started[1])
	assert.Assert(t, succeeded > 1.5*others, "%.2f of the urgent chains succeeded, %.2f of the others", succeeded, others)
}

// Guards against a node that uses the slack of others while it knows only few
// nodes, for example after a network partition.
func TestBudgetKeepsItsShareWhenNodesDisappear(t *testing.T) {
	b := &retryBudgets{slack: 49, window: 10 * time.Second}
	b.setNodes(17)
	b.setNodes(1)
	assert.Equal(t, b.maxNodes, 17)
}

// Guards against requests that are sent to a replaced node until gossip detects
// the replacement, and against a node that stays excluded after it has returned
// with another incarnation.
// The failure occurs when a VM is replaced and its address is given to the next
// one.
func TestNodeAtReusedAddressIsExcluded(t *testing.T) {
	member := func(id string, incarnation uint64) membership.Node {
		return membership.Node{ID: id, Incarnation: incarnation, GossipAddr: "127.0.0.1:1", Service: "a", Slots: 1}
	}
	s := service()
	s.Members = gossip.New(member("self", 1), "127.0.0.1:0", nil, zerolog.Nop())
	assert.Equal(t, s.TargetCount("a"), 1)
	s.markReplaced(peer{id: "self", incarnation: 1})
	assert.Equal(t, s.TargetCount("a"), 0)
	s.markReplaced(peer{id: "self", incarnation: 0})
	assert.Equal(t, s.TargetCount("a"), 1)
	assert.Equal(t, len(s.replacedIncarnations), 0)
}

// Guards against calls that give up on the only node left while they have time, and
// against a full node that takes the time in which the others could be tried.
// The failure occurs when the other nodes of a service restart at the same time.
func TestWaitsAreSharedByNodesLeftToTry(t *testing.T) {
	arrived := 5 * time.Second
	c := &Call{ArrivedAt: arrived, Deadline: arrived + 1200*time.Millisecond}
	assert.Equal(t, c.maxWait(arrived, 1), 400*time.Millisecond)
	assert.Equal(t, c.maxWait(arrived, 0), 400*time.Millisecond)
	assert.Equal(t, c.maxWait(arrived+800*time.Millisecond, 1), minWait)
	// A call that waits its whole share at each node has tried all of them in time.
	now := arrived
	for nodes := maxRedirects + 1; nodes > 0; nodes-- {
		wait := c.maxWait(now, nodes)
		assert.Equal(t, wait, 80*time.Millisecond)
		now += wait
	}
	assert.Assert(t, now <= arrived+400*time.Millisecond)
}
