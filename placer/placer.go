// Package placer orders the backend servers of a service for an object, alike on
// every instance, so that requests for one object meet the few servers that know
// it without any message between instances.
//
// The order is by weighted rendezvous hashing. Each object has a first server
// in the callers' own region as far as the region's share of the slots, with some
// headroom, carries its callers; the other objects have it in the regions with slots to spare.
// The list goes on with the first ones of the other kind, so that every object
// has a near and a far server early on. A server that comes or goes moves only
// the objects that it holds.
//
// A Table is made once for a set of servers. It remembers the first servers of
// objects, so that a request does not cost more the more servers there are.
//
// # Usage
//
//	table := placer.NewTable(placer.Config{Candidates: servers, Region: "north", Regions: 3})
//	var buffer [placer.Remembered]int
//	order := table.First(placer.Key("catalogue", "pin-17"), buffer[:0])
//	first := servers[order[0]]
package placer

import (
	"cmp"
	"math"
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/pollencrank/pollencrank"
)

// Candidate is a server that may hold objects.
type Candidate struct {
	ID     string
	Region string
	Slots  int
}

// Config is what a Table is made of.
type Config struct {
	// Candidates are the servers, each once.
	Candidates []Candidate
	// Region is that of the callers.
	Region string
	// Regions is the number of regions that callers come from, in equal parts.
	Regions int
}

const (
	// headroom is the multiple of a region's equal part of all callers that its
	// servers take: servers that know their objects are seldom full, and far ones
	// answer later.
	headroom = 1.5
	// nearSalt keeps the choice between near and far apart from the choice of a
	// server, and spreadSalt the two choices of Spread.
	nearSalt   = 0x9e3779b97f4a7c15
	spreadSalt = 0xd1b54a32d192ed03
	// CachedServers is the number of an object's first servers that a Table
	// remembers, half of them near and half far.
	CachedServers = 8
	// memorySets is the number of places for remembered objects, a power of two,
	// and memoryWays how many have the same place.
	memorySets = 1024
	memoryWays = 4
)

// Key names an object of a service.
func Key(service, object string) uint64 {
	return pollencrank.Mix(xxhash.Sum64String(object) ^ pollencrank.Mix(xxhash.Sum64String(service)))
}

// Table orders a fixed set of servers. It is safe for concurrent use.
type Table struct {
	config    Config
	near, far side
	nearShare float64
	// memory holds the first servers of objects, each at a place that its key says.
	memory []memorySet
}

// side is the servers of one kind: near or far.
type side struct {
	// indices are those of the candidates.
	indices []int
	hashes  []uint64
	slots   []float64
	// sums are the running sums of the slots.
	sums []float64
}

func (s *side) add(index int, c Candidate) {
	s.indices = append(s.indices, index)
	s.hashes = append(s.hashes, pollencrank.Mix(xxhash.Sum64String(c.ID)))
	s.slots = append(s.slots, float64(c.Slots))
	s.sums = append(s.sums, s.total()+float64(c.Slots))
}

func (s *side) total() float64 {
	if len(s.sums) == 0 {
		return 0
	}
	return s.sums[len(s.sums)-1]
}

// memorySet is one place for remembered objects.
type memorySet [memoryWays]atomic.Pointer[placed]

// placed is the first servers of an object.
type placed struct {
	key   uint64
	order [CachedServers]int
	count int
}

// NewTable returns the Table of a set of servers.
func NewTable(config Config) *Table {
	t := &Table{config: config, memory: make([]memorySet, memorySets)}
	for i, c := range config.Candidates {
		if c.Region == config.Region {
			t.near.add(i, c)
			continue
		}
		t.far.add(i, c)
	}
	t.nearShare = t.shareOfNear()
	return t
}

// Matches reports whether the table is that of a configuration.
func (t *Table) Matches(config Config) bool {
	return t.config.Region == config.Region && t.config.Regions == config.Regions &&
		slices.Equal(t.config.Candidates, config.Candidates)
}

// shareOfNear returns the share of objects whose first server is in the callers'
// own region: what its slots carry of an equal part of all callers, with the
// headroom.
func (t *Table) shareOfNear() float64 {
	own := t.near.total()
	all := own + t.far.total()
	if all == 0 {
		return 0
	}
	return min(1, headroom*own*float64(max(t.config.Regions, 1))/all)
}

