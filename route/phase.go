package route

import "time"

// Phase is how an entry uses a target at present.
type Phase string

// The phases of a target.
const (
	// Warm targets take calls from all entries.
	Warm Phase = "warm"
	// Cold targets take calls from their owner only.
	Cold Phase = "cold"
	// Ejected targets failed repeatedly and take no calls for a while.
	Ejected Phase = "ejected"
	// Leaving targets said, or the platform said, that they are shutting down.
	Leaving Phase = "leaving"
	// Drained targets were taken out of operation by operators.
	Drained Phase = "drained"
	// Missing means that the table has no such target.
	Missing Phase = ""
)

// Phase returns how this entry uses the target.
func (t *Table) Phase(now time.Time, name string) Phase {
	x := t.view.Load().targets[name]
	if x == nil {
		return Missing
	}
	x.service.mu.Lock()
	defer x.service.mu.Unlock()
	switch {
	case x.Drained:
		return Drained
	case x.leaving:
		return Leaving
	case !x.isWarm():
		return Cold
	case now.Before(x.ejected):
		return Ejected
	}
	return Warm
}
