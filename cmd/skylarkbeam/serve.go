package main

import (
	"context"
	"flag"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"skylarkbeam/entry"
	"skylarkbeam/logging"
	"skylarkbeam/platform"
	"skylarkbeam/store"
)

const serveUsage = `serve runs an entry process.

Usage:
  skylarkbeam serve [flags]

Flags:
  -name NAME          name of this entry in the settings
  -domain NAME        failure domain of this entry
  -caller IP:PORT     address for callers
  -control IP:PORT    address for peers, operators and metrics
  -advertise IP:PORT  control address given to other entries, where it is not that of
                      -control, such as behind a forwarded port
  -platform IP:PORT   address of the platform's table, object store and VM list
  -seeds LIST         control addresses of other entries, separated by commas, to
                      start from while the platform is down
  -isolation MODE     what this entry does without contact: "stop" refuses new calls,
                      "serve" goes on and may use drained failure domains; left out,
                      limits.isolation of the settings decides
  -config FILE        JSON file with any of these flags as fields
  -boot FILE          settings file of a machine of the users' platform (TOML), in place
                      of the flags above but -advertise; see docs/platform.md
  -metrics PORT       with -boot, port for metrics at the machine's address

Each flag can also be set in the environment, as in SKYLARKBEAM_NAME=entry-1.

SIGTERM shuts down without cutting a call: the entry goes on for as long as callers
keep its address, then until its last call has ended. A second SIGTERM stops at once.

Examples:
  skylarkbeam serve -config entry-1.json
  skylarkbeam serve -name entry-1 -domain cairns -caller 127.0.0.1:7101 \
      -control 127.0.0.1:7201 -platform 127.0.0.1:7000
`

const (
	// collectorPercent is the default of GOGC for an entry. Calls leave little live memory and much garbage: 400 instead of
	// the usual 100 took 5% off the processor time of a call at 6000 calls/s.
	collectorPercent = 400
	// memoryLimit is the default of GOMEMLIMIT in bytes: 64 MB for control and a few hundred for calls. Up to 250 MiB of
	// live memory, the collector runs no more often than at the usual 100 percent.
	memoryLimit = 512 << 20
)

// serveFlags are the flags of serve as they are written.
type serveFlags struct {
	name, domain, caller, control, advertise, platform, seeds, isolation, boot, metrics string
}

func newServe(s streams) *ffcli.Command {
	var f serveFlags
	command := newCommand(s, "serve", "run an entry process", serveUsage,
		func(ctx context.Context, args []string) error {
			if err := noArguments(args, "serve", serveUsage); err != nil {
				return err
			}
			if f.boot != "" {
				return serveBoot(ctx, s, f)
			}
			return serve(ctx, s, f)
		})
	f.register(command.FlagSet)
	command.Options = []ff.Option{
		ff.WithEnvVarPrefix("SKYLARKBEAM"),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(ff.JSONParser),
	}
	return command
}

func (f *serveFlags) register(flags *flag.FlagSet) {
	flags.StringVar(&f.name, "name", "", "")
	flags.StringVar(&f.domain, "domain", "", "")
	flags.StringVar(&f.caller, "caller", "", "")
	flags.StringVar(&f.control, "control", "", "")
	flags.StringVar(&f.advertise, "advertise", "", "")
	flags.StringVar(&f.platform, "platform", "", "")
	flags.StringVar(&f.seeds, "seeds", "", "")
	flags.StringVar(&f.isolation, "isolation", "", "")
	flags.StringVar(&f.boot, "boot", "", "")
	flags.StringVar(&f.metrics, "metrics", "", "")
	flags.String("config", "", "")
}

