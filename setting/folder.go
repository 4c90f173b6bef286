package setting

import (
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

	origins map[string]origin
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
// The origin of an object is the first file that set anything in it.
func (f *Folder) Origin(path string) string {
	if o := f.origins[path]; o.kind != kindRemoved {
		return o.file
	}
	return ""
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
		fault.File = f.fileOf(fault.Field)
		faults = append(faults, fault)
	}
	return faults.sorted()
}

// fileOf returns the file to which a fault belongs: the one that set or removed the field or, if none did, that of the
// nearest object around it. It returns Default if only the absence of something is at fault, and "" if the settings were
// not read from files.
func (f *Folder) fileOf(path string) string {
	if root, ok := f.origins[""]; ok && root.file == "" {
		return ""
	}
	for path != "" {
		if o, ok := f.origins[path]; ok && o.file != Default {
			return o.file
		}
		path = parent(path)
	}
	return Default
}

// origin is what the last file that set a path itself, not only something below it, made of it.
type origin struct {
	file string
	kind kind
}

type kind int

const (
	kindLeaf kind = iota
	kindObject
	kindRemoved
)

// merger merges files one after the other.
type merger struct {
	document []byte
	origins  map[string]origin
	faults   Faults
}

func newMerger() *merger {
	return &merger{
		document: []byte("{}"),
		origins:  map[string]origin{},
	}
}

// add merges one file. A file that is not a JSON object is reported and passed over.
func (m *merger) add(file string, data []byte) {
	value, err := decodeValue(data)
	if err != nil {
		m.refuse(file, "", "is not valid JSON: %s", position(data, err))
		return
	}
	patch, ok := value.(map[string]any)
	if !ok {
		m.refuse(file, "", "must be an object, not %s", article(typeName(value)))
		return
	}
	if deeper(patch, maxDepth) {
		m.refuse(file, "", "has more than %d levels", maxDepth)
		return
	}
	for _, field := range repeated(data) {
		m.refuse(file, field, "is set twice in this file")
	}
	if err := m.merge(patch); err != nil {
		m.refuse(file, "", "cannot be merged: %s", err)
		return
	}
	m.trace(file, "", patch)
}

func (m *merger) refuse(file, field, format string, args ...any) {
	m.faults = append(m.faults, Fault{
		File:   file,
		Field:  field,
		Reason: fmt.Sprintf(format, args...),
	})
}

// merge encodes the patch again, because MergePatch keeps repeated fields of its input.
func (m *merger) merge(patch map[string]any) error {
	data, err := json.Marshal(patch)
	if err != nil {
		return err
	}
	merged, err := jsonpatch.MergePatch(m.document, data)
	if err != nil {
		return err
	}
	m.document = merged
	return nil
}

// trace records file as the origin of all that patch sets at path and below.
func (m *merger) trace(file, path string, patch map[string]any) {
	m.record(path, origin{
		file: file,
		kind: kindObject,
	})
	for name, value := range patch {
		below := join(path, name)
		switch v := value.(type) {
		case map[string]any:
			m.trace(file, below, v)
		case nil:
			m.record(below, origin{
				file: file,
				kind: kindRemoved,
			})
		default:
			m.record(below, origin{
				file: file,
				kind: kindLeaf,
			})
		}
	}
}

// record keeps the origin of an object that is already there and forgets what was below one that is not any more.
func (m *merger) record(path string, o origin) {
	before, ok := m.origins[path]
	wasObject := ok && before.kind == kindObject
	if wasObject && o.kind == kindObject {
		return
	}
	if wasObject {
		prefix := path + "."
		maps.DeleteFunc(m.origins, func(path string, _ origin) bool { return strings.HasPrefix(path, prefix) })
	}
	m.origins[path] = o
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
	c := newChecker(func(path string) {
		f.origins[path] = origin{
			file: Default,
		}
	})
	c.check(schema, "", value)
	if err := decodeTree(value, f.Settings); err != nil {
		return nil, errors.Wrap(err, "merged document")
	}
	f.Settings.Defaults()
	for _, fault := range c.faults {
		fault.File = f.fileOf(fault.Field)
		m.faults = append(m.faults, fault)
	}
	f.shape = m.faults.sorted()
	return f, nil
}
