package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// invariantChecker applies operations to a controller and checks the invariants
// after each.
type invariantChecker struct {
	t       *rapid.T
	c       *Controller
	now     time.Duration
	next    uint64
	queued  map[uint64]Job
	running map[uint64]Job
	// probing is set while check submits a job of its own.
	probing      bool
	budgetShares map[string]float64
}

// atBudget reports whether a kind uses its budget share of the limit or more.
func (k *invariantChecker) atBudget(kind string) bool {
	used := 0.0
	for _, j := range k.running {
		if j.Kind == kind {
			used++
		}
	}
	share := k.budgetShares[kind]
	return share > 0 && share < 1 && used >= share*float64(k.c.Load().Limit)-1e-9
}

// checkBudget fails if a kind at its budget starts a job while another kind
// below its budget has a queued short job of the same priority. It must be
// called before the job is counted as running.
func (k *invariantChecker) checkBudget(j Job) {
	if !k.atBudget(j.Kind) {
		return
	}
	for id, other := range k.queued {
		if other.Priority == j.Priority && other.Kind != j.Kind && !other.Long && !k.atBudget(other.Kind) {
			k.t.Fatalf("kind %q starts a job beyond its budget while job %d of kind %q waits", j.Kind, id, other.Kind)
		}
	}
}

func (k *invariantChecker) apply(events []Event) {
	highestRefused := [classes]int{-1, -1}
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
			k.recordRefusal(&highestRefused, j)
		}
	}
	k.check(highestRefused, ran)
}

func (k *invariantChecker) recordRefusal(highest *[classes]int, j Job) {
	cl := short
	if j.Long {
		cl = long
	}
	highest[cl] = max(highest[cl], j.Priority)
}

func (k *invariantChecker) submit(j Job) Verdict {
	k.next++
	j.ID, j.BudgetShare = k.next, k.budgetShares[j.Kind]
	v, events := k.c.Submit(k.now, j)
	highestRefused := [classes]int{-1, -1}
	switch v {
	case Run:
		k.checkBudget(j)
		k.running[j.ID] = j
	case Queued:
		k.queued[j.ID] = j
	case RefusedOverload:
		k.recordRefusal(&highestRefused, j)
	}
	k.apply(events)
	k.check(highestRefused, v == Run)
	return v
}

func (k *invariantChecker) check(highest [classes]int, ran bool) {
	l, c := k.c.Load(), k.c
	if l.InFlight != len(k.running) || l.Queued != len(k.queued) {
		k.t.Fatalf("load is %+v, want %d running and %d queued", l, len(k.running), len(k.queued))
	}
	if l.Limit > c.config.Slots || c.config.Slots > 0 && l.Limit < 1 || l.Queued > c.config.MaxQueueLength {
		k.t.Fatalf("load %+v is out of bounds %+v", l, c.config)
	}
	if ran && l.InFlight > l.Limit {
		k.t.Fatalf("started a job beyond the limit: %+v", l)
	}
	for id, j := range k.queued {
		if l.InFlight < l.Limit && c.pacer.ready() && (!j.Long || c.runningLong < c.longLimit()) {
			k.t.Fatalf("job %d waits although a slot is free: %+v", id, l)
		}
		if j.Priority < highest[short] || j.Long && j.Priority < highest[long] {
			k.t.Fatalf("job %+v stays queued while jobs of priorities %v are refused", j, highest)
		}
	}
	for cl, p := range highest {
		if p > 0 && !k.probing {
			k.probing = true
			v := k.submit(Job{Kind: "probe", Priority: p - 1, Long: class(cl) == long, Deadline: k.now + time.Hour})
			k.probing = false
			if v == Run || v == Queued {
				k.t.Fatalf("priority %d is admitted (verdict %v) while priority %d is refused", p-1, v, p)
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
		Kind:               rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "kind"),
		ClientAccount:      rapid.SampledFrom([]string{"", "x", "y", "z"}).Draw(t, "buyer"),
		Priority:           rapid.IntRange(0, 10).Draw(t, "priority"),
		Share:              rapid.SampledFrom([]float64{0, 1, 3}).Draw(t, "share"),
		ClientAccountShare: rapid.SampledFrom([]float64{0, 1, 0.5}).Draw(t, "buyerShare"),
		Long:               rapid.IntRange(0, 4).Draw(t, "long") == 0,
		Deadline:           deadline,
		InChain:            rapid.Bool().Draw(t, "inChain"),
		ChainStart:         now - time.Duration(rapid.IntRange(-5, 500).Draw(t, "chain"))*time.Millisecond,
	}
}

func drawID(t *rapid.T, jobs map[uint64]Job, next uint64) uint64 {
	first := uint64(rapid.IntRange(0, int(next)).Draw(t, "id"))
	for id := range next + 1 {
		if _, ok := jobs[(first+id)%(next+1)]; ok {
			return (first + id) % (next + 1)
		}
	}
	return first
}

// Guards against lost slots, jobs without a verdict or with two, exceeding the
// limit, admitting or keeping queued jobs of lower priorities while higher ones
// are refused, and kinds exceeding their budget while another kind of the same
// priority waits, after any sequence of operations.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := func() Config {
			return Config{
				Slots: rapid.IntRange(0, 6).Draw(t, "slots"), MaxQueueLength: rapid.IntRange(0, 30).Draw(t, "maxQueued"),
				MaxQueueTime: time.Duration(rapid.IntRange(0, 100).Draw(t, "maxQueue")) * time.Millisecond,
				MaxRate:      rapid.SampledFrom([]float64{0, 0, 10, 200}).Draw(t, "maxRate"),
			}
		}
		k := &invariantChecker{t: t, c: New(config()), queued: map[uint64]Job{}, running: map[uint64]Job{}, budgetShares: map[string]float64{}}
		for _, kind := range []string{"a", "b", "c"} {
			k.budgetShares[kind] = rapid.SampledFrom([]float64{0, 0.2, 0.5, 0.7, 1}).Draw(t, "part")
		}
		step := func() {
			k.now += time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond
		}
		finish := func(id uint64, ok bool) {
			delete(k.running, id)
			k.apply(k.c.Finish(k.now, id, ok))
		}
		// Samples of up to 60 ms for the kinds, so that jobs are also refused
		// because of their expected wait.
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
				finish(drawID(t, k.running, k.next), rapid.Bool().Draw(t, "ok"))
			},
			"cancel": func(t *rapid.T) {
				id := drawID(t, k.queued, k.next)
				delete(k.queued, id)
				k.apply(k.c.Cancel(k.now, id))
			},
			"tick": func(t *rapid.T) {
				step()
				k.apply(k.c.Tick(k.now))
				if due, ok := k.c.NextDue(); ok && due <= k.now {
					t.Fatalf("job due at %v is still queued at %v", due, k.now)
				}
			},
			"configure": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "rare") == 0 {
					k.apply(k.c.Configure(k.now, config()))
				}
			},
		})
		// Jobs that wait for MaxRate start or expire as time goes on.
		for len(k.running)+len(k.queued) > 0 {
			for len(k.running) > 0 {
				finish(drawID(t, k.running, k.next), true)
			}
			k.now += 100 * time.Millisecond
			k.apply(k.c.Tick(k.now))
		}
		k.apply(k.c.Tick(k.now + time.Hour))
		if l := k.c.Load(); l.InFlight != 0 || l.Queued != 0 || k.c.runningLong != 0 || k.c.pendingLong.len() != 0 {
			t.Fatalf("state remains after the last job: %+v, %d long jobs running", l, k.c.runningLong)
		}
	})
}

