// Command standin-target runs stand-ins for targets in one process.
//
// It prints a line "NAME ADDRESS" for each target once all of them listen. The switches of each target can be changed
// under /standin/ at its address, see package standin.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"

	"skylarkbeam/standin"
)

const usage = `usage: standin-target [flags] [NAME=ADDRESS ...]

Runs a stand-in for each target in the list, or one at -listen if there is none.
Port 0 lets the kernel choose; the addresses are printed. Each flag can also be
set in the environment, as in STANDIN_WORK=5ms.

flags:
`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	switch {
	case err == nil:
	case errors.Is(err, flag.ErrHelp):
	case errors.Is(err, errUsage):
		fmt.Fprintln(os.Stderr, "standin-target:", err)
		os.Exit(2)
	default:
		fmt.Fprintln(os.Stderr, "standin-target:", err)
		os.Exit(1)
	}
}

var errUsage = errors.New("incorrect usage")

type config struct {
	listen  string
	name    string
	service string
	standin.Behavior
	targets []string
}

func parse(args []string, stderr io.Writer) (*config, error) {
	var c config
	flags := flag.NewFlagSet("standin-target", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {
		fmt.Fprint(stderr, usage)
		flags.PrintDefaults()
	}
	flags.StringVar(&c.listen, "listen", "127.0.0.1:0", "`address` if no targets are listed")
	flags.StringVar(&c.name, "name", "target", "`name` if no targets are listed")
	flags.StringVar(&c.service, "service", "", "`name` of the service")
	flags.IntVar(&c.Slots, "slots", 4, "calls that run at once")
	flags.IntVar(&c.QueueLimit, "queue", 16, "calls that wait beyond those")
	flags.IntVar(&c.ColdConcurrency, "bear", 1, "calls at once that a cold target bears")
	flags.DurationVar((*time.Duration)(&c.ColdDuration), "cold", 0, "how long a target is cold after its start")
	flags.DurationVar((*time.Duration)(&c.ServiceTime), "work", time.Millisecond, "how long a call runs")
	flags.DurationVar((*time.Duration)(&c.LoadReportAge), "stale", 0, "age of what load reads return")
	flags.StringVar(&c.Version, "version", "", "`version` of the software that the targets stand for")
	flags.Float64Var(&c.Slowdown, "slow", 1, "factor of the time that a call runs")
	flags.Func("fault", "`name` of the fault of calls, as under /standin/", func(name string) error {
		if !slices.Contains(standin.Faults, standin.Fault(name)) {
			return errors.Newf("fault %q does not exist", name)
		}
		c.Fault = standin.Fault(name)
		return nil
	})
	flags.Float64Var(&c.FaultShare, "share", 0, "fraction of the calls with the fault, 0 for all")
	flags.StringVar(&c.FaultPath, "path", "", "beginning of the `path` of calls with the fault")
	flags.BoolVar(&c.DiscardRuns, "forget", false, "do not record the runs of each call, which needs memory")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("STANDIN")); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return nil, err
		}
		return nil, errors.Mark(err, errUsage)
	}
	c.targets = flags.Args()
	if len(c.targets) == 0 {
		c.targets = []string{c.name + "=" + c.listen}
	}
	return &c, nil
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer) error {
	c, err := parse(args, stderr)
	if err != nil {
		return err
	}
	var servers []*standin.Server
	defer func() {
		for _, s := range servers {
			_ = s.Close()
		}
	}()
	for _, target := range c.targets {
		name, text, ok := strings.Cut(target, "=")
		if !ok || name == "" {
			return errors.Wrapf(errUsage, "target %q is not of the form NAME=ADDRESS", target)
		}
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return errors.Mark(errors.Wrapf(err, "address of target %s", name), errUsage)
		}
		s, err := standin.Start(standin.New(standin.Options{
			Name:     name,
			Service:  c.service,
			Behavior: c.Behavior,
		}), address)
		if err != nil {
			return err
		}
		servers = append(servers, s)
	}
	for _, s := range servers {
		fmt.Fprintln(stdout, s.Target.Name(), s.Address)
	}
	<-ctx.Done()
	return nil
}
