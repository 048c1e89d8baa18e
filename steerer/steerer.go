// Package steerer answers look-ups: it maps a caller's address and a workload to
// the entries that the caller should use.
//
// A Table is an immutable value computed from the configuration, the members
// of the fleet and the owners of backend servers. Entries with the same inputs
// compute the same table. Table.Find takes no lock, allocates no memory and makes
// no remote call.
//
// # Usage
//
//	index, err := steerer.BuildIndex(nil, state)
//	table := steerer.Build(steerer.Input{
//		Configuration: configuration,
//		Index:         index,
//		Owners:        owners,
//		HomeRegion:    "north",
//	})
//	answer, location := table.Find(netip.MustParseAddr("127.0.1.7"), "catalogue", time.Now())
package steerer

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/pollencrank/pollencrank"
)

const (
	// variantBits is the number of hash bits that select one of several answers
	// for the callers of a location, so that neighbouring client blocks are
	// spread over entries.
	variantBits = 4
	variants    = 1 << variantBits
	// maxEntries is the maximum number of entries in an answer.
	maxEntries = 4
	// tierWidth is the difference in distance below which sites count as
	// equally near.
	tierWidth = 5 * time.Millisecond
	// unknownDistance is assumed for sites without a configured distance.
	unknownDistance = time.Second
)

// Owner is an entry with the slots it owns for one workload at one site.
type Owner struct {
	Instance pollencrank.Instance
	Workload string
	Site     string
	Slots    int
}

// Input is everything that a Table is computed from.
type Input struct {
	Configuration *pollencrank.Configuration
	Index         *Index
	Owners        []Owner
	// HomeRegion serves callers whose block is in no location.
	HomeRegion string
}

// Answer is the immutable answer to a look-up. Entries are in order of
// preference. Locations with the same nearest owners share answers.
type Answer struct {
	Workload string
	Entries  []pollencrank.Instance
}

// Table maps callers and workloads to answers.
type Table struct {
	index     *Index
	workloads map[string]int
	// cells is indexed by location, then workload. The last row is for callers
	// in no client block.
	cells [][]cell
}

// cell holds the answers for one location and workload.
type cell struct {
	// nearest holds the answers from the nearest sites that have owners.
	nearest *[variants]*Answer
	// split is nil if the plan has no shares for the location's callers.
	split *split
}

// Find returns the answer for a caller's address and the caller's location.
// The answer is nil for an unknown workload; the location is empty for a caller
// in no client block.
func (t *Table) Find(caller netip.Addr, workload string, now time.Time) (*Answer, string) {
	w, ok := t.workloads[workload]
	if !ok {
		return nil, ""
	}
	caller = caller.Unmap()
	hash := hashPrefix(caller)
	cells, location := t.locate(caller)
	if cells[w].split != nil {
		return cells[w].split.find(hash, now), location
	}
	return cells[w].nearest[variantOf(hash)], location
}

// Locate returns the location of a caller, or "" if it is in no client block.
func (t *Table) Locate(caller netip.Addr) string {
	_, location := t.locate(caller.Unmap())
	return location
}

func (t *Table) locate(caller netip.Addr) ([]cell, string) {
	number := t.index.Find(caller)
	if int(number) >= len(t.index.locations) {
		return t.cells[len(t.cells)-1], ""
	}
	return t.cells[number], t.index.locations[number]
}

// hashPrefix returns a hash of a caller's prefix. Callers of one /24 (IPv6: /56)
// have the same hash.
func hashPrefix(caller netip.Addr) uint64 {
	const hashMultiplier = 0x9e3779b97f4a7c15
	var prefix uint64
	switch {
	case caller.Is4():
		a := caller.As4()
		prefix = uint64(a[0])<<16 | uint64(a[1])<<8 | uint64(a[2])
	case caller.Is6():
		a := caller.As16()
		for _, b := range a[:7] {
			prefix = prefix<<8 | uint64(b)
		}
	}
	return prefix * hashMultiplier
}

func variantOf(hash uint64) int { return int(hash >> (64 - variantBits)) }

// Build computes the table for an input.
func Build(in Input) *Table {
	b := newBuilder(in)
	t := &Table{index: in.Index, workloads: map[string]int{}}
	for i, w := range in.Configuration.Workloads {
		t.workloads[w.Name] = i
	}
	locations := map[string]pollencrank.Location{}
	for _, l := range in.Configuration.Locations {
		locations[l.Name] = l
	}
	for _, name := range in.Index.Locations() {
		t.cells = append(t.cells, b.locationCells(locations[name]))
	}
	home := map[string]time.Duration{in.HomeRegion: time.Millisecond}
	t.cells = append(t.cells, b.locationCells(pollencrank.Location{Distances: home}))
	return t
}

// site is a configured site with its failure domain and region.
type site struct {
	name, failureDomain, region string
}

type builder struct {
	configuration *pollencrank.Configuration
	sites         []site
	// owners is indexed by workload, then site.
	owners map[string]map[string][]Owner
	shares map[splitKey][]pollencrank.Share
	// interned holds answers by tierKey, so that locations with the same nearest
	// sites share them.
	interned map[string]*[variants]*Answer
}

func newBuilder(in Input) *builder {
	b := &builder{
		configuration: in.Configuration,
		owners:        map[string]map[string][]Owner{},
		interned:      map[string]*[variants]*Answer{},
		shares:        sharesOf(in.Configuration.Plan),
	}
	for _, s := range Sites(in.Configuration) {
		b.sites = append(b.sites, site{s.Name, s.FailureDomain, in.Configuration.RegionOf(s.FailureDomain)})
	}
	for _, o := range in.Owners {
		if b.owners[o.Workload] == nil {
			b.owners[o.Workload] = map[string][]Owner{}
		}
		b.owners[o.Workload][o.Site] = append(b.owners[o.Workload][o.Site], o)
	}
	return b
}

