package limiter_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/pollencrank/pollencrank/internal/seeded"

	"github.com/pollencrank/pollencrank/limiter"
)

// Over any sequence of requests and retries, the permitted retries are at most the
// burst plus the share of the requests.
func TestRetriesNeverExceedTheirShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		budget := limiter.NewRetryBudget(limiter.RetryConfig{Share: share})
		requests, retries := 0, 0
		for _, isRetry := range rapid.SliceOfN(rapid.Bool(), 0, 300).Draw(t, "steps") {
			if !isRetry {
				budget.Deposit()
				requests++
			} else if budget.Withdraw() {
				retries++
			}
			const burst, rounding = 10, 1e-3
			require.LessOrEqual(t, float64(retries), burst+share*float64(requests)+rounding)
		}
	})
}
