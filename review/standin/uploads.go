package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// memoryMB is the memory limit in the settings file.
const memoryMB = 674

// memoryOf returns the resident memory of a process in MB, or 0 if it has ended.
func memoryOf(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize() >> 20
}

// watchMemory does what the platform does: it kills a process that exceeds its memory, and starts it again after a short
// delay. It returns the number of kills and the highest memory seen, in MB, once done is closed.
func (b *bench) watchMemory(e *entryProcess, done <-chan struct{}) (kills, highest int) {
	for {
		select {
		case <-done:
			return kills, highest
		case <-time.After(5 * time.Millisecond):
		}
		used := memoryOf(e.command.Process.Pid)
		highest = max(highest, used)
		if used <= memoryMB {
			continue
		}
		kills++
		b.note("FAULT: %s uses %d MB of %d and is killed", e.name, used, memoryMB)
		e.kill()
		time.Sleep(500 * time.Millisecond)
		b.start(e)
	}
}

// uploads lets more clients than usual send large bookings for some seconds.
func uploads(b *bench) bool {
	b.store.put("op", "config", desiredState())
	const (
		bodyBytes    = 60 << 20 // max_body_bytes is 64 MB
		usualClients = 5        // of each entry
		burstClients = 8        // 1.6 times as many
		burstTime    = 3 * time.Second
		rounds       = 6
		pause        = 300 * time.Millisecond
	)
	body := strings.Repeat("guests and notes; ", bodyBytes/18)
	for i := range 4 {
		b.startWorker(fmt.Sprintf("i-logbook-%d", i+1), "logbook", 4, 160*time.Millisecond)
	}
	b.startEntries(2)
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	kills, lost, kept, sent := 0, 0, 0, 0
	machines := 0
	done := make(chan struct{})
	var watchers sync.WaitGroup
	for _, e := range b.entries {
		watchers.Go(func() {
			n, highest := b.watchMemory(e, done)
			b.note("%s: killed %d times, at most %d MB", e.name, n, highest)
			mu.Lock()
			defer mu.Unlock()
			kills += n
			if n >= 3 {
				machines++
			}
		})
	}
	upload := func(e *entryProcess, until time.Time) {
		for time.Now().Before(until) {
			if !isReady(e) {
				time.Sleep(pause)
				continue
			}
			c, err := b.tryConnect(e)
			if err != nil {
				continue
			}
			for first := true; time.Now().Before(until); first = false {
				id := b.newID()
				mu.Lock()
				sent++
				mu.Unlock()
				err := c.send(http.MethodPost, "/group/stay", id, 4*time.Second, body)
				whole := err == nil && c.receive(id, 5*time.Second).whole
				if !whole {
					mu.Lock()
					lost++
					if !first && b.runsOf(id) > 0 {
						kept++
					}
					mu.Unlock()
					break
				}
				time.Sleep(pause)
			}
			c.close()
		}
	}
	var clients sync.WaitGroup
	for round := range rounds {
		until := time.Now().Add(burstTime)
		n := usualClients
		if b.trouble {
			b.note("burst %d: %d clients instead of %d at each entry", round+1, burstClients, usualClients)
			n = burstClients
		}
		for _, e := range b.entries {
			for range n {
				clients.Go(func() { upload(e, until) })
			}
		}
		clients.Wait()
		time.Sleep(4 * time.Second)
	}
	close(done)
	watchers.Wait()
	b.note("%d uploads, %d without an answer, of them %d on kept connections after they had been passed on; %d kills, %d of %d "+
		"machines with three or more", sent, lost, kept, kills, machines, len(b.entries))
	return machines >= 2
}
