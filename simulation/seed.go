package simulation

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// Main is the TestMain of a package with property tests: it fixes the seed of rapid, so that a failure can be repeated,
// and prints it. Other flags of rapid are set in pairs of a name and a value. What the command line sets wins.
func Main(m *testing.M, seed string, flags ...string) {
	flags = append([]string{"rapid.seed", seed}, flags...)
	for i := 0; i < len(flags); i += 2 {
		if err := flag.Set(flags[i], flags[i+1]); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	fmt.Println("rapid seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}
