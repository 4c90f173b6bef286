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

// maxMemberSilence is the time after which an entry that has not been heard from is left out of address lists.
const maxMemberSilence = 3 * time.Second

// address is an entry of the address list.
type address struct {
	Address netip.AddrPort `json:"address"`
	Domain  string         `json:"domain"`
}

// serveAddresses returns the entries that a caller may use, those in its own failure domain first, and how long it
// may use them.
func (e *Entry) serveAddresses(req *restful.Request, resp *restful.Response) {
	writeJSON(resp, struct {
		Addresses []address        `json:"addresses"`
		Keep      setting.Duration `json:"keep"`
	}{
		Addresses: e.addresses(req.QueryParameter("domain")),
		Keep:      setting.Duration(e.AddressTTL()),
	})
}

// addresses returns the available entries: those in the given failure domain, then all others. Each group is in
// random order to spread the callers.
func (e *Entry) addresses(domain string) []address {
	local, remote := []address{}, []address{}
	for _, m := range e.AvailableMembers() {
		a := address{
			Address: m.Caller,
			Domain:  m.Domain,
		}
		if m.Domain == domain {
			local = append(local, a)
		} else {
			remote = append(remote, a)
		}
	}
	for _, list := range [][]address{local, remote} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	return append(local, remote...)
}

// AvailableMembers returns the members to which callers may be directed.
func (e *Entry) AvailableMembers() []fleet.Member {
	now := e.timers.Now()
	return slices.DeleteFunc(e.fleet.Members(), func(m fleet.Member) bool { return !e.available(now, m) })
}

func (e *Entry) available(now time.Time, m fleet.Member) bool {
	if m.State != fleet.RecordStateActive {
		return false
	}
	if m.Name == e.opts.Name {
		return e.Ready()
	}
	return now.Sub(m.LastHeard) < maxMemberSilence
}
