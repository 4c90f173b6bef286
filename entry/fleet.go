package entry

import (
	"context"
	"time"

	restful "github.com/emicklei/go-restful/v3"

	"skylarkbeam/fleet"
)

// Fleet is the entry's part in the fleet of entries: *fleet.Fleet, which decides with the other entries on the accepted
// state, or *fleet.Follower, which follows what an operator writes elsewhere.
type Fleet interface {
	// State, Changed and Contact tell what is in force and whether it may be used.
	State() *fleet.State
	Changed() <-chan struct{}
	CanServe(now time.Time) bool
	SetContactPolicy(contact time.Duration, serve bool)
	// Apply, Drain and Restore change it.
	Apply(ctx context.Context, c fleet.Change, settings []byte) fleet.Decision
	Drain(ctx context.Context, c fleet.Change, domains, targets []string) fleet.Decision
	Restore(ctx context.Context, c fleet.Change, domains, targets []string) fleet.Decision
	// Members, Elsewhere and Probes tell of the other entries.
	Members() []fleet.Member
	PeerUsage(now time.Time) (sum map[string]map[string]float64, known bool)
	CanProbe(now time.Time) bool
	// Owns, Owner, Warm and Known tell of cold targets; Sighting, Fell and Announce pass on what this entry saw of them.
	Owns(now time.Time, target string) (until time.Time, ok bool)
	Owner(target string) string
	WarmInstance(target string) string
	WarmFacts(target string) (warm fleet.Fact, fallen []fleet.Fact)
	ReportInstance(target, instance string)
	ReportColdTransition(target, instance string, falls int)
	AnnounceWarm(target, instance string, falls int)
	// Service is for the other entries.
	Service() *restful.WebService
	Leave()
	Close(ctx context.Context) error
	Done() <-chan struct{}
	Err() error
}
