package setting

import (
	"fmt"
	"maps"
	"regexp"
	"strings"
)

// absentFields matches the fields without a value that have no default. They are left out of documents, so that settings
// that use none of them have the documents that they had before these fields existed.
var absentFields = regexp.MustCompile(`,"(workspaces|revocation|rank|period|overshoot|spare)":null`)

// hiddenKey replaces the keys of workspaces in settings that are shown.
const hiddenKey = "(key)"

// WithoutKeys returns a copy of the settings in which the keys of workspaces are replaced, for display.
func (s *Settings) WithoutKeys() *Settings {
	shown := *s
	shown.Workspaces = maps.Clone(s.Workspaces)
	for name, w := range shown.Workspaces {
		hidden := make([]string, len(w.Keys))
		for i := range hidden {
			hidden[i] = hiddenKey
		}
		w.Keys = hidden
		shown.Workspaces[name] = w
	}
	return &shown
}

// CheckWorkspaces returns what is wrong with workspaces: keys that no request can carry, and keys that two workspaces hold.
// It names keys by their place and does not quote them. prefix is the path of the workspaces.
func CheckWorkspaces(prefix, keysField string, workspaces map[string]Workspace) Violations {
	var violations Violations
	report := func(field, format string, values ...any) {
		violations = append(violations, Violation{
			Field:  field,
			Reason: fmt.Sprintf(format, values...),
		})
	}
	places := map[string]string{}
	for _, name := range sortedKeys(workspaces) {
		if name == "" || strings.TrimSpace(name) != name || strings.ContainsFunc(name, isControl) {
			report(join(prefix, name), "the name cannot be sent in a header")
		}
		for i, key := range workspaces[name].Keys {
			place := fmt.Sprintf("%s.%s.%d", join(prefix, name), keysField, i)
			if key == "" || strings.Trim(key, " \t") != key || strings.ContainsFunc(key, isControl) {
				report(place, "no request can carry this key: it is empty, begins or ends with a space, or has control characters")
			}
			if other, ok := places[key]; ok {
				report(place, "is the same key as %s", other)
				continue
			}
			places[key] = place
		}
	}
	return violations
}

func isControl(r rune) bool { return r < ' ' || r == 0x7f }

func (v *validator) workspaces() {
	for _, violation := range CheckWorkspaces("workspaces", "keys", v.settings.Workspaces) {
		v.refuse(violation.Field, nil, "%s", violation.Reason)
	}
}
