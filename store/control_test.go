package store

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkbeam/timer"
)

// Guards against faults that are applied partly or decoded wrongly, so that a test of another process tests something
// else.
func TestControl(t *testing.T) {
	const faults = `{"down":true,"delay":"5ms","hold":"1s","lose":{"next":2,"rate":0.2,"seed":7,"point":"late","late":"1m0s"},"writes":300,"reads":2000,"lag":"10s"}`
	type test struct {
		name, method, path, body string
		status                   int
		want                     string
	}
	get := func(name, path, want string) test {
		return test{
			name:   name,
			method: http.MethodGet,
			path:   path,
			status: 200,
			want:   want,
		}
	}
	put := func(name, path, body string, status int) test {
		return test{
			name:   name,
			method: http.MethodPut,
			path:   path,
			body:   body,
			status: status,
			want:   map[int]string{200: "{}"}[status],
		}
	}
	tests := []test{
		get("no faults", "/control/faults", "{}"),
		put("set", "/control/faults", faults, 200),
		get("as set", "/control/faults", faults),
		put("unknown field", "/control/faults", `{"dwon":true}`, 400),
		put("unknown point", "/control/faults", `{"lose":{"point":"never"}}`, 400),
		put("rate above 1", "/control/faults", `{"lose":{"rate":2}}`, 400),
		get("still as set", "/control/faults", faults),
		put("VMs", "/control/vms", `[{"name":"entry1","address":"127.0.0.1"}]`, 200),
		get("counters", "/control/counters", `{"reads":0,"writes":0,"refused":0,"conflicts":0,"lost":0}`),
	}
	handler := NewControlHandler(NewMemory(timer.New()))
	for _, test := range tests {
		req := httptest.NewRequest(test.method, test.path, strings.NewReader(test.body))
		req.Header.Set("Content-Type", "application/json")
		resp := httptest.NewRecorder()
		handler.ServeHTTP(resp, req)
		assert.Equal(t, resp.Code, test.status, "%s: %s", test.name, resp.Body)
		if test.want != "" {
			assert.Equal(t, resp.Body.String(), test.want, test.name)
		}
	}
}
