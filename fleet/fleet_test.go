package fleet

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/store"
)

// withAndWithout runs a scenario with a rule of the protocol and, as the control, without it. The scenario reports
// whether the fault occurred.
func withAndWithout(t *testing.T, names string, disable func(options *protocolOptions), scenario func(t *testing.T, cl *cluster) (fault bool)) {
	for _, on := range []bool{true, false} {
		t.Run(map[bool]string{true: "on", false: "off"}[on], func(t *testing.T) {
			options := defaultProtocol()
			if !on {
				disable(&options)
			}
			simulate(t, options, names, func(t *testing.T, cl *cluster) {
				assert.Equal(t, !on, scenario(t, cl))
			})
		})
	}
}

// Guards against a fleet that does not form. Six entries that start at once must register, settle, own each target
// exactly once and run a change everywhere.
func TestForm(t *testing.T) {
	simulate(t, defaultProtocol(), "abcdef", func(t *testing.T, cl *cluster) {
		a := cl.nodes["a"]
		assert.Equal(t, len(a.fleet.Members()), 6)
		assert.Equal(t, len(a.roster().Prior), 0)
		for _, target := range targets(20) {
			owners := 0
			cl.each(func(n *node) {
				if n.owns(target) {
					owners++
				}
			})
			assert.Equal(t, owners, 1, target)
		}
		d := accepted(t, a.drain("cairns", 0))
		assert.Assert(t, d.InEffect)
		assert.DeepEqual(t, d.Unconfirmed, []string{})
		cl.each(func(n *node) {
			assert.Assert(t, n.drained("cairns") && n.canServe(), n.name)
		})
		for _, m := range a.fleet.Members() {
			assert.Equal(t, m.Version, d.Version, m.Name)
		}
	})
}

// Guards against an entry that fetches the settings from each peer when all peers know of a change.
func TestOneFetch(t *testing.T) {
	withAndWithout(t, "abcdef", func(options *protocolOptions) { options.maxFetches = 5 }, func(t *testing.T, cl *cluster) bool {
		f := cl.nodes["f"]
		f.setPartition(true, f.ownPartition())
		accepted(t, cl.nodes["a"].drain("cairns", 0))
		time.Sleep(5300 * time.Millisecond) // between two exchanges
		before := cl.fetches.Load()
		cl.fetchDelay.Store(int64(200 * time.Millisecond))
		f.setPartition(true, 0)
		f.fleet.exchangeAll(context.Background())
		assert.Assert(t, f.drained("cairns"))
		return cl.fetches.Load()-before > 1
	})
}

// Guards against two operators who are both told that their change was applied to the state that they had seen. The
// control removes the checks from the writes.
func TestOperatorsRace(t *testing.T) {
	simulate(t, defaultProtocol(), "abc", func(t *testing.T, cl *cluster) {
		for _, unchecked := range []bool{false, true} {
			cl.unchecked.Store(unchecked)
			base := cl.nodes["a"].fleet.State().BaseVersion
			decisions := make(chan Decision, 2)
			for _, name := range []string{"a", "b"} {
				go func() { decisions <- cl.nodes[name].drain("by-"+name, base) }()
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
			accepted(t, cl.nodes["c"].fleet.Restore(context.Background(), Change{
				ID:          "undo",
				BaseVersion: cl.nodes["c"].fleet.State().BaseVersion,
			}, []string{"by-a", "by-b"}, nil))
		}
	})
}

// Guards against a change that is applied twice, lost or reported wrongly when the table's response is lost.
func TestLostAnswer(t *testing.T) {
	type test struct {
		name    string
		point   store.LossPoint
		cut     bool // the table is unreachable from the loss until the context ends
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
		lost("did not take effect", store.LossPointRequest, false, 2), // version 1 is the write that rewrites the head
		lost("took effect, no answer in time", store.LossPointResponse, true, 1),
		lost("did not take effect, no answer in time", store.LossPointRequest, true, 1),
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			simulate(t, defaultProtocol(), "abc", func(t *testing.T, cl *cluster) {
				a := cl.nodes["a"]
				cl.loseNextCommit(tt.point, 0)
				if tt.cut {
					time.AfterFunc(20*time.Millisecond, func() { a.setPartition(true, 0) })
					_, ok := a.drain("cairns", 0).(*Undecided)
					assert.Assert(t, ok)
					a.setPartition(false, 0)
				}
				assert.Equal(t, accepted(t, a.drain("cairns", 0)).Version, tt.version)
				// Repeating the change returns the same version and does not apply it again.
				assert.Equal(t, accepted(t, cl.nodes["b"].drain("cairns", 0)).Version, tt.version)
			})
		})
	}
}

