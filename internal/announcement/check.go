// Package announcement checks the parts of an announcement of a target. An
// announcement may come from another writer than the target, so it is checked whole
// before any of it is used.
package announcement

import (
	"fmt"
	"net/netip"
	"time"

	"parsleyturn/internal/membership"
)

// Largest values that an announcement may have.
const (
	MaxSlots  = 100_000
	MaxWarmup = time.Hour
)

// CheckName returns an error if a required name is missing or longer than the nodes
// can pass on.
func CheckName(field, name string) error {
	if name == "" {
		return fmt.Errorf("announcement: %s is missing; set the %s of the target", field, field)
	}
	return CheckLength(field, name)
}

// CheckLength returns an error if a text is longer than the nodes can pass on.
func CheckLength(field, text string) error {
	if len(text) > membership.MaxStringBytes {
		return fmt.Errorf("announcement: %s has %d bytes; use at most %d", field, len(text), membership.MaxStringBytes)
	}
	return nil
}

// CheckAddress returns the address, or an error if it is not an IP address and a port
// that a target can listen on.
func CheckAddress(address string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		return a, fmt.Errorf("announcement: address %q is not an IP address and port; use the form 10.0.0.4:9000 with a port from 1 to 65535", address)
	}
	return a, nil
}

// CheckSlots returns an error if a target cannot have so many slots.
func CheckSlots(slots int) error {
	if slots < 1 || slots > MaxSlots {
		return fmt.Errorf("announcement: slots is %d; use a value from 1 to %d", slots, MaxSlots)
	}
	return nil
}

// CheckWarmup returns an error if a target cannot be slow for so long after its start.
func CheckWarmup(d time.Duration) error {
	if d < 0 || d > MaxWarmup {
		return fmt.Errorf("announcement: the warm-up takes %v; use a time from 0 to %v", d, MaxWarmup)
	}
	return nil
}
