// Package memory decides how much memory and how many connections an entry may hold for its clients, whatever they send, hold back
// or leave unread.
//
// The memory of the machine is divided into parts, so that small calls do not wait for memory that large bodies hold. What
// is to be held is reserved before it is allocated. Large reservations wait in the order of their arrival. What is not reserved, such
// as unread bytes, is bounded by the number of connections and the size of their receive buffers. The package has
// no goroutines and no clock: the time is passed in, and who waits is told by a closed channel. docs/design/memory.md
// gives the reasons.
//
// # Usage
//
//	b := memory.NewBudget(memory.DeriveLimits(machineBytes, descriptors))
//	w := b.Reserve(now, memory.Large, n)
//	if w == nil {
//		return refused(b.RetryAfter(memory.Large, n))
//	}
//	select {
//	case <-w.Granted:
//	case <-timeout:
//		if b.Withdraw(now, w) {
//			return refused(b.RetryAfter(memory.Large, n))
//		}
//	}
//	body := make([]byte, n)
//	...
//	b.Release(now, w, garbage)
//
// A nil *Budget has no limits.
package memory
