package demonstrator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/receiver"
)

// Guards against two faults of the check: concurrent look-ups, whose answers may arrive
// in any order, counted as a reversion; and an older generation in the answer to a later
// look-up not counted as one.
func TestOnlyLaterLookupsDetectAGenerationReversion(t *testing.T) {
	tally := newTally()
	answer := func(generation pollencrank.Generation, requestedAt time.Time) {
		tally.checkLookup(receiver.LookupAnswer{Instance: "entry-1", Generation: generation}, requestedAt)
	}
	start := time.Now()
	answer(2, start)
	answer(1, start)
	require.Empty(t, tally.reversions, "both look-ups were sent before the first answer")
	answer(1, time.Now())
	require.Len(t, tally.reversions, 1)
}
