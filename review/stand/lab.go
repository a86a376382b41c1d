package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"parsleyturn/platform/platformtest"
)

// Bounds of the deployment, as in its settings.
const (
	heartbeatInterval = 1500 * time.Millisecond
	drainBound        = 2500 * time.Millisecond
	stabilityWindow   = 4 * time.Second
)

// Ports of each machine.
const (
	portInbound = 8300 + iota
	portApp
	portReady
	_
	portOutbound
	_
	portControl
)

// machineSpec is a machine of the deployment.
type machineSpec struct{ name, zone, service string }

// lab is a deployment on loopback addresses: the store, and on each machine a node,
// an upstream and clients.
type lab struct {
	record   *record
	dir      string
	prefix   string
	store    *platformtest.Store
	address  string
	machines []*machine
}

type machine struct {
	lab      *lab
	spec     machineSpec
	ip       string
	settings string
	upstream *upstream

	mu  sync.Mutex
	cmd *exec.Cmd
	// startedAt is when the latest process of the node was started.
	startedAt time.Time
	done      chan struct{}
}

// record writes the events of a run to a file.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, begin: time.Now()}, nil
}

func (r *record) printf(format string, args ...any) {
	r.printAt(time.Now(), format, args...)
}

func (r *record) printAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", at.Sub(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// newLab starts the store and writes the settings of the machines.
func newLab(rec *record, config []byte, specs []machineSpec) (*lab, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	l := &lab{record: rec, dir: dir, store: platformtest.NewStore()}
	if l.prefix, err = freePrefix(len(specs)); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", l.prefix+".250.1:8309")
	if err != nil {
		return nil, err
	}
	l.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, plainStore{l.store}) }()
	l.store.Put("op", "config", config)
	for i, spec := range specs {
		m := &machine{lab: l, spec: spec, ip: fmt.Sprintf("%s.%d.1", l.prefix, i+1)}
		m.settings = filepath.Join(dir, spec.name+".conf")
		if err := os.WriteFile(m.settings, []byte(m.settingsText()), 0o600); err != nil {
			return nil, err
		}
		l.machines = append(l.machines, m)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		l.stop()
		os.Exit(2)
	}()
	return l, nil
}

