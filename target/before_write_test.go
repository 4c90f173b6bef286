package target

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/outcome"
	"skylarkbeam/standin"
)

// Guards against a call that reaches the target although the entry has lost the permission to send it since the call
// was admitted, for example because the process was paused before the write. The control checks only when the call
// starts.
func TestBeforeWrite(t *testing.T) {
	tests := []struct {
		name     string
		idle     bool // there is an idle connection
		silent   bool // the idle connection is silent
		instance bool // the instance of the connection must be checked
		allowed  int  // how many checks succeed
		want     string
		wantRuns int // with a check before each write
	}{
		{
			name:    "new connection",
			allowed: 1,
			want:    "not-run isolated",
		},
		{
			name:    "reused connection",
			idle:    true,
			allowed: 1,
			want:    "not-run isolated",
		},
		{
			name:     "checked connection",
			instance: true,
			allowed:  1,
			want:     "not-run isolated",
		},
		{
			name:    "retry after a silent connection",
			idle:    true,
			silent:  true,
			allowed: 2,
			want:    "unknown silent",
		},
		{
			name:     "permission stays",
			allowed:  9,
			want:     "complete",
			wantRuns: 1,
		},
	}
	for _, tt := range tests {
		for _, disabled := range []bool{false, true} {
			t.Run(tt.name+map[bool]string{true: ", disabled"}[disabled], func(t *testing.T) {
				target, p := startTarget(t, standin.Behavior{}, func(o *Options) { o.FirstByteTimeout = 20 * time.Millisecond })
				p.disabled.beforeWrite = disabled
				if tt.idle {
					assertSend(t, p, newCall(http.MethodGet, "/first", "", ""), "complete")
				}
				if tt.silent {
					target.BlackholeConnections(false)
				}
				target.Reset()
				call := newCall(http.MethodGet, "/second", "", "")
				if tt.instance {
					call.Instance = target.Instance()
				}
				allowedLeft := tt.allowed
				call.BeforeWrite = func(time.Time) outcome.Reason {
					if allowedLeft--; allowedLeft < 0 {
						return outcome.Isolated
					}
					return ""
				}
				want, runs := tt.want, tt.wantRuns
				if disabled {
					want, runs = "complete", 1
				}
				assertSend(t, p, call, want)
				assert.Equal(t, target.Counts().Runs, runs)
			})
		}
	}
}
