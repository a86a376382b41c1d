package internal

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/apierror"
	"parsleyturn/internal/settings"
)

// rows returns the cells of the table rows of a page by their first cell,
// which is a name in backquotes.
func rows(t *testing.T, page string) map[string][]string {
	t.Helper()
	content, err := os.ReadFile("../docs/" + page)
	assert.NilError(t, err)
	out := map[string][]string{}
	for _, line := range strings.Split(string(content), "\n") {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		cells := strings.Split(strings.Trim(line, "| "), "|")
		for i := range cells {
			cells[i] = strings.Trim(cells[i], "` ")
		}
		name := cells[0]
		_, double := out[name]
		assert.Assert(t, !double, "%s lists %s twice", page, name)
		out[name] = cells
	}
	return out
}

func sameNames(t *testing.T, page string, got map[string][]string, want []string) {
	t.Helper()
	for _, name := range want {
		_, ok := got[name]
		assert.Check(t, ok, "%s does not list %s", page, name)
	}
	for name := range got {
		assert.Check(t, slices.Contains(want, name), "%s lists %s, which does not exist", page, name)
	}
}

// Guards against settings that the page leaves out, and against defaults on
// the page that are not those of the code.
func TestSettingsPage(t *testing.T) {
	n, err := settings.Parse("defaults", []byte(`
id = "n"
region = "r"
availability_zone = "z"
caller_address = "127.0.0.1:1"
target_address = "127.0.0.1:2"
link_address = "127.0.0.1:3"
gossip_address = "127.0.0.1:4"
admin_address = "127.0.0.1:5"
platform = "http://127.0.0.1:6"
`))
	assert.NilError(t, err)
	table := rows(t, "settings.md")
	var keys []string
	v := reflect.ValueOf(n).Elem()
	for i := range v.NumField() {
		key := v.Type().Field(i).Tag.Get("toml")
		keys = append(keys, key)
		if value := v.Field(i); value.CanInt() || key == "log_level" {
			assert.Equal(t, table[key][2], fmt.Sprint(value.Interface()), "default of %s", key)
		}
	}
	sameNames(t, "settings.md", table, keys)
}

// Guards against refusals that callers see and the page does not explain.
func TestRefusalsPage(t *testing.T) {
	table := rows(t, "refusals.md")
	var codes []string
	for _, c := range apierror.Codes() {
		codes = append(codes, string(c))
		if row, ok := table[string(c)]; ok {
			assert.Equal(t, row[1], fmt.Sprint(apierror.New(c, apierror.NotRun, "").Status()), "status of %s", c)
		}
	}
	sameNames(t, "refusals.md", table, codes)
}

// metricCall finds metrics. Labels that are set at run time are left out of the name.
var metricCall = regexp.MustCompile("metrics\\.(?:New|GetOrCreate)\\w+\\((?:fmt\\.Sprintf\\(`(\\w+)\\{[^`]*%[^`]*`|`([^`]+)`)")

// Guards against metrics that the page does not explain, and against names on
// the page, also in the steps for alarms, that no node exports.
func TestMetricsPage(t *testing.T) {
	var names []string
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		content, err := os.ReadFile(path)
		for _, m := range metricCall.FindAllStringSubmatch(string(content), -1) {
			if name := m[1] + m[2]; !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
		return err
	})
	assert.NilError(t, err)
	assert.Assert(t, len(names) > 50, "only %d metrics found in the source", len(names))
	sameNames(t, "metrics.md", rows(t, "metrics.md"), names)
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	assert.NilError(t, err)
	for _, name := range regexp.MustCompile(`parsley_\w+`).FindAllString(string(page), -1) {
		assert.Check(t, slices.ContainsFunc(names, func(n string) bool { return n == name || strings.HasPrefix(n, name+"{") }),
			"OPERATIONS.md names %s, which does not exist", name)
	}
}
