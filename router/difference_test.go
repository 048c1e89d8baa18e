package router_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/pollencrank/pollencrank/internal/seeded"
	"github.com/pollencrank/pollencrank/router"
)

func drawRoutes(t *rapid.T, label string) []router.Route {
	var routes []router.Route
	for i := range 8 {
		if rapid.Bool().Draw(t, label) {
			routes = append(routes, router.Route{Name: fmt.Sprint("r-", i), Priority: rapid.IntRange(0, 2).Draw(t, label)})
		}
	}
	return routes
}

// An instance that merges the difference into its base must get the same routes as
// one that gets them as a whole.
func TestMergeAppliesADiff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, next := drawRoutes(t, "base"), drawRoutes(t, "next")
		changed, removed, ok := router.Diff(base, next)
		require.True(t, ok)
		require.ElementsMatch(t, next, router.Merge(base, changed, removed))
	})
}

func TestRoutesWithTheSameNameHaveNoDiff(t *testing.T) {
	duplicates := []router.Route{{Name: "r", PathPrefix: "/a/"}, {Name: "r", PathPrefix: "/b/"}}
	_, _, ok := router.Diff(nil, duplicates)
	require.False(t, ok)
	_, _, ok = router.Diff(duplicates, nil)
	require.False(t, ok)
}
