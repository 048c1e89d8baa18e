package placer_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pollencrank/pollencrank/placer"
)

func makeServers(perRegion map[string]int, slots int) []placer.Candidate {
	var all []placer.Candidate
	for _, region := range []string{"east", "north", "west"} {
		for i := range perRegion[region] {
			all = append(all, placer.Candidate{ID: fmt.Sprintf("%s-%d", region, i), Region: region, Slots: slots})
		}
	}
	return all
}

func ids(candidates []placer.Candidate, order []int) []string {
	var all []string
	for _, i := range order {
		all = append(all, candidates[i].ID)
	}
	return all
}

// callers says which region callers are in, and how many regions there are.
type callers struct {
	region  string
	regions int
}

// order returns the order of all servers for an object.
func order(all []placer.Candidate, object string, from callers) []int {
	table := placer.NewTable(placer.Config{Candidates: all, Region: from.region, Regions: from.regions})
	return table.All(placer.Key("parts", object))
}

// Instances may hold the servers in different orders. The order for an object must not
// depend on that, or instances would send requests for it to different servers.
func TestOrderDoesNotDependOnTheOrderOfCandidates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := makeServers(map[string]int{"east": 3, "north": 5, "west": 4}, 4)
		object, from := rapid.String().Draw(t, "key"), callers{"north", 3}
		want := ids(all, order(all, object, from))
		shuffled := rapid.Permutation(all).Draw(t, "shuffled")
		require.Equal(t, want, ids(shuffled, order(shuffled, object, from)))
		require.Len(t, want, len(all))
		require.Len(t, slices.Compact(slices.Sorted(slices.Values(want))), len(all))
	})
}

// Removing a server moves only the objects whose first server it was, to their
// second server. Other objects must not lose the servers that have served them.
func TestRemovingAServerMovesOnlyItsObjects(t *testing.T) {
	all := makeServers(map[string]int{"north": 8}, 4)
	moved := 0
	const objects = 2000
	for i := range objects {
		object, from := fmt.Sprint(i), callers{"north", 1}
		before := ids(all, order(all, object, from))
		fewer := all[1:]
		after := ids(fewer, order(fewer, object, from))
		if before[0] != after[0] {
			require.Equal(t, all[0].ID, before[0])
			require.Equal(t, before[1], after[0])
			moved++
		}
	}
	require.InDelta(t, objects/8, moved, objects/32)
}

// A region with few servers and as many callers as the other regions would overload
// its servers if all its objects were placed there. The objects beyond the region's
// capacity and headroom must go to the other regions.
func TestOrderSpreadsTheCallersOfASmallRegion(t *testing.T) {
	all := makeServers(map[string]int{"east": 6, "north": 2, "west": 6}, 4)
	const objects = 3000
	firstCounts := map[string]int{}
	for _, region := range []string{"east", "north", "west"} {
		for i := range objects {
			firstCounts[all[order(all, region+fmt.Sprint(i), callers{region, 3})[0]].ID]++
		}
	}
	mean := float64(3*objects) / float64(len(all))
	for id, n := range firstCounts {
		// A region takes up to 1.5 times its equal part; the remainder is spread
		// over the other regions. The tolerance covers the variance of the hash.
		want := mean
		switch {
		case strings.HasPrefix(id, "north"):
			want = 1.5 * mean
		default:
			want = (3*objects - 2*1.5*mean) / 12
		}
		require.InDelta(t, want, n, want*0.15, id)
	}
}

func TestOrderHasANearAndAFarServerEarly(t *testing.T) {
	all := makeServers(map[string]int{"east": 6, "north": 2, "west": 6}, 4)
	for i := range 200 {
		near := 0
		for _, index := range order(all, fmt.Sprint(i), callers{"north", 3})[:2] {
			if all[index].Region == "north" {
				near++
			}
		}
		require.Equal(t, 1, near)
	}
}

