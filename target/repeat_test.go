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

// reused returns a pool with one connection, on which a call was answered, and an idempotent call that goes on it next. The
// target answers that call, or breaks its connection, as answers says.
func reused(t *testing.T, opts Options, answers func(r *http.Request) bool) (*Pool, *Call) {
	t.Helper()
	ln, err := net.Listen("tcp", loopback.String())
	assert.NilError(t, err)
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(HeaderRequest, r.Header.Get(HeaderRequest))
			if r.URL.Path == "/call" && !answers(r) {
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
	assert.NilError(t, drain(o))
	call.Path = "/call"
	return pool, call
}

// Guards against a repeat within Send that does not say that it is one, against one of a call that descends from a repeat,
// and against a mark that the caller's header carries past the entry.
func TestRepeatMark(t *testing.T) {
	tests := []struct {
		name   string
		repeat bool
		want   []string // marks of the attempts, the first of which gets no answer
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
			pool, call := reused(t, Options{}, func(r *http.Request) bool {
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
				assert.NilError(t, drain(o))
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

// Guards against a second run at a target that has crashed while it ran the call, which should go to another target, and
// against a call that is lost because its kept connection had been reset.
func TestBrokenLate(t *testing.T) {
	tests := []struct {
		name string
		work time.Duration // until the connection breaks
		runs int
	}{
		{
			name: "reset at once",
			runs: 2,
		},
		{
			name: "crashed in the middle",
			work: 2 * staleTime,
			runs: 1,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var runs atomic.Int32
			pool, call := reused(t, Options{
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
				assert.NilError(t, drain(o))
				assert.Equal(t, tt.runs, 2)
			case *outcome.Unknown:
				assert.Equal(t, o.Reason, outcome.Broken)
				assert.Equal(t, tt.runs, 1)
			default:
				t.Fatalf("outcome %+v", o)
			}
			assert.Equal(t, int(runs.Load()), tt.runs)
		})
	}
}
