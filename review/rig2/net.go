package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"parsleyturn/platform/platformtest"
)

// freeNet returns a function that names the loopback addresses of a network that no
// other program uses.
func freeNet() (func(host int) string, error) {
	for range 100 {
		second, third := 100+rand.N(100), rand.N(250)
		ip := func(host int) string { return fmt.Sprintf("127.%d.%d.%d", second, third, host) }
		l, err := net.Listen("tcp", ip(1)+":8304")
		if err == nil {
			_ = l.Close()
			return ip, nil
		}
	}
	return nil, fmt.Errorf("no free loopback network")
}

// startStore starts the stand-in of the platform's store, with one configuration.
func (r *rig) startStore(routes []platformtest.Route) (*platformtest.Store, string, error) {
	store := platformtest.NewStore()
	server := httptest.NewServer(store)
	r.onClose(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return store, strings.TrimPrefix(server.URL, "http://"), store.PutConfig(1, routes)
}

// waitReady waits until nodes answer the platform's probe with 200.
func waitReady(nodes ...*node) error {
	for _, n := range nodes {
		for end := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			resp, err := http.Get("http://" + n.ready() + "/-/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("node %s is not ready: %v", n.name, err)
			}
		}
	}
	return nil
}
