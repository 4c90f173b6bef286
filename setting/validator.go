package setting

import (
	"fmt"
	"maps"
	"net/netip"
	"net/url"
	"path"
	"slices"
	"strings"
	"time"
)

const (
	// minContact is the interval at which entries poll the table and exchange with peers: an entry that stops sooner
	// stops between two successful polls.
	minContact = time.Second
	// maxContact keeps a drained failure domain from getting new work 5 s after the change, as the design states. One
	// second is left for the poll.
	maxContact = 4 * time.Second

	// shareTolerance is the excess over 1 that rounding can give to shares that add up to 1 in decimal notation.
	shareTolerance = 1e-9

	// ownPath is the prefix of the paths that an entry answers itself.
	ownPath = "/skylarkbeam"
)

// Validate returns every reason why the settings cannot be accepted. It does not know their files; (*Folder).Validate
// returns the same faults with files.
func (s *Settings) Validate() Violations {
	data, err := s.Encode()
	if err != nil {
		return Violations{
			{
				Reason: err.Error(),
			},
		}
	}
	m := newMerger()
	m.add("", data)
	folder, err := m.folder()
	if err != nil {
		return Violations{
			{
				Reason: err.Error(),
			},
		}
	}
	return folder.Validate()
}

// validator checks what the schema cannot express. It leaves out faults that only follow from a value that the schema
// refused.
type validator struct {
	settings *Settings
	refused  map[string]bool
	faults   Violations
}

func newValidator(settings *Settings, refused Violations) *validator {
	v := &validator{
		settings: settings,
		refused:  map[string]bool{},
	}
	for _, fault := range refused {
		v.refused[fault.Field] = true
	}
	return v
}

func (v *validator) run() {
	v.present()
	v.names()
	v.addresses()
	v.references()
	v.paths()
	v.routes()
	v.workspaces()
	for _, name := range sortedKeys(v.settings.Services) {
		v.service(join("services", name), v.settings.Services[name])
	}
	for _, name := range sortedKeys(v.settings.Classes) {
		v.deadline(join("classes", name)+".deadline", v.settings.Classes[name].Deadline)
	}
	v.shares()
	v.contact()
}

// refuse adds a fault in field unless field or one of the other fields that the fault depends on was refused before.
func (v *validator) refuse(field string, others []string, format string, args ...any) {
	if v.refused[field] || slices.ContainsFunc(others, func(other string) bool { return v.refused[other] }) {
		return
	}
	v.faults = append(v.faults, Violation{
		Field:  field,
		Reason: fmt.Sprintf(format, args...),
	})
}

// present refuses settings with which no call could be answered.
func (v *validator) present() {
	s := v.settings
	empty := map[string]bool{
		"entries":  len(s.Entries) == 0,
		"services": len(s.Services) == 0,
		"callers":  len(s.Callers) == 0,
	}
	for field, isEmpty := range empty {
		if isEmpty {
			v.refuse(field, nil, "must have at least one")
		}
	}
}

// names refuses names that operators cannot tell apart. Target names are compared over all services, because operators
// drain targets by name.
func (v *validator) names() {
	s := v.settings
	v.distinct("entries", sortedKeys(s.Entries))
	v.distinct("domains", sortedKeys(s.Domains))
	v.distinct("services", sortedKeys(s.Services))
	v.distinct("classes", sortedKeys(s.Classes))
	v.distinct("callers", sortedKeys(s.Callers))
	v.distinct("workspaces", sortedKeys(s.Workspaces))
	seen := map[string]string{}
	for _, service := range sortedKeys(s.Services) {
		v.distinctFrom(seen, join("services", service)+".targets", sortedKeys(s.Services[service].Targets))
	}
}

func (v *validator) distinct(field string, names []string) {
	v.distinctFrom(map[string]string{}, field, names)
}

// distinctFrom adds names to seen, which has the full path of each name by its lower-case form.
func (v *validator) distinctFrom(seen map[string]string, field string, names []string) {
	for _, name := range names {
		here := join(field, name)
		lower := strings.ToLower(name)
		if other, ok := seen[lower]; ok {
			v.refuse(here, nil, "has the same name as %s; case does not count", other)
			continue
		}
		seen[lower] = here
	}
}

