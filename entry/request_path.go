package entry

import (
	"net/http"
	"strconv"
	"strings"
	"unicode/utf8"
)

// requestPath returns the path of a request byte for byte as it was sent. The path of r.URL is a decoded one.
func requestPath(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

// printablePath returns the path of a request for a log line, which holds text: other bytes above 127 are quoted.
func printablePath(r *http.Request) string {
	path := requestPath(r)
	if !utf8.ValidString(path) {
		return strconv.QuoteToASCII(path)
	}
	return path
}
