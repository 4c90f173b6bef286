package fleet

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/store"
)

// compare runs a scenario with a mechanism and as a control without it. The scenario reports whether the fault occurred.
func compare(t *testing.T, names string, off func(l *limits), scenario func(t *testing.T, w *world) (fault bool)) {
	for _, on := range []bool{true, false} {
		t.Run(map[bool]string{true: "on", false: "off"}[on], func(t *testing.T) {
			l := usual()
			if !on {
				off(&l)
			}
			simulate(t, l, names, func(t *testing.T, w *world) {
				assert.Equal(t, !on, scenario(t, w))
			})
		})
	}
}

// Guards against a fleet that does not form: six entries start at once, register, settle, own each target exactly once
// and run a change everywhere.
func TestForm(t *testing.T) {
	simulate(t, usual(), "abcdef", func(t *testing.T, w *world) {
		a := w.nodes["a"]
		assert.Equal(t, len(a.fleet.Members()), 6)
		assert.Equal(t, len(a.roster().Prior), 0)
		for _, target := range targets(20) {
			owners := 0
			w.each(func(n *node) {
				if n.owns(target) {
					owners++
				}
			})
			assert.Equal(t, owners, 1, target)
		}
		d := accepted(t, a.drain("cairns", 0))
		assert.Assert(t, d.InEffect)
		assert.DeepEqual(t, d.Unconfirmed, []string{})
		w.each(func(n *node) {
			assert.Assert(t, n.drained("cairns") && n.contact(), n.name)
		})
		for _, m := range a.fleet.Members() {
			assert.Equal(t, m.Version, d.Version, m.Name)
		}
	})
}

// Guards against settings that an entry fetches once from each peer when a change is known to all of them.
func TestOneFetch(t *testing.T) {
	compare(t, "abcdef", func(l *limits) { l.fetches = 5 }, func(t *testing.T, w *world) bool {
		f := w.nodes["f"]
		f.cut(true, f.alone())
		accepted(t, w.nodes["a"].drain("cairns", 0))
		time.Sleep(5300 * time.Millisecond) // between two exchanges
		before := w.fetches.Load()
		w.slowFetch.Store(int64(200 * time.Millisecond))
		f.cut(true, 0)
		f.fleet.round(context.Background())
		assert.Assert(t, f.drained("cairns"))
		return w.fetches.Load()-before > 1
	})
}

// Guards against two operators who both believe that their change was made on the state they saw. The control removes
// the checks from the writes.
func TestOperatorsRace(t *testing.T) {
	simulate(t, usual(), "abc", func(t *testing.T, w *world) {
		for _, unchecked := range []bool{false, true} {
			w.unchecked.Store(unchecked)
			base := w.nodes["a"].fleet.State().BaseVersion
			decisions := make(chan Decision, 2)
			for _, name := range []string{"a", "b"} {
				go func() { decisions <- w.nodes[name].drain("by-"+name, base) }()
			}
			wins, conflicts := 0, 0
			for range 2 {
				switch d := (<-decisions).(type) {
				case *Accepted:
					wins++
				case *Conflict:
					conflicts++
					winner := d.Who[len("operator "):]
					assert.Equal(t, d.What, "drain by-"+winner)
				}
			}
			if unchecked {
				assert.Equal(t, wins, 2)
				continue
			}
			assert.Equal(t, wins, 1)
			assert.Equal(t, conflicts, 1)
			accepted(t, w.nodes["c"].fleet.Restore(context.Background(), Change{
				ID:          "undo",
				BaseVersion: w.nodes["c"].fleet.State().BaseVersion,
			}, []string{"by-a", "by-b"}, nil))
		}
	})
}

