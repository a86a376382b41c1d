package policy

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const base = `team = "a"
[service.s]
[kind.browse]
service = "s"
path_prefix = "/x/"
priority = 5
`

func problemsOf(t *testing.T, files ...File) []*Problem {
	t.Helper()
	_, err := Load(files)
	var invalid *InvalidError
	assert.Assert(t, errors.As(err, &invalid), "got %v", err)
	for _, p := range invalid.Problems {
		assert.Assert(t, p.Message != "" && p.Remedy != "", "%+v", p)
	}
	return invalid.Problems
}

// Guards against a validation that no longer takes effect, so that a wrong
// configuration reaches nodes: each case must be rejected with its code, line
// and key.
func TestProblems(t *testing.T) {
	kind := func(extra string) string { return base + extra }
	cases := []struct {
		name, content string
		code          ProblemCode
		line          int
		key           string
	}{
		{"unknown key", kind("priorty = 5\n"), ProblemUnknownKey, 7, "priorty"},
		{"unknown section", kind("[servce.s]\n"), ProblemUnknownKey, 7, "servce"},
		{"priority", strings.Replace(base, "= 5", "= 11", 1), ProblemValue, 6, "priority"},
		{"deadline zero", kind("deadline_ms = 0\n"), ProblemValue, 7, "deadline_ms"},
		{"deadline long", kind("deadline_ms = 600001\n"), ProblemValue, 7, "deadline_ms"},
		{"retries", kind("retries = 21\n"), ProblemValue, 7, "retries"},
		{"share", kind("share = 0\n"), ProblemValue, 7, "share"},
		{"share nan", kind("share = nan\n"), ProblemValue, 7, "share"},
		{"budget share", kind("budget_share = 1.5\n"), ProblemValue, 7, "budget_share"},
		{"type", kind("long = \"yes\"\n"), ProblemValue, 7, "long"},
		{"method", kind("methods = [\"get\"]\n"), ProblemValue, 7, "methods"},
		{"prefix", strings.Replace(base, `"/x/"`, `"x/"`, 1), ProblemValue, 5, "path_prefix"},
		{"missing", strings.Replace(base, "priority = 5\n", "", 1), ProblemMissingKey, 3, "priority"},
		{"service", strings.Replace(base, `service = "s"`, `service = "t"`, 1), ProblemUnknownService, 4, "service"},
		{"ambiguous", kind("[kind.other]\nservice=\"s\"\npath_prefix=\"/x/\"\npriority=1\n"), ProblemAmbiguous, 9, "path_prefix"},
		{"name", kind("[service.\"a b\"]\n"), ProblemName, 7, ""},
		{"region name", kind("[region.\"a  b\"]\nlink_mbit_per_second = 1\n"), ProblemName, 7, ""},
		{"team", strings.Replace(base, `team = "a"`, "", 1), ProblemTeam, 0, "team"},
		{"empty", "team = \"a\"\n", ProblemEmpty, 0, ""},
		{"syntax", kind("priority ="), ProblemSyntax, 7, ""},
		{"size", strings.Repeat("#", MaxFileBytes+1), ProblemSize, 0, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := problemsOf(t, File{"10.toml", []byte(c.content)})[0]
			assert.Equal(t, p.Code, c.code, p.Error())
			assert.Equal(t, p.Key, c.key)
			if c.line > 0 {
				assert.Equal(t, p.Line, c.line, p.Error())
			}
		})
	}
	many := sampleFiles(9)
	for i := range many {
		many[i].Content = append(many[i].Content, bytes.Repeat([]byte("#"), 1e6)...)
	}
	assert.Equal(t, problemsOf(t, many...)[0].Code, ProblemSize)
	assert.Equal(t, problemsOf(t)[0].Code, ProblemEmpty)
	assert.Equal(t, problemsOf(t, make([]File, MaxFiles+1)...)[0].Code, ProblemSize)
}

// Guards against reporting only the first problem: operators would need one
// run of the check per mistake.
func TestAllProblemsAtOnce(t *testing.T) {
	got := problemsOf(t,
		File{"10.toml", []byte(base + "retries = 99\nshare = -1\n")},
		File{"20.toml", []byte("team = \"b\"\n[kind.browse]\npriority = 1\n")})
	assert.Equal(t, len(got), 3, "%v", got)
	p := got[2]
	assert.Equal(t, p.Code, ProblemOwnership)
	assert.Equal(t, p.Error(), `file "20.toml", line 3, table kind.browse, key priority: team "b" may not set this `+
		`(owner: team "a" by file "10.toml"); ask team "a" to change it or to add "b" to shared_with of the table in file "10.toml"`)
}

