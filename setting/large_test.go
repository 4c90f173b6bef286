package setting

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// largeFolder writes the settings of an example with n callers more, and returns the folder.
func largeFolder(tb testing.TB, n int) string {
	tb.Helper()
	dir := tb.TempDir()
	assert.NilError(tb, os.CopyFS(dir, os.DirFS("../examples/beaconwatch")))
	callers := map[string]any{}
	for i := range n {
		callers[fmt.Sprint("caller-", i)] = map[string]any{"class": "web"}
	}
	data, err := json.Marshal(map[string]any{"callers": callers})
	assert.NilError(tb, err)
	assert.NilError(tb, os.WriteFile(filepath.Join(dir, "99-callers.json"), data, 0o644))
	return dir
}

// Guards against a time that grows with the square of the number of callers, whether a file adds them or another one removes
// them: ten times as many may take at most 25 times as long.
func TestLarge(t *testing.T) {
	const few, many, most = 4_000, 40_000, 25
	took := func(n int) time.Duration {
		dir := largeFolder(t, n)
		removed := map[string]any{}
		for i := range n {
			removed[fmt.Sprint("caller-", i)] = nil
		}
		data, err := json.Marshal(map[string]any{"callers": removed})
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(filepath.Join(dir, "99-removed.json"), data, 0o644))
		least := time.Duration(0)
		for range 3 {
			start := time.Now()
			folder, err := LoadDir(dir)
			assert.NilError(t, err)
			folder.Validate()
			if d := time.Since(start); least == 0 || d < least {
				least = d
			}
		}
		return least
	}
	small, large := took(few), took(many)
	t.Logf("%d callers in %s, %d in %s", few, small, many, large)
	assert.Assert(t, large < most*small)
}

// Guards against a time that grows with the square of the number of faults: ten times as many may take at most 25 times as
// long. 20,000 callers without their class took 8 s.
func TestManyFaults(t *testing.T) {
	const few, many, most = 2_000, 20_000, 25
	took := func(n int) time.Duration {
		callers := map[string]any{}
		for i := range n {
			callers[fmt.Sprint("caller-", i)] = map[string]any{"weight": 1}
		}
		data, err := json.Marshal(map[string]any{"callers": callers})
		assert.NilError(t, err)
		dir := writeFiles(t, map[string][]byte{"10.json": data})
		least := time.Duration(0)
		for range 3 {
			start := time.Now()
			folder, err := LoadDir(dir)
			assert.NilError(t, err)
			assert.Assert(t, len(folder.Validate()) >= 2*n)
			if d := time.Since(start); least == 0 || d < least {
				least = d
			}
		}
		return least
	}
	small, large := took(few), took(many)
	t.Logf("%d faults in %s, %d in %s", 2*few, small, 2*many, large)
	assert.Assert(t, large < most*small)
}

// Guards against a file that is read whole although it is far too large, and against settings that are accepted here and then
// refused by an entry.
func TestSizes(t *testing.T) {
	dir := writeFiles(t, map[string][]byte{"10.json": []byte(`{}`)})
	large, err := os.Create(filepath.Join(dir, "20.json"))
	assert.NilError(t, err)
	assert.NilError(t, large.Truncate(1<<40))
	assert.NilError(t, large.Close())
	folder, err := LoadDir(dir)
	assert.NilError(t, err)
	assert.ErrorContains(t, folder.Validate(), "20.json: has 1099511627776 bytes, more than the 31457280 that a file may have")

	files := map[string][]byte{}
	for _, name := range []string{"one", "two"} {
		files[name+".json"] = []byte(fmt.Sprintf(`{"services":{%q:{"path":"/%s"}}}`, name, strings.Repeat("x", MaxSettingsBytes/2)))
	}
	folder, err = LoadDir(writeFiles(t, files))
	assert.NilError(t, err)
	assert.ErrorContains(t, folder.Validate(), "the merged settings have ")
}

// Guards against a fault that names a character nobody sees.
func TestByteOrderMark(t *testing.T) {
	folder, err := LoadDir(writeFiles(t, map[string][]byte{"10.json": []byte("\xef\xbb\xbf{}")}))
	assert.NilError(t, err)
	assert.ErrorContains(t, folder.Validate(), "10.json: starts with a byte order mark, which JSON does not have")
}

func BenchmarkLarge(b *testing.B) {
	for _, n := range []int{100, 1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			dir := largeFolder(b, n)
			for b.Loop() {
				folder, err := LoadDir(dir)
				assert.NilError(b, err)
				folder.Validate()
			}
		})
	}
}
