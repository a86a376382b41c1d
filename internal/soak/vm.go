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
	ready    string
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
	v.caller, v.ready, v.announce = v.ip+":7100", v.ip+":7101", v.ip+":7102"
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
	text := fmt.Sprintf(`nodeName=vm-%d
ip=%s
zone=%s
region=r
listen.outbound=%s
listen.ready=%s
listen.control=%s
listen.inbound=%s:%d
portRange=%d,%d
advertise.inbound=%s:%d
advertise.gossip=%s:%d
heartbeat=%s
limits.memoryMb=284
bounds=grace=%s,budgetWindow=10s,retryBudgetSlack=49
service=%s
platform.address=%s
`, index, v.ip, zone, v.caller, v.ready, v.announce, v.ip, linkPort, gossipPort, gossipPort, v.ip, relayLinkPort, v.ip, relayGossipPort, heartbeat, grace, service, store)
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
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
	u.SetWork(time.Duration(5+5*v.index) * time.Millisecond)
	u.OnRun(func(run platformtest.Run) { v.run.record.ran(v.index, u.ID, run) })
	u.SetHandler(func(w http.ResponseWriter, r *http.Request) bool { return v.call(w, r) })
	v.upstream, v.leaving, v.down, v.sequence, v.born = u, false, false, 0, time.Now().UnixMilli()
}

// call makes the call that some requests need on the way.
func (v *vm) call(w http.ResponseWriter, r *http.Request) bool {
	if !strings.HasPrefix(r.URL.Path, "/chain/") {
		return false
	}
	id := r.Header.Get("Parsleyturn-Request-Id")
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+v.caller+"/read/sub", nil)
	if err == nil {
		req.Host = host
		req.Header.Set("Parsleyturn-Request-Id", id+".call")
		req.Header.Set("Parsleyturn-Deadline-Ms", r.Header.Get("Parsleyturn-Deadline-Ms"))
		var resp *http.Response
		if resp, err = v.run.http.Do(req); err == nil {
			defer resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return false
			}
		}
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
	cmd.Env = append(os.Environ(), platform.FileVariable+"="+v.settings)
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
	u := v.upstream
	body := u.Beat(v.service, state, v.sequence, v.born)
	v.mu.Unlock()
	req, err := http.NewRequest(http.MethodPut, "http://"+v.announce+"/-/instances/"+u.ID, strings.NewReader(body))
	if err != nil {
		return
	}
	resp, err := v.run.http.Do(req)
	if err != nil {
		return // the node may not run just now
	}
	_ = resp.Body.Close()
	if resp.StatusCode == http.StatusOK && state == "draining" {
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

// isReady asks the node whether it takes requests.
func (v *vm) isReady() bool {
	resp, err := v.run.http.Get("http://" + v.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
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
