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

// event is a fault or request, and the time until the next event.
type event struct {
	Op   string
	Node int
	Wait time.Duration
}

// westPartition is the partition into which some events move processes; the others are in partition 0.
const westPartition = -1

// schedule is a number of entries and a sequence of events.
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

// change is an accepted change that at least half of the members have run since a time.
type change struct {
	domain  string
	version uint64
	at      time.Time
}

// observer checks all processes every 50 ms and keeps the first violation of an invariant.
type observer struct {
	cl        *cluster
	violation string
	accepted  []change
	answers   chan change
	versions  map[*node]uint64
	drains    int
}

func (o *observer) report(format string, args ...any) {
	if o.violation == "" {
		o.violation = fmt.Sprintf(format, args...)
	}
}

func (o *observer) check() {
	now := o.cl.timers.Now()
	for _, target := range targets(6) {
		owner := ""
		o.cl.each(func(n *node) {
			if n.owns(target) {
				if owner != "" {
					o.report("%v: %s and %s own %s", now, owner, n.control, target)
				}
				owner = n.control.String()
			}
		})
	}
	o.cl.each(func(n *node) {
		contact := n.canServe()
		version := n.fleet.State().Version
		if version < o.versions[n] {
			o.report("%v: %s went back from version %d to %d", now, n.control, o.versions[n], version)
		}
		o.versions[n] = version
		for _, c := range o.accepted {
			if now.Sub(c.at) >= contactTimeout && version < c.version && contact {
				o.report("%v: %s sends work with version %d, %v after %d was in effect", now, n.control, version, now.Sub(c.at), c.version)
			}
		}
	})
}

func (o *observer) sleep(d time.Duration) {
	for ; d > 0; d -= 50 * time.Millisecond {
		for len(o.answers) > 0 {
			o.accepted = append(o.accepted, <-o.answers)
		}
		o.check()
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
				at:      o.cl.timers.Now(),
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
	n := o.cl.nodes[name]
	switch e.Op {
	case "kill":
		n.resume()
		n.kill()
	case "restart":
		n.resume()
		n.kill()
		o.cl.start(name, false)
	case "move":
		o.cl.start(name, true)
	case "leave":
		if !n.paused() && !n.ended {
			n.fleet.Leave()
		}
	case "pause":
		n.pause()
	case "wake":
		// The check runs before anything else can run in the resumed process.
		n.resume()
		o.check()
	case "slow":
		// Responses take longer than the entry waits for them, so a suspension often coincides with one.
		n.tableDelay.Store(int64(2500 * time.Millisecond))
	case "table":
		n.setPartition(true, 0)
	case "peers", "both":
		n.setPartition(e.Op == "both", n.ownPartition())
	case "west", "west-table":
		n.setPartition(e.Op == "west-table", westPartition)
	case "heal":
		n.setPartition(false, 0)
		n.tableDelay.Store(0)
	case "down", "up":
		o.cl.setDown(e.Op == "down")
	case "lose":
		o.cl.loseNextCommit(store.LossPointRandom, 3*time.Second)
	case "drain":
		if !n.paused() && !n.ended {
			o.drain(n)
		}
	}
	o.sleep(e.Wait)
}

// runSchedule runs a schedule, then ends all faults and checks that no accepted change was lost. It returns the first
// violation and the number of changes in effect.
func runSchedule(t *testing.T, options protocolOptions, s schedule) (violation string, changes int) {
	simulation.Run(t, func(t *testing.T) {
		cl := newCluster(options)
		o := &observer{
			cl:       cl,
			versions: map[*node]uint64{},
			answers:  make(chan change, 100),
		}
		defer cl.close()
		for i := range s.Nodes {
			cl.start(string(rune('a'+i)), false)
		}
		o.sleep(12 * time.Second)
		for _, e := range s.Events {
			o.run(e)
		}
		cl.setDown(false)
		for _, n := range cl.byAddress {
			n.setPartition(false, 0)
			n.tableDelay.Store(0)
			n.resume()
		}
		o.sleep(15 * time.Second)
		for name, n := range cl.nodes {
			if n.ended {
				cl.start(name, false)
			}
		}
		o.sleep(20 * time.Second)
		contact := map[string]bool{}
		for _, n := range cl.byAddress {
			for _, c := range o.accepted {
				if !n.ended && n.fleet.Err() == nil && !n.drained(c.domain) {
					o.report("%s lacks the accepted change %s", n.control, c.domain)
				}
			}
			contact[n.name] = contact[n.name] || n.canServe()
		}
		// Of several processes with the same name, the last one to register is the member.
		if len(contact) != s.Nodes || slices.Contains(slices.Collect(maps.Values(contact)), false) {
			o.report("entries without contact after all faults ended: %v", contact)
		}
		violation, changes = o.violation, len(o.accepted)
	})
	return violation, changes
}

// Guards against two owners of a target at one moment, a version that goes back, an entry that sends work according to
// a state older than one in effect for 4 s, and an accepted change that is lost.
func TestModel(t *testing.T) {
	runs, changes := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		violation, n := runSchedule(t, protocolOptions{}, schedules.Draw(rt, "schedule"))
		if violation != "" {
			rt.Fatal(violation)
		}
		runs++
		changes += n
	})
	t.Logf("%d schedules, %d accepted changes", runs, changes)
}

// Verifies that the model detects the faults that the rules prevent, by switching off each rule in turn.
func TestModelControl(t *testing.T) {
	tests := map[string]func(*protocolOptions){
		"a new owner does not wait": func(options *protocolOptions) { options.ownerDelay = 0 },
		"contact lasts for 30 s":    func(options *protocolOptions) { options.maxContactAge = 30 * time.Second },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			options := defaultProtocol()
			change(&options)
			for seed := range 200 {
				if violation, _ := runSchedule(t, options, schedules.Example(seed)); violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			assert.Assert(t, false, "no fault in 200 schedules")
		})
	}
}
