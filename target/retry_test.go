package target

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/outcome"
	"skylarkbeam/standin"
	"skylarkbeam/timer"
)

// Guards against repeats within Send that the retry budget does not allow: when many connections go silent at once, each
// call on them would be sent twice. The control allows the repeat.
func TestMayRetry(t *testing.T) {
	tests := []struct {
		name  string
		allow bool
		want  outcome.Reason
	}{
		{
			name:  "allowed",
			allow: true,
		},
		{
			name: "budget used up",
			want: outcome.Silent,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, err := standin.Start(standin.New(standin.Options{
				Name: "worker",
			}), loopback)
			assert.NilError(t, err)
			defer s.Close()
			pool := New(Options{
				Name:     "worker",
				Address:  s.Address,
				Timers:   timer.New(),
				Silence:  50 * time.Millisecond,
				MayRetry: func() bool { return tt.allow },
			})
			defer pool.Close()
			call := &Call{
				Method:     http.MethodGet,
				Path:       "/x",
				Idempotent: true,
				Timeout:    2 * time.Second,
			}
			first, ok := pool.Send(context.Background(), call).(*outcome.Answered)
			assert.Assert(t, ok)
			assert.NilError(t, drainBody(first))
			s.Target.Silence(false)
			switch o := pool.Send(context.Background(), call).(type) {
			case *outcome.Answered:
				assert.Equal(t, tt.want, outcome.Reason(""))
				assert.NilError(t, drainBody(o))
			case *outcome.Unknown:
				assert.Equal(t, o.Reason, tt.want)
			default:
				t.Fatalf("outcome %+v", o)
			}
		})
	}
}

func drainBody(o *outcome.Answered) error {
	defer o.Body.Close()
	_, err := io.Copy(io.Discard, o.Body)
	return err
}
