// Package node assembles a node with the product's own interface (header fields
// Parsley-*, configuration by kinds of requests) from its services, runs it and
// shuts it down gracefully. Package meshnode does the same for a node on the
// users' platform.
package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"parsleyturn/internal/admin"
	"parsleyturn/internal/bootstrap"
	"parsleyturn/internal/callerconn"
	"parsleyturn/internal/configdist"
	"parsleyturn/internal/configstore"
	"parsleyturn/internal/connlimit"
	"parsleyturn/internal/departure"
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
	// drainNoticePeriod is the time for which a draining node keeps its listeners
	// open, so that peers and callers learn of the shutdown before their
	// connections are refused.
	drainNoticePeriod = 500 * time.Millisecond
	drainPollInterval = 10 * time.Millisecond
	// subCallDivisor is the inverse of the part of the connections of callers that is
	// for sub-calls of the local target.
	subCallDivisor = 4
	// maxPlatformResponse bounds a response of the platform in bytes: a record or a
	// file of the configuration, or a few hundred short rows.
	maxPlatformResponse = 2 << 20
	// serviceStopTimeout bounds the shutdown of the services after draining.
	serviceStopTimeout = 5 * time.Second
)

// Node holds the services of one node. The node runs beside its local target.
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
	// departures keeps the departures of the target.
	departures *departure.Journal

	// listenerLost is set once a listener accepts no more connections.
	listenerLost atomic.Bool

	drainOnce sync.Once
	draining  chan struct{}
}

// DrainError reports that a graceful shutdown did not finish within the drain
// limit.
type DrainError struct {
	InFlight int
	Limit    time.Duration
}

// Error includes the number of requests that were cut off.
func (e *DrainError) Error() string {
	return fmt.Sprintf("%d requests were still in flight after the drain limit of %s and were cut off; raise drain_limit_ms", e.InFlight, e.Limit)
}

// New assembles a node without starting it.
func New(s *settings.Node, log zerolog.Logger) (*Node, error) {
	n := &Node{settings: s, log: log.With().Str("node", s.ID).Logger(), kernel: kernel.New(), draining: make(chan struct{})}
	client, err := platformclient.New(s.Platform)
	if err != nil {
		return nil, err
	}
	// The start time orders the incarnations of a node ID. It is unique, since
	// two processes with the same ID never start within the same nanosecond.
	incarnation := uint64(time.Now().UnixNano())
	self := membership.Node{
		ID: s.ID, Incarnation: incarnation, LinkAddr: s.AdvertiseLink, GossipAddr: s.AdvertiseGossip,
		AdminAddr: s.AdvertiseAdmin, Region: s.Region, Zone: s.AvailabilityZone,
	}
	client.SetMaxResponse(maxPlatformResponse)
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
	timeouts := link.DefaultTimeouts()
	n.gossip = gossip.New(self, s.GossipAddress, s.Seeds, n.log)
	n.executor = &executor.Service{NodeID: s.ID, Incarnation: incarnation, TicketLifetime: s.TicketLifetime(), Log: n.log}
	shares := connlimit.Divide(callerconn.DescriptorLimit(0))
	onLost := func(error) { n.listenerLost.Store(true) }
	n.links = &linkserver.Service{OnListenerLost: onLost, Address: s.LinkAddress, Region: s.Region, MaxBodyBytes: s.MaxBodyBytes, Hello: hello, Timeouts: timeouts, Log: n.log}
	n.gateway = &gateway.Service{CallerAddress: s.CallerAddress, TargetListenAddress: s.TargetListenAddress, MaxBodyBytes: s.MaxBodyBytes, Log: n.log,
		CallerConnections: connlimit.Config{Limit: shares.Callers - shares.Callers/subCallDivisor, RefusalLimit: shares.Refusals},
		TargetConnections: connlimit.Config{Limit: shares.Callers / subCallDivisor, RefusalLimit: shares.Target / 8}, OnListenerLost: onLost,
	}
	n.router = &router.Service{NodeID: s.ID, Region: s.Region, Zone: s.AvailabilityZone, LocalIP: localIP, Hello: hello, Timeouts: timeouts, Log: n.log}
	n.gossip.ConfigVersion = n.conf.Version
	n.gossip.OnConfigVersion = func(version uint64, from membership.Node) { n.conf.ObservePeerVersion(version, from.AdminAddr) }
	// A process that was started later uses the same node ID, so this one
	// shuts down.
	n.gossip.OnSuperseded = func(membership.Node) { n.Drain() }
	n.conf.Peers = n.peerAdminAddrs
	n.conf.LiveNodes = func() int { return len(n.gossip.Nodes()) }
	n.conf.OnAdopt = func(version uint64) {
		n.gossip.AnnounceConfig(version)
		n.executor.ConfigChanged()
	}
	var rows bootstrap.RowStore
	if client != nil {
		rows = client
	}
	departures := &departure.Journal{
		Recorder: departure.NewRecorder(rows, n.gossip, s.AvailabilityZone, s.ID, n.log),
		HasPeers: func() bool { return len(n.gossip.Nodes()) > 1 }, Log: n.log,
	}
	n.departures = departures
	target := &targetstatus.Service{Departures: departures, Log: n.log}
	departures.OnLearned, departures.OnComplete = target.LearnDeparture, target.DeparturesComplete
	n.gossip.OnReturned = departures.HandleReturned
	services := []struct {
		name    string
		service kernel.Service
	}{
		{gossip.Name, n.gossip},
		{bootstrap.Name, bootstrap.New(rows, n.log)},
		{configdist.Name, n.conf},
		{regionlimiter.Name, &regionlimiter.Service{Region: s.Region}},
		{targetstatus.Name, target},
		{executor.Name, n.executor},
		{linkserver.Name, n.links},
		{router.Name, n.router},
		{gateway.Name, n.gateway},
		{admin.Name, &admin.Service{Address: s.AdminAddress, Drain: n.Drain, InFlight: n.requestsInFlight, ListenerLost: n.listenerLost.Load, Connections: shares.Part(1), Log: n.log}},
	}
	for _, e := range services {
		if err := n.kernel.Register(e.name, e.service); err != nil {
			return nil, err
		}
	}
	return n, nil
}

