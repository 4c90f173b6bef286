package setting

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// writeFiles writes files into a new folder, in a random order, so that nothing can depend on it.
func writeFiles(t testing.TB, files map[string][]byte) string {
	t.Helper()
	dir, err := os.MkdirTemp(t.TempDir(), "")
	assert.NilError(t, err)
	names := slices.Sorted(maps.Keys(files))
	random := rand.New(rand.NewPCG(1, uint64(len(names))))
	random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), files[name], 0o600))
	}
	return dir
}

// Guards against a wrong file in reports, and against files that are merged in another order than that of their names.
// Exchanging the names of two files is the control: it must change the result.
func TestLoadDir(t *testing.T) {
	base := `{"limits": {"keep": "8s", "buffer": 1, "retries": 0.5}, "domains": {"a": {"region": "r"}, "b": {"region": "r"}}}`
	over := `{"limits": {"buffer": 2, "retries": null}, "domains": {"b": null}}`
	folder, err := LoadDir(writeFiles(t, map[string][]byte{
		"10.json":    []byte(base),
		"9.json":     []byte(over),
		".10.json":   []byte(`{"limits": {"buffer": 3}}`),
		"notes.text": []byte(`{"limits": {"buffer": 4}}`),
	}))
	assert.NilError(t, err)
	assert.Equal(t, folder.Settings.Limits.Buffer, 2)
	assert.Equal(t, folder.Settings.Limits.Retries, 0.1)
	assert.Equal(t, len(folder.Settings.Domains), 1)
	origins := map[string]string{
		"limits":           "10.json",
		"limits.keep":      "10.json",
		"limits.buffer":    "9.json",
		"limits.retries":   DefaultOrigin,
		"limits.isolation": DefaultOrigin,
		"domains.a.region": "10.json",
		"domains.b":        "",
		"domains.b.region": "",
		"callers":          DefaultOrigin,
	}
	for path, want := range origins {
		assert.Equal(t, folder.Origin(path), want, path)
	}

	exchanged, err := LoadDir(writeFiles(t, map[string][]byte{
		"9.json":  []byte(base),
		"10.json": []byte(over),
	}))
	assert.NilError(t, err)
	assert.Equal(t, exchanged.Settings.Limits.Buffer, 1)
	assert.Equal(t, len(exchanged.Settings.Domains), 2)

	_, err = LoadDir(writeFiles(t, nil))
	assert.ErrorContains(t, err, "no .json file")
}

// mergeReference is the algorithm as RFC 7396 states it.
func mergeReference(target, patch any) any {
	object, ok := patch.(map[string]any)
	if !ok {
		return patch
	}
	result, ok := target.(map[string]any)
	if !ok {
		result = map[string]any{}
	}
	for name, value := range object {
		if value == nil {
			delete(result, name)
		} else {
			result[name] = mergeReference(result[name], value)
		}
	}
	return result
}

// Guards against a merge that differs from RFC 7396 and against a wrong origin. Each file sets only its own name, so that
// a merged value says which file won.
func TestMergeProperty(t *testing.T) {
	t.Log("run with -rapid.seed to repeat a failure")
	rapid.Check(t, func(r *rapid.T) {
		m := newMerger()
		var want any = map[string]any{}
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`[0-9a-c]{1,3}`), 1, 5, rapid.ID).Draw(r, "names")
		slices.Sort(names)
		for _, name := range names {
			patch := drawObject(r, name, 3)
			data, err := json.Marshal(patch)
			assert.NilError(r, err)
			m.add(name, data)
			want = mergeReference(want, patch)
		}
		var have any = m.document
		assert.DeepEqual(r, have, want)
		assert.Equal(r, len(m.faults), 0)
		eachLeaf("", have, func(path string, value any) {
			assert.Equal(r, m.origins[path].file, value, path)
		})
	})
}

