package entry

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/fleet"
	"skylarkbeam/memory"
	"skylarkbeam/outcome"
	"skylarkbeam/target"
)

// Guards against a booking that waits for a connection, or is forwarded to another entry, and is sent after its caller has
// disconnected, and against one that is cut off by its caller once it may run.
func TestEndWithCaller(t *testing.T) {
	for _, written := range []bool{false, true} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer l.Close()
		arrived := make(chan struct{})
		server := &http.Server{
			Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				close(arrived)
				time.Sleep(200 * time.Millisecond)
				w.Header().Set(target.HeaderRequest, r.Header.Get(target.HeaderRequest))
			}),
		}
		go server.Serve(l)
		defer server.Close()
		pool := target.New(target.Options{
			Name:    "logbook-1",
			Address: netip.MustParseAddrPort(l.Addr().String()),
			Dial: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
				if !written {
					<-ctx.Done() // A machine that is not reachable.
					return nil, ctx.Err()
				}
				var d net.Dialer
				return d.DialContext(ctx, "tcp", address.String())
			},
			DialTimeout: 10 * time.Second,
		})
		defer pool.Close()
		caller, leave := context.WithCancel(context.Background())
		c := &call{
			deadline: time.Now().Add(10 * time.Second),
		}
		ctx, release := c.setContexts(caller)
		defer release()
		m := &target.Call{
			Method:  http.MethodPost,
			Path:    "/book/1",
			Timeout: 10 * time.Second,
		}
		attempt, stop := c.endWithCaller(ctx, m)
		go func() {
			if written {
				<-arrived
			} else {
				time.Sleep(20 * time.Millisecond)
			}
			leave()
		}()
		began := time.Now()
		result := pool.Send(attempt, m)
		stop()
		assert.Assert(t, c.gone())
		if written {
			answered, ok := result.(*outcome.Answered)
			assert.Assert(t, ok, "%#v", result)
			answered.Body.Close()
			continue
		}
		notRun, ok := result.(*outcome.NotRun)
		assert.Assert(t, ok, "%#v", result)
		assert.Equal(t, notRun.Reason, outcome.Canceled)
		assert.Assert(t, time.Since(began) < 5*time.Second)
	}
}

// Guards against a booking that waits at another entry after its caller has disconnected: the other entry learns of it by the
// end of the connection. With a key, the claim is held here, so the call goes on.
func TestGoneForwarded(t *testing.T) {
	for _, key := range []string{"", "k1"} {
		arrived, ended := make(chan struct{}), make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			close(arrived)
			select {
			case <-r.Context().Done():
				close(ended)
			case <-time.After(500 * time.Millisecond):
			}
		}))
		defer server.Close()
		e := bodyEntry(memory.DeriveLimits(defaultMemory, 0))
		e.peerPools = map[string]*peerPool{}
		caller, leave := context.WithCancel(context.Background())
		defer leave()
		c := &call{
			request:  httptest.NewRequestWithContext(caller, http.MethodPost, "/book/1", nil),
			key:      key,
			deadline: time.Now().Add(10 * time.Second),
			place:    placeQueue,
			snapshot: &snapshot{},
		}
		ctx, release := c.setContexts(caller)
		defer release()
		go func() {
			<-arrived
			leave()
		}()
		e.relayCall(ctx, c, &outcome.NotRun{
			Reason: outcome.Cold,
		}, []fleet.Member{
			{
				Name:    "entry-2",
				Control: netip.MustParseAddrPort(server.Listener.Addr().String()),
			},
		})
		assert.Equal(t, c.place, placeRelay)
		select {
		case <-ended:
			assert.Equal(t, key, "", "the call with a key was cut off")
		case <-time.After(time.Second):
			assert.Assert(t, key != "", "the call goes on at the other entry")
		}
	}
}
