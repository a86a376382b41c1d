// Package headers names the HTTP header fields of the mesh and selects the
// fields that are forwarded.
package headers

import (
	"net/http"
	"strings"

	"parsleyturn/internal/wire"
)

// Header fields of the mesh in their canonical form.
const (
	RequestID     = "Parsley-Request-Id"
	ClientAccount = "Parsley-Buyer"
	Attempt       = "Parsley-Attempt"        // number of the caller's attempt, from 1
	Process       = "Parsley-Process"        // process of the node that a target's last announcement reached
	DeadlineMS    = "Parsley-Deadline-Ms"    // time left until the deadline, in ms
	Ticket        = "Parsley-Ticket"         // in a request its ticket, in a response a new one
	TicketFor     = "Parsley-Ticket-For"     // kind for which the response shall carry a ticket
	Outcome       = "Parsley-Outcome"        // apierror.Outcome
	Error         = "Parsley-Error"          // apierror.Code
	ContextToken  = "Parsley-Context"        // assigns a sub-call to its parent request
	ConfigVersion = "Parsley-Config-Version" // active version at the node that served the caller
)

const prefix = "Parsley-"

// hopByHop are the fields that apply to a single connection (RFC 9110, 7.6.1), and the
// expectation that the node itself meets.
var hopByHop = map[string]bool{
	"Connection": true, "Expect": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// ToWire returns the fields of h that are forwarded. Hop-by-hop fields and the
// fields of the mesh are left out.
func ToWire(h http.Header) []wire.Header {
	listed := map[string]bool{}
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			listed[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	out := make([]wire.Header, 0, len(h))
	for name, values := range h {
		if hopByHop[name] || listed[name] || strings.HasPrefix(name, prefix) {
			continue
		}
		for _, v := range values {
			out = append(out, wire.Header{Name: name, Value: v})
		}
	}
	return out
}