// Guards against a change that is made twice, lost or reported wrongly when the table's answer is lost.
func TestLostAnswer(t *testing.T) {
	type test struct {
		name    string
		point   store.LossPoint
		cut     bool // the table is out of reach after the loss until the context ends
		version uint64
	}
	lost := func(name string, point store.LossPoint, cut bool, version uint64) test {
		return test{
			name:    name,
			point:   point,
			cut:     cut,
			version: version,
		}
	}
	tests := []test{
		lost("took effect", store.LossPointResponse, false, 1),
		lost("did not take effect", store.LossPointRequest, false, 2), // Version 1 is the neutral write.
		lost("took effect, no answer in time", store.LossPointResponse, true, 1),
		lost("did not take effect, no answer in time", store.LossPointRequest, true, 1),
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			simulate(t, usual(), "abc", func(t *testing.T, w *world) {
				a := w.nodes["a"]
				w.lose(tt.point, 0)
				if tt.cut {
					time.AfterFunc(20*time.Millisecond, func() { a.cut(true, 0) })
					_, ok := a.drain("cairns", 0).(*Undecided)
					assert.Assert(t, ok)
					a.cut(false, 0)
				}
				assert.Equal(t, accepted(t, a.drain("cairns", 0)).Version, tt.version)
				// Asking again tells the same and makes no second change.
				assert.Equal(t, accepted(t, w.nodes["b"].drain("cairns", 0)).Version, tt.version)
			})
		})
	}
}

// Guards against a write that takes effect after it was read back as absent and the operator was told that the change
// was refused.
func TestLateWrite(t *testing.T) {
	compare(t, "abc", func(l *limits) { l.neutral = false }, func(t *testing.T, w *world) bool {
		a := w.nodes["a"]
		w.lose(store.LossPointDelayed, 4*time.Second)
		time.AfterFunc(20*time.Millisecond, func() { w.each(func(n *node) { n.cut(false, n.alone()) }) })
		_, refused := a.drain("cairns", 0).(*Refused)
		assert.Assert(t, refused)
		time.Sleep(6 * time.Second)
		return a.drained("cairns")
	})
}

// Guards against a late answer of the table that replaces a newer version learned from a peer.
func TestVersionNeverGoesBack(t *testing.T) {
	compare(t, "ab", func(l *limits) { l.revert = true }, func(t *testing.T, w *world) bool {
		a, b := w.nodes["a"], w.nodes["b"]
		// The answer that b waits for is older than the change that a accepts.
		b.late.Store(int64(900 * time.Millisecond))
		time.Sleep(1300 * time.Millisecond)
		back := false
		go a.drain("cairns", 0)
		for highest := uint64(0); w.timers.Now().Second() < 30; time.Sleep(10 * time.Millisecond) {
			version := b.fleet.State().Version
			back = back || version < highest
			highest = max(highest, version)
		}
		assert.Assert(t, b.drained("cairns"))
		return back
	})
}

// Guards against an accepted change that is lost when all entries restart, and against a restarted entry that sends
// work before it knows the state.
func TestRestartOfAll(t *testing.T) {
	simulate(t, usual(), "abc", func(t *testing.T, w *world) {
		accepted(t, w.nodes["a"].drain("cairns", 0))
		w.down(true)
		w.each(func(n *node) { n.kill() })
		for _, name := range []string{"a", "b", "c"} {
			w.start(name, false)
		}
		time.Sleep(10 * time.Second)
		w.each(func(n *node) { assert.Assert(t, !n.contact(), n.name) })
		w.down(false)
		time.Sleep(10 * time.Second)
		w.each(func(n *node) { assert.Assert(t, n.contact() && n.drained("cairns"), n.name) })
		accepted(t, w.nodes["b"].drain("perth", 1))
	})
}

// Guards against an entry that cannot start while the table is down though its peers know the state.
func TestStartInOutage(t *testing.T) {
	simulate(t, usual(), "abcd", func(t *testing.T, w *world) {
		accepted(t, w.nodes["a"].drain("cairns", 0))
		for _, target := range targets(100) {
			w.nodes["a"].fleet.AnnounceWarm(target, "first", 0)
		}
		time.Sleep(20 * time.Second) // 8 facts go to each peer in a round
		w.down(true)
		w.nodes["d"].kill()
		d := w.start("d", false)
		time.Sleep(2 * time.Second)
		assert.Assert(t, d.contact() && d.drained("cairns"))
		assert.Equal(t, d.fleet.WarmInstance("target-99"), "first")
		assert.Assert(t, !d.fleet.CanProbe(w.timers.Now()))
		// Two of four members are not a majority, and the unregistered process has no vote.
		w.nodes["a"].kill()
		time.Sleep(6 * time.Second)
		assert.Assert(t, !d.contact())
	})
}

