package caller

import (
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

var errTarget = errors.New("the request names no path")

// normalizeTarget brings the target of a request into origin form, in RequestURI: the path and the query, byte for byte as
// they were sent. It refuses the other forms (RFC 9112, 3.2), none of which can belong to a route.
func normalizeTarget(req *http.Request) error {
	if req.Method == http.MethodConnect || req.URL.User != nil {
		// The authority form, and a user in a target of HTTP (RFC 9110, 4.2.4).
		return errTarget
	}
	target := req.RequestURI
	if scheme, rest, ok := strings.Cut(target, "://"); ok && (strings.EqualFold(scheme, "http") || strings.EqualFold(scheme, "https")) {
		// The absolute form, whose host http.ReadRequest has taken.
		target = rest[min(len(rest), len(req.URL.Host)):]
		switch {
		case !strings.HasPrefix(rest, req.URL.Host):
			return errTarget
		case target == "" && req.Method == http.MethodOptions:
			return errTarget // Another way to write "*" (RFC 9112, 3.2.4).
		case target == "" || target[0] == '?':
			target = "/" + target
		}
	}
	if !strings.HasPrefix(target, "/") {
		return errTarget
	}
	req.RequestURI = target
	return nil
}
