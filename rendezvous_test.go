package pollencrank_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pollencrank/pollencrank"
	_ "github.com/pollencrank/pollencrank/internal/seeded"
)

func drawCandidates(t *rapid.T) []string {
	count := rapid.IntRange(1, 20).Draw(t, "count")
	var candidates []string
	for i := range count {
		candidates = append(candidates, fmt.Sprintf("entry-%d", i))
	}
	return candidates
}

// Removing a candidate reassigns only the keys whose home it was.
func TestRendezvousHomeMovesOnlyTheKeysOfARemovedCandidate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := drawCandidates(t)
		key := rapid.String().Draw(t, "key")
		removed := rapid.IntRange(0, len(candidates)-1).Draw(t, "removed")
		before := candidates[pollencrank.RendezvousHome(key, candidates)]
		remaining := slices.Delete(slices.Clone(candidates), removed, removed+1)
		if before == candidates[removed] || len(remaining) == 0 {
			return
		}
		require.Equal(t, before, remaining[pollencrank.RendezvousHome(key, remaining)])
	})
}

func TestRendezvousHomeDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := drawCandidates(t)
		key := rapid.String().Draw(t, "key")
		before := candidates[pollencrank.RendezvousHome(key, candidates)]
		shuffled := rapid.Permutation(candidates).Draw(t, "shuffled")
		require.Equal(t, before, shuffled[pollencrank.RendezvousHome(key, shuffled)])
	})
}

func TestRendezvousHomeSpreadsKeys(t *testing.T) {
	candidates := []string{"a", "b", "c", "d"}
	counts := make([]int, len(candidates))
	const keys = 4000
	for i := range keys {
		counts[pollencrank.RendezvousHome(fmt.Sprintf("key-%d", i), candidates)]++
	}
	for _, count := range counts {
		require.InDelta(t, keys/len(candidates), count, keys/10)
	}
}

func TestRendezvousHomeWithoutCandidates(t *testing.T) {
	require.Equal(t, -1, pollencrank.RendezvousHome("key", nil))
}

// The largest hash must not be rounded up to 1, whose logarithm is 0.
func TestUniformExcludesItsBounds(t *testing.T) {
	require.Greater(t, pollencrank.Uniform(0), 0.0)
	require.Less(t, pollencrank.Uniform(math.MaxUint64), 1.0)
}
