package integration

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"parsleyturn/internal/configstore"
	"parsleyturn/internal/faultproxy"
	"parsleyturn/internal/platformclient"
	"parsleyturn/internal/policy"
	standin "parsleyturn/internal/standin/platform"
	"parsleyturn/internal/standin/target"
)

// binaries is the folder with the programs, built by TestMain.
var binaries string

const meshPolicy = `
team = "integration"

[service.directory]
max_queue_ms = 500
[service.bookings]
max_queue_ms = 1500
[service.reports]
max_queue_ms = 500

[kind.browse]
service = "directory"
path_prefix = "/directory/"
priority = 5
deadline_ms = 3000
retries = 4

[kind.book]
service = "bookings"
methods = ["POST"]
path_prefix = "/bookings/"
priority = 9
non_idempotent = true
deadline_ms = 4000
retries = 4

[kind.download]
service = "reports"
path_prefix = "/reports/"
priority = 2
deadline_ms = 60000
retries = 2
`

// zones of the mesh: two regions with two availability zones each.
var zones = []struct{ region, zone string }{
	{"Ashanti", "ashanti-1"}, {"Ashanti", "ashanti-2"}, {"Greater Accra", "accra-1"}, {"Greater Accra", "accra-2"},
}

// process is a program that a test started.
type process struct {
	cmd  *exec.Cmd
	done chan error
	log  string
}

func start(t testing.TB, log, program string, args ...string) *process {
	t.Helper()
	f, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	assert.NilError(t, err)
	cmd := exec.Command(filepath.Join(binaries, program), args...)
	cmd.Stdout, cmd.Stderr = f, f
	assert.NilError(t, cmd.Start())
	_ = f.Close()
	p := &process{cmd: cmd, done: make(chan error, 1), log: log}
	go func() { p.done <- cmd.Wait() }()
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	select {
	case err := <-p.done:
		p.done <- err
	case <-time.After(10 * time.Second):
	}
}

// host is one VM: a node and its target.
type host struct {
	mesh       *mesh
	id         string
	index      int
	service    string
	region     string
	zone       string
	ip         string
	slots      int
	node       *process
	target     *process
	recordFile string
}

// Ports of every host; hosts differ by their IP number.
const (
	portCaller   = 18080
	portTarget   = 18081
	portLink     = 17000
	portGossip   = 17001
	portAdmin    = 18090
	portUpstream = 19100
	portControl  = 19101
	portPlatform = 19000
)

// mesh is a deployment on loopback addresses of its own.
type mesh struct {
	t          testing.TB
	dir        string
	net        int
	hosts      []*host
	platform   *process
	platformIP string
	proxy      *faultproxy.Proxy
	client     *http.Client
	opts       meshOptions
	// refused holds the requests whose callers were told "not run".
	refused []string

	mu    sync.Mutex
	rules map[string]faultproxy.Rule
}

var nextNet atomic.Int64

// freeNet returns a number n for which no other test uses 127.n.0.0/16. Runs
// of other checkouts may be under way on the same machine.
func freeNet(t testing.TB) int {
	for range 250 {
		n := 1 + (os.Getpid()*7+int(nextNet.Add(1)))%250
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", n, portPlatform))
		if err == nil {
			_ = l.Close()
			return n
		}
	}
	t.Fatal("no free loopback network")
	return 0
}

// layout says which services every availability zone has.
var layout = []string{"directory", "bookings", "reports"}

// newMesh starts the platform stand-in, and a host for each service in each of
// the first n availability zones.
func newMesh(t testing.TB, n int) *mesh {
	t.Helper()
	return newMeshWith(t, n, meshOptions{})
}

func newMeshWith(t testing.TB, n int, opts meshOptions) *mesh {
	t.Helper()
	m := &mesh{
		opts: opts.withDefaults(), t: t, dir: t.TempDir(), net: freeNet(t), proxy: faultproxy.New(), rules: map[string]faultproxy.Rule{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 50}, Timeout: 70 * time.Second},
	}
	m.proxy.SetRules(m.rule)
	m.platformIP = fmt.Sprintf("127.%d.0.1", m.net)
	t.Cleanup(m.stop)
	m.startPlatform()
	m.applyPolicy(1, meshPolicy+opts.policy)
	_, err := m.proxy.ListenTCP(fmt.Sprintf("127.%d.100.1:%d", m.net, portPlatform), m.platformAddr())
	assert.NilError(t, err)
	for z := range n {
		for i, service := range layout {
			m.addHost(z, i, service)
		}
	}
	for _, h := range m.hosts {
		h.startNode()
		h.startTarget()
	}
	m.waitReady()
	return m
}

func (m *mesh) platformAddr() string { return fmt.Sprintf("%s:%d", m.platformIP, portPlatform) }

