package entry

import (
	"net/http"
	"strings"
)

// requestPath returns the path of a request byte for byte as it was sent. The path of r.URL is a decoded one.
func requestPath(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}
