package entry

// Fell tells the entry that a target has fallen cold, as another entry does.
func (e *Entry) Fell(target, instance string, falls int) {
	e.table.SetFalls(e.timers.Now(), target, instance, falls)
}

// ProbeCold is the periodic look at cold targets.
func (e *Entry) ProbeCold() { e.probeCold() }
