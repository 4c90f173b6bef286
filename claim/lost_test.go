package claim

import (
	"fmt"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/store"
	"skylarkbeam/timer"
)

func loseNext(point store.LossPoint) store.Faults {
	return store.Faults{
		LostCommits: store.CommitLoss{
			Count: 1,
			Point: point,
			Delay: 10 * time.Second,
		},
	}
}

// loss is a claim whose answer is lost.
type loss struct {
	name  string
	point store.LossPoint
	off   mechanisms
	take  string // want at the ledger itself, if the table can be read
	later string // want at another ledger after the release and the late effect
}

func newLoss(name string, point store.LossPoint, off mechanisms, take, later string) loss {
	return loss{
		name:  name,
		point: point,
		off:   off,
		take:  take,
		later: later,
	}
}

// losses has the mechanisms on, and each one off where the fault shows that it prevents.
var losses = []loss{
	newLoss("answer lost", store.LossPointResponse, mechanisms{}, "granted", "granted"),
	newLoss("request lost", store.LossPointRequest, mechanisms{}, "granted", "granted"),
	newLoss("request late", store.LossPointDelayed, mechanisms{}, "granted", "granted"),
	newLoss("answer lost, read-back off", store.LossPointResponse, readBackOff, "busy a", "busy a"),
	newLoss("request late, fence off", store.LossPointDelayed, fenceOff, "granted", "busy a"),
}

// Guards against a key that stays blocked although its call was refused or released, after the answer of its claim was
// lost. Without the read-back a claim that took effect blocks its own retry; without the fence a claim that takes
// effect late blocks the key after its release.
func TestLostAnswer(t *testing.T) {
	for _, test := range losses {
		simulateCase(t, test.name, func(t *testing.T, w *world) {
			a, b := w.open("a", test.off), w.open("b", mechanisms{})
			w.faults(loseNext(test.point))
			start := time.Now()
			d := take(a, "k")
			assert.Equal(t, name(d), test.take)
			assert.Assert(t, time.Since(start) <= waitLimit)
			if g, ok := d.(*Granted); ok {
				assert.Equal(t, name(take(b, "k")), "busy a", "while the first call runs")
				g.Claim.Release()
			}
			w.sleep(time.Minute)
			assert.Equal(t, name(take(b, "k")), test.later)
		})
	}
}

// Guards against a key that stays blocked after a commit whose fate an outage hid, and against one that is given away
// while the fate is unknown.
func TestLostAnswerInOutage(t *testing.T) {
	for _, test := range losses {
		simulateCase(t, test.name, func(t *testing.T, w *world) {
			a, b := w.open("a", test.off), w.open("b", mechanisms{})
			table := &cuttable{
				Table: w.table,
			}
			a.options.Table = table
			table.cutAfterCommit.Store(true)
			w.faults(loseNext(test.point))
			assert.Equal(t, name(take(a, "k")), "unavailable")
			start := time.Now()
			assert.Equal(t, name(take(a, "k")), "unavailable")
			assert.Equal(t, time.Since(start), time.Duration(0), "a call waited for a table that is down")
			w.sleep(5 * time.Second)
			table.cut.Store(false)
			w.sleep(time.Minute)
			assert.Equal(t, name(take(b, "k")), test.later)
		})
	}
}

// Guards against an answer or a release that is forgotten because the answer of its transaction was lost.
func TestLostEnd(t *testing.T) {
	tests := []struct {
		name  string
		end   func(*Claim)
		later string
	}{
		{
			name:  "finish",
			end:   func(c *Claim) { c.Finish(200, "", []byte("x")) },
			later: "done 200 x omitted=false",
		},
		{
			name:  "release",
			end:   (*Claim).Release,
			later: "granted",
		},
	}
	for _, test := range tests {
		for _, point := range []store.LossPoint{store.LossPointResponse, store.LossPointRequest, store.LossPointDelayed} {
			simulateCase(t, test.name+" "+string(point), func(t *testing.T, w *world) {
				a, b := w.open("a", mechanisms{}), w.open("b", mechanisms{})
				c := mustGrant(t, take(a, "k"))
				w.faults(loseNext(point))
				test.end(c)
				w.sleep(time.Minute)
				assert.Equal(t, name(take(b, "k")), test.later)
			})
		}
	}
}

// Guards against kinds of errors that get lost between a ledger and a platform in another process.
func TestLostAnswersOverHTTP(t *testing.T) {
	const seed, keys = 20261204, 200
	t.Logf("seed %d", seed)
	timers := timer.New()
	memory := store.NewMemory(timers)
	server := httptest.NewServer(store.NewHandler(memory))
	defer server.Close()
	assert.NilError(t, memory.SetFaults(store.Faults{
		LostCommits: store.CommitLoss{
			Probability: 0.2,
			Seed:        seed,
			Point:       store.LossPointRandom,
			Delay:       10 * time.Millisecond,
		},
	}))
	var granted [keys]atomic.Int64
	var calls sync.WaitGroup
	for i := range 2 {
		client := store.NewClient(store.ClientOptions{
			Address: netip.MustParseAddrPort(server.Listener.Addr().String()),
		})
		defer client.Close()
		l := Open(Options{
			Table:       client,
			Entry:       fmt.Sprint("entry", i),
			Incarnation: fmt.Sprint("incarnation", i),
			Timers:      timers,
		})
		defer func() {
			l.Close()
			<-l.Done()
		}()
		for key := range keys {
			calls.Go(func() {
				for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); {
					switch take(l, fmt.Sprint("k", key)).(type) {
					case *Granted:
						granted[key].Add(1)
						return
					case *Busy:
						return
					}
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	calls.Wait()
	assert.Assert(t, memory.Counters().Lost > 0)
	for key := range granted {
		assert.Equal(t, granted[key].Load(), int64(1), "grants of key %d", key)
	}
}
