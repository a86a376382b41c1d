package meshnode

import (
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
	n := &Node{gossip: gossip.New(self, "", nil, eventlog.Nop().System)}
	assert.Assert(t, n.isConfigReader())
}
