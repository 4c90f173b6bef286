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

// runMaintenance makes the writes that follow from the last read of the table.
func (f *Fleet) runMaintenance() {
	defer f.tasks.Done()
	for {
		select {
		case <-f.maintenanceDue:
			f.maintain()
		case <-f.ctx.Done():
			return
		}
	}
}

func (f *Fleet) maintain() {
	f.mu.RLock()
	t := f.lastRead
	f.mu.RUnlock()
	if t.start.IsZero() {
		return
	}
	f.loadWarm()
	if next, reason := f.nextRoster(t); reason != "" {
		if committed, err := f.writeRoster(f.ctx, t, next); err != nil {
			f.log.Debug("writing the roster failed", zap.Error(err))
		} else if committed {
			f.log.Info("roster written", zap.String("why", reason), zap.Uint64("version", next.Version))
		} else {
			// Another entry wrote first, which is common when all entries start at once. Reading again immediately
			// lets one entry succeed in each attempt.
			defer f.poll()
		}
		// The rows of this read are or may be out of date. The next poll brings new ones.
		f.mu.Lock()
		if f.lastRead.start.Equal(t.start) {
			f.lastRead = tableRead{}
		}
		f.mu.Unlock()
	}
	f.writeHeartbeat()
	f.saveWarm()
}

