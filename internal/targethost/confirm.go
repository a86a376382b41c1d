package targethost

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"parsleyturn/internal/kernel"
	"parsleyturn/internal/targetstate"
)

const (
	// healthTimeout bounds a health check, which may wait for a slot of the target.
	healthTimeout = time.Second
	// minConfirmDelay and maxConfirmDelay bound the time between two health checks of a
	// target.
	minConfirmDelay = 100 * time.Millisecond
	maxConfirmDelay = 800 * time.Millisecond
	maxHealthHead   = 16 << 10
)

var (
	healthChecks      = metrics.NewCounter(`parsley_host_health_checks_total`)
	targetsConfirmed  = metrics.NewCounter(`parsley_host_targets_confirmed_total`)
	healthCheckErrors = metrics.NewCounter(`parsley_host_health_check_errors_total`)
)

// confirmer asks targets that may have left before this process started whether they
// are ready.
type confirmer struct {
	client *http.Client
	wake   chan struct{}
	worker kernel.Worker
}

func (c *confirmer) init() {
	// Each check has a connection of its own, so that no late response to another
	// request is taken for its response.
	c.client = &http.Client{
		Timeout:       healthTimeout,
		Transport:     &http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHealthHead},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	c.wake = make(chan struct{}, 1)
}

func (c *confirmer) signal() {
	select {
	case c.wake <- struct{}{}:
	default: // it is awake
	}
}

// confirmTargets checks the target in force for as long as it is not confirmed.
func (h *Host) confirmTargets(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.confirmer.wake:
		}
		for delay := minConfirmDelay; !h.confirmTarget(ctx); delay = min(2*delay, maxConfirmDelay) {
			select {
			case <-ctx.Done():
				return
			case <-time.After(delay):
			}
		}
	}
}

// confirmTarget checks the target in force, and reports whether nothing is left to
// confirm.
func (h *Host) confirmTarget(ctx context.Context) bool {
	h.mu.Lock()
	target, unconfirmed := h.state.Unconfirmed()
	h.mu.Unlock()
	if !unconfirmed {
		return true
	}
	path := ""
	if h.HealthPath != nil {
		path = h.HealthPath(target.Service)
	}
	if path == "" {
		return false // a configuration may name it later
	}
	healthChecks.Inc()
	if err := h.checkHealth(ctx, &target, path); err != nil {
		healthCheckErrors.Inc()
		h.Log.System.Info().Err(err).Str("event", "target-unconfirmed").Str("target", target.ID).Msg("the target has not said since the start of this node that it is ready; it gets no requests")
		return false
	}
	targetsConfirmed.Inc()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.publishChange(h.state.Confirm(&target), "confirmed")
	return true
}

// checkHealth returns an error unless a target responds that it is ready.
func (h *Host) checkHealth(ctx context.Context, target *targetstate.Announcement, path string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target.Address+path, nil)
	if err != nil {
		return fmt.Errorf("health check of target %q: %w", target.ID, err)
	}
	resp, err := h.confirmer.client.Do(req)
	if err != nil {
		return fmt.Errorf("health check of target %q: %w", target.ID, err)
	}
	defer resp.Body.Close()
	if id := resp.Header.Get(h.Dialect.HealthTarget); resp.StatusCode != http.StatusOK || id != target.ID {
		return fmt.Errorf("health check of target %q: status %d of target %q; want 200", target.ID, resp.StatusCode, id)
	}
	return nil
}
