package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"skylarkbeam/outcome"
)

const (
	// queueSlots is the length of a target's queue in multiples of its slots; beyond it the target sheds.
	queueSlots = 3
	// coldFactor is how much slower calls are in a cold start.
	coldFactor = 2.0
	// restartTime is how long a target that restarts answers nothing.
	restartTime = 200 * time.Millisecond
	// staleness is the age of reports in the misleading scenario.
	staleness = 500 * time.Millisecond
)

// target is a small fake of a target: slots, a queue, a cold start, shedding and reports.
type target struct {
	sim   *sim
	index int
	rand  *rand.Rand

	life     int
	instance string
	up       bool
	coldness time.Duration // end of the cold start
	running  []*attempt
	queue    []*attempt
	slow     float64
	failing  bool
	history  []stamped

	calls      int
	violations int
}

// stamped is a report with the time at which it was true.
type stamped struct {
	at     time.Duration
	report outcome.Report
}

// live begins a process of the target.
func (t *target) live(life int) {
	t.life = life
	t.instance = fmt.Sprintf("t%d.%d", t.index, life)
}

func (t *target) cold() bool {
	return t.sim.now < t.coldness
}

// arrive takes a call that an entry has sent.
func (t *target) arrive(a *attempt) {
	switch {
	case a.canceled:
	case !t.up:
		a.reply(reply{
			kind: dead,
		})
	case a.instance != "" && a.instance != t.instance:
		a.reply(reply{
			kind:   otherInstance,
			report: t.report(),
		})
	case t.failing:
		t.calls++
		t.sim.after(200*time.Microsecond, func() {
			a.reply(reply{
				kind: failed,
				report: outcome.Report{
					Instance: t.instance,
					Phase:    outcome.PhaseWarm,
					Slots:    t.sim.config.Shape.Slots,
				},
			})
		})
	case len(t.running) < t.sim.config.Shape.Slots:
		t.calls++
		t.run(a)
	case len(t.queue) < queueSlots*t.sim.config.Shape.Slots:
		t.calls++
		t.queue = append(t.queue, a)
	default:
		a.reply(reply{
			kind:   shed,
			report: t.report(),
		})
	}
	if t.cold() && t.up && len(t.running)+len(t.queue) > t.sim.config.ColdConcurrency {
		t.violations++
	}
}

// run holds a slot for the time of the call.
func (t *target) run(a *attempt) {
	t.running = append(t.running, a)
	const sigma = 0.5
	work := float64(t.sim.config.Shape.MeanServiceTime) * math.Exp(t.rand.NormFloat64()*sigma-sigma*sigma/2) * t.slow
	if t.cold() {
		work *= coldFactor
	}
	life := t.life
	t.sim.after(time.Duration(work), func() {
		if t.life != life || !t.remove(a) {
			return
		}
		t.next()
		a.reply(reply{
			kind:   answered,
			report: t.report(),
		})
	})
}

// remove takes the attempt out of the running calls; false if it was canceled before.
func (t *target) remove(a *attempt) bool {
	i := slices.Index(t.running, a)
	if i < 0 {
		return false
	}
	t.running = slices.Delete(t.running, i, i+1)
	return true
}

// next fills free slots from the queue.
func (t *target) next() {
	for len(t.queue) > 0 && len(t.running) < t.sim.config.Shape.Slots {
		a := t.queue[0]
		t.queue = t.queue[1:]
		t.run(a)
	}
}

// cancel frees the slot or the place in the queue of an attempt that the entry gave up.
func (t *target) cancel(a *attempt) {
	if t.remove(a) {
		t.next()
		return
	}
	if i := slices.Index(t.queue, a); i >= 0 {
		t.queue = slices.Delete(t.queue, i, i+1)
	}
}

// report returns what the target says of itself.
func (t *target) report() outcome.Report {
	r := outcome.Report{
		Instance: t.instance,
		Phase:    outcome.PhaseWarm,
		Active:   len(t.running),
		Slots:    t.sim.config.Shape.Slots,
		Queued:   len(t.queue),
	}
	if t.cold() {
		r.Phase = outcome.PhaseCold
	}
	if t.sim.config.Scenario != StaleReports {
		return r
	}
	t.history = append(t.history, stamped{
		at:     t.sim.now,
		report: r,
	})
	for len(t.history) > 1 && t.history[1].at <= t.sim.now-staleness {
		t.history = t.history[1:]
	}
	old := t.history[0].report
	if t.index < 3 {
		old.Active, old.Queued = 0, 0
	}
	return old
}

// fall lets the target vanish for a time and return cold. The calls in it break.
func (t *target) fall(absence time.Duration) {
	if !t.up {
		return
	}
	t.up = false
	t.live(t.life + 1)
	broken := slices.Concat(t.running, t.queue)
	t.running, t.queue = nil, nil
	for _, a := range broken {
		a.reply(reply{
			kind: broke,
		})
	}
	t.sim.after(absence, func() {
		t.up = true
		t.coldness = t.sim.now + t.sim.config.ColdDuration
	})
}

// disturb lets neighbours halve the speed of the target now and then.
func (t *target) disturb() {
	quiet := time.Duration(t.rand.ExpFloat64() * float64(400*time.Millisecond))
	busy := time.Duration(t.rand.ExpFloat64() * float64(60*time.Millisecond))
	t.sim.after(quiet, func() {
		t.slow = 2
		t.sim.after(busy, func() {
			t.slow = 1
			t.disturb()
		})
	})
}
