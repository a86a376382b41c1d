package loadgen

import (
	"context"
	"fmt"
	"io"
	"math"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Options configures a run.
type Options struct {
	Scenario   *Scenario
	Deployment *Deployment
	// Label names the system under test in reports.
	Label string
	// RequestIDPrefix starts every request ID. Equal prefixes and seeds give
	// equal jobs; two runs against the same processes need different prefixes.
	RequestIDPrefix string
	// Progress receives one line per second. Default nil: no progress.
	Progress io.Writer
	// Audit resets the targets' records before the run and reads them after it.
	Audit bool
}

// settleTime lets targets record the end of executions whose client has
// disconnected.
const settleTime = 500 * time.Millisecond

// Run executes a scenario and returns its report.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Audit {
		if err := o.Deployment.callAllTargets(ctx, "POST", "/standin/reset", ""); err != nil {
			return nil, err
		}
	}
	r := &runner{
		Options: o, client: newClient(o.Scenario, o.Deployment.Nodes, o.RequestIDPrefix), stats: newStats(o.Scenario),
	}
	cpu := cpuTime()
	start := time.Now()
	r.start = start
	waitForEvents := r.startEvents(ctx)
	r.offerJobs(ctx)
	wall := time.Since(start)
	r.jobs.Wait()
	eventErrors := waitForEvents()
	r.client.http.CloseIdleConnections()
	rep := r.report(wall, cpuTime()-cpu)
	rep.EventErrors = eventErrors
	rep.StartedAt = start
	if o.Audit {
		time.Sleep(settleTime)
		audit, err := o.Deployment.audit(context.WithoutCancel(ctx), r.stats.notRun)
		if err != nil {
			return rep, err
		}
		rep.Audit = audit
	}
	return rep, ctx.Err()
}

type runner struct {
	Options
	client   *client
	stats    *stats
	start    time.Time
	jobs     sync.WaitGroup
	inFlight atomic.Int64
}

// offerJobs starts every job at its scheduled time, regardless of whether
// earlier ones have ended.
func (r *runner) offerJobs(ctx context.Context) {
	sc := newSchedule(r.Scenario, len(r.Deployment.Nodes))
	next := time.Second
	for {
		j, ok := sc.nextJob()
		if !ok {
			return
		}
		for j.at >= next {
			r.waitUntil(ctx, next)
			r.writeProgress(next)
			next += time.Second
		}
		if !r.waitUntil(ctx, j.at) {
			return
		}
		r.stats.recordOffered(j, time.Since(r.start)-j.at)
		if r.inFlight.Add(1) > int64(r.Scenario.MaxInFlight) {
			r.inFlight.Add(-1)
			r.stats.recordDropped()
			continue
		}
		r.jobs.Add(1)
		go r.runJob(j)
	}
}

// waitUntil waits until a time of the run. It returns false if ctx ends first.
func (r *runner) waitUntil(ctx context.Context, at time.Duration) bool {
	if wait := at - time.Since(r.start); wait > 0 {
		return sleep(ctx, wait)
	}
	return ctx.Err() == nil
}

func (r *runner) runJob(j job) {
	defer r.jobs.Done()
	defer r.inFlight.Add(-1)
	res := r.client.do(j, r.start.Add(j.at))
	r.stats.recordFinished(j, r.client.requestID(j), &res, time.Since(r.start))
}

func (r *runner) writeProgress(at time.Duration) {
	if r.Progress == nil {
		return
	}
	phase, _, _ := r.Scenario.rate(at - time.Millisecond)
	r.stats.mu.Lock()
	sec := r.stats.seconds[int(at/time.Second)-1]
	var goodput int64
	last := int(at / bucketLength)
	for i := max(last-int(time.Second/bucketLength), 0); i < min(last, len(r.stats.byCompletion)); i++ {
		goodput += r.stats.byCompletion[i]
	}
	line := fmt.Sprintf("%4ds %-10s offered %6d/s goodput %6d/s not run %6d in flight %6d lag p99 %.1f ms\n",
		int(at/time.Second), r.Scenario.Phases[phase].Name, sec.offered, goodput, sec.notRun, r.inFlight.Load(), ms(sec.lag.ValueAtQuantile(99)))
	r.stats.mu.Unlock()
	_, _ = io.WriteString(r.Progress, line)
}

// startEvents starts the scripted events. The returned function waits for them
// and returns their errors.
func (r *runner) startEvents(ctx context.Context) func() []string {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var errs []string
	for i := range r.Scenario.Events {
		e := &r.Scenario.Events[i]
		wg.Go(func() {
			if !r.waitUntil(ctx, e.offset()) {
				return
			}
			if err := r.Deployment.runEvent(ctx, e); err != nil {
				mu.Lock()
				errs = append(errs, fmt.Sprintf("event at %d ms: %v", e.AtMS, err))
				mu.Unlock()
			}
		})
	}
	return func() []string {
		wg.Wait()
		return errs
	}
}

// runEvent calls the control API of the targets that an event selects.
func (d *Deployment) runEvent(ctx context.Context, e *Event) error {
	targets := d.selectTargets(e.Service, e.Share)
	if len(targets) == 0 {
		return fmt.Errorf("no target of service %q in the deployment; correct the event or the deployment", e.Service)
	}
	return (&Deployment{Targets: targets}).callAllTargets(ctx, e.Method, e.Path, e.Body)
}

// selectTargets returns a share of the targets of a service, or of every service
// if the name is empty. The number is rounded, with at least one per service.
func (d *Deployment) selectTargets(service string, share float64) []Target {
	byService := map[string][]Target{}
	for _, t := range d.Targets {
		if service == "" || t.Service == service {
			byService[t.Service] = append(byService[t.Service], t)
		}
	}
	var out []Target
	for _, name := range sortedKeys(byService) {
		all := byService[name]
		n := max(int(math.Round(share*float64(len(all)))), 1)
		out = append(out, all[:n]...)
	}
	return out
}

// cpuTime returns the CPU time used by this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func ms(micros int64) float64 { return math.Round(float64(micros)/10) / 100 }
