package headers

import (
	"net/http"
	"strings"

	"parsleyturn/internal/wire"
)

// Dialect names the header fields that a deployment uses between callers, the
// mesh and targets, in their canonical form.
type Dialect struct {
	// RequestID identifies one attempt of a caller's request. Targets return
	// it in the response.
	RequestID string
	// DeadlineMS is the time left until the deadline, in ms.
	DeadlineMS string
	// TargetInstance identifies the target that the request is sent to.
	TargetInstance string
	// ResponseSignature is the target's signature of a response.
	ResponseSignature string
	// NotExecuted marks the response of a target that did not execute the
	// request.
	NotExecuted string
	// TargetLimit is the number of requests per second that the target takes from
	// all VMs together, as a decimal number. It applies until a response lacks it.
	TargetLimit string
	// TargetLeaving marks the responses of a target that shuts down.
	TargetLeaving string
	// CallerService is the service of the VM from which the request came.
	CallerService string
	// HealthTarget identifies the target that responds to a health check.
	HealthTarget string
}

// EndToEnd returns the fields of h that are forwarded. Hop-by-hop fields,
// Content-Length and the fields that the mesh sets itself are left out.
func (d *Dialect) EndToEnd(h http.Header) wire.Headers {
	var listed map[string]bool
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			if listed == nil {
				listed = make(map[string]bool)
			}
			listed[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	out := make(wire.Headers, 0, len(h))
	for name, values := range h {
		if hopByHop[name] || listed[name] || name == "Content-Length" || name == d.DeadlineMS || name == d.TargetInstance || name == d.CallerService || name == d.RequestID {
			continue
		}
		for _, v := range values {
			out = append(out, wire.Header{Name: name, Value: v})
		}
	}
	return out
}
