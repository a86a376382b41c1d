// Package soak runs real node processes under faults that are injected from
// outside, and checks the system's guarantees against what callers and targets
// observe. The seed determines every random choice.
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

// Config holds the parameters of a soak run.
type Config struct {
	Seed uint64
	// FaultDuration is how long new faults are injected. The whole run takes
	// about 25 s longer.
	FaultDuration time.Duration
	VMs           int
	// Binary is the path of the daemon; Dir is the directory for its settings
	// files and logs.
	Binary string
	Dir    string
}

// Report is the result of a soak run.
type Report struct {
	Seed     uint64
	Faults   []string
	Statuses map[int]int
	// Violations lists the guarantees that were violated, oldest first.
	Violations []string
}

const (
	host        = "h.example"
	maxAttempts = 2
	// Each of the clientsPerVM clients waits clientPause between two requests.
	clientsPerVM = 3
	clientPause  = 60 * time.Millisecond
	deadline     = 1500 * time.Millisecond
	// After the last fault the mesh has recoveryTime to recover. In the
	// recoveryWindow that follows, at least recoveredShare of the requests must
	// succeed.
	recoveryTime   = 12 * time.Second
	recoveryWindow = 2 * time.Second
	recoveredShare = 0.95
	// configBound is the time within which a new configuration must be active
	// on every node while no fault is injected.
	configBound = 2500 * time.Millisecond
	// memoryLimit is limits.memoryMb of the settings.
	memoryLimit         = 284 << 20
	memoryCheckInterval = 200 * time.Millisecond
)

type run struct {
	config       Config
	net          int
	ctx          context.Context
	rng          *rand.Rand
	recorder     *recorder
	store        *platformtest.Store
	storeAddress string
	meshProxy    *faultproxy.Proxy
	httpClient   *http.Client
	vms          []*vm

	// configMu is held while the configuration is written or the store restored.
	// writeConfig writes the latest version again.
	configMu    sync.Mutex
	writeConfig func() error

	mu      sync.Mutex
	version int
	// largeConfig makes putConfig add many routes.
	largeConfig bool
	faults      []string
	rules       map[string]faultproxy.Rule
	// crowds counts the groups of clients that faults let come.
	crowds int
	wg     sync.WaitGroup
	// plannedStopsOnly is set while no fault is injected and nodes are only
	// restarted as planned.
	plannedStopsOnly bool
}

// Run makes the soak run that the seed determines.
func Run(ctx context.Context, c Config) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &run{config: c, ctx: ctx, rng: rand.New(rand.NewPCG(c.Seed, 1)), recorder: newRecorder(), store: platformtest.NewStore(), meshProxy: faultproxy.New(), rules: map[string]faultproxy.Rule{}}
	var err error
	if r.net, err = freeNet(c.Seed); err != nil {
		return nil, err
	}
	server := httptest.NewServer(r.store)
	defer server.Close()
	defer server.CloseClientConnections()
	r.storeAddress = strings.TrimPrefix(server.URL, "http://")
	r.httpClient = &http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	r.meshProxy.SetRules(r.rule)
	defer r.meshProxy.Close()
	if err := r.putConfig(); err != nil {
		return nil, err
	}
	defer r.killAll()
	for i := range c.VMs {
		v, err := r.newVM(i, string(rune('a'+i%2)))
		if err != nil {
			return nil, err
		}
		defer v.storeProxy.Close()
		r.vms = append(r.vms, v)
		if err := v.start(); err != nil {
			return nil, err
		}
		r.wg.Go(v.announceLoop)
	}
	r.runPhases()
	cancel()
	r.wg.Wait()
	return &Report{Seed: c.Seed, Faults: r.faults, Statuses: r.recorder.statuses, Violations: r.recorder.listViolations()}, nil
}

// runPhases starts the clients, injects the faults and then checks recovery,
// configuration delivery and planned restarts.
func (r *run) runPhases() {
	r.waitServing(10 * time.Second)
	for _, v := range r.vms {
		for i := range clientsPerVM {
			r.wg.Go(func() { r.runClient(v, i) })
		}
	}
	r.wg.Go(r.watchConfig)
	r.wg.Go(r.watchMemory)
	r.inject()
	r.sleep(recoveryTime)
	r.checkRecovery()
	r.checkConfig()
	r.rollingRestart()
}

