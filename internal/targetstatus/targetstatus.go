// Package targetstatus is a node's view of its own target: the target announces
// itself over the node's loopback side and repeats it as a heartbeat.
package targetstatus

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"parsleyturn/internal/gossip"
	"parsleyturn/internal/kernel"
	"parsleyturn/internal/membership"
)

// Name is the name of the service in the kernel.
const Name = "targetagent"

const (
	// heartbeatLimit and checkInterval together stay below 3 s, the bound on
	// new work for a target that left without notice. With a limit of 3 s and
	// checks every 250 ms, work began up to 3.2 s after the last heartbeat.
	heartbeatLimit  = 2750 * time.Millisecond
	checkInterval   = 100 * time.Millisecond
	maxAnnouncement = 16 << 10
	maxSlots        = 100000
	maxConnections  = 100000
	maxColdStartMS  = 3600000
)

var (
	announcements   = metrics.NewCounter(`parsley_target_announcements_total`)
	badAnnouncement = metrics.NewCounter(`parsley_target_announcements_malformed_total`)
	withdrawals     = metrics.NewCounter(`parsley_target_withdrawals_total`)
)

// State is what a target says of itself.
type State string

// States of a target.
const (
	Ready    State = "ready"
	Cold     State = "cold"
	Draining State = "draining"
	Stopping State = "stopping"
)

// Announcement is sent by the target every second.
type Announcement struct {
	Service string `json:"service"`
	// Address is the IP number and port where the target serves HTTP.
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	// ColdStartMS is how long the target is slow after its start, in ms.
	ColdStartMS int64 `json:"cold_start_ms"`
	State       State `json:"state"`
	// Incarnation differs for every process of the target.
	Incarnation string `json:"incarnation"`
}

// Validate reports what is wrong with an announcement.
func (a *Announcement) Validate() error {
	if a.Service == "" {
		return fmt.Errorf("announcement: service is missing; name the service of the target")
	}
	if len(a.Service) > membership.MaxText {
		return fmt.Errorf("announcement: service has %d bytes; use a name of at most %d", len(a.Service), membership.MaxText)
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return fmt.Errorf("announcement: address %q is not an IP number and port; use a form like 127.0.0.1:9000", a.Address)
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return fmt.Errorf("announcement: slots is %d; declare 1 to %d", a.Slots, maxSlots)
	}
	if a.Connections < 1 || a.Connections > maxConnections {
		return fmt.Errorf("announcement: connections is %d; declare 1 to %d", a.Connections, maxConnections)
	}
	if a.ColdStartMS < 0 || a.ColdStartMS > maxColdStartMS {
		return fmt.Errorf("announcement: cold_start_ms is %d; declare 0 to %d", a.ColdStartMS, maxColdStartMS)
	}
	if a.Incarnation == "" {
		return fmt.Errorf("announcement: incarnation is missing; set a text that differs for every process of the target")
	}
	switch a.State {
	case Ready, Cold, Draining, Stopping:
		return nil
	}
	return fmt.Errorf("announcement: unknown state %q; use ready, cold, draining or stopping", a.State)
}

// Service tracks the target.
type Service struct {
	kernel.Base
	Log zerolog.Logger
	// OnChange is called after every change of the target. Set it before
	// Start.
	OnChange func(a Announcement, present bool)

	gossip *gossip.Service

	mu       sync.Mutex
	target   Announcement
	present  bool
	coldEnds time.Duration
	heard    time.Duration
	// watched is the time of the last check.
	watched time.Duration
	duty    kernel.Duty
}

// Provision finds the gossip service.
func (s *Service) Provision(k *kernel.Kernel) error {
	var err error
	s.gossip, err = kernel.Lookup[*gossip.Service](k, gossip.Name)
	return err
}

// Target returns the last announcement, and whether it is still valid.
func (s *Service) Target() (Announcement, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.target, s.present
}

// Announce takes an announcement.
func (s *Service) Announce(a Announcement) error {
	if err := a.Validate(); err != nil {
		badAnnouncement.Inc()
		return err
	}
	announcements.Inc()
	now := kernel.Uptime()
	s.mu.Lock()
	fresh := !s.present || s.target.Incarnation != a.Incarnation
	if fresh {
		s.coldEnds = now + time.Duration(a.ColdStartMS)*time.Millisecond
	}
	if a.State == Ready && now < s.coldEnds {
		a.State = Cold
	}
	changed := fresh || s.target != a
	s.target, s.present, s.heard = a, a.State != Stopping, now
	s.mu.Unlock()
	if changed {
		s.changed()
	}
	return nil
}

// Withdraw drops the target, for example when it refuses connections.
func (s *Service) Withdraw(reason string) {
	s.mu.Lock()
	was := s.present
	s.present = false
	s.mu.Unlock()
	if was {
		withdrawals.Inc()
		s.Log.Warn().Str("reason", reason).Msg("target withdrawn")
		s.changed()
	}
}

// changed publishes the state to peers and to OnChange.
func (s *Service) changed() {
	a, present := s.Target()
	s.gossip.Update(func(n *membership.Node) {
		n.Service, n.Slots, n.Cold, n.Draining = "", 0, false, a.State == Draining || a.State == Stopping
		if present {
			n.Service, n.Slots, n.Cold = a.Service, a.Slots, a.State == Cold
		}
	})
	if s.OnChange != nil {
		s.OnChange(a, present)
	}
	s.Log.Info().Str("service", a.Service).Str("state", string(a.State)).Bool("present", present).Msg("target changed")
}

// ServeHTTP takes announcements by PUT and shows the present one by GET.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodPut:
		var a Announcement
		dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement))
		dec.DisallowUnknownFields()
		err := dec.Decode(&a)
		if err == nil && dec.More() {
			err = errors.New("there is content after the object")
		}
		if err != nil {
			badAnnouncement.Inc()
			http.Error(w, fmt.Sprintf("announcement: %v; send a JSON object of at most %d bytes", err, maxAnnouncement), http.StatusBadRequest)
			return
		}
		if err := s.Announce(a); err != nil {
			http.Error(w, err.Error(), http.StatusUnprocessableEntity)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	case http.MethodGet:
		a, present := s.Target()
		if !present {
			http.Error(w, "no target has announced itself", http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(&a)
	default:
		http.Error(w, "use PUT or GET", http.StatusMethodNotAllowed)
	}
}

// Start begins to watch the heartbeat.
func (s *Service) Start(context.Context) error {
	s.watched = kernel.Uptime()
	s.duty.Every(checkInterval, s.watch)
	return nil
}

// Stop ends the watch.
func (s *Service) Stop(context.Context) error {
	s.duty.End()
	return nil
}

// watch withdraws a target whose heartbeats stopped and ends its cold start.
func (s *Service) watch() {
	now := kernel.Uptime()
	s.mu.Lock()
	if now-s.watched > heartbeatLimit/2 {
		s.heard = now // this process was paused; the target may well be there
	}
	s.watched = now
	late := s.present && now-s.heard > heartbeatLimit
	warmed := s.present && s.target.State == Cold && now >= s.coldEnds && s.coldEnds > 0
	if warmed {
		s.target.State = Ready
	}
	s.mu.Unlock()
	if late {
		s.Withdraw("heartbeats missed")
	} else if warmed {
		s.changed()
	}
}
