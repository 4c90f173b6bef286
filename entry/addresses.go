package entry

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	restful "github.com/emicklei/go-restful/v3"

	"skylarkbeam/fleet"
	"skylarkbeam/setting"
)

// heardLimit is how long an entry may be unheard before callers are no longer sent to it.
const heardLimit = 3 * time.Second

// address is one address that a caller may use.
type address struct {
	Address netip.AddrPort `json:"address"`
	Domain  string         `json:"domain"`
}

// serveAddresses tells a caller which entries to use, those in its own failure domain first, and for how long.
func (e *Entry) serveAddresses(req *restful.Request, resp *restful.Response) {
	writeJSON(resp, struct {
		Addresses []address        `json:"addresses"`
		Keep      setting.Duration `json:"keep"`
	}{
		Addresses: e.addresses(req.QueryParameter("domain")),
		Keep:      setting.Duration(e.AddressTTL()),
	})
}

// addresses lists the entries in operation, in random order within each of the two groups so that callers spread.
func (e *Entry) addresses(domain string) []address {
	near, far := []address{}, []address{}
	for _, m := range e.AvailableMembers() {
		a := address{
			Address: m.Caller,
			Domain:  m.Domain,
		}
		if m.Domain == domain {
			near = append(near, a)
		} else {
			far = append(far, a)
		}
	}
	for _, list := range [][]address{near, far} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	return append(near, far...)
}

// AvailableMembers returns the members to which callers may be sent.
func (e *Entry) AvailableMembers() []fleet.Member {
	now := e.timers.Now()
	return slices.DeleteFunc(e.fleet.Members(), func(m fleet.Member) bool { return !e.usable(now, m) })
}

func (e *Entry) usable(now time.Time, m fleet.Member) bool {
	if m.State != fleet.RecordStateActive {
		return false
	}
	if m.Name == e.opts.Name {
		return e.Ready()
	}
	return now.Sub(m.LastHeard) < heardLimit
}
