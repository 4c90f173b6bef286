package store

import "github.com/cockroachdb/errors"

// Validate returns an error of kind Invalid if the transaction is too large, has an empty key, or writes a key twice.
func (tx Transaction) Validate() error {
	if n := len(tx.Checks) + len(tx.Puts) + len(tx.Deletes); n > MaxTransactionOps {
		return fault(Invalid, errors.Newf("transaction has %d checks, puts and deletes; at most %d are allowed", n, MaxTransactionOps))
	}
	written := map[string]bool{}
	for _, key := range tx.written() {
		if written[key] {
			return fault(Invalid, errors.Newf("transaction writes key %q twice", key))
		}
		written[key] = true
	}
	for _, key := range tx.keys() {
		if key == "" {
			return fault(Invalid, errors.New("transaction has an empty key"))
		}
	}
	return nil
}

func (tx Transaction) written() []string {
	keys := make([]string, 0, len(tx.Puts)+len(tx.Deletes))
	for _, put := range tx.Puts {
		keys = append(keys, put.Key)
	}
	return append(keys, tx.Deletes...)
}

func (tx Transaction) keys() []string {
	keys := tx.written()
	for _, check := range tx.Checks {
		keys = append(keys, check.Key)
	}
	return keys
}

func fault(kind ErrorKind, err error) *Error {
	return &Error{
		Kind: kind,
		Err:  err,
	}
}
