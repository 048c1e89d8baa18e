package timekeeper

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestOnlySuspensionsCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started, asleep := time.Now(), time.Duration(0)
		keeper := newTimekeeper(func() time.Duration { return time.Hour + time.Since(started) + asleep })
		time.Sleep(time.Minute)
		require.Zero(t, keeper.Suspended())
		asleep += 5 * time.Second
		require.Equal(t, 5*time.Second, keeper.Suspended())
		time.Sleep(time.Minute)
		asleep += time.Second
		require.Equal(t, 6*time.Second, keeper.Suspended())
	})
}

func TestAMachineThatDoesNotTellWasNeverSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keeper := newTimekeeper(func() time.Duration { return 0 })
		time.Sleep(time.Minute)
		require.Zero(t, keeper.Suspended())
	})
}

func TestTheSystemTells(t *testing.T) {
	require.Positive(t, sinceBoot())
	require.Less(t, New().Suspended(), time.Second)
}
