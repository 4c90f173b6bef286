package target

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkbeam/outcome"
)

// Guards against a path that reaches the target in other bytes than those of the call, also with a body and on a
// connection that is used again.
func TestPathBytes(t *testing.T) {
	var received string
	p := startHandler(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received = r.Method + " " + r.RequestURI
		w.Header().Set("Skylarkbeam-Request", r.Header.Get("Skylarkbeam-Request"))
	}))
	for _, path := range []string{
		"/", "/?", "//", "//a|b", "//a.example/b", "//a:b@c/d?e", "/a%2Fb|c", "/a?b|c%zz", "/f\xc3\xa4hre", "/f\xe4hre", `/{a}^"\`, "/a#b",
	} {
		for method, body := range map[string]string{"GET": "", "POST": "body"} {
			answered, ok := p.Send(t.Context(), newCall(method, path, "", body)).(*outcome.Answered)
			assert.Assert(t, ok, path)
			assert.Equal(t, received, method+" "+path)
			assert.NilError(t, answered.Body.Close())
		}
	}
}
