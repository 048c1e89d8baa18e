// Package planner computes how the requests of each region's callers are
// distributed over the regions.
//
// A plan is a pure function of the configuration, the summaries of the failure
// domains and the previous plan. It gives the shares at a start and an end time,
// between which instances interpolate: every instance follows the plan without
// further messages, and the failure of the planner changes no shares.
//
// A step is safe while some instances follow the new plan and others still the
// previous one: each region and link must have capacity for the larger of the
// two shares of all callers. One step moves at most a third of the cap on shifts
// and takes half of the cap's interval, so that an instance that lags by a
// generation also stays within the cap.
//
// # Usage
//
//	next, changed := planner.Next(planner.Input{
//		Now:           now,
//		Configuration: configuration,
//		Summaries:     summaries,
//		Previous:      configuration.Plan,
//		Token:         lease.Token,
//	})
package planner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pollencrank/pollencrank"
)

const (
	// DefaultLead is the time from the computation of a plan to its start,
	// during which the plan propagates to all instances.
	DefaultLead = 5 * time.Second
	// SummaryLifetime is the age from which a summary is ignored.
	SummaryLifetime = 30 * time.Second
	// StepsPerCap is the number of steps that together move as much as the cap
	// on shifts allows. An instance that lags can make that many steps within
	// one interval.
	StepsPerCap = 3
	// stepsPerInterval is the number of steps that start in one interval of the
	// cap on shifts.
	stepsPerInterval = 2
	// targetUtilization is the largest share of a region's usable slots that
	// plans allocate.
	targetUtilization = 0.85
	// targetLinkUtilization is the largest share of a link's limit that plans
	// allocate.
	targetLinkUtilization = 0.8
	// hysteresis is the smallest total change of a flow's shares for which a
	// plan is made.
	hysteresis = 0.02
)

// Summary holds the load and the capacity that a failure domain reported.
type Summary struct {
	FailureDomain string
	At            time.Time
	Workloads     []WorkloadSummary
}

// WorkloadSummary is the part of a Summary that concerns one workload.
type WorkloadSummary struct {
	Workload string
	// Slots is the number of slots usable now; the slots of cold servers count
	// in part.
	Slots float64
	// SlotTime is the mean time for which a request occupies a slot.
	SlotTime time.Duration
	// RequestBytes and AnswerBytes are the mean sizes of a request and of an
	// answer.
	RequestBytes float64
	AnswerBytes  float64
	// Arrivals are the request rates by the region of the callers.
	Arrivals []Arrivals
}

// Arrivals is the request rate of one region's callers. Callers names the
// region.
type Arrivals struct {
	Callers   string
	PerSecond float64
}

// Input is the data from which Next computes a plan.
type Input struct {
	Now           time.Time
	Configuration *pollencrank.Configuration
	Summaries     []Summary
	Previous      *pollencrank.Plan
	// Token is the fencing token of the planner's lease.
	Token uint64
	// Lead is the time from Now to the plan's start. The default is DefaultLead.
	Lead time.Duration
}

// flowKey identifies a flow: the requests of one workload from the callers of
// one region.
type flowKey struct {
	workload string
	callers  string
}

// planBuilder computes one plan.
type planBuilder struct {
	in      Input
	stats   *statistics
	regions []string
	// regionOrder lists, for the callers of a region, all regions by distance.
	regionOrder map[string][]string
	before      map[flowKey]map[string]float64
	after       map[flowKey]map[string]float64
	reasons     []pollencrank.PlanReason
	maxStep     float64
}

// Next returns the plan that succeeds the previous one. It returns the previous
// plan and false if no new plan is needed or if none can be made now.
func Next(in Input) (pollencrank.Plan, bool) {
	if in.Lead <= 0 {
		in.Lead = DefaultLead
	}
	var previous pollencrank.Plan
	if in.Previous != nil {
		previous = *in.Previous
	}
	if in.Now.Before(previous.Reached) || !hasQuorum(in) {
		return previous, false
	}
	p := newPlanBuilder(in)
	p.computeShares()
	next := p.build(previous)
	if in.Previous != nil && !changesShares(next) && sameReasons(next.Reasons, previous.Reasons) {
		return previous, false
	}
	return next, true
}

// Follows reports whether a plan may replace the previous one: the plan was
// computed from the previous plan, under a lease that is not older, and starts
// after the previous plan has reached its shares.
func Follows(next pollencrank.Plan, previous *pollencrank.Plan) bool {
	if previous == nil {
		return next.Number == 1
	}
	return next.Number == previous.Number+1 && next.Token >= previous.Token && next.Start.After(previous.Reached)
}

// changesShares reports whether a plan changes any share.
func changesShares(plan pollencrank.Plan) bool {
	return slices.ContainsFunc(plan.Shares, func(s pollencrank.Share) bool {
		return math.Abs(s.After-s.Before) > roundingError
	})
}

// sameReasons compares reasons without their amounts, which vary with every
// measurement of the demand.
func sameReasons(a, b []pollencrank.PlanReason) bool {
	return slices.EqualFunc(a, b, func(x, y pollencrank.PlanReason) bool {
		x.Amount, y.Amount = 0, 0
		return x == y
	})
}

// hasQuorum reports whether more than half of the failure domains have a recent
// summary. Without a quorum the planner itself may be partitioned from the rest.
func hasQuorum(in Input) bool {
	fresh := 0
	for _, s := range in.Summaries {
		if isFresh(s, in.Now) {
			fresh++
		}
	}
	return 2*fresh > len(in.Configuration.FailureDomains)
}

