//go:build wireinject

package entry

import (
	"github.com/google/wire"

	"skylarkbeam/timer"
)

// Assemble opens the listeners and returns an entry that is not yet serving. The error is that of a listener.
func Assemble(opts Options) (*Entry, error) {
	wire.Build(
		timer.New,
		NewMetrics,
		listen,
		newJournal,
		newLogger,
		newPeers,
		newCallbacks,
		newFleet,
		newLedger,
		newTable,
		connect,
	)
	return nil, nil
}
