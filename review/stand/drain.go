package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const config = `{"version":"r7","routes":[
{"name":"r-browse","host":"hulo84.example","pathPrefix":"/leny950/","kind":"safe","timeout":"800ms","targetLatency":"1200ms","priority":2,"service":"directory","maxAttempts":2},
{"name":"r-book","host":"hulo84.example","pathPrefix":"/puka111/","kind":"unsafe","timeout":"1000ms","targetLatency":"1500ms","priority":0,"service":"bookings","maxAttempts":2}],
"services":[{"name":"directory","healthPath":"/health","maxConns":772,"protocol":"h1","tls":false},{"name":"bookings","healthPath":"/health","maxConns":940,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}`

var fourMachines = []machineSpec{
	{"kumasi-a-1", "kumasi-a", "directory"}, {"kumasi-b-1", "kumasi-b", "directory"},
	{"kumasi-a-2", "kumasi-a", "bookings"}, {"kumasi-b-2", "kumasi-b", "bookings"},
}

const (
	browse = "/leny950/2f"
	book   = "/puka111/2f"
)

// settle is the time from the start after which all machines are in touch.
const settle = stabilityWindow + 2*time.Second

// heartbeatDelay is the time by which heartbeats arrive late.
const heartbeatDelay = 6500 * time.Millisecond

// departure is how an upstream leaves. leave makes it leave and returns when its
// departure was acknowledged; it then serves for serve and exits.
type departure struct {
	leave func(m *machine) (time.Time, error)
	serve time.Duration
}

// drainCase plays the departure of an upstream while unsafe requests for its service
// arrive at other machines, and checks that none reaches it too late.
func drainCase(rec *record, d departure) ([]string, error) {
	l, err := newLab(rec, []byte(config), fourMachines)
	if err != nil {
		return nil, err
	}
	defer l.stop()
	if err := l.start([]string{browse, book}); err != nil {
		return nil, err
	}
	time.Sleep(settle)
	stop := make(chan struct{})
	entries := []*machine{l.machines[0], l.machines[1], l.machines[3]}
	answers := l.load(stop, 60, func(n int) request {
		return request{at: entries[n%len(entries)], method: http.MethodPost, path: book, body: []byte("{}"), deadline: 5 * time.Second}
	})
	leaving := l.machines[2]
	acked, err := d.leave(leaving)
	if err != nil {
		return nil, err
	}
	rec.printf("the departure of %s was acknowledged at %.3f", leaving.upstream.id, acked.Sub(rec.begin).Seconds())
	time.Sleep(time.Until(acked.Add(d.serve)))
	leaving.upstream.exit()
	time.Sleep(500 * time.Millisecond)
	close(stop)
	byID := map[string]answer{}
	for _, a := range answers() {
		byID[a.id] = a
	}
	var broken []string
	lost := 0
	for _, r := range leaving.upstream.allRuns() {
		a, ok := byID[r.id]
		after := r.at.Sub(acked)
		if !ok || after <= drainBound {
			continue
		}
		if a.status != http.StatusOK {
			lost++
		}
		if r.inTouch && a.sentAt.After(acked.Add(drainBound)) {
			broken = append(broken, fmt.Sprintf("DRAIN: request %s, sent %.3f s after the acknowledgement, reached upstream %s %.3f s after it; drain is %v; the client got status %d", r.id, a.sentAt.Sub(acked).Seconds(), leaving.upstream.id, after.Seconds(), drainBound, a.status))
		}
	}
	rec.printf("%d bookings began at the upstream later than %v after the acknowledgement and were lost when it exited", lost, drainBound)
	return broken, nil
}

// lateHeartbeats: the heartbeats of an upstream arrive seconds late, and it withdraws
// before the first of them arrives.
func lateHeartbeats(rec *record, trouble bool) ([]string, error) {
	return drainCase(rec, departure{serve: drainBound + 6*time.Second, leave: func(m *machine) (time.Time, error) {
		u := m.upstream
		last := u.nextBeat()
		if trouble {
			rec.printf("heartbeats of %s arrive %v late from now on", u.id, heartbeatDelay)
			u.setLate(heartbeatDelay)
		}
		time.Sleep(time.Until(last.Add(7300 * time.Millisecond)))
		return u.withdraw()
	}})
}

// restartedNode: an upstream withdraws, the process of its node is killed and starts
// again, and a heartbeat that was sent before the withdrawal arrives late.
func restartedNode(rec *record, trouble bool) ([]string, error) {
	return drainCase(rec, departure{serve: drainBound + 6*time.Second, leave: func(m *machine) (time.Time, error) {
		u := m.upstream
		u.nextBeat()
		if trouble {
			rec.printf("the next heartbeat of %s arrives %v late", u.id, heartbeatDelay)
			u.setLate(heartbeatDelay)
		}
		u.nextBeat()
		time.Sleep(300 * time.Millisecond)
		acked, err := u.withdraw()
		if err != nil || !trouble {
			return acked, err
		}
		time.Sleep(500 * time.Millisecond)
		m.signal(syscall.SIGKILL)
		time.Sleep(500 * time.Millisecond)
		return acked, m.startNode()
	}})
}

// oddHeartbeat: a heartbeat of another writer names the upstream but lacks a field,
// and the upstream leaves.
func oddHeartbeat(rec *record, trouble bool) ([]string, error) {
	return drainCase(rec, departure{serve: drainBound + time.Second, leave: func(m *machine) (time.Time, error) {
		u := m.upstream
		u.nextBeat()
		if trouble {
			_ = u.beat(u.heartbeat(int(time.Now().UnixMilli()), "ready", nil), "odd heartbeat without born", 0)
		}
		u.setState("draining")
		time.Sleep(time.Until(u.nextBeat()))
		return u.drainAcked()
	}})
}
