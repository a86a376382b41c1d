package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// checker follows a controller through a sequence of operations and checks the
// invariants after each.
type checker struct {
	t       *rapid.T
	c       *Controller
	now     time.Duration
	next    uint64
	queued  map[uint64]Job
	running map[uint64]Job
	// probed is set while the checker itself submits a job.
	probed bool
	// parts holds the budget share of each kind.
	parts map[string]float64
}

// spent reports whether a kind holds its part of the limit.
func (k *checker) spent(kind string) bool {
	held := 0.0
	for _, j := range k.running {
		if j.Kind == kind {
			held++
		}
	}
	part := k.parts[kind]
	return part > 0 && part < 1 && held >= part*float64(k.c.Load().Limit)-1e-9
}

// checkBudget is called before a queued job is counted as running.
func (k *checker) checkBudget(j Job) {
	if !k.spent(j.Kind) {
		return
	}
	for id, other := range k.queued {
		if other.Priority == j.Priority && other.Kind != j.Kind && !other.Long && !k.spent(other.Kind) {
			k.t.Fatalf("kind %q starts a job beyond its part while job %d of kind %q waits", j.Kind, id, other.Kind)
		}
	}
}

func (k *checker) op(events []Event) {
	highest := [classes]int{-1, -1}
	ran := false
	for _, e := range events {
		j, ok := k.queued[e.ID]
		if !ok {
			k.t.Fatalf("verdict %v for job %d, which is not queued", e.Verdict, e.ID)
		}
		delete(k.queued, e.ID)
		if e.Verdict == Run {
			k.checkBudget(j)
			k.running[e.ID], ran = j, true
		} else if e.Verdict == RefusedOverload {
			k.note(&highest, j)
		}
	}
	k.check(highest, ran)
}

func (k *checker) note(highest *[classes]int, j Job) {
	cl := short
	if j.Long {
		cl = long
	}
	highest[cl] = max(highest[cl], j.Priority)
}

func (k *checker) submit(j Job) Verdict {
	k.next++
	j.ID, j.BudgetShare = k.next, k.parts[j.Kind]
	v, events := k.c.Submit(k.now, j)
	highest := [classes]int{-1, -1}
	switch v {
	case Run:
		k.checkBudget(j)
		k.running[j.ID] = j
	case Queued:
		k.queued[j.ID] = j
	case RefusedOverload:
		k.note(&highest, j)
	}
	k.op(events)
	k.check(highest, v == Run)
	return v
}

func (k *checker) check(highest [classes]int, ran bool) {
	l, c := k.c.Load(), k.c
	if l.InFlight != len(k.running) || l.Queued != len(k.queued) {
		k.t.Fatalf("load is %+v with %d running and %d queued", l, len(k.running), len(k.queued))
	}
	if l.Limit > c.config.Slots || c.config.Slots > 0 && l.Limit < 1 || l.Queued > c.config.MaxQueueLength {
		k.t.Fatalf("load %+v is out of bounds %+v", l, c.config)
	}
	if ran && l.InFlight > l.Limit {
		k.t.Fatalf("started a job beyond the limit: %+v", l)
	}
	for id, j := range k.queued {
		if l.InFlight < l.Limit && (!j.Long || c.longs < c.longLimit()) {
			k.t.Fatalf("job %d waits although a slot is free: %+v", id, l)
		}
		if j.Priority < highest[short] || j.Long && j.Priority < highest[long] {
			k.t.Fatalf("job %+v is kept while priorities %v are refused", j, highest)
		}
	}
	for cl, p := range highest {
		if p > 0 && !k.probed {
			k.probed = true
			v := k.submit(Job{Kind: "probe", Priority: p - 1, Long: class(cl) == long, Deadline: k.now + time.Hour})
			k.probed = false
			if v == Run || v == Queued {
				k.t.Fatalf("priority %d is admitted (%v) while %d is refused", p-1, v, p)
			}
		}
	}
}

