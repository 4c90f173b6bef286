package fleet

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"skylarkbeam/store"
)

// maxWarmFactsPerRound limits the warm facts in the messages of one round, over all peers. At about 60 bytes each, 25
// sent and 25 received add 3 KB/s to the 4 KB/s of six idle entries. A node may use 8 KB/s for control traffic.
const maxWarmFactsPerRound = 25

// relayDelay is how long the digest of a peer must stay unchanged, and different from this entry's digest, before the
// peer is sent facts that other entries announced. Usually the announcing entry sends them itself.
const relayDelay = 3 * time.Second

// warmFacts holds the instances of targets that are known to be warm. A fact never becomes false; the latest fact
// about a target replaces the one before.
type warmFacts struct {
	mu       sync.RWMutex
	byTarget map[string]*warmFact
	// lastSequence is the sequence number of the newest fact. hashXOR is the exclusive or of the hashes of all facts.
	lastSequence uint64
	hashXOR      uint64
}

// warmFact is a fact with its sequence number, in the order in which this entry learned the facts, and the peer that
// sent it.
type warmFact struct {
	Fact
	sequence uint64
	source   string
	own      bool
	saved    bool
}

func (f Fact) hash() uint64 {
	return xxhash.Sum64String(f.Target + "\x00" + f.Instance + "\x00" + strconv.FormatUint(f.Count, 10) + "\x00" + strconv.Itoa(f.Falls))
}

// replaces reports whether a fact replaces another one. Equal counts come from two owners that announced at the same
// time; which fact stays does not matter as long as all entries agree.
func (f Fact) replaces(other Fact) bool {
	return cmp.Or(cmp.Compare(f.Count, other.Count), cmp.Compare(f.Instance, other.Instance), cmp.Compare(f.Falls, other.Falls)) > 0
}

// merge adds facts and returns the new ones.
func (w *warmFacts) merge(list []Fact, from string) []Fact {
	w.mu.Lock()
	defer w.mu.Unlock()
	var fresh []Fact
	for _, f := range list {
		if old := w.byTarget[f.Target]; old == nil || f.replaces(old.Fact) {
			w.put(f, from, false)
			fresh = append(fresh, f)
		}
	}
	return fresh
}

func (w *warmFacts) put(f Fact, from string, own bool) {
	if old := w.byTarget[f.Target]; old != nil {
		w.hashXOR ^= old.hash()
	}
	w.hashXOR ^= f.hash()
	w.lastSequence++
	w.byTarget[f.Target] = &warmFact{
		Fact:     f,
		sequence: w.lastSequence,
		source:   from,
		own:      own,
		saved:    !own,
	}
}

// announce adds a fact that this entry announces and returns it; ok is false if it is already known.
func (w *warmFacts) announce(target, instance string, transitions int) (f Fact, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f = Fact{
		Target:   target,
		Instance: instance,
		Falls:    transitions,
		Count:    1,
	}
	if old := w.byTarget[target]; old != nil {
		if old.Instance == instance && old.Falls >= transitions {
			return f, false
		}
		f.Count = old.Count + 1
	}
	w.put(f, "", true)
	return f, true
}

// coversTransition reports whether the instance is known to have become warm after a cold transition.
func (w *warmFacts) coversTransition(transition Fact) bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	known := w.byTarget[transition.Target]
	return known != nil && known.Instance == transition.Instance && known.Falls >= transition.Falls
}

func (w *warmFacts) digest() string {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return fmt.Sprintf("%x", w.hashXOR)
}

// all returns all facts.
func (w *warmFacts) all() []Fact {
	w.mu.RLock()
	defer w.mu.RUnlock()
	list := make([]Fact, 0, len(w.byTarget))
	for _, f := range w.byTarget {
		list = append(list, f.Fact)
	}
	return list
}

