// Package claim lets a non-idempotent call run at most once, whichever entries its repeats reach.
//
// # Usage
//
//	ledger := claim.Open(claim.Options{
//		Table:       table,
//		Entry:       "entry1",
//		Incarnation: incarnation,
//		Timers:      timers,
//	})
//	switch d := ledger.Take(ctx, key, digest).(type) {
//	case *claim.Granted:
//		// Dispatch before d.Claim.Until(), then call one of Finish, Release and Abandon.
//	case *claim.Done:
//		// Give the recorded answer.
//	case *claim.Busy, *claim.Mismatch, *claim.Unavailable:
//		// Refuse; this call was not run.
//	}
//
// # Group commit
//
// A claim is the row claim/KEY, written by a transaction that demands that the row does not exist. Claims, answers and
// releases of one ledger are collected and committed in groups of up to 49 writes. One transaction is in flight at a
// time, and transactions start 25 ms apart while there is work; the first one after a pause starts at once. If some
// rows of a group conflict, these calls are decided by the rows that the table returned, and the rest is retried at
// once; later groups wait correspondingly longer, so that a ledger stays at 40 transactions a second.
//
// # Lost answers
//
// A transaction whose answer was lost can be in the table, can never get there, or can get there later, even after a
// read that did not show it. Reading claims back is therefore not enough to retry or to free them: a late write would
// claim a key for a call that was refused long ago, and the key would be blocked until it expires.
//
// Every transaction of a ledger therefore also checks and writes the row group/ENTRY/INCARNATION. Versions never
// repeat, only this ledger writes the row, and a ledger starts no transaction before the former one is settled. So, of
// all transactions that check version v of the group row, at most one ever takes effect:
//
//   - if the row has the nonce of the group, the group took effect, with all its claims;
//   - if the row has a version other than v and another nonce, the group can no longer take effect;
//   - if the row still has version v, the ledger writes it with a check of v. If that takes effect, the group can no
//     longer take effect; if it conflicts, the group has taken effect; if its answer is lost too, the row is read
//     again.
//
// The check that a row is absent can hold again after an expiry. The group row is therefore created by a transaction
// without claims. The argument relies on reads that return all rows as of one moment, and on an incarnation that is
// unique.
//
// A call whose group is not settled within 250 ms is refused. Its key is Unavailable at this entry until the group is
// settled in the background, and is then free, either because the claim never took effect or because it is released by
// a check of its version. The release is a write of a later group, so the same argument covers it.
//
// # Ownership
//
// A claim is never taken over. Only the ledger that took it may release it, and only for a call that certainly did not
// run. If its process dies, or if the outcome of the call is unknown, the key stays Busy until the row expires after
// 24 h. A holder that was paused compares the time with Claim.Until before it dispatches; a claim that lapsed cannot
// be finished or released, because these check its version.
package claim
