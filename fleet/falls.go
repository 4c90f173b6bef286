package fleet

import (
	"maps"
	"time"
)

const (
	// pushInterval is the least time between two extra rounds of exchanges, so that the falls of many targets at once
	// share messages.
	pushInterval = 50 * time.Millisecond
	// maxFalls bounds the falls in one message. A failure domain of 100 targets takes four messages to each peer.
	maxFalls = 25
)

// fallenInstance is an instance of a target that was warm.
type fallenInstance struct {
	target   string
	instance string
}

// ReportColdTransition tells all entries, without waiting for the next round of exchanges, that an instance that was warm is not any more,
// and how often it has fallen with this. Until an entry knows, it sends calls to the target as if it was warm.
func (f *Fleet) ReportColdTransition(target, instance string, falls int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := fallenInstance{
		target:   target,
		instance: instance,
	}
	if falls <= f.fallen[e] {
		return
	}
	f.fallen[e] = falls
	for _, p := range f.peers {
		p.fell[e] = falls
	}
	f.wakePush()
}

// wakePush wakes pushFalls. A wake-up that is already pending covers this one.
func (f *Fleet) wakePush() {
	select {
	case f.fallsPending <- struct{}{}:
	default:
	}
}

// pushFalls exchanges with the peers that have not confirmed a fall. One that does not answer is told again with the next
// round.
func (f *Fleet) pushFalls() {
	defer f.tasks.Done()
	for {
		select {
		case <-f.fallsPending:
		case <-f.ctx.Done():
			return
		}
		for _, to := range f.unconfirmed() {
			f.tasks.Add(1)
			go func() {
				defer f.tasks.Done()
				f.exchange(f.ctx, to)
			}()
		}
		pause := time.NewTimer(pushInterval)
		select {
		case <-pause.C:
		case <-f.ctx.Done():
			pause.Stop()
			return
		}
	}
}

func (f *Fleet) unconfirmed() []address {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var list []address
	for name, p := range f.peers {
		if len(p.fell) > 0 {
			list = append(list, address{
				name:    name,
				control: f.roster.Members[name].Control,
			})
		}
	}
	return list
}

// pendingFalls returns what a peer has not confirmed, as far as it fits into a message. The caller holds the lock.
func (p *peer) pendingFalls() []Fact {
	var list []Fact
	for e, falls := range p.fell {
		if len(list) == maxFalls {
			break
		}
		list = append(list, e.fact(falls))
	}
	return list
}

// confirmFalls removes what a peer has confirmed. The caller holds the lock.
func (f *Fleet) confirmFalls(p *peer, list []Fact) {
	for _, x := range list {
		e := x.key()
		if p.fell[e] == x.Falls {
			delete(p.fell, e)
		}
	}
	if len(p.fell) > 0 {
		f.wakePush()
	}
}

// mergeFalls takes over the falls of a message. Peers need not be told of them: the sender tells all.
func (f *Fleet) mergeFalls(list []Fact) {
	for _, x := range list {
		// The sender may not have heard yet that the instance is warm again.
		if f.warm.covers(x) {
			continue
		}
		f.mu.Lock()
		news := x.Falls > f.fallen[x.key()]
		if news {
			f.fallen[x.key()] = x.Falls
		}
		f.mu.Unlock()
		if news && f.opt.OnColdTransition != nil {
			f.opt.OnColdTransition(x.Target, x.Instance, x.Falls)
		}
	}
}

// forgetFalls forgets the falls that a warm fact supersedes.
func (f *Fleet) forgetFalls(x Fact) {
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.fallen, func(e fallenInstance, falls int) bool {
		return e.target == x.Target && (e.instance != x.Instance || falls <= x.Falls)
	})
}

func (f Fact) key() fallenInstance {
	return fallenInstance{
		target:   f.Target,
		instance: f.Instance,
	}
}

func (e fallenInstance) fact(falls int) Fact {
	return Fact{
		Target:   e.target,
		Instance: e.instance,
		Falls:    falls,
	}
}

// WarmFacts returns the latest warm instance of the target with its falls, and the falls since. The instance is empty if none
// is known.
func (f *Fleet) WarmFacts(target string) (warm Fact, fallen []Fact) {
	f.warm.mu.RLock()
	if known := f.warm.known[target]; known != nil {
		warm = known.Fact
	}
	f.warm.mu.RUnlock()
	f.mu.RLock()
	defer f.mu.RUnlock()
	for e, falls := range f.fallen {
		if e.target == target {
			fallen = append(fallen, e.fact(falls))
		}
	}
	return warm, fallen
}
