package route

import "time"

// RefundRetry returns a retry that SpendRetry took at the given time and that was not sent.
func (t *Table) RefundRetry(spentAt time.Time, service string) {
	s := t.view.Load().services[service]
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.refund(spentAt, t.budgetConfig(spentAt))
}

// refund reverses a withdrawal. It changes only the bucket of the withdrawal, because a later one would allow a retry too
// many in the windows that begin between the two.
func (b *retryBudget) refund(spentAt time.Time, config budgetConfig) {
	b.tokens = min(b.tokens+1, maxRetryTokens)
	if config.window == 0 {
		return
	}
	number := b.bucketNumber(spentAt, config)
	if bucket := &b.buckets[number%int64(len(b.buckets))]; bucket.number == number && bucket.retries >= 1 {
		bucket.retries--
	}
}
