// Package admin serves the administration API of a node over plain HTTP, on its
// own address.
package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"parsleyturn/internal/callerconn"
	"parsleyturn/internal/configdist"
	"parsleyturn/internal/connlimit"
	"parsleyturn/internal/executor"
	"parsleyturn/internal/gossip"
	"parsleyturn/internal/kernel"
	"parsleyturn/internal/listener"
	"parsleyturn/internal/membership"
	"parsleyturn/internal/targetstatus"
	"parsleyturn/internal/wire"
)

// Name is the name of the service in the kernel.
const Name = "admin"

// Limits of connections.
const (
	maxHeadBytes  = 8 << 10
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
)

// Status is the response of GET /v1/status.
type Status struct {
	Node          membership.Node `json:"node"`
	ConfigVersion uint64          `json:"config_version"`
	// Draining is set while the node shuts down gracefully. Whether its target
	// is draining is shown by Target.State.
	Draining bool `json:"draining"`
	// Ready is set if GET /readyz reports the node as ready.
	Ready         bool                      `json:"ready"`
	Target        targetstatus.Announcement `json:"target"`
	TargetPresent bool                      `json:"target_present"`
	Load          wire.Load                 `json:"load"`
	// InFlight is the number of requests in flight that callers sent to this
	// node or that its local target executes. A request to which both applies
	// counts once. Sub-calls that the target makes are not counted.
	InFlight int   `json:"in_flight"`
	UptimeMS int64 `json:"uptime_ms"`
}

// Service serves the administration API.
type Service struct {
	kernel.Base
	Address string
	// Drain starts the graceful shutdown of the node.
	Drain func()
	// InFlight returns the value of Status.InFlight.
	InFlight func() int
	// ListenerLost reports whether a listener of the node has failed.
	ListenerLost func() bool
	// Connections is the number of connections of operators and probes.
	Connections connlimit.Config
	Log         zerolog.Logger

	listener     *callerconn.Listener
	config       *configdist.Service
	gossip       *gossip.Service
	executor     *executor.Service
	targetStatus *targetstatus.Service
	server       *http.Server
}

// Provision looks up the services that the API reports on.
func (s *Service) Provision(k *kernel.Kernel) error {
	var err error
	if s.config, err = kernel.Lookup[*configdist.Service](k, configdist.Name); err != nil {
		return err
	}
	if s.gossip, err = kernel.Lookup[*gossip.Service](k, gossip.Name); err != nil {
		return err
	}
	if s.executor, err = kernel.Lookup[*executor.Service](k, executor.Name); err != nil {
		return err
	}
	s.targetStatus, err = kernel.Lookup[*targetstatus.Service](k, targetstatus.Name)
	return err
}

// Start opens the listener and serves the API.
func (s *Service) Start(context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", s.serveReadyz)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.currentStatus()) })
	mux.HandleFunc("GET /v1/peers", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.gossip.Nodes()) })
	mux.HandleFunc("GET /v1/config", s.serveConfig)
	mux.HandleFunc("POST /v1/drain", s.serveDrain)
	s.config.Mount(mux)
	base, err := listener.Listen(s.Address, "administration", s.Log)
	if err != nil {
		return err
	}
	limits := callerconn.Limits{IdleTimeout: idleTimeout, HeaderTimeout: headerTimeout, MaxHeadBytes: maxHeadBytes}
	s.listener = callerconn.New(base, callerconn.Options{Name: "administration", Limit: s.Connections, Limits: func() callerconn.Limits { return limits }, Log: s.Log})
	s.server = &http.Server{Handler: callerconn.Handler(mux), MaxHeaderBytes: maxHeadBytes}
	s.listener.Attach(s.server)
	go func() { _ = s.server.Serve(s.listener) }() // the listener reports its loss
	return nil
}

// Stop closes the listener and waits for requests that are being served.
func (s *Service) Stop(ctx context.Context) error {
	err := s.server.Shutdown(ctx)
	s.listener.Stop()
	return err
}

func (s *Service) currentStatus() Status {
	target, present := s.targetStatus.Target()
	load := s.executor.Load()
	return Status{
		Node: s.gossip.Self(), ConfigVersion: s.config.Version(), Draining: s.executor.Draining(), Ready: s.notReadyReason() == "",
		Target: target, TargetPresent: present, Load: load, InFlight: s.InFlight(),
		UptimeMS: kernel.Uptime().Milliseconds(),
	}
}

func (s *Service) serveReadyz(w http.ResponseWriter, _ *http.Request) {
	if reason := s.notReadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// notReadyReason returns the reason why callers should use another node, or an
// empty string if the node is ready.
func (s *Service) notReadyReason() string {
	switch {
	case s.ListenerLost != nil && s.ListenerLost():
		return "a listener has failed; restart the process"
	case s.executor.Draining():
		return "the node is draining; send requests to another node"
	case s.config.ActiveConfig() == nil:
		return "no configuration yet; check that the platform or a peer can be reached"
	}
	return ""
}

type configResponse struct {
	Version uint64            `json:"version"`
	Files   map[string]string `json:"files"`
}

func (s *Service) serveConfig(w http.ResponseWriter, _ *http.Request) {
	c := s.config.ActiveConfig()
	if c == nil {
		http.Error(w, "no configuration yet", http.StatusNotFound)
		return
	}
	view := configResponse{c.Record.Version, make(map[string]string, len(c.Files))}
	for _, f := range c.Files {
		view.Files[f.Name] = string(f.Content)
	}
	writeJSON(w, view)
}

func (s *Service) serveDrain(w http.ResponseWriter, _ *http.Request) {
	s.Log.Info().Msg("drain requested through the administration API")
	go s.Drain()
	w.WriteHeader(http.StatusAccepted)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}