// Guards against a shared_with list that has no effect, and against a team in
// that list that extends it to further teams.
func TestSharedTable(t *testing.T) {
	owner := File{"10.toml", []byte(base + "shared_with = [\"b\"]\n")}
	m, err := Load([]File{{"20.toml", []byte("team = \"b\"\n[kind.browse]\ndeadline_ms = 70\n")}, owner})
	assert.NilError(t, err)
	assert.Equal(t, m.Policy.Kinds["browse"].Deadline, 70*time.Millisecond)
	i := slices.IndexFunc(m.Values(), func(v Value) bool { return v.Key == "deadline_ms" })
	assert.DeepEqual(t, m.Values()[i], Value{"kind.browse", "deadline_ms", "70", "20.toml", "b"})

	got := problemsOf(t, owner, File{"20.toml", []byte("team = \"b\"\n[kind.browse]\nshared_with = [\"c\"]\n")},
		File{"30.toml", []byte("team = \"c\"\n[kind.browse]\nretries = 1\n")})
	assert.Equal(t, len(got), 2)
	assert.Equal(t, got[0].Key, keySharedWith)
	assert.Equal(t, got[1].File, "30.toml")
}

// Guards against misleading problems: a file that cannot be decoded may own or
// declare what the other files use, so the checks across files are skipped
// until it is fixed.
func TestUnreadableFileSkipsCrossFileChecks(t *testing.T) {
	got := problemsOf(t, File{"05.toml", []byte("team = \"b\"\n[service.t")},
		File{"10.toml", []byte(strings.Replace(base, `"s"`, `"t"`, 1))})
	assert.Equal(t, len(got), 1, "%v", got)
	assert.Equal(t, got[0].Code, ProblemSyntax)

	// An invalid list of teams or methods is reported, but not the ownership
	// and ambiguity problems that would follow from it.
	got = problemsOf(t, File{"10.toml", []byte(base + "shared_with = \"b\"\nmethods = [\"get\"]\n[kind.k]\nservice = \"s\"\npath_prefix = \"/x/\"\npriority = 1\n")},
		File{"20.toml", []byte("team = \"b\"\n[kind.browse]\nretries = 1\n")})
	assert.Equal(t, len(got), 2, "%v", got)
}

// Guards against matching a request to the wrong kind: the longest prefix
// takes precedence, then kinds that list the method.
func TestMatch(t *testing.T) {
	p, err := Parse([]File{{"a.toml", []byte(base + `
[kind.write]
service = "s"
path_prefix = "/x/"
methods = ["POST", "PUT"]
priority = 9
[kind.deep]
service = "s"
path_prefix = "/x/y"
methods = ["GET"]
priority = 1
`)}})
	assert.NilError(t, err)
	for request, want := range map[string]string{
		"GET /x/": "browse", "POST /x/": "write", "GET /x/yz": "deep", "PUT /x/yz": "write", "DELETE /x/y": "browse", "GET /": "", "GET ": "",
	} {
		method, path, _ := strings.Cut(request, " ")
		k, ok := p.Match(method, path)
		assert.Equal(t, k.Name, want, request)
		assert.Equal(t, ok, want != "")
	}
}

// Guards against a diff that reports a table as changed because it moved to
// another file or a default was written out.
func TestDiff(t *testing.T) {
	before, err := Load([]File{{"a.toml", []byte(base)}})
	assert.NilError(t, err)
	after, err := Load([]File{{"b.toml", []byte(strings.Replace(base, "priority = 5", "priority = 6\nretries = 0", 1) + "[region.r]\nlink_mbit_per_second = 30\n")}})
	assert.NilError(t, err)
	assert.DeepEqual(t, Diff(before, after), []Difference{
		{"kind.browse", "priority", "5", "6", "b.toml"},
		{"region.r", "link_mbit_per_second", "", "30", "b.toml"},
		{"region.r", "link_reserved_priority", "", "9", ""},
		{"region.r", "team", "", `"a"`, "b.toml"},
	})
	assert.Equal(t, len(Diff(nil, before)), len(before.Values()))
}

// sampleFiles returns n files with one service and four kinds each.
func sampleFiles(n int) []File {
	files := make([]File, n)
	for i := range files {
		var b strings.Builder
		fmt.Fprintf(&b, "team = \"team%d\"\n\n[service.s%d]\nmax_queue_ms = 100\n", i, i)
		for k := range 4 {
			fmt.Fprintf(&b, "\n[kind.s%d-k%d]\nservice = \"s%d\"\npath_prefix = \"/s%d/k%d/\"\nmethods = [\"GET\", \"HEAD\"]\npriority = %d\ndeadline_ms = 2000\nretries = 3\nshare = 1.5\n", i, k, i, i, k, 1+k)
		}
		files[i] = File{fmt.Sprintf("%04d.toml", i), []byte(b.String())}
	}
	return files
}

func BenchmarkParse(b *testing.B) {
	for _, n := range []int{10, 30, 110, 330} {
		files := sampleFiles(n)
		b.Run(fmt.Sprintf("files=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Parse(files); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{10, 110} {
		p, err := Parse(sampleFiles(n))
		assert.NilError(b, err)
		b.Run(fmt.Sprintf("services=%d", n), func(b *testing.B) {
			for b.Loop() {
				p.Match("GET", "/s9/k3/item")
			}
		})
	}
}
