package dispatch

import (
	"sync"
	"time"

	"parsleyturn/internal/retry"
)

const (
	// retryRatio is the ratio of retries to requests that a node may send to a
	// service. All arrivals of requests beyond their first must stay below 0.2
	// of the requests at every service, and in a call chain of up to four levels,
	// each level adds its own retries to those of the levels above.
	retryRatio = 0.05
	// urgentRatio is an additional ratio for the most urgent call chains. It
	// covers only requests that no target ran, as retrying them repeats no
	// sub-calls. Together with retryRatio it stays a fifth below the bound of
	// 0.2, because one sub-call in five is not linked to its parent request, so
	// that the services further downstream do not count it as a retry.
	urgentRatio = 0.11
	// maxUrgentRank is the highest rank number that may use urgentRatio.
	maxUrgentRank = 0
	// urgentWindowShare is the time constant of the urgent budget as a fraction
	// of the retry window.
	urgentWindowShare = 0.25
	// slackShare is the fraction of the configured slack that the nodes use. The
	// rest is a reserve for sub-calls that are not linked to their parent request.
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
	all    *retry.Budget
	urgent retry.DecayingBudget
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
	s.all.Ratio, s.all.Max, s.all.PerSecond = retryRatio, max(share, 1), share/max(b.window.Seconds(), 1)
}

// budget returns the budget of a service. b.mu must be held.
func (b *retryBudgets) budget(service string) *serviceBudget {
	s := b.services[service]
	if s == nil {
		s = &serviceBudget{all: retry.NewBudget(), urgent: retry.DecayingBudget{Ratio: urgentRatio, TimeConstant: time.Duration(urgentWindowShare * float64(b.window))}}
		b.resize(s)
		if b.services == nil {
			b.services = make(map[string]*serviceBudget)
		}
		b.services[service] = s
	}
	return s
}

// recordRequest counts a request for a service. A sub-call of a retried request
// is itself a retry at that service. It is sent regardless of the budgets and
// charged to the urgent one, whose balance may become negative.
func (b *retryBudgets) recordRequest(now time.Duration, service string, ofRetry bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.budget(service)
	s.all.RecordCall()
	s.urgent.RecordCall(now)
	if ofRetry {
		s.urgent.Charge(now)
	}
}

// take reports whether the budgets allow a retry, and charges it if they do. No
// retry is allowed while the urgent budget is overdrawn. notRun means that no
// target has run the request; rank is that of the root request of its call
// chain.
func (b *retryBudgets) take(now time.Duration, service string, rank int, notRun bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.budget(service)
	if notRun && rank <= maxUrgentRank && s.urgent.Take(now) {
		return true
	}
	return !s.urgent.Overdrawn(now) && s.all.Take(now)
}
