package policy

import (
	"fmt"
	"slices"
	"sort"

	"github.com/pelletier/go-toml/v2"
)

// Value is one effective value and the file that set it.
type Value struct {
	// Table consists of the section and the name, such as "kind.browse".
	Table string `json:"table"`
	// Key is a key of the table, or "team" for the team that owns it.
	Key string `json:"key"`
	// Value is formatted as TOML.
	Value string `json:"value"`
	// File is the file that set the value. It is empty for a default.
	File string `json:"file,omitempty"`
	// Team is the team of the file.
	Team string `json:"team,omitempty"`
}

// Values returns all effective values, including defaults, ordered by table.
// Within a table, the owner comes first and the keys follow in alphabetical
// order.
func (m *Merged) Values() []Value {
	var out []Value
	for _, t := range m.sortedTables() {
		out = append(out, Value{t.id.String(), "team", formatValue(t.owner), t.ownerFile, t.owner})
		for _, spec := range sections[t.id.section] {
			s, set := t.settings[spec.name]
			if v := t.value(spec.name); set || v != nil {
				out = append(out, Value{t.id.String(), spec.name, formatValue(v), s.file, s.team})
			}
		}
	}
	return out
}

func (m *Merged) sortedTables() []*table {
	out := make([]*table, 0, len(m.tables))
	for _, t := range m.tables {
		out = append(out, t)
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i].id, out[j].id
		if a.section != b.section {
			return a.section < b.section
		}
		return a.name < b.name
	})
	return out
}

// Difference is a value that differs between two configurations.
type Difference struct {
	Table string `json:"table"`
	Key   string `json:"key"`
	// Old and New are formatted as TOML; empty means absent.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
	// File is the file that set the new value, or the old one if there is no
	// new one. It is empty for a default.
	File string `json:"file,omitempty"`
}

// Diff compares the effective values of two configurations, so moving a table
// to another file or setting a key to its default is no difference. A nil
// argument is treated as an empty configuration.
func Diff(before, after *Merged) []Difference {
	type tableKey struct{ table, key string }
	byKey := map[tableKey]*Difference{}
	collect := func(m *Merged, set func(d *Difference, v Value)) {
		if m == nil {
			return
		}
		for _, v := range m.Values() {
			at := tableKey{v.Table, v.Key}
			if byKey[at] == nil {
				byKey[at] = &Difference{Table: v.Table, Key: v.Key}
			}
			set(byKey[at], v)
		}
	}
	collect(before, func(d *Difference, v Value) { d.Old, d.File = v.Value, v.File })
	collect(after, func(d *Difference, v Value) { d.New, d.File = v.Value, v.File })
	out := []Difference{}
	for _, d := range byKey {
		if d.Old != d.New {
			out = append(out, *d)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Table != out[j].Table {
			return out[i].Table < out[j].Table
		}
		return out[i].Key < out[j].Key
	})
	return out
}

// Encode returns the configuration as one file per owning team. The result
// depends only on the values and the owners: values set by other teams become
// part of the owner's file.
func (m *Merged) Encode() ([]File, error) {
	docs := map[string]map[string]any{}
	var teams []string
	for _, t := range m.sortedTables() {
		doc := docs[t.owner]
		if doc == nil {
			doc = map[string]any{"team": t.owner}
			docs[t.owner] = doc
			teams = append(teams, t.owner)
		}
		section, _ := doc[t.id.section].(map[string]any)
		if section == nil {
			section = map[string]any{}
			doc[t.id.section] = section
		}
		body := map[string]any{}
		for key, s := range t.settings {
			body[key] = s.value
		}
		section[t.id.name] = body
	}
	slices.Sort(teams)
	files := make([]File, 0, len(teams))
	for i, team := range teams {
		// The TOML library writes the keys of maps in sorted order.
		content, err := toml.Marshal(docs[team])
		if err != nil {
			return nil, fmt.Errorf("encode the tables of team %q: %w", team, err)
		}
		files = append(files, File{fmt.Sprintf("%03d.toml", i+1), content})
	}
	return files, nil
}