// freePrefix returns an address prefix 127.n in which the ports of the machines are
// free.
func freePrefix(machines int) (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d", 30+rand.IntN(200))
		free := true
		for i := range machines {
			for _, port := range []int{portInbound, portApp, portReady, portOutbound, portControl, 7620, 9464} {
				ln, err := net.Listen("tcp", fmt.Sprintf("%s.%d.1:%d", prefix, i+1, port))
				if err != nil {
					free = false
					break
				}
				_ = ln.Close()
			}
		}
		if free {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback network")
}

func (m *machine) addr(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

func (m *machine) settingsText() string {
	return strings.Join([]string{
		"nodeName=sidecar-" + m.spec.name, "role=node", "machineClass=sidecar", "serves=sidecar", "ip=" + m.ip,
		"zone=" + m.spec.zone, "region=ashanti", "zones.kumasi-a=ashanti", "zones.kumasi-b=ashanti",
		"listen.inbound=" + m.addr(portInbound), "listen.outbound=" + m.addr(portOutbound), "listen.ready=" + m.addr(portReady), "listen.control=" + m.addr(portControl),
		"portRange=7620,7635", "seeds=", "bootstrap=true", "lossCounts=false",
		"limits.cpuShare=0.64", "limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4100", "limits.linkMbps=1000.0", "limits.diskMb=0",
		"discovery=local", "entry=local", "heartbeat=1500ms", "contracts=base,drain,config,cost,retry,recover,pressure,platform",
		"faultTolerance.machines=2", "faultTolerance.zones=0", "faultTolerance.regions=0",
		"bounds=seedLag=3s,reuseAfter=2s,stabilityWindow=4000ms,ack=4000ms,catchUp=4s,drain=2500ms,grace=6s,lossSlack=200ms,config=2500ms,rollbackSlack=250ms,maxSkew=5000ms,retryBudgetRatio=0.2,budgetWindow=10s,retryBudgetSlack=49,recovery=15s",
		"appAddr=" + m.addr(portApp), "service=" + m.spec.service,
		"platform.address=" + m.lab.address, "platform.form=table", "platform.writesPerS=400", "platform.readsPerS=2000", "platform.txn=5ms",
		"platform.partWritesS=200", "platform.rowBytes=65536", "platform.across=false", "platform.history=20s", "platform.blobBytes=8388608", "platform.blob=25ms", "platform.blobMbS=80.0",
	}, "\n") + "\n"
}

// startNode starts the node's program with the command of the deploy file.
func (m *machine) startNode() error {
	log, err := os.OpenFile(filepath.Join(m.lab.dir, m.spec.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/parsleyturnd", "mesh")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "PARSLEYTURN_NODE_FILE=" + m.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cmd, m.startedAt, m.done = cmd, time.Now(), done
	m.lab.record.printf("node %s started, pid %d", m.spec.name, cmd.Process.Pid)
	return nil
}

// signal sends a signal to the node's process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lab.record.printf("node %s gets %v", m.spec.name, s)
	_ = m.cmd.Process.Signal(s)
}

// inTouchAt reports whether the node's process had run for the stability window at t.
func (m *machine) inTouchAt(t time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return t.Sub(m.startedAt) > stabilityWindow
}

// start starts all upstreams and nodes and waits until each route is served at each
// node.
func (l *lab) start(paths []string) error {
	for i, m := range l.machines {
		u, err := newUpstream(m, fmt.Sprintf("i-%08x", 0x5a0e11+i*0x1111))
		if err != nil {
			return err
		}
		m.upstream = u
		if err := m.startNode(); err != nil {
			return err
		}
		go u.announce()
	}
	end := time.Now().Add(20 * time.Second)
	for _, m := range l.machines {
		for _, path := range paths {
			for {
				a := l.send(context.Background(), http.DefaultClient, request{at: m, method: http.MethodGet, path: path, deadline: 2 * time.Second})
				if a.status == http.StatusOK {
					break
				}
				if time.Now().After(end) {
					return fmt.Errorf("%s is not served at %s: status %d, %v", path, m.spec.name, a.status, a.err)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	return nil
}

// stop ends all processes of the lab and deletes its files.
func (l *lab) stop() {
	for _, m := range l.machines {
		m.mu.Lock()
		cmd, done := m.cmd, m.done
		m.mu.Unlock()
		if cmd == nil {
			continue
		}
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-done
	}
	_ = os.RemoveAll(l.dir)
}

// plainStore serves the store without the header field that the pages do not name.
type plainStore struct{ store *platformtest.Store }

type plainWriter struct{ http.ResponseWriter }

func (w plainWriter) WriteHeader(status int) {
	w.Header().Del("Store-Era")
	w.ResponseWriter.WriteHeader(status)
}

func (w plainWriter) Write(p []byte) (int, error) {
	w.Header().Del("Store-Era")
	return w.ResponseWriter.Write(p)
}

func (s plainStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.store.ServeHTTP(plainWriter{w}, r)
}

// request is a client attempt.
type request struct {
	at       *machine
	method   string
	path     string
	body     []byte
	deadline time.Duration
}

// answer is what a client gets.
type answer struct {
	id     string
	sentAt time.Time
	status int
	stamp  string
	body   []byte
	err    error
}

// send sends a client attempt to the node of a machine.
func (l *lab) send(ctx context.Context, c *http.Client, q request) answer {
	a := answer{id: fmt.Sprintf("%016x", rand.Uint64()), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, q.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+q.at.addr(portOutbound)+q.path, bytes.NewReader(q.body))
	if err != nil {
		a.err = err
		return a
	}
	req.GetBody = nil // a client attempt is sent once
	req.Host = "hulo84.example"
	req.Header.Set("Parsleyturn-Request-Id", a.id)
	req.Header.Set("Parsleyturn-Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	resp, err := c.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status, a.stamp = resp.StatusCode, resp.Header.Get("Parsleyturn-Server-Stamp")
	a.body, a.err = io.ReadAll(resp.Body)
	return a
}

// load sends requests at a steady rate until stop is closed, and returns the answers.
func (l *lab) load(stop <-chan struct{}, perSecond int, next func(n int) request) func() []answer {
	var mu sync.Mutex
	var out []answer
	var running sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	running.Go(func() {
		tick := time.NewTicker(time.Second / time.Duration(perSecond))
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			q := next(n)
			running.Go(func() {
				a := l.send(context.Background(), client, q)
				l.record.printAt(a.sentAt, "request %s %s %s sent to %s: status %d, stamp %q, %d bytes, error %v, after %.0f ms", a.id, q.method, q.path, q.at.spec.name, a.status, a.stamp, len(a.body), a.err, time.Since(a.sentAt).Seconds()*1000)
				mu.Lock()
				out = append(out, a)
				mu.Unlock()
			})
		}
	})
	return func() []answer {
		running.Wait()
		client.CloseIdleConnections()
		return out
	}
}

// fds returns the number of descriptors of the node's process.
func fds(m *machine) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", m.cmd.Process.Pid))
	if err != nil {
		return -1
	}
	return len(entries)
}
