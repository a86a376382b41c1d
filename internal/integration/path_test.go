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

// Guards against a break on any path of a request between real processes: with
// every node in two regions of two availability zones as the entry, for
// requests with sub-calls, requests with tickets, and downloads.
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

// Guards against a large download that delays short responses on the same link
// beyond their timeout, and against lost or changed bytes in a large body.
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
