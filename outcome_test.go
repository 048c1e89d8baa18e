package pollencrank_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pollencrank/pollencrank"
	_ "github.com/pollencrank/pollencrank/internal/seeded"
)

// Guards against reporting a request as "not run" although an attempt may have
// run: the caller would repeat it, and it could run twice.
func TestFailureIsNotRunOnlyIfEveryAttemptIs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var failure pollencrank.Failure
		allNotRun := true
		for i := range rapid.IntRange(1, 6).Draw(t, "attempts") {
			notRun := rapid.Bool().Draw(t, "notRun")
			allNotRun = allNotRun && notRun
			var err error = pollencrank.OutcomeUnknown(pollencrank.ReasonServerFailed, "attempt %d", i)
			if notRun {
				err = pollencrank.NotRun(pollencrank.ReasonAllShed, "attempt %d", i)
			}
			failure.Add(fmt.Errorf("wrapped: %w", err))
		}
		require.Equal(t, allNotRun, pollencrank.IsNotRun(failure.Err()))
	})
}

func TestRankText(t *testing.T) {
	for _, rank := range pollencrank.Ranks() {
		text, err := rank.MarshalText()
		require.NoError(t, err)
		var parsed pollencrank.Rank
		require.NoError(t, parsed.UnmarshalText(text))
		require.Equal(t, rank, parsed)
	}
	_, err := pollencrank.ParseRank("soon")
	require.Error(t, err)
}

// Instances receive the records of an instance in different orders. Overrides
// must select the same record in either order, or their views do not converge.
func TestOverridesIsAntisymmetric(t *testing.T) {
	draw := func(t *rapid.T, label string) pollencrank.Instance {
		return pollencrank.Instance{
			ID:          "entry",
			Incarnation: rapid.Uint64Range(0, 3).Draw(t, label+" incarnation"),
			State:       pollencrank.InstanceState(rapid.IntRange(0, 4).Draw(t, label+" state")),
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		a, b := draw(t, "a"), draw(t, "b")
		require.False(t, a.Overrides(b) && b.Overrides(a))
		if a != b {
			require.True(t, a.Overrides(b) || b.Overrides(a))
		}
	})
}
