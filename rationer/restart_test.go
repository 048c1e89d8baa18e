package rationer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against refusals for seconds after a loss of power of all instances.
func TestAFleetThatRestartsAsAWholeHoldsItsQuotasAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(30, tenantWith(100, 50))
		send := f.sendRate("tenant-1", 200, everywhere)
		f.run(10*time.Second, send)
		f.powerOff(600 * time.Millisecond)
		restartedAt := time.Now()
		f.run(firstListDelay+step, nil)
		require.Len(t, f.holders(), 3)
		for _, i := range f.holders() {
			require.Equal(t, restartedAt, i.membership.Division("tenant-1", i.now()).From, "the buckets are empty as of the start")
		}
		f.run(10*time.Second, send)
		f.finish()
		require.Greater(t, f.served("tenant-1", restartedAt), 950)
		f.requireBound(t)
	})
}

func TestAFleetOfWhichOneSurvivesWaitsForItsQuotas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(30, tenantWith(100, 50))
		f.run(10*time.Second, nil)
		survivor := f.instances[0]
		f.powerOff(600 * time.Millisecond)
		for _, i := range f.instances {
			if i.ID == survivor.ID {
				i.startedAt = survivor.startedAt
			}
		}
		f.run(2*time.Second, nil)
		for _, i := range f.holders() {
			require.Equal(t, survivor.ID, i.ID)
		}
		f.finish()
	})
}
