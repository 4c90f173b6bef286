package route

import "time"

// Event is a change of a target: Fell and Warmed, which other entries must learn, Absent and Returned. It is nil if there is
// none.
type Event interface{ event() }

// ColdDetected means that this entry has seen an instance of the target that is not known to be warm. The owner must be told. If
// the entry took another instance or this one for warm until then, Former is that instance and Falls how often it has
// fallen with this; then all entries must be told, because they may take it for warm as well.
type ColdDetected struct {
	Target           string
	Instance         string
	PreviousInstance string
	ColdTransitions  int
}

// Warmed means that this entry, the owner, has seen the instance through its cold start after so many falls. It must be
// announced.
type Warmed struct {
	Target          string
	Instance        string
	ColdTransitions int
}

// Unreachable means that a registered target has stopped to answer load reads, and Returned that it answers again.
type Unreachable struct {
	Target string
}

// Recovered means that an absent target answers again.
type Recovered struct {
	Target string
	// Downtime is how long it was absent.
	Downtime time.Duration
}

func (ColdDetected) event() {}
func (Warmed) event()       {}
func (Unreachable) event()  {}
func (Recovered) event()    {}
