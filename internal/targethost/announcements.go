package targethost

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"parsleyturn/internal/kernel"
	"parsleyturn/internal/targetstate"
)

var (
	announcementsIgnored = metrics.NewCounter(`parsley_host_announcements_ignored_total`)
	// announcementsRejected counts invalid announcements.
	announcementsRejected = metrics.NewCounter(`parsley_host_announcements_rejected_total`)
)

// ErrNoStart means that an announcement lacks the start, which the targets of the VM name.
var ErrNoStart = errors.New("the announcement does not say when its target started, as those before did; name the start")

// now returns the time of an event of the target.
func now() targetstate.Time {
	return targetstate.Time{Uptime: kernel.Uptime(), WallMillis: time.Now().UnixMilli()}
}

// HandleAnnouncement updates the target from its announcement. An announcement
// older than the current state is ignored; an invalid one is an error. Once the
// target leaves, it returns when the departure would survive the end of this process,
// or an error that matches departure.ErrNotRecorded.
func (h *Host) HandleAnnouncement(a targetstate.Announcement) error {
	if err := h.check(&a); err != nil {
		h.RecordRejected()
		return err
	}
	h.Departures.Await()
	h.mu.Lock()
	r := h.state.Announce(a, now())
	if r.Ignored != "" {
		h.logIgnored(&a, r.Ignored)
	}
	if r.NewIncarnation {
		h.connPool.Close()
		h.downUntil, h.signals = 0, signals{}
	}
	if r.SlotsChanged {
		h.slots.configure(h.admissionConfig())
	}
	h.publishChange(r, "announced")
	if _, ok := h.state.Unconfirmed(); ok {
		h.confirmer.signal()
	}
	h.mu.Unlock()
	if r.Rejected {
		h.RecordRejected()
		return fmt.Errorf("announcement of target %q: %w", a.ID, ErrNoStart)
	}
	return h.keep(r)
}

// keep returns once the departure of a result would survive the end of this process.
func (h *Host) keep(r targetstate.Result) error {
	if r.Departure == nil {
		return nil
	}
	return h.Departures.Record(*r.Departure)
}

// RecordRejected counts an announcement that is malformed or invalid.
func (h *Host) RecordRejected() { announcementsRejected.Inc() }

// check returns an error if an announcement cannot be one of the local target.
func (h *Host) check(a *targetstate.Announcement) error {
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

// logIgnored counts and logs an announcement that changes nothing. h.mu must be held.
func (h *Host) logIgnored(a *targetstate.Announcement, why string) {
	announcementsIgnored.Inc()
	inForce, _ := h.state.Target()
	h.Log.System.Info().Str("event", "announcement-ignored").Str("target", a.ID).Bool("draining", a.Draining).Int64("sequence", a.Sequence).
		Int64("born", a.StartedAtMillis).Str("in_force", inForce.ID).Int64("sequence_in_force", inForce.Sequence).Int64("born_in_force", inForce.StartedAtMillis).Msg(why)
}

// Withdraw handles the withdrawal of a target. A start of 0 means that it is not named.
// It returns when the departure would survive the end of this process, or an error that
// matches departure.ErrNotRecorded.
func (h *Host) Withdraw(id string, startedAtMillis int64) error {
	h.mu.Lock()
	r := h.state.Withdraw(id, startedAtMillis, now())
	if r.Ignored != "" {
		inForce, known := h.state.Target()
		h.Log.System.Info().Str("event", "withdrawal-of-other").Str("target", id).Int64("born", startedAtMillis).Str("in_force", inForce.ID).Bool("known", known).Msg(r.Ignored)
	}
	h.publishChange(r, "withdrawn")
	h.mu.Unlock()
	return h.keep(r)
}

// publishChange publishes the target if it has changed. h.mu must be held.
func (h *Host) publishChange(r targetstate.Result, why string) {
	if r.Changed {
		h.publish(why)
	}
}

// publish reports the target to the other nodes. h.mu must be held.
func (h *Host) publish(why string) {
	t, _ := h.state.Target()
	_, unconfirmed := h.state.Unconfirmed()
	h.Log.System.Info().Str("event", "target").Str("why", why).Str("target", t.ID).Str("service", t.Service).Str("zone", t.Zone).Str("version", t.Version).
		Bool("ready", h.state.Ready()).Bool("unconfirmed", unconfirmed).Int("slots", t.Slots).Int64("born", t.StartedAtMillis).Int64("sequence", t.Sequence).
		Dur("warmup_left", t.WarmupLeft).Msg("state of the local target changed")
	if h.OnTargetChange != nil {
		h.OnTargetChange(t, h.state.Ready())
	}
}

// checkHeartbeat loses a target that has missed too many announcements.
func (h *Host) checkHeartbeat() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.publishChange(h.state.Expire(now()), "silent")
}
