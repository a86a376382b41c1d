package loadgen

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the result of a run. Rates are per second, latencies in ms from
// the scheduled arrival.
type Report struct {
	Scenario  string    `json:"scenario"`
	Label     string    `json:"label"`
	Seed      uint64    `json:"seed"`
	StartedAt time.Time `json:"started_at"`
	// Kinds summarizes the whole run, Phases each phase.
	Kinds  []KindReport  `json:"kinds"`
	Phases []PhaseReport `json:"phases"`
	// Series has one point per second.
	Series []Point `json:"series"`
	// RecoverySeconds is the time from the end of the trigger until the share
	// of arriving jobs that are answered is back at 95% of its value before the
	// trigger and stays there for 5 s. It is -1 if that does not happen within
	// the run, and absent if the scenario has no trigger with a phase before
	// and after it.
	RecoverySeconds *float64 `json:"recovery_s,omitempty"`
	// ErrorCounts counts unanswered jobs by outcome, last and first error.
	ErrorCounts map[string]int64 `json:"codes"`
	Generator   Generator        `json:"generator"`
	Audit       *Audit           `json:"audit,omitempty"`
	EventErrors []string         `json:"event_errors,omitempty"`
	Examples    []string         `json:"examples,omitempty"`
}

// KindReport summarizes the jobs of one kind.
type KindReport struct {
	Kind     string            `json:"kind"`
	Offered  int64             `json:"offered"`
	Outcomes map[Outcome]int64 `json:"outcomes"`
	Success  float64           `json:"success"`
	Attempts int64             `json:"attempts"`
	Bytes    int64             `json:"bytes"`
	Latency  Quantiles         `json:"latency"`
	// Stragglers covers the jobs that stand-in targets delayed as stragglers;
	// Latency excludes them.
	Stragglers Quantiles `json:"stragglers"`
	// Refused is the latency of jobs that ended as not run.
	Refused Quantiles `json:"refused"`
}

// Quantiles summarizes a distribution of latencies or lags, in ms.
type Quantiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

// PhaseReport summarizes the jobs that arrived in one phase.
type PhaseReport struct {
	Phase   string  `json:"phase"`
	Seconds float64 `json:"seconds"`
	Trigger bool    `json:"trigger"`
	Offered float64 `json:"offered_per_s"`
	// Goodput is the rate of jobs that were answered within the phase.
	Goodput float64      `json:"goodput_per_s"`
	Success float64      `json:"success"`
	Kinds   []KindReport `json:"kinds"`
}

// Point is one second of the run. Offered, NotRun, P99 and LagP99 cover the jobs
// that arrived in it, Goodput those whose response ended in it. LagP99 is the
// lag of the generator.
type Point struct {
	Second  int     `json:"s"`
	Offered int64   `json:"offered"`
	Goodput int64   `json:"goodput"`
	NotRun  int64   `json:"not_run"`
	P99     float64 `json:"p99_ms"`
	LagP99  float64 `json:"lag_p99_ms"`
}

// Generator reports whether the load generator kept up with the schedule.
type Generator struct {
	ScheduledPerSecond float64 `json:"scheduled_per_s"`
	AchievedPerSecond  float64 `json:"achieved_per_s"`
	// Lag is the delay between the scheduled and the actual start of a job.
	Lag Quantiles `json:"lag"`
	// Dropped counts arrivals beyond the limit max_in_flight.
	Dropped    int64   `json:"dropped"`
	CPUSeconds float64 `json:"cpu_s"`
	// Cores is the CPU time of the run divided by the time in which jobs were
	// offered.
	Cores  float64 `json:"cores"`
	KeptUp bool    `json:"kept_up"`
}

const (
	// maxLagP99MS is the highest p99 of the lag at which the generator counts as
	// keeping up.
	maxLagP99MS = 10
	// minAchievedShare is the lowest ratio of achieved to scheduled rate at which
	// the generator counts as keeping up.
	minAchievedShare = 0.99
)

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	q := Quantiles{Count: h.TotalCount()}
	if q.Count == 0 {
		return q
	}
	q.Mean = ms(int64(h.Mean()))
	q.P50, q.P90, q.P99 = ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(90)), ms(h.ValueAtQuantile(99))
	q.P999, q.Max = ms(h.ValueAtQuantile(99.9)), ms(h.Max())
	return q
}

func (c *kindStats) merge(o *kindStats) {
	c.offered += o.offered
	c.attempts += o.attempts
	c.bytes += o.bytes
	for k, v := range o.outcomes {
		c.outcomes[k] += v
	}
	c.latency.Merge(o.latency)
	c.stragglers.Merge(o.stragglers)
	c.refused.Merge(o.refused)
}

func (c *kindStats) report(kind string) KindReport {
	return KindReport{
		Kind: kind, Offered: c.offered, Outcomes: c.outcomes, Success: ratio(c.outcomes[Answered], c.offered),
		Attempts: c.attempts, Bytes: c.bytes, Latency: quantiles(c.latency), Stragglers: quantiles(c.stragglers), Refused: quantiles(c.refused),
	}
}

