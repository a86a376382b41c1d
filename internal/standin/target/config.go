// Package target implements a stand-in for a target (a back end): an HTTP
// server with a fixed number of slots, a queue, simulated service times, faults
// that can be changed at run time, and a record of every request it executed.
// Tests embed it with New; cmd/standin-target runs it as a process.
package target

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"parsleyturn/internal/tomlfile"
)

// Config describes one target. Optional fields with the zero value get their
// default.
type Config struct {
	// Service is the service name that the target announces to the node.
	Service string `toml:"service"`
	// Address is the listen address. Default "127.0.0.1:0".
	Address string `toml:"address"`
	// ControlAddress is the address of a second listener for the control API,
	// to which the connection limit does not apply. Empty means none.
	ControlAddress string `toml:"control_address"`
	// Node is the base URL of the node's loopback side, which receives the
	// sub-calls and, unless NoAnnounce is set, the announcements. Empty means
	// no node.
	Node       string `toml:"node"`
	NoAnnounce bool   `toml:"no_announce"`
	// Slots is the number of requests processed concurrently. Default 16.
	Slots int `toml:"slots"`
	// Connections is the maximum number of open connections. Default 512.
	Connections int `toml:"connections"`
	// Shed rejects requests instead of queueing them while all slots are in
	// use.
	Shed bool `toml:"shed"`
	// ColdStartMS is the time after the start, in ms, during which service
	// times are multiplied by ColdFactor. Default 0. ColdFactor defaults to 3.
	ColdStartMS int64   `toml:"cold_start_ms"`
	ColdFactor  float64 `toml:"cold_factor"`
	// IgnoreCancellation continues the work after the caller has disconnected.
	IgnoreCancellation bool `toml:"ignore_cancellation"`
	// IgnoreDeadlines continues the work after the deadline given in
	// Parsley-Deadline-Ms.
	IgnoreDeadlines bool `toml:"ignore_deadlines"`
	// SubCallRetries is the number of retries of a failed sub-call, sent after
	// any error and without backoff. Default 0.
	SubCallRetries int `toml:"sub_call_retries"`
	// SubCallTimeoutMS is the timeout of one attempt of a sub-call. Default
	// 30,000 ms.
	SubCallTimeoutMS int64 `toml:"sub_call_timeout_ms"`
	// Seed determines service times, stragglers and response bodies.
	Seed uint64 `toml:"seed"`
	// MaxRecords is the maximum number of records kept in memory. Default
	// 2,000,000.
	MaxRecords int `toml:"max_records"`
	// RecordFile is a file to which a line is appended for each execution
	// before its work starts, so that the record survives a kill of the
	// process. Empty means none.
	RecordFile string  `toml:"record_file"`
	Routes     []Route `toml:"route"`
}

// Route describes how requests under a path prefix are processed. The longest
// matching prefix wins.
type Route struct {
	PathPrefix string `toml:"path_prefix"`
	// Methods lists the methods that the route applies to; empty means all.
	Methods []string `toml:"methods"`
	// TimeMS is the mean service time in ms, excluding sub-calls.
	TimeMS float64 `toml:"time_ms"`
	// Distribution is fixed, exponential or lognormal. Default fixed.
	Distribution string `toml:"distribution"`
	// Sigma is the standard deviation of the logarithm for lognormal.
	// Default 0.5.
	Sigma float64 `toml:"sigma"`
	// BodyBytes is the size of response bodies. The query parameter "bytes"
	// overrides it.
	BodyBytes int64 `toml:"body_bytes"`
	// Text selects readable response bodies: a JSON object that describes the
	// request, padded to BodyBytes. Such bodies cannot be verified byte for
	// byte.
	Text bool `toml:"text"`
	// ChunkBytes is the size of one write of a response body. Default 64 KiB.
	ChunkBytes int `toml:"chunk_bytes"`
	// ChunkDelayMS is the pause between writes, in ms. Default 0.
	ChunkDelayMS int64     `toml:"chunk_delay_ms"`
	SubCalls     []SubCall `toml:"sub_call"`
}

// SubCall is a call made between the two halves of the service time. The
// sub-calls of a route are made one after the other and carry the request ID of
// their parent, so they need different paths: POSTs with the same path would be
// counted as duplicate executions.
type SubCall struct {
	Method string `toml:"method"`
	// Path may contain {id} for the request ID and {buyer} for the client
	// account.
	Path string `toml:"path"`
	// BodyBytes is the size of the request body. Default 0.
	BodyBytes int64 `toml:"body_bytes"`
}

// Load reads a configuration file.
func Load(path string) (Config, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("read target configuration: %w; give the path of a TOML file", err)
	}
	var c Config
	if err := tomlfile.Decode(path, content, &c); err != nil {
		return Config{}, err
	}
	return c, nil
}

