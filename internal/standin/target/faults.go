package target

import (
	"fmt"
	"time"
)

// Faults are the faults of a running stand-in. The zero value means no faults.
type Faults struct {
	// SlowFactor multiplies service times for SlowMS ms after the faults are
	// set; 0 means normal speed. SlowMS 0 means until the faults change.
	SlowFactor float64 `json:"slow_factor"`
	SlowMS     int64   `json:"slow_ms"`
	// StragglerShare is the fraction of requests that take StragglerFactor
	// times longer.
	StragglerShare  float64 `json:"straggler_share"`
	StragglerFactor float64 `json:"straggler_factor"`
	// Shed turns load shedding on even if the configuration does not.
	Shed bool `json:"shed"`
	// Hang blocks new requests without processing them until their caller
	// disconnects or their deadline passes.
	Hang bool `json:"hang"`
	// TruncateShare is the fraction of responses that are truncated after half
	// of the body. The work is still done.
	TruncateShare float64 `json:"cut_share"`
	// FailShare is the fraction of requests whose connection is closed before
	// the response header is sent. The work is still done.
	FailShare float64 `json:"fail_share"`
	// StopAnnouncing stops the heartbeats to the node.
	StopAnnouncing bool `json:"stop_announcing"`
	// LoadLagMS is the age of the load that /load and /healthz report, in ms,
	// at most 60,000.
	LoadLagMS int64 `json:"load_lag_ms"`
	// LoadFactor multiplies the reported load; 0 means 1.
	LoadFactor float64 `json:"load_factor"`
	// Health overrides the reported health: "up", "down", or empty for the
	// actual health.
	Health string `json:"health"`

	slowUntil time.Time
}

// Validate returns an error for the first value that is out of range.
func (f *Faults) Validate() error {
	switch {
	case f.SlowFactor < 0 || f.SlowMS < 0:
		return fmt.Errorf("faults: slow_factor %g or slow_ms %d is negative; use 0 or more", f.SlowFactor, f.SlowMS)
	case f.StragglerShare < 0 || f.StragglerShare > 1 || f.TruncateShare < 0 || f.TruncateShare > 1:
		return fmt.Errorf("faults: straggler_share %g or cut_share %g is out of range; use 0 to 1", f.StragglerShare, f.TruncateShare)
	case f.FailShare < 0 || f.FailShare > 1:
		return fmt.Errorf("faults: fail_share %g is out of range; use 0 to 1", f.FailShare)
	case f.StragglerShare > 0 && f.StragglerFactor < 1:
		return fmt.Errorf("faults: straggler_factor %g is too small; use at least 1", f.StragglerFactor)
	case f.LoadLagMS < 0 || f.LoadLagMS > maxLoadLag.Milliseconds():
		return fmt.Errorf("faults: load_lag_ms %d is out of range; use 0 to %d", f.LoadLagMS, maxLoadLag.Milliseconds())
	case f.LoadFactor < 0:
		return fmt.Errorf("faults: load_factor %g is negative; use 0 or more", f.LoadFactor)
	case f.Health != "" && f.Health != "up" && f.Health != "down":
		return fmt.Errorf("faults: unknown health %q; use up, down or leave it out", f.Health)
	}
	return nil
}

// serviceTimeFactor returns the factor that SlowFactor applies at a time.
func (f *Faults) serviceTimeFactor(now time.Time) float64 {
	if f.SlowFactor > 0 && (f.SlowMS == 0 || now.Before(f.slowUntil)) {
		return f.SlowFactor
	}
	return 1
}
