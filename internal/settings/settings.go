// Package settings reads and validates the TOML settings file of a node with
// the product's own interface. Package platform reads the settings of a node on
// the users' platform.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"parsleyturn/internal/membership"
)

// Node holds the settings of one node.
type Node struct {
	// ID must be unique among the nodes.
	ID               string `toml:"id"`
	Region           string `toml:"region"`
	AvailabilityZone string `toml:"availability_zone"`

	// CallerAddress is the address on which the node listens for callers, for
	// example "10.0.0.4:8080".
	CallerAddress string `toml:"caller_address"`
	// TargetListenAddress is the loopback address on which the node listens for
	// its local target. It is not the address of the target itself.
	TargetListenAddress string `toml:"target_address"`
	LinkAddress         string `toml:"link_address"`
	GossipAddress       string `toml:"gossip_address"`
	AdminAddress        string `toml:"admin_address"`
	// Advertised addresses default to the corresponding listen addresses.
	AdvertiseLink   string `toml:"advertise_link"`
	AdvertiseGossip string `toml:"advertise_gossip"`
	AdvertiseAdmin  string `toml:"advertise_admin"`

	// Seeds lists the gossip addresses of nodes to join.
	Seeds []string `toml:"seeds"`
	// Platform is the base URL of the platform service.
	Platform string `toml:"platform"`

	// DrainLimitMS bounds the time for which a graceful shutdown waits for the
	// requests in flight. Default 60,000 ms.
	DrainLimitMS int64 `toml:"drain_limit_ms"`
	// MaxBodyBytes bounds the size of a request body. Default 16 MiB.
	MaxBodyBytes int64 `toml:"max_body_bytes"`
	// TicketLifetimeMS is the time for which a ticket is valid. Default
	// 30,000 ms.
	TicketLifetimeMS int64 `toml:"ticket_lifetime_ms"`
	// LogLevel is debug, info, warn or error. Default info.
	LogLevel string `toml:"log_level"`
}

// Error reports an invalid setting.
type Error struct {
	File    string
	Key     string
	Problem string
	Remedy  string
}

// Error returns the file, the key, the problem and the remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("settings file %q, key %q: %s; %s", e.File, e.Key, e.Problem, e.Remedy)
}

// Load reads and validates a settings file. The error lists all invalid values,
// or only the unknown keys or the syntax error if the file cannot be decoded.
func Load(path string) (*Node, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w; pass the path of a TOML file", err)
	}
	return Parse(path, content)
}

// Parse decodes and validates the content of a settings file. Errors refer to
// the file as name.
func Parse(name string, content []byte) (*Node, error) {
	n := &Node{DrainLimitMS: 60000, MaxBodyBytes: 16 << 20, TicketLifetimeMS: 30000, LogLevel: "info"}
	dec := toml.NewDecoder(bytes.NewReader(content)).DisallowUnknownFields()
	if err := dec.Decode(n); err != nil {
		return nil, decodeError(name, err)
	}
	if n.AdvertiseLink == "" {
		n.AdvertiseLink = n.LinkAddress
	}
	if n.AdvertiseGossip == "" {
		n.AdvertiseGossip = n.GossipAddress
	}
	if n.AdvertiseAdmin == "" {
		n.AdvertiseAdmin = n.AdminAddress
	}
	if err := n.validate(name); err != nil {
		return nil, err
	}
	return n, nil
}

func decodeError(name string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var errs []error
		for _, e := range strict.Errors {
			errs = append(errs, &Error{name, strings.Join(e.Key(), "."), "unknown key", "remove it or fix its spelling"})
		}
		return errors.Join(errs...)
	}
	var de *toml.DecodeError
	if errors.As(err, &de) {
		row, col := de.Position()
		return &Error{name, strings.Join(de.Key(), "."), fmt.Sprintf("line %d, column %d: %s", row, col, de.Error()), "fix the TOML"}
	}
	return fmt.Errorf("settings file %q: %w", name, err)
}

