// Package routetable holds one version of the mesh configuration as an
// immutable snapshot: routes by host and path prefix, services and limits.
//
// It serves nodes on the users' platform; package policy holds the
// configuration of nodes with the product's own interface.
package routetable

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Destination is a service that receives a part of a route's requests. The
// weights of a route's destinations need not add up to 100.
type Destination struct {
	Service string
	Weight  int
}

// Route defines how requests for one host and path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may be retried at another target after a failure.
	Idempotent bool
	// Timeout bounds the time until the final response; 0 means no bound.
	Timeout time.Duration
	// TargetLatency is the latency objective; 0 means none. It does not affect how
	// requests are handled.
	TargetLatency time.Duration
	// Priority is the rank of the route; 0 is the most important.
	Priority     int
	Destinations []Destination
	// MaxAttempts bounds the number of targets that one request reaches. Attempts
	// that fail before they reach a target do not count. Values below 1 count as 1.
	MaxAttempts int

	roundRobin *weightedRoundRobin
}

// Service is a service that routes may use as a destination.
type Service struct {
	Name string
	// HealthPath is the path at which its targets say whether they are ready, or empty.
	HealthPath string
}

// Limits bound the requests and connections of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one version of the configuration. It is safe for concurrent use.
type Table struct {
	Version  uint64
	Routes   []*Route
	Services map[string]Service
	Limits   Limits
	// Source is the text that the table was decoded from. Other nodes fetch it.
	Source []byte

	hosts map[string]map[string]*Route
}

// New validates and indexes a configuration. It takes ownership of routes.
func New(version uint64, routes []*Route, services []Service, limits Limits) (*Table, error) {
	t := &Table{Version: version, Routes: routes, Services: make(map[string]Service, len(services)), Limits: limits, hosts: make(map[string]map[string]*Route)}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for _, r := range routes {
		if err := t.add(r); err != nil {
			return nil, fmt.Errorf("route %q: %w", r.Name, err)
		}
	}
	return t, nil
}

func (t *Table) add(r *Route) error {
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fmt.Errorf("invalid host %q or path prefix %q: the host must not be empty, and the prefix must begin and end with a slash", r.Host, r.Prefix)
	}
	if len(r.Destinations) == 0 {
		return fmt.Errorf("no destination service: set a service or a traffic split")
	}
	total := 0
	for _, d := range r.Destinations {
		if _, ok := t.Services[d.Service]; !ok {
			return fmt.Errorf("service %q is not declared", d.Service)
		}
		if d.Weight < 0 {
			return fmt.Errorf("weight %d of service %q must not be negative", d.Weight, d.Service)
		}
		total += d.Weight
	}
	if total <= 0 {
		return fmt.Errorf("weights of the destination services add up to 0")
	}
	r.MaxAttempts = max(r.MaxAttempts, 1)
	r.roundRobin = newWeightedRoundRobin(r.Destinations)
	prefixes := t.hosts[r.Host]
	if prefixes == nil {
		prefixes = make(map[string]*Route)
		t.hosts[r.Host] = prefixes
	}
	prefixes[r.Prefix] = r
	return nil
}

// HasService reports whether a service is declared.
func (t *Table) HasService(name string) bool {
	_, ok := t.Services[name]
	return ok
}

// Match returns the route of the host with the longest prefix of the path, or
// nil. The case of the host and a port in it are ignored.
func (t *Table) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	prefixes := t.hosts[strings.ToLower(host)]
	if prefixes == nil {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := prefixes[path[:end+1]]; ok {
			return r
		}
	}
	return nil
}

// NextService selects the destination service of the next request.
func (r *Route) NextService() string { return r.roundRobin.next() }

// weightedRoundRobin implements smooth weighted round robin. With a random
// choice, the shares would be off by more than a tenth over a few hundred
// requests.
type weightedRoundRobin struct {
	destinations []Destination
	totalWeight  int

	mu             sync.Mutex
	currentWeights []int
}

func newWeightedRoundRobin(destinations []Destination) *weightedRoundRobin {
	s := &weightedRoundRobin{destinations: destinations, currentWeights: make([]int, len(destinations))}
	for _, d := range destinations {
		s.totalWeight += d.Weight
	}
	return s
}

func (s *weightedRoundRobin) next() string {
	if len(s.destinations) == 1 {
		return s.destinations[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	best := 0
	for i, d := range s.destinations {
		s.currentWeights[i] += d.Weight
		if s.currentWeights[i] > s.currentWeights[best] {
			best = i
		}
	}
	s.currentWeights[best] -= s.totalWeight
	return s.destinations[best].Service
}
