package route

import (
	"testing"

	"skylarkbeam/simulation"
)

func TestMain(m *testing.M) { simulation.Main(m, "1") }
