package integration

import (
	"syscall"
	"time"

	"parsleyturn/internal/faultproxy"
	standin "parsleyturn/internal/standin/platform"
	"parsleyturn/internal/standin/target"
)

// faultScene names the hosts that a fault acts on: victim is a host of the
// service under test, and entry is the host whose node receives the requests.
// entry is nil in tests whose faults act on the victim only.
type faultScene struct {
	m      *mesh
	entry  *host
	victim *host
}

// faultCase is a fault that can be injected at any step of a request.
type faultCase struct {
	name string
	// inject starts the fault.
	inject func(s *faultScene)
	// duration is the time from the injection until the fault is cleared.
	duration time.Duration
}

const (
	shortFaultTime = 1500 * time.Millisecond
	// longFaultTime is longer than link.Timeouts.PeerTimeout and the heartbeat
	// timeout of targets, so that a node detects an unresponsive peer or target
	// before the fault is cleared.
	longFaultTime = 3500 * time.Millisecond
)

func pauseProcess(get func(s *faultScene) *process) func(s *faultScene) {
	return func(s *faultScene) { get(s).signal(syscall.SIGSTOP) }
}

func killProcess(get func(s *faultScene) *process) func(s *faultScene) {
	return func(s *faultScene) { get(s).kill() }
}

func victimNode(s *faultScene) *process   { return s.victim.node }
func victimTarget(s *faultScene) *process { return s.victim.target }
func entryNode(s *faultScene) *process    { return s.entry.node }

// linkFault sets a rule for the traffic between entry and victim, in one or
// both directions.
func linkFault(r faultproxy.Rule, toVictim, toEntry bool) func(s *faultScene) {
	return func(s *faultScene) {
		if toVictim {
			s.m.setRule(s.entry.ip, s.victim.ip, r)
		}
		if toEntry {
			s.m.setRule(s.victim.ip, s.entry.ip, r)
		}
	}
}

// partitionZone drops all traffic between the victim's availability zone and
// the other zones and the platform.
func partitionZone(s *faultScene) {
	for _, a := range s.m.hosts {
		if a.zone != s.victim.zone {
			continue
		}
		s.m.partition(a.ip, s.m.platformIP)
		for _, b := range s.m.hosts {
			if b.zone != a.zone {
				s.m.partition(a.ip, b.ip)
			}
		}
	}
}

func replaceVM(s *faultScene) {
	s.victim.node.kill()
	s.victim.target.kill()
	s.victim.startNode()
	s.victim.startTarget()
}

// combine returns a function that injects two faults, one right after the
// other.
func combine(a, b func(s *faultScene)) func(s *faultScene) {
	return func(s *faultScene) {
		a(s)
		b(s)
	}
}

func platformFault(f standin.Faults) func(s *faultScene) {
	return func(s *faultScene) { s.m.setPlatformFaults(f) }
}

func targetFault(f target.Faults) func(s *faultScene) {
	return func(s *faultScene) { s.victim.setTargetFaults(f) }
}

func blackholeConnections(s *faultScene) { s.m.proxy.Blackhole("", s.victim.ip) }

var (
	dropAll      = faultproxy.Rule{Drop: true}
	lowBandwidth = func() faultproxy.Rule { return faultproxy.Rule{Limiter: faultproxy.NewLimiter(50_000)} }
	killNode     = killProcess(victimNode)
)

