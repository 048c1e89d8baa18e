package planner_test

import (
	"fmt"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pollencrank/pollencrank"
	_ "github.com/pollencrank/pollencrank/internal/seeded"
	"github.com/pollencrank/pollencrank/planner"
)

var start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

const (
	// slack is the tolerance for rounding errors in sums.
	slack = 1e-6
	// slotSlack is the tolerance for the rounding of the demand in plans, in slots.
	slotSlack = 1e-3
	// targetUtilization and targetLinkUtilization repeat the documented targets of
	// plans.
	targetUtilization     = 0.85
	targetLinkUtilization = 0.8
	bytesPerMegabit       = 1e6 / 8
)

// fleet is a simulated fleet that provides the planner's input.
type fleet struct {
	configuration *pollencrank.Configuration
	// demand is in slots, by workload and callers.
	demand map[string]map[string]float64
	// unreachable marks the failure domains that send no summaries.
	unreachable map[string]bool
}

func region(i int) string { return fmt.Sprintf("region-%d", i) }

// newFleet returns a fleet whose regions have two failure domains each, with one
// server of each workload in each failure domain.
func newFleet(regions, workloads, slots int) *fleet {
	c := &pollencrank.Configuration{
		PresetInForce: "ordinary",
		Presets:       []pollencrank.Preset{{Name: "ordinary", ForeignShare: 0.5, ShiftShare: 0.3, ShiftInterval: 30 * time.Second}},
	}
	f := &fleet{configuration: c, demand: map[string]map[string]float64{}, unreachable: map[string]bool{}}
	for r := range regions {
		c.Regions = append(c.Regions, pollencrank.Region{Name: region(r)})
		distances := map[string]time.Duration{}
		for other := range regions {
			distances[region(other)] = time.Millisecond + 30*time.Millisecond*time.Duration((other-r+regions)%regions)
		}
		c.Locations = append(c.Locations, pollencrank.Location{Name: "at-" + region(r), Distances: distances})
		for d := range 2 {
			domain := fmt.Sprintf("%s-%d", region(r), d)
			c.FailureDomains = append(c.FailureDomains, pollencrank.FailureDomain{Name: domain, Region: region(r)})
			for n := range workloads {
				c.Servers = append(c.Servers, pollencrank.Server{
					Name: fmt.Sprintf("%s-%s", workload(n), domain), Workload: workload(n), FailureDomain: domain, Slots: slots,
				})
			}
		}
	}
	for n := range workloads {
		c.Workloads = append(c.Workloads, pollencrank.Workload{Name: workload(n), Rank: pollencrank.Ranks()[n%pollencrank.RankCount]})
		f.demand[workload(n)] = map[string]float64{}
	}
	return f
}

func workload(n int) string { return fmt.Sprintf("workload-%d", n) }

const (
	slotTime     = 100 * time.Millisecond
	answerBytes  = 50_000.0
	requestBytes = 1_000.0
)

// summaries returns the summaries of the reachable failure domains. The summary
// of the first one reports the whole demand.
func (f *fleet) summaries(now time.Time) []planner.Summary {
	var summaries []planner.Summary
	for _, d := range f.configuration.FailureDomains {
		if f.unreachable[d.Name] {
			continue
		}
		s := planner.Summary{FailureDomain: d.Name, At: now}
		for _, load := range f.configuration.Workloads {
			ws := planner.WorkloadSummary{Workload: load.Name, SlotTime: slotTime, AnswerBytes: answerBytes, RequestBytes: requestBytes}
			for _, server := range f.configuration.Servers {
				if server.FailureDomain == d.Name && server.Workload == load.Name {
					ws.Slots += float64(server.Slots)
				}
			}
			if len(summaries) == 0 {
				for callers, slots := range f.demand[load.Name] {
					ws.Arrivals = append(ws.Arrivals, planner.Arrivals{Callers: callers, PerSecond: slots / slotTime.Seconds()})
				}
			}
			s.Workloads = append(s.Workloads, ws)
		}
		summaries = append(summaries, s)
	}
	return summaries
}

func (f *fleet) next(previous *pollencrank.Plan, now time.Time) (pollencrank.Plan, bool) {
	return planner.Next(planner.Input{Now: now, Configuration: f.configuration, Previous: previous, Summaries: f.summaries(now), Token: 1})
}

// settle computes plans until the shares no longer change and returns the last
// plan.
func (f *fleet) settle(t require.TestingT, previous *pollencrank.Plan) *pollencrank.Plan {
	now := start
	if previous != nil {
		now = previous.Reached
	}
	const maxPlans = 60
	for range maxPlans {
		plan, changed := f.next(previous, now)
		if !changed {
			return previous
		}
		previous, now = &plan, plan.Reached
	}
	require.Fail(t, "the shares still change after the last plan")
	return nil
}

func share(plan *pollencrank.Plan, workload, callers, region string) float64 {
	for _, s := range plan.Shares {
		if s.Workload == workload && s.Callers == callers && s.Region == region {
			return s.After
		}
	}
	return 0
}

func hasReason(plan *pollencrank.Plan, kind pollencrank.PlanReasonKind) bool {
	for _, r := range plan.Reasons {
		if r.Kind == kind {
			return true
		}
	}
	return false
}

