package memory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1000, 0)

// Guards against more than the limit in any order of events, except one body that is larger, and against reservations that
// wait although there is room, are overtaken, or are lost. The load is that of bodies of all sizes whose senders leave.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 100
		b := NewBudget(Limits{
			Large:       limit,
			Small:       limit,
			Responses:   limit,
			Heads:       limit,
			Requests:    limit,
			Connections: 1,
		})
		var waiting, held []*Reservation
		var garbage []int64
		settle := func() {
			for len(waiting) > 0 && waiting[0].IsGranted() {
				held = append(held, waiting[0])
				waiting = waiting[1:]
			}
			sum := int64(0)
			for _, r := range held {
				sum += r.bytes
			}
			for _, n := range garbage {
				sum += n
			}
			u := b.Usage(Large)
			assert.Equal(t, u.Held+u.Garbage, sum)
			assert.Equal(t, u.Waiting, len(waiting))
			assert.Assert(t, sum <= limit || len(held)+len(garbage) == 1, "%d bytes", sum)
			for _, r := range waiting {
				assert.Assert(t, !r.IsGranted(), "overtakes another one")
			}
			if len(waiting) > 0 {
				assert.Assert(t, sum > 0 && sum+waiting[0].bytes > limit, "waits although there is room")
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				r := b.Reserve(epoch, Large, rapid.Int64Range(1, 130).Draw(t, "bytes"))
				assert.Equal(t, r == nil, len(waiting) == maxWaiters)
				if r != nil {
					waiting = append(waiting, r)
				}
			},
			"withdraw": func(t *rapid.T) {
				if len(waiting) > 0 {
					i := rapid.IntRange(0, len(waiting)-1).Draw(t, "index")
					assert.Assert(t, b.Withdraw(epoch, waiting[i]))
					waiting = append(waiting[:i:i], waiting[i+1:]...)
				}
			},
			"release": func(t *rapid.T) {
				if len(held) > 0 {
					i := rapid.IntRange(0, len(held)-1).Draw(t, "index")
					r := held[i]
					b.Release(epoch, r, r.bytes)
					b.Release(epoch, r, r.bytes) // Counts once.
					garbage = append(garbage, r.bytes)
					held = append(held[:i:i], held[i+1:]...)
				}
			},
			"shrink": func(t *rapid.T) {
				if len(held) > 0 {
					r := held[rapid.IntRange(0, len(held)-1).Draw(t, "index")]
					b.Shrink(epoch, r, rapid.Int64Range(1, r.bytes).Draw(t, "bytes"))
				}
			},
			"freed": func(*rapid.T) {
				if len(garbage) > 0 {
					b.Freed(epoch, Large, garbage[0])
					garbage = garbage[1:]
				}
			},
			"": func(*rapid.T) { settle() },
		})
	})
}

// Guards against small bodies that wait behind large ones.
func TestSmallBesideLarge(t *testing.T) {
	b := NewBudget(DeriveLimits(184<<20, 0))
	for range 5 {
		assert.Assert(t, b.Reserve(epoch, Large, 64<<20) != nil)
	}
	assert.Equal(t, b.Usage(Large).Waiting, 4)
	assert.Assert(t, b.Reserve(epoch, Small, SmallBody).IsGranted())
}

// Guards against a time to retry that does not follow what is held and how long it is held.
func TestRetryAfter(t *testing.T) {
	b := NewBudget(DeriveLimits(184<<20, 0))
	now := epoch
	for range 100 {
		r := b.Reserve(now, Large, 64<<20)
		now = now.Add(2 * time.Second)
		b.Release(now, r, 0)
	}
	alone := b.RetryAfter(Large, 64<<20)
	for range 3 {
		b.Reserve(now, Large, 64<<20)
	}
	behind := b.RetryAfter(Large, 64<<20)
	assert.Assert(t, alone > time.Second && alone < 3*time.Second, "%s", alone)
	assert.Assert(t, behind > 5*time.Second && behind < 9*time.Second, "%s", behind)
}

// Guards against defaults that do not fit the machines of the deployments, which have 184 to 804 MB.
func TestDeriveLimits(t *testing.T) {
	for _, machine := range []int64{184 << 20, 674 << 20, 804 << 20} {
		l := DeriveLimits(machine, 0)
		assert.NilError(t, l.Validate(machine, 0))
		assert.Assert(t, l.Large >= 64<<20+1<<20)
		assert.Assert(t, l.Connections >= 700)
	}
	l := DeriveLimits(184<<20, 0)
	l.Large *= 2
	assert.ErrorContains(t, l.Validate(184<<20, 0), "three quarters")
	l.Large = 0
	assert.ErrorContains(t, l.Validate(184<<20, 0), "above 0")
}

// Guards against more connections than there are descriptors, on the smallest machine and on one with few descriptors, and against a
// limit that leaves none.
func TestDescriptors(t *testing.T) {
	for _, descriptors := range []int{4100, 1000, 201, 10} {
		l := DeriveLimits(184<<20, descriptors)
		assert.NilError(t, l.Validate(184<<20, descriptors))
		assert.Assert(t, l.Connections > 0 && l.Targets > 0)
		assert.Assert(t, descriptors < 1000 || 200+l.Connections+l.Targets <= descriptors-descriptors/10)
		l.SetConnections(2*descriptors, descriptors)
		assert.Equal(t, l.Targets, 1)
		l.Targets = descriptors
		assert.ErrorContains(t, l.Validate(4<<30, descriptors), "descriptors")
	}
	l := DeriveLimits(184<<20, 4100)
	assert.Assert(t, l.Targets >= 2000)
}

// Guards against a sender on a link of 10 Mbit/s that is taken for a slow one, alone or beside 18 others, and against one that
// stops or trickles and keeps its memory.
func TestProgress(t *testing.T) {
	send := func(bytesPerSecond float64, total int) (time.Duration, bool) {
		var p Progress
		elapsed := time.Duration(0)
		for received := 0; received < total; {
			n := min(1460, total-received)
			wait := time.Duration(float64(n) / bytesPerSecond * float64(time.Second))
			if wait > p.Left() {
				return elapsed + p.Left(), false
			}
			p.Record(n, wait)
			elapsed += wait
			received += n
		}
		return elapsed, true
	}
	const link = 10e6 / 8
	for _, senders := range []float64{1, 8, 19} {
		_, ok := send(link/senders, 64<<20)
		assert.Assert(t, ok, "%g senders", senders)
	}
	elapsed, ok := send(1000, 64<<20)
	assert.Assert(t, !ok && elapsed <= progressWindow, "%s", elapsed)
}
