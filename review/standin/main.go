// Command standin runs one case of the review: it starts entries of skylarkbeam as separate processes, and stand-ins for
// the platform's store, the workers and the clients in this process.
//
// # Usage
//
//	standin CASE FOLDER
//
// The program is started in the root of the repository and writes record.txt to FOLDER. Its exit status is 1 if the rule
// of the case was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 in the environment it leaves the
// disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*bench) bool{
	"refused-twice": refusedTwice,
	"uploads":       uploads,
	"scale-in":      scaleIn,
	"left":          left,
	"late-request":  lateRequest,
}

func main() {
	os.Exit(run())
}

func run() (status int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return 2
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	b, err := newBench(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer b.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		b.stop()
		os.Exit(2)
	}()
	defer func() {
		if failure, ok := recover().(cannotRun); ok {
			b.note("the case could not run: %s", failure.reason)
			fmt.Fprintln(os.Stderr, failure.reason)
			status = 2
		}
	}()
	if cases[os.Args[1]](b) {
		b.note("result: the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	b.note("result: the rule held")
	fmt.Println("the rule held")
	return 0
}