// faultCases are the faults of the matrix: single ones first, then pairs.
var faultCases = []faultCase{
	{"none", func(*faultScene) {}, 0},
	{"kill node", killNode, shortFaultTime},
	{"kill entry node", killProcess(entryNode), shortFaultTime},
	{"kill target", killProcess(victimTarget), shortFaultTime},
	{"pause node", pauseProcess(victimNode), longFaultTime},
	{"pause entry node", pauseProcess(entryNode), longFaultTime},
	{"pause target", pauseProcess(victimTarget), longFaultTime},
	{"partition both ways", linkFault(dropAll, true, true), longFaultTime},
	{"partition towards target", linkFault(dropAll, true, false), longFaultTime},
	{"partition towards caller", linkFault(dropAll, false, true), longFaultTime},
	{"partition zone", partitionZone, longFaultTime},
	{"delay 300 ms", linkFault(faultproxy.Rule{Delay: 300 * time.Millisecond}, true, true), shortFaultTime},
	{"low-bandwidth link", func(s *faultScene) { linkFault(lowBandwidth(), true, true)(s) }, shortFaultTime},
	{"blackholed connections", blackholeConnections, shortFaultTime},
	{"reset connections", func(s *faultScene) { s.m.proxy.Reset("", s.victim.ip) }, shortFaultTime},
	{"platform down", platformFault(standin.Faults{Refuse: true}), shortFaultTime},
	{"platform hangs", platformFault(standin.Faults{Hang: true}), shortFaultTime},
	{"platform slow", platformFault(standin.Faults{DelayMS: 2000}), shortFaultTime},
	{"platform loses responses", platformFault(standin.Faults{DropResponses: 10}), shortFaultTime},
	{"replace VM", replaceVM, shortFaultTime},
	{"drain node", func(s *faultScene) { s.victim.node.signal(syscall.SIGTERM) }, longFaultTime},
	{"drain entry node", func(s *faultScene) { s.entry.node.signal(syscall.SIGTERM) }, longFaultTime},
	{"drain target", func(s *faultScene) { s.victim.target.signal(syscall.SIGTERM) }, longFaultTime},
	{"target stops announcing", targetFault(target.Faults{StopAnnouncing: true}), longFaultTime},
	{"target sheds", targetFault(target.Faults{Shed: true}), shortFaultTime},
	{"target hangs", targetFault(target.Faults{Hang: true}), shortFaultTime},
	{"target truncates responses", targetFault(target.Faults{TruncateShare: 0.5}), shortFaultTime},
	{"target 5 times slower", targetFault(target.Faults{SlowFactor: 5}), shortFaultTime},

	{"pause node + partition towards caller", combine(pauseProcess(victimNode), linkFault(dropAll, false, true)), longFaultTime},
	{"kill node + platform down", combine(killNode, platformFault(standin.Faults{Refuse: true})), shortFaultTime},
	{"replace VM + platform down", combine(platformFault(standin.Faults{Refuse: true}), replaceVM), shortFaultTime},
	{"blackholed connections + kill entry node", combine(blackholeConnections, killProcess(entryNode)), shortFaultTime},
	{"partition both ways + kill target", combine(linkFault(dropAll, true, true), killProcess(victimTarget)), longFaultTime},
	{"pause target + pause node", combine(pauseProcess(victimTarget), pauseProcess(victimNode)), longFaultTime},
	{"delay 300 ms + blackholed connections", combine(linkFault(faultproxy.Rule{Delay: 300 * time.Millisecond}, true, true), blackholeConnections), shortFaultTime},
	{"partition zone + platform down", combine(partitionZone, platformFault(standin.Faults{Refuse: true})), longFaultTime},
}

// restoreMesh clears the faults of the network and the platform, resumes paused
// processes and restarts those that have exited.
func (m *mesh) restoreMesh() {
	m.t.Helper()
	m.clearRules()
	m.setPlatformFaults(standin.Faults{})
	for _, h := range m.hosts {
		for _, p := range []*process{h.node, h.target} {
			p.signal(syscall.SIGCONT)
		}
		if h.node.exited() {
			h.startNode()
		}
		if h.target.exited() {
			h.startTarget()
		}
	}
}

// clearTargetFaults clears the faults of every target. It waits up to about 2 s
// for the control API of each, as a target may have just been restarted, and
// skips a target whose control API does not respond by then.
func (m *mesh) clearTargetFaults() {
	for _, h := range m.hosts {
		for range 100 {
			resp, err := m.client.Get(h.controlURL() + "/standin/faults")
			if err == nil {
				_ = resp.Body.Close()
				h.setTargetFaults(target.Faults{})
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// exited reports whether the process has exited. It does not wait, so a
// draining process counts as running.
func (p *process) exited() bool {
	select {
	case err := <-p.done:
		p.done <- err
		return true
	default:
		return false
	}
}
