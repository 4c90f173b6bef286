package entry_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/deployment"
	"skylarkbeam/standin"
)

// start starts a deployment and waits until all its targets are warm.
func start(tb testing.TB, o deployment.Options) *deployment.Deployment {
	tb.Helper()
	d, err := deployment.Start(o)
	assert.NilError(tb, err)
	tb.Cleanup(d.Close)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	assert.NilError(tb, d.WaitWarm(ctx))
	return d
}

// BenchmarkCall measures a read through one entry, with the client and the target in the same process.
func BenchmarkCall(b *testing.B) {
	d := start(b, deployment.Options{
		Services: []deployment.Service{
			{
				Name:    "availability",
				Targets: 4,
				Behavior: standin.Behavior{
					Slots:       64,
					DiscardRuns: true,
				},
			},
		},
	})
	url := "http://" + d.Entries[0].CallerAddress().String() + "/availability/tides"
	client := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 64,
		},
	}
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			req, err := http.NewRequest(http.MethodGet, url, nil)
			if err != nil {
				b.Fatal(err)
			}
			req.Header.Set("Skylarkbeam-Caller", "web")
			resp, err := client.Do(req)
			if err != nil {
				b.Fatal(err)
			}
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				b.Fatalf("status %d, reason %s", resp.StatusCode, resp.Header.Get("Skylarkbeam-Reason"))
			}
		}
	})
}
