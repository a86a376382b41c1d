package main

import (
	"fmt"
	"net/http"
	"time"

	"parsleyturn/platform/platformtest"
)

// oddHeartbeat: another writer sends one heartbeat of the only upstream of a service, in
// which a field is missing. The upstream goes on with its own heartbeats.
func oddHeartbeat(r *rig) (string, error) {
	const (
		pause    = 200 * time.Millisecond
		deadline = 5 * time.Second
		// counted is the time in which the requests after recovery are counted.
		counted = 30 * time.Second
	)
	ip, err := freeNet()
	if err != nil {
		return "", err
	}
	_, store, err := r.startStore([]platformtest.Route{
		{Name: "book", Host: host, PathPrefix: "/book/", Kind: "unsafe", Timeout: "1000ms", Service: "bookings", MaxAttempts: 2},
	})
	if err != nil {
		return "", err
	}
	entry := &node{rig: r, name: "sidecar-z1-1", ip: ip(1), zone: "z1", service: "directory", store: store}
	far := &node{rig: r, name: "sidecar-z1-2", ip: ip(2), zone: "z1", service: "bookings", store: store}
	var u *upstream
	for _, n := range []*node{entry, far} {
		if err := n.start(); err != nil {
			return "", err
		}
		u = &upstream{rig: r, id: "i-" + n.service, service: n.service, node: n, work: 50 * time.Millisecond, slots: 40}
		if err := u.start(); err != nil {
			return "", err
		}
	}
	if err := waitReady(entry, far); err != nil {
		return "", err
	}
	client := &http.Client{}
	book := func() bool {
		o := r.send(client, entry, http.MethodPost, host, "/book/x", "seat", deadline)
		return o.served()
	}
	for end := time.Now().Add(15 * time.Second); !book(); time.Sleep(pause) {
		if time.Now().After(end) {
			return "", fmt.Errorf("the mesh does not serve")
		}
	}
	phase := func(name string, d time.Duration) float64 {
		sent, served := 0, 0
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(pause) {
			sent++
			if book() {
				served++
			}
		}
		r.note("%s: %d of %d requests served", name, served, sent)
		return float64(served) / float64(sent)
	}
	before := phase("before", 6*time.Second)
	if before < 0.25 {
		return "", fmt.Errorf("only %.2f of the requests were served before the disruption", before)
	}
	if r.trouble {
		text := fmt.Sprintf(`{"address":%q,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":"draining","warmupLeft":"0ms"},"born":%d}`,
			far.app(), u.service, far.zone, u.slots, u.born)
		status, err := u.control(http.MethodPut, text)
		r.note("another writer sends %s: status %d, %v", text, status, err)
	}
	phase("until the machines are in touch again", stabilityWindow)
	phase("until recovery", recovery)
	after := phase("after recovery", counted)
	status, err := u.beat()
	r.note("the upstream says that it is ready: status %d, %v", status, err)
	if after < 0.25 {
		return fmt.Sprintf("%.2f of the requests are served from %v after the odd heartbeat on, %.2f were before; the upstream has been ready all the while", after, stabilityWindow+recovery, before), nil
	}
	return "", nil
}
