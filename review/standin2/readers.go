package main

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["readers"] = readers }

const (
	// outage is how long the store resets all connections, and calm the time from its end to the loss of machines.
	outage = 4 * time.Second
	calm   = 10 * time.Second
	// darkTime is how long the lost machines are dark.
	darkTime = 2900 * time.Millisecond
	// applyTime is configuration_apply_ms.
	applyTime = 2 * time.Second
)

// readers lets the store be down for a while. Some time later, the machines that follow the store are lost, and the desired
// state changes right then. The other machines get requests on the changed route all the while.
//
// A machine without power is a process that is stopped and then killed: it answers nothing, and its connections are silent.
// With OUTAGE=0 the store is not down, but the machines are lost all the same.
func readers(d *deployment, trouble bool) (verdict, error) {
	services := []string{"lampboard", "chartroom"}
	d.configure(1, services, rule("tides", "safe", "/tides/", "lampboard"))
	for i := range 3 {
		for _, service := range services {
			if _, err := d.startWorker(fmt.Sprintf("i-%s-%d", service, i), service, string(rune('a'+i))); err != nil {
				return failed, err
			}
		}
	}
	entries, err := d.startEntries(6)
	if err != nil {
		return failed, err
	}
	if trouble && os.Getenv("OUTAGE") != "0" {
		d.record("the store resets all connections for %s", outage)
		d.store.setResetting(true)
		time.Sleep(outage)
		d.store.setResetting(false)
		d.record("the store is back")
	}
	time.Sleep(calm)
	lost := d.store.watchers()
	d.record("entries that follow the store: %s", strings.Join(lost, ", "))
	if trouble {
		for _, e := range entries {
			if slices.Contains(lost, e.name) {
				if err := e.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
					return failed, err
				}
				d.record("%s loses power", e.name)
			}
		}
	}
	d.configure(2, services, rule("tides", "safe", "/tides/", "chartroom"))
	ackedAt := time.Now()
	var mu sync.Mutex
	late := map[string]int{}
	var calls sync.WaitGroup
	for i := 0; time.Since(ackedAt) < darkTime; i++ {
		for _, e := range entries {
			if trouble && slices.Contains(lost, e.name) {
				continue
			}
			id := fmt.Sprintf("%s-%d", e.name, i)
			calls.Go(func() {
				sentAt := time.Now()
				a, err := d.exchange("client of "+e.name, e, request{
					method: http.MethodGet,
					uri:    "/tides/7",
					id:     id,
				})
				if err == nil && strings.HasPrefix(a.body, "lampboard") && sentAt.Sub(ackedAt) > applyTime {
					d.record("CONFIG: %s was sent %d ms after the ack of version 2 and handled as version 1 says", id,
						sentAt.Sub(ackedAt).Milliseconds())
					mu.Lock()
					defer mu.Unlock()
					late[e.name]++
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
	}
	calls.Wait()
	d.record("requests handled as an older version says: %v", late)
	if len(late) > 0 {
		return broken, nil
	}
	return held, nil
}
