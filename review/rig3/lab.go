package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of a VM, as in the settings that the pages show.
const (
	upstreamPort = 8301
	readyPort    = 8302
	callerPort   = 8304
	linkPort     = 8300
	controlPort  = 8306
	storePort    = 8309
)

// heartbeat is the time between the heartbeats of an upstream.
const heartbeat = 1500 * time.Millisecond

// lab is a small deployment: node processes, and stand-ins in this process.
type lab struct {
	dir    string
	octet  int
	store  *store
	nodes  []*node
	record *os.File
	begin  time.Time

	mu sync.Mutex
}

// freeOctet returns the second octet of a loopback network that nothing listens on.
func freeOctet() (int, error) {
	for n := 60 + os.Getpid()%60; n < 180; n++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.1:%d", n, callerPort))
		if err == nil {
			_ = l.Close()
			return n, nil
		}
	}
	return 0, fmt.Errorf("no free loopback network")
}

func newLab(recordFile string) (*lab, error) {
	octet, err := freeOctet()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	l := &lab{dir: dir, octet: octet, store: newStore(), record: record, begin: time.Now()}
	return l, nil
}

// logf writes a line to the record, with the time since the start in seconds.
func (l *lab) logf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f  %s\n", time.Since(l.begin).Seconds(), fmt.Sprintf(format, args...))
}

func serve(address string, h http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(listener) }()
	return nil
}

// close kills the node processes and removes the temporary folder.
func (l *lab) close() {
	for _, n := range l.nodes {
		n.signal(syscall.SIGCONT)
		n.kill()
	}
	_ = os.RemoveAll(l.dir)
	_ = l.record.Close()
}

type route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	PathPrefix  string `json:"pathPrefix"`
	Kind        string `json:"kind"`
	Timeout     string `json:"timeout"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"maxAttempts"`
}

// putConfig writes a configuration as the operator does.
func (l *lab) putConfig(version int, routes ...route) {
	services, seen := []map[string]any{}, map[string]bool{}
	for _, r := range routes {
		if !seen[r.Service] {
			seen[r.Service] = true
			services = append(services, map[string]any{"name": r.Service, "healthPath": "/health", "maxConns": 772, "protocol": "h1", "tls": false})
		}
	}
	data, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("r%d", version), "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	})
	if err != nil {
		panic(err)
	}
	l.store.put("op", "config", data)
	l.logf("operator: configuration r%d is acknowledged", version)
}

// node is a VM: a node process and the upstream beside it.
type node struct {
	lab      *lab
	name, ip string
	service  string
	zone     string
	settings string
	entrance *entrance // to the store

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	starts  int
}

// addNode adds a VM of a service. Its process is not started.
func (l *lab) addNode(zone, service string) (*node, error) {
	i := len(l.nodes) + 1
	n := &node{lab: l, name: fmt.Sprintf("sidecar-%s-%d", zone, i), ip: fmt.Sprintf("127.%d.%d.1", l.octet, i), service: service, zone: zone, entrance: &entrance{store: l.store}}
	n.settings = filepath.Join(l.dir, n.name+".conf")
	text := fmt.Sprintf(`nodeName=%[1]s
role=node
machineClass=sidecar
serves=sidecar
ip=%[2]s
zone=%[3]s
region=ashanti
zones.kumasi-a=ashanti
zones.kumasi-b=ashanti
listen.inbound=%[2]s:%[4]d
listen.outbound=%[2]s:%[5]d
listen.ready=%[2]s:%[6]d
listen.control=%[2]s:%[7]d
portRange=7620,7635
seeds=
bootstrap=true
lossCounts=false
limits.cpuShare=0.64
limits.cores=1
limits.memoryMb=284
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=local
entry=local
heartbeat=1500ms
contracts=base,drain,config,cost,retry,recover,pressure,platform
faultTolerance.machines=2
faultTolerance.zones=0
faultTolerance.regions=0
bounds=seedLag=3s,reuseAfter=2s,stabilityWindow=4000ms,ack=4000ms,catchUp=4s,drain=2500ms,grace=6s,lossSlack=200ms,config=2500ms,rollbackSlack=250ms,maxSkew=5000ms,retryBudgetRatio=0.2,budgetWindow=10s,retryBudgetSlack=49,recovery=15s
appAddr=%[2]s:%[8]d
service=%[9]s
platform.address=127.%[10]d.0.%[12]d:%[11]d
platform.form=table
platform.writesPerS=400
platform.readsPerS=2000
platform.txn=5ms
platform.partWritesS=200
platform.rowBytes=65536
platform.across=false
platform.history=20s
`, n.name, n.ip, zone, linkPort, callerPort, readyPort, controlPort, upstreamPort, service, l.octet, storePort, i)
	l.nodes = append(l.nodes, n)
	// Each machine has an address of the store for itself, so that the store can tell the
	// machines apart.
	if err := serve(fmt.Sprintf("127.%d.0.%d:%d", l.octet, i, storePort), n.entrance); err != nil {
		return nil, err
	}
	return n, os.WriteFile(n.settings, []byte(text), 0o600)
}

func (n *node) address(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(n.lab.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/parsleyturnd", "mesh")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PARSLEYTURN_NODE_FILE=" + n.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // ends with the script
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.process, n.exited = cmd, exited
	n.starts++
	n.lab.logf("%s: process %d starts", n.name, n.starts)
	go func() {
		_ = cmd.Wait()
		n.lab.logf("%s: process ended: %v", n.name, cmd.ProcessState)
		close(exited)
	}()
	return nil
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		_ = n.process.Process.Signal(s) // the process may have ended
	}
}

func (n *node) kill() {
	n.mu.Lock()
	cmd, exited := n.process, n.exited
	n.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		<-exited
	}
}

// awaitReady waits until all nodes say that they are ready.
func (l *lab) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range l.nodes {
			resp, err := http.Get("http://" + n.address(readyPort) + "/-/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(l.nodes) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d nodes are ready after %v", ready, len(l.nodes), limit)
		}
	}
}

// control sends a call of an upstream to the control address of its VM, and returns the
// status of the response.
func (n *node) control(method, id, body string) (int, error) {
	req, err := http.NewRequest(method, "http://"+n.address(controlPort)+"/-/instances/"+id, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := (&http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, nil
}
