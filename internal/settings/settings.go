// Package settings reads the TOML settings of a node and checks every field.
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
	// ID is unique among the nodes.
	ID               string `toml:"id"`
	Region           string `toml:"region"`
	AvailabilityZone string `toml:"availability_zone"`

	// CallerAddress serves callers, for example "10.0.0.4:8080".
	CallerAddress string `toml:"caller_address"`
	// TargetAddress serves the node's own target; it must be a loopback
	// address.
	TargetAddress string `toml:"target_address"`
	LinkAddress   string `toml:"link_address"`
	GossipAddress string `toml:"gossip_address"`
	AdminAddress  string `toml:"admin_address"`
	// Advertised addresses; they default to the addresses listened on.
	AdvertiseLink   string `toml:"advertise_link"`
	AdvertiseGossip string `toml:"advertise_gossip"`
	AdvertiseAdmin  string `toml:"advertise_admin"`

	// Seeds are gossip addresses of nodes to join.
	Seeds []string `toml:"seeds"`
	// Platform is the base URL of the platform's service.
	Platform string `toml:"platform"`

	// DrainLimitMS bounds a graceful stop. Default 60,000 ms.
	DrainLimitMS int64 `toml:"drain_limit_ms"`
	// MaxBodyBytes bounds a request body. Default 16 MiB.
	MaxBodyBytes int64 `toml:"max_body_bytes"`
	// TicketLifetimeMS is how long a ticket can be used. Default 30,000 ms.
	TicketLifetimeMS int64 `toml:"ticket_lifetime_ms"`
	// LogLevel is debug, info, warn or error. Default info.
	LogLevel string `toml:"log_level"`
}

// Error reports a setting that cannot be used.
type Error struct {
	File    string
	Key     string
	Problem string
	Remedy  string
}

// Error names the file, the key and the remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("settings file %q, key %q: %s; %s", e.File, e.Key, e.Problem, e.Remedy)
}

// Load reads and checks a settings file. It reports all problems at once.
func Load(path string) (*Node, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w; give the path of a TOML file", err)
	}
	return Parse(path, content)
}

// Parse checks the content of a settings file. name appears in errors.
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
	if err := n.check(name); err != nil {
		return nil, err
	}
	return n, nil
}

func decodeError(name string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var errs []error
		for _, e := range strict.Errors {
			errs = append(errs, &Error{name, strings.Join(e.Key(), "."), "unknown key", "remove it or correct its spelling"})
		}
		return errors.Join(errs...)
	}
	var de *toml.DecodeError
	if errors.As(err, &de) {
		row, col := de.Position()
		return &Error{name, strings.Join(de.Key(), "."), fmt.Sprintf("line %d, column %d: %s", row, col, de.Error()), "correct the TOML"}
	}
	return fmt.Errorf("settings file %q: %w", name, err)
}

func (n *Node) check(name string) error {
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
			fail(r.key, fmt.Sprintf("%d bytes", len(r.value)), fmt.Sprintf("use a name of at most %d", membership.MaxStringBytes))
		}
	}
	n.checkAddresses(fail)
	if u, err := url.Parse(n.Platform); err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		fail("platform", fmt.Sprintf("%q is not an absolute HTTP URL", n.Platform), "use a form like http://10.0.0.9:9000")
	}
	positive := []struct {
		key   string
		value int64
	}{
		{"drain_limit_ms", n.DrainLimitMS}, {"max_body_bytes", n.MaxBodyBytes}, {"ticket_lifetime_ms", n.TicketLifetimeMS},
	}
	for _, p := range positive {
		if p.value <= 0 {
			fail(p.key, fmt.Sprintf("%d is not positive", p.value), "set a positive number or remove the key for the default")
		}
	}
	switch n.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		fail("log_level", fmt.Sprintf("unknown level %q", n.LogLevel), "use debug, info, warn or error")
	}
	return errors.Join(errs...)
}

func (n *Node) checkAddresses(fail func(key, problem, remedy string)) {
	addresses := []struct {
		key, value string
		concrete   bool
	}{
		{"caller_address", n.CallerAddress, false},
		{"target_address", n.TargetAddress, true},
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
			continue // the address that it defaults to is reported
		}
		switch a.key {
		case "caller_address", "target_address", "link_address", "admin_address":
			if other, ok := listeners[a.value]; ok && a.value != "" {
				fail(a.key, fmt.Sprintf("%s is also %s", a.value, other), "use another port")
			}
			listeners[a.value] = a.key
		}
		if problem := checkAddress(a.value, a.concrete); problem != "" {
			fail(a.key, problem, "set it to an IP number and port, such as \"10.0.0.4:7000\"")
		}
	}
	if a, err := netip.ParseAddrPort(n.TargetAddress); err == nil {
		if !a.Addr().IsLoopback() {
			fail("target_address", fmt.Sprintf("%s is not a loopback address", a.Addr()), "use 127.0.0.1, as only the node's own target may connect")
		}
	}
	for _, s := range n.Seeds {
		if problem := checkAddress(s, true); problem != "" {
			fail("seeds", fmt.Sprintf("%q: %s", s, problem), "list gossip addresses of other nodes")
		}
	}
}

func checkAddress(s string, concrete bool) string {
	if s == "" {
		return "missing"
	}
	a, err := netip.ParseAddrPort(s)
	switch {
	case err != nil:
		return fmt.Sprintf("%q is not an IP number and port", s)
	case concrete && a.Addr().IsUnspecified():
		return fmt.Sprintf("%s stands for all addresses, but one must be named", a.Addr())
	case concrete && a.Port() == 0:
		return "port 0 cannot be connected to"
	}
	return ""
}

// DrainLimit is the bound of a graceful stop.
func (n *Node) DrainLimit() time.Duration { return time.Duration(n.DrainLimitMS) * time.Millisecond }

// TicketLifetime is how long a ticket can be used.
func (n *Node) TicketLifetime() time.Duration {
	return time.Duration(n.TicketLifetimeMS) * time.Millisecond
}
