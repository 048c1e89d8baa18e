// Package placer orders the backend servers of a service for an object. Every
// instance computes the same order, so requests for one object reach the same few
// servers, which have served the object before, without any message between
// instances.
//
// The order is by weighted rendezvous hashing. An object's first server is in the
// callers' own region as long as that region's share of the slots, with some
// headroom, suffices for its callers; the remaining objects have their first server
// in the regions with spare slots. The order alternates between near and far servers,
// so that every object has one of each among its first two. Adding or removing a
// server moves only the objects that are assigned to that server.
//
// A Table is built once for a set of servers. It caches the first servers of
// objects, so that the cost of a request for a cached object does not grow with the
// number of servers.
//
// # Usage
//
//	table := placer.NewTable(placer.Config{Candidates: servers, Region: "north", Regions: 3})
//	var buffer [placer.CachedServers]int
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

// Candidate is a server that objects may be assigned to.
type Candidate struct {
	ID     string
	Region string
	Slots  int
}

// Config is the input that a Table is built from.
type Config struct {
	// Candidates are the servers, without duplicates.
	Candidates []Candidate
	// Region is the region of the callers.
	Region string
	// Regions is the number of regions that callers come from. Each region is assumed
	// to have an equal part of all callers.
	Regions int
}

const (
	// headroom is the multiple of a region's equal part of all callers that the
	// region's servers take. It is above 1 because servers that have served their
	// objects before are seldom full, and far servers answer later.
	headroom = 1.5
	// nearSalt makes the choice between near and far independent of the choice of a
	// server; spreadSalt makes the two choices of Spread independent of each other.
	nearSalt   = 0x9e3779b97f4a7c15
	spreadSalt = 0xd1b54a32d192ed03
	// CachedServers is the number of an object's first servers that a Table
	// caches, half of them near and half far.
	CachedServers = 8
	// cacheSets and cacheWays are the dimensions of the set-associative cache of
	// objects: the number of sets, a power of two, and the entries of each set.
	cacheSets = 1024
	cacheWays = 4
)

// Key returns the hash that identifies an object of a service.
func Key(service, object string) uint64 {
	return pollencrank.Mix(xxhash.Sum64String(object) ^ pollencrank.Mix(xxhash.Sum64String(service)))
}

// Table orders a fixed set of servers. It is safe for concurrent use.
type Table struct {
	config    Config
	near, far serverGroup
	nearShare float64
	// cache holds the first servers of objects, each in the set that its key selects.
	cache []cacheSet
}

// serverGroup is either the near or the far servers.
type serverGroup struct {
	// indices are the positions of the servers in Config.Candidates.
	indices []int
	hashes  []uint64
	slots   []float64
	// sums are the running sums of the slots.
	sums []float64
}

func (s *serverGroup) add(index int, c Candidate) {
	s.indices = append(s.indices, index)
	s.hashes = append(s.hashes, pollencrank.Mix(xxhash.Sum64String(c.ID)))
	s.slots = append(s.slots, float64(c.Slots))
	s.sums = append(s.sums, s.total()+float64(c.Slots))
}

func (s *serverGroup) total() float64 {
	if len(s.sums) == 0 {
		return 0
	}
	return s.sums[len(s.sums)-1]
}

// cacheSet is one set of the cache of objects.
type cacheSet [cacheWays]atomic.Pointer[cacheEntry]

// cacheEntry is the first servers of an object.
type cacheEntry struct {
	key   uint64
	order [CachedServers]int
	count int
}

// NewTable builds the Table for a set of servers.
func NewTable(config Config) *Table {
	t := &Table{config: config, cache: make([]cacheSet, cacheSets)}
	for i, c := range config.Candidates {
		if c.Region == config.Region {
			t.near.add(i, c)
			continue
		}
		t.far.add(i, c)
	}
	t.nearShare = t.computeNearShare()
	return t
}

// Matches reports whether the table was built from an equal config.
func (t *Table) Matches(config Config) bool {
	return t.config.Region == config.Region && t.config.Regions == config.Regions &&
		slices.Equal(t.config.Candidates, config.Candidates)
}

