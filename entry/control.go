package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
	restful "github.com/emicklei/go-restful/v3"

	"skylarkbeam/fleet"
	"skylarkbeam/outcome"
	"skylarkbeam/route"
	"skylarkbeam/setting"
)

const (
	// changeTimeout bounds the time of a change of the accepted state.
	changeTimeout = 15 * time.Second
	// maxChange is the largest body of a change in bytes.
	maxChange = 16 << 20
)

// callerHandler serves the caller address: the address list under /skylarkbeam/, calls under all other paths.
func (e *Entry) callerHandler() http.Handler {
	container := restful.NewContainer()
	service := new(restful.WebService)
	service.Path(controlPath).Produces(restful.MIME_JSON)
	service.Route(service.GET("addresses").To(e.serveAddresses))
	container.Add(service)
	return split(container, e.serveCall)
}

// controlHandler serves the control address: peers, operators and metrics under /skylarkbeam/, and calls that other
// entries pass on under all other paths.
func (e *Entry) controlHandler() http.Handler {
	container := restful.NewContainer()
	service := new(restful.WebService)
	service.Path(controlPath).Produces(restful.MIME_JSON)
	service.Route(service.GET("addresses").To(e.serveAddresses))
	service.Route(service.GET("status").To(e.serveStatus))
	service.Route(service.GET("settings").To(e.serveSettings))
	service.Route(service.PUT("settings").To(e.serveApply))
	service.Route(service.POST("drain").To(e.serveDrain))
	service.Route(service.POST("restore").To(e.serveRestore))
	container.Add(e.fleet.Service())
	container.Add(service)
	relays := split(container, e.serveRelay)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/metrics" {
			e.counters.Write(w)
			return
		}
		relays.ServeHTTP(w, r)
	})
}

// split sends the paths of the system itself to one handler and all others to another.
func split(system http.Handler, calls http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if len(r.URL.Path) >= len(controlPath) && r.URL.Path[:len(controlPath)] == controlPath {
			system.ServeHTTP(w, r)
			return
		}
		calls(w, r)
	})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", restful.MIME_JSON)
	if err := json.NewEncoder(w).Encode(value); err != nil {
		// The client has gone; nobody is left to tell.
		return
	}
}

// Status is what an entry tells operators about itself.
type Status struct {
	Entry   string   `json:"entry"`
	Domain  string   `json:"domain"`
	Contact bool     `json:"contact"`
	Leaving bool     `json:"leaving"`
	Version uint64   `json:"version"`
	Base    uint64   `json:"base"`
	Who     string   `json:"who"`
	What    string   `json:"what"`
	When    string   `json:"when"`
	Domains []string `json:"domains"`
	Targets []string `json:"targets"`
	Members []member `json:"members"`
	Tasks   []task   `json:"tasks"`
	Phases  []phase  `json:"phases"`
	// Counts are the counters of refusals, retries and outcomes that are not zero.
	Counts map[string]uint64 `json:"counts"`
	// Events are the last changes of state, the oldest first.
	Events []Event `json:"events"`
}

type member struct {
	Name    string           `json:"name"`
	Domain  string           `json:"domain"`
	State   string           `json:"state"`
	Version uint64           `json:"version"`
	Heard   setting.Duration `json:"heard"`
}

type task struct {
	Name     string           `json:"name"`
	Interval setting.Duration `json:"interval"`
}

type phase struct {
	Target   string `json:"target"`
	Service  string `json:"service"`
	Owner    string `json:"owner"`
	Warm     string `json:"warm"`
	Instance string `json:"instance"`
	// Phase is what the target said last, Use how this entry uses it.
	Phase outcome.Phase `json:"phase"`
	Use   string        `json:"use"`
}

func (e *Entry) serveStatus(_ *restful.Request, resp *restful.Response) {
	writeJSON(resp, e.Status())
}

// Status returns what the entry knows and does at this moment.
func (e *Entry) Status() Status {
	now := e.timers.Now()
	state := e.fleet.State()
	s := Status{
		Entry:   e.opts.Name,
		Domain:  e.opts.Domain,
		Contact: e.fleet.Contact(now),
		Leaving: e.leaving.Load(),
		Version: state.Version,
		Base:    state.Base,
		Who:     state.Who,
		What:    state.What,
		Domains: append([]string{}, state.Domains...),
		Targets: append([]string{}, state.Targets...),
	}
	if !state.When.IsZero() {
		s.When = state.When.UTC().Format(time.RFC3339)
	}
	for _, m := range e.fleet.Members() {
		row := member{
			Name:    m.Name,
			Domain:  m.Domain,
			State:   string(m.State),
			Version: m.Version,
		}
		if !m.Heard.IsZero() {
			row.Heard = setting.Duration(now.Sub(m.Heard).Round(time.Millisecond))
		}
		s.Members = append(s.Members, row)
	}
	for _, t := range e.timers.Tasks() {
		s.Tasks = append(s.Tasks, task{
			Name:     t.Name,
			Interval: setting.Duration(t.Interval),
		})
	}
	s.Phases = e.phases()
	s.Counts = e.counters.nonzero()
	s.Events = e.journal.list()
	return s
}

func (e *Entry) phases() []phase {
	v := e.view.Load()
	uses := map[string]string{}
	for _, s := range e.table.Status(e.timers.Now()) {
		uses[s.Target] = useOf(s)
	}
	var rows []phase
	for serviceName, s := range v.services {
		for name := range s.spec.Targets {
			report, _ := v.pools[name].Report()
			rows = append(rows, phase{
				Target:   name,
				Service:  serviceName,
				Owner:    e.fleet.Owner(name),
				Warm:     e.fleet.Warm(name),
				Instance: report.Instance,
				Phase:    report.Phase,
				Use:      uses[name],
			})
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Target < rows[j].Target })
	return rows
}

