package fleet

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"skylarkbeam/store"
)

// Change identifies a change that an operator requests.
type Change struct {
	// ID is a unique ID that the caller chooses for each change. Repeating a call with the same ID never applies the
	// change twice.
	ID string
	// BaseVersion is State.BaseVersion of the state that the operator has seen.
	BaseVersion uint64
	// Who is the person or program that requests the change.
	Who string
}

// Decision is one of *Accepted, *Conflict, *Refused and *Undecided.
type Decision interface{ sealed() }

// Accepted means that the change is committed to the table. It is returned once at least half of the members run the
// change, or when the context or inEffectTimeout (5 s) expires before that. Members shows the progress of the
// Unconfirmed members.
type Accepted struct {
	Version uint64
	// Unconfirmed lists the members, except those marked gone, that have not yet confirmed the version.
	Unconfirmed []string
	// InEffect reports whether at least half of the members run the change. From then on no entry sends work according
	// to an older state for longer than the contact timeout.
	InEffect bool
}

// Conflict means that the change was not made because the state is newer than its base version. Who, What and Version
// describe the last change.
type Conflict struct {
	Who     string
	What    string
	Version uint64
}

// Refused means that the change was not made and never will be.
type Refused struct {
	Reason string
}

// Undecided means that it was not known whether the change was made when the context ended. A later call with the same
// ID returns the result.
type Undecided struct{}

func (*Accepted) sealed()  {}
func (*Conflict) sealed()  {}
func (*Refused) sealed()   {}
func (*Undecided) sealed() {}

// Apply replaces the settings.
func (f *Fleet) Apply(ctx context.Context, c Change, settings []byte) Decision {
	if err := f.validateSettings(settings); err != nil {
		return &Refused{
			Reason: err.Error(),
		}
	}
	object := settingsObjectName(settings)
	for {
		err := f.opt.Platform.Objects().Put(ctx, object, settings)
		if err == nil {
			break
		}
		// An object has no effect until the head refers to it, so a failed Put can always be retried.
		if !f.waitRetry(ctx) || store.KindOf(err) == store.Invalid {
			return &Refused{
				Reason: errors.Wrap(err, "store the settings").Error(),
			}
		}
	}
	return f.commitChange(ctx, c, "apply "+object, func(d *Document) { d.Object = object })
}

// Drain takes failure domains and targets out of service.
func (f *Fleet) Drain(ctx context.Context, c Change, domains, targets []string) Decision {
	return f.commitChange(ctx, c, describeChange("drain", domains, targets), func(d *Document) {
		d.Domains = slices.Compact(slices.Sorted(slices.Values(append(d.Domains, domains...))))
		d.Targets = slices.Compact(slices.Sorted(slices.Values(append(d.Targets, targets...))))
	})
}

// Restore puts drained failure domains and targets back into service.
func (f *Fleet) Restore(ctx context.Context, c Change, domains, targets []string) Decision {
	return f.commitChange(ctx, c, describeChange("restore", domains, targets), func(d *Document) {
		d.Domains = slices.DeleteFunc(d.Domains, func(name string) bool { return slices.Contains(domains, name) })
		d.Targets = slices.DeleteFunc(d.Targets, func(name string) bool { return slices.Contains(targets, name) })
	})
}

func describeChange(verb string, domains, targets []string) string {
	return strings.Join(slices.Concat([]string{verb}, domains, targets), " ")
}

// commitChange commits one change to the table. While unresolved is not nil, a write with an unknown result may still
// commit; it checks that the head row has this version.
func (f *Fleet) commitChange(ctx context.Context, c Change, what string, edit func(*Document)) Decision {
	if c.ID == "" {
		return &Refused{
			Reason: "the change has no id",
		}
	}
	var unresolved *uint64
	for {
		decision, err := f.tryChange(ctx, c, what, edit, &unresolved)
		if decision != nil {
			return decision
		}
		if err != nil && unresolved == nil && store.KindOf(err) == store.Unavailable {
			return &Refused{
				Reason: errors.Wrap(err, "the table is down").Error(),
			}
		}
		if f.waitRetry(ctx) {
			continue
		}
		if unresolved != nil {
			return &Undecided{}
		}
		return &Refused{
			Reason: fmt.Sprintf("no answer from the table in time: %v", err),
		}
	}
}

// waitRetry waits until the next attempt. It returns false if there must be none, because a context has ended.
func (f *Fleet) waitRetry(ctx context.Context) bool {
	select {
	case <-time.After(retryInterval):
		return true
	case <-ctx.Done():
	case <-f.ctx.Done():
	}
	return false
}

