package gossip

import (
	"sort"

	"parsleyturn/internal/membership"
)

// View is an immutable snapshot of the membership.
type View struct {
	// Generation changes with every change of the membership. A caller that
	// derives data from a view needs to do so again only when it differs.
	Generation uint64
	// all holds this node, the other live nodes in order of their ids, and
	// the lost and left ones in order of their ids.
	all  []membership.Node
	live int
}

func newView(m *membership.Machine) *View {
	all := m.Nodes()
	v := &View{Generation: m.Generation(), all: all, live: 1}
	var gone []membership.Node
	for _, n := range all[1:] {
		if n.State.Live() {
			all[v.live] = n
			v.live++
		} else {
			gone = append(gone, n)
		}
	}
	copy(all[v.live:], gone)
	return v
}

// Nodes returns this node first and then the other live nodes: alive or
// suspect. The caller must not change the slice.
func (v *View) Nodes() []membership.Node { return v.all[:v.live:v.live] }

// NotLive returns the lost and left nodes that are not forgotten yet. The caller
// must not change the slice.
func (v *View) NotLive() []membership.Node { return v.all[v.live:] }

// Node returns a known node in any state.
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