// unsent returns the facts after a sequence number, at most limit, and the sequence number up to which the peer then
// has them. It returns the facts that this entry announced, or with relay set all facts that the peer did not send
// itself. It returns none if the peer's digest is the same.
func (w *warmFacts) unsent(after uint64, peer, digest string, relay bool, limit int) ([]Fact, uint64) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if digest == fmt.Sprintf("%x", w.hashXOR) {
		return nil, w.lastSequence
	}
	var pending []*warmFact
	for _, f := range w.byTarget {
		if f.sequence > after && (f.own || relay && f.source != peer) {
			pending = append(pending, f)
		}
	}
	slices.SortFunc(pending, func(a, b *warmFact) int { return cmp.Compare(a.sequence, b.sequence) })
	last := w.lastSequence
	if len(pending) > limit {
		pending = pending[:limit]
		last = pending[limit-1].sequence
	}
	list := make([]Fact, 0, len(pending))
	for _, f := range pending {
		list = append(list, f.Fact)
	}
	return list, last
}

// WarmInstance returns the instance of the target that is known to be warm, or "" if there is none.
func (f *Fleet) WarmInstance(target string) string {
	f.warm.mu.RLock()
	defer f.warm.mu.RUnlock()
	if known := f.warm.byTarget[target]; known != nil {
		return known.Instance
	}
	return ""
}

// AnnounceWarm tells all entries that this instance of the target is warm after the given number of cold transitions.
func (f *Fleet) AnnounceWarm(target, instance string, transitions int) {
	if fact, ok := f.warm.announce(target, instance, transitions); ok {
		f.notifyWarm(fact)
	}
}

// ReportInstance tells the owner of the target, in the next exchange with it, that the target runs a new instance. It
// has no effect if this entry is the owner.
func (f *Fleet) ReportInstance(target, instance string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.peers[f.roster.owner(target)]; p != nil {
		p.pendingInstances[target] = instance
	}
}

// loadWarm reads the warm rows once at the start, and repeatedly while an active peer is silent, because its facts may
// be missing.
func (f *Fleet) loadWarm() {
	f.mu.RLock()
	now := f.now()
	due := f.warmScannedAt.IsZero()
	for name, p := range f.peers {
		unheard := now.Sub(p.heardAt) >= suspectTimeout && f.roster.Members[name].State == RecordStateActive
		due = due || unheard && now.Sub(f.warmScannedAt) >= warmScanInterval
	}
	f.mu.RUnlock()
	if !due {
		return
	}
	f.counters.reads.Inc()
	ctx, cancel := context.WithTimeout(f.ctx, tableTimeout)
	defer cancel()
	rows, err := f.opt.Platform.Scan(ctx, warmPrefix)
	if err != nil {
		f.log.Debug("reading the warm rows failed", zap.Error(err))
		return
	}
	f.mu.Lock()
	f.warmScannedAt = now
	f.mu.Unlock()
	list := make([]Fact, 0, len(rows))
	for _, row := range rows {
		var fact Fact
		if err := json.Unmarshal(row.Value, &fact); err != nil {
			f.log.Warn("malformed row", zap.String("key", row.Key), zap.Error(err))
			continue
		}
		list = append(list, fact)
	}
	f.mergeWarm(list, "")
}

// saveWarm writes this entry's own announcements to the table, up to a full transaction at a time.
func (f *Fleet) saveWarm() {
	var tx store.Transaction
	var saved []*warmFact
	f.warm.mu.RLock()
	for _, fact := range f.warm.byTarget {
		if !fact.saved && len(tx.Puts) < store.MaxTransactionOps {
			saved = append(saved, fact)
			tx.Puts = append(tx.Puts, store.Put{
				Key:    warmPrefix + fact.Target,
				Value:  encode(fact.Fact),
				Expiry: time.Time{},
			})
		}
	}
	f.warm.mu.RUnlock()
	if len(saved) == 0 {
		return
	}
	if _, err := f.commit(f.ctx, tx); err != nil {
		f.log.Debug("writing the warm rows failed", zap.Error(err))
		return
	}
	f.warm.mu.Lock()
	defer f.warm.mu.Unlock()
	for _, fact := range saved {
		fact.saved = true
	}
}
