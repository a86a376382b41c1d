package routetable

import (
	"testing"

	"gotest.tools/v3/assert"
)

func newTable(t *testing.T, routes ...*Route) *Table {
	t.Helper()
	tab, err := New(1, routes, []Service{{Name: "a"}, {Name: "b"}}, Limits{})
	assert.NilError(t, err)
	return tab
}

// Guards against requests that are matched with a shorter prefix although a
// longer one matches, with a prefix that ends within a path segment, or with a
// route of another host.
func TestMatchTakesTheLongestPrefixOfTheHost(t *testing.T) {
	short := &Route{Name: "short", Host: "h.example", Prefix: "/", Destinations: []Destination{{"a", 1}}}
	long := &Route{Name: "long", Host: "h.example", Prefix: "/x/y/", Destinations: []Destination{{"b", 1}}}
	tab := newTable(t, short, long)
	for _, c := range []struct {
		host, path string
		want       *Route
	}{
		{"h.example", "/x/y/z", long},
		{"H.example:80", "/x/y/", long},
		{"h.example", "/x/yz", short},
		{"h.example", "/x/y", short},
		{"other.example", "/x/y/z", nil},
	} {
		assert.Equal(t, tab.Match(c.host, c.path), c.want, "%s%s", c.host, c.path)
	}
}

// Guards against traffic shares that deviate from the weights over a few
// hundred requests.
func TestSplitFollowsTheWeights(t *testing.T) {
	r := &Route{Name: "r", Host: "h", Prefix: "/", Destinations: []Destination{{"a", 90}, {"b", 10}}}
	newTable(t, r)
	counts := map[string]int{}
	for range 300 {
		counts[r.NextService()]++
	}
	assert.Equal(t, counts["a"], 270)
	assert.Equal(t, counts["b"], 30)
}

// Guards against accepting a configuration with a route that cannot match or
// has no usable destination.
func TestNewRejectsInvalidRoutes(t *testing.T) {
	for name, r := range map[string]*Route{
		"unknown service": {Host: "h", Prefix: "/", Destinations: []Destination{{"c", 1}}},
		"no weight":       {Host: "h", Prefix: "/", Destinations: []Destination{{"a", 0}}},
		"below zero":      {Host: "h", Prefix: "/", Destinations: []Destination{{"a", -1}, {"b", 5}}},
		"no service":      {Host: "h", Prefix: "/"},
		"prefix":          {Host: "h", Prefix: "/x", Destinations: []Destination{{"a", 1}}},
	} {
		_, err := New(1, []*Route{r}, []Service{{Name: "a"}, {Name: "b"}}, Limits{})
		assert.Assert(t, err != nil, name)
	}
}
