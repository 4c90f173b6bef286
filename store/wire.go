package store

import "net/http"

// Paths of the HTTP API. Every request is a POST with a JSON body.
const (
	pathGet       = "/platform/get"
	pathScan      = "/platform/scan"
	pathCommit    = "/platform/commit"
	pathObjectPut = "/platform/object/put"
	pathObjectGet = "/platform/object/get"
	pathVMs       = "/platform/vms"
)

type getRequest struct {
	Keys []string `json:"keys"`
}

type getResponse struct {
	Rows map[string]Row `json:"rows"`
}

type scanRequest struct {
	Prefix string `json:"prefix"`
}

type scanResponse struct {
	Rows []Row `json:"rows"`
}

// commitResponse has Versions if the transaction was committed, and the rows of Conflict if checks failed.
type commitResponse struct {
	Versions map[string]uint64 `json:"versions,omitempty"`
	Conflict []Row             `json:"conflict,omitempty"`
}

type objectMessage struct {
	Name string `json:"name"`
	Data []byte `json:"data,omitempty"`
}

type vmsResponse struct {
	VMs []VM `json:"vms"`
}

type empty struct{}

// errorResponse is the body of every error response of NewHandler.
type errorResponse struct {
	Kind  string `json:"kind"`
	Error string `json:"error"`
}

// wireErrors maps error kinds to their names and statuses. Ambiguous has none: NewHandler closes the connection
// instead.
var wireErrors = map[ErrorKind]struct {
	name   string
	status int
}{
	Unavailable: {
		name:   "down",
		status: http.StatusServiceUnavailable,
	},
	Throttled: {
		name:   "throttled",
		status: http.StatusTooManyRequests,
	},
	NotFound: {
		name:   "missing",
		status: http.StatusNotFound,
	},
	Invalid: {
		name:   "invalid",
		status: http.StatusBadRequest,
	},
}
