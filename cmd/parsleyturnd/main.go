// Command parsleyturnd runs one node on the VM of its target.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"

	"parsleyturn/internal/eventlog"
	"parsleyturn/internal/node"
	"parsleyturn/internal/settings"
	"parsleyturn/platform"
)

func main() {
	app := kingpin.New("parsleyturnd", "Overload control node that runs on the VM of its target.")
	nodeCmd := app.Command("node", "Run a node with parsleyturn's own HTTP interface.").Default()
	path := nodeCmd.Arg("settings", "TOML file with the settings of the node.").Required().String()
	check := nodeCmd.Flag("check", "Check the settings and exit.").Bool()
	meshCmd := app.Command("mesh", "Run a node on the deployment's platform. The path of the settings file is read from the environment variable "+platform.SettingsFileVar+".")
	meshCheck := meshCmd.Flag("check", "Check the settings and exit.").Bool()
	var err error
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case nodeCmd.FullCommand():
		err = runNode(*path, *check)
	case meshCmd.FullCommand():
		err = runMesh(os.Getenv(platform.SettingsFileVar), *meshCheck)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "parsleyturnd:", err)
		os.Exit(1)
	}
}

func runNode(path string, check bool) error {
	s, err := settings.Load(path)
	if err != nil || check {
		return err
	}
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return fmt.Errorf("log level: %w", err)
	}
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()
	n, err := node.New(s, log)
	if err != nil {
		return err
	}
	if err := n.Start(context.Background()); err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-n.Draining():
	}
	return n.Stop()
}

// gcPercent lets the heap grow to three times the live heap, which is about 30 MB,
// before a collection. With the default of 100, which is twice the live heap,
// garbage collection takes a fifth of a node's CPU time under load.
const gcPercent = 200

// memoryLimitShare is the share of the process's memory that is set as the soft
// memory limit of the Go runtime, near which the garbage collector runs more
// often. The rest is for stacks and socket buffers.
const memoryLimitShare = 0.6

func runMesh(path string, check bool) error {
	// The platform may send SIGHUP at any time, and it would end a process that does
	// not receive it yet.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	s, err := platform.LoadSettings(path)
	if err != nil || check {
		return err
	}
	debug.SetGCPercent(gcPercent)
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryMB<<20)))
	}
	out := eventlog.NewWriter(os.Stdout)
	defer out.Close()
	log := eventlog.New(out, s.Node.ID)
	n, err := platform.NewNode(s, log)
	if err != nil {
		return err
	}
	if err := n.Start(context.Background()); err != nil {
		return err
	}
	for sig := range signals {
		if sig != syscall.SIGHUP {
			n.Stop()
			return nil
		}
		reload(path, log)
	}
	return nil
}

// reload validates the settings file again and logs the result. It applies no
// change: addresses, zone and target are fixed for the lifetime of the process.
func reload(path string, log eventlog.Log) {
	if _, err := platform.LoadSettings(path); err != nil {
		log.System.Error().Err(err).Str("event", "reload").Msg("changed settings are invalid; keeping the active settings")
		return
	}
	log.System.Info().Str("event", "reload").Msg("settings file is valid; changes take effect at the next start")
}
