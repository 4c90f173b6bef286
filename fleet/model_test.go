package fleet

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"skylarkbeam/simulation"
	"skylarkbeam/store"
)

// The seed fixes the schedules of the model tests.
func TestMain(m *testing.M) { simulation.Main(m, "20261204", "rapid.checks", "40") }

// event is one fault or request, and the time until the next one.
type event struct {
	Op   string
	Node int
	Wait time.Duration
}

// west is the side that some events put processes on; the others are on side 0.
const west = -1

// schedule is a number of entries and what happens to them.
type schedule struct {
	Nodes  int
	Events []event
}

var schedules = rapid.Custom(func(t *rapid.T) schedule {
	nodes := rapid.IntRange(2, 6).Draw(t, "nodes")
	one := rapid.Custom(func(t *rapid.T) event {
		return event{
			Op: rapid.SampledFrom([]string{
				"kill", "restart", "move", "leave", "pause", "pause", "wake", "wake", "slow", "slow", "table", "peers", "both", "west",
				"west", "west-table", "west-table", "heal", "heal", "down", "up", "up", "lose", "drain", "drain", "drain", "drain",
			}).Draw(t, "op"),
			Node: rapid.IntRange(0, nodes-1).Draw(t, "node"),
			Wait: time.Duration(rapid.IntRange(0, 80).Draw(t, "tenths")) * 100 * time.Millisecond,
		}
	})
	return schedule{
		Nodes:  nodes,
		Events: rapid.SliceOfN(one, 5, 40).Draw(t, "events"),
	}
})

// change is an accepted change that half of the members ran at a time.
type change struct {
	domain  string
	version uint64
	at      time.Time
}

// observer looks at all processes every 50 ms and keeps the first broken promise.
type observer struct {
	w        *world
	broken   string
	accepted []change
	answers  chan change
	versions map[*node]uint64
	drains   int
}

func (o *observer) fault(format string, args ...any) {
	if o.broken == "" {
		o.broken = fmt.Sprintf(format, args...)
	}
}

func (o *observer) look() {
	now := o.w.timers.Now()
	for _, target := range targets(6) {
		owner := ""
		o.w.each(func(n *node) {
			if n.owns(target) {
				if owner != "" {
					o.fault("%v: %s and %s own %s", now, owner, n.control, target)
				}
				owner = n.control.String()
			}
		})
	}
	o.w.each(func(n *node) {
		contact := n.contact()
		version := n.fleet.State().Version
		if version < o.versions[n] {
			o.fault("%v: %s went back from version %d to %d", now, n.control, o.versions[n], version)
		}
		o.versions[n] = version
		for _, c := range o.accepted {
			if now.Sub(c.at) >= contactTime && version < c.version && contact {
				o.fault("%v: %s sends work with version %d, %v after %d was in force", now, n.control, version, now.Sub(c.at), c.version)
			}
		}
	})
}

func (o *observer) sleep(d time.Duration) {
	for ; d > 0; d -= 50 * time.Millisecond {
		for len(o.answers) > 0 {
			o.accepted = append(o.accepted, <-o.answers)
		}
		o.look()
		time.Sleep(50 * time.Millisecond)
	}
}

func (o *observer) drain(n *node) {
	o.drains++
	id := fmt.Sprintf("domain-%d", o.drains)
	go func() {
		if a, ok := n.drain(id, n.fleet.State().BaseVersion).(*Accepted); ok {
			c := change{
				domain:  id,
				version: a.Version,
				at:      o.w.timers.Now(),
			}
			if !a.InEffect {
				c.at = c.at.Add(time.Hour)
			}
			o.answers <- c
		}
	}()
}

func (o *observer) run(e event) {
	name := string(rune('a' + e.Node))
	n := o.w.nodes[name]
	switch e.Op {
	case "kill":
		n.wake()
		n.kill()
	case "restart":
		n.wake()
		n.kill()
		o.w.start(name, false)
	case "move":
		o.w.start(name, true)
	case "leave":
		if !n.paused() && !n.dead {
			n.fleet.Leave()
		}
	case "pause":
		n.pause()
	case "wake":
		// The question comes before anything else can run in the process that wakes.
		n.wake()
		o.look()
	case "slow":
		// Answers are under way for longer than the entry waits for them, so a pause often catches one.
		n.late.Store(int64(2500 * time.Millisecond))
	case "table":
		n.cut(true, 0)
	case "peers", "both":
		n.cut(e.Op == "both", n.alone())
	case "west", "west-table":
		n.cut(e.Op == "west-table", west)
	case "heal":
		n.cut(false, 0)
		n.late.Store(0)
	case "down", "up":
		o.w.down(e.Op == "down")
	case "lose":
		o.w.lose(store.LossPointRandom, 3*time.Second)
	case "drain":
		if !n.paused() && !n.dead {
			o.drain(n)
		}
	}
	o.sleep(e.Wait)
}

// explore runs a schedule, then heals everything and checks that no accepted change was lost. It returns the first
// broken promise and how many changes were in force.
func explore(t *testing.T, l limits, s schedule) (broken string, changes int) {
	simulation.Run(t, func(t *testing.T) {
		w := newWorld(l)
		o := &observer{
			w:        w,
			versions: map[*node]uint64{},
			answers:  make(chan change, 100),
		}
		defer w.close()
		for i := range s.Nodes {
			w.start(string(rune('a'+i)), false)
		}
		o.sleep(12 * time.Second)
		for _, e := range s.Events {
			o.run(e)
		}
		w.down(false)
		for _, n := range w.hosts {
			n.cut(false, 0)
			n.late.Store(0)
			n.wake()
		}
		o.sleep(15 * time.Second)
		for name, n := range w.nodes {
			if n.dead {
				w.start(name, false)
			}
		}
		o.sleep(20 * time.Second)
		contact := map[string]bool{}
		for _, n := range w.hosts {
			for _, c := range o.accepted {
				if !n.dead && n.fleet.Err() == nil && !n.drained(c.domain) {
					o.fault("%s lacks the accepted change %s", n.control, c.domain)
				}
			}
			contact[n.name] = contact[n.name] || n.contact()
		}
		// Of several processes with one name, the one that registered last has it.
		if len(contact) != s.Nodes || slices.Contains(slices.Collect(maps.Values(contact)), false) {
			o.fault("entries without contact after all faults ended: %v", contact)
		}
		broken, changes = o.broken, len(o.accepted)
	})
	return broken, changes
}

// Guards against two owners of a target at one moment, a version that goes back, an entry that sends work according to
// a state older than one in force for 4 s, and an accepted change that is lost.
func TestModel(t *testing.T) {
	runs, changes := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		broken, n := explore(t, limits{}, schedules.Draw(rt, "schedule"))
		if broken != "" {
			rt.Fatal(broken)
		}
		runs++
		changes += n
	})
	t.Logf("%d schedules, %d accepted changes", runs, changes)
}

// Shows that the model finds the faults that the rules prevent: each rule is switched off in turn.
func TestModelControl(t *testing.T) {
	tests := map[string]func(*limits){
		"a new owner does not wait": func(l *limits) { l.wait = 0 },
		"contact lasts for 30 s":    func(l *limits) { l.contact = 30 * time.Second },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			l := usual()
			change(&l)
			for seed := range 200 {
				if broken, _ := explore(t, l, schedules.Example(seed)); broken != "" {
					t.Logf("seed %d: %s", seed, broken)
					return
				}
			}
			assert.Assert(t, false, "no fault in 200 schedules")
		})
	}
}
