package steerer_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pollencrank/pollencrank"
	_ "github.com/pollencrank/pollencrank/internal/seeded"
	"github.com/pollencrank/pollencrank/steerer"
	"github.com/pollencrank/pollencrank/versioner"
)

// drawBlocks draws client blocks whose prefixes lie in a small part of the
// address space, so that they are often nested or adjacent.
func drawBlocks(t *rapid.T, label string) []pollencrank.ClientBlock {
	seen := map[netip.Prefix]bool{}
	var blocks []pollencrank.ClientBlock
	for i := range rapid.IntRange(0, 12).Draw(t, label) {
		prefix := drawPrefix(t)
		if seen[prefix] {
			continue
		}
		seen[prefix] = true
		blocks = append(blocks, pollencrank.ClientBlock{Prefix: prefix, Location: fmt.Sprintf("location-%d", i%4)})
	}
	return blocks
}

func drawAddress(t *rapid.T) netip.Addr {
	octet := rapid.SampledFrom([]byte{0, 1, 16, 127, 128, 255})
	if rapid.Bool().Draw(t, "six") {
		var b [16]byte
		b[0], b[1], b[2], b[3], b[7] = 0x20, octet.Draw(t, "b1"), octet.Draw(t, "b2"), octet.Draw(t, "b3"), octet.Draw(t, "b7")
		return netip.AddrFrom16(b)
	}
	return netip.AddrFrom4([4]byte{octet.Draw(t, "a0"), octet.Draw(t, "a1"), octet.Draw(t, "a2"), octet.Draw(t, "a3")})
}

func drawPrefix(t *rapid.T) netip.Prefix {
	a := drawAddress(t)
	longest := 32
	if a.Is6() {
		longest = versioner.MaxLength6
	}
	return netip.PrefixFrom(a, rapid.IntRange(0, longest).Draw(t, "bits")).Masked()
}

// longestMatch is the reference implementation of Index.Find: a linear search
// for the longest matching prefix.
func longestMatch(blocks []pollencrank.ClientBlock, a netip.Addr) string {
	best, location := -1, ""
	for _, b := range blocks {
		if b.Prefix.Contains(a) && b.Prefix.Bits() > best {
			best, location = b.Prefix.Bits(), b.Location
		}
	}
	return location
}

func encode(t require.TestingT, blocks []pollencrank.ClientBlock) *versioner.State {
	state, err := versioner.Encode(&pollencrank.Configuration{ClientBlocks: blocks}, 1)
	require.NoError(t, err)
	return state
}

func find(index *steerer.Index, a netip.Addr) string {
	number := index.Find(a)
	if int(number) >= len(index.Locations()) {
		return ""
	}
	return index.Locations()[number]
}

func TestIndexFindsTheLongestPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		blocks := drawBlocks(t, "count")
		index, err := steerer.BuildIndex(nil, encode(t, blocks))
		require.NoError(t, err)
		for range 20 {
			a := drawAddress(t)
			require.Equal(t, longestMatch(blocks, a), find(index, a), "address %s", a)
		}
	})
}

// An index that is updated incrementally finds the same locations as one that is
// built from scratch.
func TestIncrementalIndexFindsTheLongestPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var index *steerer.Index
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			blocks := drawBlocks(t, "count")
			next, err := steerer.BuildIndex(index, encode(t, blocks))
			require.NoError(t, err)
			index = next
			for range 10 {
				a := drawAddress(t)
				require.Equal(t, longestMatch(blocks, a), find(index, a), "address %s", a)
			}
		}
	})
}

