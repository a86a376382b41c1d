package targetstate

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/departure"
)

// exploreDepth is the number of events of the explored orders.
var exploreDepth = flag.Int("explore-depth", 6, "number of events of the orders that TestAllOrdersOfEvents explores")

const (
	// step is the time that passes with a wait. Messages may be late by four steps,
	// just less than departure.LateLimit, and a target is lost after three.
	step    = 2400 * time.Millisecond
	maxLate = 4
)

// message is a statement of a target on its way to the node.
type message struct {
	start    int64
	sequence int64
	draining bool
	withdraw bool
	// named is set if a withdrawal names the start.
	named bool
	sent  int
}

// world is a target and the node beside it. It is a value, so that an exploration can
// return to an earlier one.
type world struct {
	// steps is the time in steps.
	steps int
	// start numbers the incarnation that runs, and sequence its heartbeats.
	start, sequence int64
	// startedAt has the time of the start of each incarnation in Unix ms, and ids its ID.
	startedAt [4]int64
	ids       [4]string
	// clockBack is the time by which the clock was set back, in ms.
	clockBack int64
	// draining, leaving and gone are what the target has said of itself in heartbeats,
	// in a response and by its withdrawal.
	draining, leaving, gone bool
	// acked has the starts of the incarnations whose departure was acknowledged.
	acked [4]bool
	// odd is set once another writer has sent a heartbeat without its start, and told
	// once the node has got a statement that names one.
	odd, told bool
	// kept has the departures in the store, and held those that other nodes hold.
	kept, held []departure.Departure
	flying     []message
	machine    Machine
	ledger     departure.Ledger
	// storeDown is set during an outage of the store. session is set while the store has
	// the session of the process of the node, and earlier if it has those of processes
	// before.
	storeDown, session, earlier bool
}

func newWorld() world {
	w := world{start: 1, startedAt: [4]int64{1: 9_999_000}, ids: [4]string{1: "i"}}
	w.startNode()
	return w
}

func (w *world) now() Time {
	// A withdrawal and the start before or after it differ in time, also between waits.
	return Time{Uptime: time.Duration(w.steps) * step, WallMillis: 10_000_000 + int64(w.steps)*step.Milliseconds() + 2*w.start - w.clockBack}
}

// key is a text that is the same for worlds that behave alike.
func (w *world) key() string {
	m := &w.machine
	return fmt.Sprint(w.start, w.startedAt, w.ids, w.clockBack, w.sequence, w.draining, w.leaving, w.gone, w.acked, w.odd, w.told, w.kept, w.steps, w.flying,
		w.held, w.storeDown, w.session, w.earlier, w.ledger,
		m.target, m.known, m.announcedAt, m.leaving, m.startsNamed, m.contender, m.departed, m.distrust, m.unconfirmed)
}

func (w world) clone() world {
	w.kept, w.flying, w.held = slices.Clone(w.kept), slices.Clone(w.flying), slices.Clone(w.held)
	w.ledger = w.ledger.Clone()
	w.machine.departed = w.machine.departed.Clone()
	return w
}

// announce passes a heartbeat to the node.
func (w *world) announce(start, sequence int64, draining bool) Result {
	w.told = w.told || start != 0
	return w.machine.Announce(Announcement{
		ID: w.ids[start], Address: "127.0.0.1:1", Service: "a", Slots: 1, StartedAtMillis: w.startedAt[start], Sequence: sequence, Draining: draining,
	}, w.now())
}

// deliver passes a message to the node, and keeps the departure before it is
// acknowledged.
func (w *world) deliver(x message) {
	if x.withdraw {
		named := int64(0)
		if x.named {
			named = w.startedAt[x.start]
		}
		if w.keep(w.machine.Withdraw(w.ids[x.start], named, w.now())) {
			w.acked[x.start] = true
		}
		return
	}
	r := w.announce(x.start, x.sequence, x.draining)
	if r.Rejected {
		return
	}
	if w.keep(r) && x.draining {
		w.acked[x.start] = true
	}
}

