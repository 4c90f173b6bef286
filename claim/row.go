package claim

import (
	"encoding/json"
	"net/http"

	"skylarkbeam/store"
)

// MaxBodyBytes is the largest body in bytes that is kept for repeats.
const MaxBodyBytes = 4096

// The prefixes of the keys in the table.
const (
	claimPrefix = "claim/"
	groupPrefix = "group/"
)

// state is what a claim's row says of the call.
type state string

const (
	stateClaimed state = "claimed"
	stateDone    state = "done"
)

// row is the value of the row claim/KEY.
type row struct {
	Digest      string `json:"digest"`
	Entry       string `json:"entry"`
	Incarnation string `json:"incarnation"`
	// Nonce is unique among all attempts of all ledgers to claim a key.
	Nonce   string `json:"nonce"`
	State   state  `json:"state"`
	Status  int    `json:"status,omitempty"`
	Type    string `json:"type,omitempty"`
	Answer  []byte `json:"answer,omitempty"`
	Omitted bool   `json:"omitted,omitempty"`
}

// groupRow is the value of the row group/ENTRY/INCARNATION, which every transaction of a ledger checks and writes.
type groupRow struct {
	Nonce string `json:"nonce"`
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// readRow returns the zero row for a value that is not a claim. Such a key counts as busy until its row expires.
func readRow(r store.Row) row {
	var v row
	if json.Unmarshal(r.Value, &v) != nil {
		return row{}
	}
	return v
}

func readGroup(r store.Row) string {
	var v groupRow
	if json.Unmarshal(r.Value, &v) != nil {
		return ""
	}
	return v.Nonce
}

// decide returns the decision for a call whose key has this row already.
func (r row) decide(digest string) Decision {
	switch {
	case r.Digest != "" && r.Digest != digest:
		return &Mismatch{}
	case r.State == stateDone:
		return r.done()
	default:
		return &Busy{
			Entry: r.Entry,
		}
	}
}

func (r row) done() *Done {
	done := &Done{
		Status:  r.Status,
		Header:  http.Header{},
		Body:    r.Answer,
		Omitted: r.Omitted,
	}
	if r.Type != "" {
		done.Header.Set("Content-Type", r.Type)
	}
	return done
}
