// Package feed replicates tables that others write, such as an operator's settings and the registry of targets.
//
// A Table is the replica of one table. It applies batches of changes from the table's service or from another entry, in
// any order, and never replaces a row by an older version. Follow keeps a Table up to date from a Source: it reads the
// whole table once, then watches for changes, and reads the whole table again if the service no longer keeps the changes
// that it needs, or has been restored from a copy.
//
// # Usage
//
//	table := feed.NewTable("op")
//	go feed.Follow(ctx, feed.Options{
//		Table:        table,
//		Source:       client,
//		Timers:       timers,
//		OnChange:     func() { refresh(table.Rows()) },
//		OnDisconnect: func(err error) { logger.Warn("disconnected", zap.Error(err)) },
//		OnReconnect:  func(outage time.Duration) { logger.Info("reconnected", zap.Duration("outage", outage)) },
//		Logger:       logger,
//	})
//
//	// An entry that cannot reach the service gets the missing changes from another entry.
//	batch := peerTable.ChangesSince(table.CompleteVersion())
//	table.Apply(batch)
package feed

//go:generate go tool -modfile=../tools/go.mod go-jsonschema -p feed --only-models --tags json -o message.go schema.json
