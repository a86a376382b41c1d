package ctl

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"sort"
	"strings"
)

// maxLogLine bounds one line of a log in bytes.
const maxLogLine = 1 << 20

// logLine is a line of a node's log that touches a request.
type logLine struct {
	Time    string         `json:"time"`
	Node    string         `json:"node"`
	Event   string         `json:"event"`
	Request string         `json:"request"`
	Fields  map[string]any `json:"fields"`
}

// trace prints what the nodes logged about a request, in order.
func (t *tool) trace(context.Context) error {
	var all []logLine
	if len(t.logFiles) == 0 {
		found, err := requestLines(os.Stdin)
		if err != nil {
			return badInput("standard input: %v", err)
		}
		all = found
	}
	for _, path := range t.logFiles {
		f, err := os.Open(path)
		if err != nil {
			return badInput("log file: %v", err)
		}
		found, err := requestLines(f)
		_ = f.Close()
		if err != nil {
			return badInput("log file %q: %v", path, err)
		}
		all = append(all, found...)
	}
	lines := linesOf(t.requestID, all)
	return t.write(lines, func() {
		tab := table{header: []string{"TIME", "NODE", "REQUEST", "EVENT", "DETAILS"}}
		for _, l := range lines {
			tab.add(l.Time, l.Node, l.Request, l.Event, details(l.Fields))
		}
		t.print(tab, "no line names the request; successes are logged only in part, refusals and failures up to 250 a second and node")
	})
}

// linesOf returns the lines about a request and about the calls below it, in
// the order of their times. A call is known by its cause, or by an id that
// begins with that of its request.
func linesOf(id string, all []logLine) []logLine {
	calls := make(map[string][]string)
	for _, l := range all {
		if cause, _ := l.Fields["cause"].(string); cause != "" {
			calls[cause] = append(calls[cause], l.Request)
		}
	}
	wanted := map[string]bool{id: true}
	for next := []string{id}; len(next) > 0; next = next[1:] {
		for _, call := range calls[next[0]] {
			if !wanted[call] {
				wanted[call] = true
				next = append(next, call)
			}
		}
	}
	var out []logLine
	for _, l := range all {
		if wanted[l.Request] || strings.HasPrefix(l.Request, id+".") {
			out = append(out, l)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Time < out[j].Time })
	return out
}

// requestLines returns the lines that are about requests. Lines that are no
// JSON, such as those of other programs, are skipped; text before the JSON is
// allowed.
func requestLines(r io.Reader) ([]logLine, error) {
	var out []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLogLine)
	for scanner.Scan() {
		line := scanner.Bytes()
		start := bytes.IndexByte(line, '{')
		if start < 0 || !bytes.Contains(line, []byte(`"request":`)) {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(line[start:], &fields) != nil {
			continue
		}
		l := logLine{Fields: fields}
		l.Request, _ = fields["request"].(string)
		l.Time, _ = fields["time"].(string)
		l.Node, _ = fields["node"].(string)
		l.Event, _ = fields["event"].(string)
		for _, name := range []string{"time", "node", "event", "request", "level"} {
			delete(fields, name)
		}
		out = append(out, l)
	}
	return out, scanner.Err()
}

// details renders fields in alphabetical order.
func details(fields map[string]any) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s=%v", name, fields[name]))
	}
	return strings.Join(parts, " ")
}
