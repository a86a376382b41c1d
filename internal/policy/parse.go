package policy

import (
	"sort"
	"time"
)

// File is one file of the configuration folder.
type File struct {
	Name    string
	Content []byte
}

// Parse merges files in the order of their names and checks the result. It
// returns all problems together in an *InvalidError.
func Parse(files []File) (*Policy, error) {
	m, err := Load(files)
	if err != nil {
		return nil, err
	}
	return m.Policy, nil
}

func buildService(t *table) Service {
	return Service{Name: t.id.name, MaxQueueTime: milliseconds(t.value("max_queue_ms"))}
}

func buildKind(t *table) Kind {
	return Kind{
		Name:          t.id.name,
		Service:       t.value("service").(string),
		Methods:       t.value("methods").([]string),
		PathPrefix:    t.value("path_prefix").(string),
		Priority:      int(t.value("priority").(int64)),
		NonIdempotent: t.value("non_idempotent").(bool),
		Long:          t.value("long").(bool),
		Deadline:      milliseconds(t.value("deadline_ms")),
		Retries:       int(t.value("retries").(int64)),
		Share:         t.value("share").(float64),
		BudgetShare:   t.value("budget_share").(float64),
	}
}

func buildRegion(t *table) Region {
	return Region{
		Name:                 t.id.name,
		LinkBytesPerSecond:   int64(t.value("link_mbit_per_second").(float64) * 1e6 / 8),
		LinkReservedPriority: int(t.value("link_reserved_priority").(int64)),
	}
}

func milliseconds(v any) time.Duration { return time.Duration(v.(int64)) * time.Millisecond }

// compile builds the index that Match uses: the kinds by path prefix. Within a
// prefix, kinds that list methods come first.
func (p *Policy) compile() {
	p.byPrefix = make(map[string][]Kind, len(p.Kinds))
	lengths := map[int]bool{}
	for _, k := range p.Kinds {
		p.byPrefix[k.PathPrefix] = append(p.byPrefix[k.PathPrefix], k)
		lengths[len(k.PathPrefix)] = true
	}
	for _, kinds := range p.byPrefix {
		sort.Slice(kinds, func(i, j int) bool {
			a, b := &kinds[i], &kinds[j]
			if (len(a.Methods) > 0) != (len(b.Methods) > 0) {
				return len(a.Methods) > 0
			}
			return a.Name < b.Name
		})
	}
	p.lengths = p.lengths[:0]
	for l := range lengths {
		p.lengths = append(p.lengths, l)
	}
	sort.Sort(sort.Reverse(sort.IntSlice(p.lengths)))
}
