// Package setting reads, merges and validates the settings of a deployment.
//
// Operators write a folder of small JSON files. LoadDir merges the files in the order of their names by RFC 7396, so
// that a later file refines or overrides an earlier one, and remembers which file set each value. The fields, their
// types, bounds and defaults are in schema.json, from which the types are generated.
//
// # Usage
//
//	folder, err := setting.LoadDir("/etc/skylarkbeam")
//	if err != nil {
//		return err
//	}
//	if faults := folder.Validate(); len(faults) > 0 {
//		return faults
//	}
//	data, err := folder.Settings.Encode()
//
// An entry reads the settings that were accepted back with Parse.
package setting

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"
)

//go:generate go tool -modfile=../tools/go.mod go-jsonschema --only-models --disable-omitempty --disable-omitzero --disable-custom-types-for-maps --minimal-names --tags json --package setting --schema-root-type https://skylarkbeam.example/setting/schema.json=Settings --output generated.go schema.json

// Parse reads one merged document, such as Encode returns, and fills in the defaults. It refuses fields that the schema
// does not have and values of a wrong type, with an error that wraps Faults. It does not call Validate, because settings
// that were accepted must remain readable when validation becomes stricter.
func Parse(data []byte) (*Settings, error) {
	m := newMerger()
	m.add("", data)
	folder, err := m.folder()
	if err != nil {
		return nil, errors.Wrap(err, "parse settings")
	}
	if err := folder.shape.Err(); err != nil {
		return nil, errors.Wrap(err, "parse settings")
	}
	return folder.Settings, nil
}

// Encode returns the settings as a JSON document that Parse reads back. Equal settings have equal documents. It fails
// only on a share or budget that is not a finite number.
func (s *Settings) Encode() ([]byte, error) {
	data, err := json.Marshal(s)
	data = absentFields.ReplaceAll(data, nil)
	return data, errors.Wrap(err, "encode settings")
}

// SetDefaults fills in what was left out. It is for settings that are built in code; LoadDir and Parse call it. Zero counts
// as left out, except that zero retries and a zero buffer are valid: those two are filled in only if no limit at all is
// set. A nil list of methods is left out, an empty one is not.
func (s *Settings) SetDefaults() {
	makeMap(&s.Entries)
	makeMap(&s.Domains)
	makeMap(&s.Services)
	makeMap(&s.Routes)
	makeMap(&s.Classes)
	makeMap(&s.Callers)
	s.Limits.defaults()
	for name, service := range s.Services {
		service.defaults()
		s.Services[name] = service
	}
	for name, route := range s.Routes {
		route.defaults()
		s.Routes[name] = route
	}
}

func (r *Route) defaults() {
	fill(&r.Kind, defaults.Route.Kind)
	fill(&r.Attempts, defaults.Route.Attempts)
	fill(&r.Deadline, defaults.Route.Deadline)
	fill(&r.Aim, defaults.Route.Aim)
}

func (l *Limits) defaults() {
	if *l == (Limits{}) {
		*l = defaults.Limits
		return
	}
	fill(&l.Keep, defaults.Limits.Keep)
	fill(&l.Contact, defaults.Limits.Contact)
	fill(&l.Isolation, defaults.Limits.Isolation)
	fill(&l.Window, defaults.Limits.Window)
	fill(&l.Head, defaults.Limits.Head)
	fill(&l.Body, defaults.Limits.Body)
	fill(&l.Read, defaults.Limits.Read)
	fill(&l.Idle, defaults.Limits.Idle)
}

func (s *Service) defaults() {
	fill(&s.Load, defaults.Service.Load)
	fill(&s.Probes, defaults.Service.Probes)
	fill(&s.Cold.Bear, defaults.Service.Cold.Bear)
	fill(&s.Cold.Time, defaults.Service.Cold.Time)
	fill(&s.Work, defaults.Service.Work)
	fill(&s.Deadline, defaults.Service.Deadline)
	if s.Once == nil {
		s.Once = append([]Method{}, defaults.Service.Once...)
	}
	makeMap(&s.Targets)
	for name, target := range s.Targets {
		fill(&target.Slots, s.Slots)
		fill(&target.Bear, s.Cold.Bear)
		s.Targets[name] = target
	}
}

// defaults are read from the schema, so that each is stated once.
var defaults = readDefaults()

type defaultValues struct {
	Limits  Limits
	Service Service
	Route   Route
}

func readDefaults() defaultValues {
	var d defaultValues
	schema.Defs["limits"].decodeDefaults(&d.Limits)
	schema.Defs["service"].decodeDefaults(&d.Service)
	schema.Defs["route"].decodeDefaults(&d.Route)
	return d
}

// decodeDefaults decodes an object that has nothing but the defaults of n.
func (n *node) decodeDefaults(into any) {
	value := map[string]any{}
	c := newChecker(nil)
	c.check(n, "", value)
	if err := decodeTree(value, into); err != nil {
		panic(errors.Wrap(err, "defaults of the schema"))
	}
}

// decodeTree decodes a checked tree into a generated type.
func decodeTree(tree, into any) error {
	data, err := json.Marshal(tree)
	if err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return decoder.Decode(into)
}

func makeMap[V any](m *map[string]V) {
	if *m == nil {
		*m = map[string]V{}
	}
}

// fill sets value to the default if it is zero.
func fill[V comparable](value *V, byDefault V) {
	var zero V
	if *value == zero {
		*value = byDefault
	}
}

// Idempotent reports whether a call with this method can run more than once.
func (s *Service) Idempotent(method string) bool {
	return !slices.Contains(s.Once, Method(method))
}
