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

// lostCommit is a case in which the response to the transaction of a claim is lost.
type lostCommit struct {
	name      string
	point     store.LossPoint
	disabled  mechanisms
	wantFirst string // at the manager itself, if the table can be read
	wantLater string // at another manager, after the release and the late effect
}

func newLostCommit(name string, point store.LossPoint, disabled mechanisms, wantFirst, wantLater string) lostCommit {
	return lostCommit{
		name:      name,
		point:     point,
		disabled:  disabled,
		wantFirst: wantFirst,
		wantLater: wantLater,
	}
}

// lostCommits has all mechanisms enabled, and each mechanism disabled in the case whose failure it prevents.
var lostCommits = []lostCommit{
	newLostCommit("response lost", store.LossPointResponse, mechanisms{}, "granted", "granted"),
	newLostCommit("request lost", store.LossPointRequest, mechanisms{}, "granted", "granted"),
	newLostCommit("request delayed", store.LossPointDelayed, mechanisms{}, "granted", "granted"),
	newLostCommit("response lost, read-back disabled", store.LossPointResponse, readBackDisabled, "busy a", "busy a"),
	newLostCommit("request delayed, fence disabled", store.LossPointDelayed, fenceDisabled, "granted", "busy a"),
}

// Guards against a key that stays blocked although its call was refused or released, after the response to the
// transaction of its claim was lost. Without the read-back, a claim that took effect blocks its own retry. Without the
// fence, a claim that takes effect late blocks the key after its release.
func TestLostAnswer(t *testing.T) {
	for _, test := range lostCommits {
		runSimulated(t, test.name, func(t *testing.T, env *environment) {
			a, b := env.open("a", test.disabled), env.open("b", mechanisms{})
			env.faults(loseNext(test.point))
			start := time.Now()
			d := acquire(a, "k")
			assert.Equal(t, describe(d), test.wantFirst)
			assert.Assert(t, time.Since(start) <= acquireTimeout)
			if g, ok := d.(*Granted); ok {
				assert.Equal(t, describe(acquire(b, "k")), "busy a", "while the first call runs")
				g.Claim.Release()
			}
			env.sleep(time.Minute)
			assert.Equal(t, describe(acquire(b, "k")), test.wantLater)
		})
	}
}

// Guards against a key that stays blocked after a commit whose effect is unknown because of an outage, and against a
// key that is granted again before the effect is known.
func TestLostAnswerInOutage(t *testing.T) {
	for _, test := range lostCommits {
		runSimulated(t, test.name, func(t *testing.T, env *environment) {
			a, b := env.open("a", test.disabled), env.open("b", mechanisms{})
			table := &partitionedTable{
				Table: env.table,
			}
			a.options.Table = table
			table.partitionAfterCommit.Store(true)
			env.faults(loseNext(test.point))
			assert.Equal(t, describe(acquire(a, "k")), "unavailable")
			start := time.Now()
			assert.Equal(t, describe(acquire(a, "k")), "unavailable")
			assert.Equal(t, time.Since(start), time.Duration(0), "a call waited for a table that is down")
			env.sleep(5 * time.Second)
			table.partitioned.Store(false)
			env.sleep(time.Minute)
			assert.Equal(t, describe(acquire(b, "k")), test.wantLater)
		})
	}
}

// Guards against a recorded response or a release that is forgotten because the response to its transaction was lost.
func TestLostFinalWrite(t *testing.T) {
	tests := []struct {
		name      string
		end       func(*Claim)
		wantLater string
	}{
		{
			name:      "finish",
			end:       func(c *Claim) { c.Finish(200, "", []byte("x")) },
			wantLater: "done 200 x omitted=false",
		},
		{
			name:      "release",
			end:       (*Claim).Release,
			wantLater: "granted",
		},
	}
	for _, test := range tests {
		for _, point := range []store.LossPoint{store.LossPointResponse, store.LossPointRequest, store.LossPointDelayed} {
			runSimulated(t, test.name+" "+string(point), func(t *testing.T, env *environment) {
				a, b := env.open("a", mechanisms{}), env.open("b", mechanisms{})
				c := requireGranted(t, acquire(a, "k"))
				env.faults(loseNext(point))
				test.end(c)
				env.sleep(time.Minute)
				assert.Equal(t, describe(acquire(b, "k")), test.wantLater)
			})
		}
	}
}

// Guards against error kinds that get lost between a manager and a platform in another process.
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
		m := Open(Options{
			Table:       client,
			Entry:       fmt.Sprint("entry", i),
			Incarnation: fmt.Sprint("incarnation", i),
			Timers:      timers,
		})
		defer func() {
			m.Close()
			<-m.Done()
		}()
		for key := range keys {
			calls.Go(func() {
				for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); {
					switch acquire(m, fmt.Sprint("k", key)).(type) {
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
