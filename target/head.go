package target

import (
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"
)

var (
	errNoResponse    = errors.New("target sends bytes that are no response")
	errMalformedHead = errors.New("response head is malformed")
	errFraming       = errors.New("response says in two ways where its body ends")
)

// statusLinePrefix begins each response. Other minor versions of HTTP/1 are read in the same way.
const statusLinePrefix = "HTTP/1."

// headPart is the part of a head that the next byte belongs to.
type headPart uint8

const (
	partPrefix headPart = iota // of the status line
	partStatus                 // the rest of the status line
	partLineStart
	partName
	partValue
	partEnd // behind the head
)

// headCheck checks a response head while its bytes arrive, and fails at the first byte that does not belong to one: a target in
// trouble may send such bytes slowly and without an end. It is stricter than http.ReadResponse, which takes names with blanks, any byte
// in a reason phrase, other major versions, and a length beside a transfer coding (docs/design/response-heads.md).
type headCheck struct {
	part headPart
	// afterCR says that the last byte was a CR, which only a LF may follow.
	afterCR bool
	// matched is the length of the part of statusLinePrefix that was seen.
	matched int
	// name has the beginning of a field's name, in lower case, and nameLength the length of all of it.
	name       [len(nameTransferEncoding)]byte
	nameLength int
	// hasLength and hasCoding say that the head has the fields that frame a body.
	hasLength, hasCoding bool
	err                  error
}

// Names of the fields that frame a body, in lower case.
const (
	nameContentLength    = "content-length"
	nameTransferEncoding = "transfer-encoding"
)

// Classes of bytes (RFC 9110, 5.5 and 5.6.2).
const (
	classToken = 1 << iota // in names
	classText              // in values and reason phrases
)

var byteClasses = func() (classes [256]uint8) {
	for b := range classes {
		if b >= ' ' && b != 0x7f || b == '\t' {
			classes[b] = classText
		}
		letter := b|0x20 >= 'a' && b|0x20 <= 'z'
		if letter || b >= '0' && b <= '9' || slices.Contains([]byte("!#$%&'*+-.^_`|~"), byte(b)) {
			classes[b] |= classToken
		}
	}
	return classes
}()

// scan checks the next bytes. Those behind the head are ignored. After an error, all calls return it.
func (h *headCheck) scan(p []byte) error {
	for h.err == nil && h.part != partEnd {
		if !h.afterCR && (h.part == partStatus || h.part == partValue) {
			p = p[textLength(p):]
		}
		if len(p) == 0 {
			break
		}
		h.err = h.next(p[0])
		p = p[1:]
	}
	return h.err
}

// textLength returns the number of bytes at the beginning of p that may stand in a value.
func textLength(p []byte) int {
	for i, b := range p {
		if byteClasses[b]&classText == 0 {
			return i
		}
	}
	return len(p)
}

// next checks one byte.
func (h *headCheck) next(b byte) error {
	switch {
	case b == '\n':
		return h.endLine()
	case h.afterCR:
		return errMalformedHead
	case h.part == partPrefix:
		if b != statusLinePrefix[h.matched] {
			return errNoResponse
		}
		if h.matched++; h.matched == len(statusLinePrefix) {
			h.part = partStatus
		}
		return nil
	case h.part == partLineStart && (b == ' ' || b == '\t'):
		h.part = partValue // The line continues the value of the field before it.
		return nil
	case h.part == partLineStart && b != '\r':
		h.part = partName
		h.nameLength = 0
	}
	switch {
	case h.part == partName && b == ':':
		return h.endName()
	case h.part == partName:
		if byteClasses[b]&classToken == 0 {
			return errMalformedHead
		}
		if h.nameLength < len(h.name) {
			h.name[h.nameLength] = b | 0x20 // Makes a letter lower case, and no other byte of a token a letter.
		}
		h.nameLength++
	case b == '\r':
		h.afterCR = true
	case byteClasses[b]&classText == 0:
		return errMalformedHead
	}
	return nil
}

// endLine ends a line, with or without a CR (RFC 9112, 2.2).
func (h *headCheck) endLine() error {
	h.afterCR = false
	switch h.part {
	case partStatus, partValue:
		h.part = partLineStart
	case partLineStart:
		h.part = partEnd
	case partPrefix:
		return errNoResponse
	default:
		return errMalformedHead
	}
	return nil
}

// endName ends the name of a field.
func (h *headCheck) endName() error {
	if h.nameLength == 0 {
		return errMalformedHead
	}
	h.part = partValue
	switch string(h.name[:min(h.nameLength, len(h.name))]) {
	case nameContentLength:
		h.hasLength = true
	case nameTransferEncoding:
		h.hasCoding = h.hasCoding || h.nameLength == len(nameTransferEncoding)
	}
	return nil
}

// checkResponse checks what can be told of the whole head. Resp is what http.ReadResponse has made of it.
func (h *headCheck) checkResponse(resp *http.Response) error {
	switch {
	case h.part != partEnd:
		return errMalformedHead
	case !validStatus(resp.StatusCode):
		return errNoResponse
	case h.hasCoding && (h.hasLength || !resp.ProtoAtLeast(1, 1)) && bodyExpected(resp):
		return errFraming
	}
	return nil
}

// validStatus reports whether a response with the status can be the last one or an informational one: three digits from 100 to 599
// (RFC 9110, 15). http.ReadResponse takes any three bytes that are a number, such as "+20". 101 would end the protocol that the pool
// speaks.
func validStatus(status int) bool {
	return status >= 100 && status <= 599 && status != http.StatusSwitchingProtocols
}

// bodyExpected reports whether the fields of a response say where its body ends. By its method or status, a response without a body
// ends with its head, whatever they say (RFC 9112, 6.3).
func bodyExpected(resp *http.Response) bool {
	return resp.Request.Method != http.MethodHead && resp.StatusCode >= 200 && resp.StatusCode != http.StatusNoContent &&
		resp.StatusCode != http.StatusNotModified
}
