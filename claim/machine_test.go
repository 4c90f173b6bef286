package claim

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"skylarkbeam/simulation"
	"skylarkbeam/store"
	"skylarkbeam/timer"
)

// machine is the model of two ledgers on one table.
type machine struct {
	timers  *timer.Service
	memory  *store.Memory
	opened  int
	off     mechanisms
	ledgers []*Manager
	tables  []*cuttable
	keys    map[string]*modelKey
}

var modelKeys = []string{"k1", "k2", "k3"}

// modelKey is what must hold for one key.
type modelKey struct {
	holder int // index of the ledger, -1 if the key is not held
	claim  *Claim
	status int // of the recorded answer, 0 if there is none
	// loose is set when a ledger crashes that may still have had something to write about the key: the key may then be
	// blocked, or its answer unknown.
	loose bool
	// touched has the ledgers that may have something to write about the key.
	touched [2]bool
}

func (m *machine) open(i int) {
	m.opened++
	m.tables[i] = &cuttable{
		Table: m.memory,
	}
	m.ledgers[i] = Open(Options{
		Table:       m.tables[i],
		Entry:       fmt.Sprint("entry", i),
		Incarnation: fmt.Sprint(m.opened),
		Timers:      m.timers,
		disabled:    m.off,
	})
}

func (m *machine) take(t *rapid.T) {
	i, key := rapid.IntRange(0, 1).Draw(t, "ledger"), rapid.SampledFrom(modelKeys).Draw(t, "key")
	patience := rapid.SampledFrom([]time.Duration{time.Millisecond, 12 * time.Millisecond, time.Second}).Draw(t, "patience")
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	k := m.keys[key]
	k.touched[i] = true
	switch d := m.ledgers[i].Acquire(ctx, key, "digest").(type) {
	case *Granted:
		if k.holder >= 0 || k.status != 0 {
			t.Fatalf("key %s was granted to ledger %d, but it is held by %d or answered with %d", key, i, k.holder, k.status)
		}
		k.holder, k.claim = i, d.Claim
	case *Done:
		if d.Status != k.status {
			t.Fatalf("key %s has the answer %d, want %d", key, d.Status, k.status)
		}
	case *Mismatch:
		t.Fatalf("key %s is said to belong to another request", key)
	}
}

// held draws a key that is held by a ledger that runs, or returns nil.
func (m *machine) held(t *rapid.T) *modelKey {
	k := m.keys[rapid.SampledFrom(modelKeys).Draw(t, "key")]
	if k.claim == nil {
		t.Skip("the key is not held")
	}
	k.touched[k.holder] = true
	return k
}

func (m *machine) finish(t *rapid.T) {
	k := m.held(t)
	k.status = 200 + k.holder
	k.claim.Finish(k.status, "", nil)
	k.claim = nil
}

func (m *machine) release(t *rapid.T) {
	k := m.held(t)
	k.claim.Release()
	k.claim = nil
	k.holder = -1
}

// crash ends a ledger in the middle of what it does. Its successor has another incarnation.
func (m *machine) crash(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "ledger")
	for _, k := range m.keys {
		k.loose = k.loose || k.touched[i]
		if k.holder == i {
			k.claim = nil
		}
	}
	m.tables[i].cut.Store(true)
	m.ledgers[i].Close()
	<-m.ledgers[i].Done()
	m.open(i)
}

func (m *machine) fault(t *rapid.T) {
	f := store.Faults{
		RequestDelay: 5 * time.Millisecond,
	}
	switch rapid.SampledFrom([]string{"down", "lose", "silent", "throttle", "none"}).Draw(t, "fault") {
	case "down":
		f.Unavailable = true
	case "lose":
		f.LostCommits.Count = rapid.IntRange(1, 5).Draw(t, "next")
		f.LostCommits.Point = rapid.SampledFrom([]store.LossPoint{store.LossPointResponse, store.LossPointRequest, store.LossPointDelayed}).Draw(t, "point")
		f.LostCommits.Delay = rapid.SampledFrom([]time.Duration{time.Millisecond, 30 * time.Millisecond, time.Second}).Draw(t, "late")
	case "silent":
		f.RequestDelay = time.Second
	case "throttle":
		f.WritesPerSecond = 2
	}
	if err := m.memory.SetFaults(f); err != nil {
		t.Fatal(err)
	}
}