// drawFleet draws a topology, a preset, drains, unreachable domains and demand.
func drawFleet(t *rapid.T) *fleet {
	f := newFleet(rapid.IntRange(2, 5).Draw(t, "regions"), rapid.IntRange(1, 4).Draw(t, "workloads"), rapid.IntRange(1, 40).Draw(t, "slots"))
	c := f.configuration
	c.Presets[0].ForeignShare = rapid.Float64Range(0, 1).Draw(t, "foreign")
	c.Presets[0].ShiftShare = rapid.Float64Range(0.01, 1).Draw(t, "cap")
	c.Presets[0].SpareDomain = rapid.Bool().Draw(t, "spare")
	for i := range c.Regions {
		for j := range i {
			if rapid.Bool().Draw(t, "limited") {
				c.Links = append(c.Links, pollencrank.Link{From: region(j), To: region(i), LimitMegabitsPerSec: rapid.Float64Range(1, 200).Draw(t, "link")})
			}
		}
	}
	f.redraw(t)
	return f
}

// redraw draws new demand, drains and unreachable domains.
func (f *fleet) redraw(t *rapid.T) {
	c := f.configuration
	for _, load := range c.Workloads {
		for _, r := range c.Regions {
			f.demand[load.Name][r.Name] = rapid.Float64Range(0, 150).Draw(t, "demand")
		}
	}
	c.Drains = nil
	for _, s := range c.Servers {
		if rapid.IntRange(0, 7).Draw(t, "drain") == 0 {
			c.Drains = append(c.Drains, pollencrank.Drain{Server: s.Name, Start: start})
		}
	}
	f.unreachable = map[string]bool{}
	for _, d := range c.FailureDomains {
		f.unreachable[d.Name] = rapid.IntRange(0, 7).Draw(t, "down") == 0
	}
}

// usable computes the usable slots from their definition: without draining
// servers, unreachable domains and the spare domain.
func (f *fleet) usable(workload, region string) float64 {
	total, largest, domains := 0.0, 0.0, map[string]float64{}
	for _, s := range f.configuration.Servers {
		if s.Workload != workload || f.configuration.RegionOf(s.FailureDomain) != region {
			continue
		}
		if !f.configuration.IsDraining(s, start) {
			domains[s.FailureDomain] += 0
			if !f.unreachable[s.FailureDomain] {
				domains[s.FailureDomain] += float64(s.Slots)
			}
		}
	}
	for _, slots := range domains {
		total += slots
		largest = max(largest, slots)
	}
	if f.configuration.Preset().SpareDomain && len(domains) > 1 {
		total -= largest
	}
	return total
}

// checkMix checks the caps while some instances follow a plan and others the
// previous one: every share may have either value or any value in between.
func (f *fleet) checkMix(t *rapid.T, plan pollencrank.Plan) {
	type key struct{ workload, region string }
	largest, before, growing := map[key]float64{}, map[key]float64{}, map[key]bool{}
	totals, moved, gained := map[key]float64{}, map[key]float64{}, map[key]float64{}
	linkLargest, linkBefore := map[key]float64{}, map[key]float64{}
	for _, s := range plan.Shares {
		require.GreaterOrEqual(t, s.After, 0.0)
		at, from := key{s.Workload, s.Region}, key{s.Workload, s.Callers}
		demand := f.demand[s.Workload][s.Callers]
		largest[at] += demand * max(s.Before, s.After)
		before[at] += demand * s.Before
		gained[at] += demand * max(0, s.After-s.Before)
		growing[at] = growing[at] || demand*(s.After-s.Before) > slack
		totals[from] += s.After
		moved[from] += max(0, s.After-s.Before)
		if s.Region != s.Callers {
			perSlot := 1 / slotTime.Seconds()
			linkLargest[key{s.Callers, s.Region}] += demand * max(s.Before, s.After) * requestBytes * perSlot
			linkLargest[key{s.Region, s.Callers}] += demand * max(s.Before, s.After) * answerBytes * perSlot
			linkBefore[key{s.Callers, s.Region}] += demand * s.Before * requestBytes * perSlot
			linkBefore[key{s.Region, s.Callers}] += demand * s.Before * answerBytes * perSlot
		}
	}
	for from, total := range totals {
		require.InDelta(t, 1, total, slack, "shares of %v", from)
		require.LessOrEqual(t, moved[from], f.configuration.Preset().ShiftShare/planner.StepsPerCap+slack, "step of %v", from)
	}
	step := f.configuration.Preset().ShiftShare / planner.StepsPerCap
	for at := range growing {
		require.LessOrEqual(t, gained[at], f.usable(at.workload, at.region)*step+slotSlack, "additional demand at %v", at)
		if growing[at] {
			require.LessOrEqual(t, largest[at], f.usable(at.workload, at.region)*targetUtilization+slotSlack, "demand at %v", at)
		}
	}
	for _, l := range f.configuration.Links {
		for _, k := range []key{{l.From, l.To}, {l.To, l.From}} {
			limit := l.LimitMegabitsPerSec * bytesPerMegabit * targetLinkUtilization
			require.LessOrEqual(t, linkLargest[k], max(limit, linkBefore[k])+slotSlack*answerBytes/slotTime.Seconds(), "link %v", k)
		}
	}
}

// adoptDemand sets the demand to that for which a plan was made. While failure
// domains are unreachable it may be larger than the demand in the summaries.
func (f *fleet) adoptDemand(plan pollencrank.Plan) {
	for _, d := range plan.Demands {
		f.demand[d.Workload][d.Callers] = d.Slots
	}
}
