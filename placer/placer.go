// Package placer orders the backend servers of a service for an object. Every
// instance computes the same order, so requests for one object reach the same few
// servers, which have served the object before, without any message between
// instances.
//
// The order is by weighted rendezvous hashing within each region. A region whose slots
// suffice for its callers, with some headroom, holds every object on one of its
// servers; a region with fewer slots holds only a share of the objects, the same share
// at every instance. The order of an object begins with the server of the callers' own
// region if the region holds it, and goes on with the servers of the other regions that
// hold it, those with the most slots to spare for other callers most often: these have
// served the object for the callers of their own region. Adding or removing a server
// moves only the objects that are assigned to that server.
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
	// headroom is the multiple of a region's equal part of all callers up to which the
	// region's servers hold objects.
	headroom = 1.25
	// leastSpare is the weight of a region without spare slots, relative to its slots,
	// among the regions that serve the callers of others.
	leastSpare = 0.05
	// holdSalt makes the choice of the regions that hold an object independent of the
	// choice of a server; spreadSalt makes the choices of Spread in different regions
	// independent of each other.
	holdSalt   = 0x9e3779b97f4a7c15
	spreadSalt = 0xd1b54a32d192ed03
	// CachedServers is the number of an object's first servers that a Table caches.
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
	config Config
	// groups are the servers by region, ordered by region.
	groups []*serverGroup
	// cache holds the first servers of objects, each in the set that its key selects.
	cache []cacheSet
}

// serverGroup is the servers of one region.
type serverGroup struct {
	region string
	// hash makes choices about the region independent of those about others.
	hash uint64
	// holdShare is the share of objects that the region holds.
	holdShare float64
	// spare weighs the region among those that serve the callers of others.
	spare float64
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
	byRegion := map[string]*serverGroup{}
	all := 0.0
	for i, c := range config.Candidates {
		group := byRegion[c.Region]
		if group == nil {
			group = &serverGroup{region: c.Region, hash: pollencrank.Mix(xxhash.Sum64String(c.Region))}
			byRegion[c.Region] = group
			t.groups = append(t.groups, group)
		}
		group.add(i, c)
		all += float64(c.Slots)
	}
	slices.SortFunc(t.groups, func(a, b *serverGroup) int { return cmp.Compare(a.region, b.region) })
	for _, group := range t.groups {
		group.setShares(all, max(config.Regions, 1))
	}
	return t
}

// setShares computes the shares of a region from its part of all slots, relative to its
// equal part of all callers.
func (s *serverGroup) setShares(all float64, regions int) {
	if all == 0 {
		return
	}
	relative := s.total() * float64(regions) / all
	s.holdShare = min(1, headroom*relative)
	s.spare = max(relative-1, leastSpare*relative)
}

// holds reports whether the region holds an object.
func (s *serverGroup) holds(key uint64) bool {
	return pollencrank.Uniform(pollencrank.Mix(key^s.hash^holdSalt)) < s.holdShare
}

// Matches reports whether the table was built from an equal config.
func (t *Table) Matches(config Config) bool {
	return t.config.Region == config.Region && t.config.Regions == config.Regions &&
		slices.Equal(t.config.Candidates, config.Candidates)
}

// rankedGroup is a region in the order of regions of an object.
type rankedGroup struct {
	*serverGroup
	tier  int
	score float64
}

// Tiers of regions in the order of an object. The callers' own region is the last one if
// it does not hold the object, because its servers would forget objects that it holds.
const (
	tierOwnHolder = iota
	tierHolder
	tierOther
	tierOwn
)

// maxRankedGroups is the number of regions that are ranked without an allocation.
const maxRankedGroups = 8

// rank appends the regions in order of preference for an object to ranked.
func (t *Table) rank(key uint64, ranked []rankedGroup) []rankedGroup {
	for _, group := range t.groups {
		g := rankedGroup{serverGroup: group, tier: t.tierOf(group, key)}
		g.score = -group.spare / math.Log(pollencrank.Uniform(pollencrank.Mix(key^group.hash)))
		ranked = append(ranked, g)
	}
	slices.SortFunc(ranked, func(a, b rankedGroup) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(b.score, a.score), cmp.Compare(a.region, b.region))
	})
	return ranked
}

// Holders returns the number of servers at the begin of an object's order that hold the
// object for their region.
func (t *Table) Holders(key uint64) int {
	holders := 0
	for _, group := range t.groups {
		if group.holds(key) {
			holders++
		}
	}
	return holders
}

// tierOf returns the tier of a region for an object.
func (t *Table) tierOf(group *serverGroup, key uint64) int {
	isOwn := group.region == t.config.Region
	isHolder := group.holds(key)
	switch {
	case isOwn && isHolder:
		return tierOwnHolder
	case isHolder:
		return tierHolder
	case isOwn:
		return tierOwn
	default:
		return tierOther
	}
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
	var buffer [maxRankedGroups]rankedGroup
	ranked := t.rank(key, buffer[:0])
	lists := make([][]scored, len(ranked))
	for i, group := range ranked {
		lists[i] = group.best(key, make([]scored, 0, CachedServers))
	}
	entry := &cacheEntry{key: key}
	entry.count = len(interleave(lists, entry.order[:0]))
	return entry
}

// All returns the indices of all servers in order of preference for an object.
func (t *Table) All(key uint64) []int {
	var buffer [maxRankedGroups]rankedGroup
	ranked := t.rank(key, buffer[:0])
	lists := make([][]scored, len(ranked))
	count := 0
	for i, group := range ranked {
		lists[i] = group.sorted(key)
		count += len(lists[i])
	}
	return interleave(lists, make([]int, 0, count))
}

// Spread appends the indices of some servers to order for a request that is about
// no object. Over all keys, the share of each server within its region is proportional
// to its slots.
func (t *Table) Spread(key uint64, order []int) []int {
	var buffer [maxRankedGroups]rankedGroup
	ranked := t.rank(key, buffer[:0])
	for i := range CachedServers {
		for _, group := range ranked {
			if i < len(group.indices) && len(order) < CachedServers {
				at := group.pick(pollencrank.Mix(key ^ group.hash ^ spreadSalt))
				order = append(order, group.indices[(at+i)%len(group.indices)])
			}
		}
	}
	return order
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

// interleave appends the indices of all lists in turn, up to the capacity of order.
func interleave(lists [][]scored, order []int) []int {
	longest := 0
	for _, list := range lists {
		longest = max(longest, len(list))
	}
	for i := range longest {
		for _, list := range lists {
			if i < len(list) && len(order) < cap(order) {
				order = append(order, list[i].index)
			}
		}
	}
	return order
}
