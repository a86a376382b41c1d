// Package node assembles a node from its services and runs it until it is
// drained.
package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"parsleyturn/internal/admin"
	"parsleyturn/internal/bootstrap"
	"parsleyturn/internal/configdist"
	"parsleyturn/internal/configstore"
	"parsleyturn/internal/executor"
	"parsleyturn/internal/gateway"
	"parsleyturn/internal/gossip"
	"parsleyturn/internal/kernel"
	"parsleyturn/internal/link"
	"parsleyturn/internal/linkserver"
	"parsleyturn/internal/membership"
	"parsleyturn/internal/platformclient"
	"parsleyturn/internal/regionlimiter"
	"parsleyturn/internal/router"
	"parsleyturn/internal/settings"
	"parsleyturn/internal/targetstatus"
	"parsleyturn/internal/wire"
)

const (
	// spreadTime lets peers and callers learn that the node is leaving
	// before it closes its listeners.
	spreadTime = 500 * time.Millisecond
	pollDrain  = 10 * time.Millisecond
	// closeTime bounds the end of the services after draining.
	closeTime = 5 * time.Second
)

// Node is one process beside a target.
type Node struct {
	settings *settings.Node
	log      zerolog.Logger
	kernel   *kernel.Kernel

	conf     *configdist.Service
	gossip   *gossip.Service
	executor *executor.Service
	links    *linkserver.Service
	gateway  *gateway.Service
	router   *router.Service

	drainOnce sync.Once
	drain     chan struct{}
}

// DrainError says that a graceful stop did not finish within its limit.
type DrainError struct {
	InFlight int
	Limit    time.Duration
}

// Error gives the count of requests that were cut off.
func (e *DrainError) Error() string {
	return fmt.Sprintf("%d requests were still in flight after the drain limit of %s and were cut off; raise drain_limit_ms", e.InFlight, e.Limit)
}

// New assembles a node.
func New(s *settings.Node, log zerolog.Logger) (*Node, error) {
	n := &Node{settings: s, log: log.With().Str("node", s.ID).Logger(), kernel: kernel.New(), drain: make(chan struct{})}
	client, err := platformclient.New(s.Platform)
	if err != nil {
		return nil, err
	}
	// The start time orders the incarnations of an id; two starts of one id
	// are never within the same ns.
	incarnation := uint64(time.Now().UnixNano())
	self := membership.Node{
		ID: s.ID, Incarnation: incarnation, LinkAddr: s.AdvertiseLink, GossipAddr: s.AdvertiseGossip,
		AdminAddr: s.AdvertiseAdmin, Region: s.Region, Zone: s.AvailabilityZone,
	}
	n.conf = &configdist.Service{Store: configstore.New(client), Log: n.log}
	host, _, err := net.SplitHostPort(s.LinkAddress)
	if err != nil {
		return nil, fmt.Errorf("link_address: %w", err)
	}
	localIP := net.ParseIP(host)
	if localIP != nil && localIP.IsUnspecified() {
		localIP = nil
	}
	if localIP != nil {
		client.SetLocalAddr(localIP)
		n.conf.SetLocalAddr(localIP)
	}
	hello := func() wire.Hello {
		return wire.Hello{Protocol: wire.ProtocolVersion, NodeID: s.ID, Incarnation: incarnation, ConfigVersion: n.conf.Version()}
	}
	timing := link.DefaultTiming()
	n.gossip = gossip.New(self, s.GossipAddress, s.Seeds, n.log)
	n.executor = &executor.Service{NodeID: s.ID, Incarnation: incarnation, TicketLifetime: s.TicketLifetime(), Log: n.log}
	n.links = &linkserver.Service{Address: s.LinkAddress, Region: s.Region, MaxBodyBytes: s.MaxBodyBytes, Hello: hello, Timing: timing, Log: n.log}
	n.gateway = &gateway.Service{CallerAddress: s.CallerAddress, TargetAddress: s.TargetAddress, MaxBodyBytes: s.MaxBodyBytes, Log: n.log}
	n.router = &router.Service{NodeID: s.ID, Region: s.Region, Zone: s.AvailabilityZone, LocalIP: localIP, Hello: hello, Timing: timing, Log: n.log}
	n.gossip.ConfigVersion = n.conf.Version
	n.gossip.OnConfigVersion = func(version uint64, from membership.Node) { n.conf.ObservePeerVersion(version, from.AdminAddr) }
	// A later process has taken over this id, so this one leaves.
	n.gossip.OnSuperseded = func(membership.Node) { n.Drain() }
	n.conf.Peers = n.peers
	n.conf.LiveNodes = func() int { return len(n.gossip.Nodes()) }
	n.conf.OnAdopt = func(version uint64) {
		n.gossip.AnnounceConfig(version)
		n.executor.ConfigChanged()
	}
	var rows bootstrap.RowStore
	if client != nil {
		rows = client
	}
	services := []struct {
		name    string
		service kernel.Service
	}{
		{gossip.Name, n.gossip},
		{bootstrap.Name, bootstrap.New(rows, n.log)},
		{configdist.Name, n.conf},
		{regionlimiter.Name, &regionlimiter.Service{Region: s.Region}},
		{targetstatus.Name, &targetstatus.Service{Log: n.log}},
		{executor.Name, n.executor},
		{linkserver.Name, n.links},
		{router.Name, n.router},
		{gateway.Name, n.gateway},
		{admin.Name, &admin.Service{Address: s.AdminAddress, Drain: n.Drain, InFlight: n.unfinished, Log: n.log}},
	}
	for _, e := range services {
		if err := n.kernel.Register(e.name, e.service); err != nil {
			return nil, err
		}
	}
	return n, nil
}

