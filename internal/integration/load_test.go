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

// records reads what the host's targets have started, those of killed ones
// included.
func (h *host) records() []target.Record {
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

// load sends requests at a steady pace from several entries until it is
// stopped. Each request is sent once.
type load struct {
	m      *mesh
	cancel context.CancelFunc
	wg     sync.WaitGroup
	sent   atomic.Int64

	mu sync.Mutex
	// tally counts the requests by what their callers were told.
	tally map[string]int
	// bad describes the requests that were not answered whole.
	bad []told
	// voided holds the requests that were sent again with a new ticket.
	voided []string
}

// startLoad sends one request per interval at each of the entries in turn.
func (m *mesh) startLoad(name, method, path string, interval time.Duration, entries ...*host) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{m: m, cancel: cancel, tally: map[string]int{}}
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
			go l.one(entries[i%len(entries)], method, path, fmt.Sprintf("%s-%d", name, i))
		}
	}()
	return l
}

func (l *load) one(entry *host, method, path, id string) {
	defer l.wg.Done()
	l.sent.Add(1)
	c := l.m.caller(entry)
	c.attempts = 1
	got := c.call(method, path, id)
	voided := got.code == string(apierror.TicketVoid)
	if voided {
		// The node left between ticket and order. The order did not run, so
		// the member's phone orders again.
		got = c.call(method, path, id+"-again")
	}
	what := string(got.outcome)
	switch {
	case got.wrong != "":
		what = "wrong answer"
	case got.outcome == "":
		what = "no answer"
	case got.outcome == apierror.Answered && got.status != http.StatusOK:
		what = "status " + strconv.Itoa(got.status)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tally[what]++
	if voided {
		l.voided = append(l.voided, id)
	}
	if what != string(apierror.Answered) {
		l.bad = append(l.bad, got)
	}
}

// stop ends the load, waits for its answers and returns the count of those
// that were not answered.
func (l *load) stop() int {
	l.cancel()
	l.wg.Wait()
	return len(l.bad)
}

// sample describes a few of the requests that were not answered.
func (l *load) sample() string {
	var b strings.Builder
	for _, g := range l.bad[:min(5, len(l.bad))] {
		fmt.Fprintf(&b, "; %s: outcome %q, code %q, status %d, %s %.200s", g.id, g.outcome, g.code, g.status, g.wrong, g.answer)
	}
	return b.String()
}
