package main

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkbeam/store"
)

// Guards against a program whose printed address, faults or counters cannot be used by tests of other programs.
func TestRun(t *testing.T) {
	o, err := parse([]string{"-listen", "127.0.0.1:0", "-writes", "0"})
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	out, in := io.Pipe()
	ended := make(chan error, 1)
	go func() { ended <- run(ctx, o, in) }()
	line, err := bufio.NewReader(out).ReadString('\n')
	assert.NilError(t, err)
	address := strings.TrimSpace(strings.TrimPrefix(line, "listening on "))
	client := store.NewClient(store.ClientOptions{
		Address: netip.MustParseAddrPort(address),
	})
	_, err = client.Commit(t.Context(), store.Transaction{})
	assert.NilError(t, err)
	put, err := http.NewRequest(http.MethodPut, "http://"+address+"/control/faults", strings.NewReader(`{"down":true}`))
	assert.NilError(t, err)
	put.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(put)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	_, err = client.Commit(t.Context(), store.Transaction{})
	assert.Equal(t, store.KindOf(err), store.Unavailable)
	resp, err = http.Get("http://" + address + "/control/counters")
	assert.NilError(t, err)
	counters, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, string(counters), `{"reads":0,"writes":1,"refused":1,"conflicts":0,"lost":0}`)
	stop()
	assert.NilError(t, <-ended)
	client.Close() // A kept connection may break only while the next request is written, which is Lost.
	_, err = client.Commit(t.Context(), store.Transaction{})
	assert.Equal(t, store.KindOf(err), store.Unavailable)
}

// Guards against flags that are accepted but mean nothing.
func TestParse(t *testing.T) {
	for _, args := range [][]string{{"-writes", "-1"}, {"-lag", "5"}, {"extra"}, {"-unknown"}} {
		_, err := parse(args)
		assert.Assert(t, err != nil, "%q", args)
	}
}
