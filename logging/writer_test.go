package logging

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"skylarkbeam/simulation"
)

// pipe is a reader's end that can stop reading.
type pipe struct {
	mu      sync.Mutex
	buffer  bytes.Buffer
	blocked chan struct{}
}

func (p *pipe) Write(b []byte) (int, error) {
	p.mu.Lock()
	blocked := p.blocked
	p.mu.Unlock()
	if blocked != nil {
		<-blocked
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.buffer.Write(b)
}

func (p *pipe) lines() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Split(strings.TrimSpace(p.buffer.String()), "\n")
}

// Guards against lines that are not JSON, that lack fields of their logger, or that are lost at the end.
func TestLines(t *testing.T) {
	simulation.Run(t, func(t *testing.T) {
		out := &pipe{}
		w := NewWriter(out, Options{})
		w.Logger().With(zap.String("entry", "a")).Info("serving", zap.Duration("after", 1500*time.Millisecond))
		w.Close()
		var line struct{ Level, Msg, Entry, After string }
		assert.NilError(t, json.Unmarshal([]byte(out.lines()[0]), &line))
		assert.Equal(t, line.Msg+" "+line.Entry+" "+line.After, "serving a 1.5s")
	})
}

// Guards against work that waits for a reader of the log, and against lines that vanish without a count. Lines of level
// info still find room when those of level debug do not.
func TestBlockedReader(t *testing.T) {
	simulation.Run(t, func(t *testing.T) {
		out := &pipe{
			blocked: make(chan struct{}),
		}
		w := NewWriter(out, Options{})
		log := w.Logger()
		start := time.Now()
		text := strings.Repeat("x", 1000)
		for range 20 {
			for range 200 {
				log.Debug("ordinary", zap.String("text", text))
			}
			log.Info("refused")
			time.Sleep(time.Second)
		}
		assert.Equal(t, time.Since(start), 20*time.Second)
		close(out.blocked)
		time.Sleep(2 * time.Second)
		refused, notice := 0, ""
		for _, line := range out.lines() {
			if strings.Contains(line, "refused") {
				refused++
			}
			if strings.Contains(line, "dropped") {
				notice = line
			}
		}
		assert.Equal(t, refused, 20)
		assert.Assert(t, strings.Contains(notice, `"debug":`), "no notice of dropped lines: %s", notice)
		w.Close()
	})
}

// Guards against a volume that grows with the load: ten times the usual number of lines gives no more than the bound.
func TestRate(t *testing.T) {
	simulation.Run(t, func(t *testing.T) {
		out := &pipe{}
		w := NewWriter(out, Options{})
		log := w.Logger()
		for range 10 * debugRate {
			log.Debug("ordinary")
			time.Sleep(time.Second / (10 * debugRate))
		}
		w.Close()
		have := len(out.lines())
		assert.Assert(t, have <= debugRate+2, "%d lines in a second, the bound is %d", have, debugRate)
		assert.Assert(t, have >= debugRate, "%d lines in a second, the bound is %d", have, debugRate)
	})
}
