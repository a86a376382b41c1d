package target

import (
	"fmt"
	"time"
)

// Faults changes how the stand-in behaves while it runs. The zero value is a
// target without faults.
type Faults struct {
	// SlowFactor multiplies service times for SlowMS (in ms) from now; 0 means
	// not slow. SlowMS 0 means until the faults change.
	SlowFactor float64 `json:"slow_factor"`
	SlowMS     int64   `json:"slow_ms"`
	// StragglerShare of all jobs take StragglerFactor times longer.
	StragglerShare  float64 `json:"straggler_share"`
	StragglerFactor float64 `json:"straggler_factor"`
	// Shed turns shedding on in addition to the configuration.
	Shed bool `json:"shed"`
	// Hang holds new requests without work until their callers leave.
	Hang bool `json:"hang"`
	// TruncateShare of all answers end in the middle of the body. The work is done.
	TruncateShare float64 `json:"cut_share"`
	// FailShare of all requests get no answer: the connection is closed before
	// the head. The work is done.
	FailShare float64 `json:"fail_share"`
	// StopAnnouncing ends the heartbeats to the node.
	StopAnnouncing bool `json:"stop_announcing"`
	// LoadLagMS is the age of the state that /load and /healthz show, in ms,
	// at most 60,000.
	LoadLagMS int64 `json:"load_lag_ms"`
	// LoadFactor multiplies the load shown; 0 means 1.
	LoadFactor float64 `json:"load_factor"`
	// Health overrides /healthz: "up", "down" or empty for the truth.
	Health string `json:"health"`

	slowUntil time.Time
}

// Validate reports values that cannot be used.
func (f *Faults) Validate() error {
	switch {
	case f.SlowFactor < 0 || f.SlowMS < 0:
		return fmt.Errorf("faults: slow_factor %g or slow_ms %d is negative; use 0 or more", f.SlowFactor, f.SlowMS)
	case f.StragglerShare < 0 || f.StragglerShare > 1 || f.TruncateShare < 0 || f.TruncateShare > 1:
		return fmt.Errorf("faults: straggler_share %g or cut_share %g is not a share; use 0 to 1", f.StragglerShare, f.TruncateShare)
	case f.FailShare < 0 || f.FailShare > 1:
		return fmt.Errorf("faults: fail_share %g is not a share; use 0 to 1", f.FailShare)
	case f.StragglerShare > 0 && f.StragglerFactor < 1:
		return fmt.Errorf("faults: straggler_factor is %g; use at least 1", f.StragglerFactor)
	case f.LoadLagMS < 0 || f.LoadLagMS > maxLag.Milliseconds():
		return fmt.Errorf("faults: load_lag_ms is %d; use 0 to %d", f.LoadLagMS, maxLag.Milliseconds())
	case f.LoadFactor < 0:
		return fmt.Errorf("faults: load_factor %g is negative; use 0 or more", f.LoadFactor)
	case f.Health != "" && f.Health != "up" && f.Health != "down":
		return fmt.Errorf("faults: unknown health %q; use up, down or leave it out", f.Health)
	}
	return nil
}

// factor is the factor of service times at a time.
func (f *Faults) factor(now time.Time) float64 {
	if f.SlowFactor > 0 && (f.SlowMS == 0 || now.Before(f.slowUntil)) {
		return f.SlowFactor
	}
	return 1
}