// Guards against shares being applied to the number of jobs instead of to slot
// time, and against a client account that floods the target taking the share of
// another one.
func TestSharesOfSlotTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.SampledFrom([]float64{1, 2, 4}).Draw(t, "share")
		ratio := rapid.IntRange(1, 8).Draw(t, "service ratio")
		seed := rapid.Uint64().Draw(t, "seed")
		source := func(kind, account string, share float64, service time.Duration, load float64) stream {
			return stream{job: Job{Kind: kind, ClientAccount: account, Priority: 3, Share: share}, service: service, load: constant(load), deadline: time.Second}
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
		if ratio := work[2] / (work[0] + work[1]); ratio < 0.8*share || ratio > 1.25*share {
			t.Fatalf("kinds with shares 1:%v got 1:%v of the slot time", share, ratio)
		}
		if ratio := work[0] / work[1]; ratio > 1.25 || ratio < 0.8 {
			t.Fatalf("client accounts with equal shares got %v:1 of the slot time", ratio)
		}
	})
}

// unequalClientAccounts returns two client accounts of one kind with equal
// shares; the jobs of one run longer by a factor.
func unequalClientAccounts(factor int, light, heavy float64) []stream {
	account := func(name string, service time.Duration, load float64) stream {
		j := Job{Kind: "a", ClientAccount: name, Priority: 3}
		return stream{job: j, service: service, load: constant(load), deadline: time.Second}
	}
	return []stream{
		account("light", 5*time.Millisecond, light),
		account("heavy", 5*time.Millisecond*time.Duration(factor), heavy),
	}
}

// Guards against a client account getting more than its share because its jobs
// run longer than the mean of their kind.
func TestSharesOfClientAccountsWithUnequalJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		factor := rapid.IntRange(1, 5).Draw(t, "factor")
		s := scenario{seed: rapid.Uint64().Draw(t, "seed"), slots: 10, length: 6 * time.Second}
		s.streams = unequalClientAccounts(factor, 2, 2)
		all := s.run()
		light := summarize(all, 0, time.Second, 5*time.Second).work
		heavy := summarize(all, 1, time.Second, 5*time.Second).work
		if share := heavy / (light + heavy); share < 0.42 || share > 0.58 {
			t.Fatalf("client account with jobs %d times longer got %.3f of the slot time, want about 0.5", factor, share)
		}
		if goodput := (light + heavy) / (4 * float64(s.slots)); goodput < 0.9 {
			t.Fatalf("goodput is %.3f of the capacity, want at least 0.9", goodput)
		}
	})
}

// Guards against memory use that grows with the total number of client accounts
// seen.
func TestIdleClientAccountsAreRemoved(t *testing.T) {
	c := New(Config{Slots: 1, MaxQueueTime: time.Second})
	id := uint64(0)
	submit := func() {
		id++
		c.Submit(0, Job{ID: id, Kind: "a", ClientAccount: time.Duration(id).String(), Priority: 1, Deadline: time.Hour})
	}
	for range 10000 {
		submit()
		submit()
		for r := range c.running {
			c.Finish(0, r, false)
		}
	}
	n := len(c.queue.levels[1].class[short].children["a"].children)
	assert.Assert(t, n <= 2*c.queue.len()+maxIdleChildren+1, "%d idle client accounts kept", n)
}
