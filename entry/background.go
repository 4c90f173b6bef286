package entry

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// job is one piece of background work.
type job struct {
	name     string
	interval time.Duration
	run      func()
}

// jobs lists the background work of the entry itself. That of the fleet and of the ledger is registered there; the status
// of an entry shows all of it.
func (e *Entry) jobs() []job {
	jobs := []job{
		{
			name:     "probe cold targets",
			interval: 500 * time.Millisecond,
			run:      e.probeCold,
		},
		{
			name:     "adjust capacity",
			interval: 100 * time.Millisecond,
			run:      e.adjustAll,
		},
		{
			name:     "take over use",
			interval: 500 * time.Millisecond,
			run:      e.takeUse,
		},
		{
			name:     "watch contact",
			interval: 250 * time.Millisecond,
			run:      e.watchContact,
		},
		{
			name:     "find position",
			interval: time.Second,
			run:      e.findPosition,
		},
		{
			name:     "trim connections",
			interval: 5 * time.Second,
			run:      e.trim,
		},
	}
	if e.opts.Platform != nil {
		jobs = append(jobs, job{
			name:     "list VMs",
			interval: 2 * time.Second,
			run:      e.listVMs,
		})
	}
	return jobs
}

func (e *Entry) background() {
	for _, j := range e.jobs() {
		e.tasks.Go(func() {
			sub := e.timers.Every(j.name, j.interval)
			defer sub.Stop()
			for {
				select {
				case <-sub.C:
					j.run()
				case <-e.done:
					return
				}
			}
		})
	}
	e.tasks.Go(e.follow)
}

// follow derives a new view at each change of the accepted state.
func (e *Entry) follow() {
	for {
		changed := e.fleet.Changed()
		e.refresh()
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

// probeCold reads the load of cold targets that this entry owns, because without traffic nothing else tells when their
// cold start has ended. A target that has answered within the last second is not probed.
func (e *Entry) probeCold() {
	now := e.timers.Now()
	v := e.view.Load()
	if v.registered {
		return // These targets say themselves for how long they are cold.
	}
	for _, s := range e.table.Status(now) {
		p := v.pools[s.Target]
		if p == nil || s.Warm || !s.InService {
			continue
		}
		if _, owned := e.fleet.Owns(now, s.Target); !owned {
			continue
		}
		e.tasks.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			// The pool passes on what a load read tells. A report that the probe returns without a read is from before: it
			// must not count again, because the target may have fallen cold since. A failed probe is repeated.
			if _, err := p.Probe(ctx); err != nil {
				e.log.Debug("probe of a cold target failed", zap.String("target", s.Target), zap.Error(err))
			}
		})
	}
}

// findPosition tells the table the place of this entry among those of its failure domain that are in operation.
func (e *Entry) findPosition() {
	index, count := 0, 1
	for _, m := range e.AvailableMembers() {
		if m.Domain != e.opts.Domain || m.Name == e.opts.Name {
			continue
		}
		count++
		if m.Name < e.opts.Name {
			index++
		}
	}
	if e.position.index == index && e.position.count == count {
		return
	}
	e.position.index, e.position.count = index, count
	e.table.SetPosition(index, count)
}

func (e *Entry) trim() {
	for _, p := range e.view.Load().pools {
		p.CloseIdle()
	}
}

// listVMs takes targets that the platform lists as leaving out of selection. The list names targets by their VMs' names
// or addresses.
func (e *Entry) listVMs() {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	vms, err := e.opts.Platform.VMs().List(ctx)
	if err != nil {
		return
	}
	v := e.view.Load()
	for _, vm := range vms {
		if !vm.Leaving {
			continue
		}
		if _, ok := v.pools[vm.Name]; ok {
			e.table.SetLeaving(vm.Name)
		}
	}
}

// watchContact logs when the entry stops and resumes sending. The decision itself is made at each call.
func (e *Entry) watchContact() {
	contact := e.fleet.CanServe(e.timers.Now())
	if e.hadContact.Swap(contact) == contact {
		return
	}
	if contact {
		e.log.Info("contact with the platform or a majority of the members; calls are served")
		return
	}
	e.log.Warn("no contact with the platform and a majority of the members; new calls are refused as isolated")
}

// use returns what callers use at this entry, by service and caller.
func (e *Entry) use() map[string]map[string]float64 {
	now := e.timers.Now()
	use := map[string]map[string]float64{}
	for name, s := range e.view.Load().services {
		if u := s.scheduler.Usage(now); len(u) > 0 {
			use[name] = u
		}
	}
	return use
}

// takeUse tells the schedulers what callers use at the other entries, so that a caller that floods through all entries
// does not get its share from each.
func (e *Entry) takeUse() {
	now := e.timers.Now()
	sum, known := e.fleet.PeerUsage(now)
	for name, s := range e.view.Load().services {
		switch {
		case !known:
			s.scheduler.SetRemoteUsage(now, nil)
		case sum[name] == nil:
			s.scheduler.SetRemoteUsage(now, map[string]float64{})
		default:
			s.scheduler.SetRemoteUsage(now, sum[name])
		}
	}
}
