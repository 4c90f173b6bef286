package caller

import (
	"bytes"
	"regexp"
	"strconv"
	"strings"
)

var (
	strictLine  = regexp.MustCompile("^([!#$%&'*+.^_`|~0-9A-Za-z-]+) ([^\x00-\x20\x7f]+) HTTP/1\\.([0-9])$")
	strictField = regexp.MustCompile("^([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\x00\r\n]*?)[ \t]*$")
	strictPath  = regexp.MustCompile(`^/([^%?]|%[0-9A-Fa-f]{2})*(\?.*)?$`)
	strictHost  = regexp.MustCompile(`^(?i:https?)://([^/?#@\\]+)(.*)$`)
	strictChunk = regexp.MustCompile("^([0-9A-Fa-f]+)[ \t]*(;.*)?$")
)

// strictReader reads requests by the grammar of RFC 9112, apart from the code that it is compared with. It takes a single LF
// for the end of a line, as 2.2 allows.
type strictReader struct{ data []byte }

// strictRequests returns the requests that are whole in data, up to the first bytes that are none or the end of the
// connection.
func strictRequests(data []byte) []string {
	r := &strictReader{
		data: data,
	}
	var requests []string
	for {
		request, last, ok := r.request()
		if !ok {
			return requests
		}
		requests = append(requests, request)
		if last {
			return requests
		}
	}
}

func (r *strictReader) line() (string, bool) {
	line, rest, ok := bytes.Cut(r.data, []byte("\n"))
	r.data = rest
	return string(bytes.TrimSuffix(line, []byte("\r"))), ok
}

func (r *strictReader) request() (request string, last, ok bool) {
	text, ok := r.line()
	line := strictLine.FindStringSubmatch(text)
	if !ok || line == nil {
		return "", false, false
	}
	fields, ok := r.fields()
	if !ok {
		return "", false, false
	}
	method, path, old := line[1], line[2], line[3] == "0"
	if absolute := strictHost.FindStringSubmatch(path); absolute != nil {
		path = absolute[2]
		if path == "" || path[0] == '?' {
			path = "/" + path
		}
	}
	hosts := len(fields["host"])
	if hosts > 1 || hosts == 0 && !old || !strictPath.MatchString(path) {
		return "", false, false
	}
	body, ok := r.body(fields["transfer-encoding"], fields["content-length"], old)
	if !ok {
		// Answered without its body, which has no end that could be told.
		return describe(method, path, nil), true, strings.HasPrefix(path, "/early")
	}
	options := strings.ToLower(strings.Join(fields["connection"], ","))
	last = strings.Contains(options, "close") || old && !strings.Contains(options, "keep-alive")
	return describe(method, path, body), last, true
}

func (r *strictReader) fields() (fields map[string][]string, ok bool) {
	fields = map[string][]string{}
	for {
		line, ok := r.line()
		if !ok {
			return nil, false
		}
		if line == "" {
			return fields, true
		}
		field := strictField.FindStringSubmatch(line)
		if field == nil {
			return nil, false
		}
		name := strings.ToLower(field[1])
		fields[name] = append(fields[name], field[2])
	}
}

func (r *strictReader) body(encodings, lengths []string, old bool) (body []byte, ok bool) {
	switch {
	case len(encodings) > 0:
		if len(encodings) > 1 || len(lengths) > 0 || old || !strings.EqualFold(encodings[0], "chunked") {
			return nil, false
		}
		return r.chunks()
	case len(lengths) > 0:
		for _, length := range lengths {
			if length != lengths[0] {
				return nil, false
			}
		}
		n, err := strconv.ParseUint(lengths[0], 10, 62)
		if err != nil || n > uint64(len(r.data)) {
			return nil, false
		}
		return r.take(int(n))
	}
	return nil, true
}

func (r *strictReader) take(n int) ([]byte, bool) {
	if n < 0 || n > len(r.data) {
		return nil, false
	}
	taken := r.data[:n]
	r.data = r.data[n:]
	return taken, true
}

func (r *strictReader) chunks() (body []byte, ok bool) {
	for {
		line, ok := r.line()
		size := strictChunk.FindStringSubmatch(line)
		if !ok || size == nil {
			return nil, false
		}
		n, err := strconv.ParseUint(size[1], 16, 62)
		if err != nil || n > uint64(len(r.data)) {
			return nil, false
		}
		if n == 0 {
			return body, r.skipTrailers()
		}
		data, _ := r.take(int(n))
		body = append(body, data...)
		if end, ok := r.take(2); !ok || string(end) != "\r\n" {
			return nil, false
		}
	}
}

// skipTrailers skips trailers, which a reader may do without reading their fields (RFC 9112, 7.1.2).
func (r *strictReader) skipTrailers() bool {
	for {
		line, ok := r.line()
		if !ok || line == "" {
			return ok
		}
	}
}
