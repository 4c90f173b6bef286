package fleet

import (
	"sync"
	"time"
)

// Members learn the state and the incarnation of a member from its own greetings only, which go to few of them. Where
// workspaces have a rate, the entries have to agree on the lenders: for seven seconds after a restart, a part of them took the
// restarted entry for one that leaves, and two entries lent the permits of a workspace. An entry that has restarted
// therefore greets all members.

const (
	// restartNotices is how often it does so, because it may not know all of them at first.
	restartNotices = 3
	// restartNoticeInterval is the time between these.
	restartNoticeInterval = 400 * time.Millisecond
)

// restartNotice plans the greetings with which an entry tells all members that it has restarted.
type restartNotice struct {
	mu    sync.Mutex
	known bool
	left  int
	next  time.Time
}

// record records that a member knew a former process of this entry.
func (n *restartNotice) record(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.known {
		n.known, n.left, n.next = true, restartNotices, now
	}
}

// due reports whether all members are to be greeted now.
func (n *restartNotice) due(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.left == 0 || now.Before(n.next) {
		return false
	}
	n.left--
	n.next = now.Add(restartNoticeInterval)
	return true
}

// knowsFormer reports whether this entry knows a former process of the one that greets it, where that matters.
func (f *Follower) knowsFormer(g *Greeting) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	m := f.members[g.Entry]
	if m == nil || m.record.Incarnation == "" || m.record.Incarnation == g.Record.Incarnation {
		return false
	}
	settings := f.state.Load().ParsedSettings
	if settings == nil {
		return false
	}
	for _, w := range settings.Workspaces {
		if w.Rate > 0 {
			return true
		}
	}
	return false
}
