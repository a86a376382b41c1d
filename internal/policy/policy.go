// Package policy parses and validates the configuration that operators
// declare: services, kinds of requests, client accounts and links between
// regions. A configuration is a folder of TOML files merged in the order of
// their names.
//
// Use Parse to get the configuration that a node applies, and Load to show
// where values come from or to compare configurations. The package does no
// I/O and keeps no state. It serves nodes with the product's own interface;
// package routetable holds the configuration of nodes on the users' platform.
package policy

import "time"

// Range of the priorities of kinds; requests with the lowest priority are shed
// first.
const (
	MinPriority = 1
	MaxPriority = 10
)

// Policy is a validated configuration.
type Policy struct {
	Services       map[string]Service
	Kinds          map[string]Kind
	ClientAccounts map[string]ClientAccount
	Regions        map[string]Region
	// byPrefix holds the kinds of each path prefix, the most specific match
	// first; lengths holds the distinct lengths of the prefixes, longest first.
	byPrefix map[string][]Kind
	lengths  []int
}

// Service is a group of interchangeable targets.
type Service struct {
	Name string
	// MaxQueueTime bounds the time a request is queued at the node of the
	// target. Default 100 ms.
	MaxQueueTime time.Duration
}

// Kind is a kind of request.
type Kind struct {
	Name    string
	Service string
	// Methods lists the HTTP methods that match; empty matches all.
	Methods    []string
	PathPrefix string
	Priority   int
	// NonIdempotent requests are executed at most once and need a ticket.
	NonIdempotent bool
	// Long marks requests that may not use the slots reserved for short ones.
	Long bool
	// Deadline bounds the time for the whole request. Default 5 s.
	Deadline time.Duration
	// Retries is the total number of retries in the whole call chain.
	// Default 0.
	Retries int
	// Share is the weight among kinds of the same priority. Default 1.
	Share float64
	// BudgetShare is the largest share of a target's slots that the kind may
	// use while other kinds of the same priority have queued requests, above
	// 0 and at most 1. Default 1, which sets no bound.
	BudgetShare float64
}

// ClientAccount is a client account with a weight of its own. It is declared
// in a section named buyer.
type ClientAccount struct {
	Name string
	// Share is the weight among client accounts that send requests of the same
	// kind. Accounts that are not declared have weight 1.
	Share float64
}

// Region declares the bandwidth budget of the link out of a region.
type Region struct {
	Name string
	// LinkBytesPerSecond is shared by all nodes of the region.
	LinkBytesPerSecond int64
	// LinkReservedPriority is the lowest priority that may use the tenth of
	// the link's budget that is reserved. Default 9.
	LinkReservedPriority int
}

// Match returns the kind of a request, or false if no kind matches.
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
