package store

import "net/http"

// Paths of the HTTP form of the platform. Every request is a POST with a JSON body.
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

// commitResponse has Versions after a commit and Conflict after a conflict.
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

type none struct{}

// errorResponse is the body of every failure that the platform itself reports.
type errorResponse struct {
	Kind  string `json:"kind"`
	Error string `json:"error"`
}

// wireKinds has no Lost: an answer that arrives tells what the request did.
var wireKinds = map[ErrorKind]struct {
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
