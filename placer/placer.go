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
// # Usage
//
//	order := placer.Order(servers, placer.Object{Key: key, Region: "north", Regions: 3})
//	first := servers[order[0]]
package placer

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/pollencrank/pollencrank"
)

// Candidate is a server that may hold objects.
type Candidate struct {
	ID     string
	Region string
	Slots  int
}

// Object is what the servers are ordered for.
type Object struct {
	// Key names the object.
	Key string
	// Region is that of the callers.
	Region string
	// Regions is the number of regions that callers come from, in equal parts.
	Regions int
}

// headroom is the multiple of a region's equal part of all callers that its
// servers take: servers that know their objects are seldom full, and far ones
// answer later.
const headroom = 1.5

// nearSalt keeps the choice between near and far apart from the choice of a
// server.
const nearSalt = 0x9e3779b97f4a7c15

// Order returns the indices of candidates in the order in which they serve an
// object. Every candidate occurs once.
func Order(candidates []Candidate, object Object) []int {
	if len(candidates) == 0 {
		return nil
	}
	key := xxhash.Sum64String(object.Key)
	near, far := rank(candidates, object, key)
	if uniform(pollencrank.Mix(key^nearSalt)) >= nearShare(candidates, object) {
		near, far = far, near
	}
	return interleave(near, far)
}

// nearShare returns the share of objects whose first server is in the callers'
// own region: what its slots carry of an equal part of all callers, with the
// headroom.
func nearShare(candidates []Candidate, object Object) float64 {
	own, all := 0, 0
	for _, c := range candidates {
		all += c.Slots
		if c.Region == object.Region {
			own += c.Slots
		}
	}
	if all == 0 {
		return 0
	}
	return min(1, headroom*float64(own)*float64(max(object.Regions, 1))/float64(all))
}

type scored struct {
	index int
	score float64
}

// rank returns the candidates of the own region and the others, each in
// rendezvous order.
func rank(candidates []Candidate, object Object, key uint64) (near, far []scored) {
	for i, c := range candidates {
		s := scored{index: i, score: score(key, c)}
		if c.Region == object.Region {
			near = append(near, s)
			continue
		}
		far = append(far, s)
	}
	sortScored(near)
	sortScored(far)
	return near, far
}

func sortScored(s []scored) {
	slices.SortFunc(s, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.index, b.index)
	})
}

// score is the candidate's weight in weighted rendezvous hashing: the highest
// score wins with a probability in proportion to the slots.
func score(key uint64, c Candidate) float64 {
	u := uniform(pollencrank.Mix(key ^ pollencrank.Mix(xxhash.Sum64String(c.ID))))
	return -float64(c.Slots) / math.Log(u)
}

// uniform maps a hash to the open interval from 0 to 1.
func uniform(hash uint64) float64 {
	const bits = 53
	return (float64(hash>>(64-bits)) + 0.5) / (1 << bits)
}

func interleave(first, second []scored) []int {
	order := make([]int, 0, len(first)+len(second))
	for i := range max(len(first), len(second)) {
		if i < len(first) {
			order = append(order, first[i].index)
		}
		if i < len(second) {
			order = append(order, second[i].index)
		}
	}
	return order
}
