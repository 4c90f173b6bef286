package target

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"skylarkbeam/outcome"
)

// Guards against a load read that is dropped, with all that the target says of itself, because the target closes the
// connection with its response, as targets do that leave.
func TestLoadReadClosesConnection(t *testing.T) {
	for _, read := range []string{"load read", "probe"} {
		t.Run(read, func(t *testing.T) {
			ln, err := net.Listen("tcp", loopback.String())
			assert.NilError(t, err)
			server := &http.Server{
				Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set(HeaderRequest, r.Header.Get(HeaderRequest))
					w.Header().Set("Connection", "close")
					fmt.Fprint(w, `{"instance":"i1","phase":"draining"}`)
				}),
			}
			go server.Serve(ln)
			defer server.Close()
			var reported atomic.Int32
			p := New(Options{
				Address:     ln.Addr().(*net.TCPAddr).AddrPort(),
				ProbeBudget: NewProbeBudget(1000, time.Now().Add(-time.Minute)),
				OnReport: func(r outcome.Report) {
					if r.Phase == outcome.PhaseDraining {
						reported.Add(1)
					}
				},
			})
			defer p.Close()
			get := p.ReadLoad
			if read == "probe" {
				get = p.Probe
			}
			report, err := get(t.Context())
			assert.NilError(t, err)
			assert.Equal(t, report.Phase, outcome.PhaseDraining)
			assert.Equal(t, reported.Load(), int32(1))
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if n := p.OpenConnections(); n != 0 {
					return poll.Continue("%d connections are open", n)
				}
				return poll.Success()
			})
		})
	}
}
