package main

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// probeBudget is two probes a second for each of the 6 entries.
const probeBudget = 12

func (p *processes) largestWindow(targets []string) (largest int, name string) {
	for _, target := range targets {
		if w := p.counts(target).MaxLoadReadsPerSecond; w >= largest {
			largest, name = w, target
		}
	}
	return largest, name
}

// Guards against more probes of a target in any second than agreed, summed over all entries, while targets restart
// often, and entries are killed, replaced under the same name, and paused while another process takes over their name.
// The targets count by themselves. The negative control has as many probers that each use the whole budget.
func TestProbeBudget(t *testing.T) {
	t.Parallel()
	p := startProcesses(t, `{"services":{"availability":{"probes":12},"reservations":{"probes":12},"documents":{"probes":12}}}`)
	t.Logf("seed %d", seed)
	all := p.targetsIn(func(_, _ string) bool { return true })
	// The settings came into force after the entries had started with the same budget, so nothing is exempt.
	calls := p.mixedLoad(4, func(*entryProcess, result) {})
	restarts := startLoad(p.t, 1, func(_, _ int, random *rand.Rand) {
		p.restart(all[random.IntN(len(all))], false)
		time.Sleep(40 * time.Millisecond)
	})
	paused := p.entry(3)
	for range 3 {
		p.kill(p.entry(2))
		p.replace(2)
		time.Sleep(1500 * time.Millisecond)
	}
	p.pause(paused)
	p.replace(3)
	// The replacement uses its quota from 5 s after its start.
	time.Sleep(6500 * time.Millisecond)
	p.wake(paused)
	time.Sleep(2 * time.Second)
	calls.stop()
	restarts.stop()
	largest, name := p.largestWindow(all)
	total := 0
	for _, target := range all {
		total += p.counts(target).LoadReads
	}
	t.Logf("budget %d: most probes of a target in a second %d (%s), %d probes in all", probeBudget, largest, name, total)
	assert.Assert(t, largest <= probeBudget)
	assert.Assert(t, total > 0)
	p.control(name, "POST", "reset", "")
	client := newClient(time.Second)
	uncoordinated := startLoad(p.t, 6, func(_, _ int, _ *rand.Rand) {
		resp, err := client.Get("http://" + p.targets[name] + "/skylarkbeam/load")
		if assert.Check(t, err) {
			resp.Body.Close()
		}
		time.Sleep(time.Second / probeBudget)
	})
	time.Sleep(1500 * time.Millisecond)
	uncoordinated.stop()
	largest, _ = p.largestWindow([]string{name})
	t.Logf("negative control, six probers with the whole budget each: %d in a second", largest)
	assert.Assert(t, largest > probeBudget)
}