func drawJob(t *rapid.T, now time.Duration) Job {
	deadline := now + time.Duration(rapid.IntRange(-1, 500).Draw(t, "deadline"))*time.Millisecond
	if rapid.Bool().Draw(t, "patient") {
		deadline = never
	}
	return Job{
		Kind:        rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "kind"),
		Client:      rapid.SampledFrom([]string{"", "x", "y", "z"}).Draw(t, "buyer"),
		Priority:    rapid.IntRange(0, 10).Draw(t, "priority"),
		Share:       rapid.SampledFrom([]float64{0, 1, 3}).Draw(t, "share"),
		ClientShare: rapid.SampledFrom([]float64{0, 1, 0.5}).Draw(t, "buyerShare"),
		Long:        rapid.IntRange(0, 4).Draw(t, "long") == 0,
		Deadline:    deadline,
		InChain:     rapid.Bool().Draw(t, "inChain"),
		ChainStart:  now - time.Duration(rapid.IntRange(-5, 500).Draw(t, "chain"))*time.Millisecond,
	}
}

func pick(t *rapid.T, jobs map[uint64]Job, next uint64) uint64 {
	first := uint64(rapid.IntRange(0, int(next)).Draw(t, "id"))
	for id := range next + 1 {
		if _, ok := jobs[(first+id)%(next+1)]; ok {
			return (first + id) % (next + 1)
		}
	}
	return first
}

// Guards against lost slots, jobs with no or two verdicts, a limit that is
// exceeded, lower priorities that are admitted or kept while higher ones are
// refused, and kinds that exceed their part of the limit while another kind of
// the priority waits, after any order of operations.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := func() Config {
			return Config{
				Slots: rapid.IntRange(0, 6).Draw(t, "slots"), MaxQueueLength: rapid.IntRange(0, 30).Draw(t, "maxQueued"),
				MaxQueueTime: time.Duration(rapid.IntRange(0, 100).Draw(t, "maxQueue")) * time.Millisecond,
			}
		}
		k := &checker{t: t, c: New(config()), queued: map[uint64]Job{}, running: map[uint64]Job{}, parts: map[string]float64{}}
		for _, kind := range []string{"a", "b", "c"} {
			k.parts[kind] = rapid.SampledFrom([]float64{0, 0.2, 0.5, 0.7, 1}).Draw(t, "part")
		}
		step := func() {
			k.now += time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond
		}
		finish := func(id uint64, ok bool) {
			delete(k.running, id)
			k.op(k.c.Finish(k.now, id, ok))
		}
		// The kinds are known to take long, so that jobs are also refused for
		// their expected wait.
		for i, kind := range []string{"a", "b", "c"} {
			if k.submit(Job{Kind: kind, Deadline: never}) == Run {
				k.now += time.Duration(rapid.IntRange(0, 40).Draw(t, "service")+10*i) * time.Millisecond
				finish(k.next, true)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) { step(); k.submit(drawJob(t, k.now)) },
			"burst": func(t *rapid.T) {
				for range rapid.IntRange(1, 8).Draw(t, "jobs") {
					k.submit(drawJob(t, k.now))
				}
			},
			"finish": func(t *rapid.T) {
				step()
				finish(pick(t, k.running, k.next), rapid.Bool().Draw(t, "ok"))
			},
			"cancel": func(t *rapid.T) {
				id := pick(t, k.queued, k.next)
				delete(k.queued, id)
				k.op(k.c.Cancel(k.now, id))
			},
			"tick": func(t *rapid.T) {
				step()
				k.op(k.c.Tick(k.now))
				if due, ok := k.c.NextDue(); ok && due <= k.now {
					t.Fatalf("job due at %v is still queued at %v", due, k.now)
				}
			},
			"configure": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "rare") == 0 {
					k.op(k.c.Configure(k.now, config()))
				}
			},
		})
		for len(k.running) > 0 {
			finish(pick(t, k.running, k.next), true)
		}
		k.op(k.c.Tick(k.now + time.Hour))
		if l := k.c.Load(); l.InFlight != 0 || l.Queued != 0 || k.c.longs != 0 || k.c.turning.len() != 0 {
			t.Fatalf("state is left after the last job: %+v, %d long", l, k.c.longs)
		}
	})
}

