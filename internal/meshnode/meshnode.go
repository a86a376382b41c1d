// Package meshnode assembles a node of the mesh: the process beside a target
// that takes the requests of the callers on its VM and alone sends requests to
// the target.
package meshnode

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"parsleyturn/internal/bootstrap"
	"parsleyturn/internal/configwatch"
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
	"parsleyturn/internal/wire"
)

const (
	// graceMargin is the part of the time between SIGTERM and SIGKILL that is
	// kept for the end of the process: 750 ms of 6 s.
	graceMargin = 8
	pollDrain   = 20 * time.Millisecond
	closeTime   = 300 * time.Millisecond
	// Timing of the links. A peer whose process runs answers a ping in about
	// 60 ms from another region.
	linkPingAfter        = 300 * time.Millisecond
	linkPeerTimeout      = 1200 * time.Millisecond
	linkHandshakeTimeout = 500 * time.Millisecond
	linkIdleTimeout      = time.Minute
	// bootstrapRead and bootstrapWrite are short, as a deployment takes requests
	// 8 s after its VMs start.
	bootstrapRead  = 300 * time.Millisecond
	bootstrapWrite = 150 * time.Millisecond
)

// Settings describe one node.
type Settings struct {
	ID     string
	Zone   string
	Region string
	// CallerAddress takes requests, ReadyAddress answers whether the node is
	// ready, and AnnounceAddress takes the target's announcements.
	CallerAddress   string
	ReadyAddress    string
	AnnounceAddress string
	LinkAddress     string
	GossipAddress   string
	MetricsAddress  string
	// AdvertiseLink and AdvertiseGossip are the addresses for other nodes, if
	// they are not those listened on.
	AdvertiseLink   string
	AdvertiseGossip string
	// TargetService is the service of the target on this VM.
	TargetService string
	// HeartbeatInterval is the interval of the target's announcements.
	HeartbeatInterval time.Duration
	// GracePeriod is the time between SIGTERM and SIGKILL.
	GracePeriod time.Duration
	// DrainNotice is how long callers get to notice that the node is not ready
	// any more.
	DrainNotice time.Duration
	// RetrySlack and RetryWindow bound the repeats of all nodes to a service.
	RetrySlack  float64
	RetryWindow time.Duration
	// ReadyPath answers whether the node is ready.
	ReadyPath string
}

// Dependencies are what a deployment provides.
type Dependencies struct {
	Dialect *headers.Dialect
	// ConfigSource is where configurations come from.
	ConfigSource configwatch.Source
	// BootstrapStore hold the addresses of a few nodes of each zone.
	BootstrapStore bootstrap.Rows
	// AnnouncementHandler serves the target's announcements.
	AnnouncementHandler func(h *targethost.Host) http.Handler
}

// Node is one process beside a target.
type Node struct {
	settings Settings
	log      eventlog.Log
	kernel   *kernel.Kernel

	conf     *configwatch.Service
	gossip   *gossip.Service
	host     *targethost.Host
	dispatch *dispatch.Service
	ingress  *ingress.Service
	links    *linkService
	leaving  atomic.Bool
	// running ends when the node stops.
	running context.Context
	stop    context.CancelFunc
}

// New assembles a node.
func New(s Settings, parts Dependencies, log eventlog.Log) (*Node, error) {
	n := &Node{settings: s, log: log, kernel: kernel.New()}
	n.running, n.stop = context.WithCancel(context.Background())
	incarnation := uint64(time.Now().UnixNano())
	self := membership.Node{
		ID: s.ID, Incarnation: incarnation, LinkAddr: cmp.Or(s.AdvertiseLink, s.LinkAddress), GossipAddr: cmp.Or(s.AdvertiseGossip, s.GossipAddress), AdminAddr: s.ReadyAddress,
		Region: s.Region, Zone: s.Zone,
	}
	n.gossip = gossip.New(self, s.GossipAddress, nil, log.System)
	n.conf = &configwatch.Service{Source: parts.ConfigSource, Log: log}
	n.gossip.ConfigVersion = n.conf.Version
	n.gossip.OnConfigVersion = func(v uint64, from membership.Node) { n.conf.ObservePeerVersion(n.running, v, from.AdminAddr) }
	n.gossip.OnSuperseded = func(by membership.Node) {
		log.System.Warn().Str("event", "superseded").Uint64("incarnation", by.Incarnation).Msg("a process before this one has a later incarnation; claiming the id")
		n.gossip.TakeOver()
	}
	n.conf.OnAdopt = func(t *routetable.Table) { n.gossip.AnnounceConfig(t.Version) }
	hello := func() wire.Hello {
		return wire.Hello{Protocol: wire.ProtocolVersion, NodeID: s.ID, Incarnation: incarnation, ConfigVersion: n.conf.Version()}
	}
	timing := link.Timing{PingAfter: linkPingAfter, PeerTimeout: linkPeerTimeout, IdleTimeout: linkIdleTimeout, HandshakeTimeout: linkHandshakeTimeout}
	n.host = &targethost.Host{Dialect: parts.Dialect, HeartbeatInterval: s.HeartbeatInterval, Log: log, OnTargetChange: n.announceTarget}
	host, _, err := net.SplitHostPort(s.LinkAddress)
	if err != nil {
		return nil, fmt.Errorf("link address %q: %w", s.LinkAddress, err)
	}
	n.dispatch = &dispatch.Service{
		NodeID: s.ID, CallerService: s.TargetService, Zone: s.Zone, Region: s.Region, Host: n.host, Members: n.gossip,
		Pool: &link.Pool{Hello: hello, LocalIP: net.ParseIP(host), Timing: timing, OnClose: n.linkClosed},
		Log:  log, RetrySlack: s.RetrySlack, RetryWindow: s.RetryWindow,
	}
	n.links = &linkService{address: s.LinkAddress, server: &link.Server{Hello: hello, Timing: timing, Handler: n.host.ServeStream}, log: log}
	n.ingress = &ingress.Service{Address: s.CallerAddress, Dialect: parts.Dialect, Config: n.conf, Dispatch: n.dispatch, Log: log}
	join := bootstrap.New(parts.BootstrapStore, log.System)
	join.FirstRead, join.FirstWrite = bootstrapRead, bootstrapWrite
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+s.ReadyPath, n.serveReady)
	ready.HandleFunc("GET /metrics", serveMetrics)
	ready.Handle("GET "+configwatch.Path, n.conf)
	services := []struct {
		name    string
		service kernel.Service
	}{
		{gossip.Name, n.gossip},
		{bootstrap.Name, join},
		{configwatch.Name, n.conf},
		{targethost.Name, n.host},
		{"links", n.links},
		{dispatch.Name, n.dispatch},
		{ingress.Name, n.ingress},
		{"announcements", &httpService{address: s.AnnounceAddress, handler: parts.AnnouncementHandler(n.host), log: log}},
		{"ready", &httpService{address: s.ReadyAddress, handler: ready, log: log}},
	}
	if s.MetricsAddress != "" {
		services = append(services, struct {
			name    string
			service kernel.Service
		}{"metrics", &httpService{address: s.MetricsAddress, handler: http.HandlerFunc(serveMetrics), log: log}})
	}
	for _, e := range services {
		if err := n.kernel.Register(e.name, e.service); err != nil {
			return nil, err
		}
	}
	return n, nil
}

