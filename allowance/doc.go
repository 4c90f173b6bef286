// Package allowance limits how many requests of a workspace all entries together pass on.
//
// For each workspace with a rate, one entry is the lender: the first by rendezvous hash among the entries that are heard. It
// holds the only token bucket, with the whole rate and burst. An entry that has no permit for a request asks the lender, and
// gets a few more if it has used more recently; these expire after Limits.Expiry. docs/design/allowances.md says what happens when
// a lender is lost, paused or cut off.
//
// The package decides and does nothing else: it has no sockets, goroutines or clocks.
//
// # Usage
//
//	desk := allowance.NewDesk(now)             // lends
//	desk.Tick(now, view, workspaces)           // four times a second
//	loan := desk.Lend(now, limits, ask)
//
//	wallet := &allowance.Wallet{}             // borrows
//	if !wallet.Take(now) {
//		ask := wallet.Ask(now, limits, "harbour", waiting)
//		wallet.Receive(now, askedAt, limits, loan, rest)
//	}
package allowance

//go:generate go tool -modfile=../tools/go.mod go-jsonschema --only-models --minimal-names --tags json --package allowance --output message.go schema.json