// Guards against a table that answers slowly, but in time, and that nobody can use after the members have changed, because
// the new roster takes a second request.
func TestSlowTable(t *testing.T) {
	simulate(t, usual(), "abc", func(t *testing.T, w *world) {
		w.nodes["c"].kill()
		assert.NilError(t, w.memory.SetFaults(store.Faults{
			ResponseDelay: 3 * tableTimeout / 4,
		}))
		time.Sleep(2 * goneTime)
		assert.Equal(t, w.nodes["a"].roster().Members["c"].State, RecordStateGone)
		accepted(t, w.nodes["a"].drain("cairns", 0))
	})
}

// Guards against a change that is reported as accepted, vanishes from all entries' sight in an outage right after, and
// is ignored by them: the entry that accepts it has no peers and dies.
func TestOutageAfterAccept(t *testing.T) {
	compare(t, "abc", func(l *limits) { l.quorum = false }, func(t *testing.T, w *world) bool {
		a := w.nodes["a"]
		a.cut(false, a.alone())
		w.nodes["b"].cut(true, 0)
		w.nodes["c"].cut(true, 0)
		d, ok := a.drain("cairns", 0).(*Accepted)
		a.kill()
		time.Sleep(contactTime)
		b := w.nodes["b"]
		return ok && !d.InEffect && b.contact() && !b.drained("cairns")
	})
}

// Guards against work sent into a drained failure domain 4 s after the change was in force, by an entry that is
// partitioned or was paused. An entry that is cut off from everything refuses work instead.
func TestDrainReachesAll(t *testing.T) {
	tests := []struct {
		name    string
		fault   func(n *node)
		contact bool
		heals   bool
	}{
		{
			name:    "partitioned from the platform",
			fault:   func(n *node) { n.cut(true, 0) },
			contact: true,
		},
		{
			name:    "partitioned from the peers",
			fault:   func(n *node) { n.cut(false, n.alone()) },
			contact: true,
		},
		{
			name:  "partitioned from both",
			fault: func(n *node) { n.cut(true, n.alone()) },
		},
		{
			name:  "paused and awake again",
			fault: func(n *node) { n.pause() },
			heals: true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sends := func(w *world) bool {
				c := w.nodes["c"]
				tt.fault(c)
				assert.Assert(t, accepted(t, w.nodes["a"].drain("cairns", 0)).InEffect)
				time.Sleep(contactTime)
				c.wake()
				contact := c.contact()
				wrong := contact && !c.drained("cairns")
				if !wrong {
					assert.Equal(t, tt.contact, contact)
				}
				if tt.heals {
					time.Sleep(time.Second)
					assert.Assert(t, c.contact() && c.drained("cairns"))
				}
				return wrong
			}
			simulate(t, usual(), "abcd", func(t *testing.T, w *world) { assert.Assert(t, !sends(w)) })
			if !tt.contact {
				l := usual()
				l.contact = time.Hour
				simulate(t, l, "abcd", func(t *testing.T, w *world) { assert.Assert(t, sends(w)) })
			}
		})
	}
}

// Guards against a change accepted by a minority while the majority, cut off from the table, goes on with the old
// state. The control forgets the former members before half of them know.
func TestMinorityWithTable(t *testing.T) {
	compare(t, "abcde", func(l *limits) { l.dropEarly = true }, func(t *testing.T, w *world) bool {
		for _, name := range []string{"a", "b", "c"} {
			w.nodes[name].cut(true, west)
		}
		time.Sleep(15 * time.Second)
		d, ok := w.nodes["d"].drain("cairns", 0).(*Accepted)
		time.Sleep(contactTime)
		a := w.nodes["a"]
		assert.Assert(t, a.contact())
		return ok && d.InEffect && !a.drained("cairns")
	})
}

