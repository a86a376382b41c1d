package ctl

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// table is text output with aligned columns.
type table struct {
	header []string
	rows   [][]string
}

func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

// write writes value as JSON if --output is json, and calls text otherwise.
func (t *tool) write(value any, text func()) error {
	if t.output != "json" {
		text()
		return nil
	}
	enc := json.NewEncoder(t.out)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	return enc.Encode(value)
}

// printf writes a line of text output and adds the line break.
func (t *tool) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(t.out, format+"\n", args...)
}

// printTable writes a table, or emptyMessage if it has no rows.
func (t *tool) printTable(tab table, emptyMessage string) {
	if len(tab.rows) == 0 {
		t.printf("%s", emptyMessage)
		return
	}
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.Join(tab.header, "\t"))
	for _, row := range tab.rows {
		for i, cell := range row {
			row[i] = printable(cell)
		}
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush()
}

// printable replaces control characters by spaces, since text from other
// operators or nodes may contain them. An empty cell becomes "-".
func printable(s string) string {
	s = strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return ' '
		}
		return r
	}, s)
	if s == "" {
		return "-"
	}
	return s
}