// Sites returns the configured sites, and for each failure domain without a
// site one with the name of the domain.
func Sites(c *pollencrank.Configuration) []pollencrank.Site {
	sites := slices.Clone(c.Sites)
	covered := map[string]bool{}
	for _, s := range sites {
		covered[s.FailureDomain] = true
	}
	for _, d := range c.FailureDomains {
		if !covered[d.Name] {
			sites = append(sites, pollencrank.Site{Name: d.Name, FailureDomain: d.Name})
		}
	}
	return sites
}

// locationCells returns the cells of a location, by workload.
func (b *builder) locationCells(l pollencrank.Location) []cell {
	tiers := b.distanceTiers(l.Distances)
	region := b.configuration.NearestRegion(l)
	var cells []cell
	for _, w := range b.configuration.Workloads {
		cells = append(cells, cell{
			nearest: b.workloadAnswers(w.Name, tiers),
			split:   b.split(splitKey{w.Name, region}, tiers),
		})
	}
	return cells
}

// distanceTiers groups the sites into tiers of similar distance, the nearest
// first.
func (b *builder) distanceTiers(distances map[string]time.Duration) [][]site {
	type siteDistance struct {
		site
		distance time.Duration
	}
	order := make([]siteDistance, len(b.sites))
	for i, s := range b.sites {
		order[i] = siteDistance{s, distanceTo(s, distances)}
	}
	slices.SortFunc(order, func(x, y siteDistance) int {
		return cmp.Or(cmp.Compare(x.distance, y.distance), strings.Compare(x.name, y.name))
	})
	var tiers [][]site
	var tierStart time.Duration
	for _, s := range order {
		if len(tiers) == 0 || s.distance-tierStart >= tierWidth {
			tiers = append(tiers, nil)
			tierStart = s.distance
		}
		tiers[len(tiers)-1] = append(tiers[len(tiers)-1], s.site)
	}
	return tiers
}

// distanceTo returns the distance of a site: the one configured for the site
// itself, or else for its failure domain, or else for its region.
func distanceTo(s site, distances map[string]time.Duration) time.Duration {
	for _, name := range []string{s.name, s.failureDomain, s.region} {
		if d, ok := distances[name]; ok {
			return d
		}
	}
	return unknownDistance
}

// tierKey identifies a workload and the sites of a tier.
func tierKey(workload string, tier []site) string {
	var key strings.Builder
	key.WriteString(workload)
	for _, s := range tier {
		key.WriteByte(',')
		key.WriteString(s.name)
	}
	return key.String()
}

// workloadAnswers returns the answers for a workload from the nearest tier that
// has owners of the workload. The answers have no entries if no tier has
// owners.
func (b *builder) workloadAnswers(workload string, tiers [][]site) *[variants]*Answer {
	for _, tier := range tiers {
		if b.hasOwners(workload, tier) {
			return b.tierAnswers(workload, tier)
		}
	}
	return b.tierAnswers(workload, nil)
}

func (b *builder) hasOwners(workload string, tier []site) bool {
	return slices.ContainsFunc(tier, func(s site) bool { return len(b.owners[workload][s.name]) > 0 })
}

// tierAnswers returns the answers for a workload from its owners at the given
// sites.
func (b *builder) tierAnswers(workload string, sites []site) *[variants]*Answer {
	key := tierKey(workload, sites)
	if answers, ok := b.interned[key]; ok {
		return answers
	}
	var owners []Owner
	for _, s := range sites {
		owners = append(owners, b.owners[workload][s.name]...)
	}
	owners = mergeSites(owners)
	answers := &[variants]*Answer{}
	for v := range answers {
		answers[v] = &Answer{Workload: workload, Entries: selectEntries(workload, v, owners)}
	}
	b.interned[key] = answers
	return answers
}

// mergeSites sums the slots of each instance over the sites of a tier.
func mergeSites(owners []Owner) []Owner {
	var merged []Owner
	positions := map[string]int{}
	for _, o := range owners {
		if i, ok := positions[o.Instance.ID]; ok {
			merged[i].Slots += o.Slots
			continue
		}
		positions[o.Instance.ID] = len(merged)
		merged = append(merged, o)
	}
	return merged
}

// selectEntries returns up to maxEntries entries by weighted rendezvous hashing,
// so that the first choices of all variants are spread in proportion to slots.
func selectEntries(workload string, variant int, owners []Owner) []pollencrank.Instance {
	type scored struct {
		owner *Owner
		score float64
	}
	key := workload + "/" + string(rune('a'+variant))
	candidates := make([]scored, 0, len(owners))
	for i := range owners {
		o := &owners[i]
		draw := pollencrank.Uniform(pollencrank.RendezvousScore(key, o.Instance.ID))
		candidates = append(candidates, scored{o, -float64(max(o.Slots, 1)) / math.Log(draw)})
	}
	slices.SortFunc(candidates, func(x, y scored) int {
		return cmp.Or(cmp.Compare(y.score, x.score), strings.Compare(x.owner.Instance.ID, y.owner.Instance.ID))
	})
	entries := make([]pollencrank.Instance, 0, maxEntries)
	for _, c := range candidates[:min(maxEntries, len(candidates))] {
		entries = append(entries, c.owner.Instance)
	}
	return entries
}
