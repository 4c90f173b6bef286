package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/simulation"
)

// qldDomains are the failure domains of a large deployment.
var qldDomains = []string{"a", "b", "c", "d", "e"}

// cutOff cuts an entry off from all others, without a word to them.
func (tr *memoryTransport) cutOff(f *Follower) {
	tr.mu.Lock()
	tr.cut[f.opt.Control] = true
	tr.mu.Unlock()
	f.stop()
}

// oldestHeard returns the time since the member was heard of which any of the entries has the oldest information.
func oldestHeard(list []*Follower) time.Duration {
	oldest := time.Duration(0)
	for _, f := range list {
		f.mu.RLock()
		for _, m := range f.members {
			oldest = max(oldest, f.now().Sub(m.heardAt))
		}
		f.mu.RUnlock()
	}
	return oldest
}

// Guards against information about members that takes so long to reach all entries of a large fleet that they take each
// other for lost. With random neighbors in each round, entries that started together greeted other domains in bursts,
// and information was up to 4 s old.
func TestGreetingSpread(t *testing.T) {
	simulation.Run(t, func(t *testing.T) {
		store := newMemoryStore("op", "servers", "entries")
		_, list := startFollowersIn(t, qldDomains, 60, func(int) Store { return store })
		time.Sleep(10 * time.Second)
		oldest := time.Duration(0)
		for range 60 {
			time.Sleep(130 * time.Millisecond)
			oldest = max(oldest, oldestHeard(list))
		}
		t.Logf("the oldest information was %s old", oldest)
		assert.Assert(t, oldest < readerTimeout)
	})
}

// Guards against a lost entry that counts as heard for longer than ownerTimeout. Each entry that passed an age on used to
// round it down, so the information became newer on its way: in a fleet of 60 entries that greet each other at different
// moments, a loss was known everywhere only after 4.3 s to 5.3 s.
func TestLossKnown(t *testing.T) {
	for _, reader := range []bool{false, true} {
		t.Run(fmt.Sprintf("reader %t", reader), func(t *testing.T) {
			simulation.Run(t, func(t *testing.T) {
				store := newMemoryStore("op", "servers", "entries")
				transport, list := startFollowers(t, 60, func(int) Store {
					time.Sleep(17 * time.Millisecond)
					return store
				})
				time.Sleep(10 * time.Second)
				lost := list[7]
				if reader {
					lost.mu.RLock()
					name := lost.readerNames(lost.now())[0]
					lost.mu.RUnlock()
					for _, f := range list {
						if f.opt.Name == name {
							lost = f
						}
					}
				}
				transport.cutOff(lost)
				time.Sleep(ownerTimeout + time.Millisecond)
				for _, f := range list {
					if f == lost {
						continue
					}
					f.mu.RLock()
					silence := f.now().Sub(f.members[lost.opt.Name].heardAt)
					f.mu.RUnlock()
					assert.Assert(t, silence > ownerTimeout, "%s heard of it %s ago", f.opt.Name, silence)
				}
			})
		})
	}
}

// Guards against members that stay lost to each other after a cut between them has ended.
func TestCutHeals(t *testing.T) {
	simulation.Run(t, func(t *testing.T) {
		store := newMemoryStore("op", "servers", "entries")
		transport, list := startFollowersIn(t, qldDomains, 60, func(int) Store { return store })
		time.Sleep(5 * time.Second)
		isCut := func(i int) bool { return i%3 == 0 }
		setCut := func(cut bool) {
			transport.mu.Lock()
			defer transport.mu.Unlock()
			for i, f := range list {
				if isCut(i) {
					transport.isolated[f.opt.Control] = cut
				}
			}
		}
		setCut(true)
		time.Sleep(12 * time.Second)
		for i, f := range list {
			f.mu.RLock()
			m := f.members[list[(i+30)%60].opt.Name]
			silent := f.now().Sub(m.heardAt) > ownerTimeout
			f.mu.RUnlock()
			assert.Equal(t, silent, isCut((i+30)%60), "entry %d", i)
		}
		setCut(false)
		time.Sleep(4 * time.Second) // the contact time of the deployments
		oldest := oldestHeard(list)
		assert.Assert(t, oldest < ownerTimeout, "information of %s", oldest)
	})
}

// setAges replaces the ages of failure domain a in a greeting.
func setAges(g *Greeting, roll uint64, ages []byte) {
	g.Ages["a"] = DomainAges{
		Roll: roll,
		Ages: ages,
	}
}

// Guards against entries of which one has a shorter list of members, or an earlier version of the program, and that do
// not tell each other whom they have heard.
func TestGreetingOfDifferentRolls(t *testing.T) {
	changes := map[string]func(g *Greeting){
		"same roll":           func(*Greeting) {},
		"other roll":          func(g *Greeting) { setAges(g, 1, nil) },
		"no roll":             func(g *Greeting) { g.Ages = nil },
		"roll with few ages":  func(g *Greeting) { setAges(g, g.Ages["a"].Roll, []byte{0}) },
		"roll of no ages yet": func(g *Greeting) { setAges(g, g.Ages["a"].Roll, nil) },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			simulation.Run(t, func(t *testing.T) {
				store := newMemoryStore("op", "servers", "entries")
				_, list := startFollowersIn(t, []string{"a"}, 3, func(int) Store { return store })
				time.Sleep(5 * time.Second)
				from, to := list[0], list[1]
				third := list[2].opt.Name
				g := from.newGreeting("a", nil)
				assert.Assert(t, g.Heard[third] <= 10, "names and ages for an entry whose roll is not known")
				change(g)
				reply := to.replyTo(g)
				_, named := reply.Heard[third]
				aged := len(reply.Ages["a"].Ages) > 0
				assert.Assert(t, named != aged, "the response has names %t and ages by roll %t", named, aged)
				from.mu.Lock()
				from.members[third].heardAt = time.Time{}
				from.mu.Unlock()
				from.applyGreeting(reply, from.now())
				from.mu.RLock()
				defer from.mu.RUnlock()
				assert.Assert(t, from.now().Sub(from.members[third].heardAt) < ownerTimeout)
			})
		})
	}
}
