package dispatch

import (
	"parsleyturn/internal/balancer"
	"parsleyturn/internal/gossip"
	"parsleyturn/internal/wire"
)

// peer is a node that offers a service.
type peer struct {
	id          string
	incarnation uint64
	address     string // of its link
	region      string
}

// candidates returns the nodes that offer a service, except draining and
// replaced ones. s.mu must be held.
func (s *Service) candidates(service string) []balancer.Candidate {
	view := s.Members.View()
	if s.candidatesByService == nil || view.Generation != s.viewGeneration {
		s.viewGeneration = view.Generation
		s.pruneReplaced(view)
		s.pruneLeaving(view)
		s.candidatesByService = make(map[string][]balancer.Candidate)
		s.peers = make(map[string]peer)
		for _, n := range view.Nodes() {
			if n.Service == "" || n.Draining || s.replacedIncarnations[n.ID] == n.Incarnation {
				continue
			}
			s.peers[n.ID] = peer{n.ID, n.Incarnation, n.LinkAddr, n.Region}
			s.candidatesByService[n.Service] = append(s.candidatesByService[n.Service], balancer.Candidate{
				NodeID: n.ID, Incarnation: n.Incarnation, Region: n.Region, Zone: n.Zone, Slots: n.Slots, Cold: n.Cold,
			})
		}
		s.budgets.setNodes(len(view.Nodes()))
	}
	return s.candidatesByService[service]
}

// markReplaced excludes a node at whose address another node responded, until
// gossip reports it lost or with another incarnation. Gossip takes about 6 s to
// detect the replacement.
func (s *Service) markReplaced(p peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replacedIncarnations == nil {
		s.replacedIncarnations = make(map[string]uint64)
	}
	s.replacedIncarnations[p.id] = p.incarnation
	s.candidatesByService = nil
	s.Log.System.Info().Str("event", "node-replaced").Str("peer", p.id).Uint64("incarnation", p.incarnation).Str("address", p.address).Msg("another node responds at this node's address; excluding the node")
}

// pruneReplaced drops entries whose incarnation is no longer that of a live
// node. s.mu must be held.
func (s *Service) pruneReplaced(view *gossip.View) {
	for id, incarnation := range s.replacedIncarnations {
		if n, ok := view.Node(id); !ok || !n.State.Live() || n.Incarnation != incarnation {
			delete(s.replacedIncarnations, id)
		}
	}
}

// recordLeaving records a target that said that it leaves. Its node is told with
// each request, as it forgets what it has seen when it restarts.
func (s *Service) recordLeaving(node string, t wire.Target) {
	if t == (wire.Target{}) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leavingTargets == nil {
		s.leavingTargets = make(map[string]wire.Target)
	}
	s.leavingTargets[node] = t
}

// leavingTarget returns the target of a node that said that it leaves, if any.
func (s *Service) leavingTarget(node string) wire.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leavingTargets[node]
}

// pruneLeaving drops the targets of nodes that are no longer known, so that the
// map does not grow with the nodes that ever existed. s.mu must be held.
func (s *Service) pruneLeaving(view *gossip.View) {
	for id := range s.leavingTargets {
		if _, ok := view.Node(id); !ok {
			delete(s.leavingTargets, id)
		}
	}
}

// TargetCount returns the number of nodes to which requests for a service may be
// sent.
func (s *Service) TargetCount(service string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.candidates(service))
}
