package router_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pollencrank/pollencrank/router"
)

func TestMatch(t *testing.T) {
	table := router.NewTable(router.Configuration{Routes: []router.Route{
		{Name: "all", Host: "a.example", PathPrefix: "/"},
		{Name: "parts", Host: "a.example", PathPrefix: "/parts/"},
		{Name: "old", Host: "a.example", PathPrefix: "/parts/old/"},
		{Name: "other", Host: "b.example", PathPrefix: "/parts/"},
	}})
	for _, test := range []struct{ host, path, want string }{
		{"a.example", "/x", "all"},
		{"a.example", "/parts/1", "parts"},
		{"a.example", "/parts/old/1", "old"},
		{"a.example:8080", "/parts/1", "parts"},
		{"b.example", "/parts/1", "other"},
		{"b.example", "/x", ""},
		{"c.example", "/parts/1", ""},
	} {
		got := table.Match(test.host, test.path)
		if test.want == "" {
			require.Nil(t, got, "%s%s", test.host, test.path)
			continue
		}
		require.NotNil(t, got, "%s%s", test.host, test.path)
		require.Equal(t, test.want, got.Name)
	}
}

func TestRouteAllowsItsHomeRegionsOnly(t *testing.T) {
	home := router.Route{HomeRegions: []string{"north"}}
	require.True(t, home.AllowsRegion("north"))
	require.False(t, home.AllowsRegion("south"))
	anywhere := router.Route{}
	require.True(t, anywhere.AllowsRegion("south"))
}

// After any number of requests, the number of requests of each service is off from its
// share by less than one request.
func TestSplitterKeepsShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 100), 2, 4).Draw(t, "weights")
		requests := rapid.IntRange(1, 500).Draw(t, "requests")
		route := &router.Route{Name: "r"}
		total := 0
		for i, w := range weights {
			route.Shares = append(route.Shares, router.Share{Service: string(rune('a' + i)), Weight: w})
			total += w
		}
		splitter := router.NewSplitter()
		got := map[string]int{}
		for range requests {
			got[splitter.Pick(route)]++
		}
		for _, share := range route.Shares {
			want := float64(requests) * float64(share.Weight) / float64(total)
			require.InDelta(t, want, got[share.Service], 1.0)
		}
	})
}

func TestSplitterFollowsChangedShares(t *testing.T) {
	splitter := router.NewSplitter()
	before := &router.Route{Name: "r", Shares: []router.Share{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}}
	splitter.Pick(before)
	after := &router.Route{Name: "r", Shares: []router.Share{{Service: "b", Weight: 3}, {Service: "c", Weight: 1}}}
	got := map[string]int{}
	for range 400 {
		got[splitter.Pick(after)]++
	}
	require.Equal(t, map[string]int{"b": 300, "c": 100}, got)
}

func TestSplitterPrunesRoutes(t *testing.T) {
	splitter := router.NewSplitter()
	route := &router.Route{Name: "r", Shares: []router.Share{{Service: "a", Weight: 1}, {Service: "b", Weight: 3}}}
	require.Equal(t, "b", splitter.Pick(route))
	splitter.Prune(router.NewTable(router.Configuration{}))
	require.Equal(t, "b", splitter.Pick(route), "the shares of a route that was removed and added again start over")
	require.Empty(t, splitter.Pick(&router.Route{Name: "empty"}))
}
