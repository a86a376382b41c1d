package integration

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/apierror"
	"parsleyturn/internal/standin/target"
)

// executionRecords reads the executions that the host's target has recorded,
// including those of processes that were killed since.
func (h *host) executionRecords() []target.Record {
	f, err := os.Open(h.recordFile)
	if os.IsNotExist(err) {
		return nil
	}
	assert.NilError(h.mesh.t, err)
	defer f.Close()
	var out []target.Record
	for sc := bufio.NewScanner(f); sc.Scan(); {
		var r target.Record
		if json.Unmarshal(sc.Bytes(), &r) == nil {
			out = append(out, r)
		}
	}
	return out
}

// loadGenerator sends requests at a fixed rate (open loop) to several entry
// nodes until it is stopped. It does not retry.
type loadGenerator struct {
	m      *mesh
	cancel context.CancelFunc
	wg     sync.WaitGroup
	sent   atomic.Int64

	mu sync.Mutex
	// outcomes counts the requests by the outcome in the response, or under
	// "wrong response", "no response" or "status N"; see sendOne.
	outcomes map[string]int
	// failed has the results of all requests without a complete, correct
	// response.
	failed []callResult
	// voidTicketRequestIDs are the IDs of the requests whose ticket became void
	// and that were sent again under a new ID with a new ticket.
	voidTicketRequestIDs []string
}

// startLoad starts a loadGenerator that sends one request per interval, to the
// entries in turn.
func (m *mesh) startLoad(name, method, path string, interval time.Duration, entries ...*host) *loadGenerator {
	ctx, cancel := context.WithCancel(context.Background())
	l := &loadGenerator{m: m, cancel: cancel, outcomes: map[string]int{}}
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			l.wg.Add(1)
			go l.sendOne(entries[i%len(entries)], method, path, fmt.Sprintf("%s-%d", name, i))
		}
	}()
	return l
}

func (l *loadGenerator) sendOne(entry *host, method, path, id string) {
	defer l.wg.Done()
	l.sent.Add(1)
	c := l.m.newCaller(entry)
	c.attempts = 1
	got := c.call(method, path, id)
	ticketVoid := got.code == string(apierror.TicketVoid)
	if ticketVoid {
		// The node that issued the ticket shut down before the request with
		// the ticket arrived. That request was not executed, so the caller can
		// send a new one.
		got = c.call(method, path, id+"-again")
	}
	outcome := string(got.outcome)
	switch {
	case got.bodyError != "":
		outcome = "wrong response"
	case got.outcome == "":
		outcome = "no response"
	case got.outcome == apierror.Answered && got.status != http.StatusOK:
		outcome = "status " + strconv.Itoa(got.status)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[outcome]++
	if ticketVoid {
		l.voidTicketRequestIDs = append(l.voidTicketRequestIDs, id)
	}
	if outcome != string(apierror.Answered) {
		l.failed = append(l.failed, got)
	}
}

// stopAndCountFailures stops the load, waits for the requests in flight and
// returns the number of requests that failed.
func (l *loadGenerator) stopAndCountFailures() int {
	l.cancel()
	l.wg.Wait()
	return len(l.failed)
}

// describeFailures describes up to 5 of the failed requests.
func (l *loadGenerator) describeFailures() string {
	var b strings.Builder
	for _, g := range l.failed[:min(5, len(l.failed))] {
		fmt.Fprintf(&b, "; %s: outcome %q, code %q, status %d, %s %.200s", g.id, g.outcome, g.code, g.status, g.bodyError, g.body)
	}
	return b.String()
}
