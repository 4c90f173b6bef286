package main

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
)

const explainUsage = `explain prints what the logs of entries tell of one request.

Usage:
  skylarkbeam explain [-around DURATION] ID [FILE ...]

It reads log lines from the files, or from standard input if none is named, and prints
the lines about the request in order, with the time since the request arrived and the
inputs of each decision. Lines that are not JSON are passed over and counted; text
before the JSON, as a log collector puts there, does not matter.

Below it prints the changes of state that the entries of the request logged from
-around before it arrived until it ended, such as a lost store or a new desired state.

The logs may be of any size: only lines about the request and the changes of state of
the last minutes are kept. On a terminal, the part that has been read is shown.

Flags:
  -around DURATION   how long before the request changes of state count (5s)

Examples:
  skylarkbeam explain 9c41d07be2a35f68 entry-*.log
  journalctl -u skylarkbeam -o cat | skylarkbeam explain 9c41d07be2a35f68
`

func newExplain(s streams) *ffcli.Command {
	var around time.Duration
	command := newCommand(s, "explain", "print what logs tell of one request", explainUsage,
		func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return &usageError{
					reason: "need the id of a request",
					usage:  explainUsage,
				}
			}
			return explain(s, args[0], args[1:], around)
		})
	command.FlagSet.DurationVar(&around, "around", 5*time.Second, "")
	return command
}

// maxLine is the length in bytes of the longest log line that is read.
const maxLine = 1 << 20

// logLine is one line of a log.
type logLine struct {
	Time    time.Time
	Level   string
	Message string
	Entry   string
	Request string
	// Elapsed is the time since the request arrived, Fields are all others.
	Elapsed time.Duration
	Fields  map[string]any
}

// parseLine reads a line; ok is false if it has no JSON object with a message.
func parseLine(text []byte) (line logLine, ok bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return line, false
	}
	if json.Unmarshal(text[start:], &line.Fields) != nil {
		return line, false
	}
	take := func(name string) string {
		value, _ := line.Fields[name].(string)
		delete(line.Fields, name)
		return value
	}
	line.Level, line.Message, line.Entry, line.Request = take("level"), take("msg"), take("entry"), take("request")
	var err error
	if line.Time, err = time.Parse(time.RFC3339, take("ts")); err != nil || line.Message == "" {
		return line, false
	}
	if text := take("elapsed"); text != "" {
		if line.Elapsed, err = time.ParseDuration(text); err != nil {
			return line, false
		}
	}
	return line, true
}

// requestLog collects the lines about one request from logs that are read once, and the changes of state around it.
type requestLog struct {
	id string
	// window is how long changes of state are kept until the request is seen at their entry.
	window  time.Duration
	story   []logLine
	entries map[string]*entryChanges
	// lines and bad are the numbers of lines read, and of those that are no log lines.
	lines, bad int
}

// entryChanges are the changes of state of an entry: kept ones from the time of the request, and those since then or, if
// it has not been seen, of the last window.
type entryChanges struct {
	kept, recent []rawLine
}

// rawLine is a line that is parsed only if it is needed.
type rawLine struct {
	at   time.Time
	text []byte
}

const (
	// maxRequestTime is the longest time that is allowed for between the arrival of a request and its first line.
	maxRequestTime = time.Minute
	// maxRecentLines bounds the memory for the changes of state of one entry.
	maxRecentLines = 4000
)

func newRequestLog(id string, around time.Duration) *requestLog {
	return &requestLog{
		id:      id,
		window:  around + maxRequestTime,
		entries: map[string]*entryChanges{},
	}
}

func (l *requestLog) read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if len(bytes.TrimSpace(scanner.Bytes())) > 0 {
			l.add(scanner.Bytes())
		}
	}
	return scanner.Err()
}

