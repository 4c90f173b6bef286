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

// Change identifies a change that an operator asks for.
type Change struct {
	// ID is chosen by the caller, fresh for each change. A call that repeats an ID never makes the change twice.
	ID string
	// BaseVersion is State.BaseVersion of the state that the operator has seen.
	BaseVersion uint64
	// Who asks.
	Who string
}

// Decision is one of *Accepted, *Conflict, *Refused and *Undecided.
type Decision interface{ sealed() }

// Accepted means that the change is in the table for good and that at least half of the members run it, or that they
// had not confirmed it when the context or 5 s ended. Members shows the progress of those that are Behind.
type Accepted struct {
	Version uint64
	// Unconfirmed names the members, apart from gone ones, that had not confirmed the version.
	Unconfirmed []string
	// InEffect tells whether at least half of the members run the change. From that moment on no entry sends work
	// according to an older state for longer than the contact time.
	InEffect bool
}

// Conflict means that the change was not made because the state is newer than its base. Who, What and Version are those
// of the last change.
type Conflict struct {
	Who     string
	What    string
	Version uint64
}

// Refused means that the change was not made and will not be.
type Refused struct {
	Reason string
}

// Undecided means that the platform did not tell before the context ended whether the change was made. A later call
// with the same ID does.
type Undecided struct{}

func (*Accepted) sealed()  {}
func (*Conflict) sealed()  {}
func (*Refused) sealed()   {}
func (*Undecided) sealed() {}

// Apply changes the settings.
func (f *Fleet) Apply(ctx context.Context, c Change, settings []byte) Decision {
	if err := f.check(settings); err != nil {
		return &Refused{
			Reason: err.Error(),
		}
	}
	object := objectName(settings)
	for {
		err := f.opt.Platform.Objects().Put(ctx, object, settings)
		if err == nil {
			break
		}
		// An object without a head that names it has no effect, so every failure may be repeated.
		if !f.pause(ctx) || store.KindOf(err) == store.Invalid {
			return &Refused{
				Reason: errors.Wrap(err, "store the settings").Error(),
			}
		}
	}
	return f.change(ctx, c, "apply "+object, func(d *Document) { d.Object = object })
}

// Drain takes failure domains and targets out of operation.
func (f *Fleet) Drain(ctx context.Context, c Change, domains, targets []string) Decision {
	return f.change(ctx, c, what("drain", domains, targets), func(d *Document) {
		d.Domains = slices.Compact(slices.Sorted(slices.Values(append(d.Domains, domains...))))
		d.Targets = slices.Compact(slices.Sorted(slices.Values(append(d.Targets, targets...))))
	})
}

// Restore puts drained failure domains and targets into operation again.
func (f *Fleet) Restore(ctx context.Context, c Change, domains, targets []string) Decision {
	return f.change(ctx, c, what("restore", domains, targets), func(d *Document) {
		d.Domains = slices.DeleteFunc(d.Domains, func(name string) bool { return slices.Contains(domains, name) })
		d.Targets = slices.DeleteFunc(d.Targets, func(name string) bool { return slices.Contains(targets, name) })
	})
}

func what(verb string, domains, targets []string) string {
	return strings.Join(slices.Concat([]string{verb}, domains, targets), " ")
}

// change makes one change in the table. While lost is not 0, a write that checks this version of the head row has an
// unknown result and may still take effect.
func (f *Fleet) change(ctx context.Context, c Change, what string, edit func(*Document)) Decision {
	if c.ID == "" {
		return &Refused{
			Reason: "the change has no id",
		}
	}
	var lost *uint64
	for {
		decision, err := f.attempt(ctx, c, what, edit, &lost)
		if decision != nil {
			return decision
		}
		if err != nil && lost == nil && store.KindOf(err) == store.Unavailable {
			return &Refused{
				Reason: errors.Wrap(err, "the table is down").Error(),
			}
		}
		if f.pause(ctx) {
			continue
		}
		if lost != nil {
			return &Undecided{}
		}
		return &Refused{
			Reason: fmt.Sprintf("no answer from the table in time: %v", err),
		}
	}
}

