package policy

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Merged is the result of merging the files of a folder in the order of their
// names. It records which file set each value; nodes keep only its Policy.
type Merged struct {
	Policy *Policy
	tables map[tableID]*table
}

type tableID struct{ section, name string }

// String returns the name of the table in errors and in 'config show'.
func (id tableID) String() string { return id.section + "." + id.name }

type setting struct {
	value      any
	file, team string
}

type table struct {
	id tableID
	// ownerFile is the first file that defines the table, and owner its team.
	owner, ownerFile string
	settings         map[string]setting
}

// sharesWith reports whether a team other than the owner may set keys of the
// table. If the shared_with list itself is invalid, it returns true, so that
// no ownership problems follow from that error.
func (t *table) sharesWith(team string) bool {
	s, set := t.settings[keySharedWith]
	list, ok := s.value.([]string)
	return set && (!ok || slices.Contains(list, team))
}

// value returns the effective value of a key: its default if it is absent.
func (t *table) value(key string) any {
	if s, ok := t.settings[key]; ok {
		return s.value
	}
	spec, _ := findKey(t.id.section, key)
	return spec.defaultValue
}

// parsedFile is a decoded file whose keys were checked individually.
type parsedFile struct {
	name, team string
	tables     map[tableID]map[string]any
}

type merger struct {
	problems []*Problem
	lines    *lineIndex
	parsed   []parsedFile
	// incomplete is set when a file is too large, could not be decoded or has
	// no valid team. The checks across files are then skipped, since that file
	// may own or declare what the others refer to.
	incomplete bool
	tables     map[tableID]*table
}

// Load merges files in the order of their names, whatever their order in the
// argument, and checks the result. It returns all problems together in an
// *InvalidError.
func Load(files []File) (*Merged, error) {
	files = slices.Clone(files)
	sort.Slice(files, func(i, j int) bool { return files[i].Name < files[j].Name })
	m := &merger{lines: newLineIndex(files), tables: map[tableID]*table{}}
	if len(files) > MaxFiles {
		m.addProblem(&Problem{Code: ProblemSize, Message: fmt.Sprintf("%d files exceed the limit of %d", len(files), MaxFiles), Remedy: "combine files of the same team"})
		return nil, &InvalidError{m.problems}
	}
	total := 0
	for i, f := range files {
		total += len(f.Content)
		if i > 0 && files[i-1].Name == f.Name {
			m.addProblem(&Problem{Code: ProblemName, File: f.Name, Message: "duplicate file name", Remedy: "give each file a unique name"})
			continue
		}
		m.readFile(f)
	}
	if total > MaxTotalBytes {
		m.addProblem(&Problem{Code: ProblemSize, Message: fmt.Sprintf("%d bytes in all files exceed the limit of %d", total, MaxTotalBytes), Remedy: "reduce the size of the files"})
	}
	for _, f := range m.parsed {
		m.merge(f)
	}
	if !m.incomplete {
		m.checkTables()
	}
	if len(m.problems) > 0 {
		sortProblems(m.problems)
		return nil, &InvalidError{m.problems}
	}
	return &Merged{Policy: build(m.tables), tables: m.tables}, nil
}

func sortProblems(problems []*Problem) {
	sort.SliceStable(problems, func(i, j int) bool {
		a, b := problems[i], problems[j]
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Table+" "+a.Key+" "+a.Message < b.Table+" "+b.Key+" "+b.Message
	})
}

func (m *merger) addProblem(p *Problem) { m.problems = append(m.problems, p) }

// addTableProblem adds a problem with a key, or with the whole table if key is
// empty.
func (m *merger) addTableProblem(code ProblemCode, file string, id tableID, key, message, remedy string) *Problem {
	path := []string{id.section, id.name}
	if key != "" {
		path = append(path, key)
	}
	p := &Problem{Code: code, File: file, Line: m.lines.line(file, path...), Table: id.String(), Key: key, Message: message, Remedy: remedy}
	m.addProblem(p)
	return p
}

// readFile decodes one file and runs the checks that need no other file.
func (m *merger) readFile(f File) {
	if p := fileNameProblem(f.Name); p != "" {
		m.addProblem(&Problem{Code: ProblemName, File: f.Name, Message: p, Remedy: "rename the file"})
	}
	if len(f.Content) > MaxFileBytes {
		m.incomplete = true
		m.addProblem(&Problem{Code: ProblemSize, File: f.Name, Message: fmt.Sprintf("%d bytes exceed the limit of %d", len(f.Content), MaxFileBytes), Remedy: "split the file"})
		return
	}
	var doc map[string]any
	if err := toml.Unmarshal(f.Content, &doc); err != nil {
		m.incomplete = true
		m.addProblem(syntaxProblem(f.Name, err))
		return
	}
	out := parsedFile{name: f.Name, team: m.readTeam(f.Name, doc), tables: map[tableID]map[string]any{}}
	for _, section := range slices.Sorted(maps.Keys(doc)) {
		if section != "team" {
			m.readSection(out, section, doc[section])
		}
	}
	m.parsed = append(m.parsed, out)
}

