package soak

import (
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

	"parsleyturn/internal/faultproxy"
	"parsleyturn/platform"
	"parsleyturn/platform/platformtest"
)

// vm is one simulated VM: a real node process and a stand-in for its target.
type vm struct {
	run     *run
	index   int
	ip      string
	service string
	// storeProxy relays the node's connections to the store.
	storeProxy     *faultproxy.Proxy
	settingsFile   string
	callerAddress  string
	controlAddress string

	// busy has a token for each part that a fault affects.
	busy [parts]chan struct{}

	mu sync.Mutex
	// process is nil while no process runs; incarnation counts the processes
	// started so far.
	process *exec.Cmd
	exited  chan struct{}
	// stopping is the process whose exit stop waits for, or nil.
	stopping      *exec.Cmd
	incarnation   int
	upstream      *platformtest.Upstream
	upstreamCount int
	// draining makes the target announce that it is draining, and silent makes it
	// send no heartbeats.
	draining, silent bool
	// lateHeartbeats and oddHeartbeats are faults of the heartbeats.
	lateHeartbeats, oddHeartbeats bool
	// limit is the request rate that the target names in its responses, or 0.
	limit float64
	// leaving makes the target say in its responses that it leaves, and garbled
	// makes it send bytes without end that are no response.
	leaving, garbled bool
	sequence         int
	startedAt        int64
}

const (
	linkPort, relayLinkPort = 7300, 7301
	gossipPort              = 7400
	relayGossipPort         = 7401
	heartbeatInterval       = 500 * time.Millisecond
	gracePeriod             = 6 * time.Second
)

func (r *run) newVM(index int, service string) (*vm, error) {
	v := &vm{run: r, index: index, service: service, ip: fmt.Sprintf("127.%d.%d.1", r.net, index+1), storeProxy: faultproxy.New()}
	v.callerAddress, v.controlAddress = v.ip+":7100", v.ip+":7102"
	for p := range v.busy {
		v.busy[p] = make(chan struct{}, 1)
	}
	store, err := v.storeProxy.ListenTCP(v.ip+":7500", r.storeAddress)
	if err != nil {
		return nil, err
	}
	if _, err := r.meshProxy.ListenTCP(fmt.Sprintf("%s:%d", v.ip, relayLinkPort), fmt.Sprintf("%s:%d", v.ip, linkPort)); err != nil {
		return nil, err
	}
	if _, err := r.meshProxy.ListenUDP(fmt.Sprintf("%s:%d", v.ip, relayGossipPort), fmt.Sprintf("%s:%d", v.ip, gossipPort)); err != nil {
		return nil, err
	}
	zone := fmt.Sprintf("z%d", index%2)
	v.settingsFile = filepath.Join(r.config.Dir, fmt.Sprintf("vm-%d.conf", index))
	settings := platformtest.VMSettings{
		Name: fmt.Sprintf("vm-%d", index), Zone: zone, Service: service, IP: v.ip, CallerAddress: v.callerAddress, ReadyAddress: v.ip + ":7101", ControlAddress: v.controlAddress,
		LinkPort: linkPort, GossipPort: gossipPort, AdvertisedLink: fmt.Sprintf("%s:%d", v.ip, relayLinkPort), AdvertisedGossip: fmt.Sprintf("%s:%d", v.ip, relayGossipPort),
		StoreAddress: store, Heartbeat: heartbeatInterval, GracePeriod: gracePeriod,
	}
	if err := settings.WriteSettings(v.settingsFile); err != nil {
		return nil, err
	}
	v.startUpstream()
	return v, nil
}

// residentBytes returns the resident memory of the node process, or 0 if it does
// not run.
func (v *vm) residentBytes() int {
	v.mu.Lock()
	cmd := v.process
	v.mu.Unlock()
	if cmd == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", cmd.Process.Pid))
	if err != nil {
		return 0 // the process has exited
	}
	var size, resident int
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return 0
	}
	return resident * os.Getpagesize()
}

// handleSubCall makes the sub-call of a /chain/ request and responds with 500 if
// it fails. It reports whether it has responded.
func (v *vm) handleSubCall(w http.ResponseWriter, r *http.Request) bool {
	if !strings.HasPrefix(r.URL.Path, "/chain/") {
		return false
	}
	if platformtest.SendSubCall(v.run.httpClient, r, v.index, v.callerAddress, host, "/read/sub").Status == http.StatusOK {
		return false
	}
	w.WriteHeader(http.StatusInternalServerError)
	return true
}

// start starts the node process unless one is running.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(v.run.config.Dir, fmt.Sprintf("vm-%d.log", v.index)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	// The shell sets the limit of descriptors, and becomes the node process.
	cmd := exec.Command("/bin/sh", "-c", `ulimit -n "$1" && exec "$0" mesh`, v.run.config.Binary, fmt.Sprint(descriptors+descriptorsPerVM*v.run.config.VMs))
	cmd.Env = append(os.Environ(), platform.SettingsFileVar+"="+v.settingsFile)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	awaitExec(cmd.Process.Pid)
	exited := make(chan struct{})
	v.process, v.exited = cmd, exited
	v.incarnation++
	v.run.recorder.forgetLeaving(v.index)
	go func() {
		err := cmd.Wait()
		v.mu.Lock()
		defer v.mu.Unlock()
		if v.process == cmd {
			v.process = nil
			v.run.recorder.addViolation("node process of vm-%d exited unexpectedly: %v", v.index, err)
		}
		close(exited)
	}()
	return nil
}

// awaitExec waits until the shell has become the node process, so that no signal ends
// the shell.
func awaitExec(pid int) {
	shell, _ := filepath.EvalSymlinks("/bin/sh")
	for range 1000 {
		if exe, err := os.Readlink(fmt.Sprintf("/proc/%d/exe", pid)); err != nil || exe != shell {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// signal sends a signal to the node process, if there is one.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		_ = v.process.Process.Signal(s) // the process may have exited already
	}
}

// signalStopped sends a signal to the node process that stop is waiting for, or
// else to the running one.
func (v *vm) signalStopped(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.stopping != nil {
		_ = v.stopping.Process.Signal(s) // the process may have exited already
	} else if v.process != nil {
		_ = v.process.Process.Signal(s)
	}
}

// stop sends a signal to the node process and waits for its exit. It reports
// whether the process exited within the grace period, and kills it otherwise.
func (v *vm) stop(s syscall.Signal) bool {
	v.mu.Lock()
	cmd, exited := v.process, v.exited
	if cmd == nil {
		v.mu.Unlock()
		return true
	}
	v.process, v.stopping = nil, cmd // so that start does not report an unexpected exit
	v.mu.Unlock()
	defer func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.stopping = nil
	}()
	_ = cmd.Process.Signal(s)
	select {
	case <-exited:
		return true
	case <-time.After(gracePeriod):
	}
	_ = cmd.Process.Kill()
	<-exited
	return false
}

// freeNet returns the second octet of a loopback network that no other run
// uses.
func freeNet(seed uint64) (int, error) {
	for i := range 100 {
		n := 100 + int((seed+uint64(i))%100)
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.1:7100", n))
		if err == nil {
			_ = l.Close()
			return n, nil
		}
	}
	return 0, fmt.Errorf("no free loopback network from 127.100.0.0/16 to 127.199.0.0/16")
}
