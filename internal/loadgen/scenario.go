// Package loadgen is an open-loop load generator with scripted faults. Arrivals
// follow a seeded schedule and never wait for responses, latency counts from
// the scheduled arrival, and every response is checked. Use Run with a Scenario
// and a Deployment; cmd/parsleyload is the command line.
package loadgen

import (
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"parsleyturn/internal/tomlfile"
)

// Scenario describes one run.
type Scenario struct {
	// Name identifies the scenario in reports.
	Name string `toml:"name"`
	// Seed determines arrivals, kinds, client accounts and node choices.
	// Default 1.
	Seed uint64 `toml:"seed"`
	// RatePerSecond is the arrival rate at a multiplier of 1.
	RatePerSecond float64 `toml:"rate_per_s"`
	// ClientLatencyMS is the one-way latency between client and node, in ms,
	// added before each request and after each response. Default 0.
	ClientLatencyMS float64 `toml:"client_distance_ms"`
	// MaxInFlight limits the jobs in flight; arrivals beyond it are dropped and
	// counted in the report. Default 50,000.
	MaxInFlight int `toml:"max_in_flight"`
	// MaxConnections limits the connections to each node. Further jobs wait for
	// a connection, and the wait counts in their latency. Default 2,000.
	MaxConnections int            `toml:"max_connections"`
	Phases         []Phase        `toml:"phase"`
	Kinds          []Kind         `toml:"kind"`
	ClientAccounts ClientAccounts `toml:"buyers"`
	Events         []Event        `toml:"event"`
}

// Phase is a period of the run with its own arrival rate.
type Phase struct {
	Name       string `toml:"name"`
	DurationMS int64  `toml:"duration_ms"`
	// Multiplier is a factor for RatePerSecond.
	Multiplier float64 `toml:"multiplier"`
	// RampMS is the time in which the rate changes linearly from that of the
	// previous phase, or from 0 in the first phase, in ms. Default 0.
	RampMS int64 `toml:"ramp_ms"`
	// Trigger marks the phases of the disturbance. Recovery is measured from
	// the end of the last one.
	Trigger bool `toml:"trigger"`
}

// Kind defines the requests of one kind of job, its weight among the kinds, and
// when the client retries or gives up.
type Kind struct {
	Name   string `toml:"name"`
	Method string `toml:"method"`
	// Path may contain {n}, the number of the job, and {buyer}, its client
	// account.
	Path   string  `toml:"path"`
	Weight float64 `toml:"weight"`
	// NonIdempotent jobs use tickets.
	NonIdempotent bool `toml:"non_idempotent"`
	// TicketFor names a kind of the node's configuration. Each request of this
	// kind asks for a ticket for it, which a later job with that TicketKind
	// uses.
	TicketFor string `toml:"ticket_for"`
	// TicketKind is the name of this kind in the node's configuration, whose
	// prefetched tickets its jobs use. Default is Name.
	TicketKind string `toml:"ticket_kind"`
	// RequestBytes is the size of the request body. Default 0.
	RequestBytes int64 `toml:"request_bytes"`
	// BodyBytes is the size of the response body, requested from the stand-in
	// target with the query parameter "bytes"; 0 uses the size of its route.
	BodyBytes int64 `toml:"body_bytes"`
	// DeadlineMS is sent as Parsley-Deadline-Ms. Default 0: none is sent.
	DeadlineMS int64 `toml:"deadline_ms"`
	// JobTimeoutMS is when the client gives up the job, in ms from the
	// scheduled arrival. Default 60,000.
	JobTimeoutMS int64 `toml:"patience_ms"`
	// AttemptTimeoutMS is when the client abandons one attempt, whose outcome
	// is then unknown, in ms. Default 0: only the job timeout ends an attempt.
	AttemptTimeoutMS int64 `toml:"attempt_timeout_ms"`
	// RetryPolicy is none, polite or hard; see NoRetry, BackoffRetry and
	// ImmediateRetry. Default none.
	RetryPolicy string `toml:"behaviour"`
	// MaxRetries limits the retries by the client. Default 3 for polite, 5 for
	// hard.
	MaxRetries int `toml:"max_repeats"`
}

// Retry policies of clients, with their names in scenarios.
const (
	// NoRetry makes one attempt.
	NoRetry = "none"
	// BackoffRetry waits for Retry-After or, without it, with randomized
	// exponential backoff.
	BackoffRetry = "polite"
	// ImmediateRetry retries without waiting and ignores Retry-After.
	ImmediateRetry = "hard"
)

