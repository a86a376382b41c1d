package policy

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "parsleyturn/internal/rapidseed"
)

type drawnTable struct {
	name, priority string
	shared         []string
}

type drawnFile struct {
	name, team string
	tables     []drawnTable
}

func (f drawnFile) render() File {
	var b strings.Builder
	fmt.Fprintf(&b, "team = %q\n", f.team)
	for _, t := range f.tables {
		fmt.Fprintf(&b, "[kind.%s]\npriority = %s\n", t.name, t.priority)
		if t.shared != nil {
			fmt.Fprintf(&b, "shared_with = %s\n", formatValue(t.shared))
		}
	}
	return File{f.name, []byte(b.String())}
}

func drawFiles(t *rapid.T) []drawnFile {
	teams := rapid.SampledFrom([]string{"a", "b", "c"})
	table := rapid.Custom(func(t *rapid.T) drawnTable {
		d := drawnTable{name: rapid.SampledFrom([]string{"k", "l"}).Draw(t, "kind"), priority: fmt.Sprint(rapid.IntRange(1, 10).Draw(t, "priority"))}
		if rapid.Bool().Draw(t, "shares") {
			d.shared = slices.Sorted(slices.Values(rapid.SliceOfNDistinct(teams, 1, 2, rapid.ID).Draw(t, "shared")))
		}
		return d
	})
	n := rapid.IntRange(1, 4).Draw(t, "files")
	files := make([]drawnFile, n)
	for i := range files {
		files[i] = drawnFile{fmt.Sprintf("%d.toml", 10+i), teams.Draw(t, "team"),
			rapid.SliceOfNDistinct(table, 0, 2, func(d drawnTable) string { return d.name }).Draw(t, "tables")}
	}
	return files
}

// violatesOwnership applies the ownership rule of docs/design.md independently
// of the code under test: the team of the first file with a table owns it, only
// the owner may set shared_with, and only the owner and the teams listed there
// may set other keys.
func violatesOwnership(files []drawnFile) bool {
	owner, shared := map[string]string{}, map[string][]string{}
	for _, f := range files {
		for _, t := range f.tables {
			if owner[t.name] == "" {
				owner[t.name] = f.team
			}
			if owner[t.name] == f.team && t.shared != nil {
				shared[t.name] = t.shared
			}
		}
	}
	return slices.ContainsFunc(files, func(f drawnFile) bool {
		return slices.ContainsFunc(f.tables, func(t drawnTable) bool {
			return owner[t.name] != f.team && (t.shared != nil || !slices.Contains(shared[t.name], f.team))
		})
	})
}

// Guards against a team that changes a table of another team without being in
// its shared_with, against a result that depends on the order in which the
// files are passed, and against one that changes when it is encoded and loaded
// again.
func TestMergeProperties(t *testing.T) {
	requiredTables := File{"99.toml", []byte("team = \"z\"\n[service.s]\n[kind.k9]\nservice=\"s\"\npath_prefix=\"/k9\"\npriority=1\n")}
	rapid.Check(t, func(t *rapid.T) {
		drawn := drawFiles(t)
		files := []File{requiredTables}
		for _, f := range drawn {
			out := f.render()
			for _, k := range f.tables {
				out.Content = []byte(strings.Replace(string(out.Content), "[kind."+k.name+"]\n", "[kind."+k.name+"]\nservice=\"s\"\npath_prefix=\"/"+k.name+"\"\n", 1))
			}
			files = append(files, out)
		}
		m, err := Load(files)
		if violatesOwnership(drawn) {
			var p *Problem
			assert.Assert(t, errors.As(err, &p), "expected an ownership problem")
			assert.Equal(t, p.Code, ProblemOwnership)
		} else {
			assert.NilError(t, err)
		}
		checkSameResult(t, m, err, rapid.Permutation(files).Draw(t, "order"))
	})
}

// checkSameResult checks that loading the files in another order gives the
// same error or values, and that encoding and loading the result again changes
// nothing.
func checkSameResult(t assert.TestingT, m *Merged, err error, shuffled []File) {
	again, errAgain := Load(shuffled)
	assert.Equal(t, fmt.Sprint(err), fmt.Sprint(errAgain))
	if err != nil {
		return
	}
	assert.DeepEqual(t, m.Values(), again.Values())
	encoded, err := m.Encode()
	assert.NilError(t, err)
	decoded, err := Load(encoded)
	assert.NilError(t, err)
	assert.Equal(t, len(Diff(m, decoded)), 0)
	twice, err := decoded.Encode()
	assert.NilError(t, err)
	assert.DeepEqual(t, encoded, twice)
}

// Guards against input that makes Load panic, against a result that depends on
// the order in which the files are passed, and against one that changes when it
// is encoded and loaded again.
func FuzzMerge(f *testing.F) {
	f.Add(base, "team = \"b\"\n[kind.browse]\nretries = 1\n")
	f.Fuzz(func(t *testing.T, first, second string) {
		files := []File{{"10.toml", []byte(first)}, {"20.toml", []byte(second)}}
		m, err := Load(files)
		slices.Reverse(files)
		checkSameResult(t, m, err, files)
	})
}
