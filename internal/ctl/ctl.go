// Package ctl implements the command line tool parsleyctl, which checks, shows,
// compares and applies configurations, shows the status of nodes, drains them
// and traces requests in their logs.
//
// Use Run with the command line arguments. Every failure results in the exit
// code for its type and a message that includes a remedy.
package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/user"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"parsleyturn/internal/configstore"
	"parsleyturn/internal/platformclient"
	"parsleyturn/internal/policy"
)

// Exit codes. ExitConflict means that the accepted version is not the one that
// a change is based on, ExitUnknown that it is unknown whether a change was
// accepted, and ExitUnavailable that the platform rejected a request or did not
// respond. ExitFailed stands for all other failures, such as that of a node.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitBadInput    = 2
	ExitConflict    = 3
	ExitUnknown     = 4
	ExitUnavailable = 5
)

// inputError is an error in the command line or in the input files.
type inputError struct{ message string }

func (e *inputError) Error() string { return e.message }

func badInput(format string, args ...any) error {
	return &inputError{fmt.Sprintf(format, args...)}
}

// tool holds the arguments and outputs of one run of the command.
type tool struct {
	out, errOut io.Writer
	client      *http.Client

	platformURL string
	nodes       string
	output      string

	dir             string
	reason, author  string
	baseVersion     int64
	waitTimeout     time.Duration
	rollbackVersion string
	afterVersion    uint64
	limit           int
	adminAddrs      []string
	adminAddr       string
	requestID       string
	logFiles        []string
}

// Run executes the command given by args, which do not include the program
// name, and returns the exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	t := &tool{out: out, errOut: errOut, client: newClient()}
	defer t.client.CloseIdleConnections()
	app := kingpin.New("parsleyctl", "Checks and changes the configuration of parsleyturn and shows the status of nodes.")
	ended := false
	app.UsageWriter(out).ErrorWriter(errOut).Terminate(func(int) { ended = true })
	commands := t.declareCommands(app)
	command, err := app.Parse(args)
	if ended {
		return ExitOK
	}
	if err != nil {
		return t.reportError(badInput("%v; see 'parsleyctl --help'", err))
	}
	return t.reportError(commands[command](ctx))
}

// newClient returns an HTTP client for nodes. Its timeouts are short, so that a
// node that has stopped does not delay the result for the others.
func newClient() *http.Client {
	return &http.Client{
		Timeout:   3 * time.Second,
		Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext},
	}
}

type commandFunc func(ctx context.Context) error

func (t *tool) declareCommands(app *kingpin.Application) map[string]commandFunc {
	app.Flag("platform", "Base URL of the platform.").Envar("PARSLEY_PLATFORM").StringVar(&t.platformURL)
	app.Flag("nodes", "Administration addresses of nodes, separated by commas.").Envar("PARSLEY_NODES").StringVar(&t.nodes)
	app.Flag("output", "Output format: text or json.").Default("text").EnumVar(&t.output, "text", "json")
	commands := map[string]commandFunc{}
	config := app.Command("config", "The configuration.")
	add := func(parent interface {
		Command(name, help string) *kingpin.CmdClause
	}, prefix, name, help string, run commandFunc) *kingpin.CmdClause {
		commands[prefix+name] = run
		return parent.Command(name, help)
	}

	c := add(config, "config ", "check", "Check a folder of TOML files.", t.check)
	c.Arg("dir", "Folder.").Required().StringVar(&t.dir)
	c = add(config, "config ", "show", "Show each value with the file that set it.", t.show)
	c.Flag("dir", "Folder to show; default is the accepted configuration.").StringVar(&t.dir)
	c = add(config, "config ", "diff", "Compare a folder with the accepted configuration.", t.diff)
	c.Arg("dir", "Folder.").Default(".").StringVar(&t.dir)
	c = add(config, "config ", "apply", "Accept a folder as the next version.", t.apply)
	c.Arg("dir", "Folder.").Required().StringVar(&t.dir)
	t.declareChangeFlags(c)
	c = add(config, "config ", "history", "List the latest versions, newest first.", t.history)
	c.Flag("limit", "Number of versions.").Default("20").IntVar(&t.limit)
	c = add(config, "config ", "rollback", "Accept the content of an earlier version as the next version.", t.rollback)
	c.Arg("version", "Version to roll back to.").Required().StringVar(&t.rollbackVersion)
	t.declareChangeFlags(c)

	c = add(app, "", "audit", "List changes, oldest first.", t.audit)
	c.Flag("after", "List changes after this version.").Default("0").Uint64Var(&t.afterVersion)
	c.Flag("limit", "Number of changes, at most 1000.").Default("100").IntVar(&t.limit)
	c = add(app, "", "status", "Show the status of nodes.", t.status)
	c.Arg("node", "Administration addresses.").Required().StringsVar(&t.adminAddrs)
	c = add(app, "", "drain", "Let a node finish its requests in flight and stop.", t.drain)
	c.Arg("node", "Administration address.").Required().StringVar(&t.adminAddr)
	c = add(app, "", "trace", "Print the log lines of nodes about one request, ordered by time.", t.trace)
	c.Arg("request", "ID of the request.").Required().StringVar(&t.requestID)
	c.Arg("log", "Log files; default is standard input.").StringsVar(&t.logFiles)
	return commands
}