// Guards against a write that takes effect after a read has not found it and the operator has been told that the
// change was refused.
func TestLateWrite(t *testing.T) {
	withAndWithout(t, "abc", func(options *protocolOptions) { options.fenceLostWrites = false }, func(t *testing.T, cl *cluster) bool {
		a := cl.nodes["a"]
		cl.loseNextCommit(store.LossPointDelayed, 4*time.Second)
		time.AfterFunc(20*time.Millisecond, func() { cl.each(func(n *node) { n.setPartition(false, n.ownPartition()) }) })
		_, refused := a.drain("cairns", 0).(*Refused)
		assert.Assert(t, refused)
		time.Sleep(6 * time.Second)
		return a.drained("cairns")
	})
}

// Guards against a late response of the table that replaces a newer version learned from a peer.
func TestVersionNeverGoesBack(t *testing.T) {
	withAndWithout(t, "ab", func(options *protocolOptions) { options.allowOlderVersions = true }, func(t *testing.T, cl *cluster) bool {
		a, b := cl.nodes["a"], cl.nodes["b"]
		// The response that b waits for is older than the change that a accepts.
		b.tableDelay.Store(int64(900 * time.Millisecond))
		time.Sleep(1300 * time.Millisecond)
		back := false
		go a.drain("cairns", 0)
		for highest := uint64(0); cl.timers.Now().Second() < 30; time.Sleep(10 * time.Millisecond) {
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
	simulate(t, defaultProtocol(), "abc", func(t *testing.T, cl *cluster) {
		accepted(t, cl.nodes["a"].drain("cairns", 0))
		cl.setDown(true)
		cl.each(func(n *node) { n.kill() })
		for _, name := range []string{"a", "b", "c"} {
			cl.start(name, false)
		}
		time.Sleep(10 * time.Second)
		cl.each(func(n *node) { assert.Assert(t, !n.canServe(), n.name) })
		cl.setDown(false)
		time.Sleep(10 * time.Second)
		cl.each(func(n *node) { assert.Assert(t, n.canServe() && n.drained("cairns"), n.name) })
		accepted(t, cl.nodes["b"].drain("perth", 1))
	})
}

// Guards against an entry that cannot start while the table is down although its peers know the state.
func TestStartInOutage(t *testing.T) {
	simulate(t, defaultProtocol(), "abcd", func(t *testing.T, cl *cluster) {
		accepted(t, cl.nodes["a"].drain("cairns", 0))
		for _, target := range targets(100) {
			cl.nodes["a"].fleet.AnnounceWarm(target, "first", 0)
		}
		time.Sleep(20 * time.Second) // each peer gets 8 facts in a round
		cl.setDown(true)
		cl.nodes["d"].kill()
		d := cl.start("d", false)
		time.Sleep(2 * time.Second)
		assert.Assert(t, d.canServe() && d.drained("cairns"))
		assert.Equal(t, d.fleet.WarmInstance("target-99"), "first")
		assert.Assert(t, !d.fleet.CanProbe(cl.timers.Now()))
		// Two of four members are no majority, and the unregistered process has no vote.
		cl.nodes["a"].kill()
		time.Sleep(6 * time.Second)
		assert.Assert(t, !d.canServe())
	})
}

// Guards against a table that is too slow to use after the members have changed, although each response arrives in
// time, because reading the new roster takes a second request.
func TestSlowTable(t *testing.T) {
	simulate(t, defaultProtocol(), "abc", func(t *testing.T, cl *cluster) {
		cl.nodes["c"].kill()
		assert.NilError(t, cl.memory.SetFaults(store.Faults{
			ResponseDelay: 3 * tableTimeout / 4,
		}))
		time.Sleep(2 * goneTimeout)
		assert.Equal(t, cl.nodes["a"].roster().Members["c"].State, RecordStateGone)
		accepted(t, cl.nodes["a"].drain("cairns", 0))
	})
}

// Guards against a change that is reported as accepted but that no other entry follows, because the accepting entry
// has no peers and ends, and the table fails right after.
func TestOutageAfterAccept(t *testing.T) {
	withAndWithout(t, "abc", func(options *protocolOptions) { options.requireQuorum = false }, func(t *testing.T, cl *cluster) bool {
		a := cl.nodes["a"]
		a.setPartition(false, a.ownPartition())
		cl.nodes["b"].setPartition(true, 0)
		cl.nodes["c"].setPartition(true, 0)
		d, ok := a.drain("cairns", 0).(*Accepted)
		a.kill()
		time.Sleep(contactTimeout)
		b := cl.nodes["b"]
		return ok && !d.InEffect && b.canServe() && !b.drained("cairns")
	})
}

// Guards against an entry that is partitioned or was suspended and sends work into a drained failure domain 4 s after
// the change was in effect. An entry that is cut off from both the platform and the peers refuses work instead.
func TestDrainReachesAll(t *testing.T) {
	tests := []struct {
		name    string
		fault   func(n *node)
		contact bool
		heals   bool
	}{
		{
			name:    "partitioned from the platform",
			fault:   func(n *node) { n.setPartition(true, 0) },
			contact: true,
		},
		{
			name:    "partitioned from the peers",
			fault:   func(n *node) { n.setPartition(false, n.ownPartition()) },
			contact: true,
		},
		{
			name:  "partitioned from both",
			fault: func(n *node) { n.setPartition(true, n.ownPartition()) },
		},
		{
			name:  "paused and resumed",
			fault: func(n *node) { n.pause() },
			heals: true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sends := func(cl *cluster) bool {
				c := cl.nodes["c"]
				tt.fault(c)
				assert.Assert(t, accepted(t, cl.nodes["a"].drain("cairns", 0)).InEffect)
				time.Sleep(contactTimeout)
				c.resume()
				contact := c.canServe()
				wrong := contact && !c.drained("cairns")
				if !wrong {
					assert.Equal(t, tt.contact, contact)
				}
				if tt.heals {
					time.Sleep(time.Second)
					assert.Assert(t, c.canServe() && c.drained("cairns"))
				}
				return wrong
			}
			simulate(t, defaultProtocol(), "abcd", func(t *testing.T, cl *cluster) { assert.Assert(t, !sends(cl)) })
			if !tt.contact {
				options := defaultProtocol()
				options.maxContactAge = time.Hour
				simulate(t, options, "abcd", func(t *testing.T, cl *cluster) { assert.Assert(t, sends(cl)) })
			}
		})
	}
}

// Guards against a change accepted by a minority while the majority, cut off from the table, continues with the old
// state. The control drops the prior members before half of the members know the new roster.
func TestMinorityWithTable(t *testing.T) {
	withAndWithout(t, "abcde", func(options *protocolOptions) { options.dropPriorEarly = true }, func(t *testing.T, cl *cluster) bool {
		for _, name := range []string{"a", "b", "c"} {
			cl.nodes[name].setPartition(true, westPartition)
		}
		time.Sleep(15 * time.Second)
		d, ok := cl.nodes["d"].drain("cairns", 0).(*Accepted)
		time.Sleep(contactTimeout)
		a := cl.nodes["a"]
		assert.Assert(t, a.canServe())
		return ok && d.InEffect && !a.drained("cairns")
	})
}

// Guards against an entry that continues with old settings because the object store does not have the new ones. It
// must get them from a peer, or refuse work if it has no peers.
func TestSettingsFromPeer(t *testing.T) {
	for _, alone := range []bool{false, true} {
		simulate(t, defaultProtocol(), "abc", func(t *testing.T, cl *cluster) {
			c := cl.nodes["c"]
			c.settingsMissing.Store(true)
			if alone {
				c.setPartition(false, c.ownPartition())
			}
			accepted(t, cl.nodes["a"].fleet.Apply(context.Background(), Change{
				ID: "one",
			}, []byte("settings")))
			time.Sleep(contactTimeout)
			assert.Equal(t, !alone, c.canServe())
			assert.Equal(t, !alone, string(c.fleet.State().Settings) == "settings")
		})
	}
}

// Guards against a fleet that accepts no change any more after it has lost most of its VMs. The control leaves the
// lost VMs in the platform's list.
func TestVanished(t *testing.T) {
	for _, listed := range []bool{false, true} {
		simulate(t, defaultProtocol(), "abcde", func(t *testing.T, cl *cluster) {
			var vms []store.VM
			for name, n := range cl.nodes {
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
			cl.memory.SetVMs(vms)
			time.Sleep(90 * time.Second)
			_, ok := cl.nodes["a"].drain("cairns", 0).(*Accepted)
			assert.Equal(t, !listed, ok)
		})
	}
}

// Guards against cold targets that stay without an owner after their owner was killed, and against an owner that
// continues after a suspension or without the table.
func TestOwnership(t *testing.T) {
	faults := map[string]func(n *node){
		"kill":                     func(n *node) { n.kill() },
		"pause":                    func(n *node) { n.pause() },
		"leave":                    func(n *node) { n.fleet.Leave() },
		"partition from the table": func(n *node) { n.setPartition(true, 0) },
		"partition from both":      func(n *node) { n.setPartition(true, n.ownPartition()) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			simulate(t, defaultProtocol(), "abc", func(t *testing.T, cl *cluster) {
				a, b, c := cl.nodes["a"], cl.nodes["b"], cl.nodes["c"]
				target, kept := a.owned(), b.owned()
				fault(a)
				start := cl.timers.Now()
				moved := func() bool { return b.owns(target) || c.owns(target) }
				for !moved() && cl.timers.Now().Sub(start) < 20*time.Second {
					assert.Assert(t, b.owns(kept), "an owner that stays the same lost its target")
					time.Sleep(50 * time.Millisecond)
				}
				assert.Assert(t, moved())
				t.Logf("new owner after %v", cl.timers.Now().Sub(start))
				assert.Assert(t, cl.timers.Now().Sub(start) <= goneTimeout+takeoverDelay+2*pollInterval)
				a.resume()
				assert.Assert(t, !a.owns(target))
			})
		})
	}
}

// Guards against a response that was in flight while the process was suspended, and that renews contact and lease on
// resumption although both have passed to others.
func TestAnswerDuringPause(t *testing.T) {
	for name, table := range map[string]bool{"from the table": true, "from the peers": false} {
		t.Run(name, func(t *testing.T) {
			withAndWithout(t, "abc", func(options *protocolOptions) { options.timeFromArrival = true }, func(t *testing.T, cl *cluster) bool {
				a, b, c := cl.nodes["a"], cl.nodes["b"], cl.nodes["c"]
				target := c.owned()
				if table {
					c.tableDelay.Store(int64(900 * time.Millisecond))
				} else {
					c.peerDelay.Store(int64(900 * time.Millisecond))
				}
				time.Sleep(1500 * time.Millisecond)
				c.setPartition(!table, 0)
				c.pause()
				assert.Assert(t, accepted(t, a.drain("cairns", 0)).InEffect)
				time.Sleep(goneTimeout + takeoverDelay + 3*time.Second)
				assert.Assert(t, a.owns(target) || b.owns(target))
				c.setPartition(true, c.ownPartition())
				c.resume()
				time.Sleep(10 * time.Millisecond)
				assert.Equal(t, table && c.canServe(), c.owns(target), "contact and lease come from the same read")
				return c.canServe() && !c.drained("cairns")
			})
		})
	}
}

// Guards against live entries that are repeatedly marked gone because some other entries cannot hear them.
func TestNoFlapping(t *testing.T) {
	withAndWithout(t, "abcd", func(options *protocolOptions) { options.usePeerReports = false }, func(t *testing.T, cl *cluster) bool {
		c := cl.nodes["c"]
		c.setPartition(false, c.ownPartition())
		view := c.roster().View
		time.Sleep(time.Minute)
		return cl.nodes["a"].roster().View != view
	})
}

// Guards against two processes with the same name that both continue, and against probes by the new process while the
// old one may still probe. The control has no second process.
func TestSameName(t *testing.T) {
	for _, second := range []bool{true, false} {
		simulate(t, defaultProtocol(), "abc", func(t *testing.T, cl *cluster) {
			old := cl.nodes["c"]
			old.pause()
			time.Sleep(10 * time.Second)
			if second {
				c := cl.start("c", true)
				time.Sleep(3 * time.Second)
				assert.Assert(t, !c.fleet.CanProbe(cl.timers.Now()))
				time.Sleep(3 * time.Second)
				assert.Assert(t, c.canServe() && c.fleet.CanProbe(cl.timers.Now()))
			}
			old.resume()
			assert.Assert(t, !old.canServe())
			time.Sleep(3 * time.Second)
			assert.Equal(t, !second, old.canServe())
			assert.Equal(t, second, old.fleet.Err() != nil)
		})
	}
}

// Guards against a successor that waits although its predecessor left cleanly, and against one that does not wait
// after a crash.
func TestLeave(t *testing.T) {
	for _, clean := range []bool{true, false} {
		simulate(t, defaultProtocol(), "abc", func(t *testing.T, cl *cluster) {
			c := cl.nodes["c"]
			c.fleet.Leave()
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, cl.nodes["a"].fleet.Members()[2].State, RecordStateLeaving)
			if clean {
				c.markEnded()
				assert.NilError(t, c.fleet.Close(context.Background()))
			}
			c.kill()
			next := cl.start("c", false)
			time.Sleep(2 * time.Second)
			assert.Equal(t, clean, next.fleet.CanProbe(cl.timers.Now()))
		})
	}
}

// Guards against warm facts that do not reach an entry that restarts, is cut off from its peers, or is cut off from
// the table.
func TestWarm(t *testing.T) {
	simulate(t, defaultProtocol(), "abcd", func(t *testing.T, cl *cluster) {
		a, b, c := cl.nodes["a"], cl.nodes["b"], cl.nodes["c"]
		b.setPartition(false, b.ownPartition())
		c.setPartition(true, 0)
		for _, target := range targets(100) {
			a.fleet.AnnounceWarm(target, "first", 0)
		}
		a.fleet.AnnounceWarm("target-0", "second", 0)
		time.Sleep(warmScanInterval + 10*time.Second)
		cl.nodes["d"].kill()
		cl.start("d", false)
		time.Sleep(2 * time.Second)
		cl.each(func(n *node) {
			assert.Equal(t, n.fleet.WarmInstance("target-0"), "second", n.name)
			assert.Equal(t, n.fleet.WarmInstance("target-99"), "first", n.name)
			assert.Equal(t, n.fleet.WarmInstance("other"), "")
		})
		b.setPartition(false, 0)
		time.Sleep(2 * time.Second)
		owner := cl.nodes[a.fleet.Owner("target-0")]
		cl.each(func(n *node) { n.fleet.ReportInstance("target-0", "third-"+n.name) })
		time.Sleep(2 * time.Second)
		owner.mu.Lock()
		defer owner.mu.Unlock()
		assert.Equal(t, len(owner.events), 3)
	})
}