// computeNearShare returns the share of objects whose first server is in the callers'
// own region: the region's share of all slots, relative to its equal part of all
// callers, times the headroom.
func (t *Table) computeNearShare() float64 {
	own := t.near.total()
	all := own + t.far.total()
	if all == 0 {
		return 0
	}
	return min(1, headroom*own*float64(max(t.config.Regions, 1))/all)
}

// First appends the indices of the first servers for an object to order, in order
// of preference: CachedServers of them, or all if there are fewer.
func (t *Table) First(key uint64, order []int) []int {
	set := &t.cache[key%cacheSets]
	for i := range set {
		if entry := set[i].Load(); entry != nil && entry.key == key {
			return append(order, entry.order[:entry.count]...)
		}
	}
	entry := t.computeFirst(key)
	set.insert(entry)
	return append(order, entry.order[:entry.count]...)
}

// insert stores an entry in a free way, or replaces an older one if the set is full.
func (s *cacheSet) insert(entry *cacheEntry) {
	for i := range s {
		if s[i].CompareAndSwap(nil, entry) {
			return
		}
	}
	s[entry.key/cacheSets%cacheWays].Store(entry)
}

// computeFirst computes the first servers of an object, without the cache.
func (t *Table) computeFirst(key uint64) *cacheEntry {
	var near, far [CachedServers]scored
	first, second := t.near.best(key, near[:0]), t.far.best(key, far[:0])
	if t.prefersFar(key) {
		first, second = second, first
	}
	entry := &cacheEntry{key: key}
	order := interleave(first, second, entry.order[:0])
	entry.count = min(len(order), CachedServers)
	return entry
}

// All returns the indices of all servers in order of preference for an object.
func (t *Table) All(key uint64) []int {
	first, second := t.near.sorted(key), t.far.sorted(key)
	if t.prefersFar(key) {
		first, second = second, first
	}
	count := len(first) + len(second)
	return interleave(first, second, make([]int, 0, count))
}

// Spread appends the indices of some servers to order for a request that is about
// no object. Over all keys, the share of each server within the near and within the
// far servers is proportional to its slots.
func (t *Table) Spread(key uint64, order []int) []int {
	first, second := &t.near, &t.far
	if t.prefersFar(key) {
		first, second = second, first
	}
	firstAt, secondAt := first.pick(key), second.pick(pollencrank.Mix(key^spreadSalt))
	for i := range CachedServers / 2 {
		if i < len(first.indices) {
			order = append(order, first.indices[(firstAt+i)%len(first.indices)])
		}
		if i < len(second.indices) {
			order = append(order, second.indices[(secondAt+i)%len(second.indices)])
		}
	}
	return order
}

// prefersFar reports whether an object's first server is far.
func (t *Table) prefersFar(key uint64) bool {
	return pollencrank.Uniform(pollencrank.Mix(key^nearSalt)) >= t.nearShare
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

// score returns the score of a server in weighted rendezvous hashing: the probability
// that a server has the highest score is proportional to its slots.
func (s *serverGroup) score(i int, key uint64) scored {
	u := pollencrank.Uniform(pollencrank.Mix(key ^ s.hashes[i]))
	return scored{index: s.indices[i], score: -s.slots[i] / math.Log(u)}
}

// best appends the servers with the highest scores, CachedServers at most.
func (s *serverGroup) best(key uint64, best []scored) []scored {
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

// sorted returns all servers, the highest score first.
func (s *serverGroup) sorted(key uint64) []scored {
	all := make([]scored, 0, len(s.indices))
	for i := range s.indices {
		all = append(all, s.score(i, key))
	}
	slices.SortFunc(all, compare)
	return all
}

// pick returns the position in indices of a server drawn by key, with a probability
// proportional to its slots.
func (s *serverGroup) pick(key uint64) int {
	at, _ := slices.BinarySearch(s.sums, pollencrank.Uniform(key)*s.total())
	return min(at, max(len(s.indices)-1, 0))
}

// interleave appends the indices of both lists alternately, up to the capacity of
// order.
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
