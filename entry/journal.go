package entry

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap/zapcore"
)

// journalSize is the number of events that an entry keeps. With 34 failures and restarts of VMs a day, most of which
// cause three events, it holds about two days.
const journalSize = 256

// Event is a change of state that the entry observed or made, with its reason.
type Event struct {
	Time time.Time `json:"time"`
	Text string    `json:"text"`
}

// journal is a ring buffer of the last events, shown in the status. It is filled by a log core, so that every package
// adds events by logging them.
type journal struct {
	mu     sync.Mutex
	events []Event
	next   int
}

func (j *journal) add(e Event) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.events) < journalSize {
		j.events = append(j.events, e)
		return
	}
	j.events[j.next] = e
	j.next = (j.next + 1) % journalSize
}

// list returns the events, oldest first.
func (j *journal) list() []Event {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Concat(j.events[j.next:], j.events[:j.next])
}

// journalCore is a zapcore.Core that writes to a journal.
type journalCore struct {
	zapcore.LevelEnabler
	journal *journal
	fields  []zapcore.Field
}

func newJournalCore(j *journal) zapcore.Core {
	return &journalCore{
		LevelEnabler: zapcore.InfoLevel,
		journal:      j,
	}
}

// With implements zapcore.Core.
func (c *journalCore) With(fields []zapcore.Field) zapcore.Core {
	return &journalCore{
		LevelEnabler: c.LevelEnabler,
		journal:      c.journal,
		fields:       slices.Concat(c.fields, fields),
	}
}

// Check implements zapcore.Core.
func (c *journalCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c *journalCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	encoder := zapcore.NewMapObjectEncoder()
	for _, f := range slices.Concat(c.fields, fields) {
		f.AddTo(encoder)
	}
	// The status names the entry already.
	delete(encoder.Fields, "entry")
	var text strings.Builder
	text.WriteString(e.Message)
	names := make([]string, 0, len(encoder.Fields))
	for name := range encoder.Fields {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&text, " %s=%v", name, encoder.Fields[name])
	}
	c.journal.add(Event{
		Time: e.Time,
		Text: text.String(),
	})
	return nil
}

// Sync implements zapcore.Core.
func (c *journalCore) Sync() error { return nil }