// ClientAccounts describes the client accounts that send the jobs.
type ClientAccounts struct {
	// Count is the number of client accounts. Default 1,000.
	Count int `toml:"count"`
	// Zipf is the exponent of the Zipf distribution of jobs over the accounts,
	// above 1; 0 means uniform.
	Zipf float64 `toml:"zipf"`
	// Names lists the client accounts and replaces Count.
	Names []string `toml:"list"`
}

// Event is a call to the control API of stand-in targets at a time of the run.
type Event struct {
	AtMS int64 `toml:"at_ms"`
	// Service restricts the event to the targets of a service. Default all.
	Service string `toml:"service"`
	// Share is the share of the targets of each selected service. The number
	// of targets is rounded, with at least one. Default 1.
	Share float64 `toml:"share"`
	// Method and Path default to PUT /standin/faults.
	Method string `toml:"method"`
	Path   string `toml:"path"`
	Body   string `toml:"body"`
}

// LoadScenario reads and validates a scenario file.
func LoadScenario(path string) (*Scenario, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read scenario: %w; pass the path of a TOML file", err)
	}
	return ParseScenario(path, content)
}

// ParseScenario parses and validates the content of a scenario file. name is the
// file name in errors.
func ParseScenario(name string, content []byte) (*Scenario, error) {
	s := &Scenario{}
	if err := tomlfile.Decode(name, content, s); err != nil {
		return nil, err
	}
	s.setDefaults()
	if err := s.validate(name); err != nil {
		return nil, err
	}
	return s, nil
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (s *Scenario) setDefaults() {
	setDefault(&s.Seed, 1)
	setDefault(&s.MaxInFlight, 50000)
	setDefault(&s.MaxConnections, 2000)
	setDefault(&s.ClientAccounts.Count, 1000)
	for i := range s.Kinds {
		k := &s.Kinds[i]
		setDefault(&k.Method, "GET")
		setDefault(&k.RetryPolicy, NoRetry)
		setDefault(&k.JobTimeoutMS, 60000)
		setDefault(&k.TicketKind, k.Name)
		switch k.RetryPolicy {
		case BackoffRetry:
			setDefault(&k.MaxRetries, 3)
		case ImmediateRetry:
			setDefault(&k.MaxRetries, 5)
		}
	}
	for i := range s.Events {
		e := &s.Events[i]
		setDefault(&e.Share, 1)
		setDefault(&e.Method, "PUT")
		setDefault(&e.Path, "/standin/faults")
	}
}

func (s *Scenario) validate(name string) error {
	p := &tomlfile.Checker{File: name}
	p.Check(s.Name != "", "name", "name the scenario", "missing")
	p.Check(s.RatePerSecond > 0, "rate_per_s", "set a positive rate", "%g is not positive", s.RatePerSecond)
	p.Check(s.ClientLatencyMS >= 0, "client_distance_ms", "set 0 or more", "%g is negative", s.ClientLatencyMS)
	p.Check(s.MaxInFlight > 0, "max_in_flight", "set a positive number", "%d is not positive", s.MaxInFlight)
	p.Check(s.MaxConnections > 0, "max_connections", "set a positive number", "%d is not positive", s.MaxConnections)
	p.Check(len(s.Phases) > 0, "phase", "add a [[phase]] table", "missing")
	for i, ph := range s.Phases {
		ph.validate(p, fmt.Sprintf("phase[%d].", i))
	}
	p.Check(len(s.Kinds) > 0, "kind", "add a [[kind]] table", "missing")
	seen := map[string]bool{}
	for i, k := range s.Kinds {
		prefix := fmt.Sprintf("kind[%d].", i)
		k.validate(p, prefix)
		p.Check(!seen[k.Name], prefix+"name", "give each kind its own name", "%q is used twice", k.Name)
		seen[k.Name] = true
	}
	p.Check(s.ClientAccounts.Count > 0, "buyers.count", "set a positive number", "%d is not positive", s.ClientAccounts.Count)
	p.Check(s.ClientAccounts.Zipf == 0 || s.ClientAccounts.Zipf > 1, "buyers.zipf", "set a number above 1, or 0 for uniform", "%g is not above 1", s.ClientAccounts.Zipf)
	for i, e := range s.Events {
		e.validate(p, fmt.Sprintf("event[%d].", i), s.Duration())
	}
	return p.Err()
}

func (ph *Phase) validate(p *tomlfile.Checker, prefix string) {
	p.Check(ph.Name != "", prefix+"name", "name the phase", "missing")
	p.Check(ph.DurationMS > 0, prefix+"duration_ms", "set a positive number of ms", "%d is not positive", ph.DurationMS)
	p.Check(ph.Multiplier > 0, prefix+"multiplier", "set a positive number", "%g is not positive", ph.Multiplier)
	p.Check(ph.RampMS >= 0 && ph.RampMS <= ph.DurationMS, prefix+"ramp_ms", "set 0 up to duration_ms", "%d is outside the phase", ph.RampMS)
}

func (k *Kind) validate(p *tomlfile.Checker, prefix string) {
	p.Check(k.Name != "", prefix+"name", "name the kind", "missing")
	p.Check(strings.HasPrefix(k.Path, "/"), prefix+"path", `use a form like "/directory/{n}"`, "%q does not start with a slash", k.Path)
	p.Check(k.Weight > 0, prefix+"weight", "set a positive number", "%g is not positive", k.Weight)
	for _, f := range []struct {
		key   string
		value int64
	}{{"request_bytes", k.RequestBytes}, {"body_bytes", k.BodyBytes}, {"deadline_ms", k.DeadlineMS}, {"attempt_timeout_ms", k.AttemptTimeoutMS}, {"max_repeats", int64(k.MaxRetries)}} {
		p.Check(f.value >= 0, prefix+f.key, "set 0 or more", "%d is negative", f.value)
	}
	p.Check(k.JobTimeoutMS > 0, prefix+"patience_ms", "set a positive number of ms", "%d is not positive", k.JobTimeoutMS)
	switch k.RetryPolicy {
	case NoRetry, BackoffRetry, ImmediateRetry:
	default:
		p.Fail(prefix+"behaviour", "use none, polite or hard", "unknown behaviour %q", k.RetryPolicy)
	}
}

func (e *Event) validate(p *tomlfile.Checker, prefix string, end time.Duration) {
	p.Check(e.AtMS >= 0 && e.offset() < end, prefix+"at_ms", "set a time within the phases", "%d is outside the run", e.AtMS)
	p.Check(e.Share > 0 && e.Share <= 1, prefix+"share", "set a number above 0 and up to 1", "%g is not in this range", e.Share)
	p.Check(strings.HasPrefix(e.Path, "/standin/"), prefix+"path", "use a path under /standin/", "%q is not a path of the control API", e.Path)
}

func (e *Event) offset() time.Duration { return time.Duration(e.AtMS) * time.Millisecond }

// Duration returns the total duration of the phases.
func (s *Scenario) Duration() time.Duration {
	var ms int64
	for _, ph := range s.Phases {
		ms += ph.DurationMS
	}
	return time.Duration(ms) * time.Millisecond
}

// Deployment lists the nodes and stand-in targets of a run.
type Deployment struct {
	// Nodes are the caller addresses of the nodes.
	Nodes   []string `toml:"nodes"`
	Targets []Target `toml:"target"`
}

// Target is a stand-in target.
type Target struct {
	Service string `toml:"service"`
	// ControlAddress is the IP address and port of the control API.
	ControlAddress string `toml:"control"`
}

// LoadDeployment reads and validates a deployment file.
func LoadDeployment(path string) (*Deployment, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read deployment: %w; create one with 'parsleyload topology'", err)
	}
	d := &Deployment{}
	if err := tomlfile.Decode(path, content, d); err != nil {
		return nil, err
	}
	return d, d.Validate(path)
}

// Validate reports all invalid addresses. name is the file name in errors.
func (d *Deployment) Validate(name string) error {
	p := &tomlfile.Checker{File: name}
	p.Check(len(d.Nodes) > 0, "nodes", "list the caller addresses of nodes", "missing")
	loopback := func(key, address string) {
		host, _, err := net.SplitHostPort(address)
		ip := net.ParseIP(host)
		p.Check(err == nil && ip != nil, key, `use a form like "127.0.1.1:8080"`, "%q is not an IP address and port", address)
		p.Check(ip == nil || ip.IsLoopback(), key, "use an address in 127.0.0.0/8; load is sent to loopback addresses only", "%q is not a loopback address", address)
	}
	for i, n := range d.Nodes {
		loopback(fmt.Sprintf("nodes[%d]", i), n)
	}
	for i, t := range d.Targets {
		loopback(fmt.Sprintf("target[%d].control", i), t.ControlAddress)
	}
	return p.Err()
}
