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

// binaryDir is the directory where TestMain puts the programs under test.
var binaryDir string

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

// meshZones has two regions with two availability zones each. A mesh of n zones
// uses the first n.
var meshZones = []struct{ region, zone string }{
	{"Ashanti", "ashanti-1"}, {"Ashanti", "ashanti-2"}, {"Greater Accra", "accra-1"}, {"Greater Accra", "accra-2"},
}

// process is a running program under test.
type process struct {
	cmd     *exec.Cmd
	done    chan error
	logFile string
}

func startProcess(t testing.TB, logFile, program string, args ...string) *process {
	t.Helper()
	f, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	assert.NilError(t, err)
	cmd := exec.Command(filepath.Join(binaryDir, program), args...)
	cmd.Stdout, cmd.Stderr = f, f
	assert.NilError(t, cmd.Start())
	_ = f.Close()
	p := &process{cmd: cmd, done: make(chan error, 1), logFile: logFile}
	go func() { p.done <- cmd.Wait() }()
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill sends SIGKILL and waits up to 10 s for the process to exit.
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

// Ports of every host. Hosts differ by their IP address.
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

// mesh is a deployment in a loopback network of its own, 127.net.0.0/16.
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
	// notRunIDs are the IDs of the requests whose callers got the outcome
	// "not run".
	notRunIDs []string

	mu    sync.Mutex
	rules map[string]faultproxy.Rule
}

var netCounter atomic.Int64

// freeNet returns a number n for which no other test uses 127.n.0.0/16. Test
// runs of other checkouts may use the same machine, so it tries to bind the
// platform's port before it takes a number.
func freeNet(t testing.TB) int {
	for range 250 {
		n := 1 + (os.Getpid()*7+int(netCounter.Add(1)))%250
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", n, portPlatform))
		if err == nil {
			_ = l.Close()
			return n
		}
	}
	t.Fatal("no free loopback network")
	return 0
}

// servicesPerZone are the services that have a host in every availability zone.
var servicesPerZone = []string{"directory", "bookings", "reports"}

