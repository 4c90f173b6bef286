// Package claim ensures that a non-idempotent call is executed at most once, no matter which entries its retries reach.
//
// # Usage
//
//	manager := claim.Open(claim.Options{
//		Table:       table,
//		Entry:       "entry1",
//		Incarnation: incarnation,
//		Timers:      timers,
//	})
//	switch d := manager.Acquire(ctx, key, digest).(type) {
//	case *claim.Granted:
//		// Dispatch before d.Claim.DispatchDeadline(), then call Finish, Release or Abandon.
//	case *claim.Done:
//		// Return the recorded response.
//	case *claim.Busy, *claim.Mismatch, *claim.Unavailable:
//		// Refuse the call; it was not executed.
//	}
//
// # Group commit
//
// A claim is the row claim/KEY. It is written by a transaction that requires that the row does not exist. A manager
// collects its claims, responses and releases and commits them in groups of up to 49 writes. One transaction is in
// flight at a time, and transactions start 25 ms apart while there is work; the first one after an idle period starts
// at once. If some rows of a group conflict, their calls are decided by the rows that the table returned, and the
// remaining writes are retried at once. Later groups wait correspondingly longer, so that a manager stays at 40
// transactions per second.
//
// # Lost responses
//
// A transaction whose response was lost may be in the table, may never take effect, or may take effect later, even
// after a read that did not show it. Reading claims back is therefore not enough to retry or release them: a late write
// would claim a key for a call that was refused long ago, and block the key until it expires.
//
// Every transaction of a manager therefore also checks and writes the row group/ENTRY/INCARNATION. Versions never
// repeat, only this manager writes the row, and a manager starts no transaction before the previous one is settled.
// Hence at most one of all transactions that check version v of the group row ever takes effect:
//
//   - If the row has the nonce of the group, the group took effect with all its claims.
//   - If the row has a version other than v and another nonce, the group can no longer take effect.
//   - If the row still has version v, the manager writes it with a check of v. If that write takes effect, the group can
//     no longer take effect. If it conflicts, the group has taken effect. If its response is lost too, the row is read
//     again.
//
// The check that a row is absent can succeed again after the row has expired. The group row is therefore created by a
// transaction without claims. The argument relies on reads that return a consistent snapshot of all rows and on a
// unique incarnation.
//
// A call whose group is not settled within 250 ms is refused. Its key is Unavailable at this entry until the group is
// settled in the background. Then the key is free, either because the claim never took effect or because it is released
// by a transaction that checks its version. The release is a write of a later group, so the same argument covers it.
//
// # Ownership
//
// A claim is never taken over. Only the manager that acquired it may release it, and only for a call that certainly was
// not executed. If its process dies, or if the outcome of the call is unknown, the key stays Busy until the row expires
// after 24 h. A holder that was paused compares the time with Claim.DispatchDeadline before it dispatches the call. A
// claim that has expired cannot be finished or released, because both check its version.
package claim
