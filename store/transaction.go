package store

import "github.com/cockroachdb/errors"

// Validate returns an error of kind Invalid if the transaction is too large, has an empty key, or writes a key twice.
func (tx Transaction) Validate() error {
	if n := len(tx.Checks) + len(tx.Puts) + len(tx.Deletes); n > MaxTransactionOps {
		return newError(Invalid, errors.Newf(
			"transaction has %d checks, puts and deletes; at most %d are allowed", n, MaxTransactionOps))
	}
	seen := map[string]bool{}
	for _, key := range tx.writtenKeys() {
		if seen[key] {
			return newError(Invalid, errors.Newf("transaction writes key %q twice", key))
		}
		seen[key] = true
	}
	for _, key := range tx.keys() {
		if key == "" {
			return newError(Invalid, errors.New("transaction has an empty key"))
		}
	}
	return nil
}

func (tx Transaction) writtenKeys() []string {
	keys := make([]string, 0, len(tx.Puts)+len(tx.Deletes))
	for _, put := range tx.Puts {
		keys = append(keys, put.Key)
	}
	return append(keys, tx.Deletes...)
}

func (tx Transaction) keys() []string {
	keys := tx.writtenKeys()
	for _, check := range tx.Checks {
		keys = append(keys, check.Key)
	}
	return keys
}
