package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// caller follows the contract of the address list: it asks, keeps the list for its whole life, and connects itself.
type caller struct {
	p       *processes
	client  *http.Client
	ask     *entryProcess
	list    []string
	expires time.Time
}

func (c *caller) address(i int) string {
	if time.Now().After(c.expires) {
		var answer struct {
			Addresses []struct{ Address string }
			Keep      string
		}
		r := c.p.call(c.client, c.ask.caller, "GET", "/skylarkbeam/addresses", "", "", "")
		if json.Unmarshal([]byte(r.body), &answer) == nil && len(answer.Addresses) > 0 {
			keep, _ := time.ParseDuration(answer.Keep)
			c.expires = time.Now().Add(keep)
			c.list = nil
			for _, a := range answer.Addresses {
				c.list = append(c.list, a.Address)
			}
		}
	}
	return c.list[i%len(c.list)]
}

// Guards against calls that are cut by the planned stop of an entry: callers keep the address list for its whole life
// and keep their connections open. The negative control kills the entry in the same situation.
func TestShutdownUnderLoad(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		signal syscall.Signal
		cut    bool
	}{
		{
			name:   "SIGTERM",
			signal: syscall.SIGTERM,
		},
		{
			name:   "SIGKILL",
			signal: syscall.SIGKILL,
			cut:    true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			p := startProcesses(t, `{"limits":{"keep":"2s"}}`)
			victim := p.entries[0]
			var broken, answered, atVictim atomic.Int64
			stop := make(chan struct{})
			var callers sync.WaitGroup
			for n := range 8 {
				callers.Go(func() {
					c := &caller{
						p: p,
						client: &http.Client{
							Timeout:   10 * time.Second,
							Transport: &http.Transport{},
						},
						ask: p.entries[1],
					}
					for i := 0; ; i++ {
						select {
						case <-stop:
							return
						default:
						}
						address := c.address(i)
						path := fmt.Sprintf("/availability/%d-%d", n, i)
						// A POST, because the client repeats a broken GET by itself and would hide the break.
						r := p.call(c.client, address, "POST", "/reservations/x", "web", fmt.Sprintf("stop-%d-%d", n, i), path)
						if address == victim.caller {
							atVictim.Add(1)
						}
						if r.err != nil {
							broken.Add(1)
							c.expires = time.Time{}
						} else if r.outcome() == "answered" {
							answered.Add(1)
						}
						time.Sleep(5 * time.Millisecond)
					}
				})
			}
			time.Sleep(2 * time.Second)
			before := atVictim.Load()
			assert.Assert(t, before > 0, "no call reached the entry that is to stop")
			assert.NilError(t, victim.cmd.Process.Signal(tt.signal))
			exited := make(chan error, 1)
			go func() { exited <- victim.cmd.Wait() }()
			select {
			case <-exited:
			case <-time.After(30 * time.Second):
				t.Fatal("the entry did not stop within 30 s")
			}
			time.Sleep(500 * time.Millisecond)
			close(stop)
			callers.Wait()
			t.Logf("%d calls answered, %d at the stopping entry, %d broken", answered.Load(), atVictim.Load(), broken.Load())
			assert.Equal(t, broken.Load() > 0, tt.cut, "%d broken calls", broken.Load())
		})
	}
}
