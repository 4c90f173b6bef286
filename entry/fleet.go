package entry

import (
	"context"
	"time"

	restful "github.com/emicklei/go-restful/v3"

	"skylarkbeam/fleet"
)

// Fleet connects the entry to the other entries. It is implemented by *fleet.Fleet, which agrees with the other
// entries on the accepted state, and by *fleet.Follower, which follows a state that operators write to the platform's
// tables.
type Fleet interface {
	// State, Changed and CanServe return the accepted state and whether it may be used.
	State() *fleet.State
	Changed() <-chan struct{}
	CanServe(now time.Time) bool
	SetContactPolicy(contact time.Duration, serve bool)
	// Apply, Drain and Restore change the accepted state.
	Apply(ctx context.Context, c fleet.Change, settings []byte) fleet.Decision
	Drain(ctx context.Context, c fleet.Change, domains, targets []string) fleet.Decision
	Restore(ctx context.Context, c fleet.Change, domains, targets []string) fleet.Decision
	// Members, PeerUsage and CanProbe depend on the other entries.
	Members() []fleet.Member
	PeerUsage(now time.Time) (usage map[string]map[string]float64, known bool)
	CanProbe(now time.Time) bool
	// Confirm returns once the state includes all changes that were acknowledged before the call. ContactAt returns when
	// the entry last heard of the state, and RefreshContact asks for a sign of it.
	Confirm(ctx context.Context) error
	ContactAt() time.Time
	RefreshContact() error
	// Owns, Owner, WarmInstance and WarmFacts return what is known about cold targets. ReportInstance,
	// ReportColdTransition and AnnounceWarm pass on what this entry has observed.
	Owns(now time.Time, target string) (until time.Time, ok bool)
	Owner(target string) string
	// Rank ranks this entry as a sender of a target with a limit, among the entries that are heard.
	Rank(now time.Time, target, domain string) (rank, entries int)
	WarmInstance(target string) string
	WarmFacts(target string) (warm fleet.Fact, coldTransitions []fleet.Fact)
	ReportInstance(target, instance string)
	ReportColdTransition(target, instance string, coldTransitions int)
	AnnounceWarm(target, instance string, coldTransitions int)
	// Service returns the HTTP service for the other entries.
	Service() *restful.WebService
	Leave()
	Close(ctx context.Context) error
	Done() <-chan struct{}
	Err() error
}
