// Package memory decides how much memory an entry may hold for bodies, heads, responses and connections.
//
// The memory of the machine is divided into parts, so that small calls do not wait for memory that large bodies hold. What
// is to be held is reserved before it is allocated. Large reservations wait in the order of their arrival. The package has
// no goroutines and no clock: the time is passed in, and who waits is told by a closed channel. docs/design/memory.md
// gives the reasons.
//
// # Usage
//
//	b := memory.NewBudget(memory.DeriveLimits(machineBytes))
//	w := b.Reserve(now, memory.Large, n)
//	if w == nil {
//		return refused(b.RetryAfter(memory.Large, n))
//	}
//	select {
//	case <-w.Granted:
//	case <-timeout:
//		if b.Withdraw(w) {
//			return refused(b.RetryAfter(memory.Large, n))
//		}
//	}
//	body := make([]byte, n)
//	...
//	b.Release(now, w)
//
// A nil *Budget has no limits.
package memory
