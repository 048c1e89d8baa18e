package follower_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pollencrank/pollencrank/follower"
	_ "github.com/pollencrank/pollencrank/internal/seeded"
)

// Property: positions are ordered by their era first, and then by their revision.
func TestPositionsAreOrderedByEraFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		eras := rapid.Uint64Range(0, 1<<24-1)
		revisions := rapid.Uint64Range(0, 1<<40-1)
		draw := func(name string) (uint64, uint64, follower.Position) {
			era, revision := eras.Draw(t, name+"Era"), revisions.Draw(t, name+"Revision")
			position, err := follower.NewPosition(era, revision)
			require.NoError(t, err)
			require.Equal(t, era, position.Era())
			require.Equal(t, revision, position.Revision())
			return era, revision, position
		}
		era, revision, position := draw("first")
		otherEra, otherRevision, other := draw("second")
		require.Equal(t, era < otherEra || (era == otherEra && revision < otherRevision), position < other)
	})
}

func TestAPositionOutOfRangeIsAnError(t *testing.T) {
	for _, test := range []struct{ era, revision uint64 }{{1 << 24, 0}, {0, 1 << 40}, {math.MaxUint64, math.MaxUint64}} {
		_, err := follower.NewPosition(test.era, test.revision)
		require.Error(t, err)
	}
}
