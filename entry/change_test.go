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

// A request body above the limit must be refused as too large, not truncated and refused as invalid JSON.
func TestChangeTooLarge(t *testing.T) {
	body := `{"id":"1","who":"test","settings":"` + strings.Repeat("x", maxChangeBytes) + `"}`
	resp := httptest.NewRecorder()
	req := restful.NewRequest(httptest.NewRequest(http.MethodPut, "/settings", strings.NewReader(body)))
	(&Entry{}).serveChange(req, restful.NewResponse(resp), func(context.Context, *Change) fleet.Decision {
		t.Error("a truncated change was applied")
		return nil
	})
	assert.Equal(t, resp.Code, http.StatusRequestEntityTooLarge)
	assert.Equal(t, resp.Body.String(), "the change has more than 16777216 bytes\n")
}