func (c *Config) setDefaults() {
	setDefault(&c.Address, "127.0.0.1:0")
	setDefault(&c.Slots, 16)
	setDefault(&c.Connections, 512)
	setDefault(&c.ColdFactor, 3)
	setDefault(&c.SubCallTimeoutMS, 30000)
	setDefault(&c.MaxRecords, 2000000)
	c.Routes = append([]Route(nil), c.Routes...)
	for i := range c.Routes {
		r := &c.Routes[i]
		setDefault(&r.Distribution, "fixed")
		setDefault(&r.Sigma, 0.5)
		setDefault(&r.ChunkBytes, 64<<10)
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Validate sets the defaults and returns all problems as one error, in which
// name is the file name.
func (c *Config) Validate(name string) error {
	c.setDefaults()
	p := &tomlfile.Checker{File: name}
	p.Check(c.Service != "", "service", "name the service", "missing")
	checkAddress(p, "address", c.Address)
	if c.ControlAddress != "" {
		checkAddress(p, "control_address", c.ControlAddress)
	}
	if c.Node != "" {
		u, err := url.Parse(c.Node)
		p.Check(err == nil && u.Scheme == "http" && u.Host != "", "node", `use a form like "http://127.0.0.1:7000"`, "%q is not a base URL", c.Node)
	}
	const positiveRemedy = "set a positive number or remove the key for the default"
	p.Check(c.Slots > 0, "slots", positiveRemedy, "%d is not positive", c.Slots)
	p.Check(c.Connections > 0, "connections", positiveRemedy, "%d is not positive", c.Connections)
	p.Check(c.ColdFactor >= 1, "cold_factor", "set at least 1", "%g is less than 1", c.ColdFactor)
	p.Check(c.ColdStartMS >= 0, "cold_start_ms", "set 0 or more", "%d is negative", c.ColdStartMS)
	p.Check(c.SubCallRetries >= 0, "sub_call_retries", "set 0 or more", "%d is negative", c.SubCallRetries)
	p.Check(c.SubCallTimeoutMS > 0, "sub_call_timeout_ms", positiveRemedy, "%d is not positive", c.SubCallTimeoutMS)
	p.Check(c.MaxRecords > 0, "max_records", positiveRemedy, "%d is not positive", c.MaxRecords)
	p.Check(len(c.Routes) > 0, "route", "add a [[route]] table", "missing")
	for i := range c.Routes {
		c.Routes[i].validate(p, fmt.Sprintf("route[%d].", i), c.Node != "")
	}
	return p.Err()
}

func checkAddress(p *tomlfile.Checker, key, address string) {
	host, _, err := net.SplitHostPort(address)
	p.Check(err == nil && net.ParseIP(host) != nil, key, `use a form like "127.0.0.1:9000"`, "%q is not an IP address and port", address)
}

func (r *Route) validate(p *tomlfile.Checker, keyPrefix string, hasNode bool) {
	p.Check(strings.HasPrefix(r.PathPrefix, "/"), keyPrefix+"path_prefix", `use a form like "/bookings/"`, "%q does not start with a slash", r.PathPrefix)
	p.Check(r.TimeMS >= 0, keyPrefix+"time_ms", "set 0 or more", "%g is negative", r.TimeMS)
	p.Check(r.Sigma > 0, keyPrefix+"sigma", "set a positive number", "%g is not positive", r.Sigma)
	p.Check(r.BodyBytes >= 0, keyPrefix+"body_bytes", "set 0 or more", "%d is negative", r.BodyBytes)
	p.Check(r.ChunkBytes > 0, keyPrefix+"chunk_bytes", "set a positive number", "%d is not positive", r.ChunkBytes)
	p.Check(r.ChunkDelayMS >= 0, keyPrefix+"chunk_delay_ms", "set 0 or more", "%d is negative", r.ChunkDelayMS)
	switch r.Distribution {
	case "fixed", "exponential", "lognormal":
	default:
		p.Fail(keyPrefix+"distribution", "use fixed, exponential or lognormal", "unknown distribution %q", r.Distribution)
	}
	p.Check(hasNode || len(r.SubCalls) == 0, keyPrefix+"sub_call", "set node, which receives the sub-calls", "node is not set")
	for i, s := range r.SubCalls {
		key := fmt.Sprintf("%ssub_call[%d].", keyPrefix, i)
		p.Check(s.Method != "", key+"method", "name an HTTP method", "missing")
		p.Check(strings.HasPrefix(s.Path, "/"), key+"path", `use a form like "/directory/{id}"`, "%q does not start with a slash", s.Path)
		p.Check(s.BodyBytes >= 0, key+"body_bytes", "set 0 or more", "%d is negative", s.BodyBytes)
	}
}

func (c *Config) coldStart() time.Duration { return time.Duration(c.ColdStartMS) * time.Millisecond }

// match returns the route for a request, or nil. Between equal prefixes, the
// route that lists more methods wins.
func (c *Config) match(method, path string) *Route {
	var best *Route
	for i := range c.Routes {
		r := &c.Routes[i]
		if !strings.HasPrefix(path, r.PathPrefix) || !r.allows(method) {
			continue
		}
		if best == nil || len(r.PathPrefix) > len(best.PathPrefix) ||
			(len(r.PathPrefix) == len(best.PathPrefix) && len(r.Methods) > len(best.Methods)) {
			best = r
		}
	}
	return best
}

func (r *Route) allows(method string) bool {
	for _, m := range r.Methods {
		if m == method {
			return true
		}
	}
	return len(r.Methods) == 0
}
