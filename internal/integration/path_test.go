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

// Guards the whole path with real processes in two regions of two
// availability zones: every node as entry, sub-calls, tickets and downloads.
func TestWholePathInFourZones(t *testing.T) {
	m := newMesh(t, 4)
	for _, entry := range m.hosts {
		c := m.caller(entry)
		for _, r := range []struct{ method, path string }{{"GET", "/directory/x"}, {"POST", "/bookings/x"}, {"GET", "/reports/x"}} {
			got := c.call(r.method, r.path, entry.id+r.path)
			assert.Equal(t, got.outcome, apierror.Answered, "%s %s by %s: %+v", r.method, r.path, entry.id, got.code)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, got.wrong, "")
		}
	}
	for id, n := range m.executions("/bookings/") {
		assert.Equal(t, n, 1, "booking %s ran %d times", id, n)
	}
}

// Guards against a download that holds up short answers on the same link, and
// against bytes that are lost or changed in a large body.
func TestLargeDownloadBesideShortCalls(t *testing.T) {
	m := newMesh(t, 2)
	entry := m.find(0, "bookings")
	download := m.caller(entry)
	download.timeout, download.attempts = time.Minute, 1
	var wg sync.WaitGroup
	wg.Add(1)
	var big told
	go func() {
		defer wg.Done()
		big = download.call("GET", "/reports/big?bytes=50000000", "big")
	}()
	c := m.caller(entry)
	for i := range 50 {
		got := c.call("GET", "/directory/x", fmt.Sprintf("short-%d", i))
		assert.Equal(t, got.outcome, apierror.Answered)
		assert.Equal(t, got.wrong, "")
	}
	wg.Wait()
	assert.Equal(t, big.outcome, apierror.Answered, big.code)
	assert.Equal(t, big.wrong, "")
	assert.Equal(t, len(big.answer), 50_000_000)
}
