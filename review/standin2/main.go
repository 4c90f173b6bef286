// Command standin2 runs one case of the review. It starts the program as separate processes, and is itself the store,
// the workers, the operator and the clients.
//
// # Usage
//
//	standin2 CASE
//
// It is started in the folder of the case and writes record.txt there. The exit status is 1 if the rule was broken, 0 if
// it held and 2 if the case could not run. With TROUBLE=0 in the environment, the disruption is left out.
package main

import (
	"fmt"
	"os"
	"time"
)

// verdict is the result of a case.
type verdict int

// The results are the exit statuses.
const (
	held verdict = iota
	broken
	failed
)

// runTime bounds a case.
const runTime = 110 * time.Second

var cases = map[string]func(d *deployment, trouble bool) (verdict, error){}

func main() {
	os.Exit(int(run()))
}

func run() verdict {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE")
		return failed
	}
	d, err := newDeployment()
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin2:", err)
		return failed
	}
	defer d.close()
	timeout := time.AfterFunc(runTime, func() {
		d.close()
		os.Exit(int(failed))
	})
	defer timeout.Stop()
	trouble := os.Getenv("TROUBLE") != "0"
	d.record("case %s, disruption %t", os.Args[1], trouble)
	result, err := cases[os.Args[1]](d, trouble)
	if err != nil {
		d.record("the case could not run: %v", err)
		return failed
	}
	d.record("result: %s", [...]string{"the rule held", "the rule was broken", "failed"}[result])
	return result
}
