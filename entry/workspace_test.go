package entry_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/setting"
	"skylarkbeam/standin"
)

// Guards against keys and rates that have no effect in a deployment with settings of its own, and against a key in the settings
// that an entry shows.
func TestWorkspaces(t *testing.T) {
	d := startStock(t, standin.Behavior{
		Slots: 4,
	}, time.Second)
	e := d.Entries[0]
	ask := func(key string) (int, http.Header) {
		req, err := http.NewRequest(http.MethodGet, "http://"+e.CallerAddress().String()+"/stock/1", nil)
		assert.NilError(t, err)
		req.Header.Set("Skylarkbeam-Caller", "web")
		req.Header.Set("Skylarkbeam-Workspace", "harbour")
		if key != "" {
			req.Header.Set("Authorization", "Bearer "+key)
		}
		resp, err := client.Do(req)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		return resp.StatusCode, resp.Header
	}
	status, _ := ask("")
	assert.Check(t, status == http.StatusOK)
	d.Settings.Workspaces = map[string]setting.Workspace{
		"harbour": {
			Keys: []string{"swordfish"},
		},
		"jetty": {
			Keys:  []string{"marlin"},
			Rate:  1,
			Burst: 3,
		},
	}
	assert.NilError(t, d.Apply(context.Background()))
	for status := 0; status != http.StatusUnauthorized; time.Sleep(20 * time.Millisecond) {
		status, _ = ask("") // The settings are accepted, but may not be in force yet.
	}
	for key, want := range map[string]int{"swordfish": 200, "tuna": 401, "": 401} {
		status, header := ask(key)
		assert.Check(t, status == want, "%q: %d", key, status)
		if want == 401 {
			assert.Check(t, header.Get("Skylarkbeam-Outcome") == "not-run")
			assert.Check(t, header.Get("Skylarkbeam-Reason") == "unauthorized")
		}
	}
	passed, refused := 0, 0
	for begin := time.Now(); time.Since(begin) < 3*time.Second; time.Sleep(20 * time.Millisecond) {
		switch status, _ := ask("marlin"); status {
		case http.StatusOK:
			passed++
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			refused++
		default:
			t.Errorf("status %d", status)
		}
	}
	t.Logf("%d passed, %d refused", passed, refused)
	assert.Check(t, passed >= 3 && passed <= 1*5+3+20 && refused > 20, "%d passed, %d refused", passed, refused)
	resp, err := http.Get("http://" + e.ControlAddress().String() + "/skylarkbeam/settings")
	assert.NilError(t, err)
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Check(t, strings.Contains(string(data), "harbour"))
	assert.Check(t, !strings.Contains(string(data), "swordfish"), string(data))
}
