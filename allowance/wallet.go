package allowance

import (
	"math"
	"slices"
	"time"
)

const (
	// useTimeConstant is the time constant of the measured use of a workspace at an entry.
	useTimeConstant = 2 * time.Second
	// holdTime bounds how long an entry refuses requests of a workspace without asking again, after the lender had no
	// permit. An entry sends 10 messages a second for a workspace that is far over its allowance.
	holdTime = 100 * time.Millisecond
	// holdPart is the part of the time in which the refused requests could be served for which an entry does not ask
	// again. A workspace just above its allowance is asked for as soon as there is a permit.
	holdPart = 0.03
)

// Wallet holds the permits of one workspace at an entry. It is not safe for concurrent use.
type Wallet struct {
	permits []permitBatch
	// unused is the number of permits to give back with the next ask.
	unused int
	// used is the decaying number of requests as of usedAt.
	used   float64
	usedAt time.Time
	// emptyUntil is until when the lender has no permit, and wait and line are what it said of the time after.
	emptyUntil time.Time
	wait       time.Duration
	line       time.Duration
	// contactless are the times at which requests were passed on without a lender.
	contactless []time.Time
}

type permitBatch struct {
	permits int
	expires time.Time
}

// Take uses a permit, and returns the time until which it could have been used. ok is false if there is none.
func (w *Wallet) Take(now time.Time) (expires time.Time, ok bool) {
	w.recordUse(now)
	w.expire(now)
	if len(w.permits) == 0 {
		return time.Time{}, false
	}
	expires = w.permits[0].expires
	if w.permits[0].permits--; w.permits[0].permits == 0 {
		w.permits = w.permits[1:]
	}
	return expires, true
}

// Return gives back the permit of a request that was not passed on. If it has expired, the lender gets it with the next ask:
// only there it is known how many of these the bound allows.
func (w *Wallet) Return(now, expires time.Time) {
	if !now.Before(expires) {
		w.unused++
		return
	}
	w.add(permitBatch{
		permits: 1,
		expires: expires,
	})
}

// add keeps the permits in the order in which they expire.
func (w *Wallet) add(batch permitBatch) {
	i, _ := slices.BinarySearchFunc(w.permits, batch, func(a, b permitBatch) int { return a.expires.Compare(b.expires) })
	w.permits = slices.Insert(w.permits, i, batch)
}

func (w *Wallet) expire(now time.Time) {
	for len(w.permits) > 0 && !now.Before(w.permits[0].expires) {
		w.unused += w.permits[0].permits
		w.permits = w.permits[1:]
	}
}

func (w *Wallet) recordUse(now time.Time) {
	w.used = w.used*math.Exp(-now.Sub(w.usedAt).Seconds()/useTimeConstant.Seconds()) + 1
	w.usedAt = now
}

// Ask returns the ask for a number of waiting requests.
func (w *Wallet) Ask(now time.Time, limits Limits, workspace string, waiting int) Ask {
	w.expire(now)
	ask := Ask{
		Workspace: workspace,
		Need:      waiting,
		Extra:     int(w.used / useTimeConstant.Seconds() * limits.Expiry().Seconds()),
		Back:      w.unused,
	}
	w.unused = 0
	return ask
}

// Receive takes over the rest of a loan after the waiting requests that Need was for have got theirs. Its permits count from
// askedAt, the time of the ask.
func (w *Wallet) Receive(now, askedAt time.Time, limits Limits, loan Loan, rest int) {
	if rest > 0 {
		w.add(permitBatch{
			permits: rest,
			expires: askedAt.Add(limits.Expiry()),
		})
	}
	w.emptyUntil = time.Time{}
	if loan.Wait > 0 {
		w.wait = time.Duration(loan.Wait) * time.Millisecond
		w.line = time.Duration(loan.Line) * time.Millisecond
		w.emptyUntil = now.Add(min(w.wait+time.Duration(holdPart*float64(w.line)), holdTime))
	}
}

// Refusal returns when a refused request should come back; spread from 0 to 1 is its place among the refused ones. ok is
// false if the lender is to be asked.
func (w *Wallet) Refusal(now time.Time, spread float64) (retry time.Duration, ok bool) {
	if !now.Before(w.emptyUntil) {
		return 0, false
	}
	return w.wait + time.Duration(spread*float64(w.line)), true
}

// TakeContactless passes a request on without a lender, within the part of the entry of what the bound leaves for that.
func (w *Wallet) TakeContactless(now time.Time, limits Limits, entries int) bool {
	for len(w.contactless) > 0 && now.Sub(w.contactless[0]) >= limits.Window {
		w.contactless = w.contactless[1:]
	}
	if float64(len(w.contactless)+1) > contactlessPart*limits.room()/float64(max(entries, 1)) {
		return false
	}
	w.contactless = append(w.contactless, now)
	return true
}
