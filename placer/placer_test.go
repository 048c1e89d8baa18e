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

func servers(perRegion map[string]int, slots int) []placer.Candidate {
	var all []placer.Candidate
	for _, region := range []string{"east", "north", "west"} {
		for i := range perRegion[region] {
			all = append(all, placer.Candidate{ID: fmt.Sprintf("%s-%d", region, i), Region: region, Slots: slots})
		}
	}
	return all
}

func names(candidates []placer.Candidate, order []int) []string {
	var all []string
	for _, i := range order {
		all = append(all, candidates[i].ID)
	}
	return all
}

// callers come from a region, one of several.
type callers struct {
	region  string
	regions int
}

// order returns the whole order for an object.
func order(all []placer.Candidate, object string, from callers) []int {
	table := placer.NewTable(placer.Config{Candidates: all, Region: from.region, Regions: from.regions})
	return table.All(placer.Key("parts", object))
}

// Every instance must name the same servers, whatever order it has them in.
func TestOrderDoesNotDependOnTheOrderOfCandidates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := servers(map[string]int{"east": 3, "north": 5, "west": 4}, 4)
		object, from := rapid.String().Draw(t, "key"), callers{"north", 3}
		want := names(all, order(all, object, from))
		shuffled := rapid.Permutation(all).Draw(t, "shuffled")
		require.Equal(t, want, names(shuffled, order(shuffled, object, from)))
		require.Len(t, want, len(all))
		require.Len(t, slices.Compact(slices.Sorted(slices.Values(want))), len(all))
	})
}

// A server that leaves moves only the objects that it held.
func TestOrderKeepsTheOthersInPlace(t *testing.T) {
	all := servers(map[string]int{"north": 8}, 4)
	moved := 0
	const objects = 2000
	for i := range objects {
		object, from := fmt.Sprint(i), callers{"north", 1}
		before := names(all, order(all, object, from))
		fewer := all[1:]
		after := names(fewer, order(fewer, object, from))
		if before[0] != after[0] {
			require.Equal(t, all[0].ID, before[0])
			require.Equal(t, before[1], after[0])
			moved++
		}
	}
	require.InDelta(t, objects/8, moved, objects/32)
}

// The pattern it answers: a region with few servers and as many callers as the
// others must not drown.
func TestOrderSpreadsTheCallersOfASmallRegion(t *testing.T) {
	all := servers(map[string]int{"east": 6, "north": 2, "west": 6}, 4)
	const objects = 3000
	firsts := map[string]int{}
	for _, region := range []string{"east", "north", "west"} {
		for i := range objects {
			firsts[all[order(all, region+fmt.Sprint(i), callers{region, 3})[0]].ID]++
		}
	}
	mean := float64(3*objects) / float64(len(all))
	for id, n := range firsts {
		// A region takes up to 1.5 times its equal part; what that leaves is
		// spread over the others. The tolerance is for the hash.
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
	all := servers(map[string]int{"east": 6, "north": 2, "west": 6}, 4)
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

func TestOrderOfNothing(t *testing.T) {
	table := placer.NewTable(placer.Config{})
	require.Empty(t, table.All(1))
	require.Empty(t, table.First(1, nil))
	require.Empty(t, table.Spread(1, nil))
}

// What a table remembers is the beginning of the whole order, however many objects
// share its memory.
func TestFirstIsTheBeginningOfTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := servers(map[string]int{
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

// Requests that are about no object go to each server by its slots.
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
	// Near servers take up to 1.5 times the region's part: three quarters here.
	require.InDelta(t, requests*0.75*9/12, counts[0], requests/20)
	require.InDelta(t, requests*0.75*3/12, counts[1], requests/20)
	require.InDelta(t, requests*0.25, counts[2], requests/20)
}

func TestATableKnowsItsServers(t *testing.T) {
	config := placer.Config{Candidates: servers(map[string]int{"north": 2}, 4), Region: "north", Regions: 1}
	table := placer.NewTable(config)
	require.True(t, table.Matches(config))
	config.Candidates = servers(map[string]int{"north": 3}, 4)
	require.False(t, table.Matches(config))
}

// BenchmarkFirst finds the first servers of objects that were asked for before,
// and BenchmarkPlace those of new objects.
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

// BenchmarkNewTable makes a table anew, as after a change of the servers.
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
	all := servers(map[string]int{"east": count / 3, "north": count / 3, "west": count / 3}, 9)
	return placer.NewTable(placer.Config{Candidates: all, Region: "north", Regions: 3})
}
