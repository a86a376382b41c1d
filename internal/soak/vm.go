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

// vm is one VM: a real node process and a stand-in for its target.
type vm struct {
	run     *run
	index   int
	ip      string
	service string
	// store relays the node's calls to the store.
	store    *faultproxy.Proxy
	settings string
	caller   string
	announce string

	mu sync.Mutex
	// process is nil between two processes; incarnation counts them.
	process     *exec.Cmd
	exited      chan struct{}
	incarnation int
	upstream    *platformtest.Upstream
	upstreams   int
	leaving     bool
	down        bool
	sequence    int
	born        int64
}

const (
	linkPort, relayLinkPort = 7300, 7301
	gossipPort              = 7400
	relayGossipPort         = 7401
	heartbeat               = 500 * time.Millisecond
	grace                   = 6 * time.Second
)

func (r *run) newVM(index int, service string) (*vm, error) {
	v := &vm{run: r, index: index, service: service, ip: fmt.Sprintf("127.%d.%d.1", r.net, index+1), store: faultproxy.New()}
	v.caller, v.announce = v.ip+":7100", v.ip+":7102"
	store, err := v.store.ListenTCP(v.ip+":7500", r.storeAddress)
	if err != nil {
		return nil, err
	}
	if _, err := r.links.ListenTCP(fmt.Sprintf("%s:%d", v.ip, relayLinkPort), fmt.Sprintf("%s:%d", v.ip, linkPort)); err != nil {
		return nil, err
	}
	if _, err := r.links.ListenUDP(fmt.Sprintf("%s:%d", v.ip, relayGossipPort), fmt.Sprintf("%s:%d", v.ip, gossipPort)); err != nil {
		return nil, err
	}
	zone := fmt.Sprintf("z%d", index%2)
	v.settings = filepath.Join(r.config.Dir, fmt.Sprintf("vm-%d.conf", index))
	settings := platformtest.VMSettings{
		Name: fmt.Sprintf("vm-%d", index), Zone: zone, Service: service, IP: v.ip, CallerAddress: v.caller, ReadyAddress: v.ip + ":7101", ControlAddress: v.announce,
		LinkPort: linkPort, GossipPort: gossipPort, AdvertisedLink: fmt.Sprintf("%s:%d", v.ip, relayLinkPort), AdvertisedGossip: fmt.Sprintf("%s:%d", v.ip, relayGossipPort),
		StoreAddress: store, Heartbeat: heartbeat, Grace: grace,
	}
	if err := settings.WriteSettings(v.settings); err != nil {
		return nil, err
	}
	v.newUpstream()
	return v, nil
}

// newUpstream starts the next incarnation of the target.
func (v *vm) newUpstream() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.upstreams++
	u := platformtest.NewUpstream(fmt.Sprintf("i-%d-%d", v.index, v.upstreams))
	u.SetProcessingTime(time.Duration(5+5*v.index) * time.Millisecond)
	u.OnExecution(func(run platformtest.Execution) { v.run.record.ran(v.index, u.ID, run) })
	u.SetHandler(func(w http.ResponseWriter, r *http.Request) bool { return v.call(w, r) })
	v.upstream, v.leaving, v.down, v.sequence, v.born = u, false, false, 0, time.Now().UnixMilli()
}

// call makes the call that some requests need on the way.
func (v *vm) call(w http.ResponseWriter, r *http.Request) bool {
	if !strings.HasPrefix(r.URL.Path, "/chain/") {
		return false
	}
	if platformtest.SendSubCall(v.run.http, r, v.caller, host, "/read/sub").Status == http.StatusOK {
		return false
	}
	w.WriteHeader(http.StatusInternalServerError)
	return true
}

// start starts the node's process.
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
	cmd := exec.Command(v.run.config.Binary, "mesh")
	cmd.Env = append(os.Environ(), platform.SettingsFileVar+"="+v.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.process, v.exited = cmd, exited
	v.incarnation++
	go func() {
		err := cmd.Wait()
		v.mu.Lock()
		defer v.mu.Unlock()
		if v.process == cmd {
			v.process = nil
			v.run.record.broken("process of vm-%d ended by itself: %v", v.index, err)
		}
		close(exited)
	}()
	return nil
}

// signal sends a signal to the node's process, if there is one.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		_ = v.process.Process.Signal(s) // the process may have ended just now
	}
}

// end stops the node's process with a signal and waits for it. It reports
// whether the process ended within the grace time.
func (v *vm) end(s syscall.Signal) bool {
	v.mu.Lock()
	cmd, exited := v.process, v.exited
	v.process = nil // its end is no fault of its own
	v.mu.Unlock()
	if cmd == nil {
		return true
	}
	_ = cmd.Process.Signal(s)
	select {
	case <-exited:
		return true
	case <-time.After(grace):
	}
	_ = cmd.Process.Kill()
	<-exited
	return false
}

// beats announces the target until the run ends.
func (v *vm) beats() {
	for v.run.ctx.Err() == nil {
		v.beat()
		select {
		case <-v.run.ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

func (v *vm) beat() {
	v.mu.Lock()
	if v.down {
		v.mu.Unlock()
		return
	}
	v.sequence++
	state := "ready"
	if v.leaving {
		state = "draining"
	}
	u, sequence, born := v.upstream, v.sequence, v.born
	v.mu.Unlock()
	status, err := platformtest.Announce(v.run.http, v.announce, u, v.service, state, sequence, born)
	if err == nil && status == http.StatusOK && state == "draining" {
		v.run.record.left(u.ID)
	}
}

// leave lets the target announce its leaving, serve on for a while and end,
// and starts another one.
func (v *vm) leave(serveOn time.Duration) {
	v.mu.Lock()
	u := v.upstream
	v.leaving = true
	v.mu.Unlock()
	v.beat()
	v.run.sleep(serveOn)
	v.mu.Lock()
	v.down = true
	v.mu.Unlock()
	u.Crash()
	v.newUpstream()
}

// crash ends the target without a word, and starts another one later.
func (v *vm) crash(pause time.Duration) {
	v.mu.Lock()
	u := v.upstream
	v.down = true
	v.mu.Unlock()
	u.Crash()
	v.run.sleep(pause)
	v.newUpstream()
}

// freeNet finds a network of loopback addresses that no other run uses.
func freeNet(seed uint64) (int, error) {
	for i := range 100 {
		n := 100 + int((seed+uint64(i))%100)
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.1:7100", n))
		if err == nil {
			_ = l.Close()
			return n, nil
		}
	}
	return 0, fmt.Errorf("no free loopback network between 127.100.0.0 and 127.199.0.0")
}
