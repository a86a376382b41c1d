// Package policy is the configuration that operators declare: services, kinds
// of requests, buyers and links between regions. It is a folder of TOML files
// merged in the order of their names.
//
// Use Parse for a configuration to work by, and Load to show where values come
// from or to compare configurations. The package is pure.
package policy

import "time"

// Priorities of kinds; the lowest is shed first.
const (
	MinPriority = 1
	MaxPriority = 10
)

// Policy is a checked configuration.
type Policy struct {
	Services       map[string]Service
	Kinds          map[string]Kind
	ClientAccounts map[string]ClientAccount
	Regions        map[string]Region
	// byPrefix holds the kinds of each path prefix, the most specific match
	// first; lengths are those of the prefixes, longest first.
	byPrefix map[string][]Kind
	lengths  []int
}

// Service is a group of interchangeable targets.
type Service struct {
	Name string
	// MaxQueueTime bounds the time a request waits at the target's node. Default
	// 100 ms.
	MaxQueueTime time.Duration
}

// Kind is a kind of request.
type Kind struct {
	Name    string
	Service string
	// Methods is empty for all methods.
	Methods    []string
	PathPrefix string
	Priority   int
	// NonIdempotent requests run at most once and need a ticket.
	NonIdempotent bool
	// Long marks work that may not occupy the slots reserved for short work.
	Long bool
	// Deadline bounds the whole request. Default 5 s.
	Deadline time.Duration
	// Retries is the total for the whole call chain. Default 0.
	Retries int
	// Share is the weight among kinds of the same priority. Default 1.
	Share float64
	// BudgetShare is the largest part of a target's slots that the kind holds
	// while other kinds of the same priority want them, above 0 and at most
	// 1. Default 1, which sets no bound.
	BudgetShare float64
}

// ClientAccount is a member or buyer with a share of its own.
type ClientAccount struct {
	Name string
	// Share is the weight among buyers of the same kind. Buyers that are not
	// declared have 1.
	Share float64
}

// Region declares the budget of the link out of a region.
type Region struct {
	Name string
	// LinkBytesPerSecond is the budget of all nodes of the region together.
	LinkBytesPerSecond int64
	// LinkReservedPriority is the lowest priority that may use the reserved
	// tenth of the link. Default 9.
	LinkReservedPriority int
}

// Match finds the kind of a request, or false.
func (p *Policy) Match(method, path string) (Kind, bool) {
	for _, l := range p.lengths {
		if l > len(path) {
			continue
		}
		for _, k := range p.byPrefix[path[:l]] {
			if k.matchesMethod(method) {
				return k, true
			}
		}
	}
	return Kind{}, false
}

func (k *Kind) matchesMethod(method string) bool {
	if len(k.Methods) == 0 {
		return true
	}
	for _, m := range k.Methods {
		if m == method {
			return true
		}
	}
	return false
}
