package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of the settings, and the largest share of the machines that the store turns away.
const (
	configBound     = 2500 * time.Millisecond
	maxSkew         = 5 * time.Second
	stabilityWindow = 4 * time.Second
	silentShare     = 0.35
	silentTime      = 9 * time.Second
)

// silentReaders lets the store give no response to the machines that wait for changes of
// the configuration, while the operator changes it.
func silentReaders(l *lab, trouble bool) ([]string, error) {
	move := func(version int, timeout, service string) {
		l.putConfig(version,
			route{Name: "r-book", Host: "jepu9.example", PathPrefix: "/book/", Kind: "safe", Timeout: timeout, Service: service, MaxAttempts: 2},
			route{Name: "r-list", Host: "jepu9.example", PathPrefix: "/list/", Kind: "safe", Timeout: "1000ms", Service: "directory", MaxAttempts: 2},
			route{Name: "r-fit", Host: "jepu9.example", PathPrefix: "/fit/", Kind: "safe", Timeout: "1000ms", Service: "bookings", MaxAttempts: 2})
	}
	move(7, "1000ms", "bookings")
	serviceOf := map[string]string{}
	for i := range 12 {
		n, err := l.addNode([]string{"kumasi-a", "kumasi-b"}[i%2], []string{"bookings", "directory"}[i/2%2])
		if err != nil {
			return nil, err
		}
		u, err := newUpstream(n, fmt.Sprintf("i-%d", i+1))
		if err != nil {
			return nil, err
		}
		serviceOf[u.id] = n.service
		go u.announce()
	}
	probe := request{method: http.MethodGet, host: "jepu9.example", path: "/book/1", deadline: 5 * time.Second}
	if err := l.startAll(probe); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	answers := map[string]answer{}
	stop := make(chan struct{})
	wg := l.load(stop, 500*time.Millisecond, probe, func(id string, a answer) {
		mu.Lock()
		defer mu.Unlock()
		answers[id] = a
	})
	time.Sleep(8 * time.Second)
	move(8, "1100ms", "bookings")
	time.Sleep(time.Second)
	var readers []*node
	for _, n := range l.nodes {
		if n.entrance.isReader() {
			readers = append(readers, n)
		}
	}
	if len(readers) == 0 || float64(len(readers)) > silentShare*float64(len(l.nodes)) {
		return nil, fmt.Errorf("%d of %d machines wait for changes at the store", len(readers), len(l.nodes))
	}
	setSilent := func(silent bool) {
		if !trouble {
			return
		}
		for _, n := range readers {
			n.entrance.setSilent(silent)
			l.logf("store: gives no response to %s: %v", n.name, silent)
		}
	}
	setSilent(true)
	time.Sleep(300 * time.Millisecond)
	move(9, "1100ms", "directory")
	acked := time.Now()
	time.Sleep(silentTime - 300*time.Millisecond)
	setSilent(false)
	end := time.Now()
	calm := end.Add(stabilityWindow)
	time.Sleep(stabilityWindow + 7*time.Second)
	close(stop)
	wg.Wait()
	turnedAway := map[string]bool{}
	for _, n := range readers {
		turnedAway[n.name] = true
	}
	var during, after []string
	unstretched := 0
	for id, a := range answers {
		by, _, _ := strings.Cut(a.stamp, ".")
		if serviceOf[by] != "bookings" {
			continue
		}
		seen := fmt.Sprintf("CONFIG: %s, sent to %s %v after the acknowledgement of r9, is run by %s of bookings, as only r7 and r8 allow", id, a.node, a.sent.Sub(acked).Round(time.Millisecond), by)
		switch {
		case a.sent.After(calm):
			after = append(after, seen)
		case a.sent.After(end) || turnedAway[a.node]:
		case a.sent.After(acked.Add(configBound + maxSkew)):
			during = append(during, seen)
		case a.sent.After(acked.Add(configBound)):
			unstretched++
		}
	}
	l.logf("run by the old service: %d requests at machines that the store served all the while, later than config + maxSkew after the acknowledgement, before the store answered all again; %d at all machines, later than stabilityWindow after it did", len(during), len(after))
	l.logf("not judged: %d requests at machines that the store served all the while, between config and config + maxSkew", unstretched)
	fmt.Printf("%d before, %d after the store answered all machines again\n", len(during), len(after))
	return append(during, after...), nil
}
