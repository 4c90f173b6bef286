package fleet

import (
	"context"
	"encoding/json"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"skylarkbeam/store"
)

// maintain makes the writes that follow from what was read.
func (f *Fleet) maintain() {
	defer f.tasks.Done()
	for {
		select {
		case <-f.kick:
			f.upkeep()
		case <-f.ctx.Done():
			return
		}
	}
}

func (f *Fleet) upkeep() {
	f.mu.RLock()
	t := f.latest
	f.mu.RUnlock()
	if t.start.IsZero() {
		return
	}
	f.loadWarm()
	if next, why := f.revise(t); why != "" {
		if committed, err := f.write(f.ctx, t, next); err != nil {
			f.log.Debug("roster write failed", zap.Error(err))
		} else if committed {
			f.log.Info("roster written", zap.String("why", why), zap.Uint64("version", next.Version))
		} else {
			// Another entry wrote first, as happens when all start at once. Reading again at once lets one entry succeed
			// in each attempt.
			defer f.poll()
		}
		// The rows of this read are out of date or may be; the next poll brings new ones.
		f.mu.Lock()
		if f.latest.start.Equal(t.start) {
			f.latest = table{}
		}
		f.mu.Unlock()
	}
	f.beat()
	f.saveWarm()
}

// write puts a new roster in the table if neither it nor the head has changed since the read. It reports false if they
// have.
func (f *Fleet) write(ctx context.Context, t table, next Roster) (bool, error) {
	result, err := f.commit(ctx, store.Transaction{
		Checks: t.checks(),
		Puts: []store.Put{
			{
				Key:   rosterKey,
				Value: encode(next),
			},
			{
				Key: markKey,
				Value: encode(Mark{
					Version: next.Version,
				}),
			},
		},
	})
	if err != nil {
		return false, errors.Wrap(err, "write the roster")
	}
	if _, ok := result.(*store.Committed); !ok {
		return false, nil
	}
	state := f.State()
	f.install(state.document, state.Settings, next)
	return true, nil
}

