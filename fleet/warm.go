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

// maxFacts bounds the warm facts in the messages of one round, over all peers. At about 60 bytes each, 25 sent and 25
// received add 3 KB/s to the 4 KB/s of six entries at rest; a node has 8 KB/s for control.
const maxFacts = 25

// relayTime is how long the digest of a peer stays the same, and different from ours, before it is sent facts of other
// entries. Usually it gets them from the entry that announced them.
const relayTime = 3 * time.Second

// facts are the instances of targets that are known to be warm. A fact never becomes false; a target's latest fact
// replaces the one before.
type facts struct {
	mu    sync.RWMutex
	known map[string]*fact
	// number is that of the fact learned last, sum the exclusive or of the hashes of all facts.
	number uint64
	sum    uint64
}

// fact is a warm fact with its number in the order of learning and the peer it was learned from.
type fact struct {
	Fact
	number uint64
	from   string
	own    bool
	saved  bool
}

func (f Fact) hash() uint64 {
	return xxhash.Sum64String(f.Target + "\x00" + f.Instance + "\x00" + strconv.FormatUint(f.Count, 10) + "\x00" + strconv.Itoa(f.Falls))
}

// after tells whether a fact replaces another one. Equal counts come from two owners that announced at once; which one
// stays does not matter as long as all entries agree.
func (f Fact) after(other Fact) bool {
	return cmp.Or(cmp.Compare(f.Count, other.Count), cmp.Compare(f.Instance, other.Instance), cmp.Compare(f.Falls, other.Falls)) > 0
}

// merge adds facts and returns those that were new.
func (w *facts) merge(list []Fact, from string) []Fact {
	w.mu.Lock()
	defer w.mu.Unlock()
	var fresh []Fact
	for _, f := range list {
		if old := w.known[f.Target]; old == nil || f.after(old.Fact) {
			w.put(f, from, false)
			fresh = append(fresh, f)
		}
	}
	return fresh
}

func (w *facts) put(f Fact, from string, own bool) {
	if old := w.known[f.Target]; old != nil {
		w.sum ^= old.hash()
	}
	w.sum ^= f.hash()
	w.number++
	w.known[f.Target] = &fact{
		Fact:   f,
		number: w.number,
		from:   from,
		own:    own,
		saved:  !own,
	}
}

// announce adds this entry's own fact and returns it; ok is false if it is known already.
func (w *facts) announce(target, instance string, falls int) (f Fact, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f = Fact{
		Target:   target,
		Instance: instance,
		Falls:    falls,
		Count:    1,
	}
	if old := w.known[target]; old != nil {
		if old.Instance == instance && old.Falls >= falls {
			return f, false
		}
		f.Count = old.Count + 1
	}
	w.put(f, "", true)
	return f, true
}

// covers tells whether the instance is known to have become warm after a fall.
func (w *facts) covers(fall Fact) bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	known := w.known[fall.Target]
	return known != nil && known.Instance == fall.Instance && known.Falls >= fall.Falls
}

func (w *facts) digest() string {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return fmt.Sprintf("%x", w.sum)
}

// all returns all facts.
func (w *facts) all() []Fact {
	w.mu.RLock()
	defer w.mu.RUnlock()
	list := make([]Fact, 0, len(w.known))
	for _, f := range w.known {
		list = append(list, f.Fact)
	}
	return list
}

// since returns the facts after a number, at most limit, and the number up to which the peer then knows all of this
// kind: this entry's own facts, or with relay all that the peer did not send itself. There is nothing to send if the
// peer's digest is the same.
func (w *facts) since(number uint64, peer, digest string, relay bool, limit int) ([]Fact, uint64) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if digest == fmt.Sprintf("%x", w.sum) {
		return nil, w.number
	}
	var news []*fact
	for _, f := range w.known {
		if f.number > number && (f.own || relay && f.from != peer) {
			news = append(news, f)
		}
	}
	slices.SortFunc(news, func(a, b *fact) int { return cmp.Compare(a.number, b.number) })
	last := w.number
	if len(news) > limit {
		news = news[:limit]
		last = news[limit-1].number
	}
	list := make([]Fact, 0, len(news))
	for _, f := range news {
		list = append(list, f.Fact)
	}
	return list, last
}

// WarmInstance returns the instance of the target that is known to be warm, "" if none is.
func (f *Fleet) WarmInstance(target string) string {
	f.warm.mu.RLock()
	defer f.warm.mu.RUnlock()
	if known := f.warm.known[target]; known != nil {
		return known.Instance
	}
	return ""
}

// AnnounceWarm tells all entries that this instance of the target is warm, after it had fallen so often.
func (f *Fleet) AnnounceWarm(target, instance string, falls int) {
	if fresh, ok := f.warm.announce(target, instance, falls); ok {
		f.warmed(fresh)
	}
}

// ReportInstance tells the owner of the target, in the next exchange with it, that the target runs a new instance. It has no
// effect if this entry is the owner.
func (f *Fleet) ReportInstance(target, instance string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.peers[f.roster.owner(target)]; p != nil {
		p.seen[target] = instance
	}
}

// loadWarm reads the warm rows once at the start, and again while a peer is unheard whose facts may be missing.
func (f *Fleet) loadWarm() {
	f.mu.RLock()
	now := f.now()
	due := f.scanned.IsZero()
	for name, p := range f.peers {
		unheard := now.Sub(p.heard) >= quietTime && f.roster.Members[name].State == RecordStateActive
		due = due || unheard && now.Sub(f.scanned) >= rescanInterval
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
	f.scanned = now
	f.mu.Unlock()
	list := make([]Fact, 0, len(rows))
	for _, row := range rows {
		var fresh Fact
		if err := json.Unmarshal(row.Value, &fresh); err != nil {
			f.log.Warn("malformed row", zap.String("key", row.Key), zap.Error(err))
			continue
		}
		list = append(list, fresh)
	}
	f.learn(list, "")
}

// saveWarm writes this entry's own announcements, up to a full transaction at a time.
func (f *Fleet) saveWarm() {
	var tx store.Transaction
	var saved []*fact
	f.warm.mu.RLock()
	for _, own := range f.warm.known {
		if !own.saved && len(tx.Puts) < store.MaxTransactionOps {
			saved = append(saved, own)
			tx.Puts = append(tx.Puts, store.Put{
				Key:    warmPrefix + own.Target,
				Value:  encode(own.Fact),
				Expiry: time.Time{},
			})
		}
	}
	f.warm.mu.RUnlock()
	if len(saved) == 0 {
		return
	}
	if _, err := f.commit(f.ctx, tx); err != nil {
		f.log.Debug("writing warm rows failed", zap.Error(err))
		return
	}
	f.warm.mu.Lock()
	defer f.warm.mu.Unlock()
	for _, own := range saved {
		own.saved = true
	}
}
