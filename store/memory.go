package store

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"skylarkbeam/timer"
)

// memoryShards is the number of locks of the table. A lock set has to fit into the bits of a uint64.
const memoryShards = 64

// Memory is a Platform in memory that injects faults. It is safe for concurrent use.
type Memory struct {
	timers   *timer.Service
	injector *injector
	counters counters
	version  atomic.Uint64
	shards   [memoryShards]memoryShard
	objects  memoryObjects
	vms      memoryVMs
}

type memoryShard struct {
	mu   sync.Mutex
	rows map[string]Row
}

// NewMemory returns an empty Memory without faults.
func NewMemory(timers *timer.Service) *Memory {
	m := &Memory{
		timers:   timers,
		injector: newInjector(),
	}
	for i := range m.shards {
		m.shards[i].rows = map[string]Row{}
	}
	m.objects.memory = m
	m.objects.data = map[string][]byte{}
	m.vms.memory = m
	return m
}

// SetFaults replaces all faults. It restarts the random sequence and the limits. The error is of kind Invalid.
func (m *Memory) SetFaults(f Faults) error {
	if err := f.Validate(); err != nil {
		return err
	}
	m.injector.set(f)
	return nil
}

// Faults returns the current faults; Lose.Next counts down.
func (m *Memory) Faults() Faults { return m.injector.get() }

// Objects returns the object store.
func (m *Memory) Objects() ObjectStore { return &m.objects }

// VMs returns the list of VMs.
func (m *Memory) VMs() VMLister { return &m.vms }

// Get returns the rows that exist among keys, as of one moment.
func (m *Memory) Get(ctx context.Context, keys []string) (map[string]Row, error) {
	if err := m.read(ctx); err != nil {
		return nil, errors.Wrap(err, "reading rows")
	}
	defer m.lock(shardSet(keys))()
	rows := map[string]Row{}
	for _, key := range keys {
		if row, ok := m.row(key); ok {
			rows[key] = row
		}
	}
	return rows, nil
}

// Scan returns the rows whose key starts with prefix, as of one moment.
func (m *Memory) Scan(ctx context.Context, prefix string) ([]Row, error) {
	if err := m.read(ctx); err != nil {
		return nil, errors.Wrap(err, "scanning rows")
	}
	defer m.lock(^uint64(0))()
	var rows []Row
	for i := range m.shards {
		for key := range m.shards[i].rows {
			if row, ok := m.row(key); ok && strings.HasPrefix(key, prefix) {
				rows = append(rows, row)
			}
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return rows, nil
}

func (m *Memory) read(ctx context.Context) error {
	f, err := m.admit(ctx, readLimit, &m.counters.reads)
	if err != nil {
		return err
	}
	return m.wait(ctx, f.RequestDelay+f.ResponseDelay)
}

// Commit applies a transaction. If ctx ends during Faults.Delay, the transaction still takes effect, as it would at a
// service that has already received the request.
func (m *Memory) Commit(ctx context.Context, tx Transaction) (Result, error) {
	result, err := m.commit(ctx, tx)
	return result, errors.Wrap(err, "committing a transaction")
}

func (m *Memory) commit(ctx context.Context, tx Transaction) (Result, error) {
	if err := tx.Validate(); err != nil {
		return nil, err
	}
	f, err := m.admit(ctx, writeLimit, &m.counters.writes)
	if err != nil {
		return nil, err
	}
	tx = tx.clone()
	loss, lost := m.injector.lose()
	if lost {
		m.counters.lost.Add(1)
		switch loss.Point {
		case LossPointRequest:
		case LossPointDelayed:
			time.AfterFunc(loss.Delay, func() { m.apply(tx) })
		default:
			m.apply(tx)
		}
		return nil, fault(Ambiguous, errors.New("the answer was lost"))
	}
	if f.RequestDelay == 0 && f.ResponseDelay == 0 {
		return m.apply(tx), nil
	}
	answer := make(chan Result, 1)
	go func() {
		time.Sleep(f.RequestDelay)
		result := m.apply(tx)
		time.Sleep(f.ResponseDelay)
		answer <- result
	}()
	select {
	case result := <-answer:
		if m.injector.get().Unavailable {
			return nil, fault(Ambiguous, errors.New("the platform went down before the answer"))
		}
		return result, nil
	case <-ctx.Done():
		return nil, fault(Ambiguous, ctx.Err())
	}
}

// apply checks and writes under the locks of all shards concerned, so that a transaction is seen whole or not at all.
func (m *Memory) apply(tx Transaction) Result {
	defer m.lock(shardSet(tx.keys()))()
	var failed []Row
	for _, check := range tx.Checks {
		row, _ := m.row(check.Key)
		if row.Version != check.Version {
			row.Key = check.Key
			failed = append(failed, row)
		}
	}
	if len(failed) > 0 {
		m.counters.conflicts.Add(1)
		return &Conflict{
			Rows: failed,
		}
	}
	committed := &Committed{
		Versions: map[string]uint64{},
	}
	for _, put := range tx.Puts {
		// One counter for all rows never repeats a version, also not for a row that was deleted.
		version := m.version.Add(1)
		m.shards[shardOf(put.Key)].rows[put.Key] = Row{
			Key:     put.Key,
			Value:   put.Value,
			Version: version,
			Expiry:  put.Expiry,
		}
		committed.Versions[put.Key] = version
	}
	for _, key := range tx.Deletes {
		delete(m.shards[shardOf(key)].rows, key)
	}
	return committed
}

// row returns a copy of a row and drops it if it has expired. The shard has to be locked.
func (m *Memory) row(key string) (Row, bool) {
	rows := m.shards[shardOf(key)].rows
	row, ok := rows[key]
	if ok && !row.Expiry.IsZero() && !m.timers.Now().Before(row.Expiry) {
		delete(rows, key)
		return Row{}, false
	}
	row.Value = bytes.Clone(row.Value)
	return row, ok
}

// lock locks a set of shards in the order of their numbers, which rules out deadlocks, and returns the unlock.
func (m *Memory) lock(set uint64) func() {
	for i := range m.shards {
		if set&(1<<i) != 0 {
			m.shards[i].mu.Lock()
		}
	}
	return func() {
		for i := range m.shards {
			if set&(1<<i) != 0 {
				m.shards[i].mu.Unlock()
			}
		}
	}
}

func shardSet(keys []string) uint64 {
	var set uint64
	for _, key := range keys {
		set |= 1 << shardOf(key)
	}
	return set
}

func shardOf(key string) int { return int(xxhash.Sum64String(key) % memoryShards) }

func (tx Transaction) clone() Transaction {
	puts := slices.Clone(tx.Puts)
	for i := range puts {
		puts[i].Value = bytes.Clone(puts[i].Value)
	}
	return Transaction{
		Checks:  slices.Clone(tx.Checks),
		Puts:    puts,
		Deletes: slices.Clone(tx.Deletes),
	}
}
