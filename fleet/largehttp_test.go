package fleet

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	restful "github.com/emicklei/go-restful/v3"
	"gotest.tools/v3/assert"

	"skylarkbeam/feed"
)

// fullWriter is the writer of a response for which no memory is left.
type fullWriter struct{ *httptest.ResponseRecorder }

func (fullWriter) HoldBody(int64) bool { return false }

func tableOf(rows int, version uint64) *feed.Table {
	table := feed.NewTable("op")
	b := feed.Batch{
		Version: version,
		Whole:   true,
	}
	for i := range rows {
		b.Rows = append(b.Rows, feed.Row{
			Key:     fmt.Sprint(i),
			Value:   bytes.Repeat([]byte("r"), 100),
			Version: version,
		})
	}
	table.Apply(b)
	return table
}

func writeTable(l *largeMessages, w http.ResponseWriter, table *feed.Table, after uint64) {
	req := httptest.NewRequest(http.MethodGet, "/", nil)
	l.writeTable(restful.NewRequest(req), restful.NewResponse(w), table, after)
}

// Guards against a table that is encoded for each entry that asks for it, against one that is handed on as it was before a change, and
// against changes after a version that are taken for the whole.
func TestEncodedTable(t *testing.T) {
	l := newLargeMessages()
	table := tableOf(200, 5)
	read := func(after uint64) feed.Batch {
		w := httptest.NewRecorder()
		writeTable(l, w, table, after)
		assert.Equal(t, w.Code, http.StatusOK)
		var b feed.Batch
		body := w.Body
		if w.Header().Get("Content-Encoding") == "gzip" {
			gz, err := gzip.NewReader(body)
			assert.NilError(t, err)
			assert.NilError(t, json.NewDecoder(gz).Decode(&b))
			return b
		}
		assert.NilError(t, json.NewDecoder(body).Decode(&b))
		return b
	}
	first := read(0)
	assert.Assert(t, first.Whole && len(first.Rows) == 200)
	encoding := &l.lastTable.data[0]
	again := read(0)
	assert.Equal(t, len(again.Rows), 200)
	assert.Assert(t, encoding == &l.lastTable.data[0], "the table was encoded again")
	table.Apply(feed.Batch{
		Rows: []feed.Row{
			{
				Key:     "new",
				Version: 6,
			},
		},
		Version: 6,
	})
	changed := read(0)
	assert.Assert(t, changed.Whole && len(changed.Rows) == 201 && changed.Version == 6)
	changes := read(5)
	assert.Assert(t, !changes.Whole && len(changes.Rows) == 1)
	last := read(0)
	assert.Equal(t, len(last.Rows), 201)
}

// Guards against responses that are held without memory for them, and against a whole table, which all responses share, that is refused.
func TestNoMemoryForResponse(t *testing.T) {
	l := newLargeMessages()
	table := tableOf(200, 5)
	whole := fullWriter{
		ResponseRecorder: httptest.NewRecorder(),
	}
	writeTable(l, whole, table, 0)
	assert.Equal(t, whole.Code, http.StatusOK)
	table.Apply(feed.Batch{
		Rows: []feed.Row{
			{
				Key:     "new",
				Version: 6,
			},
		},
		Version: 6,
	})
	refused := fullWriter{
		ResponseRecorder: httptest.NewRecorder(),
	}
	writeTable(l, refused, table, 5)
	assert.Equal(t, refused.Code, http.StatusServiceUnavailable)
	assert.Equal(t, refused.Header().Get("Retry-After"), "1")
}

// Guards against messages beyond the limit, and against large ones that are not decoded.
func TestLargeMessage(t *testing.T) {
	l := newLargeMessages()
	for _, test := range []struct {
		size int
		ok   bool
	}{
		{
			size: 10,
			ok:   true,
		},
		{
			size: 100_000,
			ok:   true,
		},
		{
			size: MaxMessageBytes,
			ok:   false,
		},
	} {
		var text string
		body := strings.NewReader(`"` + strings.Repeat("x", test.size) + `"`)
		err := l.decode(httptest.NewRequest(http.MethodPost, "/", body), &text)
		assert.Equal(t, err == nil, test.ok)
		assert.Assert(t, !test.ok || len(text) == test.size)
	}
}