// keep keeps the departure of a result as far as that is possible, and reports whether
// it may be acknowledged.
func (w *world) keep(r Result) bool {
	if r.Departure == nil {
		return true
	}
	d := *r.Departure
	if !w.ledger.Add(rowKey(&d), d) {
		return true
	}
	w.held = append(w.held, d)
	if !w.storeDown {
		w.write(d)
		return true
	}
	return w.ledger.NodesSuffice(w.now().Uptime)
}

func (w *world) write(d departure.Departure) {
	w.kept = append(w.kept, d)
	w.ledger.Written(rowKey(&d), d)
}

// writePending writes what is not in the store, and the session.
func (w *world) writePending() {
	for _, key := range slices.Sorted(maps.Keys(w.ledger.Pending())) {
		w.write(w.ledger.Pending()[key])
	}
	w.session = true
	w.ledger.BeginSession(time.Hour)
}

func rowKey(d *departure.Departure) string { return fmt.Sprint(d.TargetID, d.StartedAtMillis) }

// startNode starts a process of the node, which knows nothing of the one before.
func (w *world) startNode() {
	w.session, w.earlier = false, w.session || w.earlier
	w.machine, w.ledger = Machine{HeartbeatInterval: interval}, departure.Ledger{}
	w.machine.Distrust(w.now())
	w.told = false
	w.read()
}

// read reads the store at the start of a process, or when it is back.
func (w *world) read() {
	if w.storeDown {
		return
	}
	for _, d := range w.kept {
		w.ledger.Written(rowKey(&d), d)
		w.machine.Learn(d, w.now())
		w.told = w.told || d.StartedAtMillis != 0
	}
	var sessions []string
	if w.earlier {
		sessions = []string{"earlier"}
	}
	w.ledger.Read(sessions)
	if w.ledger.Complete() {
		w.machine.Trust()
	}
	w.writePending()
}

// event is something that can happen to a world. apply returns false if it cannot.
type event struct {
	name  string
	apply func(w *world) bool
}

// heartbeat sends a heartbeat, and delivers it at once unless it is late.
func heartbeat(late bool) func(w *world) bool {
	return func(w *world) bool {
		if w.gone {
			return false
		}
		w.sequence++
		x := message{start: w.start, sequence: w.sequence, draining: w.draining, sent: w.steps}
		if late {
			w.flying = append(w.flying, x)
			return len(w.flying) <= 2
		}
		w.deliver(x)
		return true
	}
}

func withdrawal(named bool) func(w *world) bool {
	return func(w *world) bool {
		if w.gone {
			return false
		}
		w.gone = true
		w.deliver(message{start: w.start, withdraw: true, named: named})
		return true
	}
}