// useOf says how the entry uses a target.
func useOf(s route.Status) string {
	switch {
	case !s.Operating:
		return "drained or leaving"
	case !s.Warm:
		return "cold"
	case !s.Ejected.IsZero():
		return "ejected after failures"
	}
	return "warm"
}

func (e *Entry) serveSettings(_ *restful.Request, resp *restful.Response) {
	state := e.fleet.State()
	writeJSON(resp, struct {
		Version  uint64          `json:"version"`
		Base     uint64          `json:"base"`
		Settings json.RawMessage `json:"settings"`
	}{
		Version:  state.Version,
		Base:     state.Base,
		Settings: state.Settings,
	})
}

// Change is a request of an operator to change the accepted state.
type Change struct {
	// ID identifies the change; a request that is sent again with the same ID never makes it twice.
	ID string `json:"id"`
	// Base is the version of the state that the operator has seen.
	Base     uint64          `json:"base"`
	Who      string          `json:"who"`
	Settings json.RawMessage `json:"settings,omitempty"`
	Domains  []string        `json:"domains,omitempty"`
	Targets  []string        `json:"targets,omitempty"`
}

// Verdict is the answer to a Change.
type Verdict struct {
	// Result is accepted, conflict, refused or undecided.
	Result  string   `json:"result"`
	Version uint64   `json:"version,omitempty"`
	Behind  []string `json:"behind,omitempty"`
	Who     string   `json:"who,omitempty"`
	What    string   `json:"what,omitempty"`
	Reason  string   `json:"reason,omitempty"`
}

// Apply changes the accepted settings, as the command does.
func (e *Entry) Apply(ctx context.Context, c fleet.Change, settings []byte) fleet.Decision {
	return e.fleet.Apply(ctx, c, settings)
}

func (e *Entry) serveApply(req *restful.Request, resp *restful.Response) {
	e.change(req, resp, func(ctx context.Context, c *Change) fleet.Decision {
		return e.Apply(ctx, c.change(), c.Settings)
	})
}

func (e *Entry) serveDrain(req *restful.Request, resp *restful.Response) {
	e.change(req, resp, func(ctx context.Context, c *Change) fleet.Decision {
		if err := e.known(c); err != nil {
			return &fleet.Refused{
				Reason: err.Error(),
			}
		}
		return e.fleet.Drain(ctx, c.change(), c.Domains, c.Targets)
	})
}

func (e *Entry) serveRestore(req *restful.Request, resp *restful.Response) {
	e.change(req, resp, func(ctx context.Context, c *Change) fleet.Decision {
		return e.fleet.Restore(ctx, c.change(), c.Domains, c.Targets)
	})
}

func (c *Change) change() fleet.Change {
	return fleet.Change{
		ID:   c.ID,
		Base: c.Base,
		Who:  c.Who,
	}
}

// known refuses names that are not in the settings, so that a typing error does not pass for a drain.
func (e *Entry) known(c *Change) error {
	v := e.view.Load()
	if v.settings == nil {
		return errors.New("no settings are in force")
	}
	for _, name := range c.Domains {
		if _, ok := v.settings.Domains[name]; !ok {
			return errors.Newf("failure domain %q does not exist", name)
		}
	}
	for _, name := range c.Targets {
		if _, ok := v.pools[name]; !ok {
			return errors.Newf("target %q does not exist", name)
		}
	}
	return nil
}

func (e *Entry) change(req *restful.Request, resp *restful.Response, apply func(context.Context, *Change) fleet.Decision) {
	var c Change
	data, err := io.ReadAll(io.LimitReader(req.Request.Body, maxChange))
	if err == nil {
		err = json.Unmarshal(data, &c)
	}
	if err != nil || c.ID == "" || c.Who == "" {
		http.Error(resp, "a change needs a JSON body with id, base and who", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(req.Request.Context(), changeTimeout)
	defer cancel()
	verdict, status := verdictOf(apply(ctx, &c))
	resp.Header().Set("Content-Type", restful.MIME_JSON)
	resp.WriteHeader(status)
	json.NewEncoder(resp).Encode(verdict)
}

// verdictOf returns the wire form of a decision and its HTTP status.
func verdictOf(d fleet.Decision) (Verdict, int) {
	switch d := d.(type) {
	case *fleet.Accepted:
		return Verdict{
			Result:  "accepted",
			Version: d.Version,
			Behind:  d.Behind,
		}, http.StatusOK
	case *fleet.Conflict:
		return Verdict{
			Result:  "conflict",
			Version: d.Version,
			Who:     d.Who,
			What:    d.What,
		}, http.StatusConflict
	case *fleet.Refused:
		return Verdict{
			Result: "refused",
			Reason: d.Reason,
		}, http.StatusUnprocessableEntity
	case *fleet.Undecided:
		return Verdict{
			Result: "undecided",
			Reason: "the platform has not told whether the change was made; send it again with the same id",
		}, http.StatusServiceUnavailable
	default:
		panic(errors.AssertionFailedf("unknown decision %T", d))
	}
}

// checkSettings is what the fleet asks before it accepts settings.
func checkSettings(data []byte) error {
	settings, err := setting.Parse(data)
	if err != nil {
		return errors.Wrap(err, "reading settings")
	}
	return settings.Validate().Err()
}
