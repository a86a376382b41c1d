// Package meshnode assembles a node on the users' platform, whose settings and
// formats package platform adapts: the process next to a target that accepts
// the requests of the callers on its VM. Requests reach the target only through
// its node. Package node assembles a node with the product's own interface.
package meshnode

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"parsleyturn/internal/bootstrap"
	"parsleyturn/internal/callerconn"
	"parsleyturn/internal/configwatch"
	"parsleyturn/internal/connlimit"
	"parsleyturn/internal/departure"
	"parsleyturn/internal/dispatch"
	"parsleyturn/internal/eventlog"
	"parsleyturn/internal/gossip"
	"parsleyturn/internal/headers"
	"parsleyturn/internal/ingress"
	"parsleyturn/internal/kernel"
	"parsleyturn/internal/link"
	"parsleyturn/internal/membership"
	"parsleyturn/internal/routetable"
	"parsleyturn/internal/targethost"
	"parsleyturn/internal/targetstate"
	"parsleyturn/internal/wire"
)

const (
	// graceMarginDivisor sets the part of the time between SIGTERM and SIGKILL
	// that is reserved for the end of the process: 750 ms of 6 s.
	graceMarginDivisor = 8
	drainPollInterval  = 20 * time.Millisecond
	stopTimeout        = 300 * time.Millisecond
	// recordTimeout bounds the last attempt to write departures that are not in the
	// store.
	recordTimeout = 200 * time.Millisecond
	// cancelTimeout is the time in which canceled requests send their response.
	cancelTimeout = 100 * time.Millisecond
	// Timeouts of the links. A peer whose process is running responds to a ping
	// from another region within about 60 ms.
	linkPingAfter        = 300 * time.Millisecond
	linkPeerTimeout      = 1200 * time.Millisecond
	linkHandshakeTimeout = 500 * time.Millisecond
	linkIdleTimeout      = time.Minute
	// configSettleTime exceeds the time in which nodes that start together learn of
	// each other.
	configSettleTime = time.Second
	// bootstrapReadDelay and bootstrapWriteDelay are short, as a deployment
	// receives requests 8 s after its VMs start.
	bootstrapReadDelay  = 200 * time.Millisecond
	bootstrapWriteDelay = 150 * time.Millisecond
)

// Settings configures one node.
type Settings struct {
	ID     string
	Zone   string
	Region string
	// CallerAddress accepts requests. ReadyAddress serves the readiness probe,
	// metrics, and the configuration to other nodes. AnnounceAddress accepts the
	// target's announcements.
	CallerAddress   string
	ReadyAddress    string
	AnnounceAddress string
	LinkAddress     string
	GossipAddress   string
	MetricsAddress  string
	// AdvertiseLink and AdvertiseGossip are the addresses that other nodes
	// connect to, if they differ from the listen addresses.
	AdvertiseLink   string
	AdvertiseGossip string
	// TargetService is the service of the target on this VM, and TargetIP its IP
	// address, if known.
	TargetService string
	TargetIP      netip.Addr
	// HeartbeatInterval is the interval of the target's announcements.
	HeartbeatInterval time.Duration
	// GracePeriod is the time between SIGTERM and SIGKILL.
	GracePeriod time.Duration
	// DrainNoticePeriod is the minimum time for which a draining node keeps
	// accepting requests after it reports that it is not ready, so that callers
	// can detect this.
	DrainNoticePeriod time.Duration
	// RetrySlack and RetryWindow bound the retries of all nodes to a service;
	// see dispatch.Service.
	RetrySlack  float64
	RetryWindow time.Duration
	// ReadyPath is the URL path of the readiness probe.
	ReadyPath string
	// MaxDescriptors is the number of descriptors that the process may use, or 0 if
	// only the limit of the process applies.
	MaxDescriptors int
}

