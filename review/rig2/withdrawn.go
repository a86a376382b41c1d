package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"parsleyturn/platform/platformtest"
)

// withdrawn: an upstream withdraws while the store is down, which its node
// acknowledges. The nodes are restarted in turn, and a heartbeat that the upstream sent
// before its withdrawal arrives seconds late. No request may reach the upstream later
// than drain after the acknowledgement.
func withdrawn(r *rig) (string, error) {
	const (
		outage       = 3 * time.Second
		gap          = time.Second
		restartDelay = 200 * time.Millisecond
		late         = 6 * time.Second
		// stays is how long the upstream serves after the acknowledgement.
		stays = 11 * time.Second
	)
	ip, err := freeNet()
	if err != nil {
		return "", err
	}
	store, address, err := r.startStore([]platformtest.Route{
		{Name: "book", Host: host, PathPrefix: "/book/", Kind: "unsafe", Timeout: "1000ms", Service: "bookings", MaxAttempts: 2},
		{Name: "browse", Host: host, PathPrefix: "/browse/", Kind: "safe", Timeout: "800ms", Service: "directory", MaxAttempts: 2},
	})
	if err != nil {
		return "", err
	}
	var nodes []*node
	var ups []*upstream
	for i, service := range []string{"directory", "bookings", "bookings"} {
		n := &node{rig: r, name: fmt.Sprintf("sidecar-z1-%d", i+1), ip: ip(i + 1), zone: "z1", service: service, store: address}
		if err := n.start(); err != nil {
			return "", err
		}
		u := &upstream{rig: r, id: fmt.Sprintf("i-%d", i+1), service: service, node: n, work: 100 * time.Millisecond, slots: 40}
		if err := u.start(); err != nil {
			return "", err
		}
		nodes, ups = append(nodes, n), append(ups, u)
	}
	if err := waitReady(nodes...); err != nil {
		return "", err
	}
	entry, leaving := nodes[0], ups[2]
	var mu sync.Mutex
	outcomes := map[string]outcome{}
	var clients sync.WaitGroup
	stop := make(chan struct{})
	stopClients := sync.OnceFunc(func() {
		close(stop)
		clients.Wait()
	})
	defer stopClients()
	for range 4 {
		clients.Go(func() {
			c := &http.Client{}
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
					o := r.send(c, entry, http.MethodPost, host, "/book/x", "seat", 5*time.Second)
					mu.Lock()
					outcomes[o.id] = o
					mu.Unlock()
				}
			}
		})
	}
	for end := time.Now().Add(15 * time.Second); len(leaving.executions()) < 5; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			return "", fmt.Errorf("the upstream gets no requests")
		}
	}
	time.Sleep(5 * time.Second)

	if r.trouble {
		store.SetDown(true)
		r.note("the store is down")
	}
	begin := time.Now()
	time.Sleep(time.Second)
	// The last heartbeat before the withdrawal takes long to arrive.
	delayed := leaving.nextBeat()
	heartbeatSent := time.Now()
	leaving.quiet()
	var acked time.Time
	for end := time.Now().Add(4 * time.Second); acked.IsZero(); {
		status, err := leaving.withdraw()
		r.note("withdrawal of %s: status %d, %v", leaving.id, status, err)
		if status == http.StatusOK && err == nil {
			acked = time.Now()
		} else if time.Now().After(end) {
			return "", fmt.Errorf("the withdrawal is not acknowledged")
		}
	}
	restarted := make([]time.Time, len(nodes))
	var restarts sync.WaitGroup
	if r.trouble {
		restarts.Go(func() {
			time.Sleep(time.Until(begin.Add(outage)))
			store.SetDown(false)
			r.note("the store is back")
		})
		for i, n := range nodes {
			restarts.Go(func() {
				time.Sleep(time.Duration(i) * gap)
				r.note("SIGTERM to %s", n.name)
				_ = n.cmd.Process.Signal(syscall.SIGTERM)
				<-n.exited
				time.Sleep(restartDelay)
				if err := n.start(); err != nil {
					r.note("node %s does not start: %v", n.name, err)
				}
				restarted[i] = time.Now()
			})
		}
	}
	restarts.Wait()
	time.Sleep(time.Until(heartbeatSent.Add(late)))
	status, err := leaving.control(http.MethodPut, delayed)
	r.note("the heartbeat from before the withdrawal arrives, %.1f s late: status %d, %v", time.Since(heartbeatSent).Seconds(), status, err)
	time.Sleep(time.Until(acked.Add(stays)))
	leaving.end()
	r.note("%s ends", leaving.id)
	time.Sleep(time.Second)
	stopClients()

	bound := acked.Add(drainBound)
	for _, t := range restarted {
		if !t.IsZero() && t.Add(stabilityWindow).After(bound) {
			bound = t.Add(stabilityWindow)
		}
	}
	reached, total, lost := 0, 0, 0
	var first time.Duration
	for _, e := range leaving.executions() {
		if e.at.After(acked.Add(drainBound)) {
			total++
		}
		if e.at.After(bound) {
			if reached++; reached == 1 {
				first = e.at.Sub(acked)
			}
			if o := outcomes[e.id]; !o.served() {
				lost++
				r.note("%s ran at %s %.1f s after the acknowledgement; its client got status %d, %v", e.id, leaving.id, e.at.Sub(acked).Seconds(), o.status, o.err)
			}
		}
	}
	r.note("requests at %s later than drain after its acknowledgement: %d, with all machines in touch: %d; not answered with success: %d", leaving.id, total, reached, lost)
	if reached > 0 {
		return fmt.Sprintf("%d requests reached %s later than drain after its withdrawal was acknowledged, all machines in touch, the first after %.1f s", reached, leaving.id, first.Seconds()), nil
	}
	return "", nil
}
