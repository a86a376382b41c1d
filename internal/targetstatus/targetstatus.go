// Package targetstatus tracks the state of a node's local target. The target
// announces itself over the node's loopback interface and repeats the
// announcement as a heartbeat.
//
// It serves nodes with the product's own interface; on the users' platform,
// package targethost tracks the announcements.
package targetstatus

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"parsleyturn/internal/announcement"
	"parsleyturn/internal/departure"
	"parsleyturn/internal/gossip"
	"parsleyturn/internal/headers"
	"parsleyturn/internal/kernel"
	"parsleyturn/internal/membership"
)

// Name is the name under which the service is registered in the kernel.
const Name = "targetagent"

const (
	// heartbeatTimeout plus checkInterval must stay below 3 s, the limit after
	// which a target that disappeared without notice gets no new requests. With
	// a timeout of 3 s and checks every 250 ms, requests were started up to
	// 3.2 s after the last heartbeat.
	heartbeatTimeout     = 2750 * time.Millisecond
	checkInterval        = 100 * time.Millisecond
	maxAnnouncementBytes = 16 << 10
	maxConnections       = 100000
)

var (
	announcements          = metrics.NewCounter(`parsley_target_announcements_total`)
	malformedAnnouncements = metrics.NewCounter(`parsley_target_announcements_malformed_total`)
	withdrawals            = metrics.NewCounter(`parsley_target_withdrawals_total`)
)

// State is the state that a target announces.
type State string

const (
	// Ready means that the target accepts requests.
	Ready State = "ready"
	// Cold means that the target accepts requests, but is slow after its start.
	Cold State = "cold"
	// Draining means that the target finishes its requests and gets no new ones.
	// It is still present: peers see its service and slots.
	Draining State = "draining"
	// Stopping means that the target is about to exit. It counts as absent: peers
	// no longer see its service and slots.
	Stopping State = "stopping"
)

// Announcement is the JSON message that a target sends every second.
type Announcement struct {
	Service string `json:"service"`
	// Address is the IP address and port at which the target serves HTTP.
	Address string `json:"address"`
	// Slots is the number of requests that the target can run at once.
	Slots int `json:"slots"`
	// Connections is the number of connections that the target accepts at once.
	Connections int `json:"connections"`
	// ColdStartMS is the time after its start in which the target is slow.
	ColdStartMS int64 `json:"cold_start_ms"`
	State       State `json:"state"`
	// Incarnation is different for every process of the target.
	Incarnation string `json:"incarnation"`
}

// Validate returns an error that describes the first invalid field.
func (a *Announcement) Validate() error {
	if err := announcement.CheckName("service", a.Service); err != nil {
		return err
	}
	if _, err := announcement.CheckAddress(a.Address); err != nil {
		return err
	}
	if err := announcement.CheckSlots(a.Slots); err != nil {
		return err
	}
	if a.Connections < 1 || a.Connections > maxConnections {
		return fmt.Errorf("announcement: connections is %d; use a value from 1 to %d", a.Connections, maxConnections)
	}
	if a.ColdStartMS < 0 || a.ColdStartMS > announcement.MaxWarmup.Milliseconds() {
		return fmt.Errorf("announcement: cold_start_ms is %d; use a value from 0 to %d", a.ColdStartMS, announcement.MaxWarmup.Milliseconds())
	}
	if a.Incarnation == "" {
		return fmt.Errorf("announcement: incarnation is missing; set a string that is different for every process of the target")
	}
	switch a.State {
	case Ready, Cold, Draining, Stopping:
		return nil
	}
	return fmt.Errorf("announcement: unknown state %q; use ready, cold, draining or stopping", a.State)
}

// Service tracks the local target.
type Service struct {
	kernel.Base
	Log zerolog.Logger
	// OnChange is called after every change of the target. It must be set before
	// Start.
	OnChange func(a Announcement, present bool)
	// Departures keeps the departures that are acknowledged. Nil keeps them in this
	// process only.
	Departures *departure.Journal

	gossip *gossip.Service
	// process identifies this process in the responses to announcements.
	process string

	mu      sync.Mutex
	machine machine
	checker kernel.Worker
}