func serveMetrics(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) }

// serveReady answers whether the node takes requests.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if n.leaving.Load() || n.conf.Current() == nil {
		http.Error(w, "not ready: no configuration, or the node is leaving", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n")) // a peer that is gone asks again
}

// announceTarget tells the other nodes about the own target.
func (n *Node) announceTarget(t targethost.Announcement, ready bool) {
	n.gossip.Update(func(m *membership.Node) {
		m.Service, m.Slots, m.Cold, m.Draining = t.Service, t.Slots, t.WarmupLeft > 0, !ready || n.leaving.Load()
	})
}

func (n *Node) linkClosed(peer wire.Hello, reason error) {
	n.log.System.Info().Err(reason).Str("event", "link-closed").Str("peer", peer.NodeID).Msg("link to another node ended")
}

// Start starts the services.
func (n *Node) Start(ctx context.Context) error {
	if err := n.kernel.Start(ctx); err != nil {
		return err
	}
	s := n.settings
	n.log.System.Info().Str("event", "start").Str("zone", s.Zone).Str("region", s.Region).Str("service", s.TargetService).
		Str("callers", s.CallerAddress).Str("link", s.LinkAddress).Str("gossip", s.GossipAddress).Msg("node started")
	return nil
}

// Stop finishes what is in flight and stops the services. Callers get time to
// notice that the node is not ready.
func (n *Node) Stop() {
	begin := kernel.Uptime()
	n.leaving.Store(true)
	n.log.System.Info().Str("event", "stop").Int("active", n.ingress.InFlight()).Int("at_target", n.host.InFlight()).Msg("leaving")
	n.gossip.Update(func(m *membership.Node) { m.Draining = true })
	n.ingress.CloseConnections()
	n.host.StartDraining()
	n.links.server.GoAway("the node is leaving")
	limit := n.settings.GracePeriod - n.settings.GracePeriod/graceMargin
	// Requests that still run at the target make calls of their own here. Later
	// ones might not end before the process has to.
	for now := begin; now < begin+n.settings.DrainNotice || n.host.InFlight() > 0 && now < begin+n.settings.GracePeriod/2; now = kernel.Uptime() {
		time.Sleep(pollDrain)
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit-(kernel.Uptime()-begin))
	defer cancel()
	n.ingress.RejectRequests()
	for n.ingress.InFlight()+n.host.InFlight() > 0 && ctx.Err() == nil {
		time.Sleep(pollDrain)
	}
	n.ingress.Drain(ctx)
	n.stop()
	active, running := n.ingress.InFlight(), n.host.InFlight()
	closeCtx, cancelClose := context.WithTimeout(context.Background(), closeTime)
	defer cancelClose()
	// The departure is not announced: the node is known to be draining, and the
	// probes of the others let a process that starts again at the same address
	// join even while the store is away.
	err := n.closeWithin(closeCtx)
	n.log.System.Info().Err(err).Str("event", "stopped").Int("unfinished", active).Int("at_target", running).Dur("took", kernel.Uptime()-begin).Msg("node stopped")
}

// closeWithin stops the services. A service that waits for a peer or the target
// must not hold the process up until it is killed, so that the wait ends with
// ctx and the end of the process does the rest.
func (n *Node) closeWithin(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- n.kernel.Stop(ctx) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("services did not stop in time: %w", ctx.Err())
	}
}

// ConfigVersion is the version of the configuration in force, or 0.
func (n *Node) ConfigVersion() uint64 { return n.conf.Version() }

// TargetCount is the number of nodes that are known to offer a service.
func (n *Node) TargetCount(service string) int { return n.dispatch.TargetCount(service) }
