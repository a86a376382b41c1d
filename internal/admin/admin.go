// Package admin is the administration API of a node, as plain HTTP on an
// address of its own.
package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"parsleyturn/internal/configdist"
	"parsleyturn/internal/executor"
	"parsleyturn/internal/gossip"
	"parsleyturn/internal/kernel"
	"parsleyturn/internal/membership"
	"parsleyturn/internal/targetstatus"
	"parsleyturn/internal/wire"
)

// Name is the name of the service in the kernel.
const Name = "admin"

// Status describes a node.
type Status struct {
	Node          membership.Node `json:"node"`
	ConfigVersion uint64          `json:"config_version"`
	// Draining is set while the node is leaving. A target that drains is shown
	// by Target.State.
	Draining bool `json:"draining"`
	// Ready is the answer of GET /readyz.
	Ready         bool                      `json:"ready"`
	Target        targetstatus.Announcement `json:"target"`
	TargetPresent bool                      `json:"target_present"`
	Load          wire.Load                 `json:"load"`
	// InFlight counts each request in flight at this node once.
	InFlight int   `json:"in_flight"`
	UptimeMS int64 `json:"uptime_ms"`
}

// Service serves the administration API.
type Service struct {
	kernel.Base
	Address string
	// Drain begins a graceful stop of the node.
	Drain func()
	// InFlight returns the number of requests in flight.
	InFlight func() int
	Log      zerolog.Logger

	conf     *configdist.Service
	gossip   *gossip.Service
	executor *executor.Service
	agent    *targetstatus.Service
	server   *http.Server
}

// Provision finds the other services.
func (s *Service) Provision(k *kernel.Kernel) error {
	var err error
	if s.conf, err = kernel.Lookup[*configdist.Service](k, configdist.Name); err != nil {
		return err
	}
	if s.gossip, err = kernel.Lookup[*gossip.Service](k, gossip.Name); err != nil {
		return err
	}
	if s.executor, err = kernel.Lookup[*executor.Service](k, executor.Name); err != nil {
		return err
	}
	s.agent, err = kernel.Lookup[*targetstatus.Service](k, targetstatus.Name)
	return err
}

// Start listens for operators.
func (s *Service) Start(context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", s.readyz)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.status()) })
	mux.HandleFunc("GET /v1/peers", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.gossip.Nodes()) })
	mux.HandleFunc("GET /v1/config", s.config)
	mux.HandleFunc("POST /v1/drain", s.drain)
	s.conf.Mount(mux)
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return fmt.Errorf("listen for operators: %w; free the address or change admin_address", err)
	}
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.server.Serve(l) }()
	return nil
}

// Stop closes the listener.
func (s *Service) Stop(ctx context.Context) error { return s.server.Shutdown(ctx) }

func (s *Service) status() Status {
	target, present := s.agent.Target()
	load := s.executor.Load()
	return Status{
		Node: s.gossip.Self(), ConfigVersion: s.conf.Version(), Draining: s.executor.Draining(), Ready: s.notReady() == "",
		Target: target, TargetPresent: present, Load: load, InFlight: s.InFlight(),
		UptimeMS: kernel.Uptime().Milliseconds(),
	}
}

func (s *Service) readyz(w http.ResponseWriter, _ *http.Request) {
	if reason := s.notReady(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// notReady says why callers should use another node, or nothing if the node
// serves.
func (s *Service) notReady() string {
	switch {
	case s.executor.Draining():
		return "the node is draining; send requests to another node"
	case s.conf.ActiveConfig() == nil:
		return "no configuration in force yet; check that the platform or a peer can be reached"
	}
	return ""
}

type configView struct {
	Version uint64            `json:"version"`
	Files   map[string]string `json:"files"`
}

func (s *Service) config(w http.ResponseWriter, _ *http.Request) {
	c := s.conf.ActiveConfig()
	if c == nil {
		http.Error(w, "no configuration in force yet", http.StatusNotFound)
		return
	}
	view := configView{c.Record.Version, make(map[string]string, len(c.Files))}
	for _, f := range c.Files {
		view.Files[f.Name] = string(f.Content)
	}
	writeJSON(w, view)
}

func (s *Service) drain(w http.ResponseWriter, _ *http.Request) {
	s.Log.Info().Msg("drain requested by the administration API")
	go s.Drain()
	w.WriteHeader(http.StatusAccepted)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}
