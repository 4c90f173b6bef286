// Package store is the interface to the services that the system's operators already run: a transactional table, an
// object store and a list of VMs. Everything that must outlive a process is kept there.
//
// # Usage
//
//	result, err := table.Commit(ctx, store.Transaction{
//		Checks: []store.Check{
//			{
//				Key:     "state/head",
//				Version: head.Version,
//			},
//		},
//		Puts: []store.Put{
//			{
//				Key:   "state/head",
//				Value: value,
//			},
//		},
//	})
//	switch r := result.(type) {
//	case *store.Committed:
//	case *store.Conflict:
//	}
//
// If err is not nil, store.KindOf(err) tells whether the write can have taken effect.
package store

import (
	"context"
	"net/netip"
	"time"
)

// MaxTransactionOps is the largest number of checks, puts and deletes in one transaction, taken together.
const MaxTransactionOps = 100

// Table is a transactional key-value table. Implementations are safe for concurrent use.
type Table interface {
	// Get returns the rows that exist among keys, all as of one moment. It counts as one read.
	Get(ctx context.Context, keys []string) (map[string]Row, error)
	// Scan returns the rows whose key starts with prefix, in the order of their keys. It counts as one read.
	Scan(ctx context.Context, prefix string) ([]Row, error)
	// Commit applies a transaction whole or not at all. It counts as one write.
	Commit(ctx context.Context, tx Transaction) (Result, error)
}

// Row is one row of the table. Version is greater than 0 and grows with each write of the row; it never repeats, also
// not after the row was deleted and written again.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
	// Expiry is when the table drops the row; the zero time means never.
	Expiry time.Time `json:"expiry,omitzero"`
}

// Transaction is applied only if all checks hold. Checks, puts and deletes together are at most MaxRows.
type Transaction struct {
	Checks  []Check  `json:"checks,omitempty"`
	Puts    []Put    `json:"puts,omitempty"`
	Deletes []string `json:"deletes,omitempty"`
}

// Check demands that a row has this version; version 0 demands that the row does not exist.
type Check struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put writes a row.
type Put struct {
	Key    string    `json:"key"`
	Value  []byte    `json:"value,omitempty"`
	Expiry time.Time `json:"expiry,omitzero"`
}

// Result is one of *Committed and *Conflict.
type Result interface{ sealed() }

// Committed means that the transaction took effect. Versions has the new version of each row put.
type Committed struct {
	Versions map[string]uint64
}

// Conflict means that checks did not hold and that the transaction had no effect. Rows has the current rows of the
// failed checks; a row that does not exist has version 0.
type Conflict struct {
	Rows []Row
}

func (*Committed) sealed() {}
func (*Conflict) sealed()  {}

// ObjectStore is a store of immutable objects.
type ObjectStore interface {
	// Put stores an object. Storing the same name again with the same content has no effect.
	Put(ctx context.Context, name string, data []byte) error
	// Get returns an object, or an error of kind Missing.
	Get(ctx context.Context, name string) ([]byte, error)
}

// VMLister lists the VMLister of the deployment. The list lags behind reality.
type VMLister interface {
	List(ctx context.Context) ([]VM, error)
}

// VM is one entry of the list of VMs.
type VM struct {
	Name    string     `json:"name"`
	Address netip.Addr `json:"address"`
	Leaving bool       `json:"leaving,omitempty"`
}

// Platform is all that the platform offers.
type Platform interface {
	Table
	Objects() ObjectStore
	VMs() VMLister
}