func ratio(a, b int64) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// report builds the report after all jobs have ended.
func (r *runner) report(wall, cpu time.Duration) *Report {
	s, st := r.Scenario, r.stats
	rep := &Report{Scenario: s.Name, Label: r.Label, Seed: s.Seed, ErrorCounts: st.errorCounts, Examples: st.examples}
	totals := make([]*kindStats, len(s.Kinds))
	for i := range totals {
		totals[i] = newKindStats()
	}
	var offered int64
	phaseStart := time.Duration(0)
	for p, ph := range s.Phases {
		length := time.Duration(ph.DurationMS) * time.Millisecond
		pr := PhaseReport{Phase: ph.Name, Seconds: length.Seconds(), Trigger: ph.Trigger}
		var n, ok int64
		for k, c := range st.kinds[p] {
			n += c.offered
			ok += c.outcomes[Answered]
			pr.Kinds = append(pr.Kinds, c.report(s.Kinds[k].Name))
			totals[k].merge(c)
		}
		offered += n
		pr.Offered, pr.Success = float64(n)/length.Seconds(), ratio(ok, n)
		pr.Goodput = st.goodput(phaseStart, phaseStart+length)
		rep.Phases = append(rep.Phases, pr)
		phaseStart += length
	}
	for k, c := range totals {
		rep.Kinds = append(rep.Kinds, c.report(s.Kinds[k].Name))
	}
	for i, sec := range st.seconds[:int(s.Duration()/time.Second)] {
		at := time.Duration(i) * time.Second
		rep.Series = append(rep.Series, Point{
			Second: i, Offered: sec.offered, Goodput: int64(st.goodput(at, at+time.Second)), NotRun: sec.notRun,
			P99: ms(sec.latency.ValueAtQuantile(99)), LagP99: ms(sec.lag.ValueAtQuantile(99)),
		})
	}
	rep.RecoverySeconds = st.recovery(s)
	rep.Generator = st.generator(s, offered, wall, cpu)
	return rep
}

// generator summarizes the load generator's lag, rate and CPU use. wall is the
// time during which jobs were offered; cpu is the CPU time used until all jobs and
// events had ended.
func (st *stats) generator(s *Scenario, offered int64, wall, cpu time.Duration) Generator {
	g := Generator{
		ScheduledPerSecond: float64(offered) / s.Duration().Seconds(),
		AchievedPerSecond:  float64(offered-st.dropped) / max(wall, s.Duration()).Seconds(),
		Lag:                quantiles(st.lag), Dropped: st.dropped, CPUSeconds: cpu.Seconds(),
		Cores: cpu.Seconds() / wall.Seconds(),
	}
	g.KeptUp = g.Lag.P99 <= maxLagP99MS && g.AchievedPerSecond >= minAchievedShare*g.ScheduledPerSecond
	return g
}

// goodput returns the rate of jobs that were answered between two times.
func (st *stats) goodput(from, to time.Duration) float64 {
	var n int64
	a, b := int(from/bucketLength), int(to/bucketLength)
	for i := a; i < b && i < len(st.byCompletion); i++ {
		n += st.byCompletion[i]
	}
	return float64(n) / (to - from).Seconds()
}

const (
	recoveredShare = 0.95
	// Every recoveryWindow within recoveryHold must reach the share. Otherwise a
	// backlog answered at the end of an overload can pass for recovery while 14%
	// of the new jobs fail.
	recoveryWindow = time.Second
	recoveryHold   = 5 * time.Second
)

// recovery returns the time from the end of the trigger until the share of
// arriving jobs that are answered is back at 95% of the share before the
// trigger. A share of arrivals, unlike a rate, is not affected by the variance
// of Poisson arrivals.
func (st *stats) recovery(s *Scenario) *float64 {
	first, last := -1, -1
	var start, end, at time.Duration
	for i, ph := range s.Phases {
		if ph.Trigger && first < 0 {
			first, start = i, at
		}
		at += time.Duration(ph.DurationMS) * time.Millisecond
		if ph.Trigger {
			last, end = i, at
		}
	}
	if first < 1 || last == len(s.Phases)-1 {
		return nil
	}
	from := start - time.Duration(s.Phases[first-1].DurationMS)*time.Millisecond
	minShare := recoveredShare * st.answeredShare(from, start)
	result := -1.0
	for t := end; t+recoveryHold <= at; t += bucketLength {
		if st.staysAbove(t, t+recoveryHold, minShare) {
			result = (t - end).Seconds()
			break
		}
	}
	return &result
}

// staysAbove reports whether the answered share of every window between two
// times is at least minShare.
func (st *stats) staysAbove(from, to time.Duration, minShare float64) bool {
	for t := from; t+recoveryWindow <= to; t += bucketLength {
		if st.answeredShare(t, t+recoveryWindow) < minShare {
			return false
		}
	}
	return true
}

// answeredShare returns the share of the jobs arriving between two times that
// were answered.
func (st *stats) answeredShare(from, to time.Duration) float64 {
	var sum arrivals
	for _, a := range st.arrivals[int(from/bucketLength):min(int(to/bucketLength), len(st.arrivals))] {
		sum.offered += a.offered
		sum.answered += a.answered
	}
	return ratio(sum.answered, sum.offered)
}

// Save writes the report as JSON.
func (r *Report) Save(path string) error {
	content, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	if err := os.WriteFile(path, append(content, '\n'), 0o644); err != nil {
		return fmt.Errorf("write report: %w; choose a writable path", err)
	}
	return nil
}

// LoadReport reads a report written by Save.
func LoadReport(path string) (*Report, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read report: %w; pass the path of a JSON report", err)
	}
	var r Report
	if err := json.Unmarshal(content, &r); err != nil {
		return nil, fmt.Errorf("parse report %q: %w; pass a file written by 'parsleyload run --out'", path, err)
	}
	return &r, nil
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