func fileNameProblem(name string) string {
	if p := nameProblem(name); p != "" {
		return p
	}
	if strings.ContainsAny(name, `/\`) {
		return fmt.Sprintf("the name %q contains a path separator", name)
	}
	return ""
}

func syntaxProblem(file string, err error) *Problem {
	p := &Problem{Code: ProblemSyntax, File: file, Message: err.Error(), Remedy: "fix the TOML syntax"}
	var de *toml.DecodeError
	if errors.As(err, &de) {
		p.Line, _ = de.Position()
		p.Key = strings.Join(de.Key(), ".")
	}
	return p
}

func (m *merger) readTeam(file string, doc map[string]any) string {
	team, ok := doc["team"].(string)
	problem := "the team key is missing"
	if _, present := doc["team"]; present {
		problem = "the team is not a string"
		if ok {
			problem = nameProblem(team)
		}
	}
	if problem != "" {
		m.incomplete = true
		m.addProblem(&Problem{Code: ProblemTeam, File: file, Line: m.lines.line(file, "team"), Key: "team", Message: problem, Remedy: "start the file with a line such as team = \"bookings\""})
	}
	return team
}

func (m *merger) readSection(out parsedFile, section string, v any) {
	_, known := sections[section]
	tablesByName, isTable := v.(map[string]any)
	if !known || !isTable {
		m.addProblem(&Problem{Code: ProblemUnknownKey, File: out.name, Line: m.lines.line(out.name, section), Key: section,
			Message: "unknown or misplaced key", Remedy: "use team and tables named service.NAME, kind.NAME, buyer.NAME or region.NAME"})
		return
	}
	for _, name := range slices.Sorted(maps.Keys(tablesByName)) {
		id := tableID{section, name}
		if p := tableNameProblem(id); p != "" {
			m.addTableProblem(ProblemName, out.name, id, "", p, fmt.Sprintf("use 1 to %d visible ASCII characters", MaxNameLength))
			continue
		}
		body, ok := tablesByName[name].(map[string]any)
		if !ok {
			m.addTableProblem(ProblemUnknownKey, out.name, id, "", "not a table", fmt.Sprintf("write [%s.NAME] above the keys", section))
			continue
		}
		out.tables[id] = m.readTable(out.name, id, body)
	}
}

func (m *merger) readTable(file string, id tableID, body map[string]any) map[string]any {
	checked := make(map[string]any, len(body))
	for _, key := range slices.Sorted(maps.Keys(body)) {
		spec, ok := findKey(id.section, key)
		if !ok {
			m.addTableProblem(ProblemUnknownKey, file, id, key, "unknown key", "remove it or use one of "+keyNames(id.section))
			continue
		}
		value, problem := spec.check(body[key])
		if problem != "" {
			m.addTableProblem(ProblemValue, file, id, key, problem, spec.remedy)
			// A nil value keeps the key from also being reported as missing
			// and keeps later checks from using the invalid value.
			value = nil
		}
		checked[key] = value
	}
	return checked
}

// merge adds the tables of a file. Files must be merged in the order of their
// names, since the first file with a table determines its owner.
func (m *merger) merge(f parsedFile) {
	for id, keys := range f.tables {
		t := m.tables[id]
		if t == nil {
			t = &table{id: id, owner: f.team, ownerFile: f.name, settings: make(map[string]setting, len(keys))}
			m.tables[id] = t
		}
		for key, value := range keys {
			// Only the owner may set shared_with; checkOwnership reports the
			// keys of other teams.
			if key == keySharedWith && f.team != t.owner {
				continue
			}
			t.settings[key] = setting{value, f.name, f.team}
		}
	}
}

// build converts validated tables into a Policy.
func build(tables map[tableID]*table) *Policy {
	p := &Policy{Services: map[string]Service{}, Kinds: map[string]Kind{}, ClientAccounts: map[string]ClientAccount{}, Regions: map[string]Region{}}
	for id, t := range tables {
		switch id.section {
		case sectionService:
			p.Services[id.name] = buildService(t)
		case sectionKind:
			p.Kinds[id.name] = buildKind(t)
		case sectionClientAccount:
			p.ClientAccounts[id.name] = ClientAccount{Name: id.name, Share: t.value("share").(float64)}
		case sectionRegion:
			p.Regions[id.name] = buildRegion(t)
		}
	}
	p.compile()
	return p
}
