//go:build wireinject

package entry

import (
	"github.com/google/wire"

	"skylarkbeam/timer"
)

// Assemble opens the listeners and returns an entry that is not yet serving. It fails only if a listener cannot be
// opened.
func Assemble(opts Options) (*Entry, error) {
	wire.Build(
		timer.New,
		NewMetrics,
		listen,
		newJournal,
		newLogger,
		newPeerClient,
		newCallbacks,
		newFleet,
		newClaimManager,
		newTable,
		assemble,
	)
	return nil, nil
}
