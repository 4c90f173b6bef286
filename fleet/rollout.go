package fleet

import (
	"context"
	"net/http"
	"net/netip"
	"sync"

	"github.com/cespare/xxhash/v2"
	restful "github.com/emicklei/go-restful/v3"

	"skylarkbeam/rollout"
)

// rolloutPath is the path below PeerPath that takes reports about roll-outs.
const rolloutPath = "/rollout"

// RolloutStore holds the status rows of roll-outs. Each method sends one call. After an error, a write may have been
// performed, or may be performed later.
type RolloutStore interface {
	// ReadRollout returns the status row of a service.
	ReadRollout(ctx context.Context, service string) (rollout.Stored, error)
	// WriteRollout writes the status row of a service if it still has the version, 0 for absent.
	WriteRollout(ctx context.Context, service string, row rollout.Row, version uint64) (rollout.Stored, error)
}

// rolloutHandler handles the reports of other entries.
type rolloutHandler struct {
	mu     sync.RWMutex
	handle func(*rollout.Report) *rollout.Reply
}

// HandleRollouts sets the function that handles the reports of other entries about roll-outs.
func (f *Follower) HandleRollouts(handle func(*rollout.Report) *rollout.Reply) {
	f.rollouts.mu.Lock()
	defer f.rollouts.mu.Unlock()
	f.rollouts.handle = handle
}

// RolloutStore returns the store of the status rows, nil if there is none.
func (f *Follower) RolloutStore() RolloutStore { return f.opt.Rollouts }

// Incarnation returns the ID of this process.
func (f *Follower) Incarnation() string { return f.self.Incarnation }

// Coordinator is the entry that coordinates the roll-outs of a service.
type Coordinator struct {
	Name    string
	Address netip.AddrPort
	// IsSelf is set if it is this entry.
	IsSelf bool
}

// RolloutCoordinator returns the coordinator of a service: the first member by the hash of its name and the service,
// among those that are heard and reach the store. While none reaches it, all that are heard are considered, because
// evidence must be gathered then as well. It is empty for a moment after the start, before the others are known.
func (f *Follower) RolloutCoordinator(service string) Coordinator {
	now := f.now()
	f.mu.RLock()
	defer f.mu.RUnlock()
	var best [2]Coordinator // of the members that reach the store, and of the others
	var highest [2]uint64
	consider := func(c Coordinator, detached bool) {
		i := 0
		if detached {
			i = 1
		}
		score := xxhash.Sum64String("rollout\x00" + service + "\x00" + c.Name)
		if best[i].Name == "" || score > highest[i] || score == highest[i] && c.Name < best[i].Name {
			best[i], highest[i] = c, score
		}
	}
	if !f.leaving && now.Sub(f.startedAt) >= startupDelay {
		consider(Coordinator{
			Name:   f.opt.Name,
			IsSelf: true,
		}, f.self.Detached)
	}
	for name, m := range f.members {
		if m.record.State == RecordStateActive && now.Sub(m.heardAt) < ownerTimeout {
			consider(Coordinator{
				Name:    name,
				Address: m.record.Control,
			}, m.record.Detached)
		}
	}
	if best[0].Name != "" {
		return best[0]
	}
	return best[1]
}

// RolloutMembers returns the members that are heard, this entry included, and the number of members that are not known to
// have left. A member that is leaving is one of them for as long as it is heard, because its calls still run.
func (f *Follower) RolloutMembers() (heard []rollout.Member, known int) {
	now := f.now()
	f.mu.RLock()
	defer f.mu.RUnlock()
	heard = append(heard, rollout.Member{
		Name:        f.opt.Name,
		Incarnation: f.self.Incarnation,
	})
	known = 1
	for name, m := range f.members {
		isHeard := now.Sub(m.heardAt) < ownerTimeout
		if m.record.State != RecordStateActive && !(m.record.State == RecordStateLeaving && isHeard) {
			continue
		}
		known++
		if isHeard {
			heard = append(heard, rollout.Member{
				Name:        name,
				Incarnation: m.record.Incarnation,
			})
		}
	}
	return heard, known
}

// ReportRollout sends a report to the coordinator of a roll-out.
func (f *Follower) ReportRollout(ctx context.Context, to netip.AddrPort, r *rollout.Report) (*rollout.Reply, error) {
	client, ok := f.opt.Transport.(RolloutTransport)
	if !ok {
		return &rollout.Reply{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return client.ReportRollout(ctx, to, r)
}

// RolloutTransport sends reports about roll-outs to other entries. *Client implements it.
type RolloutTransport interface {
	ReportRollout(ctx context.Context, to netip.AddrPort, r *rollout.Report) (*rollout.Reply, error)
}

// ReportRollout sends a report about a roll-out to a peer.
func (c *Client) ReportRollout(ctx context.Context, to netip.AddrPort, r *rollout.Report) (*rollout.Reply, error) {
	var reply rollout.Reply
	err := c.do(ctx, http.MethodPost, to, PeerPath+rolloutPath, encode(r), MaxMessageBytes, &reply)
	return &reply, err
}

func (f *Follower) serveRollout(req *restful.Request, resp *restful.Response) {
	var r rollout.Report
	if err := f.large.decode(req.Request, &r); err != nil || r.Entry == "" || r.Service == "" {
		http.Error(resp, "malformed report", http.StatusBadRequest)
		return
	}
	f.rollouts.mu.RLock()
	handle := f.rollouts.handle
	f.rollouts.mu.RUnlock()
	if handle == nil || f.ctx.Err() != nil {
		http.Error(resp, "the entry handles no roll-outs", http.StatusServiceUnavailable)
		return
	}
	writeJSON(resp, handle(&r))
}
