// Package store is the interface to the platform, the services that the system's operators already run: a transactional
// table, an object store and a list of VMs. All state that must outlive a process is stored there.
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
// If err is not nil, store.KindOf(err) tells whether the transaction may have taken effect.
package store

import (
	"context"
	"net/netip"
	"time"
)

// MaxTransactionOps is the maximum total number of checks, puts and deletes in a transaction.
const MaxTransactionOps = 100

// Table is a transactional key-value table. Implementations are safe for concurrent use.
type Table interface {
	// Get returns a consistent snapshot of the rows that exist among keys. It counts as one read.
	Get(ctx context.Context, keys []string) (map[string]Row, error)
	// Scan returns the rows whose key starts with prefix, sorted by key. It counts as one read.
	Scan(ctx context.Context, prefix string) ([]Row, error)
	// Commit applies a transaction atomically. It counts as one write.
	Commit(ctx context.Context, tx Transaction) (Result, error)
}

// Row is a row of the table. Version is greater than 0 and increases with each write of the row. It never repeats, even
// if the row is deleted and written again.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
	// Expiry is the time at which the table deletes the row; the zero time means never.
	Expiry time.Time `json:"expiry,omitzero"`
}

// Transaction is applied only if all checks hold. It has at most MaxTransactionOps checks, puts and deletes in total.
type Transaction struct {
	Checks  []Check  `json:"checks,omitempty"`
	Puts    []Put    `json:"puts,omitempty"`
	Deletes []string `json:"deletes,omitempty"`
}

// Check requires that a row has this version. Version 0 requires that the row does not exist.
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

// Result is either *Committed or *Conflict.
type Result interface{ isResult() }

// Committed means that the transaction took effect. Versions has the new version of each row that was put.
type Committed struct {
	Versions map[string]uint64
}

// Conflict means that at least one check failed, so the transaction had no effect. Rows has the current rows of the
// failed checks; a row that does not exist has version 0.
type Conflict struct {
	Rows []Row
}

func (*Committed) isResult() {}
func (*Conflict) isResult()  {}

// ObjectStore is a store of immutable objects.
type ObjectStore interface {
	// Put stores an object. Storing it again with the same content has no effect. Storing other content under its name
	// is an error of kind Invalid.
	Put(ctx context.Context, name string, data []byte) error
	// Get returns an object, or an error of kind NotFound.
	Get(ctx context.Context, name string) ([]byte, error)
}

// VMLister lists the VMs of the deployment. The list may be out of date.
type VMLister interface {
	List(ctx context.Context) ([]VM, error)
}

// VM is a VM of the deployment.
type VM struct {
	Name    string     `json:"name"`
	Address netip.Addr `json:"address"`
	Leaving bool       `json:"leaving,omitempty"`
}

// Platform combines the services of the platform.
type Platform interface {
	Table
	Objects() ObjectStore
	VMs() VMLister
}
