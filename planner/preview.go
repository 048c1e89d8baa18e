package planner

import (
	"fmt"
	"slices"
	"time"

	"github.com/pollencrank/pollencrank"
)

// maxPreviewSteps is the largest number of plans that a preview computes.
const maxPreviewSteps = 200

// Preview describes how the shares would change if the demand stayed constant.
type Preview struct {
	// Steps is the number of plans. Reached is when the last plan ends.
	Steps   int       `json:"steps"`
	Reached time.Time `json:"reached"`
	// Settled is set if no share would change after these steps.
	Settled bool `json:"settled"`
	// TooFewSummaries is set if no plan is made now, because half of the failure
	// domains or more do not answer.
	TooFewSummaries bool `json:"tooFewSummaries,omitempty"`
	// Shares gives the shares before the first plan and at the end of the last.
	Shares []pollencrank.Share `json:"shares"`
	// Reasons lists the reasons of all plans without duplicates and amounts.
	Reasons []pollencrank.PlanReason `json:"reasons"`
}

// NewPreview computes successive plans until the shares no longer change or
// maxPreviewSteps is reached. It treats all given summaries as recent.
func NewPreview(in Input) Preview {
	in.Summaries = slices.Clone(in.Summaries)
	for i := range in.Summaries {
		in.Summaries[i].At = in.Now
	}
	preview := Preview{Reached: in.Now, TooFewSummaries: !hasQuorum(in)}
	previous := in.Previous
	for !preview.TooFewSummaries && preview.Steps < maxPreviewSteps {
		if previous != nil && in.Now.Before(previous.Reached) {
			in.Now = previous.Reached
		}
		for i := range in.Summaries {
			in.Summaries[i].At = in.Now
		}
		in.Previous = previous
		next, changed := Next(in)
		if !changed || (previous != nil && !changesShares(next)) {
			preview.addReasons(next.Reasons)
			preview.Settled = true
			break
		}
		preview.add(next)
		previous = &next
	}
	return preview
}

// add appends a plan to the preview.
func (p *Preview) add(plan pollencrank.Plan) {
	p.Steps++
	p.Reached = plan.Reached
	p.addReasons(plan.Reasons)
	for _, s := range plan.Shares {
		p.addShare(s)
	}
}

func (p *Preview) addShare(s pollencrank.Share) {
	for i := range p.Shares {
		existing := &p.Shares[i]
		if existing.Workload == s.Workload && existing.Callers == s.Callers && existing.Region == s.Region {
			existing.After = s.After
			return
		}
	}
	p.Shares = append(p.Shares, s)
}

func (p *Preview) addReasons(reasons []pollencrank.PlanReason) {
	for _, r := range reasons {
		r.Amount = 0
		recorded := false
		for _, other := range p.Reasons {
			recorded = recorded || other == r
		}
		if !recorded {
			p.Reasons = append(p.Reasons, r)
		}
	}
}

// DrainError reports why a drain is refused.
type DrainError struct {
	Target   pollencrank.DrainTarget
	Workload string
	// Left is the number of slots that would remain for the workload. Needed is
	// the number of slots that its callers keep busy.
	Left   float64
	Needed float64
	// EarliestStart is set if the drain starts before the callers of the drained
	// servers can be moved under the cap on shifts.
	EarliestStart time.Time
}

// Error implements error.
func (e *DrainError) Error() string {
	if !e.EarliestStart.IsZero() {
		return fmt.Sprintf("draining %s %s leaves the callers of its region without %s: moving them under the cap on shifts takes until %s",
			e.Target.Kind, e.Target.Name, e.Workload, e.EarliestStart.UTC().Format(time.RFC3339))
	}
	return fmt.Sprintf("draining %s %s leaves %.0f slots for %s, of which %.1f are needed",
		e.Target.Kind, e.Target.Name, e.Left, e.Workload, e.Needed)
}

// CheckDrain returns a DrainError if the drains of a configuration, which include
// the given one, leave a workload with no or too few slots, or if the drain starts
// before its callers can be moved. The demand is taken from the plan in force.
func CheckDrain(c *pollencrank.Configuration, drain pollencrank.Drain, now time.Time) error {
	before, after := remainingSlots(c, &drain), remainingSlots(c, nil)
	for _, w := range c.Workloads {
		if err := checkCapacity(c, drain, w.Name, before, after); err != nil {
			return err
		}
		if err := checkStart(c, drain, w.Name, before, after, now); err != nil {
			return err
		}
	}
	return nil
}

// remainingSlots returns the slots that remain after all drains have started. If
// except is not nil, that drain is ignored.
func remainingSlots(c *pollencrank.Configuration, except *pollencrank.Drain) map[poolKey]float64 {
	drained := *c
	drained.Drains = nil
	latest := time.Time{}
	for _, d := range c.Drains {
		if except != nil && d.Target() == except.Target() {
			continue
		}
		drained.Drains = append(drained.Drains, d)
		if d.Start.After(latest) {
			latest = d.Start
		}
	}
	remaining := map[poolKey]float64{}
	for _, s := range c.Servers {
		if !drained.IsDraining(s, latest) {
			remaining[poolKey{s.Workload, c.RegionOf(s.FailureDomain)}] += float64(s.Slots)
		}
	}
	return remaining
}

func checkCapacity(c *pollencrank.Configuration, drain pollencrank.Drain, workload string, before, after map[poolKey]float64) error {
	var previous, remaining, needed float64
	for _, r := range c.Regions {
		previous += before[poolKey{workload, r.Name}]
		remaining += after[poolKey{workload, r.Name}]
	}
	if c.Plan != nil {
		for _, d := range c.Plan.Demands {
			if d.Workload == workload {
				needed += d.Slots
			}
		}
	}
	if remaining < previous && (remaining == 0 || remaining*targetUtilization < needed) {
		return &DrainError{Target: drain.Target(), Workload: workload, Left: remaining, Needed: needed}
	}
	return nil
}

// checkStart refuses a drain that removes the last servers of a workload in a
// region before plans can have moved the callers that the region serves.
func checkStart(c *pollencrank.Configuration, drain pollencrank.Drain, workload string, before, after map[poolKey]float64, now time.Time) error {
	if c.Plan == nil {
		return nil
	}
	earliest := now.Add(ShiftTime(c.Preset()))
	for _, s := range c.Plan.Shares {
		pool := poolKey{s.Workload, s.Region}
		emptied := s.Workload == workload && before[pool] > 0 && after[pool] == 0
		if emptied && s.After > 0 && drain.Start.Before(earliest) {
			return &DrainError{Target: drain.Target(), Workload: workload, EarliestStart: earliest}
		}
	}
	return nil
}
