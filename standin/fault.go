package standin

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Fault is something that goes wrong with one call.
type Fault string

// Faults of calls that do not run.
const (
	FaultNone Fault = ""
	// FaultError answers 500 immediately.
	FaultError Fault = "error"
	// FaultClose closes the connection immediately.
	FaultClose Fault = "close"
	// FaultShed answers 503, not run.
	FaultShed Fault = "shed"
	// FaultNoResponse never answers; the call ends with its connection.
	FaultNoResponse Fault = "freeze"
)

// Faults of the answers of calls that ran.
const (
	// FaultCloseBeforeResponse closes the connection before the answer.
	FaultCloseBeforeResponse Fault = "drop"
	// FaultReset resets the connection before the answer.
	FaultReset Fault = "reset"
	// FaultTruncatedHeader closes the connection within the head of the answer.
	FaultTruncatedHeader Fault = "head"
	// FaultMissingBody closes the connection after the head.
	FaultMissingBody Fault = "empty"
	// FaultTruncatedBody closes the connection in the middle of a body with Content-Length.
	FaultTruncatedBody Fault = "cut"
	// FaultTruncatedChunkedBody closes the connection in the middle of a chunked body.
	FaultTruncatedChunkedBody Fault = "chunk"
	// FaultTruncatedCloseDelimitedBody closes the connection in the middle of a body with neither Content-Length nor chunking, where nothing
	// but the close marks the end.
	FaultTruncatedCloseDelimitedBody Fault = "plain"
	// FaultDelayedResponse answers after Delay, whether or not the call was given up.
	FaultDelayedResponse Fault = "late"
	// FaultSwappedResponses swaps the answers of two calls in flight, id and body. After a second without a partner the answer has
	// an id and a body that belong to no call.
	FaultSwappedResponses Fault = "cross"
	// FaultMalformedResponse sends what is not HTTP.
	FaultMalformedResponse Fault = "garbage"
	// FaultDuplicateResponse sends the answer twice.
	FaultDuplicateResponse Fault = "twice"
	// FaultInformationalResponses sends informational responses before the answer, which is correct.
	FaultInformationalResponses Fault = "inform"
	// FaultEndlessHeader sends a header that does not end.
	FaultEndlessHeader Fault = "endless"
)

// Faults lists all faults.
var Faults = []Fault{
	FaultError, FaultClose, FaultShed, FaultNoResponse, FaultCloseBeforeResponse, FaultReset, FaultTruncatedHeader, FaultMissingBody, FaultTruncatedBody, FaultTruncatedChunkedBody,
	FaultTruncatedCloseDelimitedBody, FaultDelayedResponse, FaultSwappedResponses, FaultMalformedResponse, FaultDuplicateResponse, FaultInformationalResponses, FaultEndlessHeader,
}

// crossing is an answer that waits for another one to be swapped with.
type crossing struct {
	own   *answer
	other chan *answer
}

// InjectFaults sets the faults of the next calls, one each.
func (t *Target) InjectFaults(faults ...Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next = append(t.next, faults...)
}

// takeFault returns the fault of the next call, which has a path.
func (t *Target) takeFault(path string) Fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.next) == 0 {
		s := t.switches
		if !strings.HasPrefix(path, s.FaultPath) || s.FaultShare > 0 && rand.Float64() >= s.FaultShare {
			return FaultNone
		}
		return s.Fault
	}
	f := t.next[0]
	t.next = t.next[1:]
	return f
}

// respond sends the answer of a call that ran.
func (t *Target) respond(w http.ResponseWriter, r *http.Request, a *answer, fault Fault) {
	switch fault {
	case FaultNone:
		t.write(w, a)
	case FaultDelayedResponse:
		time.Sleep(time.Duration(t.Behavior().ResponseDelay))
		t.write(w, a)
	case FaultSwappedResponses:
		t.write(w, t.swap(a))
	case FaultInformationalResponses:
		w.Header().Set("Link", "</style.css>; rel=preload")
		w.WriteHeader(http.StatusEarlyHints)
		w.WriteHeader(http.StatusProcessing)
		t.write(w, a)
	default:
		t.respondRaw(w, a, fault)
	}
}

// respondRaw writes to the connection itself.
func (t *Target) respondRaw(w http.ResponseWriter, a *answer, fault Fault) {
	nc, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = nc.Close() }()
	length := "Content-Length: " + strconv.FormatInt(a.content.size, 10)
	half := io.LimitReader(a.content, a.content.size/2)
	switch fault {
	case FaultReset:
		if c, ok := nc.(*conn); ok {
			nc = c.Conn
		}
		if tcp, ok := nc.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	case FaultTruncatedHeader:
		head := t.head(a, length)
		_, _ = nc.Write(head[:len(head)/2])
	case FaultMissingBody:
		_, _ = nc.Write(t.head(a, length))
	case FaultTruncatedBody:
		_, _ = nc.Write(t.head(a, length))
		_, _ = io.Copy(nc, half)
	case FaultTruncatedChunkedBody:
		_, _ = nc.Write(t.head(a, "Transfer-Encoding: chunked"))
		if a.content.size > 0 {
			// A chunk of length zero would end the body.
			fmt.Fprintf(nc, "%x\r\n", a.content.size)
			_, _ = io.Copy(nc, half)
		}
	case FaultTruncatedCloseDelimitedBody:
		_, _ = nc.Write(t.head(a, "Connection: close"))
		_, _ = io.Copy(nc, half)
	case FaultMalformedResponse:
		_, _ = io.WriteString(nc, "\x16\x03\x01 this is not HTTP\r\n\r\n")
	case FaultDuplicateResponse:
		var b bytes.Buffer
		b.Write(t.head(a, length))
		_, _ = io.Copy(&b, a.content)
		_, _ = nc.Write(append(b.Bytes(), b.Bytes()...))
		// The connection stays open until the other side closes it.
		_, _ = io.Copy(io.Discard, nc)
	case FaultEndlessHeader:
		field := "X-Filler: " + fmt.Sprintf("%0100d", 0) + "\r\n"
		_, err := io.WriteString(nc, "HTTP/1.1 200 OK\r\n")
		for err == nil {
			_, err = io.WriteString(nc, field)
		}
	}
}

func (t *Target) head(a *answer, framing string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	_ = t.fields(a.id).Write(&b)
	b.WriteString(framing + "\r\n\r\n")
	return b.Bytes()
}

// swap returns the answer of another call with FaultCross, which gets this one.
func (t *Target) swap(a *answer) *answer {
	t.mu.Lock()
	if other := t.cross; other != nil {
		t.cross = nil
		t.mu.Unlock()
		other.other <- a
		return other.own
	}
	c := &crossing{
		own:   a,
		other: make(chan *answer, 1),
	}
	t.cross = c
	t.mu.Unlock()
	select {
	case other := <-c.other:
		return other
	case <-time.After(time.Second):
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cross != c {
		return <-c.other
	}
	t.cross = nil
	return &answer{
		id:      "none",
		status:  http.StatusOK,
		content: newContent(http.MethodGet, "/none", "", nil),
	}
}
