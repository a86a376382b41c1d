package main

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"parsleyturn/internal/faultproxy"
	"parsleyturn/platform/platformtest"
)

const (
	host = "h.example"
	// Bounds of the pages.
	stabilityWindow = 4 * time.Second
	recovery        = 15 * time.Second
	configBound     = 2500 * time.Millisecond
	drainBound      = 2500 * time.Millisecond
)

// silentLink: the open connections between two machines go silent for good, without a
// reset, while new ones work. A client reads at a steady pace through the first machine
// from the only upstream of a service, which runs on the second one.
func silentLink(r *rig) (string, error) {
	const (
		pause    = 1200 * time.Millisecond
		deadline = 5 * time.Second
		// counted is the time in which the requests after recovery are counted.
		counted = 60 * time.Second
	)
	ip, err := freeNet()
	if err != nil {
		return "", err
	}
	_, store, err := r.startStore([]platformtest.Route{
		{Name: "browse", Host: host, PathPrefix: "/browse/", Kind: "safe", Timeout: "800ms", Service: "directory", MaxAttempts: 2},
	})
	if err != nil {
		return "", err
	}
	proxy := faultproxy.New()
	r.onClose(proxy.Close)
	entry := &node{rig: r, name: "sidecar-z1-1", ip: ip(1), zone: "z1", service: "bookings", store: store}
	far := &node{rig: r, name: "sidecar-z1-2", ip: ip(2), zone: "z1", service: "directory", store: store}
	for _, n := range []*node{entry, far} {
		n.linkAddr = n.ip + ":8310"
		if _, err := proxy.ListenTCP(n.linkAddr, n.link()); err != nil {
			return "", err
		}
		if err := n.start(); err != nil {
			return "", err
		}
		if err := (&upstream{rig: r, id: "i-" + n.service, service: n.service, node: n, work: 50 * time.Millisecond, slots: 40}).start(); err != nil {
			return "", err
		}
	}
	if err := waitReady(entry, far); err != nil {
		return "", err
	}
	client := &http.Client{}
	read := func() bool {
		o := r.send(client, entry, http.MethodGet, host, "/browse/x", "", deadline)
		return o.served()
	}
	for end := time.Now().Add(15 * time.Second); !read(); time.Sleep(200 * time.Millisecond) {
		if time.Now().After(end) {
			return "", fmt.Errorf("the mesh does not serve")
		}
	}
	phase := func(name string, d time.Duration) float64 {
		sent, served := 0, 0
		for end := time.Now().Add(d); time.Now().Before(end); {
			next := time.Now().Add(pause)
			sent++
			if read() {
				served++
			}
			time.Sleep(time.Until(next))
		}
		r.note("%s: %d of %d requests served", name, served, sent)
		return float64(served) / float64(sent)
	}
	before := phase("before", 10*time.Second)
	if before < 0.25 {
		return "", fmt.Errorf("only %.2f of the requests were served before the disruption", before)
	}
	if r.trouble {
		r.note("%d open connections between the machines go silent; new ones work", proxy.Blackhole("", ""))
	}
	phase("until the machines are in touch again", stabilityWindow)
	phase("until recovery", recovery)
	after := phase("after recovery", counted)
	n, err := greeting(far.linkAddr)
	r.note("a new connection between the machines: %d bytes received, %v", n, err)
	if after < 0.25 {
		return fmt.Sprintf("%.2f of the requests are served from %v after the connections went silent, %.2f were before", after, stabilityWindow+recovery, before), nil
	}
	return "", nil
}

// greeting opens a connection to the address of a node for links, on which the node
// speaks at once, and returns the number of bytes received.
func greeting(address string) (int, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	return c.Read(make([]byte, 1024))
}
