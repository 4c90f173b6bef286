// Package feed keeps a copy of tables that other writers change, such as the settings of an operator and the registry of
// targets.
//
// A Table is the copy of one table. It takes batches of changes from the table's service or from another entry, in any
// order, and never goes back to an older version of a row. Follow keeps a Table current from a Source: it reads the table
// once, then waits for changes, and reads the table anew when the service has dropped the history that it lacks.
//
// # Usage
//
//	table := feed.NewTable("op")
//	go feed.Follow(ctx, feed.Options{
//		Table:   table,
//		Source:  client,
//		Timers:  timers,
//		Changed: func() { refresh(table.Rows()) },
//	})
//
//	// An entry that the service turns away asks another entry for what it lacks.
//	batch := peer.Since(table.Complete())
//	table.Apply(batch)
package feed

//go:generate go tool -modfile=../tools/go.mod go-jsonschema -p feed --only-models --tags json -o message.go schema.json
