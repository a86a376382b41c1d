package targetstatus

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/departure"
)

// exploreDepth is the number of events of the explored orders.
var exploreDepth = flag.Int("explore-depth", 7, "number of events of the orders that TestAllOrdersOfEvents explores")

const (
	// step is the time that passes with a wait. Announcements may be late by four
	// steps, just less than departure.LateLimit, and a target is lost after two.
	step    = 2400 * time.Millisecond
	maxLate = 4
)

// message is an announcement on its way to the node.
type message struct {
	incarnation int
	state       State
	sent        int
	// process is the one that the announcement before it reached, or 0.
	process int
}

// world is a target and the node beside it. It is a value, so that an exploration can
// return to an earlier one.
type world struct {
	// steps is the time in steps.
	steps int
	// incarnation numbers the process of the target that runs, and state is what it
	// says.
	incarnation int
	state       State
	// ports has the ports at which the incarnations serve.
	ports [4]int
	// acked has the incarnations whose departure was acknowledged.
	acked  [4]bool
	kept   []departure.Departure
	flying []message
	node   machine
	// process numbers the processes of the node, and reached is the one that the latest
	// announcement of the incarnation that runs has reached.
	process, reached int
	// platformDown is set during an outage of the platform.
	platformDown bool
	// displaced is set if a late announcement of another incarnation that had left took
	// the place of one that serves.
	displaced bool
}

func newWorld() world {
	w := world{incarnation: 1, state: Ready, ports: [4]int{1: 1}}
	w.startNode()
	return w
}

// startNode starts a process of the node, which knows nothing of the one before.
func (w *world) startNode() {
	w.process++
	w.node = machine{}
	w.node.distrust(w.now())
	w.read()
}

// read reads the departures, at the start of a process or when the platform is back.
func (w *world) read() {
	if w.platformDown {
		return
	}
	for _, d := range w.kept {
		w.node.learn(d, w.now())
	}
	w.node.trust()
}

func (w *world) now() instant {
	return instant{time.Duration(w.steps) * step, 10_000_000 + int64(w.steps)*step.Milliseconds()}
}

// key is a text that is the same for worlds that behave alike.
func (w *world) key() string {
	m := &w.node
	return fmt.Sprint(w.steps, w.incarnation, w.state, w.ports, w.acked, w.kept, w.flying, w.displaced, w.process, w.reached, w.platformDown, m.distrustUntil, m.target, m.present, m.lastHeartbeat, m.departed)
}

func (w world) clone() world {
	w.kept, w.flying = slices.Clone(w.kept), slices.Clone(w.flying)
	w.node.departed = w.node.departed.Clone()
	return w
}

// deliver passes an announcement to the node, which keeps a departure before it
// acknowledges it.
func (w *world) deliver(x message) {
	a := Announcement{Service: "a", Address: fmt.Sprint("127.0.0.1:", w.ports[x.incarnation]), Slots: 1, Connections: 1, State: x.state, Incarnation: fmt.Sprint(x.incarnation)}
	served := w.node.serves() && w.node.target.Incarnation == fmt.Sprint(w.incarnation)
	known := w.acked[x.incarnation]
	d, _ := w.node.announce(a, x.process == w.process, w.now())
	if d != nil && !w.platformDown {
		w.kept = append(w.kept, *d)
		w.acked[x.incarnation] = true
	}
	if x.incarnation == w.incarnation {
		w.reached = w.process
	}
	if served && known && x.incarnation != w.incarnation && x.state == Ready && !w.node.serves() {
		w.displaced = true
	}
}

// event is something that can happen to a world. apply returns false if it cannot.
type event struct {
	name  string
	apply func(w *world) bool
}

// heartbeat sends an announcement, and delivers it at once unless it is late.
func heartbeat(late bool) func(w *world) bool {
	return func(w *world) bool {
		if w.state == Stopping {
			return false
		}
		x := message{w.incarnation, w.state, w.steps, w.reached}
		if late {
			w.flying = append(w.flying, x)
			return len(w.flying) <= 2
		}
		w.deliver(x)
		return true
	}
}

// arrival delivers the i-th announcement that is on its way.
func arrival(i int) func(w *world) bool {
	return func(w *world) bool {
		if i >= len(w.flying) {
			return false
		}
		x := w.flying[i]
		w.flying = slices.Delete(w.flying, i, i+1)
		w.deliver(x)
		return true
	}
}

