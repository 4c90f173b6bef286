// Command standin-platform serves the platform's table, object store and list of VMs from memory, for tests and
// demonstrations. Everything is lost when it ends.
//
// # Usage
//
//	standin-platform [flags]
//
// It prints "listening on ADDRESS" when it accepts connections. Under /platform it serves store.Client, under
// /control it serves the faults and counters that store.NewControl describes.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"

	"skylarkbeam/store"
	"skylarkbeam/timer"
)

const usage = `Usage: standin-platform [flags]

Serves the platform from memory. Flags can also be set by environment variables such as STANDIN_PLATFORM_LISTEN.

`

type options struct {
	listen string
	faults store.Faults
}

func main() {
	o, err := parse(os.Args[1:])
	if errors.Is(err, flag.ErrHelp) {
		os.Exit(0)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-platform:", err)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, o, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "standin-platform:", err)
		os.Exit(1)
	}
}

func parse(args []string) (options, error) {
	var o options
	fs := flag.NewFlagSet("standin-platform", flag.ContinueOnError)
	fs.Usage = func() {
		fmt.Fprint(os.Stderr, usage)
		fs.PrintDefaults()
	}
	fs.StringVar(&o.listen, "listen", "127.0.0.1:7000", "`address` to listen on; port 0 lets the system choose")
	fs.IntVar(&o.faults.WritesPerSecond, "writes", 300, "writes per second, 0 for no limit")
	fs.IntVar(&o.faults.ReadsPerSecond, "reads", 2000, "reads per second, 0 for no limit")
	fs.DurationVar(&o.faults.RequestDelay, "delay", 0, "time before the effect of each request")
	fs.DurationVar(&o.faults.VMListLag, "lag", 0, "age of the list of VMs")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("STANDIN_PLATFORM")); err != nil {
		return o, errors.Wrap(err, "parsing flags")
	}
	if fs.NArg() > 0 {
		return o, errors.Newf("unexpected argument %q", fs.Arg(0))
	}
	return o, o.faults.Validate()
}

// run serves until ctx ends.
func run(ctx context.Context, o options, out io.Writer) error {
	memory := store.NewMemory(timer.New())
	if err := memory.SetFaults(o.faults); err != nil {
		return errors.Wrap(err, "setting faults")
	}
	mux := http.NewServeMux()
	mux.Handle("/platform/", store.NewHandler(memory))
	mux.Handle("/control/", store.NewControlHandler(memory))
	listener, err := net.Listen("tcp", o.listen)
	if err != nil {
		return errors.Wrap(err, "listening")
	}
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: 5 * time.Second,
	}
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	fmt.Fprintln(out, "listening on", listener.Addr())
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serving")
	}
	return nil
}
