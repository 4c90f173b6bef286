package entry

import (
	"encoding/json"
	"net/http"
	"strings"

	restful "github.com/emicklei/go-restful/v3"

	"skylarkbeam/fleet"
	"skylarkbeam/setting"
)

// callerHandler serves the caller address: the address list under /skylarkbeam/ unless the platform has a directory, and
// calls under all other paths.
func (e *Entry) callerHandler() http.Handler {
	if e.opts.NoAddressList {
		return http.HandlerFunc(e.serveCall)
	}
	container := restful.NewContainer()
	service := new(restful.WebService)
	service.Path(controlPath).Produces(restful.MIME_JSON)
	service.Route(service.GET("addresses").To(e.serveAddresses))
	container.Add(service)
	return routeByPrefix(container, e.serveCall)
}

// controlHandler serves the control address: requests of other entries and operators under /skylarkbeam/, metrics
// under /metrics, and calls relayed by other entries, which have an ID and may have any path.
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
	service.Route(service.POST(allowancePath).To(e.serveAllowance))
	container.Add(e.fleet.Service())
	container.Add(service)
	system := routeByPrefix(container, e.serveRelay)
	views, metrics := e.oneAtATime(system), e.MetricsHandler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Header.Get(headerRequest) != "":
			e.serveRelay(w, r)
		case r.URL.Path == "/metrics":
			metrics.ServeHTTP(w, r)
		case isView(r):
			views.ServeHTTP(w, r)
		default:
			system.ServeHTTP(w, r)
		}
	})
}

// isView reports whether a request reads the state of the entry, such as that of an operator. Those of other entries bound their
// memory themselves.
func isView(r *http.Request) bool {
	return r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, controlPath) && !strings.HasPrefix(r.URL.Path, fleet.PeerPath)
}

// routeByPrefix sends requests under controlPath to one handler and all others to another.
func routeByPrefix(system http.Handler, calls http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(requestPath(r), controlPath) {
			system.ServeHTTP(w, r)
			return
		}
		calls(w, r)
	})
}

// MetricsHandler serves the metrics under /metrics.
func (e *Entry) MetricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", e.oneAtATime(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { e.metrics.WritePrometheus(w) })))
	return mux
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", restful.MIME_JSON)
	if err := json.NewEncoder(w).Encode(value); err != nil {
		// The client has disconnected.
		return
	}
}

// shownSettings returns settings without the keys of workspaces.
func shownSettings(data []byte) []byte {
	settings, err := setting.Parse(data)
	if err != nil || len(settings.Workspaces) == 0 {
		return data
	}
	shown, err := settings.WithoutKeys().Encode()
	if err != nil {
		return nil
	}
	return shown
}

func (e *Entry) serveSettings(_ *restful.Request, resp *restful.Response) {
	state := e.fleet.State()
	writeJSON(resp, struct {
		Version  uint64          `json:"version"`
		Base     uint64          `json:"base"`
		Settings json.RawMessage `json:"settings"`
	}{
		Version:  state.Version,
		Base:     state.BaseVersion,
		Settings: shownSettings(state.Settings),
	})
}
