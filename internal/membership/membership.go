// Package membership keeps the view of the nodes that make up the system.
//
// It is a pure state machine: the caller passes the time, the randomness and
// the datagrams, and sends what is returned. It implements SWIM: random
// probes, indirect probes, suspicion with refutation, piggybacked updates and
// anti-entropy. Package gossip runs it over UDP.
package membership

import (
	"errors"
	"fmt"
)

// State is what a node believes of another.
type State uint8

// States of a node.
const (
	Alive State = iota
	// Suspect means that a probe failed and the node may still refute.
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

// Node describes one node and its target.
type Node struct {
	ID string `msgpack:"n" json:"id"`
	// Incarnation is larger for every process that runs under the same id.
	Incarnation uint64 `msgpack:"i" json:"incarnation"`
	// Version grows with every change that the node announces of itself and
	// with every refutation of a suspicion.
	Version    uint64 `msgpack:"v" json:"version"`
	LinkAddr   string `msgpack:"l" json:"link_address"`
	GossipAddr string `msgpack:"g" json:"gossip_address"`
	AdminAddr  string `msgpack:"a" json:"admin_address"`
	Region     string `msgpack:"r" json:"region"`
	Zone       string `msgpack:"z" json:"zone"`
	// Service is empty while no target has announced itself.
	Service  string `msgpack:"s" json:"service"`
	Slots    int    `msgpack:"c" json:"slots"`
	Cold     bool   `msgpack:"co" json:"cold"`
	Draining bool   `msgpack:"d" json:"draining"`
	// UsesRegionLink is set while the node sends over the link between
	// regions, so that the others can compute their share.
	UsesRegionLink bool  `msgpack:"u" json:"uses_region_link"`
	State          State `msgpack:"st" json:"state"`
}

// Newer reports whether a describes a later state of the same node than b.
func Newer(a, b Node) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return a.State > b.State
}

// MaxStringBytes is the longest text of a record, such as the name of a service, in
// bytes.
const MaxStringBytes = maxString

// Validate reports what keeps the record of a node from being sent.
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
