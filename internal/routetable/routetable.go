// Package routetable holds one version of the mesh configuration as an
// immutable snapshot: routes by host and path prefix, services and limits.
package routetable

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Destination is one destination of a route. The weights of a route's parts need not
// add up to 100.
type Destination struct {
	Service string
	Weight  int
}

// Route says how requests of one host and path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may be sent to a second target after a failure.
	Idempotent bool
	// Timeout bounds the time until the final answer; 0 means no bound.
	Timeout time.Duration
	// TargetLatency is the latency objective; 0 means none.
	TargetLatency time.Duration
	// Priority is the rank; 0 is the most important.
	Priority     int
	Destinations []Destination
	// MaxAttempts bounds the number of targets that one request reaches.
	MaxAttempts int

	split *splitter
}

// Service describes the targets of one service.
type Service struct {
	Name string
}

// Limits bound what a caller may send.
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
	// Source is the text that the table was decoded from, for other nodes.
	Source []byte

	hosts map[string]map[string]*Route
}

// New checks and indexes a configuration. The routes belong to the table
// afterwards.
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
		return fmt.Errorf("host %q and path prefix %q are no pair; the prefix begins and ends with a slash", r.Host, r.Prefix)
	}
	if len(r.Destinations) == 0 {
		return fmt.Errorf("it names no service; give it one or a split")
	}
	total := 0
	for _, p := range r.Destinations {
		if _, ok := t.Services[p.Service]; !ok {
			return fmt.Errorf("service %q is not declared", p.Service)
		}
		if p.Weight < 0 {
			return fmt.Errorf("weight %d of service %q is negative", p.Weight, p.Service)
		}
		total += p.Weight
	}
	if total <= 0 {
		return fmt.Errorf("the weights of its services add up to 0")
	}
	r.MaxAttempts = max(r.MaxAttempts, 1)
	r.split = newSplitter(r.Destinations)
	prefixes := t.hosts[r.Host]
	if prefixes == nil {
		prefixes = make(map[string]*Route)
		t.hosts[r.Host] = prefixes
	}
	prefixes[r.Prefix] = r
	return nil
}

// Match returns the route with the longest prefix that begins the path, or
// nil. A port in the host is ignored.
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

// NextService returns the service for the next request of the route.
func (r *Route) NextService() string { return r.split.next() }

// splitter spreads requests by smooth weighted round robin. Random choice
// would be off by more than a tenth over a few hundred requests.
type splitter struct {
	parts []Destination
	total int

	mu      sync.Mutex
	current []int
}

func newSplitter(parts []Destination) *splitter {
	s := &splitter{parts: parts, current: make([]int, len(parts))}
	for _, p := range parts {
		s.total += p.Weight
	}
	return s
}

func (s *splitter) next() string {
	if len(s.parts) == 1 {
		return s.parts[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	best := 0
	for i, p := range s.parts {
		s.current[i] += p.Weight
		if s.current[i] > s.current[best] {
			best = i
		}
	}
	s.current[best] -= s.total
	return s.parts[best].Service
}
