// Command knownred runs all tests with the race detector and passes over exactly the tests listed in KNOWN-RED.txt.
//
// # Usage
//
//	knownred [-file KNOWN-RED.txt] [-- go test arguments]
//
// It prints the output of every failed test, one line a package, and the listed entries. The exit status is 1 if a test
// that is not listed failed, if a package does not build, or if a listed test no longer exists. Whether a listed test
// passes or fails does not change the exit status.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"sort"
	"strings"
)

// maxMessages bounds the lines of a failed test that are repeated at the end.
const maxMessages = 40

// fromTest matches a line that a test printed by itself.
var fromTest = regexp.MustCompile(`^\s*\w+_test\.go:\d+: `)

func main() {
	file := flag.String("file", "KNOWN-RED.txt", "list of tests that are known to fail")
	flag.Parse()
	known, err := readEntries(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
	args := flag.Args()
	if len(args) == 0 {
		args = []string{"./..."}
	}
	run, err := runTests(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
	os.Exit(run.report(known))
}

// entry is one listed test. Text is the whole entry as written.
type entry struct {
	Test string
	Text string
}

// readEntries reads entries separated by blank lines. The first line of an entry is "test: PACKAGE NAME"; lines that
// start with # are comments.
func readEntries(file string) ([]entry, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("reading the list: %w", err)
	}
	var entries []entry
	for _, block := range strings.Split(string(data), "\n\n") {
		lines := uncommented(block)
		if len(lines) == 0 {
			continue
		}
		name, ok := strings.CutPrefix(lines[0], "test: ")
		if !ok {
			return nil, fmt.Errorf("%s: entry must start with \"test: PACKAGE NAME\", not %q", file, lines[0])
		}
		entries = append(entries, entry{
			Test: strings.TrimSpace(name),
			Text: strings.Join(lines, "\n"),
		})
	}
	return entries, nil
}

func uncommented(block string) []string {
	var lines []string
	for _, line := range strings.Split(block, "\n") {
		if line != "" && !strings.HasPrefix(line, "#") {
			lines = append(lines, line)
		}
	}
	return lines
}

// testRun collects the events of one run of go test.
type testRun struct {
	output map[string][]string
	result map[string]string
	failed bool
}

func runTests(args []string) (*testRun, error) {
	cmd := exec.Command("go", append([]string{"test", "-race", "-json"}, args...)...)
	cmd.Stderr = os.Stderr
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("starting go test: %w", err)
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("starting go test: %w", err)
	}
	run := &testRun{
		output: map[string][]string{},
		result: map[string]string{},
	}
	scanner := bufio.NewScanner(stdout)
	scanner.Buffer(nil, 16<<20)
	for scanner.Scan() {
		run.add(scanner.Bytes())
	}
	run.failed = cmd.Wait() != nil
	return run, scanner.Err()
}

func (r *testRun) add(line []byte) {
	var event struct {
		Action, Package, ImportPath, Test, Output string
	}
	if json.Unmarshal(line, &event) != nil {
		fmt.Println(string(line))
		return
	}
	name := strings.TrimSpace(event.Package + " " + event.Test)
	switch event.Action {
	case "output":
		r.output[name] = append(r.output[name], event.Output)
		if event.Test == "" && isSummary(event.Output) {
			fmt.Print(event.Output)
		}
	case "build-output":
		fmt.Print(event.Output)
	case "pass", "fail", "skip":
		r.result[name] = event.Action
	}
}

// isSummary tells the closing line of a package, which the workplace reads to see that tests ran.
func isSummary(line string) bool {
	return strings.HasPrefix(line, "ok ") || strings.HasPrefix(line, "FAIL\t") || strings.HasPrefix(line, "?  ")
}

func (r *testRun) report(known []entry) int {
	listed := map[string]bool{}
	status := 0
	for _, e := range known {
		listed[e.Test] = true
		result, ran := r.result[e.Test]
		fmt.Printf("known red (this run: %s):\n%s\n\n", result, e.Text)
		if !ran {
			fmt.Printf("listed test %q does not exist or did not run\n", e.Test)
			status = 1
		}
	}
	var names []string
	for name := range r.result {
		names = append(names, name)
	}
	sort.Strings(names)
	unlisted, passed, tests := 0, 0, 0
	var failed []string
	packageFailedWithoutTest := r.failed
	for _, name := range names {
		_, test, isTest := strings.Cut(name, " ")
		if !isTest {
			continue
		}
		tests++
		if r.result[name] == "pass" {
			passed++
		}
		if r.result[name] != "fail" {
			continue
		}
		packageFailedWithoutTest = false
		parent, _, _ := strings.Cut(test, "/")
		pkg, _, _ := strings.Cut(name, " ")
		if listed[name] || listed[pkg+" "+parent] {
			continue
		}
		unlisted++
		failed = append(failed, name)
		fmt.Printf("--- FAIL: %s\n%s", name, strings.Join(r.output[name], ""))
	}
	for _, name := range names {
		if r.result[name] == "fail" && !strings.Contains(name, " ") && !r.failedTestIn(name) {
			fmt.Printf("--- FAIL: package %s\n%s", name, strings.Join(r.output[name], ""))
			r.printUnfinished(name)
			packageFailedWithoutTest = true
		}
	}
	for _, name := range failed {
		fmt.Printf("--- FAIL: %s\n%s", name, strings.Join(messages(r.output[name]), ""))
	}
	fmt.Printf("%d passed, %d failed\n", passed, unlisted)
	if unlisted > 0 || packageFailedWithoutTest || tests == 0 {
		status = 1
	}
	return status
}

// messages returns the lines that a test itself printed, without those of the programs that it ran. They are repeated at the
// end, because the output of failed programs is long and a CI shows only its end.
func messages(output []string) []string {
	var list []string
	for _, line := range output {
		if fromTest.MatchString(line) {
			list = append(list, line)
		}
	}
	return list[:min(len(list), maxMessages)]
}

// printUnfinished prints the output of the tests of a package that have no result: the process ended while they ran.
func (r *testRun) printUnfinished(pkg string) {
	for name, lines := range r.output {
		if _, ended := r.result[name]; !ended && strings.HasPrefix(name, pkg+" ") {
			fmt.Print(strings.Join(lines, ""))
		}
	}
}

// failedTestIn tells whether a failed package has a failed test, which then is the reason for its failure.
func (r *testRun) failedTestIn(pkg string) bool {
	for name, result := range r.result {
		if result == "fail" && strings.HasPrefix(name, pkg+" ") {
			return true
		}
	}
	return false
}
