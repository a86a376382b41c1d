// Package target is a stand-in for a target (a back end). It serves HTTP with
// a fixed number of slots, a queue, service times, faults that can be set
// while it runs, and a record of everything it executed. Embed it with New in
// tests, or run cmd/standin-target.
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

// Config describes one target. The zero value of an optional field means its
// default.
type Config struct {
	// Service is the name announced to the node.
	Service string `toml:"service"`
	// Address is where the target listens. Default "127.0.0.1:0".
	Address string `toml:"address"`
	// ControlAddress is a second listener for the control API, which the
	// connection limit does not affect. Empty means none.
	ControlAddress string `toml:"control_address"`
	// Node is the base URL of the node's loopback side. Sub-calls go there,
	// and announcements unless NoAnnounce is set. Empty means no node.
	Node       string `toml:"node"`
	NoAnnounce bool   `toml:"no_announce"`
	// Slots is the number of requests worked on at the same time. Default 16.
	Slots int `toml:"slots"`
	// Connections is the number of connections accepted at the same time.
	// Default 512.
	Connections int `toml:"connections"`
	// Shed refuses work beyond the slots instead of queueing it.
	Shed bool `toml:"shed"`
	// ColdStartMS is how long after the start service times are multiplied by
	// ColdFactor, in ms. Default 0. ColdFactor defaults to 3.
	ColdStartMS int64   `toml:"cold_start_ms"`
	ColdFactor  float64 `toml:"cold_factor"`
	// IgnoreCancellation keeps working for callers that have left.
	IgnoreCancellation bool `toml:"ignore_cancellation"`
	// IgnoreDeadlines keeps working after Parsley-Deadline-Ms has passed.
	IgnoreDeadlines bool `toml:"ignore_deadlines"`
	// SubCallRetries is the number of naive repeats of a failed sub-call.
	// Default 0.
	SubCallRetries int `toml:"sub_call_retries"`
	// SubCallTimeoutMS bounds one try of a sub-call. Default 30,000 ms.
	SubCallTimeoutMS int64 `toml:"sub_call_timeout_ms"`
	// Seed determines service times, stragglers and bodies.
	Seed uint64 `toml:"seed"`
	// MaxRecords bounds the record of executions. Default 2,000,000.
	MaxRecords int `toml:"max_records"`
	// RecordFile gets a line for each execution before its work starts, so
	// that the record survives a kill. Empty means none.
	RecordFile string  `toml:"record_file"`
	Routes     []Route `toml:"route"`
}

// Route describes the work for a path prefix. The longest prefix wins.
type Route struct {
	PathPrefix string `toml:"path_prefix"`
	// Methods is empty for all methods.
	Methods []string `toml:"methods"`
	// TimeMS is the mean service time in ms, without sub-calls.
	TimeMS float64 `toml:"time_ms"`
	// Distribution is fixed, exponential or lognormal. Default fixed.
	Distribution string `toml:"distribution"`
	// Sigma is the standard deviation of the logarithm for lognormal.
	// Default 0.5.
	Sigma float64 `toml:"sigma"`
	// BodyBytes is the size of answers. The query "bytes" overrides it.
	BodyBytes int64 `toml:"body_bytes"`
	// Text makes answers readable: a JSON object with the request, followed by
	// filler up to BodyBytes. Such bodies cannot be checked byte for byte.
	Text bool `toml:"text"`
	// ChunkBytes is the size of one write of a body. Default 64 KiB.
	ChunkBytes int `toml:"chunk_bytes"`
	// ChunkDelayMS is the pause between writes, in ms. Default 0.
	ChunkDelayMS int64     `toml:"chunk_delay_ms"`
	SubCalls     []SubCall `toml:"sub_call"`
}

// SubCall is a call made in the middle of the work, one after the other. It
// carries the request id of its parent, so the sub-calls of one route need
// different paths for doubled executions to be counted.
type SubCall struct {
	Method string `toml:"method"`
	// Path may contain {id} for the request id and {buyer}.
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

// Validate sets the defaults and reports all problems. name stands for the file
// in errors.
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
	const positive = "set a positive number or remove the key for the default"
	p.Check(c.Slots > 0, "slots", positive, "%d is not positive", c.Slots)
	p.Check(c.Connections > 0, "connections", positive, "%d is not positive", c.Connections)
	p.Check(c.ColdFactor >= 1, "cold_factor", "set at least 1", "%g is less than 1", c.ColdFactor)
	p.Check(c.ColdStartMS >= 0, "cold_start_ms", "set 0 or more", "%d is negative", c.ColdStartMS)
	p.Check(c.SubCallRetries >= 0, "sub_call_retries", "set 0 or more", "%d is negative", c.SubCallRetries)
	p.Check(c.SubCallTimeoutMS > 0, "sub_call_timeout_ms", positive, "%d is not positive", c.SubCallTimeoutMS)
	p.Check(c.MaxRecords > 0, "max_records", positive, "%d is not positive", c.MaxRecords)
	p.Check(len(c.Routes) > 0, "route", "add a [[route]] table", "missing")
	for i := range c.Routes {
		c.Routes[i].check(p, fmt.Sprintf("route[%d].", i), c.Node != "")
	}
	return p.Err()
}

func checkAddress(p *tomlfile.Checker, key, address string) {
	host, _, err := net.SplitHostPort(address)
	p.Check(err == nil && net.ParseIP(host) != nil, key, `use a form like "127.0.0.1:9000"`, "%q is not an IP number and port", address)
}

func (r *Route) check(p *tomlfile.Checker, at string, hasNode bool) {
	p.Check(strings.HasPrefix(r.PathPrefix, "/"), at+"path_prefix", `use a form like "/bookings/"`, "%q does not start with a slash", r.PathPrefix)
	p.Check(r.TimeMS >= 0, at+"time_ms", "set 0 or more", "%g is negative", r.TimeMS)
	p.Check(r.Sigma > 0, at+"sigma", "set a positive number", "%g is not positive", r.Sigma)
	p.Check(r.BodyBytes >= 0, at+"body_bytes", "set 0 or more", "%d is negative", r.BodyBytes)
	p.Check(r.ChunkBytes > 0, at+"chunk_bytes", "set a positive number", "%d is not positive", r.ChunkBytes)
	p.Check(r.ChunkDelayMS >= 0, at+"chunk_delay_ms", "set 0 or more", "%d is negative", r.ChunkDelayMS)
	switch r.Distribution {
	case "fixed", "exponential", "lognormal":
	default:
		p.Fail(at+"distribution", "use fixed, exponential or lognormal", "unknown distribution %q", r.Distribution)
	}
	p.Check(hasNode || len(r.SubCalls) == 0, at+"sub_call", "set node, which takes the sub-calls", "there is no node")
	for i, s := range r.SubCalls {
		key := fmt.Sprintf("%ssub_call[%d].", at, i)
		p.Check(s.Method != "", key+"method", "name an HTTP method", "missing")
		p.Check(strings.HasPrefix(s.Path, "/"), key+"path", `use a form like "/directory/{id}"`, "%q does not start with a slash", s.Path)
		p.Check(s.BodyBytes >= 0, key+"body_bytes", "set 0 or more", "%d is negative", s.BodyBytes)
	}
}

func (c *Config) coldStart() time.Duration { return time.Duration(c.ColdStartMS) * time.Millisecond }

// match finds the route of a request, or nil.
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
