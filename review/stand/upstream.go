package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	slots = 64
	// ackTimeout is the time in which an acknowledgement of a heartbeat counts.
	ackTimeout = time.Second
)

// run is one execution of a request at an upstream.
type run struct {
	id     string
	at     time.Time
	method string
	uri    string
	caller string
	// inTouch is whether the machine of the upstream was in touch.
	inTouch bool
}

// upstream is a stand-in of an application upstream.
type upstream struct {
	machine *machine
	id      string
	born    int64
	work    time.Duration
	server  *http.Server

	mu       sync.Mutex
	sequence int
	state    string
	// gone is set once the upstream has withdrawn and sends no more heartbeats.
	gone bool
	// late is the time by which heartbeats arrive late.
	late time.Duration
	runs []run
	// lastBeat is when the latest heartbeat was sent, and beats is signaled then.
	lastBeat time.Time
	beats    *sync.Cond
	// ackedDraining is when the state draining was first acknowledged.
	ackedDraining time.Time
	// handler replaces the answer of the upstream, if set.
	handler func(w http.ResponseWriter, r *http.Request)
}

func newUpstream(m *machine, id string) (*upstream, error) {
	l, err := net.Listen("tcp", m.addr(portApp))
	if err != nil {
		return nil, err
	}
	u := &upstream{machine: m, id: id, born: time.Now().UnixMilli(), state: "ready", work: 150 * time.Millisecond}
	u.beats = sync.NewCond(&u.mu)
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(l) }()
	return u, nil
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Parsleyturn-Request-Id")
	h := w.Header()
	h.Set("Parsleyturn-Request-Id", id)
	switch {
	case id == "":
		h.Set("Parsleyturn-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case r.Header.Get("Parsleyturn-Target-Instance") != "" && r.Header.Get("Parsleyturn-Target-Instance") != u.id:
		h.Set("Parsleyturn-Not-Executed", "1")
		h.Set("Parsleyturn-Instance-Id", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		u.machine.lab.record.printf("upstream %s answers %s with 421", u.id, id)
		return
	}
	now := time.Now()
	u.mu.Lock()
	u.runs = append(u.runs, run{id: id, at: now, method: r.Method, uri: r.RequestURI, caller: r.Header.Get("Parsleyturn-Caller-Service"), inTouch: u.machine.inTouchAt(now)})
	handler := u.handler
	u.mu.Unlock()
	u.machine.lab.record.printAt(now, "upstream %s runs %s %s %s", u.id, id, r.Method, r.RequestURI)
	_, _ = io.Copy(io.Discard, r.Body)
	h.Set("Parsleyturn-Server-Stamp", u.id+"."+id)
	if handler != nil {
		handler(w, r)
		return
	}
	select {
	case <-time.After(u.work):
	case <-r.Context().Done():
		return
	}
	fmt.Fprintf(w, "answer of %s to %s\n", u.id, id)
}

// heartbeat is the body of a heartbeat.
func (u *upstream) heartbeat(sequence int, state string, born any) []byte {
	m := map[string]any{
		"address": u.machine.addr(portApp),
		"info":    map[string]any{"service": u.machine.spec.service, "version": "v1", "zone": u.machine.spec.zone, "slots": slots},
		"status":  map[string]any{"state": state, "sequence": sequence, "warmupLeft": "0ms"},
	}
	if born != nil {
		m["born"] = born
	}
	data, _ := json.Marshal(m) // of plain values
	return data
}

// announce sends heartbeats until the upstream is gone.
func (u *upstream) announce() {
	for {
		u.mu.Lock()
		if u.gone {
			u.mu.Unlock()
			return
		}
		u.sequence++
		u.lastBeat = time.Now()
		sequence, state, late := u.sequence, u.state, u.late
		u.beats.Broadcast()
		u.mu.Unlock()
		go func() {
			err := u.beat(u.heartbeat(sequence, state, u.born), fmt.Sprintf("heartbeat %d, %s,", sequence, state), late)
			u.mu.Lock()
			defer u.mu.Unlock()
			if err == nil && state == "draining" && u.ackedDraining.IsZero() {
				u.ackedDraining = time.Now()
			}
		}()
		time.Sleep(heartbeatInterval)
	}
}

// nextBeat waits for the next heartbeat and returns when it was sent.
func (u *upstream) nextBeat() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.beats.Wait()
	return u.lastBeat
}

// drainAcked waits until the state draining was acknowledged.
func (u *upstream) drainAcked() (time.Time, error) {
	for range 100 {
		u.mu.Lock()
		at := u.ackedDraining
		u.mu.Unlock()
		if !at.IsZero() {
			return at, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Time{}, errors.New("the state draining was not acknowledged")
}

// beat sends a heartbeat that arrives late. The error is nil if it was acknowledged.
func (u *upstream) beat(body []byte, what string, late time.Duration) error {
	sent := time.Now()
	time.Sleep(late)
	return u.call(http.MethodPut, body, what, sent)
}

// withdraw sends the upstream's withdrawal and returns when it was acknowledged. The
// upstream sends no more heartbeats.
func (u *upstream) withdraw() (time.Time, error) {
	u.mu.Lock()
	u.gone = true
	u.mu.Unlock()
	body, err := json.Marshal(map[string]any{"born": u.born})
	if err != nil {
		return time.Time{}, err
	}
	err = u.call(http.MethodDelete, body, "withdrawal", time.Now())
	return time.Now(), err
}

func (u *upstream) call(method string, body []byte, what string, sent time.Time) error {
	ctx, cancel := context.WithTimeout(context.Background(), ackTimeout)
	defer cancel()
	rec := u.machine.lab.record
	req, err := http.NewRequestWithContext(ctx, method, "http://"+u.machine.addr(portControl)+"/-/instances/"+u.id, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		rec.printf("upstream %s: %s sent %.1f s ago, not acknowledged: %v", u.id, what, time.Since(sent).Seconds(), err)
		return err
	}
	_ = resp.Body.Close()
	rec.printf("upstream %s: %s sent %.1f s ago, response %d", u.id, what, time.Since(sent).Seconds(), resp.StatusCode)
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%s: response %d", what, resp.StatusCode)
	}
	return nil
}

// exit ends the upstream at once.
func (u *upstream) exit() {
	u.machine.lab.record.printf("upstream %s exits", u.id)
	_ = u.server.Close()
}

func (u *upstream) setLate(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.late = d
}

func (u *upstream) setState(state string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state = state
}

func (u *upstream) allRuns() []run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]run(nil), u.runs...)
}
