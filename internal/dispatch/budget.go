package dispatch

import (
	"sync"
	"time"

	"parsleyturn/internal/kernel"
	"parsleyturn/internal/retry"
)

const (
	// retryRatio is the share of requests that a node repeats. The bound is 0.2
	// for all arrivals beyond the first at a service, and each of up to four
	// levels of a call chain adds its own repeats and those of its callers.
	retryRatio = 0.05
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
	services map[string]*retry.Budget
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

func (b *budgets) size(s *retry.Budget) {
	part := slackShare * b.slack / float64(max(b.nodes, 1))
	s.Ratio, s.Max, s.PerSecond = retryRatio, max(part, 1), part/max(b.window.Seconds(), 1)
}

// budget returns the budget of a service. b.mu is held.
func (b *budgets) budget(service string) *retry.Budget {
	s := b.services[service]
	if s == nil {
		s = retry.NewBudget()
		b.size(s)
		if b.services == nil {
			b.services = make(map[string]*retry.Budget)
		}
		b.services[service] = s
	}
	return s
}

// call counts a request for a service.
func (b *budgets) call(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service).Call()
}

// take uses one repeat if there is one.
func (b *budgets) take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(service).Take(kernel.Uptime())
}
