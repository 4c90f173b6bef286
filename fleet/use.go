package fleet

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxUse is the number of pairs of service and caller in a message. Eight of about 18 bytes to each of five peers are
	// 0.7 KB/s. The callers that crowd out others are among the largest.
	maxUse = 8
	// hundredth is the unit of Message.Use.
	hundredth = 0.01
	// useTime is how long the use that a peer told of counts. It allows for one lost message.
	useTime = 2500 * time.Millisecond
)

// measureUse takes the use for the messages of one round.
func (f *Fleet) measureUse() {
	if f.opt.Usage == nil {
		return
	}
	use := largest(f.opt.Usage())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.use = use
}

// largest returns the largest uses in hundredths.
func largest(use map[string]map[string]float64) map[string]map[string]int {
	type item struct {
		service, caller string
		slots           float64
	}
	var items []item
	for service, callers := range use {
		for caller, slots := range callers {
			items = append(items, item{
				service: service,
				caller:  caller,
				slots:   slots,
			})
		}
	}
	slices.SortFunc(items, func(a, b item) int {
		return cmp.Or(cmp.Compare(b.slots, a.slots), cmp.Compare(a.service, b.service), cmp.Compare(a.caller, b.caller))
	})
	list := map[string]map[string]int{}
	for _, i := range items[:min(len(items), maxUse)] {
		if list[i.service] == nil {
			list[i.service] = map[string]int{}
		}
		list[i.service][i.caller] = int(i.slots / hundredth)
	}
	return list
}

func (f *Fleet) noteUse(m *Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.peers[m.Entry]; p != nil && p.incarnation == m.Incarnation {
		p.use = m.Use
		p.used = f.now()
	}
}

// PeerUsage returns the sum of what callers use at the other entries, by service and caller. It is false if no other
// entry has been heard lately, in which case nothing is known.
func (f *Fleet) PeerUsage(now time.Time) (sum map[string]map[string]float64, known bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	sum = map[string]map[string]float64{}
	for _, p := range f.peers {
		if now.Sub(p.used) >= useTime {
			continue
		}
		known = true
		for service, callers := range p.use {
			if sum[service] == nil {
				sum[service] = map[string]float64{}
			}
			for caller, use := range callers {
				sum[service][caller] += float64(use) * hundredth
			}
		}
	}
	return sum, known
}
