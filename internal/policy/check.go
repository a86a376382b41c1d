package policy

import (
	"fmt"
	"slices"
	"sort"
	"strings"
)

// checkTables runs the checks that need more than one file or table.
func (m *merger) checkTables() {
	m.checkOwnership()
	m.checkRequiredKeys()
	m.checkServiceReferences()
	m.checkAmbiguousKinds()
	m.checkNotEmpty()
}

// checkOwnership rejects keys set by a team that neither owns the table nor
// is listed in its shared_with. It uses the list that results from the merge,
// so the owner may set it in any of its files.
func (m *merger) checkOwnership() {
	for _, f := range m.parsed {
		for id, keys := range f.tables {
			t := m.tables[id]
			if f.team == t.owner {
				continue
			}
			if !t.sharesWith(f.team) {
				m.reportForeignTable(f, t, keys)
			} else if _, ok := keys[keySharedWith]; ok {
				m.addOwnershipProblem(f, t, keySharedWith, fmt.Sprintf("team %q may set other keys of this table, but not shared_with", f.team),
					fmt.Sprintf("remove the key or ask team %q to change it", t.owner))
			}
		}
	}
}

// reportForeignTable adds an ownership problem for each key of a table that
// the team of f may not set, or one for the table itself if it has no keys.
func (m *merger) reportForeignTable(f parsedFile, t *table, keys map[string]any) {
	message := fmt.Sprintf("team %q may not set this", f.team)
	remedy := fmt.Sprintf("ask team %q to change it or to add %q to shared_with of the table in file %q", t.owner, f.team, t.ownerFile)
	if len(keys) == 0 {
		m.addOwnershipProblem(f, t, "", message, remedy)
	}
	for key := range keys {
		m.addOwnershipProblem(f, t, key, message, remedy)
	}
}

func (m *merger) addOwnershipProblem(f parsedFile, t *table, key, message, remedy string) {
	p := m.addTableProblem(ProblemOwnership, f.name, t.id, key, message, remedy)
	p.Owner, p.OwnerFile = t.owner, t.ownerFile
}

func (m *merger) checkRequiredKeys() {
	for id, t := range m.tables {
		for _, spec := range sections[id.section] {
			if _, ok := t.settings[spec.name]; spec.required && !ok {
				m.addTableProblem(ProblemMissingKey, t.ownerFile, id, spec.name, "required key is missing", spec.remedy)
			}
		}
	}
}

func (m *merger) checkServiceReferences() {
	for id, t := range m.tables {
		if id.section != sectionKind {
			continue
		}
		s, ok := t.settings["service"]
		name, _ := s.value.(string)
		if !ok || name == "" {
			continue
		}
		if m.tables[tableID{sectionService, name}] == nil {
			m.addTableProblem(ProblemUnknownService, s.file, id, "service", fmt.Sprintf("no file declares service %q", name),
				fmt.Sprintf("add a table [service.%s] or correct the name; declared: %s", name, m.serviceNames()))
		}
	}
}

func (m *merger) serviceNames() string {
	var names []string
	for id := range m.tables {
		if id.section == sectionService {
			names = append(names, id.name)
		}
	}
	if len(names) == 0 {
		return "none"
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

// checkAmbiguousKinds rejects pairs of kinds that match a request with equal
// specificity: they have the same path prefix, and either neither lists
// methods or they have a method in common.
func (m *merger) checkAmbiguousKinds() {
	byPrefix := map[string][]*table{}
	for id, t := range m.tables {
		if prefix, _ := t.value("path_prefix").(string); id.section == sectionKind && prefix != "" {
			byPrefix[prefix] = append(byPrefix[prefix], t)
		}
	}
	for prefix, kinds := range byPrefix {
		sort.Slice(kinds, func(i, j int) bool { return kinds[i].id.name < kinds[j].id.name })
		for i, a := range kinds {
			for _, b := range kinds[i+1:] {
				m.checkMethodOverlap(prefix, a, b)
			}
		}
	}
}

func (m *merger) checkMethodOverlap(prefix string, a, b *table) {
	am, aValid := a.value("methods").([]string)
	bm, bValid := b.value("methods").([]string)
	if !aValid || !bValid {
		return
	}
	common := "every method"
	if len(am) > 0 || len(bm) > 0 {
		i := slices.IndexFunc(am, func(s string) bool { return slices.Contains(bm, s) })
		if i < 0 {
			return
		}
		common = am[i]
	}
	m.addTableProblem(ProblemAmbiguous, b.settings["path_prefix"].file, b.id, "path_prefix",
		fmt.Sprintf("%s in file %q also matches %s under path prefix %q, with the same specificity", a.id, a.settings["path_prefix"].file, common, prefix),
		"give one of the kinds a longer path_prefix or different methods")
}

func (m *merger) checkNotEmpty() {
	var services, kinds int
	for id := range m.tables {
		switch id.section {
		case sectionService:
			services++
		case sectionKind:
			kinds++
		}
	}
	if services == 0 || kinds == 0 {
		m.addProblem(&Problem{Code: ProblemEmpty, Message: fmt.Sprintf("the configuration declares %d services and %d kinds", services, kinds),
			Remedy: "declare at least one service and one kind; nodes refuse every request that matches no kind"})
	}
}
