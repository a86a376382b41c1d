package policy

import (
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndex finds the line numbers of tables and keys. A file is indexed only
// when a problem in it is reported, so that loading a valid configuration does
// not incur the cost.
type lineIndex struct {
	files map[string][]byte
	lines map[string]map[string]int
}

func newLineIndex(files []File) *lineIndex {
	ix := &lineIndex{files: map[string][]byte{}, lines: map[string]map[string]int{}}
	for _, f := range files {
		ix.files[f.Name] = f.Content
	}
	return ix
}

// line returns the line number of a path such as kind, browse, priority. If
// the path is not in the file, it returns the line of the closest enclosing
// table, or 0.
func (ix *lineIndex) line(file string, path ...string) int {
	lines, ok := ix.lines[file]
	if !ok {
		lines = indexLines(ix.files[file])
		ix.lines[file] = lines
	}
	for n := len(path); n > 0; n-- {
		if l := lines[strings.Join(path[:n], "\x00")]; l > 0 {
			return l
		}
	}
	return 0
}

func indexLines(content []byte) map[string]int {
	ix := fileLines{lines: map[string]int{}}
	for i, c := range content {
		if c == '\n' {
			ix.newlines = append(ix.newlines, i)
		}
	}
	var p unstable.Parser
	p.Reset(content)
	var table []string
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = ix.key(e.Key(), nil)
		case unstable.KeyValue:
			ix.keyValue(e, table)
		}
	}
	return ix.lines
}

type fileLines struct {
	newlines []int
	lines    map[string]int
}

// keyValue records the line of a key and, recursively, of the keys of an
// inline table.
func (ix *fileLines) keyValue(e *unstable.Node, table []string) {
	path := ix.key(e.Key(), table)
	if e.Value().Kind != unstable.InlineTable {
		return
	}
	for it := e.Value().Children(); it.Next(); {
		if it.Node().Kind == unstable.KeyValue {
			ix.keyValue(it.Node(), path)
		}
	}
}

// key returns the path of a key that consists of the given parts below base. It
// records the line of each part that has none yet.
func (ix *fileLines) key(it unstable.Iterator, base []string) []string {
	path := append([]string(nil), base...)
	for it.Next() {
		path = append(path, string(it.Node().Data))
		joined := strings.Join(path, "\x00")
		if ix.lines[joined] == 0 && it.Node().Raw.Length > 0 {
			ix.lines[joined] = 1 + sort.SearchInts(ix.newlines, int(it.Node().Raw.Offset))
		}
	}
	return path
}
