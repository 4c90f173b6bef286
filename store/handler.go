package store

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/emicklei/go-restful/v3"
)

// maxMessage is the largest request body in bytes. A full transaction of claims with answers of 4 KB has 0.3 MB.
const maxMessage = 16 << 20

// NewHandler serves a Platform over HTTP, for use by a Client. A request that has arrived is carried out even if its
// client goes away. A request that ends as Lost is answered by closing the connection.
func NewHandler(p Platform) http.Handler {
	ws := new(restful.WebService)
	ws.Path("/platform").Consumes(restful.MIME_JSON).Produces(restful.MIME_JSON)
	handle := func(path string, to restful.RouteFunction) {
		ws.Route(ws.POST(path[len("/platform"):]).To(to))
	}
	handle(pathGet, serve(func(ctx context.Context, r getRequest) (getResponse, error) {
		rows, err := p.Get(ctx, r.Keys)
		return getResponse{
			Rows: rows,
		}, err
	}))
	handle(pathScan, serve(func(ctx context.Context, r scanRequest) (scanResponse, error) {
		rows, err := p.Scan(ctx, r.Prefix)
		return scanResponse{
			Rows: rows,
		}, err
	}))
	handle(pathCommit, serve(func(ctx context.Context, tx Transaction) (commitResponse, error) {
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
			panic("unknown result of a commit")
		}
	}))
	handle(pathObjectPut, serve(func(ctx context.Context, o objectMessage) (none, error) {
		return none{}, p.Objects().Put(ctx, o.Name, o.Data)
	}))
	handle(pathObjectGet, serve(func(ctx context.Context, o objectMessage) (objectMessage, error) {
		data, err := p.Objects().Get(ctx, o.Name)
		return objectMessage{
			Name: o.Name,
			Data: data,
		}, err
	}))
	handle(pathVMs, serve(func(ctx context.Context, _ none) (vmsResponse, error) {
		vms, err := p.VMs().List(ctx)
		return vmsResponse{
			VMs: vms,
		}, err
	}))
	return restful.NewContainer().Add(ws)
}

func serve[Request, Response any](call func(context.Context, Request) (Response, error)) restful.RouteFunction {
	return func(req *restful.Request, resp *restful.Response) {
		var request Request
		body := http.MaxBytesReader(resp, req.Request.Body, maxMessage)
		if err := readJSON(body, &request); err != nil {
			writeError(resp, fault(Invalid, err))
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
	return errors.Wrap(decoder.Decode(v), "reading the request")
}

func writeError(w http.ResponseWriter, err error) {
	kind, ok := wireKinds[KindOf(err)]
	if !ok {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, kind.status, errorResponse{
		Kind:  kind.name,
		Error: err.Error(),
	})
}

// writeJSON sends a Content-Length, so that a client can tell a whole answer from one cut short.
func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", restful.MIME_JSON)
	w.WriteHeader(status)
	_, _ = w.Write(data) // The client sees a broken connection and reports Lost.
}
