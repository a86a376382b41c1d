// Command baseline-node runs the plain forwarder that is the reference system of
// the result tables: round robin, naive retries, no admission control and no
// tickets.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"parsleyturn/internal/loadgen/baseline"
)

func main() {
	app := kingpin.New("baseline-node", "Plain HTTP forwarder with round robin and naive retries, for comparisons.")
	config := app.Flag("config", "TOML file with the routes.").Required().String()
	listen := app.Flag("listen", "IP address and port to listen on; can be given more than once.").Required().Strings()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	c, err := baseline.Load(*config)
	app.FatalIfError(err, "configuration")
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	f := baseline.New(c)
	defer f.Close()
	app.FatalIfError(baseline.Serve(ctx, f, *listen), "serve")
}