func isFresh(s Summary, now time.Time) bool { return now.Sub(s.At) < SummaryLifetime }

func newPlanBuilder(in Input) *planBuilder {
	share, _ := in.Configuration.Preset().ShiftCap()
	p := &planBuilder{
		in:          in,
		regionOrder: map[string][]string{},
		before:      map[flowKey]map[string]float64{},
		after:       map[flowKey]map[string]float64{},
		maxStep:     share / StepsPerCap,
	}
	for _, r := range in.Configuration.Regions {
		p.regions = append(p.regions, r.Name)
	}
	slices.Sort(p.regions)
	p.stats = newStatistics(in)
	for _, r := range p.regions {
		p.regionOrder[r] = regionsByDistance(in.Configuration, r)
	}
	p.readPrevious()
	return p
}

// regionsByDistance returns the regions in the order of their mean distance from
// the callers of one region. The callers' own region comes first.
func regionsByDistance(c *pollencrank.Configuration, callers string) []string {
	sums := map[string]time.Duration{}
	counts := map[string]time.Duration{}
	for _, l := range c.Locations {
		if c.NearestRegion(l) != callers {
			continue
		}
		for _, r := range c.Regions {
			if d, ok := l.Distances[r.Name]; ok {
				sums[r.Name] += d
				counts[r.Name]++
			}
		}
	}
	distance := func(region string) time.Duration {
		const unknown = time.Hour
		switch {
		case region == callers:
			return -1
		case counts[region] == 0:
			return unknown
		default:
			return sums[region] / counts[region]
		}
	}
	var order []string
	for _, r := range c.Regions {
		order = append(order, r.Name)
	}
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(cmp.Compare(distance(a), distance(b)), cmp.Compare(a, b))
	})
	return order
}

// readPrevious copies the shares of the previous plan. A flow without shares in
// the previous plan is served by the nearest region that has servers.
func (p *planBuilder) readPrevious() {
	if p.in.Previous != nil {
		for _, s := range p.in.Previous.Shares {
			if !slices.Contains(p.regions, s.Region) || s.After == 0 {
				continue
			}
			flow := flowKey{s.Workload, s.Callers}
			if p.before[flow] == nil {
				p.before[flow] = map[string]float64{}
			}
			p.before[flow][s.Region] = s.After
		}
	}
	for _, flow := range p.flows() {
		if total := sum(p.before[flow]); total > 0 {
			normalize(p.before[flow], total)
			continue
		}
		p.before[flow] = map[string]float64{p.nearestServing(flow): 1}
	}
}

// normalize scales shares so that they add up to 1. They may add up to less,
// because regions may have been removed since the previous plan.
func normalize(shares map[string]float64, total float64) {
	if math.Abs(total-1) < roundingError {
		return
	}
	for region := range shares {
		shares[region] /= total
	}
}

func sum(shares map[string]float64) float64 {
	total := 0.0
	for _, name := range sortedKeys(shares) {
		total += shares[name]
	}
	return total
}

// nearestServing returns the region nearest to the callers that has servers of
// the workload, or the callers' region if there is none.
func (p *planBuilder) nearestServing(flow flowKey) string {
	for _, region := range p.regionOrder[flow.callers] {
		if p.stats.configured[poolKey{flow.workload, region}] > 0 {
			return region
		}
	}
	return flow.callers
}

// flows returns all flows, those of the most urgent workloads first.
func (p *planBuilder) flows() []flowKey {
	workloads := slices.Clone(p.in.Configuration.Workloads)
	slices.SortStableFunc(workloads, func(a, b pollencrank.Workload) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Name, b.Name))
	})
	var flows []flowKey
	for _, w := range workloads {
		for _, region := range p.regions {
			flows = append(flows, flowKey{w.Name, region})
		}
	}
	return flows
}

// addReason records why a share changes or cannot change.
func (p *planBuilder) addReason(kind pollencrank.PlanReasonKind, flow flowKey, region string, amount float64) {
	p.reasons = append(p.reasons, pollencrank.PlanReason{
		Kind: kind, Workload: flow.workload, Callers: flow.callers, Region: region, Amount: round(amount),
	})
}

// build returns the plan with the computed shares.
func (p *planBuilder) build(previous pollencrank.Plan) pollencrank.Plan {
	_, interval := p.in.Configuration.Preset().ShiftCap()
	start := p.in.Now.Add(p.in.Lead)
	next := pollencrank.Plan{
		Number:  previous.Number + 1,
		Token:   p.in.Token,
		Start:   start,
		Reached: start.Add(interval / stepsPerInterval),
		Reasons: p.reasons,
	}
	flows := p.flows()
	slices.SortFunc(flows, func(a, b flowKey) int {
		return cmp.Or(cmp.Compare(a.workload, b.workload), cmp.Compare(a.callers, b.callers))
	})
	for _, flow := range flows {
		for _, region := range p.regions {
			before, after := p.before[flow][region], p.after[flow][region]
			if before == 0 && after == 0 {
				continue
			}
			next.Shares = append(next.Shares, pollencrank.Share{
				Workload: flow.workload, Callers: flow.callers, Region: region, Before: before, After: after,
			})
		}
		if slots := p.stats.demand[flow]; slots > 0 {
			next.Demands = append(next.Demands, pollencrank.Demand{Workload: flow.workload, Callers: flow.callers, Slots: round(slots)})
		}
	}
	return next
}
