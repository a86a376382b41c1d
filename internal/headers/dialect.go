package headers

import (
	"net/http"
	"strings"

	"parsleyturn/internal/wire"
)

// Dialect names the header fields that a deployment uses between callers, the
// mesh and targets, in their canonical form.
type Dialect struct {
	// RequestID identifies one attempt of a caller. Targets echo it.
	RequestID string
	// DeadlineMS is the time that is left, in ms.
	DeadlineMS string
	// TargetInstance names the target that is to run the request.
	TargetInstance string
	// ResponseSignature is the target's signature of an answer.
	ResponseSignature string
	// NotExecuted marks an answer of a target that did not run the request.
	NotExecuted string
	// CallerService is the service of the VM on which the request began.
	CallerService string
}

// EndToEnd returns the fields that are passed on: those that do not concern
// one connection only and that the mesh does not set itself.
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
