package setting

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	jsonpatch "github.com/evanphx/json-patch/v5"
)

// Default is the origin of a value that no file set.
const Default = "default"

// Folder is the merged content of a folder of settings.
type Folder struct {
	// Settings has the defaults filled in. Values with faults are left out.
	Settings *Settings

	origins map[string]string
	// shape has the faults that are found before the settings are decoded.
	shape Faults
}

// LoadDir merges all files of dir whose names end in .json, in the order of their names. Files whose names start with a
// dot are passed over, because editors keep their own files under such names. LoadDir fails only if the folder or a file
// cannot be read or if there is no such file; faults in the content are returned by Validate.
func LoadDir(dir string) (*Folder, error) {
	files, err := os.ReadDir(dir)
	if err != nil {
		return nil, errors.Wrap(err, "load settings")
	}
	m := newMerger()
	count := 0
	for _, file := range files {
		name := file.Name()
		if file.IsDir() || strings.HasPrefix(name, ".") || filepath.Ext(name) != ".json" {
			continue
		}
		data, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			return nil, errors.Wrap(err, "load settings")
		}
		m.add(name, data)
		count++
	}
	if count == 0 {
		return nil, errors.Newf("load settings: no .json file in %s", dir)
	}
	folder, err := m.folder()
	return folder, errors.Wrap(err, "load settings")
}

// Origin returns the file that set the value at a dotted path, Default if no file did, and "" if there is no such value.
// The origin of an object is the last file that set or removed anything in it.
func (f *Folder) Origin(path string) string {
	return f.origins[path]
}

// Leaf is the field of one value that is not an object with fields of its own, and the value's origin.
type Leaf struct {
	Field, Origin string
}

// Leaves returns all leaves of the merged settings, sorted by field. A value that a target has from its service has the
// origin Default. It fails only if Settings was changed to something that Encode refuses.
func (f *Folder) Leaves() ([]Leaf, error) {
	data, err := f.Settings.Encode()
	if err != nil {
		return nil, err
	}
	tree, err := decodeValue(data)
	if err != nil {
		return nil, errors.Wrap(err, "decode settings")
	}
	leaves := f.leaves(nil, "", tree)
	slices.SortFunc(leaves, func(a, b Leaf) int { return strings.Compare(a.Field, b.Field) })
	return leaves, nil
}

func (f *Folder) leaves(leaves []Leaf, path string, value any) []Leaf {
	object, ok := value.(map[string]any)
	if !ok || len(object) == 0 {
		return append(leaves, Leaf{
			Field:  path,
			Origin: f.Origin(path),
		})
	}
	for name, below := range object {
		leaves = f.leaves(leaves, join(path, name), below)
	}
	return leaves
}

// Validate returns all faults of the files and of the merged settings, each with the file that set the value.
func (f *Folder) Validate() Faults {
	v := newValidator(f.Settings, f.shape)
	v.run()
	faults := slices.Clone(f.shape)
	for _, fault := range v.faults {
		fault.File = f.blame(fault.Field)
		faults = append(faults, fault)
	}
	return faults.sorted()
}

// blame returns the file to which a fault belongs: the one that set the field or, if none did, the nearest object around
// it.
func (f *Folder) blame(path string) string {
	for ok := true; ok; path, ok = parent(path) {
		if origin := f.origins[path]; origin != "" && origin != Default {
			return origin
		}
	}
	return ""
}

// merger merges files one after the other.
type merger struct {
	document []byte
	origins  map[string]string
	faults   Faults
}

func newMerger() *merger {
	return &merger{
		document: []byte("{}"),
		origins:  map[string]string{},
	}
}

// add merges one file. A file that is not a JSON object is reported and passed over.
func (m *merger) add(file string, data []byte) {
	refuse := func(field, format string, args ...any) {
		m.faults = append(m.faults, Fault{
			File:   file,
			Field:  field,
			Reason: fmt.Sprintf(format, args...),
		})
	}
	value, err := decodeValue(data)
	if err != nil {
		refuse("", "is not valid JSON: %s", err)
		return
	}
	patch, ok := value.(map[string]any)
	if !ok {
		refuse("", "must be an object, not %s", article(typeName(value)))
		return
	}
	merged, err := jsonpatch.MergePatch(m.document, data)
	if err != nil {
		refuse("", "cannot be merged: %s", err)
		return
	}
	m.document = merged
	m.trace(file, "", patch)
}

// trace records file as the origin of all that patch sets at path and below.
func (m *merger) trace(file, path string, patch map[string]any) {
	m.origins[path] = file
	for name, value := range patch {
		below := join(path, name)
		object, ok := value.(map[string]any)
		if ok {
			m.trace(file, below, object)
			continue
		}
		maps.DeleteFunc(m.origins, func(path, _ string) bool { return strings.HasPrefix(path, below+".") })
		if value == nil {
			delete(m.origins, below)
		} else {
			m.origins[below] = file
		}
	}
}

// folder checks the merged document against the schema and decodes what is left.
func (m *merger) folder() (*Folder, error) {
	value, err := decodeValue(m.document)
	if err != nil {
		return nil, errors.Wrap(err, "merged document")
	}
	f := &Folder{
		Settings: &Settings{},
		origins:  m.origins,
	}
	c := newChecker(func(path string) { f.origins[path] = Default })
	c.check(schema, "", value)
	if err := decodeTree(value, f.Settings); err != nil {
		return nil, errors.Wrap(err, "merged document")
	}
	f.Settings.Defaults()
	for _, fault := range c.faults {
		fault.File = f.blame(fault.Field)
		m.faults = append(m.faults, fault)
	}
	f.shape = m.faults.sorted()
	return f, nil
}

// decodeValue decodes one JSON value without loss of precision.
func decodeValue(data []byte) (any, error) {
	if err := json.Unmarshal(data, &json.RawMessage{}); err != nil {
		return nil, err
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var value any
	err := decoder.Decode(&value)
	return value, err
}
