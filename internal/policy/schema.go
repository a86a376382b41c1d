package policy

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Limits of a configuration.
const (
	MaxFiles     = 1000
	MaxFileBytes = 1 << 20
	// MaxTotalBytes bounds the size of all files together: each node keeps
	// them in memory, and its memory budget is 32 MB.
	MaxTotalBytes = 8 << 20
	// MaxNameLength bounds the name of a file, team or table, in bytes.
	MaxNameLength = 64

	maxDeadlineMS = 10 * 60 * 1000
	maxQueueMS    = 60 * 1000
	maxRetries    = 20
	maxShare      = 1e6
	maxLinkMbit   = 1e6
)

// Sections of a file. The full name of a table consists of its section and its
// own name, for example "kind.browse".
const (
	sectionService       = "service"
	sectionKind          = "kind"
	sectionClientAccount = "buyer"
	sectionRegion        = "region"
)

const keySharedWith = "shared_with"

// keySpec describes one key of a section.
type keySpec struct {
	name string
	// remedy says which values are accepted.
	remedy   string
	required bool
	// defaultValue is the value of an absent key, or nil.
	defaultValue any
	// check returns the value converted to its canonical type, or a problem.
	check func(v any) (any, string)
}

var sharedWithSpec = keySpec{name: keySharedWith, remedy: "list names of teams, such as [\"bookings\"]", check: checkNames}

// sections lists the keys of each section in alphabetical order.
var sections = map[string][]keySpec{
	sectionService: {
		{name: "max_queue_ms", remedy: "set it to a value from 1 to 60000 ms", defaultValue: int64(100), check: intRange(1, maxQueueMS)},
		sharedWithSpec,
	},
	sectionKind: {
		{name: "budget_share", remedy: "set it to a number above 0 and at most 1", defaultValue: 1.0, check: numberRange(1)},
		{name: "deadline_ms", remedy: "set it to a value from 1 to 600000 ms", defaultValue: int64(5000), check: intRange(1, maxDeadlineMS)},
		{name: "long", remedy: "set it to true or false", defaultValue: false, check: checkBool},
		{name: "methods", remedy: "list HTTP methods in upper case, such as [\"GET\", \"HEAD\"]", defaultValue: []string{}, check: checkMethods},
		{name: "non_idempotent", remedy: "set it to true or false", defaultValue: false, check: checkBool},
		{name: "path_prefix", remedy: "set it to a path that starts with \"/\"", required: true, check: checkPrefix},
		{name: "priority", remedy: "set it to a value from 1 (shed first) to 10 (shed last)", required: true, check: intRange(MinPriority, MaxPriority)},
		{name: "retries", remedy: "set it to a value from 0 to 20", defaultValue: int64(0), check: intRange(0, maxRetries)},
		{name: "service", remedy: "set it to the name of a declared service", required: true, check: checkNameValue},
		{name: "share", remedy: "set it to a number above 0 and at most 1000000", defaultValue: 1.0, check: numberRange(maxShare)},
		sharedWithSpec,
	},
	sectionClientAccount: {
		{name: "share", remedy: "set it to a number above 0 and at most 1000000", required: true, check: numberRange(maxShare)},
		sharedWithSpec,
	},
	sectionRegion: {
		{name: "link_mbit_per_second", remedy: "set it to a number above 0 and at most 1000000 Mbit/s", required: true, check: numberRange(maxLinkMbit)},
		{name: "link_reserved_priority", remedy: "set it to a value from 1 to 10", defaultValue: int64(9), check: intRange(MinPriority, MaxPriority)},
		sharedWithSpec,
	},
}

func findKey(section, name string) (keySpec, bool) {
	for _, s := range sections[section] {
		if s.name == name {
			return s, true
		}
	}
	return keySpec{}, false
}

func keyNames(section string) string {
	names := make([]string, 0, len(sections[section]))
	for _, s := range sections[section] {
		names = append(names, s.name)
	}
	return strings.Join(names, ", ")
}

func intRange(low, high int64) func(any) (any, string) {
	return func(v any) (any, string) {
		n, ok := v.(int64)
		if !ok {
			return nil, fmt.Sprintf("%s is not an integer", formatValue(v))
		}
		if n < low || n > high {
			return nil, fmt.Sprintf("%d is outside the range %d to %d", n, low, high)
		}
		return n, ""
	}
}

