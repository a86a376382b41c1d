package targethost

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"parsleyturn/internal/departure"
	"parsleyturn/internal/kernel"
)

const (
	// maxMissedHeartbeats is the number of missed announcements after which the
	// target counts as lost. An announcement may be several seconds late.
	maxMissedHeartbeats = 4
)

var (
	announcementsIgnored = metrics.NewCounter(`parsley_host_announcements_ignored_total`)
	// announcementsRejected counts invalid announcements.
	announcementsRejected = metrics.NewCounter(`parsley_host_announcements_rejected_total`)
)

// HandleAnnouncement updates the target from its announcement. An announcement
// older than the current state is ignored; an invalid one is an error. Once the
// target leaves, it returns when the departure would survive the end of this process,
// or an error that matches departure.ErrNotRecorded.
func (h *Host) HandleAnnouncement(a Announcement) error {
	if err := h.check(&a); err != nil {
		h.RecordRejected()
		return err
	}
	h.Departures.Await()
	d, leaves := h.applyAnnouncement(&a)
	if !leaves {
		return nil
	}
	return h.Departures.Record(d)
}

// applyAnnouncement updates the target. If the announcement says that the target
// leaves, it returns the departure.
func (h *Host) applyAnnouncement(a *Announcement) (d departure.Departure, leaves bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := kernel.Uptime()
	same := h.known && a.ID == h.target.ID && a.StartedAtMillis == h.target.StartedAtMillis
	left := h.departed.Covers(a.ID, a.StartedAtMillis, a.Sequence, now)
	switch {
	case h.known && !a.supersedes(&h.target) && !h.contender.outlasts(a, now, h.lastAnnounced, h.HeartbeatInterval):
		h.ignore(a, "announcement is older than the current state")
		return d, false
	case left && h.known && !same:
		h.ignore(a, "announcement of a target that has left")
		return d, false
	}
	if !same {
		h.connPool.Close()
		h.downUntil, h.signals = 0, signals{}
	}
	leaves = a.Draining
	switch {
	case leaves:
		d = h.departed.Add(a.departure(), now)
	case !left:
		h.departed.Remove(a.departure())
	}
	a.Draining = leaves || left || h.signals.leaving
	reconfigure := !same || a.Slots != h.target.Slots
	changed := !same || a.Draining != h.target.Draining || a.Slots != h.target.Slots || h.ready == a.Draining || (a.WarmupLeft > 0) != (h.target.WarmupLeft > 0)
	h.target, h.known, h.lastAnnounced, h.contender = *a, true, now, contender{}
	if reconfigure {
		h.slots.configure(h.admissionConfig())
	}
	if changed {
		h.publish("announced")
	}
	return d, leaves
}

// RecordRejected counts an announcement that is malformed or invalid.
func (h *Host) RecordRejected() { announcementsRejected.Inc() }

// check returns an error if an announcement cannot be one of the local target.
func (h *Host) check(a *Announcement) error {
	if err := a.Validate(time.Now()); err != nil {
		return err
	}
	if ip := netip.MustParseAddrPort(a.Address).Addr(); h.TargetIP.IsValid() && ip != h.TargetIP {
		return fmt.Errorf("announcement of target %q: address %q is not on this VM, whose target has the IP address %v", a.ID, a.Address, h.TargetIP)
	}
	if h.KnowsService != nil && !h.KnowsService(a.Service) {
		return fmt.Errorf("announcement of target %q: service %q is not in the configuration", a.ID, a.Service)
	}
	return nil
}

// ignore counts and logs an announcement that changes nothing. h.mu must be held.
func (h *Host) ignore(a *Announcement, why string) {
	announcementsIgnored.Inc()
	h.Log.System.Info().Str("event", "announcement-ignored").Str("target", a.ID).Int64("sequence", a.Sequence).
		Int64("born", a.StartedAtMillis).Str("in_force", h.target.ID).Int64("sequence_in_force", h.target.Sequence).Msg(why)
}

// Withdraw marks the target as draining. It is ignored if the current target has
// another ID or a later start. A start of 0 matches every incarnation. It returns when
// the departure would survive the end of this process, or an error that matches
// departure.ErrNotRecorded.
func (h *Host) Withdraw(id string, startedAtMillis int64) error {
	d, ok := h.applyWithdrawal(id, startedAtMillis)
	if !ok {
		return nil
	}
	return h.Departures.Record(d)
}

func (h *Host) applyWithdrawal(id string, startedAtMillis int64) (departure.Departure, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.known || h.target.ID != id || startedAtMillis != 0 && h.target.StartedAtMillis > startedAtMillis {
		h.Log.System.Info().Str("event", "withdrawal-ignored").Str("target", id).Str("in_force", h.target.ID).Msg("withdrawal does not name the current target")
		return departure.Departure{}, false
	}
	d := h.target.withdrawal()
	d.StartedAtMillis = max(d.StartedAtMillis, startedAtMillis)
	h.departed.Add(d, kernel.Uptime())
	h.signals.leaving = d.StartedAtMillis != 0
	h.target.Draining = true
	h.publish("withdrawn")
	return d, true
}

// publish updates the readiness and reports the target to the other nodes. h.mu
// must be held.
func (h *Host) publish(why string) {
	h.ready = h.known && !h.target.Draining
	h.Log.System.Info().Str("event", "target").Str("why", why).Str("target", h.target.ID).Str("service", h.target.Service).Str("zone", h.target.Zone).Str("version", h.target.Version).
		Bool("ready", h.ready).Int("slots", h.target.Slots).Int64("born", h.target.StartedAtMillis).Int64("sequence", h.target.Sequence).
		Dur("warmup_left", h.target.WarmupLeft).Msg("state of the local target changed")
	if h.OnTargetChange != nil {
		h.OnTargetChange(h.target, h.ready)
	}
}

// checkHeartbeat withdraws a target that has missed too many announcements.
func (h *Host) checkHeartbeat() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ready && kernel.Uptime()-h.lastAnnounced > maxMissedHeartbeats*h.HeartbeatInterval {
		h.known = false
		h.publish("silent")
	}
}