// killAll kills the node processes and stops the targets of this run.
func (r *run) killAll() {
	for _, v := range r.vms {
		v.signal(syscall.SIGCONT)
		v.stop(syscall.SIGKILL)
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

// putConfig writes the next configuration version to the store. Version N adds
// the route /vN/, so that a request shows whether a node has version N active.
func (r *run) putConfig() error {
	r.configMu.Lock()
	defer r.configMu.Unlock()
	r.mu.Lock()
	r.version++
	version, large := r.version, r.largeConfig
	r.mu.Unlock()
	routes := []platformtest.Route{
		route("read", "safe", "a", 2), route("chain", "safe", "b", 2), route("order", "unsafe", "b", 0),
	}
	for v := 1; v <= version; v++ {
		routes = append(routes, route(fmt.Sprintf("v%d", v), "safe", "a", 1))
	}
	for i := 0; large && i < largeRouteCount; i++ {
		routes = append(routes, route(fmt.Sprintf("large-%d", i), "safe", "a", 2))
	}
	r.writeConfig = func() error { return r.store.PutConfig(version, routes) }
	return r.writeConfig()
}

func route(name, kind, service string, priority int) platformtest.Route {
	return platformtest.Route{Name: name, Host: host, PathPrefix: "/" + name + "/", Kind: kind, Timeout: "1200ms", Priority: priority, Service: service, MaxAttempts: maxAttempts}
}

// idempotent reports whether the request may be executed more than once, which
// is encoded in the request ID.
func idempotent(id string) bool { return !strings.HasPrefix(id, "order-") }

func (r *run) sendRequest(c *http.Client, v *vm, method, path, id, body string) platformtest.Response {
	return platformtest.Send(r.ctx, c, platformtest.Request{Address: v.callerAddress, Host: host, Method: method, Path: path, ID: id, Body: body, Deadline: deadline})
}

// runClient sends requests over a keep-alive connection, also while the node
// shuts down.
func (r *run) runClient(v *vm, index int) {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	c := &http.Client{Timeout: deadline + 500*time.Millisecond, Transport: transport}
	kinds := [...]string{"read", "chain", "order"}
	for n := 0; r.ctx.Err() == nil; n++ {
		kind := kinds[n%len(kinds)]
		id := fmt.Sprintf("%s-%d-%d-%d", kind, v.index, index, n)
		request := platformtest.Request{Address: v.callerAddress, Host: host, Method: http.MethodGet, Path: "/" + kind + "/x", ID: id, Deadline: deadline}
		if kind == "order" {
			request.Method, request.Body = http.MethodPost, "body of "+id
			if n/len(kinds)%uploadInterval == uploadInterval-1 {
				request.Upload = newUpload()
			}
		}
		r.mu.Lock()
		plannedStopsOnly := r.plannedStopsOnly
		r.mu.Unlock()
		resp := platformtest.Send(r.ctx, c, request)
		if r.ctx.Err() != nil {
			return
		}
		r.recorder.checkResponse(id, resp)
		if plannedStopsOnly && (resp.Status == http.StatusBadGateway || resp.Err != nil && !strings.Contains(resp.Err.Error(), "connection refused")) {
			r.checkInterrupted(id, resp)
		}
		r.sleep(clientPause)
	}
}

// checkInterrupted reports a violation for a request that failed while nodes
// were only stopped as planned. A request that was sent while the node closed
// the idle connection fails too, but is not forwarded to a target; it is
// allowed.
func (r *run) checkInterrupted(id string, resp platformtest.Response) {
	r.recorder.mu.Lock()
	defer r.recorder.mu.Unlock()
	if resp.Err == nil || r.recorder.executions[id] > 0 {
		r.recorder.addViolationLocked("request %s was interrupted by a planned stop: status %d, %v", id, resp.Status, resp.Err)
	}
}

// waitServing waits until every node serves a request that makes a sub-call and
// therefore needs targets of both services.
func (r *run) waitServing(limit time.Duration) {
	giveUpAt := time.Now().Add(limit)
	for _, v := range r.vms {
		for n := 0; ; n++ {
			id := fmt.Sprintf("wait-%d-%d", v.index, n)
			if r.sendRequest(r.httpClient, v, http.MethodGet, "/chain/x", id, "").Status == http.StatusOK {
				break
			}
			if time.Now().After(giveUpAt) {
				r.recorder.addViolation("vm-%d did not serve requests within %v of its start", v.index, limit)
				return
			}
			r.sleep(100 * time.Millisecond)
		}
	}
}

// watchConfig checks that the active configuration version of a node process
// never decreases: once the process has served the route of a version, which
// putConfig adds, it must not respond with 404 to it.
func (r *run) watchConfig() {
	type observation struct{ incarnation, version int }
	last := make([]observation, len(r.vms))
	for n := 0; r.ctx.Err() == nil; n++ {
		r.sleep(200 * time.Millisecond)
		v := r.vms[n%len(r.vms)]
		v.mu.Lock()
		incarnation := v.incarnation
		v.mu.Unlock()
		r.mu.Lock()
		version := r.version
		r.mu.Unlock()
		previous := last[v.index]
		if previous.incarnation == incarnation && previous.version > 0 {
			if resp := r.sendRequest(r.httpClient, v, http.MethodGet, fmt.Sprintf("/v%d/x", previous.version), fmt.Sprintf("config-%d-%d", v.index, n), ""); resp.Status == http.StatusNotFound {
				v.mu.Lock()
				same := v.incarnation == incarnation
				v.mu.Unlock()
				if same {
					r.recorder.addViolation("vm-%d had configuration version %d active and no longer knows its route", v.index, previous.version)
				}
			}
		}
		resp := r.sendRequest(r.httpClient, v, http.MethodGet, fmt.Sprintf("/v%d/x", version), fmt.Sprintf("new-%d-%d", v.index, n), "")
		v.mu.Lock()
		if resp.Err == nil && resp.Status != http.StatusNotFound && resp.Status != http.StatusServiceUnavailable && v.incarnation == incarnation {
			last[v.index] = observation{incarnation, version}
		}
		v.mu.Unlock()
	}
}

// watchMemory checks that no node process exceeds the memory of its VM.
func (r *run) watchMemory() {
	for r.ctx.Err() == nil {
		for _, v := range r.vms {
			if n := v.residentBytes(); n > memoryLimit {
				r.recorder.addViolation("node process of vm-%d uses %d MB of memory", v.index, n>>20)
			}
		}
		r.sleep(memoryCheckInterval)
	}
}

// checkRecovery checks that enough requests succeed again after the last fault, and that
// every node takes requests from others.
func (r *run) checkRecovery() {
	before, remoteBefore := r.recorder.statusCounts(), r.recorder.remoteExecutionCounts(len(r.vms))
	r.sleep(recoveryWindow)
	after := r.recorder.statusCounts()
	succeeded, total := after[200]-before[200], 0
	for status, n := range after {
		total += n - before[status]
	}
	if total == 0 || float64(succeeded) < recoveredShare*float64(total) {
		r.recorder.addViolation("only %d of %d requests succeeded %v after the last fault", succeeded, total, recoveryTime)
	}
	for i, n := range r.recorder.remoteExecutionCounts(len(r.vms)) {
		if n == remoteBefore[i] {
			r.recorder.addViolation("the target of vm-%d got no request of another VM in %v, %v after the last fault", i, recoveryWindow, recoveryTime)
		}
	}
}

func (r *recorder) statusCounts() map[int]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[int]int{}
	for status, n := range r.statuses {
		out[status] = n
	}
	return out
}

// checkConfig checks that a new configuration version is active on every node
// within configBound.
func (r *run) checkConfig() {
	if err := r.putConfig(); err != nil {
		r.recorder.addViolation("write configuration: %v", err)
		return
	}
	r.sleep(configBound)
	r.mu.Lock()
	version := r.version
	r.mu.Unlock()
	for _, v := range r.vms {
		if resp := r.sendRequest(r.httpClient, v, http.MethodGet, fmt.Sprintf("/v%d/x", version), fmt.Sprintf("check-%d", v.index), ""); resp.Status == http.StatusNotFound {
			r.recorder.addViolation("vm-%d does not have configuration version %d active after %v", v.index, version, configBound)
		}
	}
}

// rollingRestart restarts up to two nodes one after the other without other
// faults. No request may be interrupted.
func (r *run) rollingRestart() {
	r.mu.Lock()
	r.plannedStopsOnly = true
	r.mu.Unlock()
	for _, i := range r.rng.Perm(len(r.vms))[:min(2, len(r.vms))] {
		v := r.vms[i]
		if !v.stop(syscall.SIGTERM) {
			r.recorder.addViolation("vm-%d did not exit within %v of SIGTERM", i, gracePeriod)
		}
		if err := v.start(); err != nil {
			r.recorder.addViolation("start node process of vm-%d: %v", i, err)
		}
		r.sleep(2 * time.Second)
	}
}
