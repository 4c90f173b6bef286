package fleet

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	restful "github.com/emicklei/go-restful/v3"
	"gotest.tools/v3/assert"

	"skylarkbeam/rollout"
	"skylarkbeam/timer"
)

// newRolloutFollower returns a Follower that hears others and was started a while ago. Nothing of it runs.
func newRolloutFollower(name string, others ...string) *Follower {
	timers := timer.New()
	now := timers.Now()
	f := &Follower{
		opt: FollowerOptions{
			Name:   name,
			Timers: timers,
		},
		startedAt: now.Add(-time.Minute),
		members:   map[string]*member{},
		ctx:       context.Background(),
	}
	for _, other := range others {
		if other != name {
			f.members[other] = &member{
				record: Record{
					State: RecordStateActive,
				},
				heardAt: now,
			}
		}
	}
	return f
}

// Guards against two entries that coordinate a roll-out while they hear each other, against one that does not reach the store,
// and against services that all have the same coordinator.
func TestRolloutCoordinator(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	used := map[string]bool{}
	for i := range 40 {
		service := fmt.Sprint("service-", i)
		coordinator := newRolloutFollower("a", names...).RolloutCoordinator(service).Name
		used[coordinator] = true
		for _, name := range names {
			f := newRolloutFollower(name, names...)
			got := f.RolloutCoordinator(service)
			assert.Equal(t, got.Name, coordinator)
			assert.Equal(t, got.IsSelf, name == coordinator)
			if name == coordinator {
				f.self.Detached = true
				assert.Assert(t, f.RolloutCoordinator(service).Name != name, "it does not reach the store")
				for _, m := range f.members {
					m.record.Detached = true
				}
				assert.Equal(t, f.RolloutCoordinator(service).Name, name, "nobody reaches it")
				f.leaving = true
				assert.Assert(t, f.RolloutCoordinator(service).Name != name)
				continue
			}
			f.members[coordinator].heardAt = f.now().Add(-ownerTimeout)
			assert.Assert(t, f.RolloutCoordinator(service).Name != coordinator, "it is lost")
			heard, known := f.RolloutMembers()
			assert.Equal(t, len(heard), 4)
			assert.Equal(t, known, 5)
		}
	}
	assert.Assert(t, len(used) >= 4, "%v", used)

	// Calls of an entry that is leaving still run, so a promotion waits for it while it is heard.
	leaving := newRolloutFollower("a", names...)
	leaving.members["b"].record.State = RecordStateLeaving
	heard, known := leaving.RolloutMembers()
	assert.Equal(t, len(heard), 5)
	assert.Equal(t, known, 5)
	leaving.members["b"].heardAt = leaving.now().Add(-ownerTimeout)
	heard, known = leaving.RolloutMembers()
	assert.Equal(t, len(heard), 4)
	assert.Equal(t, known, 4)
	f := newRolloutFollower("a")
	f.startedAt = f.now()
	assert.Equal(t, f.RolloutCoordinator("s").Name, "", "the others are not known yet")
}

// Guards against reports that end the process, or that are answered before the entry takes part.
func TestServeRollout(t *testing.T) {
	f := newRolloutFollower("a")
	post := func(body string) int {
		recorder := httptest.NewRecorder()
		req := httptest.NewRequest(http.MethodPost, PeerPath+rolloutPath, strings.NewReader(body))
		f.serveRollout(restful.NewRequest(req), restful.NewResponse(recorder))
		return recorder.Code
	}
	const report = `{"entry":"b","service":"s","to":"v2"}`
	assert.Equal(t, post(report), http.StatusServiceUnavailable)
	f.HandleRollouts(func(r *rollout.Report) *rollout.Reply {
		return &rollout.Reply{
			Phase: r.To,
		}
	})
	assert.Equal(t, post(report), http.StatusOK)
	for _, body := range []string{
		``, `[]`, `{}`, `{"entry":"b"}`,
		`{"entry":"b","service":"s","routes":{"r":{"old":{"latencies":[99,1]}}}}`,
		`{"entry":"b","service":"s","routes":{"r":{"old":{"latencies":"x"}}}}`,
	} {
		assert.Equal(t, post(body), http.StatusBadRequest, body)
	}
}
