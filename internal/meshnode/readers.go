package meshnode

import (
	"cmp"
	"slices"

	"parsleyturn/internal/membership"
)

// configReadersPerZone is the number of nodes of an availability zone that read
// configurations from the store. With two, the loss of one does not leave its
// zone to the other zones.
const configReadersPerZone = 2

// readersOf returns the live nodes of the first node's availability zone that
// read configurations from the store. Nodes that drain come last, as they are
// about to end; the others are in the order of their IDs, so that all nodes with
// the same view agree.
func readersOf(nodes []membership.Node) []membership.Node {
	var zone []membership.Node
	for _, n := range nodes {
		if n.Zone == nodes[0].Zone {
			zone = append(zone, n)
		}
	}
	slices.SortFunc(zone, func(a, b membership.Node) int {
		if a.Draining != b.Draining {
			if a.Draining {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return zone[:min(len(zone), configReadersPerZone)]
}

// isConfigReader reports whether this node reads configurations from the store.
func (n *Node) isConfigReader() bool {
	nodes := n.gossip.Nodes()
	return slices.ContainsFunc(readersOf(nodes), func(r membership.Node) bool { return r.ID == nodes[0].ID })
}

// configReaders returns the addresses at which the other readers of the
// availability zone serve their configuration.
func (n *Node) configReaders() []string {
	nodes := n.gossip.Nodes()
	var addresses []string
	for _, r := range readersOf(nodes) {
		if r.ID != nodes[0].ID && r.AdminAddr != "" {
			addresses = append(addresses, r.AdminAddr)
		}
	}
	return addresses
}
