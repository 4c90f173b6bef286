package main

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// commandAt runs an operator's command against one entry.
func (p *processes) commandAt(e *entryProcess, name string, args ...string) (string, error) {
	full := append([]string{name, "-entry", e.control}, args...)
	out, err := exec.Command(filepath.Join(p.dir, "skylarkbeam"), full...).CombinedOutput()
	return string(out), err
}

// Guards against two operators who both get "accepted" for changes that exclude each other, against a conflict that does
// not say who was faster, and against an accepted change that is lost when all entry processes are replaced. The control
// sends the second change with the version that the first one became, and both are accepted.
func TestOperatorsRaceAcrossProcesses(t *testing.T) {
	t.Parallel()
	p := startSetup(t, setup{
		extra: `{}`,
		apart: true,
	})
	base := fmt.Sprint(p.status(p.entries[0]).BaseVersion)
	domains := []string{"cairns", "mackay"}
	outputs := make([]string, 2)
	accepted := make([]bool, 2)
	var operators sync.WaitGroup
	for i, domain := range domains {
		operators.Go(func() {
			out, err := p.commandAt(p.entries[i], "drain", "-who", "operator-"+domain, "-base", base, "domain="+domain)
			outputs[i], accepted[i] = out, err == nil
		})
	}
	operators.Wait()
	t.Logf("outputs: %q", outputs)
	assert.Assert(t, accepted[0] != accepted[1], "%q", outputs)
	winner := slices.Index(accepted, true)
	loser := outputs[1-winner]
	assert.Assert(t, strings.Contains(loser, "conflict"), loser)
	assert.Assert(t, strings.Contains(loser, "operator-"+domains[winner]), loser)
	assert.Assert(t, strings.Contains(loser, "drain "+domains[winner]), loser)

	// A process at the control address of a killed one proves that this one has ended. At other addresses no change would
	// be accepted, because the killed ones could be alive (docs/membership.md).
	for i, e := range slices.Clone(p.entries) {
		p.kill(e)
		p.entries[i] = p.startEntryAt(e.name, e.domain, e.caller, e.control)
	}
	p.untilDrained("each new process has the accepted change", domains[winner])

	// Control: with the present version as its base the other change is accepted too.
	p.until("the other change is accepted", func() bool {
		out, err := p.commandAt(p.entries[0], "drain", "domain="+domains[1-winner])
		t.Logf("control: %s", out)
		return err == nil
	})
	p.untilDrained("both changes are in force everywhere", domains...)
}

// untilDrained waits until the drained domains are exactly these at all entries.
func (p *processes) untilDrained(what string, domains ...string) {
	p.t.Helper()
	p.until(what, func() bool {
		return !slices.ContainsFunc(p.entries, func(e *entryProcess) bool {
			s := p.status(e)
			return s == nil || !slices.Equal(s.DrainedDomains, domains)
		})
	})
}
