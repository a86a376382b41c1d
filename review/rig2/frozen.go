package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"parsleyturn/platform/platformtest"
)

// frozenReaders: two machines freeze for some seconds, and the operator changes the
// configuration meanwhile.
func frozenReaders(r *rig) (string, error) {
	const (
		machines = 18
		freeze   = 3500 * time.Millisecond
	)
	ip, err := freeNet()
	if err != nil {
		return "", err
	}
	old := platformtest.Route{Name: "browse", Host: host, PathPrefix: "/browse/", Kind: "safe", Timeout: "800ms", Service: "old", MaxAttempts: 2}
	other := platformtest.Route{Name: "other", Host: host, PathPrefix: "/other/", Kind: "safe", Timeout: "800ms", Service: "new", MaxAttempts: 2}
	store, address, err := r.startStore([]platformtest.Route{old, other})
	if err != nil {
		return "", err
	}
	var nodes []*node
	var ups []*upstream
	for i := range machines {
		service := "new"
		if i%2 == 0 {
			service = "old"
		}
		n := &node{rig: r, name: fmt.Sprintf("sidecar-z1-%02d", i+1), ip: ip(i + 1), zone: "z1", service: service, store: address}
		if err := n.start(); err != nil {
			return "", err
		}
		u := &upstream{rig: r, id: fmt.Sprintf("i-%d", i+1), service: service, node: n, work: 20 * time.Millisecond, slots: 40}
		if err := u.start(); err != nil {
			return "", err
		}
		nodes, ups = append(nodes, n), append(ups, u)
	}
	if err := waitReady(nodes...); err != nil {
		return "", err
	}
	time.Sleep(8 * time.Second)
	if r.trouble {
		for _, n := range nodes[:2] {
			_ = n.cmd.Process.Signal(syscall.SIGSTOP)
			r.note("%s freezes", n.name)
			time.AfterFunc(freeze, func() {
				_ = n.cmd.Process.Signal(syscall.SIGCONT)
				r.note("%s wakes", n.name)
			})
		}
	}
	time.Sleep(200 * time.Millisecond)
	moved := old
	moved.Service = "new"
	if err := store.PutConfig(2, []platformtest.Route{moved, other}); err != nil {
		return "", err
	}
	acked := time.Now()
	r.note("version 2 is acknowledged")
	var mu sync.Mutex
	var late, all int
	var last time.Duration
	var clients sync.WaitGroup
	for _, n := range nodes[2:] {
		clients.Go(func() {
			c := &http.Client{}
			for time.Since(acked) < 8*time.Second {
				o := r.send(c, n, http.MethodGet, host, "/browse/x", "", 5*time.Second)
				mu.Lock()
				all++
				if o.sent.After(acked.Add(configBound)) {
					for _, u := range ups {
						for _, e := range u.executions() {
							if e.id == o.id && u.service == "old" {
								late++
								last = max(last, o.sent.Sub(acked))
							}
						}
					}
				}
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	r.note("%d requests at machines that did not freeze; %d sent later than config were run by the old service, the last after %.2f s", all, late, last.Seconds())
	if late > 0 {
		return "requests are run by the old service", nil
	}
	return "", nil
}