// Dependencies are the parts of a node that its deployment provides.
type Dependencies struct {
	Dialect *headers.Dialect
	// ConfigSource supplies the configurations.
	ConfigSource configwatch.Source
	// BootstrapStore holds the addresses of a few nodes of each availability
	// zone.
	BootstrapStore bootstrap.RowStore
	// DepartureStore holds the targets that have left.
	DepartureStore departure.RowStore
	// AnnouncementHandler returns the handler of the target's announcements.
	AnnouncementHandler func(h *targethost.Host) http.Handler
}

// Node is the process of the mesh that runs next to a target.
type Node struct {
	settings Settings
	log      eventlog.Log
	kernel   *kernel.Kernel

	config   *configwatch.Service
	gossip   *gossip.Service
	host     *targethost.Host
	dispatch *dispatch.Service
	ingress  *ingress.Service
	links    *linkListener
	draining atomic.Bool
	// listenerLost is set once a listener accepts no more connections.
	listenerLost atomic.Bool
}

// New returns a node with all its services, which Start starts.
func New(s Settings, deps Dependencies, log eventlog.Log) (*Node, error) {
	n := &Node{settings: s, log: log, kernel: kernel.New()}
	incarnation := uint64(time.Now().UnixNano())
	self := membership.Node{
		ID: s.ID, Incarnation: incarnation, LinkAddr: cmp.Or(s.AdvertiseLink, s.LinkAddress), GossipAddr: cmp.Or(s.AdvertiseGossip, s.GossipAddress), AdminAddr: s.ReadyAddress,
		Region: s.Region, Zone: s.Zone,
	}
	n.gossip = gossip.New(self, s.GossipAddress, nil, log.System)
	n.config = &configwatch.Service{
		Source: deps.ConfigSource, Log: log, SettleTime: configSettleTime,
		Leaders: func() []string { return configLeaders(n.gossip.Nodes()) }, Readers: func() []string { return configReaders(n.gossip.Nodes()) },
	}
	n.gossip.ConfigVersion = n.config.Version
	n.gossip.OnConfigVersion = func(v uint64, from membership.Node) { n.config.ObservePeerVersion(v, from.AdminAddr) }
	n.gossip.OnSuperseded = func(by membership.Node) {
		log.System.Warn().Str("event", "superseded").Uint64("incarnation", by.Incarnation).Msg("an earlier process with this node ID has a later incarnation; reclaiming the ID")
		n.gossip.ReclaimID()
	}
	n.config.OnAdopt = func(t *routetable.Table) { n.gossip.AnnounceConfig(t.Version) }
	hello := func() wire.Hello {
		return wire.Hello{Protocol: wire.ProtocolVersion, NodeID: s.ID, Incarnation: incarnation, ConfigVersion: n.config.Version()}
	}
	timeouts := link.Timeouts{PingAfter: linkPingAfter, PeerTimeout: linkPeerTimeout, IdleTimeout: linkIdleTimeout, HandshakeTimeout: linkHandshakeTimeout}
	recorder := departure.NewRecorder(deps.DepartureStore, n.gossip, s.Zone, s.ID, log.System)
	recorder.Sessions = true // the host confirms its targets
	departures := &departure.Journal{
		Recorder: recorder,
		HasPeers: func() bool { return len(n.gossip.Nodes()) > 1 }, Log: log.System,
	}
	n.host = &targethost.Host{
		Dialect: deps.Dialect, HeartbeatInterval: s.HeartbeatInterval, TargetIP: s.TargetIP, KnowsService: n.knowsService, HealthPath: n.healthPath, Departures: departures, Log: log, OnTargetChange: n.announceTarget,
	}
	departures.OnLearned, departures.OnComplete = n.host.LearnDeparture, n.host.DeparturesComplete
	n.gossip.OnReturned = departures.HandleReturned
	host, _, err := net.SplitHostPort(s.LinkAddress)
	if err != nil {
		return nil, fmt.Errorf("link address %q: %w", s.LinkAddress, err)
	}
	n.dispatch = &dispatch.Service{
		NodeID: s.ID, CallerService: s.TargetService, Zone: s.Zone, Region: s.Region, Host: n.host, Members: n.gossip,
		Pool: &link.Pool{Hello: hello, LocalIP: net.ParseIP(host), Timeouts: timeouts, OnClose: n.linkClosed},
		Log:  log, RetrySlack: s.RetrySlack, RetryWindow: s.RetryWindow,
	}
	shares := connlimit.Divide(callerconn.DescriptorLimit(s.MaxDescriptors))
	onLost := func(error) { n.listenerLost.Store(true) }
	n.links = &linkListener{address: s.LinkAddress, onLost: onLost, server: &link.Server{Hello: hello, Timeouts: timeouts, Handler: n.host.ServeStream}, log: log}
	n.ingress = &ingress.Service{
		Address: s.CallerAddress, Dialect: deps.Dialect, Config: n.config, Dispatch: n.dispatch, Log: log,
		Connections: connlimit.Config{Limit: shares.Callers, RefusalLimit: shares.Refusals}, OnListenerLost: onLost,
	}
	bootstrapService := bootstrap.New(deps.BootstrapStore, log.System)
	bootstrapService.FirstReadDelay, bootstrapService.FirstWriteDelay = bootstrapReadDelay, bootstrapWriteDelay
	n.config.OnRestore = func() {
		bootstrapService.Rewrite()
		recorder.Rewrite()
	}
	readyMux := http.NewServeMux()
	readyMux.HandleFunc("GET "+s.ReadyPath, n.serveReady)
	readyMux.HandleFunc("GET /metrics", serveMetrics)
	readyMux.Handle("GET "+configwatch.Path, n.config)
	services := []struct {
		name    string
		service kernel.Service
	}{
		{gossip.Name, n.gossip},
		{bootstrap.Name, bootstrapService},
		{configwatch.Name, n.config},
		{targethost.Name, n.host},
		{"links", n.links},
		{dispatch.Name, n.dispatch},
		{ingress.Name, n.ingress},
		{"announcements", &httpEndpoint{name: "announcements", address: s.AnnounceAddress, handler: deps.AnnouncementHandler(n.host), connections: shares.Part(8), log: log, onLost: onLost}},
		{"ready", &httpEndpoint{name: "ready", address: s.ReadyAddress, handler: readyMux, connections: shares.Part(2), log: log, onLost: onLost}},
	}
	if s.MetricsAddress != "" {
		services = append(services, struct {
			name    string
			service kernel.Service
		}{"metrics", &httpEndpoint{name: "metrics", address: s.MetricsAddress, handler: http.HandlerFunc(serveMetrics), connections: shares.Part(8), log: log}})
	}
	for _, e := range services {
		if err := n.kernel.Register(e.name, e.service); err != nil {
			return nil, err
		}
	}
	return n, nil
}

