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

// stateMachine is a model of two managers on one table.
type stateMachine struct {
	timers   *timer.Service
	memory   *store.Memory
	opened   int
	disabled mechanisms
	managers []*Manager
	tables   []*partitionedTable
	keys     map[string]*modelKey
}

var modelKeys = []string{"k1", "k2", "k3"}

// modelKey is the expected state of one key.
type modelKey struct {
	holder int // index of the manager, -1 if the key is not held
	claim  *Claim
	status int // of the recorded response, 0 if there is none
	// uncertain is set when a manager crashes that may have had a pending write for the key. The key may then be
	// blocked, or its response lost.
	uncertain bool
	// touched reports which managers may have a pending write for the key.
	touched [2]bool
}

func (m *stateMachine) open(i int) {
	m.opened++
	m.tables[i] = &partitionedTable{
		Table: m.memory,
	}
	m.managers[i] = Open(Options{
		Table:       m.tables[i],
		Entry:       fmt.Sprint("entry", i),
		Incarnation: fmt.Sprint(m.opened),
		Timers:      m.timers,
		disabled:    m.disabled,
	})
}

func (m *stateMachine) take(t *rapid.T) {
	i, key := rapid.IntRange(0, 1).Draw(t, "manager"), rapid.SampledFrom(modelKeys).Draw(t, "key")
	timeout := rapid.SampledFrom([]time.Duration{time.Millisecond, 12 * time.Millisecond, time.Second}).Draw(t, "timeout")
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	k := m.keys[key]
	k.touched[i] = true
	switch d := m.managers[i].Acquire(ctx, key, "digest").(type) {
	case *Granted:
		if k.holder >= 0 || k.status != 0 {
			t.Fatalf("key %s was granted to manager %d, but it is held by %d or answered with %d", key, i, k.holder, k.status)
		}
		k.holder, k.claim = i, d.Claim
	case *Done:
		if d.Status != k.status {
			t.Fatalf("key %s has the response %d, want %d", key, d.Status, k.status)
		}
	case *Mismatch:
		t.Fatalf("key %s is reported as used with another request", key)
	}
}

// held draws a key that is held by a running manager. It skips the step if the key is not held.
func (m *stateMachine) held(t *rapid.T) *modelKey {
	k := m.keys[rapid.SampledFrom(modelKeys).Draw(t, "key")]
	if k.claim == nil {
		t.Skip("the key is not held")
	}
	k.touched[k.holder] = true
	return k
}

func (m *stateMachine) finish(t *rapid.T) {
	k := m.held(t)
	k.status = 200 + k.holder
	k.claim.Finish(k.status, "", nil)
	k.claim = nil
}

func (m *stateMachine) release(t *rapid.T) {
	k := m.held(t)
	k.claim.Release()
	k.claim = nil
	k.holder = -1
}

// crash stops a manager at an arbitrary point. Its successor has another incarnation.
func (m *stateMachine) crash(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "manager")
	for _, k := range m.keys {
		k.uncertain = k.uncertain || k.touched[i]
		if k.holder == i {
			k.claim = nil
		}
	}
	m.tables[i].partitioned.Store(true)
	m.managers[i].Close()
	<-m.managers[i].Done()
	m.open(i)
}

func (m *stateMachine) fault(t *rapid.T) {
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

func (m *stateMachine) wait(t *rapid.T) {
	time.Sleep(rapid.SampledFrom([]time.Duration{5, 20, 300, 2000}).Draw(t, "ms") * time.Millisecond)
}

// settle ends all faults and checks every key against the model at both managers.
func (m *stateMachine) settle(t *rapid.T) {
	if err := m.memory.SetFaults(store.Faults{}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(10 * time.Second)
	for _, key := range modelKeys {
		k := m.keys[key]
		for i, manager := range m.managers {
			d := acquire(manager, key)
			want := "granted"
			switch {
			case k.status != 0:
				want = fmt.Sprintf("done %d  omitted=false", k.status)
			case k.holder >= 0:
				want = fmt.Sprint("busy entry", k.holder)
			}
			g, granted := d.(*Granted)
			_, busy := d.(*Busy)
			if describe(d) != want && !(k.uncertain && busy && !granted) {
				t.Fatalf("key %s at manager %d is %q, want %q", key, i, describe(d), want)
			}
			if granted {
				g.Claim.Release()
				time.Sleep(time.Second)
			}
		}
		k.touched = [2]bool{}
	}
}

func (m *stateMachine) run(t *rapid.T) {
	m.memory = store.NewMemory(m.timers)
	m.managers, m.tables = make([]*Manager, 2), make([]*partitionedTable, 2)
	m.keys = map[string]*modelKey{}
	for _, key := range modelKeys {
		m.keys[key] = &modelKey{
			holder: -1,
		}
	}
	for i := range m.managers {
		m.open(i)
		defer func() {
			m.managers[i].Close()
			<-m.managers[i].Done()
			time.Sleep(10 * time.Second) // Late transactions take effect before the bubble ends.
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

// Guards against any sequence of calls, final writes, crashes and faults after which a key is granted although it is
// held or answered, has a wrong response, or stays blocked although nobody holds it. With a mechanism disabled, such a
// sequence is found.
func TestStateMachine(t *testing.T) {
	const seed = 20261204
	assert.NilError(t, flag.Set("rapid.seed", fmt.Sprint(seed)))
	assert.NilError(t, flag.Set("rapid.nofailfile", "true"))
	assert.NilError(t, flag.Set("rapid.checks", "500"))
	t.Logf("seed %d", seed)
	for name, disabled := range uniquenessCases {
		t.Run(name, func(t *testing.T) {
			simulation.Run(t, func(t *testing.T) {
				m := &stateMachine{
					timers:   timer.New(),
					disabled: disabled,
				}
				tb := &recordingTB{
					TB: t,
				}
				rapid.Check(tb, m.run)
				t.Log(lastLine(tb.log.String()))
				assert.Equal(t, tb.failed, disabled != mechanisms{}, "%s", &tb.log)
			})
		})
	}
}

// recordingTB records the failure of a property instead of failing the test.
type recordingTB struct {
	rapid.TB

	failed bool
	log    strings.Builder
}

func (r *recordingTB) Failed() bool { return r.failed }
func (r *recordingTB) Fail()        { r.failed = true }
func (r *recordingTB) FailNow()     { r.failed = true }

func (r *recordingTB) Logf(format string, args ...any) { fmt.Fprintf(&r.log, format+"\n", args...) }
func (r *recordingTB) Log(args ...any)                 { fmt.Fprintln(&r.log, args...) }

func (r *recordingTB) Errorf(format string, args ...any) {
	r.Logf(format, args...)
	r.failed = true
}

func lastLine(s string) string {
	lines := strings.Split(strings.TrimSpace(s), "\n")
	return lines[len(lines)-1]
}