// Guards against an entry that goes on with old settings because the object store does not have the new ones. It gets
// them from a peer, or refuses work if it has none.
func TestSettingsFromPeer(t *testing.T) {
	for _, alone := range []bool{false, true} {
		simulate(t, usual(), "abc", func(t *testing.T, w *world) {
			c := w.nodes["c"]
			c.missing.Store(true)
			if alone {
				c.cut(false, c.alone())
			}
			accepted(t, w.nodes["a"].fleet.Apply(context.Background(), Change{
				ID: "one",
			}, []byte("settings")))
			time.Sleep(contactTime)
			assert.Equal(t, !alone, c.contact())
			assert.Equal(t, !alone, string(c.fleet.State().Settings) == "settings")
		})
	}
}

// Guards against a fleet that accepts no change any more after most of its VMs were lost. The control leaves the lost
// VMs in the platform's list.
func TestVanished(t *testing.T) {
	for _, listed := range []bool{false, true} {
		simulate(t, usual(), "abcde", func(t *testing.T, w *world) {
			var vms []store.VM
			for name, n := range w.nodes {
				if name > "b" {
					n.kill()
				}
				if name <= "b" || listed {
					vms = append(vms, store.VM{
						Name:    name,
						Address: n.control.Addr(),
					})
				}
			}
			w.memory.SetVMs(vms)
			time.Sleep(90 * time.Second)
			_, ok := w.nodes["a"].drain("cairns", 0).(*Accepted)
			assert.Equal(t, !listed, ok)
		})
	}
}

// Guards against cold targets that stay without an owner after a kill, and against an owner that goes on after a pause
// or without the table.
func TestOwnership(t *testing.T) {
	faults := map[string]func(n *node){
		"kill":                     func(n *node) { n.kill() },
		"pause":                    func(n *node) { n.pause() },
		"leave":                    func(n *node) { n.fleet.Leave() },
		"partition from the table": func(n *node) { n.cut(true, 0) },
		"partition from both":      func(n *node) { n.cut(true, n.alone()) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			simulate(t, usual(), "abc", func(t *testing.T, w *world) {
				a, b, c := w.nodes["a"], w.nodes["b"], w.nodes["c"]
				target, kept := a.owned(), b.owned()
				fault(a)
				start := w.timers.Now()
				moved := func() bool { return b.owns(target) || c.owns(target) }
				for !moved() && w.timers.Now().Sub(start) < 20*time.Second {
					assert.Assert(t, b.owns(kept), "an owner that stays the same lost its target")
					time.Sleep(50 * time.Millisecond)
				}
				assert.Assert(t, moved())
				t.Logf("new owner after %v", w.timers.Now().Sub(start))
				assert.Assert(t, w.timers.Now().Sub(start) <= goneTime+waitTime+2*pollInterval)
				a.wake()
				assert.Assert(t, !a.owns(target))
			})
		})
	}
}

// Guards against an answer that was under way while the process was paused and that renews contact and a lease when it
// wakes, though both have passed to others.
func TestAnswerDuringPause(t *testing.T) {
	for name, table := range map[string]bool{"from the table": true, "from the peers": false} {
		t.Run(name, func(t *testing.T) {
			compare(t, "abc", func(l *limits) { l.arrival = true }, func(t *testing.T, w *world) bool {
				a, b, c := w.nodes["a"], w.nodes["b"], w.nodes["c"]
				target := c.owned()
				if table {
					c.late.Store(int64(900 * time.Millisecond))
				} else {
					c.slowPeers.Store(int64(900 * time.Millisecond))
				}
				time.Sleep(1500 * time.Millisecond)
				c.cut(!table, 0)
				c.pause()
				assert.Assert(t, accepted(t, a.drain("cairns", 0)).InEffect)
				time.Sleep(goneTime + waitTime + 3*time.Second)
				assert.Assert(t, a.owns(target) || b.owns(target))
				c.cut(true, c.alone())
				c.wake()
				time.Sleep(10 * time.Millisecond)
				assert.Equal(t, table && c.contact(), c.owns(target), "contact and lease come from the same read")
				return c.contact() && !c.drained("cairns")
			})
		})
	}
}