// add adds a line. Nearly all lines are about other requests, or details of single load reads, and are not parsed.
func (l *requestLog) add(text []byte) {
	l.lines++
	ofRequest := bytes.Contains(text, []byte(l.id))
	if !ofRequest && (bytes.Contains(text, []byte(`"request":"`)) || bytes.Contains(text, []byte(`"level":"debug"`))) {
		return
	}
	if ofRequest {
		if line, ok := parseLine(text); ok && line.Request == l.id {
			l.story = append(l.story, line)
			e := l.entryOf(line.Entry)
			e.kept = append(e.kept, e.recent...)
			e.recent = nil
			return
		}
	}
	at, err := time.Parse(time.RFC3339, stringField(text, "ts"))
	if err != nil {
		l.bad++
		return
	}
	e := l.entryOf(stringField(text, "entry"))
	e.recent = append(e.recent, rawLine{
		at:   at,
		text: bytes.Clone(text),
	})
	for at.Sub(e.recent[0].at) > l.window || len(e.recent) > maxRecentLines {
		e.recent = e.recent[1:]
	}
}

func (l *requestLog) entryOf(name string) *entryChanges {
	if l.entries[name] == nil {
		l.entries[name] = &entryChanges{}
	}
	return l.entries[name]
}

// stringField returns a field of a log line without parsing the rest, or "" if it is not there.
func stringField(text []byte, name string) string {
	_, rest, _ := bytes.Cut(text, []byte(`"`+name+`":"`))
	value, _, _ := bytes.Cut(rest, []byte(`"`))
	return string(value)
}

// changes returns the changes of state at the entries of the request, and counts lines that cannot be read.
func (l *requestLog) changes() []logLine {
	var list []logLine
	for _, e := range l.entries {
		if len(e.kept) == 0 {
			continue
		}
		// Lines of one entry can be out of order by milliseconds.
		for _, raw := range slices.Concat(e.kept, e.recent) {
			if line, ok := parseLine(raw.text); !ok {
				l.bad++
			} else if line.Request == "" && line.Level != "debug" {
				list = append(list, line)
			}
		}
	}
	return list
}

// readFiles reads the files, or standard input if there are none.
func (l *requestLog) readFiles(names []string, p *progress) error {
	if len(names) == 0 {
		return errors.Wrap(l.read(p.reader(os.Stdin)), "read standard input")
	}
	for _, name := range names {
		if info, err := os.Stat(name); err == nil {
			p.total += info.Size()
		}
	}
	for _, name := range names {
		file, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "read a log")
		}
		err = l.read(p.reader(file))
		file.Close()
		if err != nil {
			return errors.Wrapf(err, "read %s", name)
		}
	}
	return nil
}

// progress shows on a terminal how much has been read.
type progress struct {
	// out is nil if there is no terminal.
	out io.Writer
	// read and total are numbers of bytes. The total is zero if it is not known.
	read, total int64
	shownAt     time.Time
}

const (
	progressInterval = 500 * time.Millisecond
	megabyte         = 1 << 20
)

// newProgress returns a progress that writes to out if that is a terminal.
func newProgress(out io.Writer) *progress {
	p := &progress{
		shownAt: time.Now(),
	}
	if file, ok := out.(*os.File); ok {
		if info, err := file.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 {
			p.out = out
		}
	}
	return p
}

func (p *progress) reader(r io.Reader) io.Reader {
	return &countedReader{
		Reader:   r,
		progress: p,
	}
}

// add counts bytes that have been read.
func (p *progress) add(n int) {
	p.read += int64(n)
	if p.out == nil || time.Since(p.shownAt) < progressInterval {
		return
	}
	p.shownAt = time.Now()
	if p.total > 0 {
		fmt.Fprintf(p.out, "\r%d of %d MB", p.read/megabyte, p.total/megabyte)
	} else {
		fmt.Fprintf(p.out, "\r%d MB", p.read/megabyte)
	}
}

// end clears the line.
func (p *progress) end() {
	if p.out != nil {
		fmt.Fprint(p.out, "\r\x1b[K")
	}
}

// countedReader passes the number of bytes read on to a progress.
type countedReader struct {
	io.Reader
	progress *progress
}

