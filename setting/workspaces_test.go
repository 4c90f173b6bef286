package setting

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against fields of workspaces in the documents of settings that have none, and against keys in settings that are shown.
func TestWorkspaceDocuments(t *testing.T) {
	s := valid()
	data, err := s.Encode()
	assert.NilError(t, err)
	for _, field := range []string{"workspaces", "revocation", "period", "overshoot", "spare", "null"} {
		assert.Check(t, !strings.Contains(string(data), field), field)
	}
	s.Workspaces = map[string]Workspace{
		"harbour": {
			Keys: []string{"swordfish"},
		},
	}
	data, err = s.Encode()
	assert.NilError(t, err)
	parsed, err := Parse(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, parsed.Workspaces, s.Workspaces)
	assert.Check(t, len(s.Validate()) == 0, "%v", s.Validate())
	shown, err := s.WithoutKeys().Encode()
	assert.NilError(t, err)
	assert.Check(t, !strings.Contains(string(shown), "swordfish"), string(shown))
	assert.Check(t, s.Workspaces["harbour"].Keys[0] == "swordfish")
	s.Workspaces["jetty"] = Workspace{
		Keys: []string{"swordfish"},
	}
	assert.Check(t, strings.Contains(s.Validate().Err().Error(), "workspaces.jetty.keys.0: is the same key as workspaces.harbour.keys.0"))
}
