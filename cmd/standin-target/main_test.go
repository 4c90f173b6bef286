package main

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// Guards against a program that prints no usable address, or does not end when it is told to.
func TestRun(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	r, w := io.Pipe()
	ended := make(chan error, 1)
	go func() {
		ended <- run(ctx, []string{"-version=v2", "-fault=error", "-share=0.3", "-path=/b/", "-slow=2", "a=127.0.0.1:0", "b=127.0.0.1:0"}, w, io.Discard)
	}()
	lines := bufio.NewScanner(r)
	for _, want := range []string{"a", "b"} {
		assert.Assert(t, lines.Scan())
		name, address, _ := strings.Cut(lines.Text(), " ")
		assert.Equal(t, name, want)
		resp, err := http.Get("http://" + address + "/standin/")
		assert.NilError(t, err)
		data, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Assert(t, strings.Contains(string(data), `"name":"`+want+`"`))
		assert.Assert(t, strings.Contains(string(data), `"version":"v2"`))
	}
	cancel()
	assert.NilError(t, <-ended)
}

// Guards against incorrect usage that does not get its own exit status.
func TestUsage(t *testing.T) {
	for _, args := range [][]string{{"-nosuch"}, {"name"}, {"a=nowhere"}, {"-slots=x"}, {"-fault=none"}} {
		err := run(t.Context(), args, io.Discard, io.Discard)
		assert.Assert(t, errors.Is(err, errUsage), "%v: %v", args, err)
	}
}
