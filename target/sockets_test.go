package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"skylarkbeam/outcome"
	"skylarkbeam/timer"
)

// Guards against more connections than all pools may have together, against idle ones that keep others out, and against sockets that
// stay taken after connections were closed, refused or lost.
func TestSockets(t *testing.T) {
	const most = 3
	sockets := NewSockets(func() int { return most })
	var pools []*Pool
	release := make(chan struct{})
	var slowRequests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			slowRequests.Add(1)
			<-release
		}
		w.Header().Set(HeaderRequest, r.Header.Get(HeaderRequest))
		_, _ = io.WriteString(w, "whole")
	}))
	defer server.Close()
	// Close waits for the requests, also after a failure.
	answerSlow := sync.OnceFunc(func() { close(release) })
	defer answerSlow()
	timers := timer.New()
	open := func(address netip.AddrPort) *Pool {
		p := New(Options{
			Name:    "target",
			Address: address,
			Timers:  timers,
			Sockets: sockets,
		})
		pools = append(pools, p)
		return p
	}
	send := func(p *Pool, path string) outcome.Outcome {
		result := p.Send(context.Background(), &Call{
			Method:  http.MethodGet,
			Path:    path,
			Timeout: 10 * time.Second,
		})
		if a, ok := result.(*outcome.Answered); ok {
			_, err := io.Copy(io.Discard, a.Body)
			assert.NilError(t, err)
		}
		return result
	}
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	for range 10 {
		result := send(open(address), "/")
		_, ok := result.(*outcome.Answered)
		assert.Assert(t, ok, "%+v", result)
		assert.Assert(t, sockets.Open() <= most)
	}
	assert.Equal(t, sockets.Closed(), uint64(7))
	slow := open(address)
	done := make(chan outcome.Outcome, most)
	for range most {
		go func() { done <- send(slow, "/slow") }()
	}
	// A connection is counted as open before it has its socket.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := slowRequests.Load(); n < most {
			return poll.Continue("%d of %d slow requests have arrived", n, most)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
	assert.Equal(t, slow.OpenConnections(), most)
	refused, ok := send(open(address), "/").(*outcome.NotRun)
	assert.Assert(t, ok, "with all sockets in use")
	assert.Equal(t, refused.Reason, outcome.QueueFull)
	assert.Equal(t, sockets.Refused(), uint64(1))
	answerSlow()
	for range most {
		_, ok := (<-done).(*outcome.Answered)
		assert.Assert(t, ok)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l.Close()
	failed, ok := send(open(netip.MustParseAddrPort(l.Addr().String())), "/").(*outcome.NotRun)
	assert.Assert(t, ok && failed.Reason == outcome.Dial)
	for _, p := range pools {
		p.Close()
	}
	assert.Equal(t, sockets.Open(), 0)
	assert.Equal(t, len(sockets.pools), 0)
}
