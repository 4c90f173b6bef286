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
	"go.uber.org/zap"

	"skylarkbeam/entry"
	"skylarkbeam/platform"
	"skylarkbeam/setting"
	"skylarkbeam/standin"
	"skylarkbeam/timer"
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
	demoLimit   = 20 * time.Second
)

func newDemo(s streams) *ffcli.Command {
	var keep bool
	command := newCommand(s, "demo", "run a whole deployment in one process", demoUsage,
		func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return &usageError{
					reason: "demo takes no arguments",
					usage:  demoUsage,
				}
			}
			return demo(ctx, s.Out, keep)
		})
	command.FlagSet.BoolVar(&keep, "keep", false, "")
	return command
}

func demo(ctx context.Context, out io.Writer, keep bool) error {
	d := &deployment{
		platform: platform.NewMemory(timer.New()),
	}
	defer d.close()
	settings, err := d.start()
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "started 2 entries, %d targets and the platform in one process\n", 2*demoTargets)
	fmt.Fprintf(out, "waiting until the entries have agreed on who warms which target, and for the cold starts\n\n")
	if err := d.apply(settings); err != nil {
		return err
	}
	if err := d.session(out); err != nil {
		return err
	}
	if keep {
		fmt.Fprintf(out, "\ngoing on until interrupted; try:\n  curl -i -H 'Skylarkbeam-Caller: web' http://%s/availability/tides\n  skylarkbeam status -entry %s\n",
			d.entries[0].CallerAddress(), d.entries[0].ControlAddress())
		waitAndStop(ctx, d.entries[0])
	}
	return nil
}

// deployment is a whole system in one process.
type deployment struct {
	platform *platform.Memory
	entries  []*entry.Entry
	targets  []*standin.Server
}

func (d *deployment) close() {
	for _, e := range d.entries {
		e.Close()
	}
	for _, t := range d.targets {
		t.Close()
	}
}

// start starts the targets and the entries and returns the settings that describe them.
func (d *deployment) start() (*setting.Settings, error) {
	settings := &setting.Settings{
		Domains: map[string]setting.Domain{
			"cairns": {
				Region: "queensland",
			},
			"mackay": {
				Region: "queensland",
			},
		},
		Entries: map[string]setting.Entry{},
		Classes: map[string]setting.Class{
			"guest": {
				Share:    0.2,
				Deadline: setting.Duration(time.Second),
			},
		},
		Callers: map[string]setting.Caller{
			"web": {
				Class: "guest",
			},
		},
		Services: map[string]setting.Service{},
	}
	for _, name := range []string{"availability", "reservations"} {
		targets, err := d.startTargets(name)
		if err != nil {
			return nil, err
		}
		settings.Services[name] = setting.Service{
			Path:        "/" + name,
			Connections: 60,
			Slots:       2,
			Targets:     targets,
			Cold: setting.Cold{
				Bear: 1,
				Time: setting.Duration(500 * time.Millisecond),
			},
		}
	}
	for i, domain := range []string{"cairns", "mackay"} {
		name := fmt.Sprintf("entry-%d", i+1)
		e, err := d.startEntry(name, domain)
		if err != nil {
			return nil, err
		}
		settings.Entries[name] = setting.Entry{
			Domain:  domain,
			Caller:  e.CallerAddress(),
			Control: e.ControlAddress(),
		}
	}
	settings.Defaults()
	return settings, nil
}

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func (d *deployment) startTargets(service string) (map[string]setting.Target, error) {
	targets := map[string]setting.Target{}
	for i := range demoTargets {
		name := fmt.Sprintf("%s-%d", service, i+1)
		server, err := standin.Start(standin.New(standin.Options{
			Name:    name,
			Service: service,
			Switches: standin.Switches{
				Slots: 2,
				Bear:  1,
				Cold:  standin.Duration(500 * time.Millisecond),
				Work:  standin.Duration(2 * time.Millisecond),
			},
		}), loopback)
		if err != nil {
			return nil, errors.Wrap(err, "starting a target")
		}
		d.targets = append(d.targets, server)
		targets[name] = setting.Target{
			Address: server.Address,
			Domain:  []string{"cairns", "mackay"}[i%2],
		}
	}
	return targets, nil
}

func (d *deployment) startEntry(name, domain string) (*entry.Entry, error) {
	e, err := entry.Assemble(entry.Options{
		Name:     name,
		Domain:   domain,
		Caller:   loopback,
		Control:  loopback,
		Platform: d.platform,
		Logger:   zap.NewNop(),
	})
	if err != nil {
		return nil, errors.Wrap(err, "starting an entry")
	}
	e.Start()
	d.entries = append(d.entries, e)
	return e, nil
}

// apply puts the settings in force and waits until every entry runs them.
func (d *deployment) apply(settings *setting.Settings) error {
	data, err := settings.Encode()
	if err != nil {
		return err
	}
	o := &operator{
		entry: d.entries[0].ControlAddress().String(),
		who:   "demo",
	}
	deadline := time.Now().Add(demoLimit)
	for {
		o.id, o.base = newID(), 0
		err := o.change(context.Background(), io.Discard, http.MethodPut, "settings", entry.Change{
			Settings: data,
		})
		if err == nil {
			break
		}
		// The entries need a moment to hear each other before they accept a change.
		if time.Now().After(deadline) {
			return errors.Wrap(err, "applying the settings")
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, e := range d.entries {
		for !e.Ready() || !allWarm(e) {
			if time.Now().After(deadline) {
				return errors.New("the entries did not become ready")
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// allWarm tells whether the entry knows that all targets have finished their cold start.
func allWarm(e *entry.Entry) bool {
	for _, p := range e.Status().Phases {
		if p.Warm == "" {
			return false
		}
	}
	return true
}

// session shows a caller's first steps.
func (d *deployment) session(out io.Writer) error {
	first, second := d.entries[0].CallerAddress(), d.entries[1].CallerAddress()
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
		if err := send(out, s.method, s.entry, s.path, s.key); err != nil {
			return err
		}
		// The record of an answer is written a moment after the answer.
		time.Sleep(50 * time.Millisecond)
	}
	runs := 0
	for _, t := range d.targets {
		runs += t.Target.KeyRuns("booking-1")
	}
	fmt.Fprintf(out, "-- the targets ran the booking %d time(s)\n", runs)
	return nil
}

func send(out io.Writer, method string, address netip.AddrPort, path, key string) error {
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
