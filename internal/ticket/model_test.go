package ticket

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "parsleyturn/internal/rapidseed"
)

// model simulates callers, two entry nodes and the node that issues tickets,
// which uses the real Issuer and DedupStore. Requests in the network may be
// delivered in any order, more than once or never; responses may be lost.
type model struct {
	now            time.Duration
	incarnation    uint64
	key            byte
	issuer         *Issuer
	store          *DedupStore
	tickets        []string
	executions     map[string]int
	reportedNotRun map[string]bool
	network        []message
	// running and queued are the executions of the current incarnation that are
	// in progress at the target and those that wait for admission.
	running, queued []execution
	// stepCounts counts the steps and outcomes that occurred.
	stepCounts map[string]int
}

type message struct {
	entry  int
	ticket string
}

type execution struct {
	message
	claims Claims
}

const modelRetention = 5 * time.Second

// restartNode replaces the node by a new process. The incarnation is derived
// from the start time and may repeat when the clock is set back, but the key is
// always new.
func (m *model) restartNode(incarnation uint64) {
	m.incarnation = incarnation
	m.key++
	m.issuer = NewIssuer("n", incarnation, []byte{m.key}, 3*time.Second)
	m.store = NewDedupStore(modelRetention, 20)
	m.running, m.queued = nil, nil // the target may finish its work, but gets no more requests
}

// reportNotRun tells the caller "not run" if that is the outcome and the link of
// the entry node is up. Other outcomes are not delivered, as the model checks
// only this one.
func (m *model) reportNotRun(t *rapid.T, msg message, notRun, linkUp bool) {
	if !notRun || !linkUp {
		return
	}
	m.reportedNotRun[msg.ticket] = true
	if m.executions[msg.ticket] > 0 {
		t.Fatalf("ticket %q was executed, but its caller is told \"not run\"", msg.ticket)
	}
}

// receive handles a request at the issuing node.
func (m *model) receive(t *rapid.T, msg message, linkUp bool) {
	claims, err := m.issuer.Verify(msg.ticket, "order")
	if err != nil {
		if !errors.Is(err, ErrOtherIncarnation) {
			t.Fatalf("ticket %q was refused with error %v", msg.ticket, err)
		}
		m.stepCounts["foreign"]++
		return // The outcome is unknown.
	}
	switch status, _ := m.store.Use(m.now, claims); status {
	case Fresh:
		m.queued = append(m.queued, execution{msg, claims})
	case Running:
		m.stepCounts["join"]++
		joined := m.store.Wait(claims, func(s Status, _ *Response) {
			m.reportNotRun(t, msg, s == Void, linkUp)
		})
		if !joined {
			t.Fatalf("ticket %q is running, but Wait returned false", msg.ticket)
		}
	case Done:
		m.stepCounts["recorded"]++
	case DoneUnrecorded:
		m.stepCounts["unrecorded"]++
	case Void:
		m.stepCounts["void"]++
		m.reportNotRun(t, msg, true, linkUp)
	case Expired:
		m.stepCounts["expired"]++
		m.reportNotRun(t, msg, true, linkUp)
	}
}

// drawElement draws an element of list and removes it unless keep is set.
func drawElement[T any](t *rapid.T, list *[]T, keep bool) T {
	i := rapid.IntRange(0, len(*list)-1).Draw(t, "index")
	v := (*list)[i]
	if !keep {
		*list = append((*list)[:i:i], (*list)[i+1:]...)
	}
	return v
}

// step draws and executes one of the steps that are currently possible.
func (m *model) step(t *rapid.T) {
	linkUp := rapid.Bool()
	steps := []string{"issue", "issue", "pass"}
	add := func(possible bool, names ...string) {
		if possible {
			steps = append(steps, names...)
		}
	}
	add(len(m.tickets) > 0, "send", "send", "send", "send")
	add(len(m.network) > 0, "arrive", "arrive", "arrive", "arrive", "lose")
	add(len(m.queued) > 0, "start", "refuse")
	add(len(m.running) > 0, "finish")
	add(rapid.IntRange(0, 9).Draw(t, "rarely") == 0, "replace")
	step := rapid.SampledFrom(steps).Draw(t, "step")
	m.stepCounts[step]++
	switch step {
	case "issue":
		tk, err := m.issuer.Issue(m.now, "order")
		if err != nil {
			t.Fatal(err)
		}
		m.tickets = append(m.tickets, tk)
	case "send":
		m.network = append(m.network, message{rapid.IntRange(0, 1).Draw(t, "entry"), drawElement(t, &m.tickets, true)})
	case "arrive":
		msg := drawElement(t, &m.network, rapid.IntRange(0, 3).Draw(t, "twice") == 0)
		m.receive(t, msg, linkUp.Draw(t, "link up"))
	case "lose":
		drawElement(t, &m.network, false)
	case "start":
		e := drawElement(t, &m.queued, false)
		m.executions[e.ticket]++
		m.running = append(m.running, e)
	case "refuse":
		e := drawElement(t, &m.queued, false)
		m.store.Finish(e.claims, Void, nil)
		m.reportNotRun(t, e.message, true, linkUp.Draw(t, "link up"))
	case "finish":
		e := drawElement(t, &m.running, false)
		if rapid.Bool().Draw(t, "recorded") {
			m.store.Finish(e.claims, Done, &Response{Body: make([]byte, 8)})
		} else {
			m.store.Finish(e.claims, DoneUnrecorded, nil)
		}
	case "replace":
		m.restartNode(m.incarnation + rapid.Uint64Range(0, 1).Draw(t, "clock moved"))
	case "pass":
		m.now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
	}
	for tk, n := range m.executions {
		if n > 1 || m.reportedNotRun[tk] {
			t.Fatalf("ticket %q was executed %d times; caller told \"not run\": %v", tk, n, m.reportedNotRun[tk])
		}
	}
}

// Guards against executing a ticket twice, and against reporting "not run" for a
// ticket that was or will be executed. Retries through two entry nodes, lost
// links, refusals, node restarts, expiry and late messages occur in any order.
func TestAtMostOnceModel(t *testing.T) {
	steps := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		m := &model{executions: map[string]int{}, reportedNotRun: map[string]bool{}, stepCounts: steps}
		m.restartNode(1)
		for range 150 {
			m.step(t)
		}
	})
	t.Logf("steps: %v", steps)
	for _, step := range []string{"start", "refuse", "finish", "replace", "join", "recorded", "void", "expired", "unrecorded", "foreign"} {
		if steps[step] == 0 {
			t.Errorf("no run of the model reached step %q", step)
		}
	}
}