func (t *tool) declareChangeFlags(c *kingpin.CmdClause) {
	c.Flag("why", "Reason, for the audit trail.").Required().StringVar(&t.reason)
	c.Flag("who", "Author, for the audit trail; default is the current user.").Default(userName()).StringVar(&t.author)
	c.Flag("base", "Version that the change is based on; default is the accepted version.").Default("-1").Int64Var(&t.baseVersion)
	c.Flag("wait", "Maximum time to wait until all known nodes have activated the version.").Default("0s").DurationVar(&t.waitTimeout)
}

func userName() string {
	if u, err := user.Current(); err == nil && u.Username != "" {
		return u.Username
	}
	return "unknown"
}

func (t *tool) store() (*configstore.Store, *platformclient.Client, error) {
	if t.platformURL == "" {
		return nil, nil, badInput("no platform URL; use --platform URL or set PARSLEY_PLATFORM")
	}
	client, err := platformclient.New(t.platformURL)
	if err != nil {
		return nil, nil, badInput("%v", err)
	}
	return configstore.New(client), client, nil
}

// classify returns the exit code and the error code of an error.
func classify(err error) (int, string) {
	switch {
	case errors.As(err, new(*inputError)), errors.As(err, new(*policy.InvalidError)):
		return ExitBadInput, "bad_input"
	case errors.As(err, new(*configstore.ConflictError)):
		return ExitConflict, "conflict"
	case errors.As(err, new(*configstore.UnknownOutcomeError)):
		return ExitUnknown, "outcome_unknown"
	case errors.Is(err, platformclient.ErrUnavailable), errors.Is(err, platformclient.ErrUnknownOutcome):
		return ExitUnavailable, "platform_unavailable"
	}
	return ExitFailed, "failed"
}

type errorView struct {
	Code     string            `json:"code"`
	Message  string            `json:"message"`
	Problems []*policy.Problem `json:"problems,omitempty"`
	// Differences are the values that other operators changed since the base
	// version of a rejected change.
	Differences []policy.Difference `json:"differences,omitempty"`
}

// reportError writes an error to errOut and returns the exit code.
func (t *tool) reportError(err error) int {
	if err == nil {
		return ExitOK
	}
	exit, code := classify(err)
	var conflict *conflictError
	isConflict := errors.As(err, &conflict)
	if t.output == "json" {
		view := errorView{Code: code, Message: err.Error()}
		var invalid *policy.InvalidError
		if errors.As(err, &invalid) {
			view.Problems = invalid.Problems
		}
		if isConflict {
			view.Differences = conflict.Differences
		}
		_ = json.NewEncoder(t.errOut).Encode(map[string]errorView{"error": view})
		return exit
	}
	_, _ = fmt.Fprintf(t.errOut, "parsleyctl: %v\n", err)
	if isConflict {
		t.out = t.errOut
		t.printDiff(conflict.Differences, "no value differs")
	}
	return exit
}
