package target

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/outcome"
	"skylarkbeam/standin"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// start runs a stand-in with a pool that leads to it. The budget is large and usable at once, unless probes is given.
func start(t testing.TB, switches standin.Switches, change func(*Options)) (*standin.Target, *Pool) {
	t.Helper()
	s, err := standin.Start(standin.New(standin.Options{
		Name:     "worker",
		Switches: switches,
	}), loopback)
	assert.NilError(t, err)
	opts := Options{
		Name:    "worker",
		Address: s.Address,
		Probes:  NewBudget(1000, time.Now().Add(-time.Minute)),
	}
	if change != nil {
		change(&opts)
	}
	p := New(opts)
	t.Cleanup(func() {
		p.Close()
		_ = s.Close()
		select {
		case <-p.Done():
		case <-time.After(5 * time.Second):
			t.Errorf("%d connections of the pool are still open", p.Open())
		}
	})
	return s.Target, p
}

func newCall(method, path, key string, body string) *Call {
	call := &Call{
		Method:     method,
		Path:       path,
		Header:     http.Header{},
		Body:       []byte(body),
		Idempotent: key == "",
		Timeout:    2 * time.Second,
	}
	if key != "" {
		call.Header.Set("Idempotency-Key", key)
	}
	return call
}

// whole sends a call and tells whether its own answer arrived whole.
func whole(t testing.TB, p *Pool, call *Call) bool {
	t.Helper()
	answered, ok := p.Send(context.Background(), call).(*outcome.Answered)
	if !ok {
		return false
	}
	defer answered.Body.Close()
	have, err := io.ReadAll(answered.Body)
	want := standin.Want(call.Method, call.Path, call.Header.Get("Idempotency-Key"), call.Body)
	return err == nil && string(have) == string(want)
}

// Guards against answers that are altered on their way, and against a connection that is not reused.
func TestSend(t *testing.T) {
	target, p := start(t, standin.Switches{}, nil)
	for _, path := range []string{"/a", "/a?size=0", "/b?size=300000", "/b?size=70000&chunked=1", "//c?x=%2F"} {
		assert.Assert(t, whole(t, p, newCall("GET", path, "", "")), path)
		assert.Assert(t, whole(t, p, newCall("POST", path, "key", "some body")), path)
	}
	assert.Equal(t, target.KeyRuns("key"), 5)
	assert.Equal(t, target.Conns(), 1)
}