// First appends the indices of the first servers for an object to order, in the
// order in which they serve it: all of them if there are few, Remembered at most.
func (t *Table) First(key uint64, order []int) []int {
	set := &t.memory[key%memorySets]
	for i := range set {
		if p := set[i].Load(); p != nil && p.key == key {
			return append(order, p.order[:p.count]...)
		}
	}
	p := t.place(key)
	set.remember(p)
	return append(order, p.order[:p.count]...)
}

// remember keeps an object in place of one that was remembered before.
func (s *memorySet) remember(p *placed) {
	for i := range s {
		if s[i].CompareAndSwap(nil, p) {
			return
		}
	}
	s[p.key/memorySets%memoryWays].Store(p)
}

// place works the first servers of an object out.
func (t *Table) place(key uint64) *placed {
	var near, far [CachedServers]scored
	first, second := t.near.best(key, near[:0]), t.far.best(key, far[:0])
	if t.prefersFar(key) {
		first, second = second, first
	}
	p := &placed{key: key}
	order := interleave(first, second, p.order[:0])
	p.count = min(len(order), CachedServers)
	return p
}

// All returns the indices of all servers in the order in which they serve an
// object.
func (t *Table) All(key uint64) []int {
	first, second := t.near.rank(key), t.far.rank(key)
	if t.prefersFar(key) {
		first, second = second, first
	}
	count := len(first) + len(second)
	return interleave(first, second, make([]int, 0, count))
}

// Spread appends the indices of some servers to order for a request that is about
// no object. Over all keys, each server gets its part by its slots.
func (t *Table) Spread(key uint64, order []int) []int {
	first, second := &t.near, &t.far
	if t.prefersFar(key) {
		first, second = second, first
	}
	at, other := first.pick(key), second.pick(pollencrank.Mix(key^spreadSalt))
	for i := range CachedServers / 2 {
		if i < len(first.indices) {
			order = append(order, first.indices[(at+i)%len(first.indices)])
		}
		if i < len(second.indices) {
			order = append(order, second.indices[(other+i)%len(second.indices)])
		}
	}
	return order
}

// prefersFar reports whether an object's first server is far.
func (t *Table) prefersFar(key uint64) bool {
	return uniform(pollencrank.Mix(key^nearSalt)) >= t.nearShare
}

// scored is a candidate and its score for an object.
type scored struct {
	index int
	score float64
}

// compare orders scored candidates, the highest score first.
func compare(a, b scored) int {
	if c := cmp.Compare(b.score, a.score); c != 0 {
		return c
	}
	return cmp.Compare(a.index, b.index)
}

// score is the weight of a server in weighted rendezvous hashing: the highest
// score wins with a probability in proportion to the slots.
func (s *side) score(i int, key uint64) scored {
	u := uniform(pollencrank.Mix(key ^ s.hashes[i]))
	return scored{index: s.indices[i], score: -s.slots[i] / math.Log(u)}
}

// best appends the servers with the highest scores, Remembered at most.
func (s *side) best(key uint64, best []scored) []scored {
	for i := range s.indices {
		c := s.score(i, key)
		if len(best) == CachedServers {
			if compare(best[CachedServers-1], c) < 0 {
				continue
			}
			best = best[:CachedServers-1]
		}
		at, _ := slices.BinarySearchFunc(best, c, compare)
		best = slices.Insert(best, at, c)
	}
	return best
}

// rank returns all servers, the highest score first.
func (s *side) rank(key uint64) []scored {
	all := make([]scored, 0, len(s.indices))
	for i := range s.indices {
		all = append(all, s.score(i, key))
	}
	slices.SortFunc(all, compare)
	return all
}

// pick returns the place of a server, drawn by its slots.
func (s *side) pick(key uint64) int {
	at, _ := slices.BinarySearch(s.sums, uniform(key)*s.total())
	return min(at, max(len(s.indices)-1, 0))
}

// uniform maps a hash to the open interval from 0 to 1.
func uniform(hash uint64) float64 {
	const bits = 53
	return (float64(hash>>(64-bits)) + 0.5) / (1 << bits)
}

// interleave appends the indices of both lists by turns, as many as order has
// room for.
func interleave(first, second []scored, order []int) []int {
	for i := range max(len(first), len(second)) {
		if i < len(first) && len(order) < cap(order) {
			order = append(order, first[i].index)
		}
		if i < len(second) && len(order) < cap(order) {
			order = append(order, second[i].index)
		}
	}
	return order
}
