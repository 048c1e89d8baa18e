package steerer

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"slices"
	"strings"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/versioner"
)

// NoLocation is the location of an address in no client block.
const NoLocation = math.MaxUint16

// address is an IPv4 address, or the upper half of an IPv6 address.
type address interface{ ~uint32 | ~uint64 }

// ranges maps disjoint address ranges to locations. The range i begins at
// starts[i] and ends before starts[i+1].
type ranges[A address] struct {
	starts    []A
	locations []uint16
}

// find returns the location of a.
func (r *ranges[A]) find(a A) uint16 {
	low, high := 0, len(r.starts)
	for low < high {
		middle := int(uint(low+high) >> 1)
		if r.starts[middle] <= a {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low == 0 {
		return NoLocation
	}
	return r.locations[low-1]
}

// span is one client block as an inclusive address range.
type span[A address] struct {
	first, last A
	location    uint16
}

// flatten turns nested spans into disjoint ranges in which the longest prefix
// wins. Spans are prefixes, so two of them are either nested or disjoint.
func flatten[A address](spans []span[A]) *ranges[A] {
	slices.SortFunc(spans, func(x, y span[A]) int {
		return cmp.Or(cmp.Compare(x.first, y.first), cmp.Compare(y.last, x.last))
	})
	r := &ranges[A]{}
	var open []span[A]
	closeBefore := func(first A, all bool) {
		for len(open) > 0 && (all || open[len(open)-1].last < first) {
			ended := open[len(open)-1]
			open = open[:len(open)-1]
			if ended.last+1 == 0 {
				continue
			}
			outer := uint16(NoLocation)
			if len(open) > 0 {
				outer = open[len(open)-1].location
			}
			r.add(ended.last+1, outer)
		}
	}
	for _, s := range spans {
		closeBefore(s.first, false)
		r.add(s.first, s.location)
		open = append(open, s)
	}
	closeBefore(0, true)
	r.starts = slices.Clip(r.starts)
	r.locations = slices.Clip(r.locations)
	return r
}

// add appends a range that begins at start. It replaces the last range if that
// begins there too, and extends the one before if the location is the same.
func (r *ranges[A]) add(start A, location uint16) {
	n := len(r.starts)
	if n > 0 && r.starts[n-1] == start {
		r.starts, r.locations = r.starts[:n-1], r.locations[:n-1]
		n--
	}
	if n > 0 && r.locations[n-1] == location {
		return
	}
	r.starts = append(r.starts, start)
	r.locations = append(r.locations, location)
}

const groupCount4 = 1 << versioner.GroupBits4

// Index maps addresses to locations. It is immutable: BuildIndex makes an
// updated copy that reuses the groups that have not changed.
type Index struct {
	groups4 [groupCount4]*ranges[uint32]
	groups6 map[uint32]*ranges[uint64]
	// wide4 and wide6 hold the client blocks whose prefix is shorter than that
	// of a group.
	wide4           *ranges[uint32]
	wide6           *ranges[uint64]
	locations       []string
	locationNumbers map[string]uint16
	// encoded holds, by key, the encoded item that each group was built from.
	encoded map[string][]byte
	// wide holds, by key, the client blocks of each group that wide4 and wide6
	// were built from.
	wide map[string][]pollencrank.ClientBlock
}

// Locations returns the names of locations by number.
func (x *Index) Locations() []string { return x.locations }

// Find returns the number of the location that a belongs to.
func (x *Index) Find(a netip.Addr) uint16 {
	if a.Is4() {
		key := versioner.Address4(a)
		if g := x.groups4[key>>(32-versioner.GroupBits4)]; g != nil {
			if location := g.find(key); location != NoLocation {
				return location
			}
		}
		return x.wide4.find(key)
	}
	if !a.Is6() {
		return NoLocation
	}
	key := versioner.Address6(a)
	if g := x.groups6[uint32(key>>(64-versioner.GroupBits6))]; g != nil {
		if location := g.find(key); location != NoLocation {
			return location
		}
	}
	return x.wide6.find(key)
}

// BuildIndex returns the index for a state. It reuses the groups of the
// previous index, which may be nil, whose items have not changed.
func BuildIndex(previous *Index, state *versioner.State) (*Index, error) {
	if previous == nil {
		previous = &Index{}
	}
	if !blocksChanged(previous.encoded, state) && previous.encoded != nil {
		return previous, nil
	}
	x := &Index{
		groups4:         previous.groups4,
		groups6:         maps.Clone(previous.groups6),
		locations:       slices.Clone(previous.locations),
		locationNumbers: maps.Clone(previous.locationNumbers),
		encoded:         map[string][]byte{},
		wide:            maps.Clone(previous.wide),
	}
	if x.locationNumbers == nil {
		x.locationNumbers = map[string]uint16{}
		x.groups6 = map[uint32]*ranges[uint64]{}
		x.wide = map[string][]pollencrank.ClientBlock{}
	}
	for key, value := range state.Items {
		if !isBlockGroup(key) {
			continue
		}
		x.encoded[key] = value
		if old, ok := previous.encoded[key]; ok && bytes.Equal(old, value) {
			continue
		}
		if err := x.replaceGroup(key, value); err != nil {
			return nil, err
		}
	}
	for key := range previous.encoded {
		if _, ok := x.encoded[key]; !ok {
			x.setGroup(key, nil)
		}
	}
	x.buildWide()
	return x, nil
}

func isBlockGroup(key string) bool {
	return strings.HasPrefix(key, versioner.KindBlocks+"/")
}

func blocksChanged(encoded map[string][]byte, state *versioner.State) bool {
	count := 0
	for key, value := range state.Items {
		if !isBlockGroup(key) {
			continue
		}
		count++
		if old, ok := encoded[key]; !ok || !bytes.Equal(old, value) {
			return true
		}
	}
	return count != len(encoded)
}

func (x *Index) replaceGroup(key string, encoded []byte) error {
	blocks, err := versioner.DecodeBlocks(encoded)
	if err != nil {
		return fmt.Errorf("client blocks of %s: %w", key, err)
	}
	for _, b := range blocks {
		if _, ok := x.locationNumbers[b.Location]; ok {
			continue
		}
		if len(x.locations) >= NoLocation {
			return fmt.Errorf("more than %d locations", NoLocation)
		}
		x.locationNumbers[b.Location] = uint16(len(x.locations))
		x.locations = append(x.locations, b.Location)
	}
	x.setGroup(key, blocks)
	return nil
}

// setGroup replaces the blocks of one group.
func (x *Index) setGroup(key string, blocks []pollencrank.ClientBlock) {
	var spans4 []span[uint32]
	var spans6 []span[uint64]
	delete(x.wide, key)
	for _, b := range blocks {
		switch {
		case isWide(b.Prefix):
			x.wide[key] = append(x.wide[key], b)
		case b.Prefix.Addr().Is4():
			spans4 = append(spans4, span4(b, x.locationNumbers[b.Location]))
		default:
			spans6 = append(spans6, span6(b, x.locationNumbers[b.Location]))
		}
	}
	var number uint32
	if _, err := fmt.Sscanf(key, versioner.KindBlocks+"/4-%x", &number); err == nil && number < groupCount4 {
		x.groups4[number] = nil
		if len(spans4) > 0 {
			x.groups4[number] = flatten(spans4)
		}
		return
	}
	if _, err := fmt.Sscanf(key, versioner.KindBlocks+"/6-%x", &number); err == nil {
		delete(x.groups6, number)
		if len(spans6) > 0 {
			x.groups6[number] = flatten(spans6)
		}
	}
}

func (x *Index) buildWide() {
	var spans4 []span[uint32]
	var spans6 []span[uint64]
	for _, blocks := range x.wide {
		for _, b := range blocks {
			if b.Prefix.Addr().Is4() {
				spans4 = append(spans4, span4(b, x.locationNumbers[b.Location]))
			} else {
				spans6 = append(spans6, span6(b, x.locationNumbers[b.Location]))
			}
		}
	}
	x.wide4 = flatten(spans4)
	x.wide6 = flatten(spans6)
}

func isWide(p netip.Prefix) bool {
	if p.Addr().Is4() {
		return p.Bits() < versioner.GroupBits4
	}
	return p.Bits() < versioner.GroupBits6
}

func span4(b pollencrank.ClientBlock, location uint16) span[uint32] {
	first := versioner.Address4(b.Prefix.Addr())
	return span[uint32]{first, first + (math.MaxUint32 >> b.Prefix.Bits()), location}
}

func span6(b pollencrank.ClientBlock, location uint16) span[uint64] {
	first := versioner.Address6(b.Prefix.Addr())
	return span[uint64]{first, first + (math.MaxUint64 >> b.Prefix.Bits()), location}
}
