package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"skylarkbeam/memory"
	"skylarkbeam/outcome"
	"skylarkbeam/setting"
	"skylarkbeam/timer"
)

// bodyEntry returns an entry that can only read bodies.
func bodyEntry(l memory.Limits) *Entry {
	e := &Entry{
		memory:  memory.NewBudget(l),
		timers:  timer.New(),
		metrics: NewMetrics(),
		done:    make(chan struct{}),
	}
	e.ending, e.endCalls = context.WithCancel(context.Background())
	return e
}

func bodyCall(body io.Reader, length int64, limit int, timeout time.Duration) *call {
	r := httptest.NewRequest(http.MethodPost, "/book/1", body)
	r.ContentLength = length
	return &call{
		request:  r,
		deadline: time.Now().Add(timeout),
		snapshot: &snapshot{
			settings: &setting.Settings{
				Limits: setting.Limits{
					Body: limit,
				},
			},
		},
	}
}

func (b *requestBody) joined() []byte { return bytes.Join(b.pieces, nil) }

// Guards against bodies that are cut or mixed at the borders of their pieces, and against memory that stays reserved.
func TestBodySizes(t *testing.T) {
	const limit = 3 << 20
	e := bodyEntry(memory.DeriveLimits(184<<20, 0))
	content := make([]byte, limit+1)
	for i := range content {
		content[i] = byte(i * 31 / 7)
	}
	for _, size := range []int{1, 4095, 4096, 4097, 252 << 10, 252<<10 + 1, 256 << 10, 256<<10 + 1, 1 << 20, 2<<20 + 3, limit - 1, limit, limit + 1} {
		for _, known := range []bool{false, true} {
			t.Run(fmt.Sprint(size, " known=", known), func(t *testing.T) {
				length := int64(-1)
				if known {
					length = int64(size)
				}
				c := bodyCall(bytes.NewReader(content[:size]), length, limit, time.Minute)
				release, refusal := e.receiveBody(httptest.NewRecorder(), c)
				if size > limit {
					assert.Equal(t, refusal.Status, http.StatusRequestEntityTooLarge)
				} else {
					assert.Assert(t, refusal == nil)
					assert.Assert(t, bytes.Equal(c.body.joined(), content[:size]))
					assert.Equal(t, c.body.size, size)
					assert.Assert(t, !known || len(c.body.pieces) == 1)
				}
				held := int64(0)
				for _, p := range memory.Parts {
					held += e.memory.Usage(p).Held
				}
				assert.Assert(t, size > limit || held <= int64(size+memory.SmallBody+largestPiece), "%d held for %d", held, size)
				release()
				release()
			})
		}
	}
	runtime.GC()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		runtime.GC()
		for _, p := range memory.Parts {
			if u := e.memory.Usage(p); u.Held != 0 || u.Garbage != 0 {
				return poll.Continue("%+v", u)
			}
		}
		return poll.Success()
	})
}

// Guards against a body that breaks off and is taken for a whole one.
func TestBrokenBody(t *testing.T) {
	e := bodyEntry(memory.DeriveLimits(184<<20, 0))
	for _, sent := range []int{0, 1, 5000, 300 << 10} {
		for _, length := range []int64{-1, 400 << 10} {
			body := io.MultiReader(bytes.NewReader(make([]byte, sent)), errorReader{})
			release, refusal := e.receiveBody(httptest.NewRecorder(), bodyCall(body, length, 1<<20, time.Minute))
			assert.Assert(t, refusal != nil, "%d of %d", sent, length)
			assert.Equal(t, refusal.Reason, outcome.Invalid)
			release()
			assert.Equal(t, e.memory.Usage(memory.Large).Held, int64(0))
		}
	}
}

type errorReader struct{}

func (errorReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against a large body that waits without a bound or is refused without a time to come back, against a small one that
// waits behind it, and against a connection that goes on after a body that was not read.
func TestNoMemory(t *testing.T) {
	e := bodyEntry(memory.DeriveLimits(16<<20, 0))
	hold := func() func() {
		release, refusal := e.receiveBody(httptest.NewRecorder(), bodyCall(bytes.NewReader(make([]byte, 7<<20)), 7<<20, 8<<20, time.Minute))
		assert.Assert(t, refusal == nil)
		return release
	}
	release := hold()
	unread := errors.New("is read")
	w := httptest.NewRecorder()
	c := bodyCall(io.MultiReader(readFails{
		err: unread,
	}), 7<<20, 8<<20, 200*time.Millisecond)
	began := time.Now()
	end, refusal := e.receiveBody(w, c)
	end()
	assert.Assert(t, refusal != nil)
	assert.Equal(t, refusal.Reason, outcome.NoMemory)
	assert.Assert(t, refusal.NotRun() && refusal.RetryAfter >= 100*time.Millisecond)
	assert.Equal(t, w.Header().Get("Connection"), "close")
	assert.Assert(t, time.Since(began) < 5*time.Second)
	end, refusal = e.receiveBody(httptest.NewRecorder(), bodyCall(bytes.NewReader(make([]byte, 100<<10)), 100<<10, 8<<20, time.Minute))
	assert.Assert(t, refusal == nil, "a small body waits")
	end()
	// Once the first call has ended, its garbage is collected for the next.
	time.AfterFunc(50*time.Millisecond, release)
	hold()()
	close(e.done)
	e.tasks.Wait()
}

type readFails struct{ err error }

func (r readFails) Read([]byte) (int, error) { return 0, r.err }

// Guards against responses that hold more memory than there is. They are passed on instead.
func TestResponseMemory(t *testing.T) {
	e := bodyEntry(memory.DeriveLimits(16<<20, 0))
	var all []*response
	held := 0
	for range 100 {
		resp := &response{
			entry: e,
		}
		prefix, whole, err := readPrefix(bytes.NewReader(make([]byte, 200<<10)), 200<<10, 1<<20, resp.holdResponse)
		assert.NilError(t, err)
		if whole {
			held++
		} else {
			assert.Assert(t, len(prefix) > 0)
		}
		all = append(all, resp)
	}
	u := e.memory.Usage(memory.Responses)
	assert.Assert(t, u.Held <= u.Limit)
	for _, resp := range all {
		resp.release()
		resp.release()
	}
	assert.Equal(t, e.memory.Usage(memory.Responses).Held, int64(0))
	t.Logf("%d of 100 held", held)
}
