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

// shardCount is the number of shards of the table, each with its own lock. A set of shards must fit into a uint64 mask.
const shardCount = 64

// Memory is an in-memory Platform with fault injection. It is safe for concurrent use.
type Memory struct {
	timers   *timer.Service
	injector *faultInjector
	counters counters
	version  atomic.Uint64
	shards   [shardCount]shard
	objects  memoryObjectStore
	vms      memoryVMLister
}

type shard struct {
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

// SetFaults replaces all faults. It resets the random number generator and the rate limiters. Its error is of kind
// Invalid.
func (m *Memory) SetFaults(f Faults) error {
	if err := f.Validate(); err != nil {
		return err
	}
	m.injector.set(f)
	return nil
}

// Faults returns the faults in force. LostCommits.Count is the number of commits that are still to be lost.
func (m *Memory) Faults() Faults { return m.injector.get() }

// Objects returns the object store.
func (m *Memory) Objects() ObjectStore { return &m.objects }

// VMs returns the list of VMs.
func (m *Memory) VMs() VMLister { return &m.vms }

// Get returns a consistent snapshot of the rows that exist among keys.
func (m *Memory) Get(ctx context.Context, keys []string) (map[string]Row, error) {
	if err := m.admitRead(ctx); err != nil {
		return nil, errors.Wrap(err, "read rows")
	}
	defer m.lockShards(shardMask(keys))()
	rows := map[string]Row{}
	for _, key := range keys {
		if row, ok := m.lookup(key); ok {
			rows[key] = row
		}
	}
	return rows, nil
}

// Scan returns a consistent snapshot of the rows whose key starts with prefix, sorted by key.
func (m *Memory) Scan(ctx context.Context, prefix string) ([]Row, error) {
	if err := m.admitRead(ctx); err != nil {
		return nil, errors.Wrap(err, "scan rows")
	}
	defer m.lockShards(^uint64(0))()
	var rows []Row
	for i := range m.shards {
		for key := range m.shards[i].rows {
			if row, ok := m.lookup(key); ok && strings.HasPrefix(key, prefix) {
				rows = append(rows, row)
			}
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return rows, nil
}

// admitRead admits a read and waits for the injected delays.
func (m *Memory) admitRead(ctx context.Context) error {
	f, err := m.admit(ctx, selectReadLimiter, &m.counters.reads)
	if err != nil {
		return err
	}
	return m.sleep(ctx, f.RequestDelay+f.ResponseDelay)
}

// Commit applies a transaction. If ctx ends during Faults.RequestDelay, the transaction still takes effect, as it does
// at a remote service that has already received the request.
func (m *Memory) Commit(ctx context.Context, tx Transaction) (Result, error) {
	result, err := m.commit(ctx, tx)
	return result, errors.Wrap(err, "commit transaction")
}

func (m *Memory) commit(ctx context.Context, tx Transaction) (Result, error) {
	if err := tx.Validate(); err != nil {
		return nil, err
	}
	f, err := m.admit(ctx, selectWriteLimiter, &m.counters.writes)
	if err != nil {
		return nil, err
	}
	tx = tx.clone()
	loss, lost := m.injector.nextCommitLoss()
	if lost {
		m.counters.lost.Add(1)
		switch loss.Point {
		case LossPointRequest:
		case LossPointDelayed:
			time.AfterFunc(loss.Delay, func() { m.apply(tx) })
		default:
			m.apply(tx)
		}
		return nil, newError(Ambiguous, errors.New("response was lost"))
	}
	if f.RequestDelay == 0 && f.ResponseDelay == 0 {
		return m.apply(tx), nil
	}
	results := make(chan Result, 1)
	go func() {
		time.Sleep(f.RequestDelay)
		result := m.apply(tx)
		time.Sleep(f.ResponseDelay)
		results <- result
	}()
	select {
	case result := <-results:
		if m.injector.get().Unavailable {
			return nil, newError(Ambiguous, errors.New("platform became unavailable before the response"))
		}
		return result, nil
	case <-ctx.Done():
		return nil, newError(Ambiguous, ctx.Err())
	}
}

// apply checks and writes with the shards of all keys locked, so that readers see either none or all of the
// transaction.
func (m *Memory) apply(tx Transaction) Result {
	defer m.lockShards(shardMask(tx.keys()))()
	var failed []Row
	for _, check := range tx.Checks {
		row, _ := m.lookup(check.Key)
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
		// A single counter for all rows: versions never repeat, even after a row was deleted.
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

// lookup returns a copy of a row. It deletes the row if it has expired. The shard must be locked.
func (m *Memory) lookup(key string) (Row, bool) {
	rows := m.shards[shardOf(key)].rows
	row, ok := rows[key]
	if ok && !row.Expiry.IsZero() && !m.timers.Now().Before(row.Expiry) {
		delete(rows, key)
		return Row{}, false
	}
	row.Value = bytes.Clone(row.Value)
	return row, ok
}

// lockShards locks the shards in mask, in the order of their indexes to avoid deadlocks, and returns a function that
// unlocks them.
func (m *Memory) lockShards(mask uint64) func() {
	for i := range m.shards {
		if mask&(1<<i) != 0 {
			m.shards[i].mu.Lock()
		}
	}
	return func() {
		for i := range m.shards {
			if mask&(1<<i) != 0 {
				m.shards[i].mu.Unlock()
			}
		}
	}
}

func shardMask(keys []string) uint64 {
	var mask uint64
	for _, key := range keys {
		mask |= 1 << shardOf(key)
	}
	return mask
}

func shardOf(key string) int { return int(xxhash.Sum64String(key) % shardCount) }

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
