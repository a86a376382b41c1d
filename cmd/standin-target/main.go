// Command standin-target runs a stand-in for a target, for tests and measurements.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"parsleyturn/internal/standin/target"
)

func main() {
	app := kingpin.New("standin-target", "Stand-in for a target, with slots, service times, faults and a record of executions.")
	config := app.Flag("config", "TOML file with routes and the other settings.").Required().String()
	service := app.Flag("service", "Name of the service; overrides the file.").String()
	address := app.Flag("address", "IP address and port to listen on; overrides the file.").String()
	control := app.Flag("control", "IP address and port of the control API; overrides the file.").String()
	node := app.Flag("node", "Base URL of the node's loopback side; overrides the file.").String()
	slots := app.Flag("slots", "Number of slots; overrides the file.").Int()
	connections := app.Flag("connections", "Maximum number of concurrent connections; overrides the file.").Int()
	noAnnounce := app.Flag("no-announce", "Send no announcements to the node.").Bool()
	retries := app.Flag("sub-call-retries", "Naive retries of a failed sub-call; overrides the file.").Default("-1").Int()
	drainLimit := app.Flag("drain-limit", "Maximum time to drain before exit.").Default("60s").Duration()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	cfg, err := target.Load(*config)
	app.FatalIfError(err, "configuration")
	override(&cfg.Service, *service)
	override(&cfg.Address, *address)
	override(&cfg.ControlAddress, *control)
	override(&cfg.Node, *node)
	override(&cfg.Slots, *slots)
	override(&cfg.Connections, *connections)
	cfg.NoAnnounce = cfg.NoAnnounce || *noAnnounce
	if *retries >= 0 {
		cfg.SubCallRetries = *retries
	}
	app.FatalIfError(cfg.Validate(*config), "configuration")
	s, err := target.New(cfg)
	app.FatalIfError(err, "configuration")
	app.FatalIfError(run(s, *drainLimit), "run")
}

func override[T comparable](field *T, value T) {
	var zero T
	if value != zero {
		*field = value
	}
}

// run serves until SIGINT or SIGTERM, then drains for at most drainLimit. A second
// signal ends the process at once.
func run(s *target.Server, drainLimit time.Duration) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := s.Start(ctx); err != nil {
		return err
	}
	defer s.Stop()
	fmt.Printf("serving on %s, control API on %s\n", s.Addr(), s.ControlAddr())
	<-ctx.Done()
	stop()
	drainCtx, cancel := context.WithTimeout(context.Background(), drainLimit)
	defer cancel()
	if n := s.Drain(drainCtx); n > 0 {
		return fmt.Errorf("%d requests were still in flight after %s of draining; allow more time with --drain-limit", n, drainLimit)
	}
	return nil
}