func (f *Fleet) commit(ctx context.Context, tx store.Transaction) (store.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	f.counters.writes.Inc()
	return f.opt.Platform.Commit(ctx, tx)
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

// revise returns the roster that should follow the one that was read, and why; why is empty if it can stay.
func (f *Fleet) revise(t table) (next Roster, why string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	own, ok := t.roster.Members[f.opt.Name]
	mine := ok && own.Incarnation == f.incarnation
	want := RecordStateActive
	if f.leaving.Load() {
		want = RecordStateLeaving
	}
	switch {
	case f.ended || f.registered && !mine:
		return next, ""
	case !mine && want == RecordStateActive:
		f.former = f.former || ok
		return f.join(t.roster, own), "register"
	case mine && (own.State != want || own.Detached):
		record := own
		record.State, record.Detached = want, false
		return t.roster.edit(func(members map[string]Record) { members[f.opt.Name] = record }), string(want)
	case !mine:
		return next, ""
	}
	if verdicts := f.verdicts(now, t.roster); len(verdicts) > 0 {
		return t.roster.edit(func(members map[string]Record) { maps.Copy(members, verdicts) }), "verdict"
	}
	if f.settleable(t.roster) {
		return t.roster.settled(), "settle"
	}
	if next, ok := f.vanished(now, t.roster); ok {
		return next, "vanished"
	}
	return next, ""
}

// join makes this process the member of its name. If the former one had the same control address then it has ended,
// because two processes cannot listen on it; its vote passes on.
func (f *Fleet) join(roster Roster, former Record) Roster {
	next := roster.edit(func(members map[string]Record) {
		members[f.opt.Name] = Record{
			Incarnation: f.incarnation,
			Domain:      f.opt.Domain,
			Caller:      f.opt.Caller,
			Control:     f.opt.Control,
			State:       RecordStateActive,
		}
	})
	if former.Control == f.opt.Control {
		next = next.without(former.Incarnation, f.incarnation)
	}
	return next
}

// verdicts returns new records for members that nobody has heard for goneTime, neither directly nor through the table,
// and for members that say that they do not reach the table. The latter stay members and only own no targets.
func (f *Fleet) verdicts(now time.Time, roster Roster) map[string]Record {
	verdicts := map[string]Record{}
	for name, record := range roster.Members {
		p := f.peers[name]
		if p == nil || record.State == RecordStateGone || record.Incarnation != p.incarnation {
			continue
		}
		if p.reply.Detached && !record.Detached && now.Sub(p.heard) < quietTime {
			record.Detached = true
			verdicts[name] = record
		}
		if now.Sub(f.lastSign(name, p)) < f.limits.gone {
			continue
		}
		// Before its beats have been read for a while, their absence says nothing.
		if f.limits.reported && (p.watched.IsZero() || now.Sub(p.watched) < quietTime) {
			continue
		}
		record.State = RecordStateGone
		verdicts[name] = record
	}
	return verdicts
}

// lastSign returns when any entry last heard the peer, or when its beat last changed.
func (f *Fleet) lastSign(name string, p *peer) time.Time {
	last := p.heard
	if p.since.After(last) {
		last = p.since
	}
	if !f.limits.reported {
		return last
	}
	if p.beaten.After(last) {
		last = p.beaten
	}
	for _, other := range f.peers {
		if at := other.heard.Add(-other.reply.silence(name)); at.After(last) {
			last = at
		}
	}
	return last
}

// settleable tells whether half of the prior members and half of the present ones know the roster.
func (f *Fleet) settleable(roster Roster) bool {
	if len(roster.Prior) == 0 {
		return false
	}
	knows := map[string]bool{
		f.incarnation: true,
	}
	for _, p := range f.peers {
		if p.reply.Roster >= roster.Version {
			knows[p.incarnation] = true
		}
	}
	return f.limits.dropEarly || roster.half(knows)
}

// vanished drops the votes of absent members whose VM no longer exists. Without it, a fleet that lost more than half of
// its entries at once could accept no change before they returned.
func (f *Fleet) vanished(now time.Time, roster Roster) (Roster, bool) {
	absent, due := roster.absent(), false
	for incarnation := range f.absent {
		if _, ok := absent[incarnation]; !ok {
			delete(f.absent, incarnation)
		}
	}
	for incarnation := range absent {
		if f.absent[incarnation].IsZero() {
			f.absent[incarnation] = now
		}
		due = due || now.Sub(f.absent[incarnation]) >= vanishTime
	}
	if !due || now.Sub(f.listed) < listInterval {
		return roster, false
	}
	f.listed = now
	exists := f.vms()
	next, found := roster.edit(func(map[string]Record) {}), false
	for incarnation, vm := range absent {
		if len(exists) > 0 && !exists[vm] && now.Sub(f.absent[incarnation]) >= vanishTime {
			next = next.without(incarnation, "")
			found = true
		}
	}
	return next, found
}

// vms returns the addresses in the list of VMs, nothing if it is not available. The caller holds mu, which is released
// meanwhile.
func (f *Fleet) vms() map[netip.Addr]bool {
	f.mu.Unlock()
	defer f.mu.Lock()
	ctx, cancel := context.WithTimeout(f.ctx, tableTimeout)
	defer cancel()
	list, err := f.opt.Platform.VMs().List(ctx)
	if err != nil {
		f.log.Debug("listing the VMs failed", zap.Error(err))
	}
	exists := map[netip.Addr]bool{}
	for _, vm := range list {
		exists[vm.Address] = true
	}
	return exists
}

// beatKeys returns the beats of members that this entry has not heard for quietTime.
func (f *Fleet) beatKeys() []string {
	f.mu.RLock()
	defer f.mu.RUnlock()
	now := f.now()
	var keys []string
	for name, p := range f.peers {
		if f.roster.Members[name].State != RecordStateGone && now.Sub(p.heard) >= quietTime {
			keys = append(keys, beatPrefix+name)
		}
	}
	return keys
}

// watch notes the beats that were read with the given keys. The caller holds mu.
func (f *Fleet) watch(t table, keys []string) {
	now := f.now()
	for name, p := range f.peers {
		if !slices.Contains(keys, beatPrefix+name) {
			p.watched = time.Time{}
			continue
		}
		first := p.watched.IsZero()
		if first {
			p.watched = now
		}
		row, ok := t.rows[beatPrefix+name]
		if !ok || row.Version == p.beatRow {
			continue
		}
		p.beatRow = row.Version
		var beat Beat
		if json.Unmarshal(row.Value, &beat) != nil || beat.Incarnation != p.incarnation {
			continue
		}
		if !first {
			p.beaten = now
		}
		p.reply.Version = max(p.reply.Version, beat.Version)
	}
}

// beat shows in the table that this entry is alive, if a peer may not hear it.
func (f *Fleet) beat() {
	f.mu.RLock()
	now := f.now()
	needed := false
	for name, p := range f.peers {
		if f.roster.Members[name].State == RecordStateGone {
			continue
		}
		needed = needed || p.reply.silence(f.opt.Name) >= quietTime || now.Sub(p.heard) >= quietTime
	}
	needed = needed && f.registered && !f.ended
	f.mu.RUnlock()
	if !needed {
		return
	}
	_, err := f.commit(f.ctx, store.Transaction{
		Puts: []store.Put{
			{
				Key: beatPrefix + f.opt.Name,
				Value: encode(Beat{
					Incarnation: f.incarnation,
					Version:     f.State().Version,
				}),
			},
		},
	})
	if err != nil {
		f.log.Debug("beat failed", zap.Error(err))
	}
}