// pause waits for the next attempt; it reports false when there will be none.
func (f *Fleet) pause(ctx context.Context) bool {
	select {
	case <-time.After(retryInterval):
		return true
	case <-ctx.Done():
	case <-f.ctx.Done():
	}
	return false
}

// attempt makes one attempt at a change. Neither a decision nor an error means that another attempt is due.
func (f *Fleet) attempt(ctx context.Context, c Change, what string, edit func(*Document), lost **uint64) (Decision, error) {
	receiptKey := changePrefix + c.ID
	t, err := f.read(ctx, receiptKey)
	if err != nil {
		return nil, err
	}
	var receipt Mark
	if row, err := decode(t.rows, receiptKey, &receipt); err != nil || row != 0 {
		return f.force(ctx, receipt.Version), err
	}
	if *lost != nil {
		// The lost write checked a version of the head. Once the head has another one, it can no longer commit.
		if f.limits.neutral && t.headRow == **lost {
			return nil, f.neutralize(ctx, t, c)
		}
		*lost = nil
	}
	if decision := f.rejection(ctx, t, c); decision != nil {
		return decision, nil
	}
	next := t.document.edited(func(d *Document) {
		edit(d)
		d.Origin, d.ID, d.Who, d.What, d.When = d.Version, c.ID, c.Who, what, f.now().UTC()
	})
	settings, err := f.settings(ctx, next.Object)
	if err != nil {
		return nil, err
	}
	tx := f.transaction(t, next)
	tx.Checks = append(tx.Checks, store.Check{
		Key:     receiptKey,
		Version: 0,
	})
	tx.Puts = append(tx.Puts, store.Put{
		Key: receiptKey,
		Value: encode(Mark{
			Version: next.Version,
		}),
		Expiry: f.now().Add(receiptExpiry),
	})
	result, err := f.commit(ctx, tx)
	if err != nil {
		if kind := store.KindOf(err); kind == store.Ambiguous {
			*lost = &t.headRow
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
	return f.force(ctx, next.Version), nil
}

// rejection returns why a change cannot be made on the state that was read, or nil if it can.
func (f *Fleet) rejection(ctx context.Context, t table, c Change) Decision {
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
	if f.limits.quorum && !f.quorum(ctx, t) {
		return &Refused{
			Reason: "fewer than half of the members answer",
		}
	}
	return nil
}

// transaction writes a document as the head and to the log, based on what was read.
func (f *Fleet) transaction(t table, next Document) store.Transaction {
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

// neutralize advances the head without a change, so that a lost write that checks the present head cannot commit any
// more. Whether it commits or conflicts, the next read of the receipt tells what became of the lost write.
func (f *Fleet) neutralize(ctx context.Context, t table, c Change) error {
	next := t.document.edited(func(d *Document) { d.ID = "neutral " + c.ID })
	result, err := f.commit(ctx, f.transaction(t, next))
	if err != nil {
		return errors.Wrap(err, "settle a lost write")
	}
	f.log.Info("lost write settled", zap.String("change", c.ID), zap.Uint64("version", next.Version), zap.String("result", fmt.Sprintf("%T", result)))
	return nil
}

// quorum asks all peers and tells whether at least half of the members answered.
func (f *Fleet) quorum(ctx context.Context, t table) bool {
	answered := f.round(ctx)
	f.mu.RLock()
	defer f.mu.RUnlock()
	answered[f.incarnation] = f.registered
	return t.roster.half(answered)
}

// force brings an accepted version to the members and reports who runs it.
func (f *Fleet) force(ctx context.Context, version uint64) Decision {
	ctx, cancel := context.WithTimeout(ctx, forceTime)
	defer cancel()
	for {
		f.round(ctx)
		decision := f.progress(version)
		if decision.InEffect || !f.pause(ctx) {
			return decision
		}
	}
}

func (f *Fleet) progress(version uint64) *Accepted {
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
		runs[p.incarnation] = p.reply.Version >= version
		if !runs[p.incarnation] && f.roster.Members[name].State != RecordStateGone {
			decision.Unconfirmed = append(decision.Unconfirmed, name)
		}
	}
	slices.Sort(decision.Unconfirmed)
	decision.InEffect = f.roster.half(runs)
	return decision
}
