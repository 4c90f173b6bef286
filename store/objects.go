package store

import (
	"bytes"
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// memoryObjects is the object store. It knows the faults Down, Delay and Hold, and no limits.
type memoryObjects struct {
	memory *Memory
	mu     sync.RWMutex
	data   map[string][]byte
}

func (o *memoryObjects) Put(ctx context.Context, name string, data []byte) error {
	if err := o.enter(ctx); err != nil {
		return errors.Wrap(err, "storing an object")
	}
	if name == "" {
		return fault(Invalid, errors.New("storing an object: the name is empty"))
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if old, ok := o.data[name]; ok && !bytes.Equal(old, data) {
		return fault(Invalid, errors.Newf("storing an object: %q exists with other content", name))
	}
	o.data[name] = bytes.Clone(data)
	return nil
}

func (o *memoryObjects) Get(ctx context.Context, name string) ([]byte, error) {
	if err := o.enter(ctx); err != nil {
		return nil, errors.Wrap(err, "reading an object")
	}
	o.mu.RLock()
	defer o.mu.RUnlock()
	data, ok := o.data[name]
	if !ok {
		return nil, fault(NotFound, errors.Newf("reading an object: %q does not exist", name))
	}
	return bytes.Clone(data), nil
}

func (o *memoryObjects) enter(ctx context.Context) error {
	f, err := o.memory.admit(ctx, nil, nil)
	if err != nil {
		return err
	}
	return o.memory.wait(ctx, f.RequestDelay+f.ResponseDelay)
}
