package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// execution is one run of a request at an upstream.
type execution struct {
	id, method, uri, body, caller string
	at                            time.Time
}

// upstream is the application beside a node. It answers as PROTOCOL.md tells.
type upstream struct {
	rig     *rig
	id      string
	service string
	node    *node
	work    time.Duration
	slots   int
	// answer writes the response to a request that has run, if it is set.
	answer func(w http.ResponseWriter, r *http.Request)

	mu       sync.Mutex
	runs     []execution
	born     int64
	sequence int
	state    string
	stop     chan struct{}
	silent   chan struct{}
	server   *http.Server
}

// start serves requests at the address of the node's settings, and sends heartbeats.
func (u *upstream) start() error {
	l, err := net.Listen("tcp", u.node.app())
	if err != nil {
		return err
	}
	u.born, u.state, u.stop = time.Now().UnixMilli(), "ready", make(chan struct{})
	u.silent = make(chan struct{})
	u.server = &http.Server{Handler: u, IdleTimeout: 10 * time.Second}
	go func() { _ = u.server.Serve(l) }() // ends with Close
	go u.beats()
	u.rig.onClose(u.end)
	return nil
}

func (u *upstream) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stop != nil {
		close(u.stop)
		u.stop = nil
		_ = u.server.Close()
	}
}

// ServeHTTP runs a request.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Parsleyturn-Request-Id")
	h := w.Header()
	h.Set("Parsleyturn-Request-Id", id)
	h.Set("Keep-Alive", "timeout=10")
	if r.Header.Get("Parsleyturn-Target-Instance") != u.id {
		h.Set("Parsleyturn-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	u.mu.Lock()
	u.runs = append(u.runs, execution{id, r.Method, r.RequestURI, string(body), r.Header.Get("Parsleyturn-Caller-Service"), time.Now()})
	u.mu.Unlock()
	u.rig.note("| upstream %s runs %s: %s %s", u.id, id, r.Method, r.RequestURI)
	ms, _ := strconv.Atoi(r.Header.Get("Parsleyturn-Deadline-Ms"))
	select {
	case <-time.After(u.work):
	case <-time.After(time.Duration(ms) * time.Millisecond):
		h.Set("Parsleyturn-Server-Stamp", u.id+"."+id)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		return
	}
	h.Set("Parsleyturn-Server-Stamp", u.id+"."+id)
	if u.answer != nil {
		u.answer(w, r)
		return
	}
	_, _ = fmt.Fprintf(w, "answer of %s to %s", u.id, id) // fails only if the client has left
}

// executions returns the runs so far.
func (u *upstream) executions() []execution {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]execution(nil), u.runs...)
}

const heartbeat = 1500 * time.Millisecond

// beats sends heartbeats until the upstream ends.
func (u *upstream) beats() {
	u.mu.Lock()
	stop := u.stop
	u.mu.Unlock()
	for {
		if stop == nil {
			return
		}
		_, _ = u.beat() // the next one follows
		select {
		case <-stop:
			return
		case <-u.silent:
			return
		case <-time.After(heartbeat):
		}
	}
}

var controlClient = &http.Client{Timeout: time.Second}

// beat sends one heartbeat and returns the status of its acknowledgement.
func (u *upstream) beat() (int, error) {
	return u.control(http.MethodPut, u.nextBeat())
}

// nextBeat returns the body of the next heartbeat.
func (u *upstream) nextBeat() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	return fmt.Sprintf(`{"address":%q,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"sequence":%d,"warmupLeft":"0ms"},"born":%d}`,
		u.node.app(), u.service, u.node.zone, u.slots, u.state, u.sequence, u.born)
}

// quiet ends the heartbeats.
func (u *upstream) quiet() {
	u.mu.Lock()
	defer u.mu.Unlock()
	close(u.silent)
}

// withdraw sends the withdrawal and returns the status of its acknowledgement.
func (u *upstream) withdraw() (int, error) {
	return u.control(http.MethodDelete, "")
}

func (u *upstream) control(method, text string) (int, error) {
	req, err := http.NewRequest(method, "http://"+u.node.control()+"/-/instances/"+u.id, bytes.NewReader([]byte(text)))
	if err != nil {
		return 0, err
	}
	resp, err := controlClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // the status is the acknowledgement
	return resp.StatusCode, nil
}