func drawObject(r *rapid.T, leaf string, depth int) map[string]any {
	object := map[string]any{}
	for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c.d"}), 0, 3, rapid.ID).Draw(r, "fields") {
		switch kind := rapid.IntRange(0, 3).Draw(r, "kind"); {
		case kind == 0:
			object[name] = nil
		case kind == 1 || depth == 0:
			object[name] = leaf
		default:
			object[name] = drawObject(r, leaf, depth-1)
		}
	}
	return object
}

func eachLeaf(path string, value any, visit func(path string, value any)) {
	object, ok := value.(map[string]any)
	if !ok {
		visit(path, value)
	}
	for name, below := range object {
		eachLeaf(join(path, name), below, visit)
	}
}

// Guards against a result that depends on the order in which files were written or are listed, through real files.
func TestLoadDirProperty(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`[0-9a-cA-C-]{1,4}`), 1, 5, rapid.ID).Draw(r, "names")
		files := map[string][]byte{}
		for i, name := range names {
			files[name+".json"] = fmt.Appendf(nil, `{"limits": {"buffer": %d}}`, i)
		}
		folder, err := LoadDir(writeFiles(t, files))
		assert.NilError(r, err)
		last := slices.Max(slices.Collect(maps.Keys(files)))
		assert.Equal(r, folder.Origin("limits.buffer"), last)
		assert.Equal(r, names[folder.Settings.Limits.Buffer]+".json", last)
	})
}

// Guards against a panic on any content, against reports that change from run to run, and against settings that change
// when they are stored and read back.
func FuzzLoadDir(f *testing.F) {
	for _, pattern := range []string{"../examples/*", "../cmd/skylarkbeam/testdata/*"} {
		dirs, err := filepath.Glob(pattern)
		assert.NilError(f, err)
		for _, dir := range dirs {
			addSeed(f, dir)
		}
	}
	f.Add([]byte(`{"limits": {"keep": "1h"}, "a": {"b": [null, {"c": null}]}}`), []byte(`{"limits": null, "a": {"b": {"": {"\"": 1}}}}`), []byte(`{"limits": {}}`))
	f.Add([]byte(`{"limits": {"retries": -0, "buffer": -0}, "limits": {"retries": 1e-400}}`), []byte("{\"domains\": {\"\xff.\": {}}}"), []byte(`null`))
	f.Add(append(append(bytes.Repeat([]byte(`{"a":`), 50), '1'), bytes.Repeat([]byte(`}`), 50)...), []byte(``), []byte(`{"domains": {"a": {"region": ""}}} x`))
	f.Fuzz(func(t *testing.T, a, b, c []byte) {
		dir := writeFiles(t, map[string][]byte{
			"a.json": a,
			"b.json": b,
			"c.json": c,
		})
		folder, err := LoadDir(dir)
		assert.NilError(t, err)
		again, err := LoadDir(dir)
		assert.NilError(t, err)
		faults := folder.Validate()
		assert.DeepEqual(t, again.Validate(), faults)
		assert.DeepEqual(t, folder.Validate(), faults)
		_, err = folder.FieldOrigins()
		assert.NilError(t, err)
		if len(folder.shape) > 0 {
			return
		}
		data, err := folder.Settings.Encode()
		assert.NilError(t, err)
		parsed, err := Parse(data)
		assert.NilError(t, err)
		assert.Assert(t, reflect.DeepEqual(parsed, folder.Settings), "read back: %+v", parsed)
		assert.Equal(t, len(parsed.Validate()), len(faults))
	})
}

// addSeed adds the files of a folder as three, the last two and all others merged.
func addSeed(f *testing.F, dir string) {
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	assert.NilError(f, err)
	m := newMerger()
	last := [][]byte{[]byte("{}"), []byte("{}")}
	for _, file := range files {
		data, err := os.ReadFile(file)
		assert.NilError(f, err)
		m.add("", last[0])
		last = append(last[1:], data)
	}
	document, err := json.Marshal(m.document)
	assert.NilError(f, err)
	f.Add(document, last[0], last[1])
}
