// Command parsleydemo runs a small mesh in one process as a demonstration.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"

	"parsleyturn/internal/demo"
)

func main() {
	app := kingpin.New("parsleydemo", "Small mesh in one process, with embedded stand-ins for the platform and the targets.")
	listen := app.Flag("listen", "Address for callers.").Default("127.0.0.1:8080").String()
	admin := app.Flag("admin", "Address of the administration API of the first node.").Default("127.0.0.1:8090").String()
	verbose := app.Flag("verbose", "Write the log of the nodes to standard error.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	log := zerolog.Nop()
	if *verbose {
		log = zerolog.New(os.Stderr).With().Timestamp().Logger()
	}
	if err := run(*listen, *admin, log); err != nil {
		fmt.Fprintln(os.Stderr, "parsleydemo:", err)
		os.Exit(1)
	}
}

func run(listen, admin string, log zerolog.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	m, err := demo.Start(ctx, listen, admin, log)
	if err != nil {
		return err
	}
	fmt.Printf(`The mesh is ready: 4 nodes with 4 targets in 2 regions.

  Browse:    curl -i http://%[1]s/directory/fitters
  Download:  curl -o report http://%[1]s/reports/today
  Book:      curl -i -X POST http://%[1]s/bookings/saddle
             returns 428 with Parsley-Ticket; send again with the header
             curl -i -X POST -H "Parsley-Ticket: ..." http://%[1]s/bookings/saddle
  Status:    go run ./cmd/parsleyctl status %[4]s
  Configuration:
             go run ./cmd/parsleyctl --platform %[3]s config show
  Metrics:   curl http://%[2]s/metrics

Press Ctrl-C to stop.
`, m.CallerAddress, m.AdminAddress, m.PlatformURL, strings.Join(m.AdminAddresses, " "))
	<-ctx.Done()
	return m.Stop()
}
