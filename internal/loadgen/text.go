package loadgen

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// WriteText writes the report as text.
func (r *Report) WriteText(w io.Writer) error {
	out := &strings.Builder{}
	fmt.Fprintf(out, "scenario %s, system %s, seed %d\n", r.Scenario, r.Label, r.Seed)
	if !r.Generator.KeptUp {
		fmt.Fprintf(out, "\nWARNING: the load generator did not keep up with the schedule (see generator); the figures reflect the limits of the generator and not of the system.\n")
	}
	out.WriteString("\nPhases (success by arrival, goodput by end of answer)\n")
	table(out, func(t io.Writer) {
		fmt.Fprintln(t, "phase\tseconds\toffered/s\tgoodput/s\tsuccess\t")
		for _, p := range r.Phases {
			fmt.Fprintf(t, "%s\t%g\t%.0f\t%.0f\t%s\t\n", p.Phase, p.Seconds, p.Offered, p.Goodput, percent(p.Success))
		}
	})
	for _, p := range r.Phases {
		fmt.Fprintf(out, "\nPhase %s\n", p.Phase)
		writeKinds(out, p.Kinds)
	}
	out.WriteString("\nWhole run\n")
	writeKinds(out, r.Kinds)
	r.writeSummary(out)
	_, err := io.WriteString(w, out.String())
	return err
}

func table(w io.Writer, write func(io.Writer)) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	write(t)
	_ = t.Flush()
}

func percent(x float64) string { return fmt.Sprintf("%.2f%%", 100*x) }

func writeKinds(w io.Writer, kinds []KindReport) {
	table(w, func(t io.Writer) {
		fmt.Fprint(t, "kind\toffered\t")
		for _, o := range outcomes {
			fmt.Fprintf(t, "%s\t", o)
		}
		fmt.Fprintln(t, "success\tattempts\tp50 ms\tp99 ms\tmax ms\tlong p99 ms\trefusal p99 ms\t")
		for _, k := range kinds {
			fmt.Fprintf(t, "%s\t%d\t", k.Kind, k.Offered)
			for _, o := range outcomes {
				fmt.Fprintf(t, "%d\t", k.Outcomes[o])
			}
			fmt.Fprintf(t, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", percent(k.Success), k.Attempts,
				k.Latency.P50, k.Latency.P99, k.Latency.Max, k.Stragglers.P99, k.Refused.P99)
		}
	})
}

func (r *Report) writeSummary(w io.Writer) {
	if r.RecoverySeconds != nil {
		fmt.Fprintf(w, "\nrecovery after the trigger: %s\n", recoveryText(r.RecoverySeconds))
	}
	if len(r.ErrorCounts) > 0 {
		fmt.Fprintln(w, "\nJobs without an answer, by last error")
		for _, k := range sortedKeys(r.ErrorCounts) {
			fmt.Fprintf(w, "  %-60s %d\n", k, r.ErrorCounts[k])
		}
	}
	g := r.Generator
	fmt.Fprintf(w, "\ngenerator: scheduled %.0f/s, achieved %.0f/s, lag p99 %.2f ms, max %.1f ms, dropped %d, CPU %.1f s (%.2f cores)\n",
		g.ScheduledPerSecond, g.AchievedPerSecond, g.Lag.P99, g.Lag.Max, g.Dropped, g.CPUSeconds, g.Cores)
	if a := r.Audit; a != nil {
		fmt.Fprintf(w, "targets: %d executions, %d doubled, %d ran though refused, %.1f s of work, %s wasted, %d not in the record\n",
			a.Executions, a.Duplicates, a.ExecutedDespiteRefusal, a.WorkSeconds, percent(a.WastedShare), a.Dropped)
		for _, e := range a.Examples {
			fmt.Fprintf(w, "  %s\n", e)
		}
	}
	for _, e := range append(r.EventErrors, r.Examples...) {
		fmt.Fprintf(w, "  %s\n", e)
	}
}

func recoveryText(s *float64) string {
	switch {
	case s == nil:
		return "-"
	case *s < 0:
		return "not within the run"
	}
	return fmt.Sprintf("%.1f s", *s)
}

// Compare writes a table with one column per report. The rows are the phases and
// kinds of the first report; a report without the phase or kind shows a dash.
func Compare(w io.Writer, reports []*Report) error {
	out := &strings.Builder{}
	table(out, func(t io.Writer) {
		row := func(name string, value func(*Report) string) {
			fmt.Fprintf(t, "%s\t", name)
			for _, r := range reports {
				fmt.Fprintf(t, "%s\t", value(r))
			}
			fmt.Fprintln(t)
		}
		row("", func(r *Report) string { return r.Scenario + " " + r.Label })
		for _, p := range reports[0].Phases {
			row("goodput/s "+p.Phase, func(r *Report) string {
				return phaseValue(r, p.Phase, func(p *PhaseReport) string { return fmt.Sprintf("%.0f", p.Goodput) })
			})
			for _, kind := range p.Kinds {
				row("success "+kind.Kind+" "+p.Phase, func(r *Report) string {
					return kindValue(r, p.Phase, kind.Kind, func(k *KindReport) string { return percent(k.Success) })
				})
				row("p99 ms "+kind.Kind+" "+p.Phase, func(r *Report) string {
					return kindValue(r, p.Phase, kind.Kind, func(k *KindReport) string { return fmt.Sprintf("%.1f", k.Latency.P99) })
				})
			}
		}
		row("recovery", func(r *Report) string { return recoveryText(r.RecoverySeconds) })
		audit := func(name string, value func(*Audit) string) {
			row(name, func(r *Report) string {
				if r.Audit == nil {
					return "-"
				}
				return value(r.Audit)
			})
		}
		audit("executions", func(a *Audit) string { return fmt.Sprint(a.Executions) })
		audit("doubled", func(a *Audit) string { return fmt.Sprint(a.Duplicates) })
		audit("ran though refused", func(a *Audit) string { return fmt.Sprint(a.ExecutedDespiteRefusal) })
		audit("wasted work", func(a *Audit) string { return percent(a.WastedShare) })
		row("generator kept up", func(r *Report) string { return fmt.Sprint(r.Generator.KeptUp) })
	})
	_, err := io.WriteString(w, out.String())
	return err
}

func phaseValue(r *Report, phase string, f func(*PhaseReport) string) string {
	for i := range r.Phases {
		if r.Phases[i].Phase == phase {
			return f(&r.Phases[i])
		}
	}
	return "-"
}

func kindValue(r *Report, phase, kind string, f func(*KindReport) string) string {
	return phaseValue(r, phase, func(p *PhaseReport) string {
		for i := range p.Kinds {
			if p.Kinds[i].Kind == kind {
				return f(&p.Kinds[i])
			}
		}
		return "-"
	})
}
