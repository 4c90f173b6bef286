package setting

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
)

// Violation is one reason why settings are refused.
type Violation struct {
	// File is the name of the file that set the value, without its folder. It is empty for settings that were not read
	// from a folder.
	File string
	// Field is the dotted path of the value. It is empty if the fault is in the file as a whole.
	Field  string
	Reason string
}

// String returns "file: field: reason" without the parts that are empty.
func (f Violation) String() string {
	parts := slices.DeleteFunc([]string{f.File, f.Field, f.Reason}, func(part string) bool { return part == "" })
	return strings.Join(parts, ": ")
}

// Violations are all faults that were found, sorted by file, field and reason. It implements error; Err returns it as one.
type Violations []Violation

// Error returns one line for each fault.
func (f Violations) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns f as an error, or nil if there are no faults.
func (f Violations) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// sorted sorts f in place, drops repetitions and returns the rest.
func (f Violations) sorted() Violations {
	slices.SortFunc(f, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Field, b.Field), cmp.Compare(a.Reason, b.Reason))
	})
	return slices.Compact(f)
}

// join returns the dotted path of a field below path. A name that would make the path ambiguous is quoted.
func join(path, name string) string {
	if name == "" || strings.ContainsFunc(name, isNotPathRune) {
		name = strconv.Quote(name)
	}
	if path == "" {
		return name
	}
	return path + "." + name
}

func isNotPathRune(r rune) bool {
	letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	return !letter && !(r >= '0' && r <= '9') && r != '-' && r != '_'
}

// parent returns the path without its last name, "" for the root. For a quoted name that contains a dot it returns a path
// that is not in the document; callers go on to its parent.
func parent(path string) string {
	return path[:max(strings.LastIndexByte(path, '.'), 0)]
}