func (n *Node) validate(name string) error {
	var errs []error
	fail := func(key, problem, remedy string) {
		errs = append(errs, &Error{name, key, problem, remedy})
	}
	required := []struct{ key, value string }{
		{"id", n.ID}, {"region", n.Region}, {"availability_zone", n.AvailabilityZone},
	}
	for _, r := range required {
		if r.value == "" {
			fail(r.key, "missing", "set it to a name")
		} else if len(r.value) > membership.MaxStringBytes {
			fail(r.key, fmt.Sprintf("the name is %d bytes long", len(r.value)), fmt.Sprintf("use a name of at most %d bytes", membership.MaxStringBytes))
		}
	}
	n.validateAddresses(fail)
	if u, err := url.Parse(n.Platform); err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		fail("platform", fmt.Sprintf("%q is not an absolute HTTP URL", n.Platform), "use a URL such as http://10.0.0.9:9000")
	}
	positive := []struct {
		key   string
		value int64
	}{
		{"drain_limit_ms", n.DrainLimitMS}, {"max_body_bytes", n.MaxBodyBytes}, {"ticket_lifetime_ms", n.TicketLifetimeMS},
	}
	for _, p := range positive {
		if p.value <= 0 {
			fail(p.key, fmt.Sprintf("%d is not positive", p.value), "set a positive number, or remove the key to use the default")
		}
	}
	switch n.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		fail("log_level", fmt.Sprintf("unknown level %q", n.LogLevel), "use debug, info, warn or error")
	}
	return errors.Join(errs...)
}

func (n *Node) validateAddresses(fail func(key, problem, remedy string)) {
	addresses := []struct {
		key, value string
		concrete   bool
	}{
		{"caller_address", n.CallerAddress, false},
		{"target_address", n.TargetListenAddress, true},
		{"link_address", n.LinkAddress, false},
		{"gossip_address", n.GossipAddress, false},
		{"admin_address", n.AdminAddress, false},
		{"advertise_link", n.AdvertiseLink, true},
		{"advertise_gossip", n.AdvertiseGossip, true},
		{"advertise_admin", n.AdvertiseAdmin, true},
	}
	listeners := map[string]string{}
	for _, a := range addresses {
		if a.value == "" && strings.HasPrefix(a.key, "advertise_") {
			continue // the listen address, its default, is reported as missing
		}
		switch a.key {
		case "caller_address", "target_address", "link_address", "admin_address":
			if other, ok := listeners[a.value]; ok && a.value != "" {
				fail(a.key, fmt.Sprintf("%s is already used by %s", a.value, other), "use another port")
			}
			listeners[a.value] = a.key
		}
		if problem := checkAddress(a.value, a.concrete); problem != "" {
			fail(a.key, problem, "set it to an IP address and port, such as \"10.0.0.4:7000\"")
		}
	}
	if a, err := netip.ParseAddrPort(n.TargetListenAddress); err == nil {
		if !a.Addr().IsLoopback() {
			fail("target_address", fmt.Sprintf("%s is not a loopback address", a.Addr()), "use 127.0.0.1, since only the node's local target may connect")
		}
	}
	for _, s := range n.Seeds {
		if problem := checkAddress(s, true); problem != "" {
			fail("seeds", fmt.Sprintf("%q: %s", s, problem), "list gossip addresses of other nodes")
		}
	}
}

// checkAddress returns why s is not a valid address, or "". A concrete address
// is one that others connect to: its IP address must not be unspecified, and
// its port must not be 0.
func checkAddress(s string, concrete bool) string {
	if s == "" {
		return "missing"
	}
	a, err := netip.ParseAddrPort(s)
	switch {
	case err != nil:
		return fmt.Sprintf("%q is not an IP address and port", s)
	case concrete && a.Addr().IsUnspecified():
		return fmt.Sprintf("%s means all addresses, but a specific address is required", a.Addr())
	case concrete && a.Port() == 0:
		return "port 0 is not a port that others can connect to"
	}
	return ""
}

// DrainLimit returns DrainLimitMS as a duration.
func (n *Node) DrainLimit() time.Duration { return time.Duration(n.DrainLimitMS) * time.Millisecond }

// TicketLifetime returns TicketLifetimeMS as a duration.
func (n *Node) TicketLifetime() time.Duration {
	return time.Duration(n.TicketLifetimeMS) * time.Millisecond
}