// start ends the target and starts another incarnation, at another port if set.
func start(otherPort bool) func(w *world) bool {
	return func(w *world) bool {
		if w.incarnation+1 == len(w.acked) {
			return false
		}
		w.incarnation++
		w.reached = 0
		w.state, w.ports[w.incarnation] = Ready, w.ports[w.incarnation-1]
		if otherPort {
			w.ports[w.incarnation] = w.incarnation
		}
		return true
	}
}

// wait lets time pass, in which a target may miss too many heartbeats.
func wait(steps int) func(w *world) bool {
	return func(w *world) bool {
		for range steps {
			w.steps++
			w.node.lastCheck = w.now().uptime
			if expired, _ := w.node.check(w.now().uptime); expired {
				w.node.withdraw()
			}
		}
		w.flying = slices.DeleteFunc(w.flying, func(x message) bool { return w.steps-x.sent > maxLate })
		return true
	}
}

func events() []event {
	return []event{
		{"heartbeat", heartbeat(false)},
		{"heartbeat that will be late", heartbeat(true)},
		{"first late heartbeat arrives", arrival(0)},
		{"second late heartbeat arrives", arrival(1)},
		{"target drains", func(w *world) bool {
			ok := w.state == Ready
			w.state = Draining
			return ok
		}},
		{"target says that it stops", func(w *world) bool {
			if w.state == Stopping {
				return false
			}
			w.state = Stopping
			w.deliver(message{w.incarnation, Stopping, w.steps, w.reached})
			return true
		}},
		{"target exits and starts again", start(false)},
		{"target exits and another starts at its own port", start(true)},
		{"connection refused", func(w *world) bool { return w.node.withdraw() }},
		{"node is killed and starts", func(w *world) bool {
			w.startNode()
			return true
		}},
		{"the platform goes down", func(w *world) bool {
			ok := !w.platformDown
			w.platformDown = true
			return ok
		}},
		{"the platform is back", func(w *world) bool {
			ok := w.platformDown
			w.platformDown = false
			w.read()
			return ok
		}},
		{"time passes", wait(1)},
		{"heartbeats are missed", wait(2)},
	}
}

// check returns what is broken in a world, or an empty text. fresh is set if the last
// event was a heartbeat that was not late.
func (w *world) check(fresh bool) string {
	if w.node.serves() {
		for i, acked := range w.acked {
			if acked && w.node.target.Incarnation == fmt.Sprint(i) {
				return fmt.Sprintf("the departure of incarnation %d was acknowledged, and it is used", i)
			}
		}
	}
	if fresh && w.node.distrustUntil > w.now().uptime {
		// Its next announcement names the process that this one has reached.
		c := w.clone()
		heartbeat(false)(&c)
		w = &c
	}
	switch {
	case fresh && w.state == Ready && (!w.node.serves() || w.node.target.Incarnation != fmt.Sprint(w.incarnation)):
		return fmt.Sprintf("incarnation %d has just said that it is ready, and it is not used", w.incarnation)
	case w.displaced:
		return fmt.Sprintf("a late heartbeat of a target that had left took the place of incarnation %d", w.incarnation)
	}
	return ""
}

// explore plays all orders of up to depth events and returns the first that breaks a
// promise, shortest first, and the number of different worlds.
func explore(depth int) (broken []string, worlds int) {
	type node struct {
		world world
		path  []string
	}
	all := events()
	seen := map[string]bool{}
	frontier := []node{{world: newWorld()}}
	for range depth {
		var next []node
		for _, n := range frontier {
			for i, e := range all {
				w := n.world.clone()
				if !e.apply(&w) {
					continue
				}
				path := append(slices.Clone(n.path), e.name)
				if why := w.check(i == 0); why != "" {
					return append(path, why), len(seen)
				}
				if key := w.key(); !seen[key] {
					seen[key] = true
					next = append(next, node{w, path})
				}
			}
		}
		frontier = next
	}
	return nil, len(seen)
}

// Explores all orders of heartbeats in time and late, drains, stops, lapses, refused
// connections, outages of the platform, kills of the node and restarts of the target.
// Guards against requests for
// a target whose departure was acknowledged, and against a target that is lost although
// it says that it is ready.
func TestAllOrdersOfEvents(t *testing.T) {
	depth := *exploreDepth
	if testing.Short() {
		depth -= 2 // with the race detector
	}
	begin := time.Now()
	broken, worlds := explore(depth)
	t.Logf("depth %d: %d worlds in %v", depth, worlds, time.Since(begin).Round(time.Millisecond))
	assert.Assert(t, broken == nil, "%q", broken)
}
