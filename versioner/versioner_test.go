package versioner_test

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/internal/peerpb"
	_ "github.com/pollencrank/pollencrank/internal/seeded"
	"github.com/pollencrank/pollencrank/internal/standin"
	"github.com/pollencrank/pollencrank/versioner"
)

func drawItems(t *rapid.T, label string) map[string][]byte {
	key := rapid.SampledFrom([]string{"server/a", "server/b", "preset/x", "preset/y", "workload/w", "drain/a"})
	return rapid.MapOf(key, rapid.SliceOfN(rapid.Byte(), 0, 4)).Draw(t, label)
}

// Guards against a difference that omits an item or computes a wrong digest:
// for any two states, applying the difference to the first must give the
// second.
func TestDiffThenApplyGivesTheTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := versioner.NewState(7, drawItems(t, "from"))
		to := versioner.NewState(8, drawItems(t, "to"))
		got, err := from.Apply(versioner.Diff(from, to))
		require.NoError(t, err)
		require.Equal(t, to.Digest, got.Digest)
		require.Len(t, got.Items, len(to.Items))
		for key, value := range to.Items {
			require.Equal(t, string(value), string(got.Items[key]))
		}
	})
}

func TestApplyRejectsAChangeForOtherContents(t *testing.T) {
	from := versioner.NewState(1, map[string][]byte{"server/a": []byte("1")})
	other := versioner.NewState(1, map[string][]byte{"server/a": []byte("2")})
	change := versioner.Diff(from, versioner.NewState(2, map[string][]byte{"server/a": []byte("1"), "server/b": nil}))
	_, err := other.Apply(change)
	var digest *versioner.DigestError
	require.ErrorAs(t, err, &digest)
}

func TestApplyRejectsAGap(t *testing.T) {
	from := versioner.NewState(1, nil)
	_, err := from.Apply(&peerpb.Change{Generation: 3})
	var gap *versioner.GapError
	require.ErrorAs(t, err, &gap)
	require.Equal(t, pollencrank.Generation(1), gap.Current)
}

func TestEncodeThenDecodeKeepsTheConfiguration(t *testing.T) {
	size := standin.DesignSize
	size.Blocks, size.Sites = 500, 20
	want := standin.MakeConfiguration(size)
	state, err := versioner.Encode(want, 1)
	require.NoError(t, err)
	got, err := state.DecodeAll()
	require.NoError(t, err)
	require.ElementsMatch(t, want.ClientBlocks, got.ClientBlocks)
	require.ElementsMatch(t, want.Servers, got.Servers)
	require.ElementsMatch(t, want.Workloads, got.Workloads)
	require.Equal(t, want.PresetInForce, got.PresetInForce)
}

func TestPartsThenJoinGivesTheState(t *testing.T) {
	size := standin.DesignSize
	size.Blocks, size.Sites = 2000, 20
	state, err := versioner.Encode(standin.MakeConfiguration(size), 5)
	require.NoError(t, err)
	const partBytes = 4 << 10
	var items []*peerpb.Item
	for _, part := range state.Parts(partBytes) {
		items = append(items, part.Items...)
	}
	joined, err := versioner.Join(5, state.Digest, items)
	require.NoError(t, err)
	require.Equal(t, state.Items, joined.Items)
	_, err = versioner.Join(5, state.Digest, items[1:])
	require.Error(t, err)
}

func drawPrefix(t *rapid.T) netip.Prefix {
	if rapid.Bool().Draw(t, "six") {
		b := rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "address")
		return netip.PrefixFrom(netip.AddrFrom16([16]byte(b)), rapid.IntRange(0, versioner.MaxLength6).Draw(t, "bits")).Masked()
	}
	b := rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "address")
	return netip.PrefixFrom(netip.AddrFrom4([4]byte(b)), rapid.IntRange(0, 32).Draw(t, "bits")).Masked()
}

func TestEncodeThenDecodeKeepsTheClientBlocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seen := map[netip.Prefix]bool{}
		var blocks []pollencrank.ClientBlock
		for range rapid.IntRange(0, 30).Draw(t, "count") {
			prefix := drawPrefix(t)
			// An IPv4-mapped IPv6 address is not a valid client block.
			if seen[prefix] || prefix.Addr().Is4In6() {
				continue
			}
			seen[prefix] = true
			location := rapid.SampledFrom([]string{"near", "far"}).Draw(t, "location")
			blocks = append(blocks, pollencrank.ClientBlock{Prefix: prefix, Location: location})
		}
		state, err := versioner.Encode(&pollencrank.Configuration{ClientBlocks: blocks}, 1)
		require.NoError(t, err)
		got, err := state.DecodeAll()
		require.NoError(t, err)
		require.ElementsMatch(t, blocks, got.ClientBlocks)
	})
}

func FuzzDecodeBlocks(f *testing.F) {
	state, err := versioner.Encode(standin.MakeConfiguration(standin.Size{
		Regions: 1, FailureDomains: 1, Locations: 2, Blocks: 5, Seed: 1}), 1)
	require.NoError(f, err)
	for key, value := range state.Items {
		if versioner.Kind(key) == versioner.KindBlocks {
			f.Add(value)
		}
	}
	f.Add([]byte{0x12, 0x01, 0x05})
	f.Fuzz(func(t *testing.T, encoded []byte) {
		blocks, err := versioner.DecodeBlocks(encoded)
		if err != nil {
			return
		}
		for _, b := range blocks {
			require.True(t, b.Prefix.IsValid())
		}
	})
}
