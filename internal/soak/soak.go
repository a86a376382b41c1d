// Package soak runs real node processes for some time under faults that are
// injected from outside, and checks from what callers and targets see that the
// system keeps its promises. Everything random follows from a seed.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"time"

	"parsleyturn/internal/faultproxy"
	"parsleyturn/platform/platformtest"
)

// Config describes a run.
type Config struct {
	Seed uint64
	// FaultDuration is how long faults are injected. The run takes about 25 s more.
	FaultDuration time.Duration
	VMs           int
	// Binary is the daemon and Dir the folder for settings and logs.
	Binary string
	Dir    string
}

// Report is the result of a run.
type Report struct {
	Seed     uint64
	Faults   []string
	Statuses map[int]int
	// Violations has the promises that were broken, the first one first.
	Violations []string
}

const (
	host        = "h.example"
	maxAttempts = 2
	// clientsPerVM callers send a request every clientPause.
	clientsPerVM = 3
	clientPause  = 60 * time.Millisecond
	deadline     = 1500 * time.Millisecond
	// recoveryTime is allowed after the last fault; in recoveryCheck at least
	// recoveryShare of the requests have to succeed then.
	recoveryTime  = 12 * time.Second
	recoveryCheck = 2 * time.Second
	recoveryShare = 0.95
	// configBound is the time in which a configuration is in force on a calm
	// mesh.
	configBound = 2500 * time.Millisecond
)

type run struct {
	config       Config
	net          int
	ctx          context.Context
	rnd          *rand.Rand
	record       *record
	store        *platformtest.Store
	storeAddress string
	links        *faultproxy.Proxy
	http         *http.Client
	vms          []*vm

	mu      sync.Mutex
	version int
	faults  []string
	rules   map[string]faultproxy.Rule
	wg      sync.WaitGroup
	// watch is set while every failed request counts as broken off.
	calm bool
}

// Run plays one seed.
func Run(ctx context.Context, c Config) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &run{config: c, ctx: ctx, rnd: rand.New(rand.NewPCG(c.Seed, 1)), record: newRecord(), store: platformtest.NewStore(), links: faultproxy.New(), rules: map[string]faultproxy.Rule{}}
	var err error
	if r.net, err = freeNet(c.Seed); err != nil {
		return nil, err
	}
	server := httptest.NewServer(r.store)
	defer server.Close()
	defer server.CloseClientConnections()
	r.storeAddress = strings.TrimPrefix(server.URL, "http://")
	r.http = &http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	r.links.SetRules(r.rule)
	defer r.links.Close()
	if err := r.putConfig(); err != nil {
		return nil, err
	}
	defer r.endAll()
	for i := range c.VMs {
		v, err := r.newVM(i, string(rune('a'+i%2)))
		if err != nil {
			return nil, err
		}
		defer v.store.Close()
		r.vms = append(r.vms, v)
		if err := v.start(); err != nil {
			return nil, err
		}
		r.wg.Go(v.beats)
	}
	r.play()
	cancel()
	r.wg.Wait()
	return &Report{Seed: c.Seed, Faults: r.faults, Statuses: r.record.statuses, Violations: r.record.all()}, nil
}

// play goes through the parts of a run.
func (r *run) play() {
	r.waitServing(10 * time.Second)
	for _, v := range r.vms {
		for i := range clientsPerVM {
			r.wg.Go(func() { r.client(v, i) })
		}
	}
	r.wg.Go(r.watchConfig)
	r.inject()
	r.sleep(recoveryTime)
	r.checkRecovery()
	r.checkConfig()
	r.rollCalmly()
}

// endAll kills the processes that this run started.
func (r *run) endAll() {
	for _, v := range r.vms {
		v.signal(syscall.SIGCONT)
		v.end(syscall.SIGKILL)
		v.mu.Lock()
		v.upstream.Crash()
		v.mu.Unlock()
	}
}

func (r *run) sleep(d time.Duration) {
	select {
	case <-r.ctx.Done():
	case <-time.After(d):
	}
}

// putConfig writes the next version. Version N adds the route /vN/, which shows
// the version in force.
func (r *run) putConfig() error {
	r.mu.Lock()
	r.version++
	version := r.version
	r.mu.Unlock()
	routes := []platformtest.Route{
		route("read", "safe", "a", 2), route("chain", "safe", "b", 2), route("order", "unsafe", "b", 0),
	}
	for v := 1; v <= version; v++ {
		routes = append(routes, route(fmt.Sprintf("v%d", v), "safe", "a", 1))
	}
	return r.store.PutConfig(version, routes)
}

func route(name, kind, service string, rank int) platformtest.Route {
	return platformtest.Route{Name: name, Host: host, PathPrefix: "/" + name + "/", Kind: kind, Timeout: "1200ms", Priority: rank, Service: service, MaxAttempts: maxAttempts}
}

// idempotent tells from the id that a client chose whether the request may
// run again.
func idempotent(id string) bool { return !strings.HasPrefix(id, "order-") }

func (r *run) send(c *http.Client, v *vm, method, path, id, body string) platformtest.Response {
	return platformtest.Send(r.ctx, c, platformtest.Request{Address: v.caller, Host: host, Method: method, Path: path, ID: id, Body: body, Deadline: deadline})
}