// Read implements io.Reader.
func (r *countedReader) Read(data []byte) (int, error) {
	n, err := r.Reader.Read(data)
	r.progress.add(n)
	return n, err
}

func explain(s streams, id string, files []string, around time.Duration) error {
	l := newRequestLog(id, around)
	p := newProgress(s.Err)
	err := l.readFiles(files, p)
	p.end()
	if err != nil {
		return err
	}
	if len(l.story) == 0 {
		return errors.Newf("no line tells of request %q; %d lines were read, %d were no log lines", id, l.lines, l.bad)
	}
	slices.SortStableFunc(l.story, func(a, b logLine) int {
		return cmp.Or(a.Time.Add(-a.Elapsed).Truncate(time.Second).Compare(b.Time.Add(-b.Elapsed).Truncate(time.Second)),
			cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Elapsed, b.Elapsed))
	})
	printStory(s.Out, id, l.story)
	printChanges(s.Out, l.changes(), l.story, around)
	if l.bad > 0 {
		fmt.Fprintf(s.Out, "\n%d lines were passed over, because they are no log lines\n", l.bad)
	}
	return nil
}

// printStory prints the lines about a request, those of each entry by the time since the request arrived there.
func printStory(out io.Writer, id string, story []logLine) {
	fmt.Fprintf(out, "request %s\n", id)
	entry := ""
	for _, line := range story {
		if line.Entry != entry {
			entry = line.Entry
			fmt.Fprintf(out, "\nat %s, arrived %s, route %v, service %v, state %v\n", entry,
				line.Time.Add(-line.Elapsed).Format("15:04:05.000"), line.Fields["route"], line.Fields["service"], line.Fields["state"])
		}
		fmt.Fprintf(out, "  %+10.3f s  %s%s\n", line.Elapsed.Seconds(), line.Message, fieldsOf(line, "route", "service", "state", "left"))
	}
}

// printChanges prints the changes of state at the entries of the request around its time.
func printChanges(out io.Writer, lines, story []logLine, around time.Duration) {
	from, to := map[string]time.Time{}, map[string]time.Time{}
	for _, line := range story {
		if at := line.Time.Add(-line.Elapsed - around); from[line.Entry].IsZero() || at.Before(from[line.Entry]) {
			from[line.Entry] = at
		}
		if line.Time.After(to[line.Entry]) {
			to[line.Entry] = line.Time
		}
	}
	var changes []logLine
	for _, line := range lines {
		if from[line.Entry].IsZero() {
			continue
		}
		if !line.Time.Before(from[line.Entry]) && !line.Time.After(to[line.Entry]) {
			changes = append(changes, line)
		}
	}
	if len(changes) == 0 {
		return
	}
	slices.SortStableFunc(changes, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	fmt.Fprintf(out, "\nchanges of state from %s before\n", around)
	for _, line := range changes {
		fmt.Fprintf(out, "  %s  %s  %s%s\n", line.Time.Format("15:04:05.000"), line.Entry, line.Message, fieldsOf(line))
	}
}

// fieldsOf returns the other fields of a line in the order of their names.
func fieldsOf(line logLine, without ...string) string {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
		if slices.Contains(without, name) {
			continue
		}
		switch value := line.Fields[name].(type) {
		case float64:
			fmt.Fprintf(&text, " %s=%.4g", name, value)
		case string:
			fmt.Fprintf(&text, " %s=%s", name, shorten(value))
		default:
			fmt.Fprintf(&text, " %s=%v", name, value)
		}
	}
	return text.String()
}

// shorten rounds durations to a few digits.
func shorten(value string) string {
	d, err := time.ParseDuration(value)
	if err != nil {
		return value
	}
	switch {
	case d.Abs() > time.Second:
		d = d.Round(time.Millisecond)
	case d.Abs() > time.Millisecond:
		d = d.Round(10 * time.Microsecond)
	}
	return d.String()
}
