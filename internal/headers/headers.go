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
	Attempt       = "Parsley-Attempt"
	DeadlineMS    = "Parsley-Deadline-Ms"
	Ticket        = "Parsley-Ticket"
	TicketFor     = "Parsley-Ticket-For"
	Outcome       = "Parsley-Outcome"
	Error         = "Parsley-Error"
	ContextToken  = "Parsley-Context"
	ConfigVersion = "Parsley-Config-Version"
)

const prefix = "Parsley-"

// hopByHop are the fields that apply to a single connection (RFC 9110, 7.6.1).
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// ToWire returns the end-to-end fields of h without those of the mesh.
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
