package store

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// memoryVMs keeps former lists, so that it can return one that lags.
type memoryVMs struct {
	memory *Memory
	mu     sync.Mutex
	past   []vmList
}

type vmList struct {
	at  time.Time
	vms []VM
}

// SetVMs sets the list of VMs, which VMs().List returns once Faults.Lag has passed.
func (m *Memory) SetVMs(vms []VM) {
	m.vms.mu.Lock()
	defer m.vms.mu.Unlock()
	m.vms.past = append(m.vms.past, vmList{
		at:  m.timers.Now(),
		vms: slices.Clone(vms),
	})
}

func (v *memoryVMs) List(ctx context.Context) ([]VM, error) {
	f, err := v.memory.admit(ctx, nil, nil)
	if err == nil {
		err = v.memory.wait(ctx, f.RequestDelay+f.ResponseDelay)
	}
	if err != nil {
		return nil, errors.Wrap(err, "listing VMs")
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	horizon := v.memory.timers.Now().Add(-f.VMListLag)
	for _, list := range slices.Backward(v.past) {
		if !list.at.After(horizon) {
			return slices.Clone(list.vms), nil
		}
	}
	return nil, nil
}
