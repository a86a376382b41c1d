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

// maxLogLineBytes bounds the length of a log line.
const maxLogLineBytes = 1 << 20

// logLine is a line in the log of a node that is about a request.
type logLine struct {
	Time    string         `json:"time"`
	Node    string         `json:"node"`
	Event   string         `json:"event"`
	Request string         `json:"request"`
	Fields  map[string]any `json:"fields"`
}

// trace prints the log lines of all nodes about a request, ordered by time.
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
	lines := linesForRequest(t.requestID, all)
	return t.write(lines, func() {
		tab := table{header: []string{"TIME", "NODE", "REQUEST", "EVENT", "DETAILS"}}
		for _, l := range lines {
			tab.add(l.Time, l.Node, l.Request, l.Event, formatFields(l.Fields))
		}
		t.printTable(tab, "no log line is about the request; nodes log only a sample of successes, and at most 250 refusals and failures per second")
	})
}

// linesForRequest returns the lines about a request and its direct and
// indirect sub-calls, ordered by time. A sub-call has the ID of its parent
// request in the field cause, or an ID that begins with that of the request and
// a dot.
func linesForRequest(id string, all []logLine) []logLine {
	subCalls := make(map[string][]string)
	for _, l := range all {
		if parent, _ := l.Fields["cause"].(string); parent != "" {
			subCalls[parent] = append(subCalls[parent], l.Request)
		}
	}
	wanted := map[string]bool{id: true}
	for next := []string{id}; len(next) > 0; next = next[1:] {
		for _, subCall := range subCalls[next[0]] {
			if !wanted[subCall] {
				wanted[subCall] = true
				next = append(next, subCall)
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

// requestLines returns the lines that are about requests. Lines without JSON,
// such as those of other programs, are skipped. Text before the JSON is
// ignored.
func requestLines(r io.Reader) ([]logLine, error) {
	var out []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLogLineBytes)
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

// formatFields formats fields as NAME=VALUE in alphabetical order.
func formatFields(fields map[string]any) string {
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
