// Command parsleyload offers load on a fixed schedule, checks every response and
// reports the outcomes. docs/load-tool.md describes scenarios and reports.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"parsleyturn/internal/loadgen"
)

type runFlags struct {
	scenario, deployment, label, tag, out string
	audit, quiet                          bool
	rateFactor                            float64
}

func main() {
	app := kingpin.New("parsleyload", "Open-loop load generator that checks every response.")
	var rf runFlags
	run := app.Command("run", "Run a scenario.")
	run.Arg("scenario", "TOML file with the scenario.").Required().StringVar(&rf.scenario)
	run.Flag("deployment", "TOML file with nodes and targets, as written by the topology command.").Required().StringVar(&rf.deployment)
	run.Flag("label", "Name of the system under test in the report.").Default("parsleyturn").StringVar(&rf.label)
	run.Flag("tag", "Prefix of every request ID; equal tags and seeds give equal jobs. Default random.").StringVar(&rf.tag)
	run.Flag("out", "File for the JSON report.").StringVar(&rf.out)
	run.Flag("rate-factor", "Factor for the scenario's rate, for a deployment with another scale than 0.1.").Default("1").Float64Var(&rf.rateFactor)
	run.Flag("audit", "Reset the targets before the run and read their records after it.").Default("true").BoolVar(&rf.audit)
	run.Flag("quiet", "Write no progress lines.").BoolVar(&rf.quiet)

	compare := app.Command("compare", "Show reports side by side.")
	compareFiles := compare.Arg("reports", "JSON reports.").Required().Strings()

	plotCmd := app.Command("plot", "Draw goodput and p99 over time as PNG.")
	plotPrefix := plotCmd.Flag("prefix", "Prefix of the names of the PNG files.").Required().String()
	plotFiles := plotCmd.Arg("reports", "JSON reports.").Required().Strings()

	var tf loadgen.Topology
	topology := app.Command("topology", "Write the files and commands of a loopback deployment.")
	topology.Flag("deployment", "akwaaba or campanario.").Required().StringVar(&tf.Name)
	topology.Flag("scale", "Factor for slots and connections of each target.").Default("0.1").Float64Var(&tf.Scale)
	topology.Flag("out", "Directory to write to.").Required().StringVar(&tf.OutputDir)
	topology.Flag("baseline", "Write a deployment of baseline nodes.").BoolVar(&tf.Baseline)
	topology.Flag("subnet", "Second octet of the 127.x.y.z addresses.").Default("30").IntVar(&tf.Subnet)

	var err error
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case run.FullCommand():
		err = runScenario(&rf, os.Stdout, os.Stderr)
	case compare.FullCommand():
		err = withReports(*compareFiles, func(r []*loadgen.Report) error { return loadgen.Compare(os.Stdout, r) })
	case plotCmd.FullCommand():
		err = withReports(*plotFiles, func(r []*loadgen.Report) error { return loadgen.Plot(*plotPrefix, r) })
	case topology.FullCommand():
		err = tf.Write()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "parsleyload:", err)
		os.Exit(1)
	}
}

func withReports(files []string, f func([]*loadgen.Report) error) error {
	var reports []*loadgen.Report
	for _, name := range files {
		r, err := loadgen.LoadReport(name)
		if err != nil {
			return err
		}
		reports = append(reports, r)
	}
	return f(reports)
}

func runScenario(f *runFlags, out, progress io.Writer) error {
	s, err := loadgen.LoadScenario(f.scenario)
	if err != nil {
		return err
	}
	if f.rateFactor <= 0 {
		return fmt.Errorf("rate factor is %g; use a positive number", f.rateFactor)
	}
	s.RatePerSecond *= f.rateFactor
	d, err := loadgen.LoadDeployment(f.deployment)
	if err != nil {
		return err
	}
	if f.tag == "" {
		f.tag = strconv.FormatUint(rand.Uint64(), 36)
	}
	if f.quiet {
		progress = nil
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	rep, err := loadgen.Run(ctx, loadgen.Options{Scenario: s, Deployment: d, Label: f.label, RequestIDPrefix: f.tag, Progress: progress, Audit: f.audit && len(d.Targets) > 0})
	if rep == nil {
		return err
	}
	if f.out != "" {
		err = errors.Join(err, rep.Save(f.out))
	}
	return errors.Join(err, rep.WriteText(out))
}
