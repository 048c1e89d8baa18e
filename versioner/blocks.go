package versioner

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"net/netip"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/internal/peerpb"
)

// GroupBits4 and GroupBits6 are the numbers of leading address bits that the
// client blocks of one group share.
const (
	GroupBits4 = 12
	GroupBits6 = 24
)

// MaxLength6 is the largest prefix length of an IPv6 client block.
const MaxLength6 = 64

// BlockGroupKey returns the key of the item that holds the client block of a
// prefix.
func BlockGroupKey(prefix netip.Prefix) string {
	if prefix.Addr().Is4() {
		return fmt.Sprintf("%s/4-%03x", KindBlocks, Address4(prefix.Addr())>>(32-GroupBits4))
	}
	return fmt.Sprintf("%s/6-%06x", KindBlocks, Address6(prefix.Addr())>>(64-GroupBits6))
}

// Address4 returns an IPv4 address as an integer.
func Address4(a netip.Addr) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

// Address6 returns the upper 64 bits of an IPv6 address as an integer.
func Address6(a netip.Addr) uint64 {
	b := a.As16()
	return binary.BigEndian.Uint64(b[:8])
}

func encodeBlocks(items map[string][]byte, blocks []pollencrank.ClientBlock) error {
	groups := map[string][]pollencrank.ClientBlock{}
	for _, b := range blocks {
		b.Prefix = b.Prefix.Masked()
		key := BlockGroupKey(b.Prefix)
		groups[key] = append(groups[key], b)
	}
	for key, group := range groups {
		encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(encodeGroup(group))
		if err != nil {
			return fmt.Errorf("encode %s: %w", key, err)
		}
		items[key] = encoded
	}
	return nil
}

// WithBlocksOf returns a copy of s whose client blocks are replaced by those of
// another state.
func (s *State) WithBlocksOf(other *State) *State {
	items := make(map[string][]byte, len(other.Items))
	for key, value := range s.Items {
		if Kind(key) != KindBlocks {
			items[key] = value
		}
	}
	for key, value := range other.Items {
		if Kind(key) == KindBlocks {
			items[key] = value
		}
	}
	return NewState(s.Generation, items)
}

// encodeGroup encodes the client blocks of a group. The start addresses are
// sorted and delta-encoded; locations are indexes into a list of names.
func encodeGroup(blocks []pollencrank.ClientBlock) *peerpb.BlockGroup {
	slices.SortFunc(blocks, func(a, b pollencrank.ClientBlock) int {
		return cmp.Or(a.Prefix.Addr().Compare(b.Prefix.Addr()), cmp.Compare(a.Prefix.Bits(), b.Prefix.Bits()))
	})
	g := &peerpb.BlockGroup{}
	indexes := map[string]uint32{}
	var last4 uint32
	var last6 uint64
	for _, b := range blocks {
		index, ok := indexes[b.Location]
		if !ok {
			index = uint32(len(g.Locations))
			indexes[b.Location] = index
			g.Locations = append(g.Locations, b.Location)
		}
		if b.Prefix.Addr().Is4() {
			start := Address4(b.Prefix.Addr())
			g.Starts4 = append(g.Starts4, start-last4)
			g.Lengths4 = append(g.Lengths4, uint32(b.Prefix.Bits()))
			g.Location4 = append(g.Location4, index)
			last4 = start
			continue
		}
		start := Address6(b.Prefix.Addr())
		g.Starts6 = append(g.Starts6, start-last6)
		g.Lengths6 = append(g.Lengths6, uint32(b.Prefix.Bits()))
		g.Location6 = append(g.Location6, index)
		last6 = start
	}
	return g
}

// DecodeBlocks returns the client blocks of an encoded group.
func DecodeBlocks(encoded []byte) ([]pollencrank.ClientBlock, error) {
	var g peerpb.BlockGroup
	if err := proto.Unmarshal(encoded, &g); err != nil {
		return nil, fmt.Errorf("block group: %w", err)
	}
	if len(g.Starts4) != len(g.Lengths4) || len(g.Starts4) != len(g.Location4) ||
		len(g.Starts6) != len(g.Lengths6) || len(g.Starts6) != len(g.Location6) {
		return nil, fmt.Errorf("block group: lists differ in length")
	}
	blocks := make([]pollencrank.ClientBlock, 0, len(g.Starts4)+len(g.Starts6))
	var start4 uint32
	for i := range g.Starts4 {
		start4 += g.Starts4[i]
		var b [4]byte
		binary.BigEndian.PutUint32(b[:], start4)
		block, err := groupBlock(&g, netip.AddrFrom4(b), g.Lengths4[i], 32, g.Location4[i])
		if err != nil {
			return nil, err
		}
		blocks = append(blocks, block)
	}
	var start6 uint64
	for i := range g.Starts6 {
		start6 += g.Starts6[i]
		var b [16]byte
		binary.BigEndian.PutUint64(b[:8], start6)
		block, err := groupBlock(&g, netip.AddrFrom16(b), g.Lengths6[i], MaxLength6, g.Location6[i])
		if err != nil {
			return nil, err
		}
		blocks = append(blocks, block)
	}
	return blocks, nil
}

// groupBlock returns the client block of a decoded group entry. It returns an
// error if the prefix length or the index of the location is out of range.
func groupBlock(g *peerpb.BlockGroup, address netip.Addr, length uint32, maxLength uint32, location uint32) (pollencrank.ClientBlock, error) {
	if length > maxLength {
		return pollencrank.ClientBlock{}, fmt.Errorf("block group: prefix length %d exceeds %d", length, maxLength)
	}
	if int(location) >= len(g.Locations) {
		return pollencrank.ClientBlock{}, fmt.Errorf("block group: location index %d of %d", location, len(g.Locations))
	}
	prefix := netip.PrefixFrom(address, int(length))
	return pollencrank.ClientBlock{Prefix: prefix, Location: g.Locations[location]}, nil
}
