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

// Guards against a load read that takes part of a response, or one with a malformed head, for a report of the target.
func TestLoadReadBroken(t *testing.T) {
	const load = `{"instance":"i1"}`
	tests := map[string]struct {
		status, fields string
		reset, whole   bool
	}{
		"whole": {
			status: "200 OK",
			whole:  true,
		},
		"whole with a length": {
			status: "200 OK",
			fields: "Content-Length: 17\r\n",
			whole:  true,
		},
		"reset": {
			status: "200 OK",
			reset:  true,
		},
		"short": {
			status: "200 OK",
			fields: "Content-Length: 18\r\n",
		},
		"chunks": {
			status: "200 OK",
			fields: "Transfer-Encoding: chunked\r\n",
		},
		"status 000": {
			status: "000 OK",
		},
		"blank in a name": {
			status: "200 OK",
			fields: "Server Load: 5\r\n",
		},
		"blank after a name": {
			status: "200 OK",
			fields: "Content-Length : 17\r\n",
		},
		"control byte in a name": {
			status: "200 OK",
			fields: "Server\x01Load: 5\r\n",
		},
	}
	for name, test := range tests {
		for _, read := range []string{"load read", "probe"} {
			t.Run(name+", "+read, func(t *testing.T) {
				p := startRawTarget(t, func(nc *net.TCPConn, id string) {
					_, _ = fmt.Fprintf(nc, "HTTP/1.1 %s\r\n%s: %s\r\n%s\r\n%s", test.status, HeaderRequest, id, test.fields, load)
					if test.reset {
						_ = nc.SetLinger(0)
					}
				})
				p.opts.ProbeBudget = NewProbeBudget(1000, time.Now().Add(-time.Minute))
				get := p.ReadLoad
				if read == "probe" {
					get = p.Probe
				}
				report, err := get(t.Context())
				last, _ := p.LastReport()
				assert.Equal(t, last.Instance, report.Instance)
				if test.whole {
					assert.NilError(t, err)
					assert.Equal(t, report.Instance, "i1")
					return
				}
				assert.Assert(t, err != nil)
				assert.Equal(t, report.Instance, "")
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					if n := p.OpenConnections(); n != 0 {
						return poll.Continue("%d connections are open", n)
					}
					return poll.Success()
				})
			})
		}
	}
}
