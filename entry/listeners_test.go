package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"skylarkbeam/memory"
)

// Guards against limits whose sum a machine cannot hold: what the collector allows, which has all parts in it, and what it does not
// see, the program text and the unread bytes of connections. Machines of the deployments in force have these sizes.
func TestMachineMemory(t *testing.T) {
	const (
		programText = 13 << 20
		services    = 4 // control, readiness, directory, metrics
		evicted     = 8 // 1/n of the connections may be ending
	)
	for _, machine := range []struct {
		megabytes, descriptors int
	}{
		{
			megabytes:   184,
			descriptors: 4100,
		},
		{
			megabytes:   408,
			descriptors: 8192,
		},
		{
			megabytes:   804,
			descriptors: 12300,
		},
	} {
		size := int64(machine.megabytes) << 20
		l := memory.DeriveLimits(size, machine.descriptors)
		assert.NilError(t, l.Validate(size, machine.descriptors))
		clients := l.Connections + l.Connections/evicted + callerBacklog + services*serviceBacklog
		requests := l.Connections + int(l.Requests/memory.RequestBytes)
		unread := int64(clients+min(requests, l.Targets)) * memory.ReceiveBufferFill
		sum := memory.CollectorLimit(size) + programText + unread
		t.Logf("machine of %d MB: %d MB, with %d MB of unread bytes", machine.megabytes, sum>>20, unread>>20)
		assert.Assert(t, sum <= size)
	}
}
