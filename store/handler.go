package store

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/emicklei/go-restful/v3"
)

// maxRequestBytes is the maximum size of a request body. A transaction with as many claims as fit, each with a stored
// response of 4 KB, has 0.3 MB.
const maxRequestBytes = 16 << 20

// NewHandler serves a Platform over HTTP to a Client. A received request is executed even if its client disconnects. If
// a request ends in an Ambiguous error, the handler closes the connection instead of sending a response.
func NewHandler(p Platform) http.Handler {
	ws := new(restful.WebService)
	ws.Path("/platform").Consumes(restful.MIME_JSON).Produces(restful.MIME_JSON)
	handle := func(path string, to restful.RouteFunction) {
		ws.Route(ws.POST(path[len("/platform"):]).To(to))
	}
	handle(pathGet, routeFunction(func(ctx context.Context, r getRequest) (getResponse, error) {
		rows, err := p.Get(ctx, r.Keys)
		return getResponse{
			Rows: rows,
		}, err
	}))
	handle(pathScan, routeFunction(func(ctx context.Context, r scanRequest) (scanResponse, error) {
		rows, err := p.Scan(ctx, r.Prefix)
		return scanResponse{
			Rows: rows,
		}, err
	}))
	handle(pathCommit, routeFunction(func(ctx context.Context, tx Transaction) (commitResponse, error) {
		result, err := p.Commit(ctx, tx)
		if err != nil {
			return commitResponse{}, err
		}
		switch r := result.(type) {
		case *Committed:
			return commitResponse{
				Versions: r.Versions,
			}, nil
		case *Conflict:
			return commitResponse{
				Conflict: r.Rows,
			}, nil
		default:
			panic("unknown type of commit result")
		}
	}))
	handle(pathObjectPut, routeFunction(func(ctx context.Context, o objectMessage) (empty, error) {
		return empty{}, p.Objects().Put(ctx, o.Name, o.Data)
	}))
	handle(pathObjectGet, routeFunction(func(ctx context.Context, o objectMessage) (objectMessage, error) {
		data, err := p.Objects().Get(ctx, o.Name)
		return objectMessage{
			Name: o.Name,
			Data: data,
		}, err
	}))
	handle(pathVMs, routeFunction(func(ctx context.Context, _ empty) (vmsResponse, error) {
		vms, err := p.VMs().List(ctx)
		return vmsResponse{
			VMs: vms,
		}, err
	}))
	return restful.NewContainer().Add(ws)
}

func routeFunction[Request, Response any](call func(context.Context, Request) (Response, error)) restful.RouteFunction {
	return func(req *restful.Request, resp *restful.Response) {
		var request Request
		body := http.MaxBytesReader(resp, req.Request.Body, maxRequestBytes)
		if err := readJSON(body, &request); err != nil {
			writeError(resp, newError(Invalid, err))
			return
		}
		response, err := call(context.WithoutCancel(req.Request.Context()), request)
		if err != nil {
			writeError(resp, err)
			return
		}
		writeJSON(resp, http.StatusOK, response)
	}
}

func readJSON(r io.Reader, v any) error {
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	return errors.Wrap(decoder.Decode(v), "decode request")
}

func writeError(w http.ResponseWriter, err error) {
	kind, ok := wireErrors[KindOf(err)]
	if !ok {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, kind.status, errorResponse{
		Kind:  kind.name,
		Error: err.Error(),
	})
}

// writeJSON writes the body in one piece, so that net/http sends a Content-Length and a client detects a truncated
// response.
func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", restful.MIME_JSON)
	w.WriteHeader(status)
	_, _ = w.Write(data) // If it fails, the client sees a broken connection and reports Ambiguous.
}
