// Command skylarkbeam is a load balancer and the tool of its operators. Each subcommand has a file of its own.
//
// # Usage
//
//	skylarkbeam COMMAND [flags] [arguments]
//
// The exit status is 2 for incorrect usage and 1 for a failure. "skylarkbeam COMMAND -h" prints the usage of a command.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
)

func main() {
	os.Exit(run(context.Background(), os.Args[1:], streams{
		Out: os.Stdout,
		Err: os.Stderr,
	}))
}

// run runs the command line and returns the exit status.
func run(ctx context.Context, args []string, s streams) int {
	root := newRoot(s)
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		// The flag package has printed the error and the usage.
		return 2
	}
	err := root.Run(ctx)
	var wrongUse *usageError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &wrongUse):
		fmt.Fprintf(s.Err, "skylarkbeam: %s\n\n%s", wrongUse.reason, wrongUse.usage)
		return 2
	case errors.Is(err, errReported):
		return 1
	default:
		fmt.Fprintf(s.Err, "skylarkbeam: %s\n", err)
		return 1
	}
}
