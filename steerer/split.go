package steerer

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pollencrank/pollencrank"
)

// splitKey identifies callers that a plan splits over regions, by workload and
// by the region that the callers are nearest to.
type splitKey struct{ workload, callers string }

// regionShare is the share of the callers that one region serves.
type regionShare struct {
	share      pollencrank.Share
	regionHash uint64
	answers    *[variants]*Answer
}

// split distributes the callers of a location over regions by the plan in force.
type split struct {
	plan    *pollencrank.Plan
	regions []regionShare
}

// sharesOf returns the shares of a plan by workload and callers.
func sharesOf(plan *pollencrank.Plan) map[splitKey][]pollencrank.Share {
	if plan == nil {
		return nil
	}
	shares := map[splitKey][]pollencrank.Share{}
	for _, s := range plan.Shares {
		key := splitKey{s.Workload, s.Callers}
		shares[key] = append(shares[key], s)
	}
	return shares
}

// split returns how the plan splits the callers of a location, or nil if the
// plan has no shares for them.
func (b *builder) split(key splitKey, tiers [][]site) *split {
	shares := b.shares[key]
	if len(shares) == 0 {
		return nil
	}
	result := &split{plan: b.configuration.Plan}
	for _, s := range shares {
		result.regions = append(result.regions, regionShare{
			share:      s,
			regionHash: xxhash.Sum64String(s.Region),
			answers:    b.workloadAnswers(key.workload, inRegion(tiers, s.Region)),
		})
	}
	return result
}

// inRegion returns the tiers reduced to the sites of one region, without tiers
// that have none.
func inRegion(tiers [][]site, region string) [][]site {
	var result [][]site
	for _, tier := range tiers {
		sites := slices.DeleteFunc(slices.Clone(tier), func(s site) bool { return s.region != region })
		if len(sites) > 0 {
			result = append(result, sites)
		}
	}
	return result
}

// find returns the answer for a caller. Weighted rendezvous hashing makes the
// answer depend on the shares alone, and moves a caller only to a region whose
// share grows more, or shrinks less, than that of the caller's present region.
func (s *split) find(hash uint64, now time.Time) *Answer {
	best := &s.regions[0]
	if len(s.regions) > 1 {
		best = s.choose(hash, now)
	}
	return best.answers[variantOf(hash)]
}

func (s *split) choose(hash uint64, now time.Time) *regionShare {
	progress := s.plan.Progress(now)
	best, bestScore := &s.regions[0], math.Inf(-1)
	for i := range s.regions {
		r := &s.regions[i]
		weight := r.share.Before + (r.share.After-r.share.Before)*progress
		if score := weight / -math.Log(pollencrank.Uniform(pollencrank.Mix(hash^r.regionHash))); score > bestScore {
			best, bestScore = r, score
		}
	}
	return best
}