// addresses refuses addresses that cannot be connected to and addresses that are used twice.
func (v *validator) addresses() {
	seen := map[netip.AddrPort]string{}
	for _, name := range sortedKeys(v.settings.Entries) {
		entry := v.settings.Entries[name]
		field := join("entries", name)
		v.address(seen, field+".caller", entry.Caller)
		if entry.Control == entry.Caller {
			v.refuse(field+".control", []string{field + ".caller"}, "must differ from the caller address of the same entry")
			continue
		}
		v.address(seen, field+".control", entry.Control)
	}
	for _, name := range sortedKeys(v.settings.Services) {
		targets := v.settings.Services[name].Targets
		for _, target := range sortedKeys(targets) {
			v.address(seen, join(join("services", name)+".targets", target)+".address", targets[target].Address)
		}
	}
}

func (v *validator) address(seen map[netip.AddrPort]string, field string, address netip.AddrPort) {
	if !address.IsValid() || address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast() {
		v.refuse(field, nil, "%s is not an address that can be connected to", address)
		return
	}
	// An IPv4 address and its IPv6-mapped form are one address.
	key := netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
	if other, ok := seen[key]; ok {
		v.refuse(field, nil, "%s is also the address in %s", address, other)
		return
	}
	seen[key] = field
}

// references refuses names of failure domains and classes that do not exist.
func (v *validator) references() {
	s := v.settings
	for name, entry := range s.Entries {
		v.domain(join("entries", name)+".domain", entry.Domain)
	}
	for service := range s.Services {
		for name, target := range s.Services[service].Targets {
			v.domain(join(join("services", service)+".targets", name)+".domain", target.Domain)
		}
	}
	for name, caller := range s.Callers {
		if _, ok := s.Classes[caller.Class]; !ok {
			others := []string{"classes", join("classes", caller.Class)}
			v.refuse(join("callers", name)+".class", others, "unknown class %q", caller.Class)
		}
	}
}

func (v *validator) domain(field, domain string) {
	if _, ok := v.settings.Domains[domain]; !ok {
		v.refuse(field, []string{"domains", join("domains", domain)}, "unknown failure domain %q", domain)
	}
}

// paths refuses prefixes that no request can match and prefixes that match the same request.
func (v *validator) paths() {
	names := sortedKeys(v.settings.Services)
	for i, name := range names {
		field := join("services", name) + ".path"
		prefix := v.settings.Services[name].Path
		if prefix == "" {
			if !v.routed(name) {
				v.refuse(field, []string{"routes"}, "is missing, and no route leads to the service")
			}
			continue
		}
		if !strings.HasPrefix(prefix, "/") || path.Clean(prefix) != prefix || strings.ContainsAny(prefix, "?#%\\ \t\r\n") {
			v.refuse(field, nil, "%q is not a path prefix such as \"/stock\"", prefix)
			continue
		}
		if under(prefix, ownPath) {
			v.refuse(field, nil, "%s is answered by the entries themselves", ownPath)
		}
		for _, other := range names[:i] {
			otherPrefix := v.settings.Services[other].Path
			if otherPrefix == "" {
				continue
			}
			if under(prefix, otherPrefix) || under(otherPrefix, prefix) {
				others := []string{join("services", other) + ".path"}
				v.refuse(field, others, "%s overlaps with %s of service %s", prefix, otherPrefix, other)
			}
		}
	}
}

// routed tells whether a route leads to the service.
func (v *validator) routed(service string) bool {
	for _, route := range v.settings.Routes {
		if _, ok := route.Parts[service]; ok {
			return true
		}
	}
	return false
}

// routes refuses routes that no request can match, that match the same requests as another one, or that lead nowhere.
func (v *validator) routes() {
	seen := map[string]string{}
	for _, name := range sortedKeys(v.settings.Routes) {
		route := v.settings.Routes[name]
		field := join("routes", name)
		if route.Host == "" || strings.ContainsAny(route.Host, ":/ \t\r\n") {
			v.refuse(field+".host", nil, "%q is not a host name without a port", route.Host)
		}
		clean := path.Clean(route.Path)
		if clean != "/" {
			clean += "/"
		}
		if route.Path != clean || !strings.HasPrefix(route.Path, "/") || strings.ContainsAny(route.Path, "?#\\ \t\r\n") || !encoded(route.Path) {
			v.refuse(field+".path", nil, "%q is not a path prefix such as \"/stock/\"", route.Path)
		}
		if under(strings.TrimSuffix(route.Path, "/"), ownPath) {
			v.refuse(field+".path", nil, "%s is answered by the entries themselves", ownPath)
		}
		key := strings.ToLower(route.Host) + route.Path
		if other, ok := seen[key]; ok {
			v.refuse(field+".path", []string{other + ".path", field + ".host", other + ".host"}, "is also the path of %s", other)
		}
		seen[key] = field
		v.parts(field, route)
		if route.Aim > route.Deadline {
			v.refuse(field+".aim", []string{field + ".deadline"}, "%s is above the deadline of the route, %s", route.Aim, route.Deadline)
		}
	}
}

