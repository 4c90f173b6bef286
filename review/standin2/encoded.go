package main

import (
	"fmt"
	"sync"
	"time"
)

func init() {
	cases["encoded-slash"] = encodedSlash
	cases["path"] = changedPath
}

// lossInterval is the number of requests of which a worker loses one answer, lossyWorkers the number of workers of four
// that do.
const (
	lossInterval = 34
	lossyWorkers = 2
)

// encodedSlash sends requests of an unsafe route whose paths hold an encoded slash, while workers lose answers.
func encodedSlash(d *deployment, trouble bool) (verdict, error) {
	d.configure(1, []string{"lampboard", "logbook"},
		rule("stays", "unsafe", "/stays/", "logbook"),
		rule("tides", "safe", "/stays/tides/", "lampboard"))
	for i := range 4 {
		for _, service := range []string{"lampboard", "logbook"} {
			w, err := d.startWorker(fmt.Sprintf("i-%s-%d", service, i), service, string(rune('a'+i%3)))
			if err != nil {
				return failed, err
			}
			if trouble && i < lossyWorkers {
				w.set(func() { w.loseEach = lossInterval })
			}
		}
	}
	entries, err := d.startEntries(3)
	if err != nil {
		return failed, err
	}
	var calls sync.WaitGroup
	for i := range 300 {
		calls.Go(func() {
			_, _ = d.exchange("client", entries[i%len(entries)], request{
				method: "POST",
				uri:    fmt.Sprintf("/stays/tides%%2F%d", i),
				id:     fmt.Sprintf("stay-%d", i),
				body:   "a stay",
			})
		})
		time.Sleep(17 * time.Millisecond)
	}
	calls.Wait()
	times, others := map[string]int{}, 0
	for _, w := range d.workers {
		for _, r := range w.ran() {
			times[r.id]++
			if r.service != "logbook" {
				others++
			}
		}
	}
	result := held
	for id, n := range times {
		if n > 1 {
			d.record("TWICE: request %q of an unsafe route ran %d times", id, n)
			result = broken
		}
	}
	d.record("%d runs by a service to which the route does not lead", others)
	return result, nil
}

// changedPath sends paths as clients write them, and compares them with those that workers get.
func changedPath(d *deployment, trouble bool) (verdict, error) {
	d.configure(1, []string{"chartroom"}, rule("packs", "safe", "/packs/", "chartroom"))
	for i := range 3 {
		if _, err := d.startWorker(fmt.Sprintf("i-%d", i), "chartroom", string(rune('a'+i))); err != nil {
			return failed, err
		}
	}
	entries, err := d.startEntries(3)
	if err != nil {
		return failed, err
	}
	paths := []string{"/packs/keys-and-ferry", "/packs/keys%2Fferry", "/packs/keys%7Cferry", "/packs/keys?map=a|b"}
	if trouble {
		paths = append(paths, "/packs/keys|ferry", "/packs/keys%2Fferry|map", "/packs/f\u00e4hre")
	}
	sent := map[string]string{}
	for i, path := range paths {
		id := fmt.Sprintf("pack-%d", i)
		sent[id] = path
		if _, err := d.exchange("client", entries[i%len(entries)], request{
			method: "GET",
			uri:    path,
			id:     id,
		}); err != nil {
			return failed, err
		}
	}
	result := held
	for _, w := range d.workers {
		for _, r := range w.ran() {
			if r.uri != sent[r.id] {
				d.record("UNASKED: request %q was sent with path %s and ran with path %s", r.id, sent[r.id], r.uri)
				result = broken
			}
		}
	}
	return result, nil
}
