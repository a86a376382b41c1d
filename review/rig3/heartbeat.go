package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// drainBound is the bound drain of the settings.
const drainBound = 2500 * time.Millisecond

// startAll starts all nodes and waits until they are ready and serve a route.
func (l *lab) startAll(probe request) error {
	for _, n := range l.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	if err := l.awaitReady(8 * time.Second); err != nil {
		return err
	}
	for _, n := range l.nodes {
		for end := time.Now().Add(8 * time.Second); ; time.Sleep(200 * time.Millisecond) {
			p := probe
			p.id = fmt.Sprintf("warm-%s-%d", n.name, time.Now().UnixNano())
			if l.send(n, p).status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s does not serve", n.name)
			}
		}
	}
	return nil
}

// load sends a request to each node at each interval, until stop is closed.
func (l *lab) load(stop <-chan struct{}, interval time.Duration, r request, result func(id string, a answer)) *sync.WaitGroup {
	var wg sync.WaitGroup
	for i, n := range l.nodes {
		wg.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(interval):
				}
				one := r
				one.id = fmt.Sprintf("%s-%d-%d", r.method, i, k)
				wg.Go(func() { result(one.id, l.send(n, one)) })
			}
		})
	}
	return &wg
}

// oddHeartbeat lets another writer send a heartbeat without zone, version and warmupLeft
// for an upstream whose draining was acknowledged.
func oddHeartbeat(l *lab, trouble bool) ([]string, error) {
	l.putConfig(7, route{Name: "r-book", Host: "jepu9.example", PathPrefix: "/book/", Kind: "safe", Timeout: "1000ms", Service: "bookings", MaxAttempts: 2})
	var upstreams []*upstream
	for i := range 3 {
		n, err := l.addNode("kumasi-a", "bookings")
		if err != nil {
			return nil, err
		}
		u, err := newUpstream(n, fmt.Sprintf("i-%d", i+1))
		if err != nil {
			return nil, err
		}
		upstreams = append(upstreams, u)
	}
	for _, u := range upstreams {
		go u.announce()
	}
	probe := request{method: http.MethodGet, host: "jepu9.example", path: "/book/1", deadline: 5 * time.Second}
	if err := l.startAll(probe); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	wg := l.load(stop, 100*time.Millisecond, probe, func(string, answer) {})
	time.Sleep(5 * time.Second)
	leaving := upstreams[0]
	acked, err := leaving.drain()
	if err != nil {
		return nil, err
	}
	time.Sleep(3100 * time.Millisecond)
	if trouble {
		leaving.mu.Lock()
		leaving.sequence++
		sequence := leaving.sequence
		leaving.mu.Unlock()
		odd := fmt.Sprintf(`{"address":%q,"info":{"service":"bookings","slots":112},"status":{"state":"ready","sequence":%d},"born":%d}`, leaving.node.address(upstreamPort), sequence, leaving.born)
		status, err := leaving.node.control(http.MethodPut, leaving.id, odd)
		l.logf("another writer: heartbeat of %s without zone, version and warmupLeft: %s: status %d, error %v", leaving.id, odd, status, err)
	}
	time.Sleep(8 * time.Second)
	close(stop)
	wg.Wait()
	var broken []string
	for _, r := range leaving.list() {
		if late := r.at.Sub(acked); late > drainBound {
			broken = append(broken, fmt.Sprintf("DRAIN: %s reaches %s %v after its draining was acknowledged", r.id, leaving.id, late))
		}
	}
	return broken, nil
}

// oddService lets another writer send a heartbeat without zone, version and warmupLeft
// that names another service for an upstream.
func oddService(l *lab, trouble bool) ([]string, error) {
	l.putConfig(7,
		route{Name: "r-book", Host: "jepu9.example", PathPrefix: "/book/", Kind: "safe", Timeout: "1000ms", Service: "bookings", MaxAttempts: 2},
		route{Name: "r-list", Host: "jepu9.example", PathPrefix: "/list/", Kind: "safe", Timeout: "1000ms", Service: "directory", MaxAttempts: 2})
	var upstreams []*upstream
	for i, service := range []string{"bookings", "bookings", "directory"} {
		n, err := l.addNode("kumasi-a", service)
		if err != nil {
			return nil, err
		}
		u, err := newUpstream(n, fmt.Sprintf("i-%d", i+1))
		if err != nil {
			return nil, err
		}
		upstreams = append(upstreams, u)
	}
	for _, u := range upstreams {
		go u.announce()
	}
	probe := request{method: http.MethodGet, host: "jepu9.example", path: "/list/1", deadline: 5 * time.Second}
	if err := l.startAll(probe); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	wg := l.load(stop, 100*time.Millisecond, probe, func(string, answer) {})
	time.Sleep(6 * time.Second)
	named := upstreams[0]
	if trouble {
		named.mu.Lock()
		named.sequence++
		sequence := named.sequence
		named.mu.Unlock()
		odd := fmt.Sprintf(`{"address":%q,"info":{"service":"directory","slots":104},"status":{"state":"ready","sequence":%d},"born":%d}`, named.node.address(upstreamPort), sequence, named.born)
		status, err := named.node.control(http.MethodPut, named.id, odd)
		l.logf("another writer: heartbeat of %s without zone, version and warmupLeft: %s: status %d, error %v", named.id, odd, status, err)
	}
	time.Sleep(5 * time.Second)
	close(stop)
	wg.Wait()
	var broken []string
	for _, r := range named.list() {
		if r.uri == probe.path {
			broken = append(broken, fmt.Sprintf("ROUTE: %s (%s, a route to directory) is run by %s of bookings", r.id, r.uri, named.id))
		}
	}
	return broken, nil
}
