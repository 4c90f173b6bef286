package target

import (
	"bufio"
	"bytes"
)

// requestWriter replaces the request line of an http.Request that is written to it. A url.URL cannot hold each path as it
// was sent: it encodes bytes that RFC 3986 does not list, and puts a scheme before a path that begins with two slashes.
// It embeds a bufio.Writer, so that http.Request.Write adds no buffer of its own.
type requestWriter struct {
	*bufio.Writer
	method, path string
	// begun is set once the request line has been written.
	begun bool
}

// Write implements io.Writer. http.Request.Write writes the request line first, with one call.
func (w *requestWriter) Write(p []byte) (int, error) {
	if w.begun {
		return w.Writer.Write(p)
	}
	w.begun = true
	for _, part := range []string{w.method, " ", w.path, " HTTP/1.1\r\n"} {
		if _, err := w.WriteString(part); err != nil {
			return 0, err
		}
	}
	_, rest, _ := bytes.Cut(p, []byte("\n"))
	n, err := w.Writer.Write(rest)
	return len(p) - len(rest) + n, err
}