// numberRange accepts integers and floats above 0 and at most high.
func numberRange(high float64) func(any) (any, string) {
	return func(v any) (any, string) {
		var f float64
		switch n := v.(type) {
		case int64:
			f = float64(n)
		case float64:
			f = n
		default:
			return nil, fmt.Sprintf("%s is not a number", formatValue(v))
		}
		if math.IsNaN(f) || f <= 0 || f > high {
			return nil, fmt.Sprintf("%v is out of range: it must be above 0 and at most %v", f, high)
		}
		return f, ""
	}
}

func checkBool(v any) (any, string) {
	if b, ok := v.(bool); ok {
		return b, ""
	}
	return nil, fmt.Sprintf("%s is neither true nor false", formatValue(v))
}

func checkString(v any) (string, string) {
	if s, ok := v.(string); ok {
		return s, ""
	}
	return "", fmt.Sprintf("%s is not a string", formatValue(v))
}

func checkNameValue(v any) (any, string) {
	s, problem := checkString(v)
	if problem == "" {
		problem = nameProblem(s)
	}
	return s, problem
}

func checkPrefix(v any) (any, string) {
	s, problem := checkString(v)
	switch {
	case problem != "":
		return nil, problem
	case !strings.HasPrefix(s, "/"):
		return nil, fmt.Sprintf("%q does not start with \"/\"", s)
	case len(s) > 1024:
		return nil, "longer than 1024 characters"
	case strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r > '~' || r == '?' || r == '#' }):
		return nil, fmt.Sprintf("%q contains a character that is not allowed in a path", s)
	}
	return s, ""
}

func checkStrings(v any) ([]string, string) {
	list, ok := v.([]any)
	if !ok {
		return nil, fmt.Sprintf("%s is not a list of strings", formatValue(v))
	}
	out := make([]string, 0, len(list))
	for _, item := range list {
		s, problem := checkString(item)
		if problem != "" {
			return nil, problem
		}
		if slices.Contains(out, s) {
			return nil, fmt.Sprintf("%q is listed twice", s)
		}
		out = append(out, s)
	}
	slices.Sort(out)
	return out, ""
}

func checkNames(v any) (any, string) {
	list, problem := checkStrings(v)
	for _, s := range list {
		if p := nameProblem(s); p != "" {
			return nil, p
		}
	}
	return list, problem
}

// methods lists the methods of RFC 9110 and RFC 5789 that are forwarded to
// targets.
var methods = []string{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"}

func checkMethods(v any) (any, string) {
	list, problem := checkStrings(v)
	for _, m := range list {
		if !slices.Contains(methods, m) {
			return nil, fmt.Sprintf("%q is not one of %s", m, strings.Join(methods, ", "))
		}
	}
	return list, problem
}

// nameProblem returns why a name is invalid, or "".
func nameProblem(s string) string {
	switch {
	case s == "":
		return "the name is empty"
	case len(s) > MaxNameLength:
		return fmt.Sprintf("the name is %d characters long, the limit is %d", len(s), MaxNameLength)
	case strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r > '~' }):
		return fmt.Sprintf("the name %q contains a character that is not visible ASCII", s)
	}
	return ""
}

// tableNameProblem is like nameProblem, but accepts single spaces within the
// name of a region, since regions have geographic names such as
// "Greater Accra".
func tableNameProblem(id tableID) string {
	if id.section != sectionRegion || strings.Trim(id.name, " ") != id.name || strings.Contains(id.name, "  ") {
		return nameProblem(id.name)
	}
	return nameProblem(strings.ReplaceAll(id.name, " ", "-"))
}

// formatValue formats a value as TOML, or describes it if it is a table or a
// list that was not decoded.
func formatValue(v any) string {
	switch x := v.(type) {
	case nil:
		return ""
	case string:
		return fmt.Sprintf("%q", x)
	case []string:
		quoted := make([]string, len(x))
		for i, s := range x {
			quoted[i] = fmt.Sprintf("%q", s)
		}
		return "[" + strings.Join(quoted, ", ") + "]"
	case map[string]any:
		return "a table"
	case []any:
		return "a list"
	default:
		return fmt.Sprint(x)
	}
}
