package workspace

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkbeam/setting"
)

func newTestIndex() *Index {
	return NewIndex(map[string]setting.Workspace{
		"harbour": {
			Keys: []string{"key-1", "shared", ""},
		},
		"jetty": {
			Keys: []string{"key-2", "shared"},
		},
	})
}

// Guards against an empty key that is accepted, and against a key of two workspaces that belongs to another one at each
// entry.
func TestIndex(t *testing.T) {
	index := newTestIndex()
	for key, want := range map[Key]string{"key-1": "harbour", "key-2": "jetty", "shared": "harbour"} {
		assert.Check(t, index.Find(key).Name == want, want)
	}
	for _, key := range []Key{"", "key-3", "KEY-1", Key(strings.Repeat("k", 1<<20))} {
		assert.Check(t, index.Find(key) == nil)
	}
	assert.Check(t, NewIndex(nil) == nil)
	assert.Check(t, NewIndex(map[string]setting.Workspace{}).Find("key-1") == nil)
}

// Guards against a key in formatted text or JSON.
func TestKeyHidden(t *testing.T) {
	key := Key("swordfish")
	data, err := json.Marshal(map[string]Key{"key": key})
	assert.NilError(t, err)
	text := fmt.Sprintf("%s %v %+v %#v %s %v", key, key, key, key, data, []Credential{key})
	assert.Check(t, !strings.Contains(text, "swordfish"), text)
}

// Measures a lookup of an unknown key of a megabyte, which a flood can send at will.
func BenchmarkFindLongKey(b *testing.B) {
	index, key := newTestIndex(), Key(strings.Repeat("k", 1<<20))
	for b.Loop() {
		if index.Find(key) != nil {
			b.Fatal("found")
		}
	}
}
