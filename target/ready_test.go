package target

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/outcome"
	"skylarkbeam/standin"
)

// Guards against a call that reaches the target although the entry lost the right to send it after the call was let in,
// as when the process is paused between the decision and the write. The control asks only when the call is let in.
func TestReady(t *testing.T) {
	tests := []struct {
		name     string
		idle     bool // there is an idle connection
		silent   bool // the idle connection is silent
		instance bool // the connection must be checked
		asks     int  // how often the right is still there
		want     string
		runs     int // with the right asked for at each write
	}{
		{
			name: "new connection",
			asks: 1,
			want: "not-run isolated",
		},
		{
			name: "reused connection",
			idle: true,
			asks: 1,
			want: "not-run isolated",
		},
		{
			name:     "checked connection",
			instance: true,
			asks:     1,
			want:     "not-run isolated",
		},
		{
			name:   "repeat after a silent connection",
			idle:   true,
			silent: true,
			asks:   2,
			want:   "unknown silent",
		},
		{
			name: "right that stays",
			asks: 9,
			want: "whole",
			runs: 1,
		},
	}
	for _, tt := range tests {
		for _, off := range []bool{false, true} {
			t.Run(tt.name+map[bool]string{true: ", off"}[off], func(t *testing.T) {
				target, p := start(t, standin.Behavior{}, func(o *Options) { o.FirstByteTimeout = 20 * time.Millisecond })
				p.off.ready = off
				if tt.idle {
					expect(t, p, newCall(http.MethodGet, "/first", "", ""), "whole")
				}
				if tt.silent {
					target.BlackholeConnections(false)
				}
				target.Reset()
				call := newCall(http.MethodGet, "/second", "", "")
				if tt.instance {
					call.Instance = target.Instance()
				}
				left := tt.asks
				call.BeforeWrite = func(time.Time) outcome.Reason {
					if left--; left < 0 {
						return outcome.Isolated
					}
					return ""
				}
				want, runs := tt.want, tt.runs
				if off {
					want, runs = "whole", 1
				}
				expect(t, p, call, want)
				assert.Equal(t, target.Counts().Runs, runs)
			})
		}
	}
}