// Start starts the services of the node.
func (n *Node) Start(ctx context.Context) error {
	if err := n.kernel.Start(ctx); err != nil {
		return err
	}
	n.log.Info().Str("callers", n.settings.CallerAddress).Str("admin", n.settings.AdminAddress).Msg("node started")
	return nil
}

// Drain requests a graceful shutdown by closing the channel that Draining
// returns. The owner of the node must then call Stop.
func (n *Node) Drain() { n.drainOnce.Do(func() { close(n.draining) }) }

// Draining returns a channel that is closed when a graceful shutdown is
// requested.
func (n *Node) Draining() <-chan struct{} { return n.draining }

// Stop waits for the requests in flight, at most for the drain limit, and
// stops the services. It returns *DrainError if requests were cut off.
func (n *Node) Stop() error {
	n.Drain()
	n.log.Info().Int("in_flight", n.requestsInFlight()).Msg("draining")
	n.executor.Drain()
	n.gossip.Update(func(m *membership.Node) { m.Draining = true })
	n.links.GoAway()
	time.Sleep(drainNoticePeriod)

	ctx, cancel := context.WithTimeout(context.Background(), n.settings.DrainLimit())
	defer cancel()
	callersErr := n.gateway.StopCallers(ctx)
	for n.isBusy() && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
	stillBusy, inFlight := n.isBusy(), n.requestsInFlight()
	n.gossip.HandOver(ctx)
	leaveErr := n.gossip.Leave(ctx)
	closeCtx, cancelClose := context.WithTimeout(context.Background(), serviceStopTimeout)
	defer cancelClose()
	n.departures.Close(closeCtx)
	err := n.kernel.Stop(closeCtx)
	if stillBusy || callersErr != nil {
		return &DrainError{inFlight, n.settings.DrainLimit()}
	}
	n.log.Info().Msg("stopped")
	return errors.Join(err, leaveErr)
}

// peerAdminAddrs returns the administration addresses of the other live nodes.
func (n *Node) peerAdminAddrs() []string {
	nodes := n.gossip.Nodes()[1:]
	out := make([]string, 0, len(nodes))
	for _, m := range nodes {
		out = append(out, m.AdminAddr)
	}
	return out
}

// requestsInFlight counts each request once. A request that was accepted here
// and is executed at the local target is counted by both the gateway and the
// executor, so local calls are subtracted. Sub-calls of the target are not
// counted, as they belong to a request of the executor.
func (n *Node) requestsInFlight() int {
	return n.executor.InFlight() + max(n.gateway.CallerRequests()-n.router.LocalCalls(), 0)
}

// isBusy reports whether a request is in flight anywhere in the node: at the
// gateway, on a link, or in the executor, which may use a slot for a short
// time after the caller has disconnected.
func (n *Node) isBusy() bool {
	return n.gateway.InFlight()+n.links.InFlight()+n.executor.InFlight() > 0
}
