package target

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/outcome"
	"skylarkbeam/standin"
	"skylarkbeam/timer"
)

// Guards against retries within Send that the retry budget does not allow: when many connections go silent at once,
// each call on them would be sent twice. The control allows the retry.
func TestMayRetry(t *testing.T) {
	for allow, want := range map[bool]string{true: "complete", false: "unknown silent"} {
		t.Run(fmt.Sprintf("allowed=%v", allow), func(t *testing.T) {
			target, p := startTarget(t, standin.Behavior{}, func(o *Options) {
				o.Timers = timer.New()
				o.FirstByteTimeout = 50 * time.Millisecond
				o.MayRetry = func() bool { return allow }
			})
			assertSend(t, p, newCall("GET", "/x", "", ""), "complete")
			target.BlackholeConnections(false)
			assertSend(t, p, newCall("GET", "/x", "", ""), want)
		})
	}
}

// Guards against a failed dial that is not reported, and against a reported one if the caller went away.
func TestDialFailed(t *testing.T) {
	ln, err := net.Listen("tcp", loopback.String())
	assert.NilError(t, err)
	address := ln.Addr().(*net.TCPAddr).AddrPort()
	assert.NilError(t, ln.Close())
	var dialErrors []error
	pool := New(Options{
		Name:        "worker",
		Address:     address,
		Timers:      timer.New(),
		OnDialError: func(err error) { dialErrors = append(dialErrors, err) },
	})
	defer pool.Close()
	call := &Call{
		Method:     http.MethodGet,
		Path:       "/",
		Idempotent: true,
		Timeout:    time.Second,
	}
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	o, ok := pool.Send(canceled, call).(*outcome.NotRun)
	assert.Assert(t, ok)
	assert.Equal(t, o.Reason, outcome.Canceled)
	assert.Equal(t, len(dialErrors), 0)
	o, ok = pool.Send(context.Background(), call).(*outcome.NotRun)
	assert.Assert(t, ok)
	assert.Equal(t, o.Reason, outcome.Dial)
	assert.Equal(t, len(dialErrors), 1)
	assert.ErrorIs(t, dialErrors[0], syscall.ECONNREFUSED)
}
