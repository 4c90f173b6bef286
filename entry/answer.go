package entry

import (
	"io"
	"net/http"
	"strconv"

	"skylarkbeam/claim"
	"skylarkbeam/route"
)

// deliver writes an answer to the caller. If the rest of a streamed answer breaks, the caller's connection is aborted, so
// that the break is visible.
func (e *Entry) deliver(w http.ResponseWriter, c *call, a *answer) {
	e.traceAnswered(c, a)
	header := w.Header()
	e.protocol.SetResponseHeader(header, a.Header)
	e.counters.outcomes[outcomeAnswered].Inc()
	if a.length >= 0 && c.request.Method != http.MethodHead && bodyAllowed(a.Status) {
		header.Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
	w.WriteHeader(a.Status)
	_, err := w.Write(a.prefix)
	if a.rest == nil {
		return
	}
	defer a.rest.Close()
	if err != nil {
		a.end(route.Canceled)
	} else {
		err = e.stream(w, a)
	}
	if err != nil {
		e.counters.breaks.Inc()
		panic(http.ErrAbortHandler)
	}
}

// stream copies the rest of an answer and ends its attempt. A caller that went away is not the target's failure.
func (e *Entry) stream(w http.ResponseWriter, a *answer) error {
	source := &sourceReader{
		Reader: a.rest,
	}
	_, err := io.Copy(w, source)
	switch {
	case err == nil:
		a.end(route.Succeeded)
	case source.err != nil:
		a.end(route.Failed)
	default:
		a.end(route.Canceled)
	}
	return err
}

// sourceReader remembers the error of reading, so that it can be told from one of writing.
type sourceReader struct {
	io.Reader
	err error
}

func (s *sourceReader) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if err != nil && err != io.EOF {
		s.err = err
	}
	return n, err
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// replay writes the recorded answer of an earlier call with the same key.
func (e *Entry) replay(w http.ResponseWriter, d *claim.Done) {
	e.counters.replays.Inc()
	header := w.Header()
	for name, values := range d.Header {
		header[name] = values
	}
	header.Set(headerOutcome, outcomeAnswered)
	header.Set(headerReplayed, "true")
	if d.Omitted {
		// The body was too large to be recorded. The caller learns that the call ran, and with which status.
		header.Set(headerReplayed, "omitted")
		header.Set(headerStatus, strconv.Itoa(d.Status))
		http.Error(w, "the call has run; its answer was too large to be kept", http.StatusConflict)
		return
	}
	w.WriteHeader(d.Status)
	w.Write(d.Body)
}

// refuse writes the final answer to a call that gets none from a target.
func (e *Entry) refuse(w http.ResponseWriter, no *Refusal) {
	if no.NotRun() {
		e.counters.CountRefusal(no.Reason)
		e.counters.retry.Update(no.RetryAfter.Seconds())
	}
	e.counters.outcomes[no.Outcome].Inc()
	e.protocol.WriteRefusal(w, no)
}