func (m *mesh) startPlatform() {
	m.platform = start(m.t, filepath.Join(m.dir, "platform.log"), "standin-platform", "--listen", m.platformAddr())
	poll.WaitOn(m.t, func(poll.LogT) poll.Result {
		resp, err := m.client.Get("http://" + m.platformAddr() + "/standin/counts")
		if err != nil {
			return poll.Continue("%v", err)
		}
		_ = resp.Body.Close()
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
}

func (m *mesh) store() *configstore.Store {
	c, err := platformclient.New("http://" + m.platformAddr())
	assert.NilError(m.t, err)
	return configstore.New(c)
}

// applyPolicy makes content the given version.
func (m *mesh) applyPolicy(version uint64, content string) {
	m.t.Helper()
	_, err := m.store().Apply(context.Background(), configstore.Change{
		ChangeID: fmt.Sprintf("change-%d", version), Author: "test", Reason: "test", Action: "apply", Base: version - 1, Time: time.Now(),
		Files: []policy.File{{Name: "10-integration.toml", Content: []byte(content)}},
	})
	assert.NilError(m.t, err)
}

// platformFaults sets the faults of the platform stand-in.
func (m *mesh) platformFaults(f standin.Faults) {
	m.t.Helper()
	m.put("http://"+m.platformAddr()+"/standin/faults", f)
}

func (m *mesh) put(url string, v any) {
	m.t.Helper()
	body, err := json.Marshal(v)
	assert.NilError(m.t, err)
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	assert.NilError(m.t, err)
	resp, err := m.client.Do(req)
	assert.NilError(m.t, err)
	_ = resp.Body.Close()
	assert.Assert(m.t, resp.StatusCode < 300, "PUT %s: status %d", url, resp.StatusCode)
}

func (m *mesh) addHost(zone, i int, service string) {
	h := &host{
		mesh: m, index: len(m.hosts), id: fmt.Sprintf("%s-%s", zones[zone].zone, service), service: service,
		region: zones[zone].region, zone: zones[zone].zone, ip: fmt.Sprintf("127.%d.%d.%d", m.net, zone+1, i+1), slots: m.opts.slots,
	}
	h.recordFile = filepath.Join(m.dir, h.id+".record")
	m.hosts = append(m.hosts, h)
	proxied := h.proxied()
	_, err := m.proxy.ListenTCP(fmt.Sprintf("%s:%d", proxied, portLink), h.addr(portLink))
	assert.NilError(m.t, err)
	_, err = m.proxy.ListenTCP(fmt.Sprintf("%s:%d", proxied, portAdmin), h.addr(portAdmin))
	assert.NilError(m.t, err)
	_, err = m.proxy.ListenUDP(fmt.Sprintf("%s:%d", proxied, portGossip), h.addr(portGossip))
	assert.NilError(m.t, err)
}

// waitReady waits until every node knows every target.
func (m *mesh) waitReady() {
	m.t.Helper()
	begin := time.Now()
	defer func() { m.t.Logf("all nodes know all targets after %s", time.Since(begin).Round(10*time.Millisecond)) }()
	poll.WaitOn(m.t, func(poll.LogT) poll.Result {
		for _, h := range m.hosts {
			s, err := h.status()
			if err != nil || !s.Ready || !s.TargetPresent {
				return poll.Continue("node %s is not ready: %v", h.id, err)
			}
			if n, err := h.peers(); err != nil || n < len(m.hosts) {
				return poll.Continue("node %s knows %d of %d targets: %v", h.id, n, len(m.hosts), err)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(40*time.Second), poll.WithDelay(50*time.Millisecond))
}

// find returns the host of a service in an availability zone, by index.
func (m *mesh) find(zone int, service string) *host {
	for _, h := range m.hosts {
		if h.zone == zones[zone].zone && h.service == service {
			return h
		}
	}
	m.t.Fatalf("no %s in zone %d", service, zone)
	return nil
}

// rule is the rule of the proxy, by the IP numbers of both ends.
func (m *mesh) rule(from, to string) faultproxy.Rule {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r, ok := m.rules[from+">"+to]; ok {
		return r
	}
	if r, ok := m.rules[from+">*"]; ok {
		return r
	}
	return m.rules["*>"+to]
}

// setRule sets the rule from one host to another; "*" stands for all hosts.
func (m *mesh) setRule(from, to string, r faultproxy.Rule) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rules[from+">"+to] = r
}

// cut drops everything between two hosts, both ways.
func (m *mesh) cut(a, b string) {
	m.setRule(a, b, faultproxy.Rule{Drop: true})
	m.setRule(b, a, faultproxy.Rule{Drop: true})
}

// heal removes all rules.
func (m *mesh) heal() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rules = map[string]faultproxy.Rule{}
}

// stop ends all processes by their ids.
func (m *mesh) stop() {
	for _, h := range m.hosts {
		for _, p := range []*process{h.node, h.target} {
			if p != nil {
				p.kill()
			}
		}
	}
	if m.platform != nil {
		m.platform.kill()
	}
	m.proxy.Close()
	if m.t.Failed() {
		m.dumpLogs()
	}
}

// dumpLogs shows the last lines of every node that logged something.
func (m *mesh) dumpLogs() {
	for _, h := range m.hosts {
		content, _ := os.ReadFile(h.node.log)
		lines := strings.Split(strings.TrimSpace(string(content)), "\n")
		m.t.Logf("%s:\n%s", h.id, strings.Join(lines[max(0, len(lines)-8):], "\n"))
	}
}

// executions counts the executions by request id over all targets, those of
// killed ones included.
func (m *mesh) executions(path string) map[string]int {
	m.t.Helper()
	counts := map[string]int{}
	for _, h := range m.hosts {
		f, err := os.Open(h.recordFile)
		if os.IsNotExist(err) {
			continue
		}
		assert.NilError(m.t, err)
		sc := bufio.NewScanner(f)
		for sc.Scan() {
			var r target.Record
			if json.Unmarshal(sc.Bytes(), &r) == nil && strings.HasPrefix(r.Path, path) {
				counts[r.RequestID]++
			}
		}
		_ = f.Close()
	}
	return counts
}
