// Command rig3 plays the scripts of the review: it starts nodes as the deploy file does,
// with stand-ins of their users' platform, upstreams and clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// playLimit ends a case that does not end by itself.
const playLimit = 100 * time.Second

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases has the scripts by name. Each returns what broke the rule, or an error if the
// case could not run.
var cases = map[string]func(l *lab, trouble bool) (broken []string, err error){
	"odd-heartbeat":  oddHeartbeat,
	"odd-service":    oddService,
	"silent-readers": silentReaders,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, record string) int {
	l, err := newLab(record)
	if err != nil {
		fmt.Println("not run:", err)
		return exitNotRun
	}
	defer l.close()
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
		select {
		case <-signals:
		case <-time.After(playLimit):
		}
		l.close()
		fmt.Println("not run: stopped")
		os.Exit(exitNotRun)
	}()
	broken, err := cases[name](l, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		l.logf("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case len(broken) > 0:
		for _, b := range broken {
			l.logf("BROKEN: %s", b)
		}
		fmt.Printf("broken: %d times; the first: %s\n", len(broken), broken[0])
		return exitBroken
	}
	l.logf("the rule held")
	fmt.Println("held")
	return exitHeld
}
