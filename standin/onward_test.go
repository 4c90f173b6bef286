package standin

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a target that answers before its onward call is whole, that takes a broken answer for a whole one, or
// that does not pass the time left on.
func TestOnward(t *testing.T) {
	last, lastClient := start(t, Behavior{
		ServiceTime: Duration(20 * time.Millisecond),
	})
	first, c := start(t, Behavior{
		DependencyURL: lastClient.base + "/last",
	})
	tests := []struct {
		name  string
		fault Fault
		want  int
	}{
		{
			name: "whole",
			want: http.StatusOK,
		},
		{
			name:  "error",
			fault: FaultError,
			want:  http.StatusBadGateway,
		},
		{
			name:  "cut",
			fault: FaultTruncatedBody,
			want:  http.StatusBadGateway,
		},
		{
			name:  "dropped",
			fault: FaultCloseBeforeResponse,
			want:  http.StatusBadGateway,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			last.Reset()
			last.InjectFaults(tt.fault)
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, c.base+"/", nil)
			assert.NilError(t, err)
			req.Header.Set("Skylarkbeam-Timeout", "5s")
			start := time.Now()
			resp, err := c.http.Do(req)
			assert.NilError(t, err)
			assert.NilError(t, resp.Body.Close())
			assert.Equal(t, resp.StatusCode, tt.want)
			assert.Equal(t, last.Counts().Calls, 1, "calls of the last target")
			if tt.fault == FaultNone {
				assert.Assert(t, time.Since(start) >= 20*time.Millisecond, "answered before the onward call")
				left := time.Duration(last.Counts().LastTimeout)
				assert.Assert(t, left > 0 && left < time.Duration(first.Counts().LastTimeout), "time left %s", left)
			}
		})
	}
}
