package rollout

// Phase is a phase of a roll-out, which says which versions get requests.
type Phase interface {
	// String returns the name of the phase in messages and in the status row.
	String() string
	sealed()
}

type (
	// Unknown means that no coordinator has named the phase yet.
	Unknown struct{}
	// Trial lets the new version have a bounded part of the requests.
	Trial struct{}
	// Suspended means that there is evidence against the new version, which gets no requests, but the decision has not
	// been written yet.
	Suspended struct{}
	// Promote sends all requests to the new version.
	Promote struct{}
	// Done means that the new version is in service, and that the targets of the others stop.
	Done struct{}
	// RolledBack means that the versions from before stay in service.
	RolledBack struct{}
)

func (Unknown) String() string    { return "" }
func (Trial) String() string      { return "trial" }
func (Suspended) String() string  { return "suspended" }
func (Promote) String() string    { return "promote" }
func (Done) String() string       { return "done" }
func (RolledBack) String() string { return "rolled_back" }

func (Unknown) sealed()    {}
func (Trial) sealed()      {}
func (Suspended) sealed()  {}
func (Promote) sealed()    {}
func (Done) sealed()       {}
func (RolledBack) sealed() {}

// ParsePhase returns the phase with a name, or Unknown if there is none.
func ParsePhase(name string) Phase {
	for _, p := range []Phase{Trial{}, Suspended{}, Promote{}, Done{}, RolledBack{}} {
		if p.String() == name {
			return p
		}
	}
	return Unknown{}
}

// IsFinal reports whether the roll-out has ended.
func IsFinal(p Phase) bool {
	switch p.(type) {
	case Done, RolledBack:
		return true
	}
	return false
}

// rank orders the phases: a roll-out only advances. Of two final phases neither follows the other.
func rank(p Phase) int {
	switch p.(type) {
	case Trial:
		return 1
	case Suspended:
		return 2
	case Promote:
		return 3
	case Done, RolledBack:
		return 4
	}
	return 0
}

// follows reports whether a roll-out may go from one phase to another.
func follows(next, current Phase) bool { return rank(next) > rank(current) }
