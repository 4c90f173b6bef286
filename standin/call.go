package standin

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"
)

// maxBody bounds the body of a call, which is kept in memory.
const maxBody = 64 << 20

func (t *Target) serveCall(w http.ResponseWriter, r *http.Request) {
	fault := t.takeFault(r.URL.Path)
	t.mu.Lock()
	t.counts.Calls++
	t.mu.Unlock()
	switch fault {
	case FaultError:
		t.refuse(w, r, http.StatusInternalServerError, false)
		return
	case FaultClose:
		panic(http.ErrAbortHandler)
	case FaultShed:
		t.mu.Lock()
		t.counts.Shed++
		t.mu.Unlock()
		t.refuse(w, r, http.StatusServiceUnavailable, true)
		return
	case FaultNoResponse:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	ctx := r.Context()
	if left, err := time.ParseDuration(r.Header.Get("Skylarkbeam-Timeout")); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, left)
		defer cancel()
		t.mu.Lock()
		t.counts.LastTimeout = Duration(left)
		t.mu.Unlock()
	}
	if !t.thaw(ctx) {
		panic(http.ErrAbortHandler)
	}
	v := &inbound{
		id:    r.Header.Get("Skylarkbeam-Request"),
		key:   r.Header.Get("Skylarkbeam-Key"),
		start: time.Now(),
		ctx:   ctx,
	}
	if !t.enter(v) {
		t.refuse(w, r, http.StatusServiceUnavailable, true)
		return
	}
	finished := t.run(ctx, r)
	var failed error
	if finished {
		failed = t.onward(ctx, r, body)
		finished = ctx.Err() == nil
	}
	t.leave(v)
	if !finished {
		t.mu.Lock()
		t.counts.Canceled++
		t.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if failed != nil {
		t.refuse(w, r, http.StatusBadGateway, false)
		return
	}
	t.respond(w, r, newAnswer(r, body), fault)
}

// inbound is one call from its arrival to its end.
type inbound struct {
	id, key string
	start   time.Time
	ctx     context.Context
	life    *life
}

// String implements fmt.Stringer.
func (v *inbound) String() string {
	return fmt.Sprintf("%s %q for %s, canceled %t", v.id, v.key, time.Since(v.start), v.ctx.Err() != nil)
}

// enter waits for a slot. The call has certainly not run if it returns false.
func (t *Target) enter(v *inbound) bool {
	t.mu.Lock()
	if t.dead(v.ctx) {
		t.mu.Unlock()
		return false
	}
	if t.switches.Draining {
		t.counts.DrainingCalls++
		t.mu.Unlock()
		return false
	}
	v.life = t.life
	v.life.present[v] = true
	if t.cold() {
		t.counts.MaxColdConcurrency = max(t.counts.MaxColdConcurrency, len(v.life.present))
		if len(v.life.present) > t.switches.ColdConcurrency {
			t.counts.ColdViolations++
			t.counts.LastColdViolation = fmt.Sprint(slices.Collect(maps.Keys(v.life.present)))
		}
	}
	if t.active < t.switches.Slots {
		t.active++
		t.note()
		t.mu.Unlock()
		return true
	}
	if len(t.waiting) >= t.switches.QueueLimit {
		delete(v.life.present, v)
		t.counts.Shed++
		t.mu.Unlock()
		return false
	}
	slot := make(chan struct{})
	t.waiting = append(t.waiting, slot)
	t.note()
	t.mu.Unlock()
	select {
	case <-slot:
		return true
	case <-v.ctx.Done():
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Canceled++
	if i := slices.Index(t.waiting, slot); i >= 0 {
		t.waiting = slices.Delete(t.waiting, i, i+1)
	} else {
		t.active--
		t.admit()
	}
	delete(v.life.present, v)
	t.note()
	return false
}

func (t *Target) leave(v *inbound) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
	delete(v.life.present, v)
	t.admit()
	t.note()
}

// admit gives free slots to queued calls. The caller holds the lock.
func (t *Target) admit() {
	for t.active < t.switches.Slots && len(t.waiting) > 0 {
		t.active++
		close(t.waiting[0])
		t.waiting = slices.Delete(t.waiting, 0, 1)
	}
}

// run does the work of a call. It returns false if the call was given up before its end.
func (t *Target) run(ctx context.Context, r *http.Request) bool {
	t.mu.Lock()
	t.countRun(r.Header.Get("Skylarkbeam-Request"), r.Header.Get("Skylarkbeam-Key"))
	work := float64(t.switches.ServiceTime) * t.switches.Slowdown
	if t.cold() {
		work *= t.switches.ColdSlowdown
	}
	linger := time.Duration(t.switches.CancellationDelay)
	t.mu.Unlock()
	if work <= 0 {
		return true
	}
	timer := time.NewTimer(time.Duration(work))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		time.Sleep(linger)
		return false
	}
}

// refuse answers without running the call; with notRun it says so.
func (t *Target) refuse(w http.ResponseWriter, r *http.Request, status int, notRun bool) {
	for name, values := range t.fields(r.Header.Get("Skylarkbeam-Request")) {
		w.Header()[name] = values
	}
	if notRun {
		w.Header().Set("Skylarkbeam-Outcome", "not-run")
		w.Header().Set("Retry-After", "1")
	}
	w.WriteHeader(status)
}

// thaw waits while the target is frozen. It returns false if the request ended before that.
func (t *Target) thaw(ctx context.Context) bool {
	for {
		t.mu.Lock()
		frozen, changed := t.switches.Paused, t.changed
		t.mu.Unlock()
		if !frozen {
			return ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
