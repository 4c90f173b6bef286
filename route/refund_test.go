package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a retry that was not sent and stays counted, and against a refund that allows a retry too many later.
func TestRefund(t *testing.T) {
	epoch := time.Unix(1000, 0)
	config := budgetConfig{
		ratio:  0.2,
		window: 10 * time.Second,
		slack:  3,
	}
	b := retryBudget{
		epoch: epoch,
	}
	now := epoch.Add(30 * time.Second)
	before := b.balance(now, config)
	b.withdraw(now, config)
	assert.Equal(t, b.balance(now, config), before-1)
	b.refund(now, config)
	assert.Equal(t, b.balance(now, config), before)
	b.withdraw(now, config)
	later := now.Add(time.Minute)
	before = b.balance(later, config)
	b.refund(now, config)
	assert.Equal(t, b.balance(later, config), before)
}