// late delivers the i-th message that is on its way.
func late(i int) func(w *world) bool {
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

// start ends the target and starts it again, under another ID if set.
func start(otherID bool) func(w *world) bool {
	return func(w *world) bool {
		if w.start+1 >= int64(len(w.acked)) {
			return false
		}
		id := w.ids[w.start]
		w.start, w.sequence, w.draining, w.leaving, w.gone = w.start+1, 0, false, false, false
		if w.ids[w.start] = id; otherID {
			w.ids[w.start] = fmt.Sprint("i", w.start)
		}
		w.startedAt[w.start] = w.now().WallMillis - 1
		return true
	}
}

// wait lets time pass, in which a target may miss too many announcements.
func wait(steps int) func(w *world) bool {
	return func(w *world) bool {
		for range steps {
			w.steps++
			w.machine.Expire(w.now())
		}
		w.flying = slices.DeleteFunc(w.flying, func(x message) bool { return w.steps-x.sent > maxLate })
		return true
	}
}

func drain(w *world) bool {
	ok := !w.draining && !w.gone
	w.draining = true
	return ok
}

// respondLeaving lets the target say in a response that it leaves, which the node does
// not acknowledge.
func respondLeaving(w *world) bool {
	t := w.machine.target
	if w.leaving || w.gone || !w.machine.known || t.StartedAtMillis != w.startedAt[w.start] {
		return false
	}
	w.leaving = true
	w.keep(w.machine.StateLeaving(&t, w.now()))
	return true
}

// lose loses the incarnation in force.
func lose(w *world) bool {
	if !w.machine.known {
		return false
	}
	t := w.machine.target
	w.machine.Lose(&t)
	return true
}

func events() []event {
	return []event{
		{"heartbeat", heartbeat(false)},
		{"heartbeat that will be late", heartbeat(true)},
		{"first late heartbeat arrives", late(0)},
		{"second late heartbeat arrives", late(1)},
		{"target drains", drain},
		{"withdrawal", withdrawal(false)},
		{"withdrawal with its start", withdrawal(true)},
		{"target says in a response that it leaves", func(w *world) bool {
			ok := respondLeaving(w)
			w.acked[w.start] = w.acked[w.start] || ok
			return ok
		}},
		{"target exits and starts again", start(false)},
		{"target exits and another starts at its address", start(true)},
		{"connection refused, or another target responded", lose},
		{"node is killed and starts", func(w *world) bool {
			w.startNode()
			return true
		}},
		{"time passes", wait(1)},
		{"three heartbeats are missed", wait(3)},
		{"the clock is set back", func(w *world) bool {
			ok := w.clockBack == 0
			w.clockBack = 3_600_000
			return ok
		}},
		{"odd heartbeat without start", func(w *world) bool {
			if w.odd {
				return false
			}
			w.odd = true
			w.ids[0] = w.ids[w.start]
			w.announce(0, 1_000_000, false)
			return true
		}},
	}
}

// check returns what is broken in a world, or an empty text. fresh is set if the last
// event was a heartbeat that was not late.
func (w *world) check(fresh bool) string {
	t, _ := w.machine.Target()
	if i := slices.Index(w.startedAt[:], t.StartedAtMillis); w.machine.Ready() && i > 0 && w.acked[i] {
		return fmt.Sprintf("the departure of incarnation %d was acknowledged, and it is used", i)
	}
	// An odd heartbeat with the ID of a target that has left would bring it back just
	// the same. Another ID is refused by the target.
	if w.machine.Ready() && t.StartedAtMillis == 0 && t.ID == w.ids[w.start] && w.acked[w.start] && w.told {
		return fmt.Sprintf("the departure of incarnation %d was acknowledged, and an odd heartbeat took its place", w.start)
	}
	// A target that is not confirmed says so when it is asked.
	if t, ok := w.machine.Unconfirmed(); ok && !w.draining && !w.leaving && !w.gone && t.StartedAtMillis == w.startedAt[w.start] {
		c := w.clone()
		c.machine.Confirm(&t)
		w = &c
	}
	// The start of an incarnation that started after the clock was set back is told
	// apart only when no message from before can be late.
	if fresh && !w.draining && !w.leaving && !w.machine.Ready() && w.clockBack == 0 {
		return fmt.Sprintf("incarnation %d has just said that it is ready, and it is not used", w.start)
	}
	return ""
}

// explore plays all orders of up to depth events and returns the first that breaks a
// promise, shortest first, and the number of different worlds. The first event is a
// heartbeat in time.
func explore(all []event, depth int) (broken []string, worlds int) {
	type node struct {
		world world
		path  []string
	}
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

// Explores all orders of heartbeats in time and late, withdrawals, lapses, refusals,
// kills of the node, restarts of the target and an odd heartbeat. Guards against
// requests for a target whose departure was acknowledged (DRAIN), and against a target
// that is lost although it says that it is ready.
func TestAllOrdersOfEvents(t *testing.T) {
	depth := *exploreDepth
	if testing.Short() {
		depth-- // with the race detector
	}
	begin := time.Now()
	broken, worlds := explore(events(), depth)
	t.Logf("depth %d: %d worlds in %v", depth, worlds, time.Since(begin).Round(time.Millisecond))
	assert.Assert(t, broken == nil, "%q", broken)
}
