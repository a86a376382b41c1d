package targethost

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"parsleyturn/internal/admission"
	"parsleyturn/internal/kernel"
	"parsleyturn/internal/targetstate"
)

const (
	// minTargetRate is the rate in requests per second at which a target with a
	// lower limit is used, so that its responses show when the limit ends.
	minTargetRate = 0.5
	// unknownTargetSlots bounds the requests at a target that has not responded to
	// this process yet. It may have a limit that an earlier process knew.
	unknownTargetSlots = 16
)

var (
	limitChanges  = metrics.NewCounter(`parsley_host_target_limit_changes_total`)
	invalidLimits = metrics.NewCounter(`parsley_host_target_limits_invalid_total`)
)

// signals is what the current incarnation of the target has said about itself in
// its responses.
type signals struct {
	// responded is set after the first response.
	responded bool
	// rate is the limit that the target named, in requests per second, as of
	// limitedAt. It applies while limited is set.
	limited   bool
	rate      float64
	limitedAt time.Duration
}

// observeResponse updates the state of the target from the header of its response
// to a request that was sent at the uptime sent.
func (h *Host) observeResponse(target *targetstate.Announcement, sent time.Duration, header http.Header) {
	rate, limited, err := parseLimit(header.Get(h.Dialect.TargetLimit))
	if err != nil {
		invalidLimits.Inc()
		h.Log.Failure.Warn().Err(err).Str("event", "target-limit-invalid").Str("target", target.ID).Msg("limit named by the target is ignored")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.state.InForce(target) {
		return
	}
	s := &h.signals
	before := *s
	s.responded = true
	switch {
	case limited:
		s.limited, s.rate, s.limitedAt = true, rate, kernel.Uptime()
	case err == nil && s.limited && sent > s.limitedAt:
		// A response to an earlier request may have been sent before the target
		// named the limit.
		s.limited = false
	}
	if s.limited != before.limited || s.limited && s.rate != before.rate {
		limitChanges.Inc()
		h.Log.Failure.Info().Str("event", "target-limit").Str("target", target.ID).Bool("limited", s.limited).Float64("rate", s.rate).Msg("the request rate that the target takes changed")
	}
	if header.Get(h.Dialect.TargetLeaving) != "" {
		r := h.state.StateLeaving(target, now())
		h.publishChange(r, "leaving")
		go func() { _ = h.keep(r) }() // it is not acknowledged; a failure is logged
	}
	if s.responded != before.responded || s.limited != before.limited || s.rate != before.rate {
		h.slots.configure(h.admissionConfig())
	}
}

// admissionConfig returns the limits for requests to the current target. h.mu must
// be held.
func (h *Host) admissionConfig() admission.Config {
	t, _ := h.state.Target()
	c := admission.Config{Slots: t.Slots, MaxQueueTime: maxQueueTime}
	if !h.signals.responded {
		c.Slots = min(c.Slots, unknownTargetSlots)
	}
	if h.signals.limited {
		c.MaxRate = max(h.signals.rate, minTargetRate)
	}
	return c
}

// parseLimit parses the limit that a target named. limited is false if there is
// none.
func parseLimit(text string) (rate float64, limited bool, err error) {
	if text == "" {
		return 0, false, nil
	}
	rate, err = strconv.ParseFloat(text, 64)
	if err != nil || rate < 0 || math.IsNaN(rate) || math.IsInf(rate, 0) {
		return 0, false, fmt.Errorf("limit %q is not a number of requests per second", text)
	}
	return rate, true, nil
}
