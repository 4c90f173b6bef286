package caller

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"
)

var (
	errTarget     = errors.New("the request names no path")
	errTargetByte = errors.New("the path or query has a byte that cannot be passed on")
)

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
		case req.URL.Host == "" || !strings.HasPrefix(rest, req.URL.Host):
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
	if !passable(target) {
		return errTargetByte
	}
	req.RequestURI = target
	return nil
}

// passable reports whether a target in origin form can be passed on byte for byte. All bytes can that end neither the
// target nor the request line: the visible ones (VCHAR of RFC 5234) and those above 127 (obs-text of RFC 9110, 5.5). RFC
// 9112, 3.2 lets a server refuse the ones that RFC 3986 does not list, such as "|", or letters outside ASCII, but clients
// send them, and a server must not repair them without a word. A percent sign in the path must begin an encoded byte (RFC
// 3986, 2.1), because targets disagree on what another one means; queries have no structure of their own.
func passable(target string) bool {
	path, _, _ := strings.Cut(target, "?")
	if _, err := url.PathUnescape(path); err != nil {
		return false
	}
	for _, b := range []byte(target) {
		if b <= ' ' || b == 0x7f {
			return false
		}
	}
	return true
}
