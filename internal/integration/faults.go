package integration

import (
	"syscall"
	"time"

	"parsleyturn/internal/faultproxy"
	standin "parsleyturn/internal/standin/platform"
	"parsleyturn/internal/standin/target"
)

// scene is what a fault acts on: requests enter at entry; victim is a host
// that runs bookings or reports.
type scene struct {
	m      *mesh
	entry  *host
	victim *host
}

// faultCase is a fault that can be injected at any step.
type faultCase struct {
	name string
	// inject starts the fault.
	inject func(s *scene)
	// lasts is how long the fault stays before it is cleared.
	lasts time.Duration
}

const (
	shortFault = 1500 * time.Millisecond
	// pauseTime exceeds the link's silence limit and the target's heartbeat
	// limit.
	pauseTime = 3500 * time.Millisecond
)

func stopProcess(get func(s *scene) *process) func(s *scene) {
	return func(s *scene) { get(s).signal(syscall.SIGSTOP) }
}

func killProcess(get func(s *scene) *process) func(s *scene) {
	return func(s *scene) { get(s).kill() }
}

func victimNode(s *scene) *process   { return s.victim.node }
func victimTarget(s *scene) *process { return s.victim.target }
func entryNode(s *scene) *process    { return s.entry.node }

// between sets a rule for the traffic between entry and victim.
func between(r faultproxy.Rule, toVictim, toEntry bool) func(s *scene) {
	return func(s *scene) {
		if toVictim {
			s.m.setRule(s.entry.ip, s.victim.ip, r)
		}
		if toEntry {
			s.m.setRule(s.victim.ip, s.entry.ip, r)
		}
	}
}

// cutZone separates the victim's availability zone from the others and from
// the platform.
func cutZone(s *scene) {
	for _, a := range s.m.hosts {
		if a.zone != s.victim.zone {
			continue
		}
		s.m.cut(a.ip, s.m.platformIP)
		for _, b := range s.m.hosts {
			if b.zone != a.zone {
				s.m.cut(a.ip, b.ip)
			}
		}
	}
}

func replaceVM(s *scene) {
	s.victim.node.kill()
	s.victim.target.kill()
	s.victim.startNode()
	s.victim.startTarget()
}

// both injects two faults at once.
func both(a, b func(s *scene)) func(s *scene) {
	return func(s *scene) {
		a(s)
		b(s)
	}
}

func platformFault(f standin.Faults) func(s *scene) {
	return func(s *scene) { s.m.platformFaults(f) }
}

func targetFault(f target.Faults) func(s *scene) {
	return func(s *scene) { s.victim.faults(f) }
}

func silence(s *scene) { s.m.proxy.Blackhole("", s.victim.ip) }

var (
	dropAll  = faultproxy.Rule{Drop: true}
	narrow   = func() faultproxy.Rule { return faultproxy.Rule{Limiter: faultproxy.NewLimiter(50_000)} }
	killNode = killProcess(victimNode)
)

// faultCases are the faults of the matrix, singly and in pairs.
var faultCases = []faultCase{
	{"none", func(*scene) {}, 0},
	{"kill node", killNode, shortFault},
	{"kill entry node", killProcess(entryNode), shortFault},
	{"kill target", killProcess(victimTarget), shortFault},
	{"pause node", stopProcess(victimNode), pauseTime},
	{"pause entry node", stopProcess(entryNode), pauseTime},
	{"pause target", stopProcess(victimTarget), pauseTime},
	{"cut both ways", between(dropAll, true, true), pauseTime},
	{"cut towards target", between(dropAll, true, false), pauseTime},
	{"cut towards caller", between(dropAll, false, true), pauseTime},
	{"cut zone", cutZone, pauseTime},
	{"delay 300 ms", between(faultproxy.Rule{Delay: 300 * time.Millisecond}, true, true), shortFault},
	{"narrow link", func(s *scene) { between(narrow(), true, true)(s) }, shortFault},
	{"silent connections", silence, shortFault},
	{"reset connections", func(s *scene) { s.m.proxy.Reset("", s.victim.ip) }, shortFault},
	{"platform down", platformFault(standin.Faults{Refuse: true}), shortFault},
	{"platform hangs", platformFault(standin.Faults{Hang: true}), shortFault},
	{"platform slow", platformFault(standin.Faults{DelayMS: 2000}), shortFault},
	{"platform loses answers", platformFault(standin.Faults{DropResponses: 10}), shortFault},
	{"replace VM", replaceVM, shortFault},
	{"drain node", func(s *scene) { s.victim.node.signal(syscall.SIGTERM) }, pauseTime},
	{"drain entry node", func(s *scene) { s.entry.node.signal(syscall.SIGTERM) }, pauseTime},
	{"drain target", func(s *scene) { s.victim.target.signal(syscall.SIGTERM) }, pauseTime},
	{"target stops announcing", targetFault(target.Faults{StopAnnouncing: true}), pauseTime},
	{"target sheds", targetFault(target.Faults{Shed: true}), shortFault},
	{"target hangs", targetFault(target.Faults{Hang: true}), shortFault},
	{"target cuts answers", targetFault(target.Faults{TruncateShare: 0.5}), shortFault},
	{"target 5 times slower", targetFault(target.Faults{SlowFactor: 5}), shortFault},

	{"pause node + cut towards caller", both(stopProcess(victimNode), between(dropAll, false, true)), pauseTime},
	{"kill node + platform down", both(killNode, platformFault(standin.Faults{Refuse: true})), shortFault},
	{"replace VM + platform down", both(platformFault(standin.Faults{Refuse: true}), replaceVM), shortFault},
	{"silent connections + kill entry node", both(silence, killProcess(entryNode)), shortFault},
	{"cut both ways + kill target", both(between(dropAll, true, true), killProcess(victimTarget)), pauseTime},
	{"pause target + pause node", both(stopProcess(victimTarget), stopProcess(victimNode)), pauseTime},
	{"delay 300 ms + silent connections", both(between(faultproxy.Rule{Delay: 300 * time.Millisecond}, true, true), silence), shortFault},
	{"cut zone + platform down", both(cutZone, platformFault(standin.Faults{Refuse: true})), pauseTime},
}

// restore ends every fault and brings back every process.
func (m *mesh) restore() {
	m.t.Helper()
	m.heal()
	m.platformFaults(standin.Faults{})
	for _, h := range m.hosts {
		for _, p := range []*process{h.node, h.target} {
			p.signal(syscall.SIGCONT)
		}
		if h.node.ended() {
			h.startNode()
		}
		if h.target.ended() {
			h.startTarget()
		}
	}
}

// clearTargetFaults waits for the control API of restarted targets.
func (m *mesh) clearTargetFaults() {
	for _, h := range m.hosts {
		for range 100 {
			resp, err := m.client.Get(h.control() + "/standin/faults")
			if err == nil {
				_ = resp.Body.Close()
				h.faults(target.Faults{})
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// ended reports whether the process has ended. A draining process is given
// time to end by itself.
func (p *process) ended() bool {
	select {
	case err := <-p.done:
		p.done <- err
		return true
	default:
		return false
	}
}
