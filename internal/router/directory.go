package router

import (
	"sync/atomic"

	"parsleyturn/internal/apierror"
	"parsleyturn/internal/balancer"
	"parsleyturn/internal/gossip"
)

// destination is the node that an attempt is sent to.
type destination struct {
	ID          string
	Incarnation uint64
	Address     string
	Region      string
}

// serviceIndex maps services to the nodes of one membership view. It is
// immutable.
type serviceIndex struct {
	generation uint64
	byService  map[string][]balancer.Candidate
}

// directory finds nodes in the membership view by service and by ID. It is safe
// for concurrent use.
type directory struct {
	view    func() *gossip.View
	current atomic.Pointer[serviceIndex]
}

// candidates returns the live nodes whose targets offer a service. The slice is
// shared; do not modify it.
func (d *directory) candidates(service string) []balancer.Candidate {
	view := d.view()
	idx := d.current.Load()
	if idx == nil || idx.generation != view.Generation {
		idx = newServiceIndex(view)
		d.current.Store(idx)
	}
	return idx.byService[service]
}

func newServiceIndex(view *gossip.View) *serviceIndex {
	idx := &serviceIndex{generation: view.Generation, byService: make(map[string][]balancer.Candidate)}
	for _, n := range view.Nodes() {
		if n.Service == "" {
			continue
		}
		idx.byService[n.Service] = append(idx.byService[n.Service], balancer.Candidate{
			NodeID: n.ID, Incarnation: n.Incarnation, Region: n.Region, Zone: n.Zone, Slots: n.Slots, Cold: n.Cold, Draining: n.Draining,
		})
	}
	return idx
}

// node returns a node by ID, also if it is not live: a node that the failure
// detector wrongly considers lost can still resolve the tickets that it issued.
func (d *directory) node(id string) (destination, error) {
	n, ok := d.view().Node(id)
	if !ok {
		return destination{}, apierror.New(apierror.NoTarget, apierror.NotRun, "node %q is no longer a member", id)
	}
	return destination{n.ID, n.Incarnation, n.LinkAddr, n.Region}, nil
}
