package store

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// memoryVMLister is the VMLister of a Memory. It keeps earlier lists, so that it can return the list of a time in the
// past.
type memoryVMLister struct {
	memory  *Memory
	mu      sync.Mutex
	history []vmListVersion
}

type vmListVersion struct {
	setAt time.Time
	vms   []VM
}

// SetVMs sets the list of VMs. VMs().List returns it after Faults.VMListLag.
func (m *Memory) SetVMs(vms []VM) {
	m.vms.mu.Lock()
	defer m.vms.mu.Unlock()
	m.vms.history = append(m.vms.history, vmListVersion{
		setAt: m.timers.Now(),
		vms:   slices.Clone(vms),
	})
}

func (v *memoryVMLister) List(ctx context.Context) ([]VM, error) {
	f, err := v.memory.admit(ctx, nil, nil)
	if err == nil {
		err = v.memory.sleep(ctx, f.RequestDelay+f.ResponseDelay)
	}
	if err != nil {
		return nil, errors.Wrap(err, "list VMs")
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	asOf := v.memory.timers.Now().Add(-f.VMListLag)
	for _, list := range slices.Backward(v.history) {
		if !list.setAt.After(asOf) {
			return slices.Clone(list.vms), nil
		}
	}
	return nil, nil
}
