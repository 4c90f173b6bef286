package target

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/outcome"
	"skylarkbeam/timer"
)

// startReused returns a pool with one connection on which a call was answered, and an idempotent call to send on it
// next. The target responds to that call or breaks its connection, as respond decides.
func startReused(t *testing.T, opts Options, respond func(r *http.Request) bool) (*Pool, *Call) {
	t.Helper()
	ln, err := net.Listen("tcp", loopback.String())
	assert.NilError(t, err)
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(HeaderRequest, r.Header.Get(HeaderRequest))
			if r.URL.Path == "/call" && !respond(r) {
				panic(http.ErrAbortHandler)
			}
		}),
	}
	go server.Serve(ln)
	t.Cleanup(func() { server.Close() })
	opts.Name, opts.Address, opts.Timers = "worker", ln.Addr().(*net.TCPAddr).AddrPort(), timer.New()
	pool := New(opts)
	t.Cleanup(pool.Close)
	call := &Call{
		Method:     http.MethodGet,
		Path:       "/open",
		Idempotent: true,
		Timeout:    2 * time.Second,
	}
	o, ok := pool.Send(context.Background(), call).(*outcome.Answered)
	assert.Assert(t, ok)
	assert.NilError(t, readBody(o))
	call.Path = "/call"
	return pool, call
}

// Guards against a retry within Send that is not marked as a repeat, against a retry of a call that is itself a repeat,
// and against a mark in the caller's header that is forwarded.
func TestRepeatMark(t *testing.T) {
	tests := []struct {
		name   string
		repeat bool
		want   []string // marks of the attempts; the first attempt gets no response
	}{
		{
			name: "first attempt",
			want: []string{"", "1"},
		},
		{
			name:   "descendant",
			repeat: true,
			want:   []string{"1"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var mu sync.Mutex
			var marks []string
			pool, call := startReused(t, Options{}, func(r *http.Request) bool {
				mu.Lock()
				defer mu.Unlock()
				marks = append(marks, r.Header.Get(HeaderRepeat))
				return len(marks) > 1
			})
			call.Repeat = tt.repeat
			call.Header = http.Header{
				HeaderRepeat: {"caller"},
			}
			switch o := pool.Send(context.Background(), call).(type) {
			case *outcome.Answered:
				assert.NilError(t, readBody(o))
				assert.Assert(t, !tt.repeat)
			case *outcome.Unknown:
				assert.Assert(t, tt.repeat)
			default:
				t.Fatalf("outcome %+v", o)
			}
			mu.Lock()
			defer mu.Unlock()
			assert.DeepEqual(t, marks, tt.want)
		})
	}
}

// Guards against a second execution at a target that crashed during the call, which should go to another target, and
// against a call that is lost because its reused connection had been reset.
func TestBrokenLate(t *testing.T) {
	tests := []struct {
		name     string
		work     time.Duration // until the connection breaks
		wantRuns int
	}{
		{
			name:     "reset at once",
			wantRuns: 2,
		},
		{
			name:     "crashed in the middle",
			work:     2 * maxStaleResetDelay,
			wantRuns: 1,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var runs atomic.Int32
			pool, call := startReused(t, Options{
				FirstByteTimeout: time.Minute,
			}, func(*http.Request) bool {
				if runs.Add(1) > 1 {
					return true
				}
				time.Sleep(tt.work)
				return false
			})
			switch o := pool.Send(context.Background(), call).(type) {
			case *outcome.Answered:
				assert.NilError(t, readBody(o))
				assert.Equal(t, tt.wantRuns, 2)
			case *outcome.Unknown:
				assert.Equal(t, o.Reason, outcome.Broken)
				assert.Equal(t, tt.wantRuns, 1)
			default:
				t.Fatalf("outcome %+v", o)
			}
			assert.Equal(t, int(runs.Load()), tt.wantRuns)
		})
	}
}
