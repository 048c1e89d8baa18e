// Package limiter bounds the retries that the system adds to the requests of callers.
//
// # Usage
//
//	budget := limiter.NewRetryBudget(limiter.RetryConfig{Share: 0.1})
//	budget.Deposit()
//	if budget.Withdraw() {
//		// Retry.
//	}
package limiter

import (
	"math"
	"sync/atomic"
)

// retryBurst is the capacity of the token bucket, in retries.
const retryBurst = 10

// tokenUnit is one retry in fixed-point arithmetic.
const tokenUnit = 1 << 20

// RetryConfig is the configuration of a RetryBudget.
type RetryConfig struct {
	// Share is the largest share of requests that may be retries.
	Share float64
}

// RetryBudget permits retries in proportion to requests. Every entry has its own
// budget, so the retries of all entries together keep the same proportion.
type RetryBudget struct {
	deposit atomic.Int64
	tokens  atomic.Int64
}

// NewRetryBudget returns a budget whose token bucket is full.
func NewRetryBudget(config RetryConfig) *RetryBudget {
	b := &RetryBudget{}
	b.SetShare(config.Share)
	b.tokens.Store(retryBurst * tokenUnit)
	return b
}

// SetShare changes the share that later requests add to the budget.
func (b *RetryBudget) SetShare(share float64) {
	b.deposit.Store(int64(math.Round(min(max(share, 0), 1) * tokenUnit)))
}

// Deposit counts a request's first attempt.
func (b *RetryBudget) Deposit() {
	for {
		tokens := b.tokens.Load()
		next := min(tokens+b.deposit.Load(), retryBurst*tokenUnit)
		if next == tokens || b.tokens.CompareAndSwap(tokens, next) {
			return
		}
	}
}

// Withdraw takes one retry from the budget and reports whether there was one.
func (b *RetryBudget) Withdraw() bool {
	for {
		tokens := b.tokens.Load()
		if tokens < tokenUnit {
			return false
		}
		if b.tokens.CompareAndSwap(tokens, tokens-tokenUnit) {
			return true
		}
	}
}