// newMesh starts the platform stand-in and, in each of the first n availability
// zones, one host for each service.
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
	m.proxy.SetRules(m.proxyRule)
	m.platformIP = fmt.Sprintf("127.%d.0.1", m.net)
	t.Cleanup(m.stop)
	m.startPlatform()
	m.applyPolicy(1, meshPolicy+opts.policy)
	_, err := m.proxy.ListenTCP(fmt.Sprintf("127.%d.100.1:%d", m.net, portPlatform), m.platformAddr())
	assert.NilError(t, err)
	for z := range n {
		for i, service := range servicesPerZone {
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
	m.platform = startProcess(m.t, filepath.Join(m.dir, "platform.log"), "standin-platform", "--listen", m.platformAddr())
	poll.WaitOn(m.t, func(poll.LogT) poll.Result {
		resp, err := m.client.Get("http://" + m.platformAddr() + "/standin/counts")
		if err != nil {
			return poll.Continue("%v", err)
		}
		_ = resp.Body.Close()
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
}

func (m *mesh) configStore() *configstore.Store {
	c, err := platformclient.New("http://" + m.platformAddr())
	assert.NilError(m.t, err)
	return configstore.New(c)
}

// applyPolicy stores content as the given version of the configuration.
func (m *mesh) applyPolicy(version uint64, content string) {
	m.t.Helper()
	_, err := m.configStore().Apply(context.Background(), configstore.Change{
		ChangeID: fmt.Sprintf("change-%d", version), Author: "test", Reason: "test", Action: "apply", Base: version - 1, Time: time.Now(),
		Files: []policy.File{{Name: "10-integration.toml", Content: []byte(content)}},
	})
	assert.NilError(m.t, err)
}

// setPlatformFaults replaces the faults of the platform stand-in.
func (m *mesh) setPlatformFaults(f standin.Faults) {
	m.t.Helper()
	m.putJSON("http://"+m.platformAddr()+"/standin/faults", f)
}

func (m *mesh) putJSON(url string, v any) {
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
		mesh: m, index: len(m.hosts), id: fmt.Sprintf("%s-%s", meshZones[zone].zone, service), service: service,
		region: meshZones[zone].region, zone: meshZones[zone].zone, ip: fmt.Sprintf("127.%d.%d.%d", m.net, zone+1, i+1), slots: m.opts.slots,
	}
	h.recordFile = filepath.Join(m.dir, h.id+".record")
	m.hosts = append(m.hosts, h)
	proxyIP := h.proxyIP()
	_, err := m.proxy.ListenTCP(fmt.Sprintf("%s:%d", proxyIP, portLink), h.addr(portLink))
	assert.NilError(m.t, err)
	_, err = m.proxy.ListenTCP(fmt.Sprintf("%s:%d", proxyIP, portAdmin), h.addr(portAdmin))
	assert.NilError(m.t, err)
	_, err = m.proxy.ListenUDP(fmt.Sprintf("%s:%d", proxyIP, portGossip), h.addr(portGossip))
	assert.NilError(m.t, err)
}

// waitReady waits until every node is ready and lists every target.
func (m *mesh) waitReady() {
	m.t.Helper()
	begin := time.Now()
	defer func() { m.t.Logf("all nodes list all targets after %s", time.Since(begin).Round(10*time.Millisecond)) }()
	poll.WaitOn(m.t, func(poll.LogT) poll.Result {
		for _, h := range m.hosts {
			s, err := h.status()
			if err != nil || !s.Ready || !s.TargetPresent {
				return poll.Continue("node %s is not ready: %v", h.id, err)
			}
			if n, err := h.peersWithTarget(); err != nil || n < len(m.hosts) {
				return poll.Continue("node %s lists %d of %d targets: %v", h.id, n, len(m.hosts), err)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(40*time.Second), poll.WithDelay(50*time.Millisecond))
}

// hostOf returns the host of a service in the availability zone with the given
// index in meshZones.
func (m *mesh) hostOf(zone int, service string) *host {
	for _, h := range m.hosts {
		if h.zone == meshZones[zone].zone && h.service == service {
			return h
		}
	}
	m.t.Fatalf("mesh has no host of service %s in zone %d", service, zone)
	return nil
}

// proxyRule returns the proxy's rule for traffic between two IP addresses. A
// rule for both addresses comes before one for the sender, and that before one
// for the receiver.
func (m *mesh) proxyRule(from, to string) faultproxy.Rule {
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

// setRule sets the rule for traffic between two IP addresses, in one direction.
// One of them can be "*", which stands for all addresses.
func (m *mesh) setRule(from, to string, r faultproxy.Rule) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rules[from+">"+to] = r
}

// partition drops all traffic between two IP addresses, in both directions.
func (m *mesh) partition(a, b string) {
	m.setRule(a, b, faultproxy.Rule{Drop: true})
	m.setRule(b, a, faultproxy.Rule{Drop: true})
}

// clearRules removes all proxy rules, which heals every partition.
func (m *mesh) clearRules() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rules = map[string]faultproxy.Rule{}
}

// stop kills all processes of the mesh, and logs the end of each node's log if
// the test failed.
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

// dumpLogs prints the last 8 log lines of every node.
func (m *mesh) dumpLogs() {
	for _, h := range m.hosts {
		content, _ := os.ReadFile(h.node.logFile)
		lines := strings.Split(strings.TrimSpace(string(content)), "\n")
		m.t.Logf("%s:\n%s", h.id, strings.Join(lines[max(0, len(lines)-8):], "\n"))
	}
}

// executions counts the executions by request ID, for paths with the given
// prefix. It covers all targets, including processes that were killed since.
func (m *mesh) executions(pathPrefix string) map[string]int {
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
			if json.Unmarshal(sc.Bytes(), &r) == nil && strings.HasPrefix(r.Path, pathPrefix) {
				counts[r.RequestID]++
			}
		}
		_ = f.Close()
	}
	return counts
}
