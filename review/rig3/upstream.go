package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one run of a request at an upstream.
type run struct {
	id, method, uri, body, caller string
	at                            time.Time
}

// upstream is a stand-in of the application upstream of a VM.
type upstream struct {
	node  *node
	id    string
	born  int64
	slots int
	work  time.Duration

	mu       sync.Mutex
	runs     []run
	state    string
	sequence int
	stopped  chan struct{}
}

func newUpstream(n *node, id string) (*upstream, error) {
	u := &upstream{node: n, id: id, born: time.Now().UnixMilli(), slots: 112, work: 20 * time.Millisecond, state: "ready", stopped: make(chan struct{})}
	return u, serve(n.address(upstreamPort), u)
}

// beat returns the body of the next heartbeat and its sequence.
func (u *upstream) beat() (string, int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	return fmt.Sprintf(`{"address":%q,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"sequence":%d,"warmupLeft":"0ms"},"born":%d}`,
		u.node.address(upstreamPort), u.node.service, u.node.zone, u.slots, u.state, u.sequence, u.born), u.sequence
}

// announce sends heartbeats until stop is called.
func (u *upstream) announce() {
	for {
		body, sequence := u.beat()
		status, err := u.node.control(http.MethodPut, u.id, body)
		u.node.lab.logf("%s: heartbeat %d (%s): status %d, error %v", u.id, sequence, u.stateNow(), status, err)
		select {
		case <-time.After(heartbeat):
		case <-u.stopped:
			return
		}
	}
}

func (u *upstream) stateNow() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.state
}

// drain reports that the upstream is draining, and returns the time of the
// acknowledgement.
func (u *upstream) drain() (time.Time, error) {
	u.mu.Lock()
	u.state = "draining"
	u.mu.Unlock()
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		body, sequence := u.beat()
		status, err := u.node.control(http.MethodPut, u.id, body)
		u.node.lab.logf("%s: heartbeat %d (draining): status %d, error %v", u.id, sequence, status, err)
		if err == nil && status/100 == 2 {
			return time.Now(), nil
		}
	}
	return time.Time{}, fmt.Errorf("%s: draining was not acknowledged", u.id)
}

func (u *upstream) list() []run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]run(nil), u.runs...)
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Parsleyturn-Instance-Id", u.id)
		if u.stateNow() != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Parsleyturn-Request-Id")
	w.Header().Set("Parsleyturn-Request-Id", id)
	if got := r.Header.Get("Parsleyturn-Target-Instance"); got != "" && got != u.id {
		w.Header().Set("Parsleyturn-Instance-Id", u.id)
		w.Header().Set("Parsleyturn-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	at := time.Now()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	u.mu.Lock()
	u.runs = append(u.runs, run{id: id, method: r.Method, uri: r.RequestURI, body: string(body), caller: r.Header.Get("Parsleyturn-Caller-Service"), at: at})
	u.mu.Unlock()
	u.node.lab.logf("%s: runs %s", u.id, id)
	limit := time.Minute
	if ms, err := strconv.Atoi(r.Header.Get("Parsleyturn-Deadline-Ms")); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	select {
	case <-time.After(min(u.work, limit)):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Parsleyturn-Server-Stamp", u.id+"."+id)
	if u.work > limit {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	_, _ = fmt.Fprintf(w, "answer of %s to %s", u.id, id)
}
