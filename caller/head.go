package caller

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

var (
	errHeadTooLarge = errors.New("the head of the request is too large")
	errHost         = errors.New("the request names no host")
	errVersion      = errors.New("the request is not of HTTP/1")
	errFraming      = errors.New("the request says in two ways how long its body is")
	errField        = errors.New("the request has a malformed field")
)

// maxKeptHead is the size from which on the copy of a head is not kept for the next one.
const maxKeptHead = 2 * bufferSize

// headReader bounds the bytes that are read for a head and keeps a copy of them.
type headReader struct {
	src io.Reader
	// left is what may still be read for the head; negative if there is no limit.
	left int
	// seen are the bytes that were read since the head began, and those that were buffered then.
	seen []byte
	// memory is what heads hold. refused says that there was none for the head.
	memory  headMemory
	refused bool
	// lines is the number of lines of the head so far, and line the length of the last one, which has no end yet. whole says that the
	// empty line behind the head was seen.
	lines, line int
	whole       bool
	// body bounds the time of a body that is being read; nil between bodies.
	body *bodyWatch
}

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if h.left < 0 && h.body != nil {
		return h.body.Read(p)
	}
	if h.left < 0 {
		return h.src.Read(p)
	}
	if h.left == 0 {
		return 0, errHeadTooLarge
	}
	if !h.memory.reserve(h.left) {
		h.refused = true
		return 0, errNoMemory
	}
	n, err := h.src.Read(p[:min(len(p), h.left)])
	h.left -= n
	h.seen = append(h.seen, p[:n]...)
	if !h.count(p[:n]) {
		return 0, errNoMemory
	}
	return n, err
}

// count counts the lines of a part of the head and reserves memory for them. It returns false if there is none.
func (h *headReader) count(p []byte) bool {
	for !h.whole && len(p) > 0 {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			h.line += len(p)
			break
		}
		// No field is of one byte, so a line of that length is a CR.
		h.whole = h.line+i <= 1 && h.lines > 0
		h.lines++
		h.line = 0
		p = p[i+1:]
	}
	if !h.memory.reserveFields(h.lines) {
		h.refused = true
	}
	return !h.refused
}

// begin begins a head of up to limit bytes, which br reads from the headReader.
func (h *headReader) begin(br *bufio.Reader, limit int) {
	buffered, _ := br.Peek(br.Buffered()) // What is buffered can be peeked at.
	h.left = limit
	h.seen = append(h.seen[:0], buffered...)
	h.lines, h.line, h.whole = 0, 0, false
	h.count(buffered)
}

// end ends the head and returns its bytes, which are valid until the next call of begin.
func (h *headReader) end(br *bufio.Reader) []byte {
	h.left = -1
	raw := h.seen[:len(h.seen)-br.Buffered()]
	if cap(h.seen) > maxKeptHead {
		h.seen = nil
	}
	return raw
}

// checkHead refuses heads that http.ReadRequest accepts although another reader of the same bytes could find another end
// of the request in them, or other fields (RFC 9112, 2.2, 5.1, 5.2, 6.1 and 6.3). raw are the bytes of the head.
func checkHead(req *http.Request, raw []byte) error {
	if req.ProtoMajor != 1 {
		return errVersion
	}
	var encoded, measured, named bool
	_, fields, _ := bytes.Cut(raw, []byte("\n")) // Behind the request line.
	for line := range bytes.Lines(fields) {
		line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
		if len(line) == 0 {
			break
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		// White space before a name folds the field before it, and behind a name it hides the field from http.ReadRequest.
		if bytes.ContainsAny(name, " \t") || bytes.ContainsAny(line, "\r\x00") {
			return errField
		}
		encoded = encoded || bytes.EqualFold(name, []byte("Transfer-Encoding"))
		measured = measured || bytes.EqualFold(name, []byte("Content-Length"))
		named = named || bytes.EqualFold(name, []byte("Host"))
	}
	if req.ProtoAtLeast(1, 1) && !named || named && !validHost(req.Host) {
		return errHost
	}
	if encoded && (measured || !req.ProtoAtLeast(1, 1)) {
		return errFraming
	}
	return nil
}

// validHost reports whether a field Host can be one (RFC 9112, 3.2). What its bytes mean is left to the routes.
func validHost(host string) bool {
	for _, b := range []byte(host) {
		if b <= ' ' || b >= 0x7f {
			return false
		}
	}
	return host != "" && !strings.ContainsAny(host, "/?#@\\")
}
