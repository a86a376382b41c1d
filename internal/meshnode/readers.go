package meshnode

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"parsleyturn/internal/membership"
)

// configReadersPerZone is the number of nodes of an availability zone that read
// configurations from the store. With two, the loss of one does not leave its
// zone to the other zones.
const configReadersPerZone = 2

// maxConfigLeaders is the number of nodes that a node follows, one after another,
// before it reads configurations from the store itself.
const maxConfigLeaders = 4

// readingOrder returns the live nodes of an availability zone in the order in which
// they read configurations from the store in place of those after them. Nodes that
// drain come last, as they are about to end; the others are in the order of their
// IDs, so that all nodes with the same view agree.
func readingOrder(zone string, nodes []membership.Node) []membership.Node {
	var candidates []membership.Node
	for _, n := range nodes {
		if n.Zone == zone {
			candidates = append(candidates, n)
		}
	}
	slices.SortFunc(candidates, func(a, b membership.Node) int {
		if a.Draining != b.Draining {
			if a.Draining {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return candidates
}

// readersOf returns the nodes of an availability zone that read configurations from
// the store while all is well.
func readersOf(zone string, nodes []membership.Node) []membership.Node {
	order := readingOrder(zone, nodes)
	return order[:min(len(order), configReadersPerZone)]
}

// otherZones returns the other availability zones of the first node's region
// that have live nodes, in random order.
func otherZones(nodes []membership.Node) []string {
	self := nodes[0]
	var zones []string
	for _, n := range nodes {
		if n.Region == self.Region && n.Zone != self.Zone && !slices.Contains(zones, n.Zone) {
			zones = append(zones, n.Zone)
		}
	}
	rand.Shuffle(len(zones), func(i, j int) { zones[i], zones[j] = zones[j], zones[i] })
	return zones
}

// configLeaders returns the addresses at which the nodes that read configurations
// in place of the first node serve them, in the order in which it follows them. A
// reader has none. The followers of a zone are divided among its readers.
func configLeaders(nodes []membership.Node) []string {
	order := readingOrder(nodes[0].Zone, nodes)
	rank := slices.IndexFunc(order, func(n membership.Node) bool { return n.ID == nodes[0].ID })
	if rank < configReadersPerZone {
		return nil
	}
	leaders := order[:min(rank, maxConfigLeaders)]
	first := rank % configReadersPerZone
	leaders[0], leaders[first] = leaders[first], leaders[0]
	return adminAddresses(leaders)
}

// configReaders returns the addresses at which other readers serve their
// configuration to the first node: those of its availability zone, then one of
// another zone of the region. Without that one, a zone whose readers do not respond
// would read large configurations over the link between the regions, a copy for
// each node.
func configReaders(nodes []membership.Node) []string {
	readers := readersOf(nodes[0].Zone, nodes)
	if zones := otherZones(nodes); len(zones) > 0 {
		readers = append(readers, readersOf(zones[0], nodes)[0])
	}
	readers = slices.DeleteFunc(readers, func(r membership.Node) bool { return r.ID == nodes[0].ID })
	return adminAddresses(readers)
}

// adminAddresses returns the addresses of the nodes that have one.
func adminAddresses(nodes []membership.Node) []string {
	var addresses []string
	for _, n := range nodes {
		if n.AdminAddr != "" {
			addresses = append(addresses, n.AdminAddr)
		}
	}
	return addresses
}
