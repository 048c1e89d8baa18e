package timekeeper

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestOnlySuspensionsCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started, suspended := time.Now(), time.Duration(0)
		keeper := newTimekeeper(func() time.Duration { return time.Hour + time.Since(started) + suspended })
		time.Sleep(time.Minute)
		require.Zero(t, keeper.Suspended())
		suspended += 5 * time.Second
		require.Equal(t, 5*time.Second, keeper.Suspended())
		time.Sleep(time.Minute)
		suspended += time.Second
		require.Equal(t, 6*time.Second, keeper.Suspended())
	})
}

func TestSuspendedIsZeroWithoutABootClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keeper := newTimekeeper(func() time.Duration { return 0 })
		time.Sleep(time.Minute)
		require.Zero(t, keeper.Suspended())
	})
}

func TestTheSystemHasABootClock(t *testing.T) {
	require.Positive(t, systemUptime())
	require.Less(t, New().Suspended(), time.Second)
}
