package gossip

import (
	"sort"

	"parsleyturn/internal/membership"
)

// View is an immutable snapshot of the membership.
type View struct {
	// Generation increases whenever the record of a node is added, changed or
	// removed. Data derived from a view remains valid while Generation is the
	// same.
	Generation uint64
	// all holds this node, then the other live nodes, then the lost and left
	// nodes. The two latter parts are in the order of the IDs.
	all  []membership.Node
	live int
}

func newView(m *membership.Machine) *View {
	all := m.Nodes()
	v := &View{Generation: m.Generation(), all: all, live: 1}
	var notLive []membership.Node
	for _, n := range all[1:] {
		if n.State.Live() {
			all[v.live] = n
			v.live++
		} else {
			notLive = append(notLive, n)
		}
	}
	copy(all[v.live:], notLive)
	return v
}

// Nodes returns the live nodes, which are alive or suspect, this node first.
// The caller must not modify the slice.
func (v *View) Nodes() []membership.Node { return v.all[:v.live:v.live] }

// NotLive returns the lost and left nodes that are still in the view. The
// caller must not modify the slice.
func (v *View) NotLive() []membership.Node { return v.all[v.live:] }

// Node returns the record of a node by ID, whatever its state.
func (v *View) Node(id string) (membership.Node, bool) {
	if v.all[0].ID == id {
		return v.all[0], true
	}
	for _, part := range [...][]membership.Node{v.all[1:v.live], v.all[v.live:]} {
		i := sort.Search(len(part), func(i int) bool { return part[i].ID >= id })
		if i < len(part) && part[i].ID == id {
			return part[i], true
		}
	}
	return membership.Node{}, false
}
