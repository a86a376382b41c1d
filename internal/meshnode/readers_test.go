package meshnode

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/eventlog"
	"parsleyturn/internal/gossip"
	"parsleyturn/internal/membership"
)

// Guards against a zone without responsive readers that has no other source in
// its region, and against readers of the zone that are asked after others.
func TestConfigReadersOfOtherZoneComeLast(t *testing.T) {
	self := membership.Node{ID: "b-3", Zone: "b", Region: "r", AdminAddr: "10.0.2.3:1"}
	nodes := []membership.Node{
		self,
		{ID: "b-1", Zone: "b", Region: "r", AdminAddr: "10.0.2.1:1", Draining: true},
		{ID: "b-2", Zone: "b", Region: "r", AdminAddr: "10.0.2.2:1"},
		{ID: "b-4", Zone: "b", Region: "r", AdminAddr: "10.0.2.4:1"},
		{ID: "a-2", Zone: "a", Region: "r", AdminAddr: "10.0.1.2:1"},
		{ID: "a-1", Zone: "a", Region: "r", AdminAddr: "10.0.1.1:1"},
		{ID: "c-1", Zone: "c", Region: "elsewhere", AdminAddr: "10.0.3.1:1"},
	}
	assert.DeepEqual(t, configReaders(nodes), []string{"10.0.2.2:1", "10.0.1.1:1"})
	assert.DeepEqual(t, configReaders(nodes[:3]), []string{"10.0.2.2:1"})
	alone := &Node{gossip: gossip.New(self, "", nil, eventlog.Nop().System)}
	assert.Equal(t, len(configLeaders(alone.gossip.Nodes())), 0) // a node alone is a reader
}

// Guards against followers that all wait at the same reader, and against nodes that
// follow each other, so that none of them reads the store.
func TestConfigLeadersPrecedeNodeInReadingOrder(t *testing.T) {
	var nodes []membership.Node
	for i := range 12 {
		id := string(rune('a' + i))
		nodes = append(nodes, membership.Node{ID: id, Zone: "z", AdminAddr: id, Draining: id == "a"})
	}
	leadersOf := func(id string) []string {
		view := slices.Clone(nodes)
		i := slices.IndexFunc(view, func(n membership.Node) bool { return n.ID == id })
		view[0], view[i] = view[i], view[0]
		return configLeaders(view)
	}
	assert.Equal(t, len(leadersOf("b"))+len(leadersOf("c")), 0)
	assert.DeepEqual(t, leadersOf("d"), []string{"b", "c"})
	assert.DeepEqual(t, leadersOf("e"), []string{"c", "b", "d"})
	assert.DeepEqual(t, leadersOf("l"), []string{"b", "c", "d", "e"})
	assert.DeepEqual(t, leadersOf("a"), []string{"c", "b", "d", "e"}) // the draining node comes last
}