// encoded reports whether each percent sign in a path begins an encoded byte (RFC 3986, 2.1).
func encoded(path string) bool {
	_, err := url.PathUnescape(path)
	return err == nil
}

func (v *validator) parts(field string, route Route) {
	if len(route.WeightedServices()) == 0 {
		v.refuse(field+".parts", nil, "must have at least one service with a weight above 0")
	}
	for _, service := range sortedKeys(route.Parts) {
		if _, ok := v.settings.Services[service]; !ok {
			others := []string{"services", join("services", service)}
			v.refuse(join(field+".parts", service), others, "unknown service %q", service)
		}
	}
}

// service refuses promises that one service cannot keep.
func (v *validator) service(field string, s Service) {
	if len(s.Targets) == 0 {
		v.refuse(field+".targets", nil, "must have at least one")
	}
	if entries := len(v.settings.Entries); s.Probes < entries {
		v.refuse(field+".probes", nil, "%d probes are less than one for each of %d entries", s.Probes, entries)
	}
	if entries := len(v.settings.Entries); s.Connections < entries {
		v.refuse(field+".connections", nil, "%d connections are less than one for each of %d entries", s.Connections, entries)
	}
	if s.Work > s.Deadline {
		v.refuse(field+".work", []string{field + ".deadline"}, "%s is above the deadline of the service, %s", s.Work, s.Deadline)
	}
	for i, method := range s.Once {
		if slices.Contains(s.Once[:i], method) {
			v.refuse(field+".once", nil, "%s is listed twice", method)
		}
	}
	v.bear(field, s)
}

func (v *validator) bear(field string, s Service) {
	others := []string{field + ".slots"}
	if s.Cold.Bear > s.Slots {
		v.refuse(field+".cold.bear", others, "%d is above the slots of the service, %d", s.Cold.Bear, s.Slots)
	}
	others = append(others, field+".cold", field+".cold.bear")
	for name, target := range s.Targets {
		inherited := target.Bear == s.Cold.Bear && target.Slots == s.Slots
		if here := join(field+".targets", name); target.Bear > target.Slots && !inherited {
			v.refuse(here+".bear", append(others, here+".slots"), "%d is above the slots of the target, %d", target.Bear, target.Slots)
		}
	}
}

// deadline refuses the deadline of a class that a service cannot meet or does not allow.
func (v *validator) deadline(field string, deadline Duration) {
	for name, service := range v.settings.Services {
		here := join("services", name)
		if deadline < service.Work {
			v.refuse(field, []string{here + ".work"}, "%s is below the work of service %s, %s", deadline, name, service.Work)
		}
		if deadline > service.Deadline {
			v.refuse(field, []string{here + ".deadline"}, "%s is above the deadline of service %s, %s", deadline, name, service.Deadline)
		}
	}
}

// shares refuses shares that cannot all be given at once.
func (v *validator) shares() {
	sum := 0.0
	// The order is fixed, because the sum of floating-point numbers depends on it.
	for _, name := range sortedKeys(v.settings.Callers) {
		sum += v.settings.Classes[v.settings.Callers[name].Class].Share
	}
	if sum > 1+shareTolerance {
		v.refuse("classes", nil, "the shares of all callers add up to %.4g, more than 1", sum)
	}
}

func (v *validator) contact() {
	contact := time.Duration(v.settings.Limits.Contact)
	if contact <= minContact || contact > maxContact {
		v.refuse("limits.contact", nil, "must be above %s, the interval of polls, and at most %s, not %s", minContact, maxContact, contact)
	}
}

// under reports whether a request path equals prefix or has it as its first segments.
func under(requestPath, prefix string) bool {
	rest, ok := strings.CutPrefix(requestPath, prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
