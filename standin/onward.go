package standin

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// onwardConnections covers the calls that a target runs at once, so that onward calls reuse their connections.
const onwardConnections = 64

// passed are the header fields that a target passes on with an onward call. The time left is computed anew, and the key
// is sent under the name that callers use.
var passed = []string{"Skylarkbeam-Caller", headerRepeat}

// headerRepeat marks calls that descend from a hedge or a repeat.
const headerRepeat = "Skylarkbeam-Repeat"

func newTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: onwardConnections,
		IdleConnTimeout:     30 * time.Second,
	}
}

// onward makes the onward call of a call that runs, if there is to be one, and reads its whole answer. The context ends
// with the call and at its deadline.
func (t *Target) onward(ctx context.Context, r *http.Request, body []byte) error {
	s := t.Behavior()
	if s.DependencyURL == "" {
		return nil
	}
	// A body that cannot be read again keeps the transport from sending the call twice by itself.
	req, err := http.NewRequestWithContext(ctx, r.Method, s.DependencyURL, io.MultiReader(bytes.NewReader(body)))
	if err != nil {
		return fmt.Errorf("call %s: %w", s.DependencyURL, err)
	}
	for _, name := range passed {
		if value := r.Header.Get(name); value != "" && !(name == headerRepeat && s.OmitRetryHeader) {
			req.Header.Set(name, value)
		}
	}
	if key := r.Header.Get("Skylarkbeam-Key"); key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set("Skylarkbeam-Timeout", time.Until(deadline).String())
	}
	resp, err := t.transport.RoundTrip(req)
	if err != nil {
		return fmt.Errorf("call %s: %w", s.DependencyURL, err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return fmt.Errorf("read the answer of %s: %w", s.DependencyURL, err)
	}
	if resp.StatusCode >= http.StatusInternalServerError || resp.StatusCode == http.StatusTooManyRequests {
		return fmt.Errorf("call %s: status %d", s.DependencyURL, resp.StatusCode)
	}
	return nil
}
