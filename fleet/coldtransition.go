package fleet

import (
	"maps"
	"time"
)

const (
	// minPushInterval is the minimum time between two extra rounds of exchanges, so that simultaneous cold transitions
	// of many targets share messages.
	minPushInterval = 50 * time.Millisecond
	// maxTransitionsPerMessage limits the cold transitions in one message. A failure domain with 100 targets takes four
	// messages to each peer.
	maxTransitionsPerMessage = 25
)

// instanceKey identifies an instance of a target.
type instanceKey struct {
	target   string
	instance string
}

// ReportColdTransition tells all entries that an instance has gone from warm back to cold without a restart of its
// process, and how often it has done so by now. It does not wait for the next round of exchanges, because an entry
// that does not know yet sends calls to the target as if it were warm.
func (f *Fleet) ReportColdTransition(target, instance string, transitions int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := instanceKey{
		target:   target,
		instance: instance,
	}
	if transitions <= f.coldTransitions[key] {
		return
	}
	f.coldTransitions[key] = transitions
	for _, p := range f.peers {
		p.pendingTransitions[key] = transitions
	}
	f.triggerPush()
}

// triggerPush wakes pushTransitions. A pending wake-up covers later ones.
func (f *Fleet) triggerPush() {
	select {
	case f.pushDue <- struct{}{}:
	default:
	}
}

// pushTransitions exchanges messages with the peers that have not confirmed a cold transition. A peer that does not
// reply is told again in the next round.
func (f *Fleet) pushTransitions() {
	defer f.tasks.Done()
	for {
		select {
		case <-f.pushDue:
		case <-f.ctx.Done():
			return
		}
		for _, to := range f.unconfirmedPeers() {
			f.tasks.Add(1)
			go func() {
				defer f.tasks.Done()
				f.exchange(f.ctx, to)
			}()
		}
		delay := time.NewTimer(minPushInterval)
		select {
		case <-delay.C:
		case <-f.ctx.Done():
			delay.Stop()
			return
		}
	}
}

func (f *Fleet) unconfirmedPeers() []peerAddress {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var list []peerAddress
	for name, p := range f.peers {
		if len(p.pendingTransitions) > 0 {
			list = append(list, peerAddress{
				name:    name,
				control: f.roster.Members[name].Control,
			})
		}
	}
	return list
}

// transitionsToSend returns the cold transitions that the peer has not confirmed, up to the limit of one message. The
// caller holds the lock.
func (p *peer) transitionsToSend() []Fact {
	var list []Fact
	for key, transitions := range p.pendingTransitions {
		if len(list) == maxTransitionsPerMessage {
			break
		}
		list = append(list, key.fact(transitions))
	}
	return list
}

// confirmTransitions removes the cold transitions that the peer has confirmed. The caller holds the lock.
func (f *Fleet) confirmTransitions(p *peer, list []Fact) {
	for _, transition := range list {
		instance := transition.key()
		if p.pendingTransitions[instance] == transition.Falls {
			delete(p.pendingTransitions, instance)
		}
	}
	if len(p.pendingTransitions) > 0 {
		f.triggerPush()
	}
}

// mergeTransitions merges the cold transitions of a message. They need not be passed on, because the sender tells all
// peers itself.
func (f *Fleet) mergeTransitions(list []Fact) {
	for _, transition := range list {
		// The sender may not know yet that the instance has become warm again.
		if f.warm.coversTransition(transition) {
			continue
		}
		f.mu.Lock()
		newer := transition.Falls > f.coldTransitions[transition.key()]
		if newer {
			f.coldTransitions[transition.key()] = transition.Falls
		}
		f.mu.Unlock()
		if newer && f.opt.OnColdTransition != nil {
			f.opt.OnColdTransition(transition.Target, transition.Instance, transition.Falls)
		}
	}
}

// dropSuperseded removes the cold transitions that a warm fact supersedes.
func (f *Fleet) dropSuperseded(warm Fact) {
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.coldTransitions, func(key instanceKey, transitions int) bool {
		return key.target == warm.Target && (key.instance != warm.Instance || transitions <= warm.Falls)
	})
}

func (f Fact) key() instanceKey {
	return instanceKey{
		target:   f.Target,
		instance: f.Instance,
	}
}

func (key instanceKey) fact(transitions int) Fact {
	return Fact{
		Target:   key.target,
		Instance: key.instance,
		Falls:    transitions,
	}
}

// WarmFacts returns the latest warm instance of the target with its number of cold transitions, and the cold
// transitions since. The instance is empty if none is known.
func (f *Fleet) WarmFacts(target string) (warm Fact, transitions []Fact) {
	f.warm.mu.RLock()
	if known := f.warm.byTarget[target]; known != nil {
		warm = known.Fact
	}
	f.warm.mu.RUnlock()
	f.mu.RLock()
	defer f.mu.RUnlock()
	for key, count := range f.coldTransitions {
		if key.target == target {
			transitions = append(transitions, key.fact(count))
		}
	}
	return warm, transitions
}
