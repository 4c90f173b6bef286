package claim

import (
	"encoding/json"
	"net/http"

	"skylarkbeam/store"
)

// MaxBodyBytes is the size in bytes of the largest response body that is kept for repeated calls.
const MaxBodyBytes = 4096

// Key prefixes in the table.
const (
	claimPrefix = "claim/"
	groupPrefix = "group/"
)

// state is the state of a call in the row of its claim.
type state string

const (
	stateClaimed state = "claimed"
	stateDone    state = "done"
)

// claimRow is the value of the row claim/KEY.
type claimRow struct {
	Digest      string `json:"digest"`
	Entry       string `json:"entry"`
	Incarnation string `json:"incarnation"`
	// Nonce is unique among all attempts of all managers to claim a key.
	Nonce       string `json:"nonce"`
	State       state  `json:"state"`
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"type,omitempty"`
	Body        []byte `json:"answer,omitempty"`
	Omitted     bool   `json:"omitted,omitempty"`
}

// groupRow is the value of the row group/ENTRY/INCARNATION, which every transaction of a manager checks and writes.
type groupRow struct {
	Nonce string `json:"nonce"`
}

func encodeRow(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// decodeClaimRow returns the zero row if the value is not a claim. The key of such a row is busy until the row expires.
func decodeClaimRow(r store.Row) claimRow {
	var v claimRow
	if json.Unmarshal(r.Value, &v) != nil {
		return claimRow{}
	}
	return v
}

// decodeGroupNonce returns the nonce of a group row, or an empty string if the value is not a group row.
func decodeGroupNonce(r store.Row) string {
	var v groupRow
	if json.Unmarshal(r.Value, &v) != nil {
		return ""
	}
	return v.Nonce
}

// decide returns the decision for a call whose key already has this row.
func (r claimRow) decide(digest string) Decision {
	switch {
	case r.Digest != "" && r.Digest != digest:
		return &Mismatch{}
	case r.State == stateDone:
		return r.doneDecision()
	default:
		return &Busy{
			Entry: r.Entry,
		}
	}
}

func (r claimRow) doneDecision() *Done {
	done := &Done{
		Status:  r.Status,
		Header:  http.Header{},
		Body:    r.Body,
		Omitted: r.Omitted,
	}
	if r.ContentType != "" {
		done.Header.Set("Content-Type", r.ContentType)
	}
	return done
}
