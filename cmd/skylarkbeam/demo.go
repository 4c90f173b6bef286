package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"skylarkbeam/deployment"
	"skylarkbeam/standin"
)

const demoUsage = `demo runs a whole deployment in one process and sends calls through it.

Usage:
  skylarkbeam demo [-keep]

Two entries, six targets and the platform run in memory, on ports of 127.0.0.1 that the
system chooses. The demo asks for an address, reads, books, and repeats the booking at
the other entry, where it is not run again.

Flags:
  -keep   go on until interrupted, so that you can send calls of your own

Examples:
  skylarkbeam demo
  skylarkbeam demo -keep
`

const (
	demoTargets = 3
	demoLimit   = 30 * time.Second
)

func newDemo(s streams) *ffcli.Command {
	var keep bool
	command := newCommand(s, "demo", "run a whole deployment in one process", demoUsage,
		func(ctx context.Context, args []string) error {
			if err := noArguments(args, "demo", demoUsage); err != nil {
				return err
			}
			return demo(ctx, s.Out, keep)
		})
	command.FlagSet.BoolVar(&keep, "keep", false, "")
	return command
}

func demo(ctx context.Context, out io.Writer, keep bool) error {
	switches := standin.Behavior{
		Slots:           2,
		QueueLimit:      8,
		ColdConcurrency: 1,
		ColdDuration:    standin.Duration(500 * time.Millisecond),
		ServiceTime:     standin.Duration(2 * time.Millisecond),
	}
	d, err := deployment.Start(deployment.Options{
		Entries: 2,
		Services: []deployment.Service{
			{
				Name:     "availability",
				Targets:  demoTargets,
				Behavior: switches,
			},
			{
				Name:     "reservations",
				Targets:  demoTargets,
				Behavior: switches,
			},
		},
	})
	if err != nil {
		return err
	}
	defer d.Close()
	fmt.Fprintf(out, "started 2 entries, %d targets and the platform in one process\n", len(d.Targets))
	fmt.Fprintf(out, "waiting until the entries have agreed on who warms which target, and for the cold starts\n\n")
	warm, cancel := context.WithTimeout(ctx, demoLimit)
	defer cancel()
	if err := d.WaitWarm(warm); err != nil {
		return err
	}
	if err := demoSession(out, d); err != nil {
		return err
	}
	if keep {
		fmt.Fprintf(out, "\ngoing on until interrupted; try:\n  curl -i -H 'Skylarkbeam-Caller: web' http://%s/availability/tides\n  skylarkbeam status -entry %s\n",
			d.Entries[0].CallerAddress(), d.Entries[0].ControlAddress())
		waitAndStop(ctx, d.Entries[0])
	}
	return nil
}

// demoSession shows a caller's first steps.
func demoSession(out io.Writer, d *deployment.Deployment) error {
	first, second := d.Entries[0].CallerAddress(), d.Entries[1].CallerAddress()
	steps := []struct {
		title, method, path, key string
		entry                    netip.AddrPort
	}{
		{
			title:  "a caller asks which addresses to use",
			method: http.MethodGet,
			path:   "/skylarkbeam/addresses?domain=cairns",
			entry:  first,
		},
		{
			title:  "it reads",
			method: http.MethodGet,
			path:   "/availability/tides",
			entry:  first,
		},
		{
			title:  "it books",
			method: http.MethodPost,
			path:   "/reservations/cottage-7",
			key:    "booking-1",
			entry:  first,
		},
		{
			title:  "it repeats the booking at the other entry, which does not run it again",
			method: http.MethodPost,
			path:   "/reservations/cottage-7",
			key:    "booking-1",
			entry:  second,
		},
	}
	for _, s := range steps {
		fmt.Fprintf(out, "-- %s\n", s.title)
		if err := demoCall(out, s.method, s.entry, s.path, s.key); err != nil {
			return err
		}
		// The record of an answer is written a moment after the answer.
		time.Sleep(50 * time.Millisecond)
	}
	runs := 0
	for _, t := range d.Targets {
		runs += t.Target.RunsForKey("booking-1")
	}
	fmt.Fprintf(out, "-- the targets ran the booking %d time(s)\n", runs)
	return nil
}

func demoCall(out io.Writer, method string, address netip.AddrPort, path, key string) error {
	req, err := http.NewRequest(method, "http://"+address.String()+path, nil)
	if err != nil {
		return errors.Wrap(err, "building a call")
	}
	req.Header.Set("Skylarkbeam-Caller", "web")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	fmt.Fprintf(out, "> %s http://%s%s\n", method, address, path)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return errors.Wrap(err, "sending a call")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "reading the answer")
	}
	fmt.Fprintf(out, "< %s\n", resp.Status)
	for _, name := range []string{"Skylarkbeam-Outcome", "Skylarkbeam-Reason", "Skylarkbeam-Replayed", "Retry-After"} {
		if v := resp.Header.Get(name); v != "" {
			fmt.Fprintf(out, "< %s: %s\n", name, v)
		}
	}
	line, _, _ := strings.Cut(string(body), "\n")
	fmt.Fprintf(out, "< %d bytes: %s\n\n", len(body), line)
	return nil
}