func TestOrderWeighsSlots(t *testing.T) {
	all := []placer.Candidate{{ID: "large", Region: "north", Slots: 9}, {ID: "small", Region: "north", Slots: 3}}
	const objects = 4000
	large := 0
	for i := range objects {
		if order(all, fmt.Sprint(i), callers{"north", 1})[0] == 0 {
			large++
		}
	}
	require.InDelta(t, objects*3/4, large, objects/20)
}

func TestOrderOfNoServers(t *testing.T) {
	table := placer.NewTable(placer.Config{})
	require.Empty(t, table.All(1))
	require.Empty(t, table.First(1, nil))
	require.Empty(t, table.Spread(1, nil))
}

// First must agree with the first servers of All also when objects share a set of the
// cache and replace each other's entries.
func TestFirstIsThePrefixOfTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := makeServers(map[string]int{
			"east": rapid.IntRange(0, 9).Draw(t, "east"), "north": rapid.IntRange(0, 9).Draw(t, "north"),
			"west": rapid.IntRange(0, 9).Draw(t, "west"),
		}, 4)
		table := placer.NewTable(placer.Config{Candidates: all, Region: "north", Regions: 3})
		for _, key := range rapid.SliceOfN(rapid.Uint64Range(0, 20_000), 1, 30).Draw(t, "keys") {
			whole := table.All(key)
			first := table.First(key, nil)
			require.Equal(t, whole[:min(len(whole), placer.CachedServers)], append([]int{}, first...))
		}
	})
}

// Requests that are about no object go to each server in proportion to its slots.
func TestSpreadWeighsSlots(t *testing.T) {
	all := []placer.Candidate{
		{ID: "large", Region: "north", Slots: 9}, {ID: "small", Region: "north", Slots: 3}, {ID: "far", Region: "west", Slots: 12},
	}
	table := placer.NewTable(placer.Config{Candidates: all, Region: "north", Regions: 1})
	counts := map[int]int{}
	const requests = 4000
	for i := range requests {
		order := table.Spread(placer.Key("parts", fmt.Sprint(i)), nil)
		counts[order[0]]++
		require.ElementsMatch(t, []int{0, 1, 2}, slices.Compact(slices.Sorted(slices.Values(order))))
	}
	// Near servers take 1.5 times the region's half of the slots: three quarters.
	require.InDelta(t, requests*0.75*9/12, counts[0], requests/20)
	require.InDelta(t, requests*0.75*3/12, counts[1], requests/20)
	require.InDelta(t, requests*0.25, counts[2], requests/20)
}

func TestATableMatchesOnlyItsConfig(t *testing.T) {
	config := placer.Config{Candidates: makeServers(map[string]int{"north": 2}, 4), Region: "north", Regions: 1}
	table := placer.NewTable(config)
	require.True(t, table.Matches(config))
	config.Candidates = makeServers(map[string]int{"north": 3}, 4)
	require.False(t, table.Matches(config))
}

// BenchmarkFirst looks up the first servers of cached objects, and BenchmarkPlace
// computes those of new objects.
func BenchmarkFirst(b *testing.B) {
	for _, count := range []int{30, 300, 3000} {
		table := benchmarkTable(count)
		var buffer [placer.CachedServers]int
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				table.First(uint64(i%300)*0x9e3779b97f4a7c15, buffer[:0])
			}
		})
	}
}

func BenchmarkPlace(b *testing.B) {
	for _, count := range []int{30, 300, 3000} {
		table := benchmarkTable(count)
		var buffer [placer.CachedServers]int
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				table.First(uint64(i)*0x9e3779b97f4a7c15, buffer[:0])
			}
		})
	}
}

// BenchmarkNewTable builds a new table, as after a change of the servers.
func BenchmarkNewTable(b *testing.B) {
	for _, count := range []int{30, 300, 3000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				benchmarkTable(count)
			}
		})
	}
}

func benchmarkTable(count int) *placer.Table {
	all := makeServers(map[string]int{"east": count / 3, "north": count / 3, "west": count / 3}, 9)
	return placer.NewTable(placer.Config{Candidates: all, Region: "north", Regions: 3})
}
