package ticket

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "parsleyturn/internal/rapidseed"
)

// world models callers, two entry nodes and the node that issues tickets, with
// the real Issuer and Ledger. Messages wait in the network and arrive in any
// order, twice or never.
type world struct {
	now         time.Duration
	incarnation uint64
	key         byte
	issuer      *Issuer
	ledger      *DedupStore
	tickets     []string
	ran         map[string]int
	notRun      map[string]bool
	network     []message
	// started and queued are the executions of the present incarnation that
	// the target works on and those that wait for admission.
	started, queued []execution
	// steps counts what was reached.
	steps map[string]int
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

// replace starts the node anew. The start time that numbers incarnations can
// repeat when a clock is set back, the key cannot.
func (w *world) replace(incarnation uint64) {
	w.incarnation = incarnation
	w.key++
	w.issuer = NewIssuer("n", incarnation, []byte{w.key}, 3*time.Second)
	w.ledger = NewDedupStore(modelRetention, 20)
	w.started, w.queued = nil, nil // the target may go on, but nothing more is sent to it
}

// tell passes an outcome to the caller, if the link of the entry node is up.
func (w *world) tell(t *rapid.T, m message, notRun, linkUp bool) {
	if !notRun || !linkUp {
		return
	}
	w.notRun[m.ticket] = true
	if w.ran[m.ticket] > 0 {
		t.Fatalf("ticket %q ran and its caller is told \"not run\"", m.ticket)
	}
}

// arrive is what the issuing node does with a request.
func (w *world) arrive(t *rapid.T, m message, linkUp bool) {
	claims, err := w.issuer.Verify(m.ticket, "order")
	if err != nil {
		if !errors.Is(err, ErrOtherIncarnation) {
			t.Fatalf("ticket %q is refused with %v", m.ticket, err)
		}
		w.steps["foreign"]++
		return // unknown
	}
	switch status, _ := w.ledger.Use(w.now, claims); status {
	case Fresh:
		w.queued = append(w.queued, execution{m, claims})
	case Running:
		w.steps["join"]++
		joined := w.ledger.Wait(claims, func(s Status, _ *Response) {
			w.tell(t, m, s == Void, linkUp)
		})
		if !joined {
			t.Fatalf("ticket %q is running but cannot be joined", m.ticket)
		}
	case Done:
		w.steps["recorded"]++
	case DoneUnrecorded:
		w.steps["unrecorded"]++
	case Void:
		w.steps["void"]++
		w.tell(t, m, true, linkUp)
	case Expired:
		w.steps["expired"]++
		w.tell(t, m, true, linkUp)
	}
}

// take draws an element and removes it unless it is kept.
func take[T any](t *rapid.T, list *[]T, keep bool) T {
	i := rapid.IntRange(0, len(*list)-1).Draw(t, "index")
	v := (*list)[i]
	if !keep {
		*list = append((*list)[:i:i], (*list)[i+1:]...)
	}
	return v
}

// step makes one step that is possible at present.
func (w *world) step(t *rapid.T) {
	linkUp := rapid.Bool()
	steps := []string{"issue", "issue", "pass"}
	add := func(possible bool, names ...string) {
		if possible {
			steps = append(steps, names...)
		}
	}
	add(len(w.tickets) > 0, "send", "send", "send", "send")
	add(len(w.network) > 0, "arrive", "arrive", "arrive", "arrive", "lose")
	add(len(w.queued) > 0, "start", "refuse")
	add(len(w.started) > 0, "finish")
	add(rapid.IntRange(0, 9).Draw(t, "rarely") == 0, "replace")
	step := rapid.SampledFrom(steps).Draw(t, "step")
	w.steps[step]++
	switch step {
	case "issue":
		tk, err := w.issuer.Issue(w.now, "order")
		if err != nil {
			t.Fatal(err)
		}
		w.tickets = append(w.tickets, tk)
	case "send":
		w.network = append(w.network, message{rapid.IntRange(0, 1).Draw(t, "entry"), take(t, &w.tickets, true)})
	case "arrive":
		m := take(t, &w.network, rapid.IntRange(0, 3).Draw(t, "twice") == 0)
		w.arrive(t, m, linkUp.Draw(t, "link up"))
	case "lose":
		take(t, &w.network, false)
	case "start":
		e := take(t, &w.queued, false)
		w.ran[e.ticket]++
		w.started = append(w.started, e)
	case "refuse":
		e := take(t, &w.queued, false)
		w.ledger.Finish(e.claims, Void, nil)
		w.tell(t, e.message, true, linkUp.Draw(t, "link up"))
	case "finish":
		e := take(t, &w.started, false)
		if rapid.Bool().Draw(t, "recorded") {
			w.ledger.Finish(e.claims, Done, &Response{Body: make([]byte, 8)})
		} else {
			w.ledger.Finish(e.claims, DoneUnrecorded, nil)
		}
	case "replace":
		w.replace(w.incarnation + rapid.Uint64Range(0, 1).Draw(t, "clock moved"))
	case "pass":
		w.now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
	}
	for tk, n := range w.ran {
		if n > 1 || w.notRun[tk] {
			t.Fatalf("ticket %q ran %d times, told \"not run\": %v", tk, n, w.notRun[tk])
		}
	}
}

// Guards against two executions under one ticket and against "not run" for a
// ticket that ran or runs later, for repeats over two entry nodes, lost links,
// refusals, replaced nodes, expiry and late messages in any order.
func TestAtMostOnceModel(t *testing.T) {
	steps := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := &world{ran: map[string]int{}, notRun: map[string]bool{}, steps: steps}
		w.replace(1)
		for range 150 {
			w.step(t)
		}
	})
	t.Logf("steps: %v", steps)
	for _, step := range []string{"start", "refuse", "finish", "replace", "join", "recorded", "void", "expired", "unrecorded", "foreign"} {
		if steps[step] == 0 {
			t.Errorf("the model never reached %q", step)
		}
	}
}
