package forwarder_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/forwarder"
	"github.com/pollencrank/pollencrank/limiter"
)

func TestConnectionsToOneServer(t *testing.T) {
	budgets := forwarder.NewBudgets(limiter.WindowConfig{Window: time.Second}, 8)
	require.Equal(t, 32, budgets.ConnectionLimit(330))
	budgets.SetInstances(9)
	require.Equal(t, 32, budgets.ConnectionLimit(330), "one more instance does not close open connections")
	for _, instances := range []int{1, 7, 61, 91, 650} {
		budgets.SetInstances(instances)
		require.GreaterOrEqual(t, budgets.ConnectionLimit(1290), 4)
		if instances < 300 {
			require.LessOrEqual(t, budgets.ConnectionLimit(1290)*instances, 1290)
		}
	}
}
