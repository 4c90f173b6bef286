package setting

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
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