func serveMetrics(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) }

// serveReady reports that the node is ready while it has a configuration and all
// listeners, and is not draining.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if n.listenerLost.Load() {
		http.Error(w, "not ready: a listener has failed; restart the process", http.StatusServiceUnavailable)
		return
	}
	if n.draining.Load() || n.config.Current() == nil {
		http.Error(w, "not ready: no configuration, or the node is leaving", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n")) // a prober that lost the connection tries again
}

// knowsService reports whether a service is that of the settings, or in the active
// configuration.
func (n *Node) knowsService(service string) bool {
	if service == n.settings.TargetService {
		return true
	}
	t := n.config.Current()
	return t != nil && t.HasService(service)
}

// healthPath returns the path of the health check of a service in the active
// configuration.
func (n *Node) healthPath(service string) string {
	t := n.config.Current()
	if t == nil {
		return ""
	}
	return t.Services[service].HealthPath
}

// announceTarget announces the state of the local target to the other nodes.
func (n *Node) announceTarget(t targetstate.Announcement, ready bool) {
	n.gossip.Update(func(m *membership.Node) {
		m.Service, m.Slots, m.Cold, m.Draining = t.Service, t.Slots, t.WarmupLeft > 0, !ready || n.draining.Load()
	})
}

func (n *Node) linkClosed(peer wire.Hello, reason error) {
	n.log.System.Info().Err(reason).Str("event", "link-closed").Str("peer", peer.NodeID).Msg("link to another node closed")
}

func (n *Node) Start(ctx context.Context) error {
	if err := n.kernel.Start(ctx); err != nil {
		return err
	}
	s := n.settings
	n.log.System.Info().Str("event", "start").Str("zone", s.Zone).Str("region", s.Region).Str("service", s.TargetService).
		Str("callers", s.CallerAddress).Str("link", s.LinkAddress).Str("gossip", s.GossipAddress).Msg("node started")
	return nil
}

// Stop drains the requests in flight and stops the services. Before the node
// refuses requests, callers get time to detect that it is not ready.
func (n *Node) Stop() {
	begin := kernel.Uptime()
	n.draining.Store(true)
	n.log.System.Info().Str("event", "stop").Int("active", n.ingress.InFlight()).Int("at_target", n.host.InFlight()).Msg("node is shutting down")
	n.gossip.Update(func(m *membership.Node) { m.Draining = true })
	n.ingress.CloseConnections()
	n.host.StartDraining()
	n.links.server.GoAway("the node is leaving")
	end := begin + n.settings.GracePeriod - n.settings.GracePeriod/graceMarginDivisor
	n.ingress.EndAt(end)
	// Requests that are still at the target may make sub-calls through this
	// node, so it accepts requests until they end, for up to half the grace
	// period. Sub-calls that arrive later might not finish before the process has
	// to end.
	for now := begin; now < begin+n.settings.DrainNoticePeriod || n.host.InFlight() > 0 && now < begin+n.settings.GracePeriod/2; now = kernel.Uptime() {
		time.Sleep(drainPollInterval)
	}
	ctx, cancel := context.WithTimeout(context.Background(), end-kernel.Uptime())
	defer cancel()
	n.ingress.RefuseRequests()
	// A request ends at the target before its response has been written to the
	// link.
	n.waitUntilIdle(ctx)
	if unfinished := n.ingress.InFlight(); unfinished > 0 {
		n.log.System.Warn().Str("event", "requests-canceled").Int("unfinished", unfinished).Int("at_target", n.host.InFlight()).Msg("the grace period ends; canceling the remaining requests")
		n.ingress.CancelRequests()
		ctx, cancel = context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		n.waitUntilIdle(ctx)
	}
	n.ingress.Drain(ctx)
	inFlight, atTarget := n.ingress.InFlight(), n.host.InFlight()
	recordCtx, cancelRecord := context.WithTimeout(context.Background(), recordTimeout)
	defer cancelRecord()
	n.host.Departures.Close(recordCtx)
	n.gossip.HandOver(recordCtx)
	// The node does not announce that it has left: it is known to be draining,
	// and the probes of other nodes let a process that restarts at the same
	// address join even while the store is unavailable.
	closeCtx, cancelClose := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelClose()
	err := n.stopServices(closeCtx)
	n.log.System.Info().Err(err).Str("event", "stopped").Int("unfinished", inFlight).Int("at_target", atTarget).Dur("took", kernel.Uptime()-begin).Msg("node stopped")
}

// waitUntilIdle waits until no request is in flight, or until ctx ends.
func (n *Node) waitUntilIdle(ctx context.Context) {
	for n.ingress.InFlight()+n.host.InFlight()+n.links.server.Unfinished() > 0 && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
}

// stopServices stops the services until ctx ends. A service that waits for a
// peer or the target must not delay the process until it is killed; what
// remains open is closed when the process ends.
func (n *Node) stopServices(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- n.kernel.Stop(ctx) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("services did not stop in time: %w", ctx.Err())
	}
}

// ConfigVersion returns the version of the active configuration, or 0.
func (n *Node) ConfigVersion() uint64 { return n.config.Version() }

// TargetCount returns the number of nodes that are known to offer a service.
func (n *Node) TargetCount(service string) int { return n.dispatch.TargetCount(service) }
