package entry

import (
	"io"
	"net/http"
	"strconv"

	"skylarkbeam/claim"
	"skylarkbeam/outcome"
	"skylarkbeam/route"
)

// response is the response from a target whose first part has been read. It is an outcome, like the outcome.Answered
// that it wraps. If the whole body fits into the buffer, remainder is nil and the body can no longer be truncated.
type response struct {
	*outcome.Answered
	// length is the length of the whole body in bytes, or -1 if unknown.
	length    int64
	prefix    []byte
	remainder io.ReadCloser
	// finish ends the attempt when the remainder has been read or discarded. It is nil if the attempt has ended.
	finish func(route.ResultKind)
	// target is the name of the target.
	target string
	entry  *Entry
	// reserved is the memory that is reserved for the first part, and buffer that for the receive buffer.
	reserved int64
	buffer   int64
}

// recordedBody returns the body to record for replays. A body that is still being streamed counts as too large.
func (r *response) recordedBody() []byte {
	if r.remainder != nil {
		return make([]byte, claim.MaxBodyBytes+1)
	}
	return r.prefix
}

// discard closes a response that is not needed.
func (r *response) discard() {
	r.release()
	if r.remainder != nil {
		r.remainder.Close()
	}
	if r.finish != nil {
		r.finish(route.Canceled)
	}
}

// writeResponse writes a response to the caller. If a streamed response breaks, it aborts the caller's connection, so
// that the caller does not take the response for complete.
func (e *Entry) writeResponse(w http.ResponseWriter, c *call, resp *response) {
	defer resp.release()
	e.logAnswered(c, resp)
	header := w.Header()
	e.protocol.SetResponseHeader(header, resp.Header)
	e.metrics.outcomes[outcomeAnswered].Inc()
	if resp.length >= 0 && c.request.Method != http.MethodHead && bodyAllowed(resp.Status) {
		header.Set("Content-Length", strconv.FormatInt(resp.length, 10))
	}
	w.WriteHeader(resp.Status)
	_, err := w.Write(resp.prefix)
	if resp.remainder == nil {
		return
	}
	defer resp.remainder.Close()
	if err != nil {
		resp.finish(route.Canceled)
	} else {
		err = e.streamRemainder(w, resp)
	}
	if err != nil {
		e.metrics.brokenResponses.Inc()
		panic(http.ErrAbortHandler)
	}
}

// streamRemainder copies the remainder of a response and ends the attempt. A disconnected caller is not counted as a
// failure of the target.
func (e *Entry) streamRemainder(w http.ResponseWriter, resp *response) error {
	body := &errorRecorder{
		Reader: resp.remainder,
	}
	_, err := io.Copy(w, body)
	switch {
	case err == nil:
		resp.finish(route.Succeeded)
	case body.err != nil:
		resp.finish(route.Failed)
	default:
		resp.finish(route.Canceled)
	}
	return err
}

// errorRecorder records read errors, so that they can be distinguished from the write errors of io.Copy.
type errorRecorder struct {
	io.Reader
	err error
}

func (r *errorRecorder) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil && err != io.EOF {
		r.err = err
	}
	return n, err
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// replayResponse writes the recorded response of an earlier call with the same key.
func (e *Entry) replayResponse(w http.ResponseWriter, d *claim.Done) {
	e.metrics.replays.Inc()
	header := w.Header()
	for name, values := range d.Header {
		header[name] = values
	}
	header.Set(headerOutcome, outcomeAnswered)
	header.Set(headerReplayed, "true")
	if d.Omitted {
		// The body was too large to be recorded. Tell the caller that the call ran, and its status.
		header.Set(headerReplayed, "omitted")
		header.Set(headerStatus, strconv.Itoa(d.Status))
		http.Error(w, "the call has run; its answer was too large to be kept", http.StatusConflict)
		return
	}
	w.WriteHeader(d.Status)
	w.Write(d.Body)
}

// writeRefusal counts a refusal and writes it to the caller.
func (e *Entry) writeRefusal(w http.ResponseWriter, refusal *Refusal) {
	if refusal.NotRun() {
		e.metrics.CountRefusal(refusal.Reason)
		e.metrics.retryAfter.Update(refusal.RetryAfter.Seconds())
	}
	e.metrics.outcomes[refusal.Outcome].Inc()
	e.protocol.WriteRefusal(w, refusal)
}
