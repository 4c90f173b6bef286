// Package logging writes structured log lines without ever making the work wait for them.
//
// A Writer encodes each line at once and hands it to a goroutine that writes batches. What is in between is bounded in
// bytes, and the lines of a second are bounded in number. Lines beyond that are dropped and counted, those of level debug
// first: they tell of work that went as usual.
//
// # Usage
//
//	w := logging.NewWriter(os.Stdout, logging.Options{
//		Timers: timers,
//	})
//	defer w.Close()
//	logger := w.Logger()
//	logger.Info("serving", zap.Stringer("address", address))
package logging

import (
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"skylarkbeam/timer"
)

const (
	// queueBytes bounds the lines that wait to be written; lines of level debug may fill half of it.
	queueBytes = 512 << 10
	// debugRate and infoRate bound the lines of level debug, and those of all higher levels, in a second. At about 300
	// bytes a line they are 750 KB/s together, a few percent of a core.
	debugRate = 500
	infoRate  = 2000
	// batchTime separates writes, so that lines share system calls.
	batchTime = 50 * time.Millisecond
	// closeTime bounds the last write.
	closeTime = time.Second
	// dropNotice separates the lines that tell how many were dropped.
	dropNotice = time.Second
)

// Options are the parts of a Writer.
type Options struct {
	Timers *timer.Service
	// Level is the least level that is written; the default is debug.
	Level zapcore.LevelEnabler
	// Metrics receives the counters; may be nil.
	Metrics *metrics.Set
}

// Writer writes log lines in the background. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	opts    Options
	lines   *metrics.Counter
	dropped [2]*metrics.Counter
	encoder zapcore.Encoder

	mu      sync.Mutex
	pending []byte
	closed  bool
	rates   [2]rate
	// lost counts the dropped lines since the last notice, by class.
	lost    [2]int
	noticed time.Time

	ready chan struct{}
	done  chan struct{}
}

// The classes of lines.
const (
	debugLines = iota
	infoLines
)

// rate counts the lines of the present second.
type rate struct {
	limit  int
	second time.Time
	count  int
}

func (r *rate) take(now time.Time) bool {
	if now.Sub(r.second) >= time.Second {
		r.second, r.count = now, 0
	}
	if r.count >= r.limit {
		return false
	}
	r.count++
	return true
}

// NewWriter returns a Writer to out.
func NewWriter(out io.Writer, o Options) *Writer {
	if o.Timers == nil {
		o.Timers = timer.New()
	}
	if o.Level == nil {
		o.Level = zapcore.DebugLevel
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	w := &Writer{
		out:     out,
		opts:    o,
		lines:   o.Metrics.GetOrCreateCounter("skylarkbeam_log_lines_total"),
		encoder: zapcore.NewJSONEncoder(encoderConfig()),
		ready:   make(chan struct{}, 1),
		done:    make(chan struct{}),
	}
	w.dropped[debugLines] = o.Metrics.GetOrCreateCounter(`skylarkbeam_log_dropped_total{level="debug"}`)
	w.dropped[infoLines] = o.Metrics.GetOrCreateCounter(`skylarkbeam_log_dropped_total{level="info"}`)
	w.rates[debugLines].limit = debugRate
	w.rates[infoLines].limit = infoRate
	go w.run()
	return w
}

func encoderConfig() zapcore.EncoderConfig {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.TimeEncoderOfLayout("2006-01-02T15:04:05.000Z07:00")
	c.EncodeDuration = zapcore.StringDurationEncoder
	return c
}

// Logger returns a logger that writes to w.
func (w *Writer) Logger() *zap.Logger {
	return zap.New(&core{
		writer:  w,
		encoder: w.encoder,
	})
}

// Close writes what is pending, for a second at most. Later lines are dropped.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.wake()
	limit := time.NewTimer(closeTime)
	defer limit.Stop()
	select {
	case <-w.done:
	case <-limit.C:
	}
}

// admit tells whether there is room for another line, and counts the line as dropped if there is none. It is asked before
// the line is encoded.
func (w *Writer) admit(class int) bool {
	now := w.opts.Timers.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	limit := queueBytes
	if class == debugLines {
		limit /= 2
	}
	if w.closed || len(w.pending) > limit || !w.rates[class].take(now) {
		w.lost[class]++
		w.dropped[class].Inc()
		return false
	}
	return true
}

// put takes a line that was admitted.
func (w *Writer) put(line []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines.Inc()
	w.pending = append(w.pending, line...)
	if len(w.pending) == len(line) {
		w.wake()
	}
}

func (w *Writer) wake() {
	select {
	case w.ready <- struct{}{}:
	default:
	}
}

func (w *Writer) run() {
	defer close(w.done)
	var batch []byte
	for range w.ready {
		time.Sleep(batchTime)
		w.mu.Lock()
		batch, w.pending = w.pending, batch[:0]
		batch = append(batch, w.notice()...)
		closed := w.closed
		w.mu.Unlock()
		if len(batch) > 0 {
			_, _ = w.out.Write(batch) // There is no other place to tell of a failure to write the log.
		}
		if closed {
			return
		}
	}
}

// notice returns a line that tells how many lines were dropped, if any were lately. The caller holds the lock.
func (w *Writer) notice() []byte {
	now := w.opts.Timers.Now()
	if w.lost == [2]int{} || now.Sub(w.noticed) < dropNotice {
		return nil
	}
	w.noticed = now
	buffer, err := w.encoder.Clone().EncodeEntry(zapcore.Entry{
		Level:   zapcore.WarnLevel,
		Time:    now,
		Message: "log lines were dropped",
	}, []zapcore.Field{
		zap.Int("debug", w.lost[debugLines]),
		zap.Int("info", w.lost[infoLines]),
	})
	w.lost = [2]int{}
	if err != nil {
		return nil // The metrics count the lines as well.
	}
	defer buffer.Free()
	return append([]byte(nil), buffer.Bytes()...)
}

// core is a zapcore.Core that hands lines to a Writer.
type core struct {
	writer  *Writer
	encoder zapcore.Encoder
}

// Enabled implements zapcore.Core.
func (c *core) Enabled(level zapcore.Level) bool { return c.writer.opts.Level.Enabled(level) }

// With implements zapcore.Core.
func (c *core) With(fields []zapcore.Field) zapcore.Core {
	encoder := c.encoder.Clone()
	for _, f := range fields {
		f.AddTo(encoder)
	}
	return &core{
		writer:  c.writer,
		encoder: encoder,
	}
}

// Check implements zapcore.Core.
func (c *core) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(e.Level) {
		return checked
	}
	class := infoLines
	if e.Level < zapcore.InfoLevel {
		class = debugLines
	}
	if !c.writer.admit(class) {
		return checked
	}
	return checked.AddCore(e, c)
}

// Write implements zapcore.Core. It never blocks and never fails.
func (c *core) Write(e zapcore.Entry, fields []zapcore.Field) error {
	buffer, err := c.encoder.EncodeEntry(e, fields)
	if err != nil {
		return err
	}
	defer buffer.Free()
	c.writer.put(buffer.Bytes())
	return nil
}

// Sync implements zapcore.Core. Close writes what is pending.
func (c *core) Sync() error { return nil }
