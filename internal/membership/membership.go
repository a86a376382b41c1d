// Package membership implements the SWIM group membership protocol: random
// probes, indirect probes, suspicion with refutation, piggybacked updates and
// anti-entropy.
//
// It is a deterministic state machine without I/O: the caller passes in the
// time, the random source and received datagrams, and sends the datagrams that
// are returned. Package gossip runs it over UDP.
package membership

import (
	"errors"
	"fmt"
)

// State is the state of a node in the view of another node.
type State uint8

// States of a node.
const (
	Alive State = iota
	// Suspect means that a probe failed and the node can still refute the
	// suspicion.
	Suspect
	// Lost means that the suspicion was not refuted in time.
	Lost
	// Left means that the node announced its departure.
	Left
)

// String returns the name of the state.
func (s State) String() string {
	if s > Left {
		return "unknown"
	}
	return [...]string{"alive", "suspect", "lost", "left"}[s]
}

// Live reports whether the state is Alive or Suspect.
func (s State) Live() bool { return s <= Suspect }

// Node is the membership record of a node and its target.
type Node struct {
	ID string `msgpack:"n" json:"id"`
	// Incarnation increases with every new process that runs under the same ID.
	Incarnation uint64 `msgpack:"i" json:"incarnation"`
	// Version increases with every change that the node makes to its own record
	// and with every refutation of a suspicion.
	Version    uint64 `msgpack:"v" json:"version"`
	LinkAddr   string `msgpack:"l" json:"link_address"`
	GossipAddr string `msgpack:"g" json:"gossip_address"`
	AdminAddr  string `msgpack:"a" json:"admin_address"`
	Region     string `msgpack:"r" json:"region"`
	Zone       string `msgpack:"z" json:"zone"`
	// Service is empty until a target has announced itself to the node.
	Service  string `msgpack:"s" json:"service"`
	Slots    int    `msgpack:"c" json:"slots"`
	Cold     bool   `msgpack:"co" json:"cold"`
	Draining bool   `msgpack:"d" json:"draining"`
	// UsesRegionLink is set while the node sends over the link between regions.
	// The other nodes use it to compute their share of the link.
	UsesRegionLink bool  `msgpack:"u" json:"uses_region_link"`
	State          State `msgpack:"st" json:"state"`
}

// Newer reports whether a is a later record of the same node than b.
func Newer(a, b Node) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return a.State > b.State
}

// MaxStringBytes is the maximum length in bytes of a string in a record, such
// as a service name.
const MaxStringBytes = maxString

// Validate reports the first value that cannot be encoded in a datagram.
func (n Node) Validate() error {
	if n.ID == "" {
		return errors.New("node id is empty; set it to a name that is unique among the nodes")
	}
	for _, f := range [...]struct{ name, value string }{
		{"id", n.ID}, {"link address", n.LinkAddr}, {"gossip address", n.GossipAddr}, {"admin address", n.AdminAddr},
		{"region", n.Region}, {"availability zone", n.Zone}, {"service", n.Service},
	} {
		if len(f.value) > maxString {
			return fmt.Errorf("%s of node %q has %d bytes; use at most %d", f.name, n.ID, len(f.value), maxString)
		}
	}
	if n.Slots < 0 || n.Slots > maxSlots {
		return fmt.Errorf("node %q has %d slots; declare 0 to %d", n.ID, n.Slots, maxSlots)
	}
	return nil
}
