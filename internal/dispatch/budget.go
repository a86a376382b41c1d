package dispatch

import (
	"sync"
	"time"

	"parsleyturn/internal/retry"
)

const (
	// retryRatio is the share of requests that a node repeats. The bound is 0.2
	// for all arrivals beyond the first at a service, and each of up to four
	// levels of a call chain adds its own repeats and those of its callers.
	retryRatio = 0.05
	// urgentRatio is a further share, for calls of the most urgent chains that
	// no target ran: repeats that repeat nothing below. With retryRatio it stays
	// a fifth under the bound, as one in five calls is not assigned to the
	// request that made it, and its repeats not counted below.
	urgentRatio = 0.11
	// urgentRank is the last rank for which it is used.
	urgentRank = 0
	// memoryShare is the part of the window over which that share is saved up.
	memoryShare = 0.25
	// slackShare is the part of the slack that the nodes use, for the same
	// reason.
	slackShare = 0.3
)

// budgets bounds the repeats to each service. Every node takes an equal part
// of what all may use, so that nothing has to be agreed on.
type budgets struct {
	slack  float64
	window time.Duration

	mu sync.Mutex
	// nodes is the largest number of nodes seen. A node that knows few others
	// for a while must not take their parts.
	nodes    int
	services map[string]*serviceBudget
}

// serviceBudget bounds the repeats to one service.
type serviceBudget struct {
	all    *retry.Budget
	urgent retry.DecayingBudget
}

func (b *budgets) setNodes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > b.nodes {
		b.nodes = n
		for _, s := range b.services {
			b.size(s)
		}
	}
}

func (b *budgets) size(s *serviceBudget) {
	part := slackShare * b.slack / float64(max(b.nodes, 1))
	s.all.Ratio, s.all.Max, s.all.PerSecond = retryRatio, max(part, 1), part/max(b.window.Seconds(), 1)
}

// budget returns the budget of a service. b.mu is held.
func (b *budgets) budget(service string) *serviceBudget {
	s := b.services[service]
	if s == nil {
		s = &serviceBudget{all: retry.NewBudget(), urgent: retry.DecayingBudget{Ratio: urgentRatio, TimeConstant: time.Duration(memoryShare * float64(b.window))}}
		b.size(s)
		if b.services == nil {
			b.services = make(map[string]*serviceBudget)
		}
		b.services[service] = s
	}
	return s
}

// call counts a request for a service. One that a repeated run makes is itself
// a repeat at that service, which cannot be refused any more.
func (b *budgets) call(now time.Duration, service string, ofRepeat bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.budget(service)
	s.all.RecordCall()
	s.urgent.RecordCall(now)
	if ofRepeat {
		s.urgent.Charge(now)
	}
}

// take uses one repeat if there is one. notRun says that no target has run the
// call, and rank is that of the request that began its chain.
func (b *budgets) take(now time.Duration, service string, rank int, notRun bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.budget(service)
	if notRun && rank <= urgentRank && s.urgent.Take(now) {
		return true
	}
	return !s.urgent.Overdrawn(now) && s.all.Take(now)
}
