package fleet

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
	restful "github.com/emicklei/go-restful/v3"

	"skylarkbeam/feed"
)

const (
	// minCompressBytes is the size from which on a response is compressed. A desired state with 1600 routes shrinks from
	// 600 KB to 40 KB; uncompressed, the links of the readers would take seconds to pass it on.
	minCompressBytes = 4 << 10
	// minLargeMessage is the size in bytes from which on messages are decoded one at a time: decoded, they take many times their
	// bytes.
	minLargeMessage = 12 << 10
	// fewRows is the number of rows up to which a batch is held while its response waits for its turn.
	fewRows = 64
)

// bodyHolder is the writer of a response that tells whether memory is left for a body of n bytes that its client may not read.
type bodyHolder interface {
	HoldBody(n int64) bool
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

// decode decodes the body of a request.
func (f *Follower) decode(r *http.Request, into any) error {
	data, err := readBody(r.Body, maxMessageBytes)
	if err != nil {
		return err
	}
	if len(data) < minLargeMessage {
		return errors.Wrap(json.Unmarshal(data, into), "decode a message")
	}
	var result error
	err = f.large.Do(r.Context(), func() { result = json.Unmarshal(data, into) })
	return errors.Wrap(errors.CombineErrors(err, result), "decode a large message")
}

// writeBatch responds with the changes of a table after a version. The batch, which has them too, is held only if it is small.
func (f *Follower) writeBatch(req *restful.Request, resp *restful.Response, table *feed.Table, after uint64, b feed.Batch) {
	if len(b.Rows) <= fewRows {
		f.writeLarge(req.Request.Context(), resp, func() (encoded, bool) { return encodeCompressed(b), false })
		return
	}
	f.writeLarge(req.Request.Context(), resp, func() (encoded, bool) { return f.encodeTable(table, after) })
}

// writeLarge responds with JSON. Responses are encoded one at a time: the encoder and the compressor take far more memory than the
// result. encode also reports whether other responses use the same bytes.
func (f *Follower) writeLarge(ctx context.Context, resp *restful.Response, encode func() (e encoded, shared bool)) {
	var body encoded
	var shared bool
	if f.large.Do(ctx, func() { body, shared = encode() }) != nil {
		return // The peer has gone.
	}
	if holder, ok := resp.ResponseWriter.(bodyHolder); ok && !shared && !holder.HoldBody(int64(len(body.data))) {
		resp.Header().Set("Retry-After", "1")
		http.Error(resp, "no memory is free for the response", http.StatusServiceUnavailable)
		return
	}
	if body.zipped {
		resp.Header().Set("Content-Encoding", "gzip")
	}
	writeEncoded(resp, body.data)
}

// encodeTable returns the changes of a table after a version. A whole table is encoded once while it does not change. The caller
// must be the only one that encodes.
func (f *Follower) encodeTable(table *feed.Table, after uint64) (e encoded, shared bool) {
	revision := table.Revision()
	b := table.ChangesSince(after)
	if !b.Whole {
		return encodeCompressed(b), false
	}
	if last := &f.lastTable; last.table != table || last.revision != revision || last.version != b.Version {
		*last = encodedTable{
			encoded:  encodeCompressed(b),
			table:    table,
			revision: revision,
			version:  b.Version,
		}
	}
	return f.lastTable.encoded, true
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