// Guards against entries that are marked gone in turn because some others cannot hear them, though they are alive.
func TestNoFlapping(t *testing.T) {
	compare(t, "abcd", func(l *limits) { l.reported = false }, func(t *testing.T, w *world) bool {
		c := w.nodes["c"]
		c.cut(false, c.alone())
		view := c.roster().View
		time.Sleep(time.Minute)
		return w.nodes["a"].roster().View != view
	})
}

// Guards against two processes of one name that both go on, and against probes by the new one while the old one may
// still send some. The control has no second process.
func TestSameName(t *testing.T) {
	for _, second := range []bool{true, false} {
		simulate(t, usual(), "abc", func(t *testing.T, w *world) {
			old := w.nodes["c"]
			old.pause()
			time.Sleep(10 * time.Second)
			if second {
				c := w.start("c", true)
				time.Sleep(3 * time.Second)
				assert.Assert(t, !c.fleet.CanProbe(w.timers.Now()))
				time.Sleep(3 * time.Second)
				assert.Assert(t, c.contact() && c.fleet.CanProbe(w.timers.Now()))
			}
			old.wake()
			assert.Assert(t, !old.contact())
			time.Sleep(3 * time.Second)
			assert.Equal(t, !second, old.contact())
			assert.Equal(t, second, old.fleet.Err() != nil)
		})
	}
}

// Guards against a successor that waits after its predecessor left cleanly, and one that does not after a crash.
func TestLeave(t *testing.T) {
	for _, clean := range []bool{true, false} {
		simulate(t, usual(), "abc", func(t *testing.T, w *world) {
			c := w.nodes["c"]
			c.fleet.Leave()
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, w.nodes["a"].fleet.Members()[2].State, RecordStateLeaving)
			if clean {
				c.end()
				assert.NilError(t, c.fleet.Close(context.Background()))
			}
			c.kill()
			next := w.start("c", false)
			time.Sleep(2 * time.Second)
			assert.Equal(t, clean, next.fleet.CanProbe(w.timers.Now()))
		})
	}
}

// Guards against warm facts that do not reach an entry: one that restarts, one that is cut off from its peers, and one
// that is cut off from the table.
func TestWarm(t *testing.T) {
	simulate(t, usual(), "abcd", func(t *testing.T, w *world) {
		a, b, c := w.nodes["a"], w.nodes["b"], w.nodes["c"]
		b.cut(false, b.alone())
		c.cut(true, 0)
		for _, target := range targets(100) {
			a.fleet.AnnounceWarm(target, "first", 0)
		}
		a.fleet.AnnounceWarm("target-0", "second", 0)
		time.Sleep(rescanInterval + 10*time.Second)
		w.nodes["d"].kill()
		w.start("d", false)
		time.Sleep(2 * time.Second)
		w.each(func(n *node) {
			assert.Equal(t, n.fleet.WarmInstance("target-0"), "second", n.name)
			assert.Equal(t, n.fleet.WarmInstance("target-99"), "first", n.name)
			assert.Equal(t, n.fleet.WarmInstance("other"), "")
		})
		b.cut(false, 0)
		time.Sleep(2 * time.Second)
		owner := w.nodes[a.fleet.Owner("target-0")]
		w.each(func(n *node) { n.fleet.ReportInstance("target-0", "third-"+n.name) })
		time.Sleep(2 * time.Second)
		owner.mu.Lock()
		defer owner.mu.Unlock()
		assert.Equal(t, len(owner.seen), 3)
	})
}