// Guards against shares that are counted in jobs instead of slot time, and
// against a flooding buyer that takes the share of another one.
func TestSharesOfSlotTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.SampledFrom([]float64{1, 2, 4}).Draw(t, "share")
		ratio := rapid.IntRange(1, 8).Draw(t, "service ratio")
		seed := rapid.Uint64().Draw(t, "seed")
		source := func(kind, buyer string, share float64, service time.Duration, load float64) stream {
			return stream{job: Job{Kind: kind, Client: buyer, Priority: 3, Share: share}, service: service, load: constant(load), deadline: time.Second}
		}
		s := scenario{seed: seed, slots: 10, length: 6 * time.Second, streams: []stream{
			source("a", "flood", 1, 5*time.Millisecond, 4),
			source("a", "modest", 1, 5*time.Millisecond, 1),
			source("b", "", share, 5*time.Millisecond*time.Duration(ratio), 2),
		}}
		all := s.run()
		var work [3]float64
		for i := range work {
			work[i] = summarize(all, i, time.Second, 5*time.Second).work
		}
		if kinds := work[2] / (work[0] + work[1]); kinds < 0.8*share || kinds > 1.25*share {
			t.Fatalf("kinds with shares 1:%v got 1:%v of the slot time", share, kinds)
		}
		if buyers := work[0] / work[1]; buyers > 1.25 || buyers < 0.8 {
			t.Fatalf("buyers with equal shares got %v:1 of the slot time", buyers)
		}
	})
}

// unequalBuyers are two buyers of one kind with equal shares, of which one has
// jobs that are heavier by a factor.
func unequalBuyers(factor int, light, heavy float64) []stream {
	buyer := func(name string, service time.Duration, load float64) stream {
		j := Job{Kind: "a", Client: name, Priority: 3}
		return stream{job: j, service: service, load: constant(load), deadline: time.Second}
	}
	return []stream{
		buyer("light", 5*time.Millisecond, light),
		buyer("heavy", 5*time.Millisecond*time.Duration(factor), heavy),
	}
}

// Guards against a buyer that gets more than its share because its jobs are
// heavier than the mean of their kind.
func TestSharesOfBuyersWithUnequalJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		factor := rapid.IntRange(1, 5).Draw(t, "factor")
		s := scenario{seed: rapid.Uint64().Draw(t, "seed"), slots: 10, length: 6 * time.Second}
		s.streams = unequalBuyers(factor, 2, 2)
		all := s.run()
		light := summarize(all, 0, time.Second, 5*time.Second).work
		heavy := summarize(all, 1, time.Second, 5*time.Second).work
		if part := heavy / (light + heavy); part < 0.42 || part > 0.58 {
			t.Fatalf("buyer with jobs %d times heavier got %.3f of the slot time", factor, part)
		}
		if goodput := (light + heavy) / (4 * float64(s.slots)); goodput < 0.9 {
			t.Fatalf("goodput is %.3f", goodput)
		}
	})
}

// Guards against memory that grows with the number of buyers ever seen.
func TestIdleBuyersAreForgotten(t *testing.T) {
	c := New(Config{Slots: 1, MaxQueueTime: time.Second})
	id := uint64(0)
	submit := func() {
		id++
		c.Submit(0, Job{ID: id, Kind: "a", Client: time.Duration(id).String(), Priority: 1, Deadline: time.Hour})
	}
	for range 10000 {
		submit()
		submit()
		for r := range c.running {
			c.Finish(0, r, false)
		}
	}
	n := len(c.queue.levels[1].class[short].children["a"].children)
	assert.Assert(t, n <= 2*c.queue.len()+maxIdle+1, "%d buyers kept", n)
}
