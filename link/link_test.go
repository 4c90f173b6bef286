package link_test

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/link"
	"skylarkbeam/simulation"
)

const (
	// bandwidth is that of the slowest machines of the users' larger deployments, 10 Mbit/s in bytes a second.
	bandwidth = 10e6 / 8
	// largeBody is the mean length of the downloads there, smallBody that of the other answers.
	largeBody = 90_000
	smallBody = 400
)

// wire is a link that sends one byte after the other, in the order of the writes.
type wire struct {
	mu   sync.Mutex
	free time.Time // when all that was written has been sent
}

// send queues n bytes and returns how long it takes until they have been sent.
func (w *wire) send(n int) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.free.Before(now) {
		w.free = now
	}
	w.free = w.free.Add(time.Duration(float64(n) / bandwidth * float64(time.Second)))
	return w.free.Sub(now)
}

// Write implements io.Writer.
func (w *wire) Write(p []byte) (int, error) {
	w.send(len(p))
	return len(p), nil
}

// delayed sends downloads through l and small answers beside them for a minute, at the rates at which an entry has them in a
// burst. It returns the part of the small answers that were not sent within 10 ms, and the longest download.
func delayed(l *link.Pacer) (late float64, longest time.Duration) {
	const (
		downloads = 2  // a second
		answers   = 20 // a second
		length    = time.Minute
		limit     = 10 * time.Millisecond
	)
	var (
		w     wire
		group sync.WaitGroup
		mu    sync.Mutex
	)
	r := rand.New(rand.NewPCG(1, 2))
	pause := func(rate float64) { time.Sleep(time.Duration(r.ExpFloat64() / rate * float64(time.Second))) }
	end := time.Now().Add(length)
	group.Go(func() {
		for time.Now().Before(end) {
			pause(downloads)
			group.Go(func() {
				start := time.Now()
				_, _ = l.Writer(context.Background(), &w).Write(make([]byte, largeBody)) // The wire takes all.
				mu.Lock()
				defer mu.Unlock()
				longest = max(longest, time.Since(start))
			})
		}
	})
	total, slow := 0, 0
	for time.Now().Before(end) {
		time.Sleep(time.Second / answers)
		total++
		if w.send(smallBody) > limit {
			slow++
		}
	}
	group.Wait()
	return float64(slow) / float64(total), longest
}

// Guards against small answers that wait behind downloads on a slow link. The control has no pacing.
func TestSmallBesideLarge(t *testing.T) {
	simulation.Run(t, func(t *testing.T) {
		late, longest := delayed(link.New(bandwidth))
		control, _ := delayed(nil)
		t.Logf("%.3f of the small answers delayed, %.3f without pacing; longest download %s", late, control, longest)
		assert.Assert(t, late <= 0.01)
		assert.Assert(t, control >= 0.1)
		assert.Assert(t, longest < time.Second, "a download took %s", longest)
	})
}

// Guards against bodies that are changed, held up though they are small, or received faster than their share of the link.
func TestBody(t *testing.T) {
	tests := []struct {
		name   string
		link   *link.Pacer
		length int
		least  time.Duration
		most   time.Duration
	}{
		{
			name:   "small",
			link:   link.New(bandwidth),
			length: smallBody,
		},
		{
			name:   "large",
			link:   link.New(bandwidth),
			length: largeBody,
			least:  time.Duration(0.9 * largeBody / bandwidth * float64(time.Second)),
			most:   time.Duration(1.6 * largeBody / bandwidth * float64(time.Second)),
		},
		{
			name:   "fast link",
			link:   link.New(2500e6 / 8),
			length: largeBody,
		},
		{
			name:   "unknown link",
			link:   link.New(0),
			length: largeBody,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			simulation.Run(t, func(t *testing.T) {
				sent := bytes.Repeat([]byte("tide"), tt.length/4)
				start := time.Now()
				var got bytes.Buffer
				body := tt.link.Reader(t.Context(), io.NopCloser(bytes.NewReader(sent)))
				_, err := io.Copy(tt.link.Writer(t.Context(), &got), body)
				assert.NilError(t, err)
				assert.NilError(t, body.Close())
				took := time.Since(start)
				assert.Assert(t, bytes.Equal(got.Bytes(), sent))
				assert.Assert(t, took >= tt.least && took <= tt.most, "took %s", took)
			})
		})
	}
}

// Guards against a transfer that goes on after its caller has left, and against one that is given up early because its
// deadline will pass before it ends: an answer that is ready is delivered although it is late.
func TestEnd(t *testing.T) {
	tests := []struct {
		name string
		end  func(context.Context) (context.Context, context.CancelFunc)
	}{
		{
			name: "canceled",
			end: func(ctx context.Context) (context.Context, context.CancelFunc) {
				ctx, cancel := context.WithCancel(ctx)
				time.AfterFunc(20*time.Millisecond, cancel)
				return ctx, cancel
			},
		},
		{
			name: "deadline",
			end: func(ctx context.Context) (context.Context, context.CancelFunc) {
				return context.WithTimeout(ctx, 20*time.Millisecond)
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			simulation.Run(t, func(t *testing.T) {
				ctx, cancel := tt.end(t.Context())
				defer cancel()
				start := time.Now()
				n, err := link.New(bandwidth).Writer(ctx, io.Discard).Write(make([]byte, largeBody))
				assert.ErrorIs(t, err, ctx.Err())
				assert.Equal(t, time.Since(start), 20*time.Millisecond)
				assert.Assert(t, n > 0 && n < largeBody, "%d bytes", n)
			})
		})
	}
}
