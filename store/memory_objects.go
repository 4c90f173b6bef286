package store

import (
	"bytes"
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// memoryObjectStore is the ObjectStore of a Memory. Of the faults, it implements Unavailable, RequestDelay and
// ResponseDelay.
type memoryObjectStore struct {
	memory *Memory
	mu     sync.RWMutex
	data   map[string][]byte
}

func (o *memoryObjectStore) Put(ctx context.Context, name string, data []byte) error {
	if err := o.admit(ctx); err != nil {
		return errors.Wrap(err, "put object")
	}
	if name == "" {
		return newError(Invalid, errors.New("put object: empty name"))
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if old, ok := o.data[name]; ok && !bytes.Equal(old, data) {
		return newError(Invalid, errors.Newf("put object: %q exists with other content", name))
	}
	o.data[name] = bytes.Clone(data)
	return nil
}

func (o *memoryObjectStore) Get(ctx context.Context, name string) ([]byte, error) {
	if err := o.admit(ctx); err != nil {
		return nil, errors.Wrap(err, "get object")
	}
	o.mu.RLock()
	defer o.mu.RUnlock()
	data, ok := o.data[name]
	if !ok {
		return nil, newError(NotFound, errors.Newf("get object: %q does not exist", name))
	}
	return bytes.Clone(data), nil
}

func (o *memoryObjectStore) admit(ctx context.Context) error {
	f, err := o.memory.admit(ctx, nil, nil)
	if err != nil {
		return err
	}
	return o.memory.sleep(ctx, f.RequestDelay+f.ResponseDelay)
}