// Start starts the services.
func (n *Node) Start(ctx context.Context) error {
	if err := n.kernel.Start(ctx); err != nil {
		return err
	}
	n.log.Info().Str("callers", n.settings.CallerAddress).Str("admin", n.settings.AdminAddress).Msg("node started")
	return nil
}

// Drain begins a graceful stop. Draining is closed.
func (n *Node) Drain() { n.drainOnce.Do(func() { close(n.drain) }) }

// Draining is closed when a graceful stop has begun.
func (n *Node) Draining() <-chan struct{} { return n.drain }

// Stop finishes what is in flight and stops the services. It returns
// *DrainError if requests had to be cut off.
func (n *Node) Stop() error {
	n.Drain()
	n.log.Info().Int("in_flight", n.unfinished()).Msg("draining")
	n.executor.Drain()
	n.gossip.Update(func(m *membership.Node) { m.Draining = true })
	n.links.GoAway()
	time.Sleep(spreadTime)

	ctx, cancel := context.WithTimeout(context.Background(), n.settings.DrainLimit())
	defer cancel()
	callersErr := n.gateway.StopCallers(ctx)
	for n.busy() && ctx.Err() == nil {
		time.Sleep(pollDrain)
	}
	left, unfinished := n.busy(), n.unfinished()
	leaveErr := n.gossip.Leave(ctx)
	closeCtx, cancelClose := context.WithTimeout(context.Background(), closeTime)
	defer cancelClose()
	err := n.kernel.Stop(closeCtx)
	if left || callersErr != nil {
		return &DrainError{unfinished, n.settings.DrainLimit()}
	}
	n.log.Info().Msg("stopped")
	return errors.Join(err, leaveErr)
}

// peers returns the administration addresses of the other live nodes.
func (n *Node) peers() []string {
	nodes := n.gossip.Nodes()[1:]
	out := make([]string, 0, len(nodes))
	for _, m := range nodes {
		out = append(out, m.AdminAddr)
	}
	return out
}

// unfinished counts each request once: one that entered here and runs on the
// own target is known to the gateway and to the executor, and a sub-call of
// the target belongs to a request of the executor.
func (n *Node) unfinished() int {
	return n.executor.InFlight() + max(n.gateway.CallerRequests()-n.router.LocalCalls(), 0)
}

// busy reports whether a request is in flight anywhere in the node: at the
// gateway, on a link, or in the executor, which may hold a slot a little
// longer than its caller.
func (n *Node) busy() bool {
	return n.gateway.InFlight()+n.links.InFlight()+n.executor.InFlight() > 0
}
