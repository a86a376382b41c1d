package integration

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that fail while the nodes of a service are drained
// and restarted one after the other, and against bookings that were executed
// although their ticket was reported as void.
func TestRollingRestartFailsNoRequest(t *testing.T) {
	t.Parallel()
	for _, service := range []string{"directory", "bookings"} {
		t.Run(service, func(t *testing.T) {
			t.Parallel()
			m := parallelMesh(t, 2, meshOptions{})
			entries := m.hostsOf("reports")
			browse := m.startLoad("browse", http.MethodGet, "/directory/x", 10*time.Millisecond, entries...)
			book := m.startLoad("book", http.MethodPost, "/bookings/x", 40*time.Millisecond, entries...)
			time.Sleep(500 * time.Millisecond)
			for _, h := range m.hostsOf(service) {
				h.node.signal(syscall.SIGTERM)
				assert.Equal(t, h.node.exitCode(t, 25*time.Second), 0, h.id)
				h.startNode()
				m.waitReady()
			}
			time.Sleep(500 * time.Millisecond)
			failed := browse.stopAndCountFailures() + book.stopAndCountFailures()
			t.Logf("browse %v, book %v, %d bookings sent again after a void ticket", browse.outcomes, book.outcomes, len(book.voidTicketRequestIDs))
			assert.Equal(t, failed, 0, browse.describeFailures()+book.describeFailures())
			executions := m.executions("/bookings/")
			for _, id := range book.voidTicketRequestIDs {
				assert.Equal(t, executions[id], 0, "booking %s was executed although its ticket was reported as void", id)
			}
		})
	}
}
