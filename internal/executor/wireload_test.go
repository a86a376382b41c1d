package executor

import (
	"testing"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/admission"
	"parsleyturn/internal/wire"
)

// Guards against a field of the admission state that is not sent to peers.
func TestWireLoadCopiesAllFields(t *testing.T) {
	got := wireLoad(admission.Load{InFlight: 1, Limit: 2, Queued: 3, Threshold: 4, LongThreshold: 5})
	assert.DeepEqual(t, got, wire.Load{InFlight: 1, Limit: 2, Queued: 3, Threshold: 4, LongThreshold: 5})
}
