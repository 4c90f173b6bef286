// Package workspace finds the workspace that a request belongs to.
//
// A workspace is a customer of the platform. The settings list its keys, and each request carries one of them. A key is a
// secret: it is held in an Index and in the calls that wait or run, and nothing in this package prints one.
//
// # Usage
//
//	index := workspace.NewIndex(settings.Workspaces)
//	switch credential := protocol.Credential(request).(type) {
//	case workspace.Key:
//		if w := index.Find(credential); w == nil {
//			// The key is unknown.
//		}
//	}
package workspace

import (
	"maps"
	"slices"

	"skylarkbeam/setting"
)

// Credential is what a request carries to name its workspace: a Key, None or Malformed.
type Credential interface{ credential() }

// Key is a key as it was sent. It does not appear in formatted text or JSON.
type Key string

// None is the credential of a request that carries none.
type None struct{}

// Malformed is the credential of a request from which no single key can be read.
type Malformed struct{}

func (Key) credential()       {}
func (None) credential()      {}
func (Malformed) credential() {}

// hidden replaces a key in formatted text.
const hidden = "(key)"

// String implements fmt.Stringer.
func (Key) String() string { return hidden }

// GoString implements fmt.GoStringer.
func (Key) GoString() string { return hidden }

// MarshalText implements encoding.TextMarshaler.
func (Key) MarshalText() ([]byte, error) { return []byte(hidden), nil }

// Workspace is a workspace as the settings describe it. It is not modified.
type Workspace struct {
	Name string
	// Rank orders the workspaces when not all requests can be served; 0 goes first. With nil, the rank of the route counts.
	Rank *int
	// Rate is the number of requests a second, and Burst the number of further requests, that the workspace may send over
	// all entries. A Rate of 0 does not limit it.
	Rate  float64
	Burst float64
}

// Index finds workspaces by key and by name. It is not modified after NewIndex.
type Index struct {
	byKey  map[Key]*Workspace
	byName map[string]*Workspace
	// longest is the length of the longest key in bytes. Longer ones are not compared, because a key of a request can be a
	// megabyte long.
	longest int
}

// NewIndex returns the index of the workspaces in the settings, or nil if the settings have none, so that requests need no
// key. A key that several workspaces hold belongs to the first of them by name. Empty keys are ignored.
func NewIndex(workspaces map[string]setting.Workspace) *Index {
	if workspaces == nil {
		return nil
	}
	index := &Index{
		byKey:  map[Key]*Workspace{},
		byName: make(map[string]*Workspace, len(workspaces)),
	}
	for _, name := range slices.Sorted(maps.Keys(workspaces)) {
		spec := workspaces[name]
		w := &Workspace{
			Name:  name,
			Rank:  spec.Rank,
			Rate:  spec.Rate,
			Burst: spec.Burst,
		}
		index.byName[name] = w
		for _, text := range spec.Keys {
			key := Key(text)
			if _, taken := index.byKey[key]; key == "" || taken {
				continue
			}
			index.byKey[key] = w
			index.longest = max(index.longest, len(key))
		}
	}
	return index
}

// Find returns the workspace that holds a key, or nil.
func (i *Index) Find(key Key) *Workspace {
	if key == "" || len(key) > i.longest {
		return nil
	}
	return i.byKey[key]
}

// Named returns the workspace with a name, or nil.
func (i *Index) Named(name string) *Workspace { return i.byName[name] }

// Len returns the number of workspaces.
func (i *Index) Len() int { return len(i.byName) }
