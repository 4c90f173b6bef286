package standin

import (
	"encoding/binary"
	"encoding/hex"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	defaultSize = 256
	maxSize     = 1 << 30
	lineLength  = 17 // 16 hexadecimal digits and a newline
)

// content is the body of an answer. It begins with the request line; then each line differs from all others, of this
// and of other answers.
type content struct {
	start  string
	seed   uint64
	size   int64
	offset int64
}

// newContent returns the answer to a request. All that the caller can see of the request takes part in it.
func newContent(method, uri, key string, body []byte) *content {
	c := &content{
		start: method + " " + uri + "\n",
		size:  defaultSize,
	}
	if u, err := url.ParseRequestURI(uri); err == nil {
		if n, err := strconv.ParseInt(u.Query().Get("size"), 10, 64); err == nil && n >= 0 {
			c.size = min(n, maxSize)
		}
	}
	h := xxhash.New()
	for _, s := range []string{method, uri, key} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	c.seed = h.Sum64()
	return c
}

// Read implements io.Reader.
func (c *content) Read(p []byte) (int, error) {
	if c.offset == c.size {
		return 0, io.EOF
	}
	p = p[:min(int64(len(p)), c.size-c.offset)]
	n := 0
	if c.offset < int64(len(c.start)) {
		n = copy(p, c.start[c.offset:])
	}
	var line [lineLength]byte
	for n < len(p) {
		at := c.offset + int64(n) - int64(len(c.start))
		c.line(&line, uint64(at/lineLength))
		n += copy(p[n:], line[at%lineLength:])
	}
	c.offset += int64(n)
	return n, nil
}

func (c *content) line(line *[lineLength]byte, i uint64) {
	var b [8]byte
	// Multiplication by an odd number is a bijection, so lines of one answer never repeat.
	binary.BigEndian.PutUint64(b[:], c.seed+i*0x9e3779b97f4a7c15)
	hex.Encode(line[:], b[:])
	line[lineLength-1] = '\n'
}

// ExpectedBody returns the body of the answer to a request. The key is the one that the caller sent.
func ExpectedBody(method, uri, key string, body []byte) []byte {
	c := newContent(method, uri, key, body)
	data := make([]byte, c.size)
	_, _ = io.ReadFull(c, data)
	return data
}

// ExpectedContent is ExpectedBody as a reader, for large bodies that are compared piece by piece.
func ExpectedContent(method, uri, key string, body []byte) io.Reader {
	return newContent(method, uri, key, body)
}

// answer is a whole answer before it is written.
type answer struct {
	id      string
	status  int
	chunked bool
	content *content
}

func newAnswer(r *http.Request, body []byte) *answer {
	a := &answer{
		id:      r.Header.Get("Skylarkbeam-Request"),
		status:  http.StatusOK,
		chunked: r.URL.Query().Get("chunked") != "",
		content: newContent(r.Method, r.RequestURI, r.Header.Get("Skylarkbeam-Key"), body),
	}
	if n, err := strconv.Atoi(r.URL.Query().Get("status")); err == nil && n >= 200 && n <= 599 {
		a.status = n
	}
	if a.status == http.StatusNoContent || a.status == http.StatusNotModified {
		a.content.size = 0
	}
	return a
}

// write writes the answer as a correct target does.
func (t *Target) write(w http.ResponseWriter, a *answer) {
	for name, values := range t.fields(a.id) {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Type", "text/plain")
	if !a.chunked && a.status != http.StatusNoContent && a.status != http.StatusNotModified {
		w.Header().Set("Content-Length", strconv.FormatInt(a.content.size, 10))
	}
	w.WriteHeader(a.status)
	if a.chunked {
		_ = http.NewResponseController(w).Flush()
	}
	_, _ = io.Copy(w, a.content)
}
