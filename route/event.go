package route

import "time"

// Event is a change of a target: Fell and Warmed, which other entries must learn, Absent and Returned. It is nil if there is
// none.
type Event interface{ event() }

// Fell means that this entry has seen an instance of the target that is not known to be warm. The owner must be told. If
// the entry took another instance or this one for warm until then, Former is that instance and Falls how often it has
// fallen with this; then all entries must be told, because they may take it for warm as well.
type Fell struct {
	Target   string
	Instance string
	Former   string
	Falls    int
}

// Warmed means that this entry, the owner, has seen the instance through its cold start after so many falls. It must be
// announced.
type Warmed struct {
	Target   string
	Instance string
	Falls    int
}

// Absent means that a registered target has stopped to answer load reads, and Returned that it answers again.
type Absent struct {
	Target string
}

// Returned means that an absent target answers again.
type Returned struct {
	Target string
	// Away is how long it was absent.
	Away time.Duration
}

func (Fell) event()     {}
func (Warmed) event()   {}
func (Absent) event()   {}
func (Returned) event() {}
