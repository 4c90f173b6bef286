package fleet

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxUsagePairs limits the pairs of service and caller in a message. Eight pairs of about 18 bytes to each of five
	// peers are 0.7 KB/s. The callers that take slots from others are among the largest.
	maxUsagePairs = 8
	// usageUnit is the unit of Message.Use, in slots.
	usageUnit = 0.01
	// usageTimeout is how long the usage reported by a peer is valid. It allows for one lost message.
	usageTimeout = 2500 * time.Millisecond
)

// measureUsage measures the usage for the messages of one round.
func (f *Fleet) measureUsage() {
	if f.opt.Usage == nil {
		return
	}
	usage := largestUsage(f.opt.Usage())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.usage = usage
}

// largestUsage returns the largest usages in units of usageUnit.
func largestUsage(usage map[string]map[string]float64) map[string]map[string]int {
	type item struct {
		service, caller string
		slots           float64
	}
	var items []item
	for service, callers := range usage {
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
	for _, i := range items[:min(len(items), maxUsagePairs)] {
		if list[i.service] == nil {
			list[i.service] = map[string]int{}
		}
		list[i.service][i.caller] = int(i.slots / usageUnit)
	}
	return list
}

func (f *Fleet) recordUsage(m *Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.peers[m.Entry]; p != nil && p.incarnation == m.Incarnation {
		p.usage = m.Use
		p.usageAt = f.now()
	}
}

// PeerUsage returns the sum of the slots that callers use at the other entries, by service and caller. It returns
// false if no other entry has been heard recently, so that nothing is known.
func (f *Fleet) PeerUsage(now time.Time) (sum map[string]map[string]float64, known bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	sum = map[string]map[string]float64{}
	for _, p := range f.peers {
		if now.Sub(p.usageAt) >= usageTimeout {
			continue
		}
		known = true
		for service, callers := range p.usage {
			if sum[service] == nil {
				sum[service] = map[string]float64{}
			}
			for caller, units := range callers {
				sum[service][caller] += float64(units) * usageUnit
			}
		}
	}
	return sum, known
}
