package setting

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"
)

// maxDepth is the number of levels that a document can have. Settings have 5; the time to merge grows with the square of
// the depth, and 9000 levels took 6 s.
const maxDepth = 16

// decodeValue decodes one JSON value and keeps numbers as they are written.
func decodeValue(data []byte) (any, error) {
	// Unlike Decode, Unmarshal refuses anything after the value.
	if err := json.Unmarshal(data, &json.RawMessage{}); err != nil {
		return nil, err
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var value any
	err := decoder.Decode(&value)
	return value, err
}

// deeper reports whether value has more than limit levels of objects and arrays.
func deeper(value any, limit int) bool {
	below := func(v any) bool { return limit == 0 || deeper(v, limit-1) }
	switch v := value.(type) {
	case map[string]any:
		for _, item := range v {
			if below(item) {
				return true
			}
		}
	case []any:
		return slices.ContainsFunc(v, below)
	}
	return false
}

// position adds the line to a syntax error.
func position(data []byte, err error) error {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return err
	}
	before := data[:min(int(syntax.Offset), len(data))]
	return fmt.Errorf("line %d: %w", 1+bytes.Count(before, []byte("\n")), err)
}

// repeated returns the paths of the fields that are set more than once in one valid document. The decoder takes the last
// one without a word, which hides a mistake such as two targets with one name.
func repeated(data []byte) []string {
	r := repetitions{
		decoder: json.NewDecoder(bytes.NewReader(data)),
	}
	r.value("")
	return r.paths
}

type repetitions struct {
	decoder *json.Decoder
	paths   []string
}

// value reads one value at path. The document is valid, so reading fails only at its end.
func (r *repetitions) value(path string) {
	token, err := r.decoder.Token()
	if err != nil {
		return
	}
	switch token {
	case json.Delim('{'):
		r.object(path)
	case json.Delim('['):
		for i := 0; r.decoder.More(); i++ {
			r.value(join(path, fmt.Sprint(i)))
		}
		_, _ = r.decoder.Token()
	}
}

func (r *repetitions) object(path string) {
	seen := map[string]bool{}
	for r.decoder.More() {
		token, err := r.decoder.Token()
		name, ok := token.(string)
		if err != nil || !ok {
			return
		}
		below := join(path, name)
		if seen[name] {
			r.paths = append(r.paths, below)
		}
		seen[name] = true
		r.value(below)
	}
	_, _ = r.decoder.Token()
}