func (m *machine) wait(t *rapid.T) {
	time.Sleep(rapid.SampledFrom([]time.Duration{5, 20, 300, 2000}).Draw(t, "ms") * time.Millisecond)
}

// settle ends all faults and checks that every key is as the model says, at both ledgers.
func (m *machine) settle(t *rapid.T) {
	if err := m.memory.SetFaults(store.Faults{}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(10 * time.Second)
	for _, key := range modelKeys {
		k := m.keys[key]
		for i, l := range m.ledgers {
			d := take(l, key)
			want := "granted"
			switch {
			case k.status != 0:
				want = fmt.Sprintf("done %d  omitted=false", k.status)
			case k.holder >= 0:
				want = fmt.Sprint("busy entry", k.holder)
			}
			g, granted := d.(*Granted)
			_, busy := d.(*Busy)
			if name(d) != want && !(k.loose && busy && !granted) {
				t.Fatalf("key %s at ledger %d is %q, want %q", key, i, name(d), want)
			}
			if granted {
				g.Claim.Release()
				time.Sleep(time.Second)
			}
		}
		k.touched = [2]bool{}
	}
}

func (m *machine) run(t *rapid.T) {
	m.memory = store.NewMemory(m.timers)
	m.ledgers, m.tables = make([]*Manager, 2), make([]*cuttable, 2)
	m.keys = map[string]*modelKey{}
	for _, key := range modelKeys {
		m.keys[key] = &modelKey{
			holder: -1,
		}
	}
	for i := range m.ledgers {
		m.open(i)
		defer func() {
			m.ledgers[i].Close()
			<-m.ledgers[i].Done()
			time.Sleep(10 * time.Second) // What is late takes effect before the bubble ends.
		}()
	}
	t.Repeat(map[string]func(*rapid.T){
		"take":      m.take,
		"take more": m.take,
		"finish":    m.finish,
		"release":   m.release,
		"crash":     m.crash,
		"fault":     m.fault,
		"wait":      m.wait,
		"settle":    m.settle,
	})
	m.settle(t)
}

// Guards against any sequence of calls, ends, crashes and faults in which a key is granted while it is held or
// answered, is answered wrongly, or stays blocked although nobody holds it. With a mechanism off, such a sequence is
// found.
func TestMachine(t *testing.T) {
	const seed = 20261204
	assert.NilError(t, flag.Set("rapid.seed", fmt.Sprint(seed)))
	assert.NilError(t, flag.Set("rapid.nofailfile", "true"))
	assert.NilError(t, flag.Set("rapid.checks", "500"))
	t.Logf("seed %d", seed)
	for name, off := range switched {
		t.Run(name, func(t *testing.T) {
			simulation.Run(t, func(t *testing.T) {
				m := &machine{
					timers: timer.New(),
					off:    off,
				}
				tb := &quietTB{
					TB: t,
				}
				rapid.Check(tb, m.run)
				t.Log(lastLine(tb.log.String()))
				assert.Equal(t, tb.failed, off != mechanisms{}, "%s", &tb.log)
			})
		})
	}
}

// quietTB notes the failure of a property instead of failing the test.
type quietTB struct {
	rapid.TB

	failed bool
	log    strings.Builder
}

func (q *quietTB) Failed() bool { return q.failed }
func (q *quietTB) Fail()        { q.failed = true }
func (q *quietTB) FailNow()     { q.failed = true }

func (q *quietTB) Logf(format string, args ...any) { fmt.Fprintf(&q.log, format+"\n", args...) }
func (q *quietTB) Log(args ...any)                 { fmt.Fprintln(&q.log, args...) }

func (q *quietTB) Errorf(format string, args ...any) {
	q.Logf(format, args...)
	q.failed = true
}

func lastLine(s string) string {
	lines := strings.Split(strings.TrimSpace(s), "\n")
	return lines[len(lines)-1]
}
