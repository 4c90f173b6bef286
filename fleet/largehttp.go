package fleet

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
	restful "github.com/emicklei/go-restful/v3"

	"skylarkbeam/feed"
	"skylarkbeam/memory"
)

// minCompressBytes is the size from which on a response is compressed. A desired state with 1600 routes shrinks from
// 600 KB to 40 KB; uncompressed, the links of the readers would take seconds to pass it on.
const minCompressBytes = 4 << 10

// largeMessages decodes large messages and encodes large responses, one at a time: the decoder, the encoder and the compressor take many
// times the bytes of a message. Create one with newLargeMessages.
type largeMessages struct {
	turn memory.Exclusive
	// lastTable belongs to whose turn it is.
	lastTable encodedTable
}

// encoded is the body of a response.
type encoded struct {
	data   []byte
	zipped bool
}

// encodedTable is the last response with a whole table, which all entries that start ask for.
type encodedTable struct {
	encoded
	table    *feed.Table
	revision uint64
	version  uint64
}

func newLargeMessages() *largeMessages {
	return &largeMessages{
		turn: memory.NewExclusive(),
	}
}

// decode decodes the body of a request.
func (l *largeMessages) decode(r *http.Request, into any) error {
	data, err := readBody(r.Body, MaxMessageBytes)
	if err != nil {
		return err
	}
	if len(data) <= memory.FreeMessage {
		return errors.Wrap(json.Unmarshal(data, into), "decode a message")
	}
	var result error
	err = l.turn.Do(r.Context(), func() { result = json.Unmarshal(data, into) })
	return errors.Wrap(errors.CombineErrors(err, result), "decode a large message")
}

// writeTable responds with the changes of a table after a version. A whole table is encoded once while it does not change.
func (l *largeMessages) writeTable(req *restful.Request, resp *restful.Response, table *feed.Table, after uint64) {
	l.write(req, resp, func() (body encoded, shared bool) {
		revision := table.Revision()
		b := table.ChangesSince(after)
		if !b.Whole {
			return encodeCompressed(b), false
		}
		if last := &l.lastTable; last.table != table || last.revision != revision || last.version != b.Version {
			*last = encodedTable{
				encoded:  encodeCompressed(b),
				table:    table,
				revision: revision,
				version:  b.Version,
			}
		}
		return l.lastTable.encoded, true
	})
}

// write responds with JSON. encode also reports whether other responses use the same bytes, which then need no memory of their own.
func (l *largeMessages) write(req *restful.Request, resp *restful.Response, encode func() (body encoded, shared bool)) {
	var body encoded
	var shared bool
	if l.turn.Do(req.Request.Context(), func() { body, shared = encode() }) != nil {
		return // The peer has gone.
	}
	if !shared && !memory.HoldBody(resp.ResponseWriter, len(body.data)) {
		resp.Header().Set("Retry-After", "1")
		http.Error(resp, "no memory is free for the response", http.StatusServiceUnavailable)
		return
	}
	if body.zipped {
		resp.Header().Set("Content-Encoding", "gzip")
	}
	writeEncoded(resp, body.data)
}

// encodeCompressed returns JSON, compressed if it is large.
func encodeCompressed(value any) encoded {
	data := encode(value)
	if len(data) < minCompressBytes {
		return encoded{
			data: data,
		}
	}
	var b bytes.Buffer
	gz, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		panic(err) // cannot happen, the level is valid
	}
	_, _ = gz.Write(data) // A buffer takes all bytes.
	_ = gz.Close()
	return encoded{
		data:   b.Bytes(),
		zipped: true,
	}
}
