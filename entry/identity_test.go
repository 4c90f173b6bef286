package entry

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkbeam/outcome"
	"skylarkbeam/setting"
	"skylarkbeam/workspace"
)

// Guards against a queue that orders calls by their routes although their workspaces differ, and against a workspace without a
// rank that goes before or after all others.
func TestPriority(t *testing.T) {
	newCall := func(rank *int, route int) *call {
		c := &call{}
		c.policy.priority = route
		c.identity.keyed = true
		if rank != nil || route >= 0 {
			c.identity.workspace = &workspace.Workspace{
				Rank: rank,
			}
		}
		return c
	}
	rank := func(n int) *int { return &n }
	ordered := []*call{
		newCall(rank(0), 0), newCall(rank(0), 900), newCall(rank(1), 0), newCall(nil, 1), newCall(rank(1), 2), newCall(rank(2), 0),
		newCall(nil, 3),
	}
	assert.Check(t, slices.IsSortedFunc(ordered, func(a, b *call) int { return a.priority() - b.priority() }))
	plain := &call{}
	plain.policy.priority = 7
	assert.Check(t, plain.priority() == 7, "without workspaces, the priority of the route counts alone")
	anonymous := newCall(nil, 1)
	anonymous.identity.workspace = nil
	assert.Check(t, anonymous.priority() == newCall(nil, 1).priority())
}

// Guards against a call that waits and then runs with a revoked key, or in the name of the workspace that held its key before.
func TestLookUp(t *testing.T) {
	index := func(keys map[string][]string) *workspace.Index {
		workspaces := map[string]setting.Workspace{}
		for name, list := range keys {
			workspaces[name] = setting.Workspace{
				Keys: list,
			}
		}
		return workspace.NewIndex(workspaces)
	}
	first := index(map[string][]string{"harbour": {"k"}, "jetty": {}})
	c := &call{}
	c.identity = identity{
		keyed:     true,
		index:     first,
		workspace: first.Find("k"),
		key:       "k",
	}
	assert.Check(t, c.lookUp(first).workspace == "harbour")
	moved := c.lookUp(index(map[string][]string{"harbour": {}, "jetty": {"k"}}))
	assert.Check(t, moved.workspace == "jetty" && moved.reason == "")
	revoked := c.lookUp(index(map[string][]string{"harbour": {}, "jetty": {}}))
	assert.Check(t, revoked.workspace == "" && revoked.reason == outcome.Unauthorized)
	relayed := *c.lookUp(first)
	c.identity.key = ""
	assert.Check(t, c.lookUp(index(map[string][]string{"harbour": {"other"}})).workspace == relayed.workspace)
	assert.Check(t, c.lookUp(index(map[string][]string{"jetty": {"k"}})).reason == outcome.Unauthorized)
}
