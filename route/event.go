package route

import "time"

// Event is a change of a target: ColdDetected and Warmed, which other entries must learn, Unreachable, Recovered,
// LimitNamed, LimitEnded, InvalidStatement, SaysLeaving or Paused. It is nil if nothing changed.
type Event interface{ event() }

// ColdDetected means that this entry has seen an instance of the target that is not known to be warm. The owner must be
// told. If the entry considered another instance, or this one, to be warm until then, PreviousInstance names it and
// ColdTransitions is its number of cold transitions including this one. All entries must then be told, because they may
// consider it warm as well.
type ColdDetected struct {
	Target           string
	Instance         string
	PreviousInstance string
	ColdTransitions  int
}

// Warmed means that this entry, the owner, has completed the cold start of the instance after the given number of cold
// transitions. It must be announced to the other entries.
type Warmed struct {
	Target          string
	Instance        string
	ColdTransitions int
}

// Unreachable means that a registered target has stopped answering load reads.
type Unreachable struct {
	Target string
}

// Recovered means that an unreachable target answers again.
type Recovered struct {
	Target string
	// Downtime is how long the target was unreachable.
	Downtime time.Duration
}

// LimitNamed means that a target has named a limit, or another one than before.
type LimitNamed struct {
	Target string
	// Rate is in calls per second, over all entries.
	Rate float64
}

// LimitEnded means that a target no longer names a limit.
type LimitEnded struct {
	Target string
	// Duration is how long the limit was known.
	Duration time.Duration
}

// SaysLeaving means that a target has said in a response that it is leaving.
type SaysLeaving struct {
	Target string
}

// Paused means that a target wants nothing from this entry for a while.
type Paused struct {
	Target string
	Pause  time.Duration
}

// InvalidStatement means that a target has named a limit or a pause that cannot be read.
type InvalidStatement struct {
	Target string
	Text   string
}

func (ColdDetected) event()     {}
func (Warmed) event()           {}
func (Unreachable) event()      {}
func (Recovered) event()        {}
func (LimitNamed) event()       {}
func (LimitEnded) event()       {}
func (InvalidStatement) event() {}
func (SaysLeaving) event()      {}
func (Paused) event()           {}