// writeRoster writes a new roster to the table, provided that neither the roster nor the head has changed since the
// read. It returns false if one of them has.
func (f *Fleet) writeRoster(ctx context.Context, t tableRead, next Roster) (bool, error) {
	result, err := f.commit(ctx, store.Transaction{
		Checks: t.checks(),
		Puts: []store.Put{
			{
				Key:   rosterKey,
				Value: encode(next),
			},
			{
				Key: rosterVersionKey,
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

// nextRoster returns the roster that should replace the one that was read, and the reason, which is empty if the
// roster can stay as it is.
func (f *Fleet) nextRoster(t tableRead) (next Roster, reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	own, ok := t.roster.Members[f.opt.Name]
	isMember := ok && own.Incarnation == f.incarnation
	want := RecordStateActive
	if f.leaving.Load() {
		want = RecordStateLeaving
	}
	switch {
	case f.stopped || f.registered && !isMember:
		return next, ""
	case !isMember && want == RecordStateActive:
		f.hadPredecessor = f.hadPredecessor || ok
		return f.register(t.roster, own), "register"
	case isMember && (own.State != want || own.Detached):
		record := own
		record.State, record.Detached = want, false
		return t.roster.withChange(func(members map[string]Record) { members[f.opt.Name] = record }), string(want)
	case !isMember:
		return next, ""
	}
	if updates := f.memberUpdates(now, t.roster); len(updates) > 0 {
		return t.roster.withChange(func(members map[string]Record) { maps.Copy(members, updates) }), "verdict"
	}
	if f.canSettle(t.roster) {
		return t.roster.withoutPrior(), "settle"
	}
	if next, ok := f.dropVanished(now, t.roster); ok {
		return next, "vanished"
	}
	return next, ""
}

// register makes this process the member with its name. If the former process had the same control address then it has
// ended, because two processes cannot listen on one address, and its vote passes to this one.
func (f *Fleet) register(roster Roster, former Record) Roster {
	next := roster.withChange(func(members map[string]Record) {
		members[f.opt.Name] = Record{
			Incarnation: f.incarnation,
			Domain:      f.opt.Domain,
			Caller:      f.opt.Caller,
			Control:     f.opt.Control,
			State:       RecordStateActive,
		}
	})
	if former.Control == f.opt.Control {
		next = next.withoutVoter(former.Incarnation, f.incarnation)
	}
	return next
}

// memberUpdates returns new records for members that nobody has heard for goneTimeout, neither directly nor through
// the table, and for members that report that they cannot reach the table. The latter stay members but own no targets.
func (f *Fleet) memberUpdates(now time.Time, roster Roster) map[string]Record {
	updates := map[string]Record{}
	for name, record := range roster.Members {
		p := f.peers[name]
		if p == nil || record.State == RecordStateGone || record.Incarnation != p.incarnation {
			continue
		}
		if p.lastReply.Detached && !record.Detached && now.Sub(p.heardAt) < suspectTimeout {
			record.Detached = true
			updates[name] = record
		}
		if now.Sub(f.lastAlive(name, p)) < f.protocol.goneAfter {
			continue
		}
		// A missing heartbeat means something only after the rows have been read for a while.
		if f.protocol.usePeerReports && (p.watchedSince.IsZero() || now.Sub(p.watchedSince) < suspectTimeout) {
			continue
		}
		record.State = RecordStateGone
		updates[name] = record
	}
	return updates
}

// lastAlive returns the last time at which any entry heard the peer or its heartbeat row changed.
func (f *Fleet) lastAlive(name string, p *peer) time.Time {
	last := p.heardAt
	if p.appearedAt.After(last) {
		last = p.appearedAt
	}
	if !f.protocol.usePeerReports {
		return last
	}
	if p.lastHeartbeat.After(last) {
		last = p.lastHeartbeat
	}
	for _, other := range f.peers {
		if at := other.heardAt.Add(-other.lastReply.silence(name)); at.After(last) {
			last = at
		}
	}
	return last
}

// canSettle reports whether half of the prior members and half of the present members know the roster.
func (f *Fleet) canSettle(roster Roster) bool {
	if len(roster.Prior) == 0 {
		return false
	}
	knows := map[string]bool{
		f.incarnation: true,
	}
	for _, p := range f.peers {
		if p.lastReply.Roster >= roster.Version {
			knows[p.incarnation] = true
		}
	}
	return f.protocol.dropPriorEarly || roster.hasHalf(knows)
}

// dropVanished drops the votes of absent members whose VM no longer exists. Otherwise a fleet that lost more than half
// of its entries at once could accept no change until they return.
func (f *Fleet) dropVanished(now time.Time, roster Roster) (Roster, bool) {
	absent, due := roster.absentVoters(), false
	for incarnation := range f.absentSince {
		if _, ok := absent[incarnation]; !ok {
			delete(f.absentSince, incarnation)
		}
	}
	for incarnation := range absent {
		if f.absentSince[incarnation].IsZero() {
			f.absentSince[incarnation] = now
		}
		due = due || now.Sub(f.absentSince[incarnation]) >= vmAbsenceTimeout
	}
	if !due || now.Sub(f.vmsListedAt) < vmListInterval {
		return roster, false
	}
	f.vmsListedAt = now
	exists := f.listVMs()
	next, found := roster.withChange(func(map[string]Record) {}), false
	for incarnation, vm := range absent {
		if len(exists) > 0 && !exists[vm] && now.Sub(f.absentSince[incarnation]) >= vmAbsenceTimeout {
			next = next.withoutVoter(incarnation, "")
			found = true
		}
	}
	return next, found
}

// listVMs returns the addresses in the list of VMs, or nothing if the list is unavailable. The caller holds mu, which
// is released during the request.
func (f *Fleet) listVMs() map[netip.Addr]bool {
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

// heartbeatKeys returns the keys of the heartbeat rows of members that this entry has not heard for suspectTimeout.
func (f *Fleet) heartbeatKeys() []string {
	f.mu.RLock()
	defer f.mu.RUnlock()
	now := f.now()
	var keys []string
	for name, p := range f.peers {
		if f.roster.Members[name].State != RecordStateGone && now.Sub(p.heardAt) >= suspectTimeout {
			keys = append(keys, heartbeatPrefix+name)
		}
	}
	return keys
}

// recordHeartbeats records the heartbeat rows that were read with the given keys. The caller holds mu.
func (f *Fleet) recordHeartbeats(t tableRead, keys []string) {
	now := f.now()
	for name, p := range f.peers {
		if !slices.Contains(keys, heartbeatPrefix+name) {
			p.watchedSince = time.Time{}
			continue
		}
		first := p.watchedSince.IsZero()
		if first {
			p.watchedSince = now
		}
		row, ok := t.rows[heartbeatPrefix+name]
		if !ok || row.Version == p.heartbeatRow {
			continue
		}
		p.heartbeatRow = row.Version
		var heartbeat Beat
		if json.Unmarshal(row.Value, &heartbeat) != nil || heartbeat.Incarnation != p.incarnation {
			continue
		}
		if !first {
			p.lastHeartbeat = now
		}
		p.lastReply.Version = max(p.lastReply.Version, heartbeat.Version)
	}
}

// writeHeartbeat writes this entry's heartbeat row if there is a peer that may not hear the entry.
func (f *Fleet) writeHeartbeat() {
	f.mu.RLock()
	now := f.now()
	needed := false
	for name, p := range f.peers {
		if f.roster.Members[name].State == RecordStateGone {
			continue
		}
		needed = needed || p.lastReply.silence(f.opt.Name) >= suspectTimeout || now.Sub(p.heardAt) >= suspectTimeout
	}
	needed = needed && f.registered && !f.stopped
	f.mu.RUnlock()
	if !needed {
		return
	}
	_, err := f.commit(f.ctx, store.Transaction{
		Puts: []store.Put{
			{
				Key: heartbeatPrefix + f.opt.Name,
				Value: encode(Beat{
					Incarnation: f.incarnation,
					Version:     f.State().Version,
				}),
			},
		},
	})
	if err != nil {
		f.log.Debug("writing the heartbeat failed", zap.Error(err))
	}
}
