package integration

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// overloadRoutes are the routes of TestBookingsAreShedLast. Bookings, status and
// file requests compete for the bookings service, and the sub-calls of bookings
// compete with browsing for the directory service.
const overloadRoutes = `
[[route]]
path_prefix = "/directory/work"
time_ms = 40
body_bytes = 300

[[route]]
path_prefix = "/bookings/work"
time_ms = 20
body_bytes = 300
[[route.sub_call]]
method = "GET"
path = "/directory/work"

[[route]]
path_prefix = "/bookings/status"
time_ms = 40
body_bytes = 300

[[route]]
path_prefix = "/bookings/file"
time_ms = 80
body_bytes = 20000
`

// overloadPolicy declares the kinds status and file, which have a lower
// priority than bookings and use the same queues.
const overloadPolicy = `
[kind.status]
service = "bookings"
methods = ["GET"]
path_prefix = "/bookings/status"
priority = 5
deadline_ms = 3000
[kind.file]
service = "bookings"
methods = ["GET"]
path_prefix = "/bookings/file"
priority = 2
deadline_ms = 10000
`

const (
	overloadTime = 5 * time.Second
	// minBookingSuccess is the smallest allowed share of bookings that succeed.
	// Bookings alone are within the capacity.
	minBookingSuccess = 0.99
)

// Guards against load shedding that ignores priorities, so that bookings are
// refused before requests of lower priority: in the queues of the bookings
// service, and for their sub-calls in those of the directory service.
//
// The two bookings targets with 4 slots each can do 8 s of work a second.
// Bookings take 20 ms there and a sub-call of 40 ms: 30 a second need 1.8 of 8.
// Status (40 ms) at 300 and files (80 ms) at 125 a second need 12 and 10, so
// together they need 3 times the capacity. Directory gets 400 calls of 40 ms a
// second beside the sub-calls, 2 times its capacity.
func TestBookingsAreShedLast(t *testing.T) {
	m := newMeshWith(t, 2, meshOptions{policy: overloadPolicy, routes: overloadRoutes})
	entries := m.hostsOf("reports")
	loads := map[string]*loadGenerator{
		"book":   m.startLoad("book", http.MethodPost, "/bookings/work", time.Second/30, entries...),
		"status": m.startLoad("status", http.MethodGet, "/bookings/status", time.Second/300, entries...),
		"file":   m.startLoad("file", http.MethodGet, "/bookings/file", time.Second/125, entries...),
		"browse": m.startLoad("browse", http.MethodGet, "/directory/work", time.Second/400, entries...),
	}
	time.Sleep(overloadTime)
	success := map[string]float64{}
	for _, l := range loads {
		l.cancel()
	}
	for name, l := range loads {
		l.wg.Wait()
		success[name] = float64(l.outcomes["answered"]) / float64(l.sent.Load())
		t.Logf("%s: %d sent, %v, %.1f%% answered", name, l.sent.Load(), l.outcomes, 100*success[name])
	}
	book := loads["book"]
	assert.Assert(t, success["book"] >= minBookingSuccess, "%.2f%% of the bookings succeeded; the bound is %.0f%%%s", 100*success["book"], 100*minBookingSuccess, book.describeFailures())
	for _, other := range []string{"status", "file", "browse"} {
		assert.Assert(t, success[other] < success["book"], "%s succeeded at least as often as bookings of higher priority: %s", other, fmt.Sprint(success))
		assert.Equal(t, loads[other].outcomes["wrong response"], 0)
	}
	assert.Assert(t, success["file"] <= success["status"], "file requests succeeded more often than status requests of higher priority: %v", success)
}
