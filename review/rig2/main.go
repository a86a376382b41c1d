// Command rig2 runs the scripted cases of the second review: it starts node
// processes of the project as separate processes on loopback addresses, plays the
// platform's store, upstreams, clients and the network between them, and checks one
// rule. Each case folder names its scenario in run.sh.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRun bounds a run.
const maxRun = 115 * time.Second

// scenario runs one case. It returns the reason why the rule is broken, or "".
type scenario func(r *rig) (broken string, err error)

var scenarios = map[string]scenario{
	"withdrawn": withdrawn,
	"silent":    silentLink,
	"odd":       oddHeartbeat,
	"download":  slowDownload,
	"frozen":    frozenReaders,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 SCENARIO RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(scenarios[os.Args[1]], os.Args[2]))
}

func run(s scenario, record string) int {
	r, err := newRig(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig2:", err)
		return exitNotRun
	}
	defer r.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	var broken string
	done := make(chan struct{})
	go func() {
		defer close(done)
		broken, err = s(r)
	}()
	select {
	case <-done:
	case <-signals:
		r.note("NOT RUN: interrupted")
		return exitNotRun
	case <-time.After(maxRun):
		r.note("NOT RUN: not done after %v", maxRun)
		return exitNotRun
	}
	switch {
	case err != nil:
		r.note("NOT RUN: %v", err)
		return exitNotRun
	case broken != "":
		r.note("BROKEN: %s", broken)
		return exitBroken
	}
	r.note("HELD")
	return exitHeld
}

// rig holds what a scenario has started.
type rig struct {
	dir     string
	binary  string
	trouble bool
	begin   time.Time

	mu     sync.Mutex
	record *os.File
	closer []func() // called last to first
	closed bool
}

func newRig(record string) (*rig, error) {
	binary, err := filepath.Abs("target/parsleyturnd")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(binary); err != nil {
		return nil, fmt.Errorf("%w; run the build of deploy/system.toml first", err)
	}
	dir, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &rig{dir: dir, binary: binary, trouble: os.Getenv("TROUBLE") != "0", begin: time.Now(), record: f}, nil
}

// note writes a line to the record and to standard output.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.record.WriteString(line)
	if !strings.HasPrefix(format, "| ") { // details are in the record only
		fmt.Print(line)
	}
}

// onClose registers a function that close calls, the last one first. After close, it is
// called at once.
func (r *rig) onClose(f func()) {
	r.mu.Lock()
	closed := r.closed
	if !closed {
		r.closer = append(r.closer, f)
	}
	r.mu.Unlock()
	if closed {
		f()
	}
}

func (r *rig) close() {
	r.mu.Lock()
	closers := r.closer
	r.closed = true
	r.mu.Unlock()
	for i := len(closers) - 1; i >= 0; i-- {
		closers[i]()
	}
	_ = r.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	}
}

// node is a process of the project, with the settings of a small deployment.
type node struct {
	rig      *rig
	name     string
	ip       string
	zone     string
	service  string
	store    string
	linkAddr string // advertised to the other nodes, if it is not that of the node
	extra    string // further lines of the settings

	cmd    *exec.Cmd
	exited chan struct{}
}

func (n *node) caller() string  { return n.ip + ":8304" }
func (n *node) control() string { return n.ip + ":8306" }
func (n *node) link() string    { return n.ip + ":8300" }
func (n *node) app() string     { return n.ip + ":8301" }
func (n *node) ready() string   { return n.ip + ":8302" }

// settings are those of DEPLOY.md, with two zones of one region.
const settings = `nodeName=%[1]s
role=node
machineClass=sidecar
serves=sidecar
ip=%[2]s
zone=%[3]s
region=r1
zones.z1=r1
zones.z2=r1
listen.inbound=%[2]s:8300
listen.outbound=%[2]s:8304
listen.ready=%[2]s:8302
listen.control=%[2]s:8306
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
appAddr=%[2]s:8301
service=%[4]s
platform.address=%[5]s
platform.form=table
platform.writesPerS=400
platform.readsPerS=2000
platform.txn=5ms
platform.partWritesS=200
platform.rowBytes=65536
platform.across=false
platform.history=20s
platform.blobBytes=8388608
platform.blob=25ms
platform.blobMbS=80.0
`

// start starts the process as deploy/system.toml does.
func (n *node) start() error {
	file := filepath.Join(n.rig.dir, n.name+".conf")
	text := fmt.Sprintf(settings, n.name, n.ip, n.zone, n.service, n.store) + n.extra
	if n.linkAddr != "" {
		text += "advertise.inbound=" + n.linkAddr + "\n"
	}
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.rig.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(n.rig.binary, "mesh")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PARSLEYTURN_NODE_FILE=" + file}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.cmd, n.exited = cmd, exited
	n.rig.note("| node %s started, process %d", n.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		n.rig.note("| node %s has ended: %v", n.name, err)
		close(exited)
	}()
	n.rig.onClose(func() {
		_ = cmd.Process.Kill() // it may have ended already
		<-exited
	})
	return nil
}