// Provision looks up the gossip service.
func (s *Service) Provision(k *kernel.Kernel) error {
	s.process = strconv.FormatUint(rand.Uint64(), 16)
	if s.Departures.Keeps() {
		s.machine.distrust(now())
	}
	var err error
	s.gossip, err = kernel.Lookup[*gossip.Service](k, gossip.Name)
	return err
}

// Target returns the last announcement, and whether the target is present: it was
// not withdrawn and is not stopping.
func (s *Service) Target() (Announcement, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.target, s.machine.present
}

// HandleAnnouncement handles an announcement received from the target. It returns
// an error if the announcement is invalid. Once the target drains or stops, it returns
// when that would survive the end of this process, or an error that matches
// departure.ErrNotRecorded.
func (s *Service) HandleAnnouncement(a Announcement) error { return s.handle(a, "") }

// handle is HandleAnnouncement for a target that names the process of the node that its
// last announcement reached.
func (s *Service) handle(a Announcement, process string) error {
	if err := a.Validate(); err != nil {
		malformedAnnouncements.Inc()
		return err
	}
	announcements.Inc()
	s.Departures.Await()
	s.mu.Lock()
	d, changed := s.machine.announce(a, process == s.process, now())
	s.mu.Unlock()
	if changed {
		s.publish()
	}
	if d != nil {
		return s.Departures.Record(*d)
	}
	return nil
}

// LearnDeparture drains the target if it is the one that has left, also if it is
// announced only later.
func (s *Service) LearnDeparture(d departure.Departure, why string) {
	s.mu.Lock()
	drains := s.machine.learn(d, now())
	s.mu.Unlock()
	if drains {
		s.Log.Info().Str("reason", why).Msg("target drains")
		s.publish()
	}
}

// DeparturesComplete ends the distrust of announcements that may be from before the
// start of this process.
func (s *Service) DeparturesComplete() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machine.trust()
}

// Withdraw marks the target as absent, for example when it refuses connections.
func (s *Service) Withdraw(reason string) {
	s.mu.Lock()
	wasPresent := s.machine.withdraw()
	s.mu.Unlock()
	if wasPresent {
		withdrawals.Inc()
		s.Log.Warn().Str("reason", reason).Msg("target withdrawn")
		s.publish()
	}
}

// publish passes the state of the target to the peers and to OnChange, and logs
// it.
func (s *Service) publish() {
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

// ServeHTTP accepts announcements by PUT and returns the current one by GET.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodPut:
		w.Header().Set(headers.Process, s.process)
		var a Announcement
		dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
		dec.DisallowUnknownFields()
		err := dec.Decode(&a)
		if err == nil && dec.More() {
			err = errors.New("unexpected content after the JSON object")
		}
		if err != nil {
			malformedAnnouncements.Inc()
			http.Error(w, fmt.Sprintf("announcement: %v; send a JSON object of at most %d bytes", err, maxAnnouncementBytes), http.StatusBadRequest)
			return
		}
		err = s.handle(a, r.Header.Get(headers.Process))
		if errors.Is(err, departure.ErrNotRecorded) {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		if err != nil {
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
		http.Error(w, "method not allowed; use PUT or GET", http.StatusMethodNotAllowed)
	}
}

// Start starts the heartbeat checks, and to read earlier departures.
func (s *Service) Start(context.Context) error {
	s.machine.lastCheck = kernel.Uptime()
	s.Departures.Start()
	s.checker.StartPeriodic(checkInterval, s.checkHeartbeat)
	return nil
}

// Stop stops the heartbeat checks.
func (s *Service) Stop(context.Context) error {
	s.checker.Stop()
	s.Departures.Stop()
	return nil
}

// checkHeartbeat withdraws a target whose heartbeats stopped, and ends a cold
// start whose time has passed.
func (s *Service) checkHeartbeat() {
	s.mu.Lock()
	expired, warmedUp := s.machine.check(kernel.Uptime())
	s.mu.Unlock()
	if expired {
		s.Withdraw("heartbeats missed")
	} else if warmedUp {
		s.publish()
	}
}

func now() instant { return instant{kernel.Uptime(), time.Now().UnixMilli()} }
