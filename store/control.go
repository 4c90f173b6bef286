package store

import (
	"net/http"

	"github.com/emicklei/go-restful/v3"
)

// NewControlHandler serves the faults and counters of a Memory, for tests that run it in a separate process:
//
//	GET  /control/faults    returns the faults
//	PUT  /control/faults    replaces the faults, for example {"delay":"5ms","lose":{"next":1},"writes":300}
//	GET  /control/counters  returns the counters
//	PUT  /control/vms       sets the list of VMs, for example [{"name":"entry1","address":"127.0.0.1"}]
func NewControlHandler(m *Memory) http.Handler {
	ws := new(restful.WebService)
	ws.Path("/control").Consumes(restful.MIME_JSON).Produces(restful.MIME_JSON)
	ws.Route(ws.GET("/faults").To(func(_ *restful.Request, resp *restful.Response) {
		writeJSON(resp, http.StatusOK, m.Faults())
	}))
	ws.Route(ws.PUT("/faults").To(putHandler(m.SetFaults)))
	ws.Route(ws.GET("/counters").To(func(_ *restful.Request, resp *restful.Response) {
		writeJSON(resp, http.StatusOK, m.Counters())
	}))
	ws.Route(ws.PUT("/vms").To(putHandler(func(vms []VM) error {
		m.SetVMs(vms)
		return nil
	})))
	return restful.NewContainer().Add(ws)
}

func putHandler[Request any](set func(Request) error) restful.RouteFunction {
	return func(req *restful.Request, resp *restful.Response) {
		var request Request
		err := readJSON(req.Request.Body, &request)
		if err == nil {
			err = set(request)
		}
		if err != nil {
			writeError(resp, newError(Invalid, err))
			return
		}
		writeJSON(resp, http.StatusOK, empty{})
	}
}
