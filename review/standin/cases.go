package main

import (
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// settle is how long a case waits before it begins: new entries have none of the constant part of the budget for repeats
// for one window of 10 s.
const settle = 13 * time.Second

// refusedTwice lets a worker send the answer with which it has turned a booking away a second time, late.
func refusedTwice(b *bench) bool {
	b.store.put("op", "config", desiredState())
	const (
		windows     = 12
		windowTime  = 5 * time.Second
		extraShare  = 0.03
		interval    = 60 * time.Millisecond
		turnedAway  = 3 // one booking in so many is turned away once by each worker
		bookingTime = 100 * time.Millisecond
	)
	var extra atomic.Bool // the faulty worker sends extra answers now
	var mu sync.Mutex
	turned := map[string]bool{}
	// answers and extras count those of the faulty worker in this window, allExtras its extra answers in all.
	answers, extras, allExtras := 0, 0, 0
	for i := range 2 {
		w := b.startWorker(fmt.Sprintf("i-logbook-%d", i+1), "logbook", 4, bookingTime)
		faulty := i == 0
		w.answer = func(r *arrival) bool {
			if faulty {
				mu.Lock()
				answers++
				mu.Unlock()
			}
			return w.writeAnswer(r, "answer to "+r.id)
		}
		w.refuse = func(r *arrival) (int, string) {
			mu.Lock()
			defer mu.Unlock()
			h := fnv.New32a()
			io.WriteString(h, r.id)
			if h.Sum32()%turnedAway != 0 || turned[w.id+r.id] {
				return 0, ""
			}
			turned[w.id+r.id] = true
			if faulty {
				answers++
			}
			if faulty && extra.Load() && float64(extras+1) <= extraShare*float64(answers) {
				extras++
				allExtras++
				r.conn.late = []byte(w.head(http.StatusTooManyRequests, r.id, 0, "Not-Executed: 1\r\n"))
			}
			return http.StatusTooManyRequests, ""
		}
	}
	b.startEntries(2)
	time.Sleep(settle)
	var clients sync.WaitGroup
	var ids []string
	statuses := map[string]int{}
	book := func(e *entryProcess) {
		id := b.newID()
		mu.Lock()
		ids = append(ids, id)
		mu.Unlock()
		clients.Go(func() {
			c := b.connect(e)
			defer c.close()
			if c.send(http.MethodPost, "/booking/stay", id, 3*time.Second, "cottage 4, two nights") != nil {
				return
			}
			r := c.receive(id, 4*time.Second)
			mu.Lock()
			statuses[id] = r.status
			mu.Unlock()
		})
	}
	for window := range windows {
		mu.Lock()
		answers, extras = 0, 0
		mu.Unlock()
		extra.Store(b.trouble)
		if b.trouble {
			b.note("window %d: i-logbook-1 sends extra answers for 5 s", window+1)
		}
		for end, n := time.Now().Add(windowTime), 0; time.Now().Before(end); n++ {
			book(b.entries[n%2])
			time.Sleep(interval)
		}
		extra.Store(false)
		time.Sleep(2 * time.Second)
	}
	clients.Wait()
	time.Sleep(time.Second)
	twice, refused := 0, 0
	for _, id := range ids {
		n := b.runsOf(id)
		if n > 1 {
			twice++
			b.note("TWICE: request %s has run %d times, client got %d", id, n, statuses[id])
		}
		if n > 0 && (statuses[id] == http.StatusServiceUnavailable || statuses[id] == http.StatusTooManyRequests) {
			refused++
			b.note("REFUSED: request %s was answered %d and has run", id, statuses[id])
		}
	}
	b.note("%d bookings, %d extra answers of i-logbook-1; %d ran twice, %d were refused and have run",
		len(ids), allExtras, twice, refused)
	return twice+refused > 0
}

// left lets clients leave while their bookings wait for a second worker, because the first one has turned them away.
func left(b *bench) bool {
	b.store.put("op", "config", desiredState())
	const (
		rounds     = 24
		groupTime  = 1100 * time.Millisecond
		stayTime   = 160 * time.Millisecond
		leaveAfter = 150 * time.Millisecond
		greyShare  = 0.55 // of the requests at the grey worker, in each window
	)
	var mu sync.Mutex
	active := false // a worker is grey and clients leave
	atGrey, turnedAway, allTurnedAway := 0, 0, 0
	var arrivals []*arrival
	for i, zone := range []string{"coast-a", "coast-b"} {
		w := b.startWorkerIn(zone, fmt.Sprintf("i-logbook-%d", i+1), "logbook", 2, stayTime, 0)
		w.work = func(r *arrival) time.Duration {
			if r.path == "/group/stay" {
				return groupTime
			}
			return stayTime
		}
		grey := i == 1
		w.refuse = func(r *arrival) (int, string) {
			mu.Lock()
			defer mu.Unlock()
			arrivals = append(arrivals, r)
			if !grey || !active {
				return 0, ""
			}
			atGrey++
			if float64(turnedAway+1) > greyShare*float64(atGrey) {
				return 0, ""
			}
			turnedAway++
			allTurnedAway++
			return http.StatusServiceUnavailable, ""
		}
	}
	b.startEntries(2)
	time.Sleep(settle)
	closedAt := map[string]time.Time{}
	var clients sync.WaitGroup
	book := func(e *entryProcess, path string, leaves bool) {
		id := b.newID()
		clients.Go(func() {
			c := b.connect(e)
			defer c.close()
			if c.send(http.MethodPost, path, id, 4*time.Second, "cottage 4, two nights") != nil {
				return
			}
			if !leaves {
				c.receive(id, 4*time.Second)
				return
			}
			r := c.receive(id, leaveAfter)
			c.close()
			if r.status == 0 {
				b.note("client of request %s leaves", id)
				mu.Lock()
				closedAt[id] = time.Now()
				mu.Unlock()
			}
		})
	}
	for round := range rounds {
		leaving := b.trouble && round%2 == 0
		mu.Lock()
		active, atGrey, turnedAway = leaving, 0, 0
		mu.Unlock()
		for i := range 3 {
			book(b.entries[i%2], "/group/stay", false)
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		for i := range 4 {
			book(b.entries[i%2], "/group/night", leaving && i >= 2)
			time.Sleep(20 * time.Millisecond)
		}
		clients.Wait()
		time.Sleep(1500 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	late := 0
	for _, r := range arrivals {
		if at, ok := closedAt[r.id]; ok && r.at.Sub(at) > 500*time.Millisecond {
			late++
			b.note("GONE: request %s reached %s %d ms after its client had closed the connection", r.id, r.worker.id,
				r.at.Sub(at).Milliseconds())
		}
	}
	b.note("%d clients left, i-logbook-2 turned %d requests away; %d requests reached a worker over half a second "+
		"after their client had left", len(closedAt), allTurnedAway, late)
	return late > 5
}

// lateRequest stops an entry. Clients that have opened connections before send the first requests on them late in the
// grace period.
func lateRequest(b *bench) bool {
	b.store.put("op", "config", desiredState())
	const (
		bookingTime = 600 * time.Millisecond
		sentAfter   = 5200 * time.Millisecond // after the signal; the grace period is 6 s
		clientCount = 4
	)
	for i := range 4 {
		b.startWorker(fmt.Sprintf("i-logbook-%d", i+1), "logbook", 2, bookingTime)
	}
	b.startEntries(2)
	time.Sleep(5 * time.Second)
	e := b.entries[0]
	var clients []*client
	for range clientCount {
		clients = append(clients, b.connect(e))
	}
	b.note("%d clients have opened connections to %s", clientCount, e.name)
	time.Sleep(time.Second)
	if b.trouble {
		b.note("SIGTERM to %s, the grace period is 6 s", e.name)
		e.signal(syscall.SIGTERM)
	}
	time.Sleep(sentAfter)
	var waiting sync.WaitGroup
	var lost atomic.Int32
	for _, c := range clients {
		waiting.Go(func() {
			id := b.newID()
			if c.send(http.MethodPost, "/booking/stay", id, 3*time.Second, "cottage 4, two nights") != nil {
				b.note("the connection of request %s had ended before it was sent", id)
				return
			}
			if r := c.receive(id, 4*time.Second); !r.whole && b.runsOf(id) > 0 {
				lost.Add(1)
				b.note("LOST: request %s was passed on to a worker, and its connection ended without an answer", id)
			}
		})
	}
	waiting.Wait()
	b.note("%d of %d requests lost", lost.Load(), clientCount)
	return lost.Load() > 0
}

// scaleIn takes a quarter of the workers away at once. They never report that they are draining: their rows are removed,
// and they go on for the drain time and some seconds longer.
func scaleIn(b *bench) bool {
	b.store.put("op", "config", desiredState())
	const (
		workerCount  = 12
		leavingCount = 3
		rounds       = 6
		drainTime    = 2 * time.Second
		usualTime    = 60 * time.Millisecond
		slowTime     = 900 * time.Millisecond
	)
	var mu sync.Mutex
	var arrivals []*arrival
	removedAt := map[string]time.Time{}
	var serving []*worker
	started := 0
	start := func(cold time.Duration) {
		started++
		w := b.startColdWorker(fmt.Sprintf("i-chartroom-%02d", started), "chartroom", 2, usualTime, cold)
		w.work = func(r *arrival) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			arrivals = append(arrivals, r)
			if r.path == "/sync/long" {
				return slowTime
			}
			return usualTime
		}
		serving = append(serving, w)
	}
	for range workerCount {
		start(0)
	}
	b.startEntries(3)
	time.Sleep(settle)
	var clients sync.WaitGroup
	list := func(e *entryProcess, path string) {
		id := b.newID()
		clients.Go(func() {
			c := b.connect(e)
			defer c.close()
			if c.send(http.MethodGet, path, id, 8*time.Second, "") == nil {
				c.receive(id, 9*time.Second)
			}
		})
	}
	for range rounds {
		for i := range 240 {
			list(b.entries[i%3], "/sync/listing")
			time.Sleep(20 * time.Millisecond)
		}
		clients.Wait()
		time.Sleep(time.Second)
		removed := time.Now()
		if b.trouble {
			leaving := serving[:leavingCount]
			serving = append([]*worker{}, serving[leavingCount:]...)
			b.store.removeWorkers(leaving)
			removed = time.Now()
			for _, w := range leaving {
				w.leave()
				mu.Lock()
				removedAt[w.id] = removed
				mu.Unlock()
				b.note("%s is removed from the registry", w.id)
			}
		}
		time.Sleep(time.Until(removed.Add(drainTime + 20*time.Millisecond)))
		for range 2 {
			for _, e := range b.entries {
				list(e, "/sync/long")
			}
			time.Sleep(100 * time.Millisecond)
		}
		clients.Wait()
		if b.trouble {
			for range leavingCount {
				start(3 * time.Second)
			}
		}
		time.Sleep(4 * time.Second)
	}
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, r := range arrivals {
		if at, ok := removedAt[r.worker.id]; ok && r.at.Sub(at) > drainTime {
			late++
			b.note("DRAIN: request %s reached %s %d ms after its removal was acknowledged", r.id, r.worker.id, r.at.Sub(at).Milliseconds())
		}
	}
	b.note("%d requests reached a worker over %v after its removal", late, drainTime)
	return late > 0
}
