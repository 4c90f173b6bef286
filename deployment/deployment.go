// Package deployment runs a whole system in one process: the platform in memory, stand-ins for targets, and entries. The
// demo and the tests use it.
//
// # Usage
//
//	d, err := deployment.Start(deployment.Options{
//		Entries: 2,
//		Services: []deployment.Service{
//			{
//				Name:    "availability",
//				Targets: 3,
//			},
//		},
//	})
//	if err != nil {
//		return err
//	}
//	defer d.Close()
//	err = d.WaitWarm(ctx)
package deployment

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"skylarkbeam/entry"
	"skylarkbeam/fleet"
	"skylarkbeam/setting"
	"skylarkbeam/standin"
	"skylarkbeam/store"
	"skylarkbeam/timer"
)

// FailureDomains are the failure domains of every deployment; entries and targets are spread over them.
var FailureDomains = []string{"cairns", "townsville", "mackay"}

const (
	region = "queensland"
	// pollInterval is how often a state that is waited for is looked at.
	pollInterval = 20 * time.Millisecond
	// defaultServiceDeadline is the deadline of a service, which must not be below that of the callers.
	defaultServiceDeadline = 2 * time.Second
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// Options describe a deployment. Zero values select the defaults.
type Options struct {
	// Entries is the number of entries; the default is 1.
	Entries  int
	Services []Service
	// Callers are the shares of the callers by name; the default is a caller "web" with a share of 0.2.
	Callers map[string]float64
	// Deadline is the deadline of the calls of all callers; the default is a second.
	Deadline time.Duration
	// Limits are the limits of the settings.
	Limits setting.Limits
	Logger *zap.Logger
}

// Service is a service with its targets.
type Service struct {
	Name    string
	Targets int
	// Behavior are how its targets behave.
	Behavior standin.Behavior
	// ServiceTime is the usual time of a call as the settings have it.
	ServiceTime time.Duration
	// ProbesPerSecond is the number of load reads and connection checks per target and second; zero for the default of the settings.
	ProbesPerSecond int
}

// SetDefaults fills in what was left out.
func (o *Options) SetDefaults() {
	if o.Entries <= 0 {
		o.Entries = 1
	}
	if o.Callers == nil {
		o.Callers = map[string]float64{
			"web": 0.2,
		}
	}
	if o.Deadline <= 0 {
		o.Deadline = time.Second
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
}

// Deployment is a running system.
type Deployment struct {
	Platform *store.Memory
	Entries  []*entry.Entry
	// Targets are the stand-ins by name.
	Targets  map[string]*standin.Server
	Settings *setting.Settings

	opts Options
}

// Start starts the platform, the targets and the entries, and puts the settings that describe them in force.
func Start(o Options) (*Deployment, error) {
	o.SetDefaults()
	d := &Deployment{
		Platform: store.NewMemory(timer.New()),
		Targets:  map[string]*standin.Server{},
		Settings: newSettings(o),
		opts:     o,
	}
	for _, s := range o.Services {
		if err := d.startService(s); err != nil {
			d.Close()
			return nil, err
		}
	}
	for i := range o.Entries {
		if err := d.startEntry(fmt.Sprintf("entry-%d", i+1), FailureDomains[i%len(FailureDomains)]); err != nil {
			d.Close()
			return nil, err
		}
	}
	d.Settings.SetDefaults()
	return d, d.Apply(context.Background())
}

// Close stops everything at once.
func (d *Deployment) Close() {
	for _, e := range d.Entries {
		e.Close()
	}
	for _, t := range d.Targets {
		t.Close()
	}
}

func newSettings(o Options) *setting.Settings {
	s := &setting.Settings{
		Domains:  map[string]setting.Domain{},
		Entries:  map[string]setting.Entry{},
		Classes:  map[string]setting.Class{},
		Callers:  map[string]setting.Caller{},
		Services: map[string]setting.Service{},
		Limits:   o.Limits,
	}
	for _, name := range FailureDomains {
		s.Domains[name] = setting.Domain{
			Region: region,
		}
	}
	for name, share := range o.Callers {
		s.Classes[name] = setting.Class{
			Share:    share,
			Deadline: setting.Duration(o.Deadline),
		}
		s.Callers[name] = setting.Caller{
			Class: name,
		}
	}
	return s
}

func (d *Deployment) startService(s Service) error {
	targets := map[string]setting.Target{}
	for i := range s.Targets {
		name := fmt.Sprintf("%s-%d", s.Name, i+1)
		server, err := standin.Start(standin.New(standin.Options{
			Name:     name,
			Service:  s.Name,
			Behavior: s.Behavior,
		}), loopback)
		if err != nil {
			return errors.Wrap(err, "starting a target")
		}
		d.Targets[name] = server
		targets[name] = setting.Target{
			Address: server.Address,
			Domain:  FailureDomains[i%len(FailureDomains)],
		}
	}
	switches := s.Behavior
	switches.SetDefaults()
	d.Settings.Services[s.Name] = setting.Service{
		Path:        "/" + s.Name,
		Slots:       switches.Slots,
		Connections: 200,
		Deadline:    setting.Duration(max(d.opts.Deadline, defaultServiceDeadline)),
		Targets:     targets,
		Work:        setting.Duration(max(s.ServiceTime, time.Millisecond)),
		Probes:      s.ProbesPerSecond,
		Cold: setting.Cold{
			Bear: max(switches.ColdConcurrency, 1),
			Time: setting.Duration(max(time.Duration(switches.ColdDuration), time.Millisecond)),
		},
	}
	return nil
}

func (d *Deployment) startEntry(name, domain string) error {
	e, err := entry.Assemble(entry.Options{
		Name:           name,
		Domain:         domain,
		CallerAddress:  loopback,
		ControlAddress: loopback,
		Platform:       d.Platform,
		Logger:         d.opts.Logger,
	})
	if err != nil {
		return errors.Wrap(err, "starting an entry")
	}
	e.Start()
	d.Entries = append(d.Entries, e)
	d.Settings.Entries[name] = setting.Entry{
		Domain:  domain,
		Caller:  e.CallerAddress(),
		Control: e.ControlAddress(),
	}
	return nil
}

// Apply puts the settings in force. A change is refused until the entries have heard each other, so it is tried again for
// a while.
func (d *Deployment) Apply(ctx context.Context) error {
	data, err := d.Settings.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	var last fleet.Decision
	err = poll(ctx, func() bool {
		last = d.Entries[0].Apply(ctx, fleet.Change{
			ID:          rand.Text(),
			BaseVersion: d.Entries[0].Status().BaseVersion,
			Who:         "deployment",
		}, data)
		_, ok := last.(*fleet.Accepted)
		return ok
	})
	if err != nil {
		return errors.Wrapf(err, "applying the settings: last decision %+v", last)
	}
	return nil
}

// WaitWarm waits until every entry has settings and contact, and knows that all targets have finished their cold start.
func (d *Deployment) WaitWarm(ctx context.Context) error {
	return errors.Wrap(poll(ctx, func() bool {
		for _, e := range d.Entries {
			if !e.Ready() || !allWarm(e) {
				return false
			}
		}
		return true
	}), "waiting for the cold starts")
}

func allWarm(e *entry.Entry) bool {
	for _, p := range e.Status().TargetStatuses {
		if p.WarmInstance == "" {
			return false
		}
	}
	return true
}

func poll(ctx context.Context, ok func() bool) error {
	for !ok() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return nil
}
