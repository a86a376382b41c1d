package connlimit

// Shares divides the descriptors of a process among its uses.
type Shares struct {
	// Callers is for the connections of callers, and Refusals for those that are open
	// until their refusal is sent.
	Callers, Refusals int
	// Links, Target, Store and Control are kept for connections with other nodes, the
	// local target, the platform's store, and announcements, probes and operators.
	Links, Target, Store, Control int
	// Files is kept for files and what the runtime needs.
	Files int
}

// Part returns the limits of a listener that gets a part of the share of control.
func (s Shares) Part(divisor int) Config {
	limit := max(s.Control/divisor, 2)
	return Config{Limit: limit, RefusalLimit: max(limit/8, 1)}
}

// minCallers is the smallest number of connections that callers get.
const minCallers = 8

// Divide returns the shares of a process that may open limit descriptors.
func Divide(limit int) Shares {
	s := Shares{
		Links: limit / 4, Target: min(limit/8, 512), Store: min(limit/32, 16), Control: min(limit/16, 128), Files: min(limit/8, 64),
	}
	rest := limit - s.Links - s.Target - s.Store - s.Control - s.Files
	s.Refusals = rest / 8
	s.Callers = max(rest-s.Refusals, minCallers)
	return s
}
