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
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"parsleyturn/internal/announcement"
	"parsleyturn/internal/departure"
	"parsleyturn/internal/gossip"
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

	mu            sync.Mutex
	target        Announcement
	present       bool
	coldUntil     time.Duration
	lastHeartbeat time.Duration
	// departed has the incarnations of targets that have left.
	departed departure.Set
	// lastCheck is the time of the last heartbeat check. A long time since then
	// means that this process was paused.
	lastCheck time.Duration
	checker   kernel.Worker
}

// Provision looks up the gossip service.
func (s *Service) Provision(k *kernel.Kernel) error {
	var err error
	s.gossip, err = kernel.Lookup[*gossip.Service](k, gossip.Name)
	return err
}

// Target returns the last announcement, and whether the target is present: it was
// not withdrawn and is not stopping.
func (s *Service) Target() (Announcement, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.target, s.present
}

// HandleAnnouncement handles an announcement received from the target. It returns
// an error if the announcement is invalid. Once the target drains or stops, it returns
// when that would survive the end of this process, or an error that matches
// departure.ErrNotRecorded.
func (s *Service) HandleAnnouncement(a Announcement) error {
	if err := a.Validate(); err != nil {
		malformedAnnouncements.Inc()
		return err
	}
	announcements.Inc()
	s.Departures.Await()
	d, leaves, changed := s.apply(a)
	if changed {
		s.publish()
	}
	if leaves {
		return s.Departures.Record(d)
	}
	return nil
}

// apply updates the target, and reports whether that is a change. If the announcement
// says that the target leaves, it returns the departure.
func (s *Service) apply(a Announcement) (d departure.Departure, leaves, changed bool) {
	now := kernel.Uptime()
	s.mu.Lock()
	defer s.mu.Unlock()
	leaves = a.State == Draining || a.State == Stopping
	switch {
	case leaves:
		d = s.departed.Add(a.departure(), now)
	case s.departed.Covers(a.departureID(), 0, 0, now, time.Now().UnixMilli()):
		a.State = Draining // sent before the target left
	}
	newTarget := !s.present || s.target.Incarnation != a.Incarnation
	if newTarget {
		s.coldUntil = now + time.Duration(a.ColdStartMS)*time.Millisecond
	}
	if a.State == Ready && now < s.coldUntil {
		a.State = Cold
	}
	changed = newTarget || s.target != a
	s.target, s.present, s.lastHeartbeat = a, a.State != Stopping, now
	return d, leaves, changed
}

// departureID returns the incarnation, or a hash of one that is too long to be kept.
func (a *Announcement) departureID() string {
	if announcement.CheckLength("incarnation", a.Incarnation) != nil {
		return fmt.Sprintf("%016x", xxhash.Sum64String(a.Incarnation))
	}
	return a.Incarnation
}

// departure returns the departure of the target. Announcements have no order, so that
// those from before the departure are told by the time.
func (a *Announcement) departure() departure.Departure {
	return departure.Departure{TargetID: a.departureID(), StatedAtMillis: time.Now().UnixMilli()}
}

// LearnDeparture drains the target if it is the one that has left, also if it is
// announced only later.
func (s *Service) LearnDeparture(d departure.Departure, why string) {
	now := kernel.Uptime()
	s.mu.Lock()
	s.departed.Add(d, now)
	drains := s.present && (s.target.State == Ready || s.target.State == Cold) && s.departed.Covers(s.target.departureID(), 0, 0, now, time.Now().UnixMilli())
	if drains {
		s.target.State = Draining
	}
	s.mu.Unlock()
	if drains {
		s.Log.Info().Str("reason", why).Msg("target drains")
		s.publish()
	}
}

// Withdraw marks the target as absent, for example when it refuses connections.
func (s *Service) Withdraw(reason string) {
	s.mu.Lock()
	wasPresent := s.present
	s.present = false
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
		err = s.HandleAnnouncement(a)
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
	s.lastCheck = kernel.Uptime()
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
	now := kernel.Uptime()
	s.mu.Lock()
	if now-s.lastCheck > heartbeatTimeout/2 {
		s.lastHeartbeat = now // this process was paused, so missed heartbeats say nothing about the target
	}
	s.lastCheck = now
	expired := s.present && now-s.lastHeartbeat > heartbeatTimeout
	warmedUp := s.present && s.target.State == Cold && now >= s.coldUntil && s.coldUntil > 0
	if warmedUp {
		s.target.State = Ready
	}
	s.mu.Unlock()
	if expired {
		s.Withdraw("heartbeats missed")
	} else if warmedUp {
		s.publish()
	}
}
