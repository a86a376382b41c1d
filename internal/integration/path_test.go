package integration

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/apierror"
)

// Guards against nodes that do not serve every kind of request as the entry
// node, in a mesh of two regions with two availability zones each: plain
// requests, requests with tickets and sub-calls (bookings), and downloads. Also
// guards against bookings that are executed more than once.
func TestRequestPathsAcrossFourZones(t *testing.T) {
	m := newMesh(t, 4)
	for _, entry := range m.hosts {
		c := m.newCaller(entry)
		for _, r := range []struct{ method, path string }{{"GET", "/directory/x"}, {"POST", "/bookings/x"}, {"GET", "/reports/x"}} {
			got := c.call(r.method, r.path, entry.id+r.path)
			assert.Equal(t, got.outcome, apierror.Answered, "%s %s at entry %s: code %+v", r.method, r.path, entry.id, got.code)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, got.bodyError, "")
		}
	}
	for id, n := range m.executions("/bookings/") {
		assert.Equal(t, n, 1, "booking %s was executed %d times", id, n)
	}
}

// Guards against a large download that delays short responses through the same
// entry node beyond their timeout, in all attempts, and against lost or changed
// bytes in a large body.
func TestLargeDownloadBesideShortCalls(t *testing.T) {
	m := newMesh(t, 2)
	entry := m.hostOf(0, "bookings")
	download := m.newCaller(entry)
	download.timeout, download.attempts = time.Minute, 1
	var wg sync.WaitGroup
	wg.Add(1)
	var big callResult
	go func() {
		defer wg.Done()
		big = download.call("GET", "/reports/big?bytes=50000000", "big")
	}()
	c := m.newCaller(entry)
	for i := range 50 {
		got := c.call("GET", "/directory/x", fmt.Sprintf("short-%d", i))
		assert.Equal(t, got.outcome, apierror.Answered)
		assert.Equal(t, got.bodyError, "")
	}
	wg.Wait()
	assert.Equal(t, big.outcome, apierror.Answered, big.code)
	assert.Equal(t, big.bodyError, "")
	assert.Equal(t, len(big.body), 50_000_000)
}
