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
			return explain(s.Out, args[0], args[1:], around)
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

// logs are the lines of several files.
type logs struct {
	lines []logLine
	bad   int
}

func (l *logs) read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if len(bytes.TrimSpace(scanner.Bytes())) == 0 {
			continue
		}
		if line, ok := parseLine(scanner.Bytes()); ok {
			l.lines = append(l.lines, line)
		} else {
			l.bad++
		}
	}
	return scanner.Err()
}

func readLogs(files []string) (*logs, error) {
	l := &logs{}
	if len(files) == 0 {
		return l, errors.Wrap(l.read(os.Stdin), "read standard input")
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "read a log")
		}
		err = l.read(file)
		file.Close()
		if err != nil {
			return nil, errors.Wrapf(err, "read %s", name)
		}
	}
	return l, nil
}

func explain(out io.Writer, id string, files []string, around time.Duration) error {
	l, err := readLogs(files)
	if err != nil {
		return err
	}
	var story []logLine
	for _, line := range l.lines {
		if line.Request == id {
			story = append(story, line)
		}
	}
	if len(story) == 0 {
		return errors.Newf("no line tells of request %q; %d lines were read, %d were no log lines", id, len(l.lines)+l.bad, l.bad)
	}
	slices.SortStableFunc(story, func(a, b logLine) int {
		return cmp.Or(a.Time.Add(-a.Elapsed).Truncate(time.Second).Compare(b.Time.Add(-b.Elapsed).Truncate(time.Second)),
			cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Elapsed, b.Elapsed))
	})
	printStory(out, id, story)
	printChanges(out, l.lines, story, around)
	if l.bad > 0 {
		fmt.Fprintf(out, "\n%d lines were passed over, because they are no log lines\n", l.bad)
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
		if line.Request != "" || line.Level == "debug" || from[line.Entry].IsZero() {
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