// entryOptions returns the options set by the flags and the address of the platform, or an error that lists every
// invalid flag.
func (f *serveFlags) entryOptions() (entry.Options, netip.AddrPort, error) {
	var faults []string
	address := func(name, text string) netip.AddrPort {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			faults = append(faults, "-"+name+" must be IP:PORT, not \""+text+"\"")
		}
		return a
	}
	opts := entry.Options{
		Name:                f.name,
		Domain:              f.domain,
		CallerAddress:       address("caller", f.caller),
		ControlAddress:      address("control", f.control),
		ServeWithoutContact: f.isolation == "serve",
	}
	if f.advertise != "" {
		opts.AdvertiseAddress = address("advertise", f.advertise)
	}
	table := address("platform", f.platform)
	for _, text := range strings.FieldsFunc(f.seeds, func(r rune) bool { return r == ',' }) {
		opts.Seeds = append(opts.Seeds, address("seeds", text))
	}
	if f.name == "" {
		faults = append(faults, "-name is missing")
	}
	if f.domain == "" {
		faults = append(faults, "-domain is missing")
	}
	if f.isolation != "" && f.isolation != "serve" && f.isolation != "stop" {
		faults = append(faults, "-isolation must be \"stop\" or \"serve\", not \""+f.isolation+"\"")
	}
	if len(faults) > 0 {
		return opts, table, &usageError{
			reason: strings.Join(faults, "; "),
			usage:  serveUsage,
		}
	}
	return opts, table, nil
}

func serve(ctx context.Context, s streams, f serveFlags) error {
	tuneCollector()
	opts, table, err := f.entryOptions()
	if err != nil {
		return err
	}
	log := logging.NewWriter(s.Out, logging.Options{
		Metrics: metrics.GetDefaultSet(),
	})
	defer log.Close()
	opts.Logger = log.Logger()
	client := store.NewClient(store.ClientOptions{
		Address: table,
	})
	defer client.Close()
	opts.Platform = client
	e, err := entry.Assemble(opts)
	if err != nil {
		return errors.Wrap(err, "assembling the entry")
	}
	e.Start()
	waitAndStop(ctx, e)
	return nil
}

// serveBoot runs an entry on a machine of the users' platform.
func serveBoot(ctx context.Context, s streams, f serveFlags) error {
	// A signal that comes before this ends the process, as does one that nobody receives, so this is the first step and
	// is never undone.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	boot, err := platform.ReadMachineSettings(f.boot)
	if err != nil {
		return err
	}
	if f.metrics != "" {
		port, err := strconv.ParseUint(f.metrics, 10, 16)
		if err != nil || port == 0 {
			return &usageError{
				reason: "-metrics must be a port, not \"" + f.metrics + "\"",
				usage:  serveUsage,
			}
		}
		boot.MetricsAddress = netip.AddrPortFrom(boot.CallerAddress.Addr(), uint16(port))
	}
	if f.advertise != "" {
		if boot.AdvertiseAddress, err = netip.ParseAddrPort(f.advertise); err != nil {
			return &usageError{
				reason: "-advertise must be IP:PORT, not \"" + f.advertise + "\"",
				usage:  serveUsage,
			}
		}
	}
	// Memory has a price there, and an entry has few calls for its size.
	debug.SetMemoryLimit(boot.MemoryLimit())
	log := logging.NewWriter(s.Out, logging.Options{
		Metrics: metrics.GetDefaultSet(),
	})
	defer log.Close()
	machine := platform.NewAdapter(f.boot, boot, log.Logger())
	defer machine.Close()
	e, err := entry.Assemble(machine.Options())
	if err != nil {
		return errors.Wrap(err, "assembling the entry")
	}
	defer reloadOnHangup(hangups, machine)()
	e.Start()
	waitAndStop(ctx, e)
	return nil
}

// reloadOnHangup makes each hangup reload the settings of the machine, until the result is called.
func reloadOnHangup(hangups <-chan os.Signal, machine *platform.Adapter) (stop func()) {
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-hangups:
				machine.Reload()
			case <-done:
				return
			}
		}
	}()
	return func() { close(done) }
}

// tuneCollector makes the garbage collector run less often than by default, unless GOGC or GOMEMLIMIT are set.
func tuneCollector() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(collectorPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
}

// waitAndStop shuts an entry down at the first signal and stops it at the second.
func waitAndStop(ctx context.Context, e *entry.Entry) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	select {
	case <-signals:
	case <-ctx.Done():
	}
	stop, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	e.Shutdown(stop)
}
