package setting

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	// DefaultOrigin is the origin of a value that no file set.
	DefaultOrigin = "default"
	// MaxSettingsBytes is the largest size of merged settings as JSON, in bytes. With 600,000 callers they have 15 MB and take
	// seconds to check at each entry. MaxFile is the largest size of one file, which may be indented.
	MaxSettingsBytes = 15 << 20
	MaxFileBytes     = 2 * MaxSettingsBytes
)

// byteOrderMark is what some editors write at the start of a file. JSON has none.
var byteOrderMark = []byte("\xef\xbb\xbf")

// Folder is the merged content of a folder of settings.
type Folder struct {
	// Settings has the defaults filled in. Values with faults are left out.
	Settings *Settings

	origins map[string]origin
	// shape has the faults that are found before the settings are decoded.
	shape Violations
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
		count++
		data, size, err := readFile(filepath.Join(dir, name))
		switch {
		case err != nil:
			return nil, errors.Wrap(err, "load settings")
		case size > MaxFileBytes:
			m.refuse(name, "", "has %d bytes, more than the %d that a file may have", size, MaxFileBytes)
		default:
			m.add(name, data)
		}
	}
	if count == 0 {
		return nil, errors.Newf("load settings: no .json file in %s", dir)
	}
	folder, err := m.folder()
	return folder, errors.Wrap(err, "load settings")
}

// readFile returns the size of a file, and its content unless that is larger than MaxFile.
func readFile(path string) (data []byte, size int64, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, 0, err
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return nil, 0, err
	}
	if info.Size() > MaxFileBytes {
		return nil, info.Size(), nil
	}
	// The file may grow meanwhile, and a pipe has no size.
	data, err = io.ReadAll(io.LimitReader(file, MaxFileBytes+1))
	return data, int64(len(data)), err
}

// Origin returns the file that set the value at a dotted path, Default if no file did, and "" if there is no such value.
// The origin of an object is the first file that set anything in it.
func (f *Folder) Origin(path string) string {
	if o := f.origins[path]; o.kind != kindRemoved {
		return o.file
	}
	return ""
}

// FieldOrigin is the field of one value that is not an object with fields of its own, and the value's origin.
type FieldOrigin struct {
	Field, Origin string
}

// FieldOrigins returns all leaves of the merged settings, sorted by field. A value that a target has from its service has the
// origin Default. It fails only if Settings was changed to something that Encode refuses.
func (f *Folder) FieldOrigins() ([]FieldOrigin, error) {
	data, err := f.Settings.Encode()
	if err != nil {
		return nil, err
	}
	tree, err := decodeValue(data)
	if err != nil {
		return nil, errors.Wrap(err, "decode settings")
	}
	leaves := f.leaves(nil, "", tree)
	slices.SortFunc(leaves, func(a, b FieldOrigin) int { return strings.Compare(a.Field, b.Field) })
	return leaves, nil
}

func (f *Folder) leaves(leaves []FieldOrigin, path string, value any) []FieldOrigin {
	object, ok := value.(map[string]any)
	if !ok || len(object) == 0 {
		return append(leaves, FieldOrigin{
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
func (f *Folder) Validate() Violations {
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
		if o, ok := f.origins[path]; ok && o.file != DefaultOrigin {
			return o.file
		}
		path = parent(path)
	}
	return DefaultOrigin
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
	document map[string]any
	origins  map[string]origin
	// below has the names in each object of origins.
	below  map[string][]string
	faults Violations
}

func newMerger() *merger {
	return &merger{
		document: map[string]any{},
		origins:  map[string]origin{},
		below:    map[string][]string{},
	}
}

// add merges one file. A file that is not a JSON object is reported and passed over.
func (m *merger) add(file string, data []byte) {
	if bytes.HasPrefix(data, byteOrderMark) {
		m.refuse(file, "", "starts with a byte order mark, which JSON does not have")
		return
	}
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
	merge(m.document, patch)
	m.trace(file, "", patch)
}

func (m *merger) refuse(file, field, format string, args ...any) {
	m.faults = append(m.faults, Violation{
		File:   file,
		Field:  field,
		Reason: fmt.Sprintf(format, args...),
	})
}

// merge applies a merge patch (RFC 7396) to an object. The known library for it takes a time that grows with the square of
// the number of fields of an object.
func merge(object, patch map[string]any) {
	for name, value := range patch {
		below, ok := value.(map[string]any)
		switch {
		case value == nil:
			delete(object, name)
		case !ok:
			object[name] = value
		default:
			target, ok := object[name].(map[string]any)
			if !ok {
				target = map[string]any{}
				object[name] = target
			}
			merge(target, below)
		}
	}
}

// trace records file as the origin of all that patch sets at path and below.
func (m *merger) trace(file, path string, patch map[string]any) {
	m.record(path, origin{
		file: file,
		kind: kindObject,
	})
	for name, value := range patch {
		below := join(path, name)
		if _, known := m.origins[below]; !known {
			m.below[path] = append(m.below[path], name)
		}
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
		m.forget(path)
	}
	m.origins[path] = o
}

// forget forgets what is below a path.
func (m *merger) forget(path string) {
	for _, name := range m.below[path] {
		below := join(path, name)
		m.forget(below)
		delete(m.origins, below)
	}
	delete(m.below, path)
}

// folder checks the merged document against the schema and decodes what is left.
func (m *merger) folder() (*Folder, error) {
	f := &Folder{
		Settings: &Settings{},
		origins:  m.origins,
	}
	c := newChecker(func(path string) {
		f.origins[path] = origin{
			file: DefaultOrigin,
		}
	})
	c.check(schema, "", m.document)
	if err := decodeTree(m.document, f.Settings); err != nil {
		return nil, errors.Wrap(err, "merged document")
	}
	f.Settings.SetDefaults()
	for _, fault := range c.faults {
		fault.File = f.fileOf(fault.Field)
		m.faults = append(m.faults, fault)
	}
	merged, err := f.Settings.Encode()
	if err != nil {
		return nil, err
	}
	if len(merged) > MaxSettingsBytes {
		m.refuse("", "", "the merged settings have %d bytes, more than the %d that entries take", len(merged), MaxSettingsBytes)
	}
	f.shape = m.faults.sorted()
	return f, nil
}