// twoRegions returns a table over two regions, with two failure domains in the
// north and one in the south.
func twoRegions(t *testing.T, owners []steerer.Owner) *steerer.Table {
	t.Helper()
	c := &pollencrank.Configuration{
		Regions: []pollencrank.Region{{Name: "north"}, {Name: "south"}},
		FailureDomains: []pollencrank.FailureDomain{
			{Name: "north-1", Region: "north"}, {Name: "north-2", Region: "north"}, {Name: "south-1", Region: "south"},
		},
		Workloads: []pollencrank.Workload{{Name: "catalogue"}, {Name: "ordering"}},
		Locations: []pollencrank.Location{
			{Name: "oslo", Distances: map[string]time.Duration{"north": time.Millisecond, "south": 35 * time.Millisecond}},
			{Name: "rome", Distances: map[string]time.Duration{"north": 35 * time.Millisecond, "south": time.Millisecond}},
		},
		ClientBlocks: []pollencrank.ClientBlock{
			{Prefix: netip.MustParsePrefix("10.1.0.0/16"), Location: "oslo"},
			{Prefix: netip.MustParsePrefix("10.2.0.0/16"), Location: "rome"},
		},
	}
	state, err := versioner.Encode(c, 1)
	require.NoError(t, err)
	index, err := steerer.BuildIndex(nil, state)
	require.NoError(t, err)
	return steerer.Build(steerer.Input{Configuration: c, Index: index, Owners: owners, HomeRegion: "north"})
}

func owner(id, site string, slots int) steerer.Owner {
	return steerer.Owner{Instance: pollencrank.Instance{ID: id}, Workload: "catalogue", Site: site, Slots: slots}
}

func entries(answer *steerer.Answer) []string {
	var ids []string
	for _, e := range answer.Entries {
		ids = append(ids, e.ID)
	}
	return ids
}

func TestTableReturnsEntriesOfTheNearestRegion(t *testing.T) {
	table := twoRegions(t, []steerer.Owner{owner("n1", "north-1", 4), owner("n2", "north-2", 4), owner("s1", "south-1", 4)})
	cases := []struct {
		caller   string
		location string
		want     []string
	}{
		{"10.1.2.3", "oslo", []string{"n1", "n2"}},
		{"10.2.2.3", "rome", []string{"s1"}},
		{"::ffff:10.2.2.3", "rome", []string{"s1"}},
		{"192.0.2.1", "", []string{"n1", "n2"}},
	}
	for _, c := range cases {
		answer, location := table.Find(netip.MustParseAddr(c.caller), "catalogue", start)
		require.Equal(t, c.location, location, c.caller)
		require.ElementsMatch(t, c.want, entries(answer), c.caller)
	}
}

func TestTableFallsBackToTheNextRegionWithOwners(t *testing.T) {
	table := twoRegions(t, []steerer.Owner{owner("s1", "south-1", 4)})
	answer, _ := table.Find(netip.MustParseAddr("10.1.2.3"), "catalogue", start)
	require.Equal(t, []string{"s1"}, entries(answer))
	answer, _ = table.Find(netip.MustParseAddr("10.1.2.3"), "ordering", start)
	require.Empty(t, answer.Entries)
	answer, _ = table.Find(netip.MustParseAddr("10.1.2.3"), "unknown", start)
	require.Nil(t, answer)
}

// First choices are spread over entries roughly in proportion to their slots,
// since there are only 16 variants. The test checks that each entry is the first
// choice of some callers.
func TestTableSpreadsFirstChoices(t *testing.T) {
	table := twoRegions(t, []steerer.Owner{owner("n1", "north-1", 4), owner("n2", "north-2", 4)})
	first := map[string]int{}
	for i := range 256 {
		answer, _ := table.Find(netip.AddrFrom4([4]byte{10, 1, byte(i), 1}), "catalogue", start)
		first[answer.Entries[0].ID]++
	}
	require.Len(t, first, 2)
}

func TestFindDoesNotAllocate(t *testing.T) {
	table := twoRegions(t, []steerer.Owner{owner("n1", "north-1", 4)})
	caller := netip.MustParseAddr("10.1.2.3")
	require.Zero(t, testing.AllocsPerRun(100, func() { table.Find(caller, "catalogue", start) }))
}
