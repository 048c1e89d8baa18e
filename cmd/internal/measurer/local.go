package measurer

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"time"

	"github.com/pollencrank/pollencrank/allocator"
	"github.com/pollencrank/pollencrank/internal/standin"
	"github.com/pollencrank/pollencrank/steerer"
	"github.com/pollencrank/pollencrank/versioner"
)

const bytesPerMegabyte = 1 << 20

// designBlocks are the numbers of client blocks that are measured.
var designBlocks = []int{10_000, 50_000, 100_000, 200_000, 370_000}

// measureHeap returns the result of build and the number of bytes by which build
// grows the heap. The caller must keep the result reachable until measureHeap
// returns, or the garbage collector frees what is to be measured.
func measureHeap[T any](build func() (T, error)) (T, float64, error) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	built, err := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return built, float64(after.HeapAlloc) - float64(before.HeapAlloc), err
}

// meanSeconds returns the mean time of a call of f, in seconds.
func meanSeconds(calls int, f func()) float64 {
	started := time.Now()
	for range calls {
		f()
	}
	return time.Since(started).Seconds() / float64(calls)
}

func encodeState(blocks int) (*versioner.State, error) {
	size := standin.DesignSize
	size.Blocks = blocks
	return versioner.Encode(standin.MakeConfiguration(size), 1)
}

// measureSteering measures the block index and steering decisions against client
// blocks, and the building of the answer table.
func measureSteering(context.Context, *Measurer) ([]Series, error) {
	heap := Series{Name: "block index heap", XLabel: "client blocks", YLabel: "MB", Design: 370_000}
	full := Series{Name: "block index full build", XLabel: "client blocks", YLabel: "ms", Design: 370_000}
	delta := Series{Name: "block index change of one group", XLabel: "client blocks", YLabel: "ms", Design: 370_000}
	find := Series{Name: "steering decision", XLabel: "client blocks", YLabel: "ns", Design: 370_000}
	for _, blocks := range designBlocks {
		state, err := encodeState(blocks)
		if err != nil {
			return nil, err
		}
		index, bytes, err := measureHeap(func() (*steerer.Index, error) { return steerer.BuildIndex(nil, state) })
		if err != nil {
			return nil, err
		}
		heap.add(blocks, bytes/bytesPerMegabyte)
		const builds = 3
		full.add(blocks, 1e3*meanSeconds(builds, func() { _, _ = steerer.BuildIndex(nil, state) }))
		changed, err := changeOneBlock(state, blocks)
		if err != nil {
			return nil, err
		}
		const deltas = 50
		delta.add(blocks, 1e3*meanSeconds(deltas, func() { _, _ = steerer.BuildIndex(index, changed) }))
		find.add(blocks, 1e9*meanFindSeconds(index, blocks))
	}
	return []Series{heap, full, delta, find, measureTableBuild()}, nil
}

func (s *Series) add(x int, y float64) {
	s.Points = append(s.Points, Point{X: float64(x), Y: y})
}

func changeOneBlock(state *versioner.State, blocks int) (*versioner.State, error) {
	size := standin.DesignSize
	size.Blocks = blocks
	c := standin.MakeConfiguration(size)
	c.ClientBlocks[0].Location = c.Locations[1].Name
	changed, err := versioner.Encode(c, 2)
	if err != nil {
		return nil, err
	}
	return state.Apply(versioner.Diff(state, changed))
}

func meanFindSeconds(index *steerer.Index, blocks int) float64 {
	size := standin.DesignSize
	size.Blocks = blocks
	c := standin.MakeConfiguration(size)
	table := newTable(size, index, 650)
	var callers []netip.Addr
	for i := 0; i < len(c.ClientBlocks); i += 17 {
		callers = append(callers, c.ClientBlocks[i].Prefix.Addr())
	}
	const rounds = 20
	return meanSeconds(rounds, func() {
		for _, caller := range callers {
			table.Find(caller, c.Workloads[0].Name, time.Now())
		}
	}) / float64(len(callers))
}

func newTable(size standin.Size, index *steerer.Index, nodes int) *steerer.Table {
	return steerer.Build(newTableInput(size, index, nodes))
}

func newTableInput(size standin.Size, index *steerer.Index, nodes int) steerer.Input {
	size.Blocks = 0
	c := standin.MakeConfiguration(size)
	members := standin.MakeMembers(c, nodes)
	return steerer.Input{
		Configuration: c,
		Index:         index,
		Owners:        standin.SiteOwners(c, members, allocator.Owners(c, members)),
		HomeRegion:    standin.RegionName(0),
	}
}

// measureTableBuild measures the building of the answer table against the fleet's
// size.
func measureTableBuild() Series {
	s := Series{Name: "answer table build", XLabel: "nodes", YLabel: "ms", Design: 650}
	state, _ := encodeState(1000)
	index, _ := steerer.BuildIndex(nil, state)
	for _, nodes := range []int{8, 40, 160, 320, 650} {
		input := newTableInput(standin.DesignSize, index, nodes)
		const builds = 10
		s.add(nodes, 1e3*meanSeconds(builds, func() { steerer.Build(input) }))
	}
	return s
}

// measureState measures the size of the configuration state, and the time to
// change and decode it, against client blocks.
func measureState(context.Context, *Measurer) ([]Series, error) {
	heap := Series{Name: "configuration state heap", XLabel: "client blocks", YLabel: "MB", Design: 370_000}
	encoded := Series{Name: "snapshot size", XLabel: "client blocks", YLabel: "MB", Design: 370_000}
	apply := Series{Name: "apply a change", XLabel: "client blocks", YLabel: "ms", Design: 370_000}
	decode := Series{Name: "decode the configuration", XLabel: "client blocks", YLabel: "ms", Design: 370_000}
	for _, blocks := range designBlocks {
		state, bytes, err := measureHeap(func() (*versioner.State, error) { return encodeState(blocks) })
		if err != nil {
			return nil, err
		}
		heap.add(blocks, bytes/bytesPerMegabyte)
		size := 0
		for key, value := range state.Items {
			size += len(key) + len(value)
		}
		encoded.add(blocks, float64(size)/bytesPerMegabyte)
		next, err := changeOneBlock(state, blocks)
		if err != nil {
			return nil, err
		}
		change := versioner.Diff(state, next)
		const calls = 20
		apply.add(blocks, 1e3*meanSeconds(calls, func() { _, _ = state.Apply(change) }))
		decode.add(blocks, 1e3*meanSeconds(calls, func() { _, _ = state.Decode() }))
	}
	return []Series{heap, encoded, apply, decode}, nil
}

// measureOwners measures the computation of owners against the fleet's size.
func measureOwners(context.Context, *Measurer) ([]Series, error) {
	s := Series{Name: "owners of 840 servers", XLabel: "nodes", YLabel: "ms", Design: 650}
	size := standin.DesignSize
	size.Blocks = 0
	c := standin.MakeConfiguration(size)
	for _, nodes := range []int{8, 40, 160, 320, 650} {
		members := standin.MakeMembers(c, nodes)
		const calls = 10
		s.add(nodes, 1e3*meanSeconds(calls, func() { allocator.Owners(c, members) }))
	}
	if len(c.Servers) != 840 {
		return nil, fmt.Errorf("the design size has %d servers, not 840", len(c.Servers))
	}
	return []Series{s}, nil
}
