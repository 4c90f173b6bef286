package main

import (
	"strings"
	"time"
)

func init() { cases["smuggled"] = smuggled }

// smuggled posts, with the header Expect, a note that quotes a request, to a route that a desired state has removed.
func smuggled(d *deployment, trouble bool) (verdict, error) {
	services := []string{"lampboard", "logbook"}
	notes := rule("notes", "unsafe", "/notes/", "lampboard")
	book := rule("book", "unsafe", "/book/", "logbook")
	d.configure(1, services, notes, book)
	for _, w := range [][3]string{{"i-1", "lampboard", "a"}, {"i-2", "lampboard", "b"}, {"i-3", "logbook", "a"}, {"i-4", "logbook", "b"}} {
		if _, err := d.startWorker(w[0], w[1], w[2]); err != nil {
			return failed, err
		}
	}
	entries, err := d.startEntries(3)
	if err != nil {
		return failed, err
	}
	if trouble {
		d.configure(2, services, book)
		time.Sleep(3 * time.Second)
	}
	note := strings.Join([]string{
		"POST /book/77 HTTP/1.1",
		"Host: " + host,
		"Request-Id: quoted-in-a-note",
		"Content-Length: 0",
		"", "",
	}, "\r\n")
	for _, e := range entries {
		c, err := d.connect("client of "+e.name, e)
		if err != nil {
			return failed, err
		}
		err = c.send(request{
			method: "POST",
			uri:    "/notes/1",
			id:     "note-to-" + e.name,
			header: []string{"Expect: 100-continue"},
			body:   note,
		})
		if err != nil {
			return failed, err
		}
		if _, err := c.read("POST", 5*time.Second); err != nil {
			return failed, err
		}
		// Nothing is outstanding, so whatever comes answers no request.
		if a, err := c.read("POST", time.Second); err == nil {
			d.record("MIXED: %d comes on a connection with no request waiting", a.status)
		}
		c.nc.Close()
	}
	result := held
	for _, w := range d.workers {
		for _, r := range w.ran() {
			if !strings.HasPrefix(r.id, "note-to-") {
				d.record("UNASKED: worker %s ran %s %s of request %q, which no client sent", w.id, r.method, r.uri, r.id)
				result = broken
			}
		}
	}
	return result, nil
}
