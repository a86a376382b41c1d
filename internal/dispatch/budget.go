package dispatch

import (
	"sync"
	"time"

	"parsleyturn/internal/retry"
)

const (
	// retryRatio is the ratio of retries to requests at a service, summed over all
	// nodes: the arrivals of its requests beyond their first, including those of
	// sub-calls of retried requests. It stays a fifth below the bound of 0.2,
	// because the share of sub-calls that belong to retried requests is in part an
	// estimate.
	retryRatio = 0.16
	// retryWindowShare is the time constant of the budget as a fraction of the retry
	// window.
	retryWindowShare = 0.25
	// maxUrgentRank is the highest rank number of urgent call chains.
	maxUrgentRank = 0
	// Retries take from the budget only while more than a share of it is left. The
	// last fifth is for urgent chains. A request that may have run needs two thirds,
	// because its sub-calls are repeated, too.
	reserveForUrgent = 0.2
	reserveForNotRun = 0.65
	// slackShare is the fraction of the configured slack that the nodes use. The
	// rest is a reserve for sub-calls whose parent is not known.
	slackShare = 0.3
)

// retryBudgets bounds the retries to each service. Every node may send a ratio
// of its own requests and an equal share of the slack, so that the nodes need
// no coordination.
type retryBudgets struct {
	slack  float64
	window time.Duration

	mu sync.Mutex
	// maxNodes is the largest number of nodes seen. A node that temporarily
	// knows few others must not use their shares of the slack.
	maxNodes int
	services map[string]*serviceBudget
}

// serviceBudget bounds the retries to one service.
type serviceBudget struct {
	ratio retry.DecayingBudget
	slack *retry.Budget
}

func (b *retryBudgets) setNodes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > b.maxNodes {
		b.maxNodes = n
		for _, s := range b.services {
			b.resize(s)
		}
	}
}

func (b *retryBudgets) resize(s *serviceBudget) {
	share := slackShare * b.slack / float64(max(b.maxNodes, 1))
	s.slack.Ratio, s.slack.Max, s.slack.PerSecond = 0, max(share, 1), share/max(b.window.Seconds(), 1)
}

// budget returns the budget of a service. b.mu must be held.
func (b *retryBudgets) budget(service string) *serviceBudget {
	s := b.services[service]
	if s == nil {
		s = &serviceBudget{slack: retry.NewBudget(), ratio: retry.DecayingBudget{Ratio: retryRatio, TimeConstant: time.Duration(retryWindowShare * float64(b.window))}}
		b.resize(s)
		if b.services == nil {
			b.services = make(map[string]*serviceBudget)
		}
		b.services[service] = s
	}
	return s
}

// recordRequest counts a request for a service. A sub-call of a retried request
// is itself a retry at that service. It is sent regardless of the budget and
// charged to it; the balance may become negative. retried is the probability that
// the request is such a sub-call.
func (b *retryBudgets) recordRequest(now time.Duration, service string, retried float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.budget(service)
	s.ratio.RecordCall(now)
	if retried > 0 {
		s.ratio.Charge(now, retried)
	}
}

// take reports whether the budget allows a retry, and charges it if it does. No
// retry is allowed while the budget is overdrawn. notRun means that no target has
// run the request.
func (b *retryBudgets) take(now time.Duration, service string, urgent, notRun bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.budget(service)
	reserve := reserveForUrgent
	switch {
	case !notRun:
		reserve = reserveForNotRun
	case urgent:
		reserve = 0
	}
	if s.ratio.TakeWithReserve(now, reserve) {
		return true
	}
	return !s.ratio.Overdrawn(now) && s.slack.Take(now)
}