// tryChange makes one attempt at a change. If it returns neither a decision nor an error, the caller tries again.
func (f *Fleet) tryChange(ctx context.Context, c Change, what string, edit func(*Document), unresolved **uint64) (Decision, error) {
	changeKey := changePrefix + c.ID
	t, err := f.readTable(ctx, changeKey)
	if err != nil {
		return nil, err
	}
	var changeRecord Mark
	if row, err := decode(t.rows, changeKey, &changeRecord); err != nil || row != 0 {
		return f.waitInEffect(ctx, changeRecord.Version), err
	}
	if *unresolved != nil {
		// The write with the unknown result checks the version of the head row. It cannot commit once that version has
		// changed.
		if f.protocol.fenceLostWrites && t.headRowVersion == **unresolved {
			return nil, f.advanceHead(ctx, t, c)
		}
		*unresolved = nil
	}
	if decision := f.rejection(ctx, t, c); decision != nil {
		return decision, nil
	}
	next := t.document.withEdit(func(d *Document) {
		edit(d)
		d.Origin, d.ID, d.Who, d.What, d.When = d.Version, c.ID, c.Who, what, f.now().UTC()
	})
	settings, err := f.fetchSettings(ctx, next.Object)
	if err != nil {
		return nil, err
	}
	tx := f.headTransaction(t, next)
	tx.Checks = append(tx.Checks, store.Check{
		Key:     changeKey,
		Version: 0,
	})
	tx.Puts = append(tx.Puts, store.Put{
		Key: changeKey,
		Value: encode(Mark{
			Version: next.Version,
		}),
		Expiry: f.now().Add(changeRecordExpiry),
	})
	result, err := f.commit(ctx, tx)
	if err != nil {
		if kind := store.KindOf(err); kind == store.Ambiguous {
			*unresolved = &t.headRowVersion
		} else if kind == store.Invalid {
			return &Refused{
				Reason: err.Error(),
			}, nil
		}
		return nil, err
	}
	if _, ok := result.(*store.Committed); !ok {
		return nil, nil
	}
	f.install(next, settings, t.roster)
	return f.waitInEffect(ctx, next.Version), nil
}

// rejection returns why a change cannot be applied to the state that was read, or nil if it can.
func (f *Fleet) rejection(ctx context.Context, t tableRead, c Change) Decision {
	if t.document.Origin > c.BaseVersion {
		return &Conflict{
			Who:     t.document.Who,
			What:    t.document.What,
			Version: t.document.Origin,
		}
	}
	if c.BaseVersion > t.document.Version {
		return &Refused{
			Reason: fmt.Sprintf("base %d is newer than the state, version %d", c.BaseVersion, t.document.Version),
		}
	}
	if f.protocol.requireQuorum && !f.hasQuorum(ctx, t) {
		return &Refused{
			Reason: "fewer than half of the members answer",
		}
	}
	return nil
}

// headTransaction returns a transaction that writes a document as the head and appends it to the log, provided that
// the table has not changed since the read.
func (f *Fleet) headTransaction(t tableRead, next Document) store.Transaction {
	value := encode(next)
	return store.Transaction{
		Checks: t.checks(),
		Puts: []store.Put{
			{
				Key:   headKey,
				Value: value,
			},
			{
				Key:    fmt.Sprintf("%s%d", logPrefix, next.Version),
				Value:  value,
				Expiry: f.now().Add(logExpiry),
			},
		},
	}
}

// advanceHead rewrites the head without a change, so that a write with an unknown result, which checks the present
// version of the head, can no longer commit. Whether this write commits or conflicts, the next read of the change
// record shows what became of the other one.
func (f *Fleet) advanceHead(ctx context.Context, t tableRead, c Change) error {
	next := t.document.withEdit(func(d *Document) { d.ID = "neutral " + c.ID })
	result, err := f.commit(ctx, f.headTransaction(t, next))
	if err != nil {
		return errors.Wrap(err, "rewrite the head")
	}
	f.log.Info("lost write settled", zap.String("change", c.ID), zap.Uint64("version", next.Version), zap.String("result", fmt.Sprintf("%T", result)))
	return nil
}

// hasQuorum contacts all peers and reports whether at least half of the members answered.
func (f *Fleet) hasQuorum(ctx context.Context, t tableRead) bool {
	answered := f.exchangeAll(ctx)
	f.mu.RLock()
	defer f.mu.RUnlock()
	answered[f.incarnation] = f.registered
	return t.roster.hasHalf(answered)
}

// waitInEffect distributes an accepted version to the members until it is in effect, and reports who runs it.
func (f *Fleet) waitInEffect(ctx context.Context, version uint64) Decision {
	ctx, cancel := context.WithTimeout(ctx, inEffectTimeout)
	defer cancel()
	for {
		f.exchangeAll(ctx)
		decision := f.confirmations(version)
		if decision.InEffect || !f.waitRetry(ctx) {
			return decision
		}
	}
}

func (f *Fleet) confirmations(version uint64) *Accepted {
	f.mu.RLock()
	defer f.mu.RUnlock()
	decision := &Accepted{
		Version:     version,
		Unconfirmed: []string{},
	}
	runs := map[string]bool{
		f.incarnation: f.registered,
	}
	for name, p := range f.peers {
		runs[p.incarnation] = p.lastReply.Version >= version
		if !runs[p.incarnation] && f.roster.Members[name].State != RecordStateGone {
			decision.Unconfirmed = append(decision.Unconfirmed, name)
		}
	}
	slices.Sort(decision.Unconfirmed)
	decision.InEffect = f.roster.hasHalf(runs)
	return decision
}
