package entry

// Fell tells the entry that a target has fallen cold, as another entry does.
func (e *Entry) Fell(target, instance string, falls int) {
	e.table.SetFalls(e.timers.Now(), target, instance, falls)
}

// ProbeCold is the periodic look at cold targets.
func (e *Entry) ProbeCold() { e.probeCold() }

// TakeProbes sets the quota of probes of a registered target, a second, and returns how many it allows at once.
func (e *Entry) TakeProbes(name string, quota int) int {
	now := e.timers.Now()
	b := e.budget(now, name, quota, true)
	n := 0
	for {
		if _, ok := b.Take(now); !ok {
			return n
		}
		n++
	}
}