// client sends requests over kept connections, also while the node leaves.
func (r *run) client(v *vm, index int) {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	c := &http.Client{Timeout: deadline + 500*time.Millisecond, Transport: transport}
	kinds := [...]string{"read", "chain", "order"}
	for n := 0; r.ctx.Err() == nil; n++ {
		kind := kinds[n%len(kinds)]
		id := fmt.Sprintf("%s-%d-%d-%d", kind, v.index, index, n)
		method, body := http.MethodGet, ""
		if kind == "order" {
			method, body = http.MethodPost, "body of "+id
		}
		r.mu.Lock()
		calm := r.calm
		r.mu.Unlock()
		a := r.send(c, v, method, "/"+kind+"/x", id, body)
		if r.ctx.Err() != nil {
			return
		}
		r.record.answered(id, a)
		if calm && (a.Status == http.StatusBadGateway || a.Err != nil && !strings.Contains(a.Err.Error(), "connection refused")) {
			r.checkCut(id, a)
		}
		r.sleep(clientPause)
	}
}

// checkCut fails the run for a request that was cut off although only planned
// stops took place. One that crossed the close of an idle connection was not
// passed on.
func (r *run) checkCut(id string, a platformtest.Response) {
	r.record.mu.Lock()
	defer r.record.mu.Unlock()
	if a.Err == nil || r.record.runs[id] > 0 {
		r.record.fail("request %s was cut off by a planned stop: status %d, %v", id, a.Status, a.Err)
	}
}

// waitServing waits until every node answers requests of all kinds.
func (r *run) waitServing(limit time.Duration) {
	end := time.Now().Add(limit)
	for _, v := range r.vms {
		for n := 0; ; n++ {
			id := fmt.Sprintf("wait-%d-%d", v.index, n)
			if r.send(r.http, v, http.MethodGet, "/chain/x", id, "").Status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				r.record.broken("vm-%d does not serve within %v of its start", v.index, limit)
				return
			}
			r.sleep(100 * time.Millisecond)
		}
	}
}

// watchConfig checks that the version in force at a process never goes back.
func (r *run) watchConfig() {
	type seen struct{ incarnation, version int }
	last := make([]seen, len(r.vms))
	for n := 0; r.ctx.Err() == nil; n++ {
		r.sleep(200 * time.Millisecond)
		v := r.vms[n%len(r.vms)]
		v.mu.Lock()
		incarnation := v.incarnation
		v.mu.Unlock()
		r.mu.Lock()
		version := r.version
		r.mu.Unlock()
		known := last[v.index]
		if known.incarnation == incarnation && known.version > 0 {
			if a := r.send(r.http, v, http.MethodGet, fmt.Sprintf("/v%d/x", known.version), fmt.Sprintf("config-%d", n), ""); a.Status == http.StatusNotFound {
				v.mu.Lock()
				same := v.incarnation == incarnation
				v.mu.Unlock()
				if same {
					r.record.broken("vm-%d had version %d in force and does not know its route any more", v.index, known.version)
				}
			}
		}
		a := r.send(r.http, v, http.MethodGet, fmt.Sprintf("/v%d/x", version), fmt.Sprintf("config-new-%d", n), "")
		v.mu.Lock()
		if a.Err == nil && a.Status != http.StatusNotFound && a.Status != http.StatusServiceUnavailable && v.incarnation == incarnation {
			last[v.index] = seen{incarnation, version}
		}
		v.mu.Unlock()
	}
}

// checkRecovery checks that the mesh serves again after the last fault.
func (r *run) checkRecovery() {
	before := r.record.snapshot()
	r.sleep(recoveryCheck)
	after := r.record.snapshot()
	ok, all := after[200]-before[200], 0
	for status, n := range after {
		all += n - before[status]
	}
	if all == 0 || float64(ok) < recoveryShare*float64(all) {
		r.record.broken("%d of %d requests succeed %v after the last fault", ok, all, recoveryTime)
	}
}

func (r *record) snapshot() map[int]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[int]int{}
	for status, n := range r.statuses {
		out[status] = n
	}
	return out
}

// checkConfig checks that a new version is in force everywhere in time.
func (r *run) checkConfig() {
	if err := r.putConfig(); err != nil {
		r.record.broken("write of a configuration: %v", err)
		return
	}
	r.sleep(configBound)
	r.mu.Lock()
	version := r.version
	r.mu.Unlock()
	for _, v := range r.vms {
		if a := r.send(r.http, v, http.MethodGet, fmt.Sprintf("/v%d/x", version), fmt.Sprintf("config-check-%d", v.index), ""); a.Status == http.StatusNotFound {
			r.record.broken("vm-%d does not have version %d in force after %v", v.index, version, configBound)
		}
	}
}

// rollCalmly stops and starts some nodes one after the other without other
// faults. No request may be cut off.
func (r *run) rollCalmly() {
	r.mu.Lock()
	r.calm = true
	r.mu.Unlock()
	for _, i := range r.rnd.Perm(len(r.vms))[:min(2, len(r.vms))] {
		v := r.vms[i]
		if !v.end(syscall.SIGTERM) {
			r.record.broken("vm-%d does not end within %v of SIGTERM", i, grace)
		}
		if err := v.start(); err != nil {
			r.record.broken("vm-%d does not start: %v", i, err)
		}
		r.sleep(2 * time.Second)
	}
}
