package steerer_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/allocator"
	"github.com/pollencrank/pollencrank/internal/standin"
	"github.com/pollencrank/pollencrank/steerer"
	"github.com/pollencrank/pollencrank/versioner"
)

// designTable returns a table for a configuration of the given size with 650
// instances, and addresses of callers in its client blocks.
func designTable(b *testing.B, size standin.Size) (*steerer.Table, []netip.Addr) {
	b.Helper()
	c := standin.MakeConfiguration(size)
	state, err := versioner.Encode(c, 1)
	require.NoError(b, err)
	index, err := steerer.BuildIndex(nil, state)
	require.NoError(b, err)
	members := standin.MakeMembers(c, 650)
	owners := allocator.Owners(c, members)
	table := steerer.Build(steerer.Input{
		Configuration: c, Index: index, Owners: standin.SiteOwners(c, members, owners), HomeRegion: standin.RegionName(0),
	})
	var callers []netip.Addr
	for i := 0; i < len(c.ClientBlocks); i += 37 {
		callers = append(callers, c.ClientBlocks[i].Prefix.Addr().Next())
	}
	return table, callers
}

func BenchmarkFind(b *testing.B) {
	for _, blocks := range []int{10_000, 100_000, 370_000} {
		size := standin.DesignSize
		size.Blocks = blocks
		table, callers := designTable(b, size)
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			var found *steerer.Answer
			for b.Loop() {
				found, _ = table.Find(callers[i%len(callers)], "lookup", start)
				i++
			}
			require.NotEmpty(b, found.Entries)
		})
	}
}

func BenchmarkBuildTable(b *testing.B) {
	c := standin.MakeConfiguration(standin.DesignSize)
	state, err := versioner.Encode(c, 1)
	require.NoError(b, err)
	index, err := steerer.BuildIndex(nil, state)
	require.NoError(b, err)
	members := standin.MakeMembers(c, 650)
	input := steerer.Input{
		Configuration: c, Index: index, HomeRegion: standin.RegionName(0),
		Owners: standin.SiteOwners(c, members, allocator.Owners(c, members)),
	}
	b.ReportAllocs()
	for b.Loop() {
		steerer.Build(input)
	}
}

func BenchmarkBuildIndexFull(b *testing.B) {
	c := standin.MakeConfiguration(standin.DesignSize)
	state, err := versioner.Encode(c, 1)
	require.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		_, err := steerer.BuildIndex(nil, state)
		require.NoError(b, err)
	}
}

func BenchmarkBuildIndexDelta(b *testing.B) {
	c := standin.MakeConfiguration(standin.DesignSize)
	state, err := versioner.Encode(c, 1)
	require.NoError(b, err)
	index, err := steerer.BuildIndex(nil, state)
	require.NoError(b, err)
	c.ClientBlocks[0].Location = "location-001"
	changed, err := versioner.Encode(c, 2)
	require.NoError(b, err)
	next, err := state.Apply(versioner.Diff(state, changed))
	require.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		_, err := steerer.BuildIndex(index, next)
		require.NoError(b, err)
	}
}

func BenchmarkApplyChange(b *testing.B) {
	c := standin.MakeConfiguration(standin.DesignSize)
	state, err := versioner.Encode(c, 1)
	require.NoError(b, err)
	c.PresetInForce = "peak"
	changed, err := versioner.Encode(c, 2)
	require.NoError(b, err)
	change := versioner.Diff(state, changed)
	b.ReportAllocs()
	for b.Loop() {
		_, err := state.Apply(change)
		require.NoError(b, err)
	}
}

func BenchmarkDecode(b *testing.B) {
	state, err := versioner.Encode(standin.MakeConfiguration(standin.DesignSize), 1)
	require.NoError(b, err)
	b.ReportAllocs()
	var c *pollencrank.Configuration
	for b.Loop() {
		c, err = state.Decode()
		require.NoError(b, err)
	}
	require.NotEmpty(b, c.Servers)
}
