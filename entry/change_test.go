package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	restful "github.com/emicklei/go-restful/v3"
	"gotest.tools/v3/assert"

	"skylarkbeam/fleet"
)

// Guards against a change that is cut off at the limit and then refused as if it were not valid JSON.
func TestChangeTooLarge(t *testing.T) {
	body := `{"id":"1","who":"test","settings":"` + strings.Repeat("x", maxChange) + `"}`
	resp := httptest.NewRecorder()
	req := restful.NewRequest(httptest.NewRequest(http.MethodPut, "/settings", strings.NewReader(body)))
	(&Entry{}).change(req, restful.NewResponse(resp), func(context.Context, *Change) fleet.Decision {
		t.Error("a change that was cut off is applied")
		return nil
	})
	assert.Equal(t, resp.Code, http.StatusRequestEntityTooLarge)
	assert.Equal(t, resp.Body.String(), "the change has more than 16777216 bytes\n")
}
