package target

import (
	"fmt"
	"testing"
	"time"

	"skylarkbeam/standin"
	"skylarkbeam/timer"
)

// Guards against repeats within Send that the retry budget does not allow: when many connections go silent at once, each
// call on them would be sent twice. The control allows the repeat.
func TestMayRetry(t *testing.T) {
	for allow, want := range map[bool]string{true: "whole", false: "unknown silent"} {
		t.Run(fmt.Sprintf("allowed=%v", allow), func(t *testing.T) {
			target, p := start(t, standin.Switches{}, func(o *Options) {
				o.Timers = timer.New()
				o.Silence = 50 * time.Millisecond
				o.MayRetry = func() bool { return allow }
			})
			expect(t, p, newCall("GET", "/x", "", ""), "whole")
			target.Silence(false)
			expect(t, p, newCall("GET", "/x", "", ""), want)
		})
	}
}
