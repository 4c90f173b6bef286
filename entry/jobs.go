package entry

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

// job is a periodic background task.
type job struct {
	name     string
	interval time.Duration
	run      func()
}

// jobs returns the periodic tasks of the entry itself. The fleet and the claim manager register their own; the status
// of an entry lists all of them.
func (e *Entry) jobs() []job {
	jobs := []job{
		{
			name:     "watch contact",
			interval: 250 * time.Millisecond,
			run:      e.logContactChange,
		},
		{
			name:     "watch allowances",
			interval: allowanceInterval,
			run:      e.updateAllowances,
		},
		{
			name:     "find position",
			interval: time.Second,
			run:      e.updatePosition,
		},
		{
			name:     "trim connections",
			interval: 5 * time.Second,
			run:      e.closeIdleConnections,
		},
	}
	if e.opts.NewFleet != nil {
		jobs = append(jobs, job{
			name:     "refresh contact for keys",
			interval: contactInterval,
			run:      e.refreshContact,
		})
	}
	if e.opts.NewFleet == nil {
		// A fleet of another kind has neither cold targets that entries warm up nor shares of callers.
		jobs = append(jobs, job{
			name:     "probe cold targets",
			interval: 500 * time.Millisecond,
			run:      e.probeColdTargets,
		}, job{
			name:     "adjust capacity",
			interval: 100 * time.Millisecond,
			run:      e.adjustAllCapacities,
		}, job{
			name:     "take over use",
			interval: 500 * time.Millisecond,
			run:      e.updatePeerUsage,
		})
	}
	if e.opts.Platform != nil {
		jobs = append(jobs, job{
			name:     "list VMs",
			interval: 2 * time.Second,
			run:      e.excludeLeavingVMs,
		})
	}
	return jobs
}

func (e *Entry) startBackground() {
	for _, j := range e.jobs() {
		e.tasks.Go(func() {
			ticker := e.timers.Every(j.name, j.interval)
			defer ticker.Stop()
			for {
				select {
				case <-ticker.C:
					j.run()
				case <-e.done:
					return
				}
			}
		})
	}
	e.tasks.Go(e.followState)
}

// followState derives a new snapshot at each change of the accepted state.
func (e *Entry) followState() {
	for {
		changed := e.fleet.Changed()
		e.refreshSnapshot()
		select {
		case <-changed:
		case <-e.fleet.Done():
			if err := e.fleet.Err(); err != nil {
				e.log.Error("left the fleet", zap.Error(err))
			}
			return
		case <-e.done:
			return
		}
	}
}

// probeColdTargets reads the load of cold targets that this entry owns, because without traffic nothing else shows
// the end of a cold start. Targets that have responded within the last second are not probed.
func (e *Entry) probeColdTargets() {
	now := e.timers.Now()
	snap := e.snapshot.Load()
	if snap.registered {
		return // Registered targets report for how long they are cold.
	}
	for _, s := range e.table.Status(now) {
		p := snap.pools[s.Target]
		if p == nil || s.Warm || !s.InService {
			continue
		}
		if _, owned := e.fleet.Owns(now, s.Target); !owned {
			continue
		}
		e.tasks.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			// The pool reports the result of a load read through OnReport. A report that Probe returns without a read
			// is an earlier one and must not be counted again, because the target may have become cold since. A
			// failed probe is repeated.
			if _, err := p.Probe(ctx); err != nil {
				e.log.Debug("probe of a cold target failed", zap.String("target", s.Target), zap.Error(err))
			}
		})
	}
}

// updatePosition passes the position of this entry among the available entries of its failure domain to the table, and
// divides budgets by the number of entries. The entries are ordered by the hash of their names, so that the position by
// name alone is near to it.
func (e *Entry) updatePosition() {
	e.divideBudgets()
	index, count := 0, 1
	for _, m := range e.AvailableMembers() {
		if m.Domain != e.opts.Domain || m.Name == e.opts.Name {
			continue
		}
		count++
		if xxhash.Sum64String(m.Name) < xxhash.Sum64String(e.opts.Name) {
			index++
		}
	}
	if count == 1 {
		index, count = positionByName(e.opts.Name)
	}
	if e.position.index == index && e.position.count == count {
		return
	}
	e.position.index, e.position.count = index, count
	e.table.SetPosition(index, count)
}

// positionByName returns the position of an entry that has not heard of others. With the same position for all entries
// that start at once, they would all open connections to the same targets.
func positionByName(name string) (index, count int) {
	const positionBits = 16
	return int(xxhash.Sum64String(name) >> (64 - positionBits)), 1 << positionBits
}

func (e *Entry) closeIdleConnections() {
	for _, p := range e.snapshot.Load().pools {
		p.CloseIdle()
	}
}

// excludeLeavingVMs stops selecting targets whose VMs the platform lists as leaving. The list names targets by the
// names or addresses of their VMs.
func (e *Entry) excludeLeavingVMs() {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	vms, err := e.opts.Platform.VMs().List(ctx)
	if err != nil {
		return
	}
	snap := e.snapshot.Load()
	for _, vm := range vms {
		if !vm.Leaving {
			continue
		}
		if _, ok := snap.pools[vm.Name]; ok {
			e.table.SetLeaving(vm.Name)
		}
	}
}

// logContactChange logs when the entry loses or regains contact. Each call checks contact itself.
func (e *Entry) logContactChange() {
	contact := e.fleet.CanServe(e.timers.Now())
	if e.hadContact.Swap(contact) == contact {
		return
	}
	if contact {
		e.log.Info("contact with the platform or a majority of the members; serving calls")
		return
	}
	e.log.Warn("no contact with the platform or a majority of the members; refusing new calls as isolated")
}

// usage returns the capacity that callers use at this entry, by service and caller.
func (e *Entry) usage() map[string]map[string]float64 {
	now := e.timers.Now()
	usage := map[string]map[string]float64{}
	for name, s := range e.snapshot.Load().services {
		if u := s.scheduler.Usage(now); len(u) > 0 {
			usage[name] = u
		}
	}
	return usage
}

// updatePeerUsage passes the usage at other entries to the schedulers, so that a caller that sends calls to all
// entries does not get its full share at each of them.
func (e *Entry) updatePeerUsage() {
	now := e.timers.Now()
	usage, known := e.fleet.PeerUsage(now)
	for name, s := range e.snapshot.Load().services {
		switch {
		case !known:
			s.scheduler.SetRemoteUsage(now, nil)
		case usage[name] == nil:
			s.scheduler.SetRemoteUsage(now, map[string]float64{})
		default:
			s.scheduler.SetRemoteUsage(now, usage[name])
		}
	}
}
