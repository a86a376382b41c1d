// Command stand plays the cases of the review: it starts nodes of the project as
// processes on loopback addresses, with stand-ins of the users' platform, upstreams
// and clients, and checks one rule. It exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// scenario plays a case and returns what broke the rule, or nil.
type scenario func(rec *record, trouble bool) (broken []string, err error)

var scenarios = map[string]scenario{
	"late-heartbeats": lateHeartbeats,
	"restarted-node":  restartedNode,
	"odd-heartbeat":   oddHeartbeat,
	"crowd":           crowd,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand SCENARIO RECORD")
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := scenarios[os.Args[1]](rec, trouble)
	switch {
	case err != nil:
		rec.printf("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	case len(broken) > 0:
		for _, b := range broken {
			rec.printf("broken: %s", b)
		}
		fmt.Printf("broken, %d times; the first: %s\n", len(broken), broken[0])
		os.Exit(1)
	}
	rec.printf("the rule held")
	fmt.Println("the rule held")
}
