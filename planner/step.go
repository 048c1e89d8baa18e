package planner

import (
	"slices"

	"github.com/pollencrank/pollencrank"
)

// linkKey identifies one direction of the link between two regions.
type linkKey struct{ from, to string }

// computeShares computes the shares at the end of this plan.
func (p *planBuilder) computeShares() {
	for _, domain := range p.stats.unreachable {
		p.addReason(pollencrank.PlanReasonUnreachable, flowKey{}, domain, 0)
	}
	target := p.targetShares()
	linkHeadroom := p.computeLinkHeadroom(p.before)
	for _, w := range p.workloads() {
		p.moveWorkload(w, target, linkHeadroom)
	}
}

// workloads returns the names of the workloads, the most urgent first.
func (p *planBuilder) workloads() []string {
	var names []string
	for _, flow := range p.flows() {
		if !slices.Contains(names, flow.workload) {
			names = append(names, flow.workload)
		}
	}
	return names
}

// targetShares returns the shares that successive plans converge to: each region
// serves its own callers, and demand beyond its capacity goes to the nearest
// regions with spare capacity.
func (p *planBuilder) targetShares() map[flowKey]map[string]float64 {
	target := map[flowKey]map[string]float64{}
	linkHeadroom := p.computeLinkHeadroom(nil)
	for _, w := range p.workloads() {
		headroom := map[string]float64{}
		for _, region := range p.regions {
			slots := p.stats.usable[poolKey{w, region}] * targetUtilization
			own := min(slots, p.stats.demand[flowKey{w, region}])
			headroom[region] = min(slots-own, p.foreignSlots(w, region))
		}
		for _, region := range p.regions {
			target[flowKey{w, region}] = p.targetFlowShares(flowKey{w, region}, headroom, linkHeadroom)
		}
	}
	return target
}

// foreignSlots returns the slots of a region that callers of other regions may
// use.
func (p *planBuilder) foreignSlots(workload, region string) float64 {
	share := p.in.Configuration.Preset().ForeignShare
	return share * p.stats.usable[poolKey{workload, region}]
}

// targetFlowShares distributes the demand of one flow over the regions and
// subtracts the allocated capacity from headroom and linkHeadroom.
func (p *planBuilder) targetFlowShares(flow flowKey, headroom map[string]float64, linkHeadroom map[linkKey]float64) map[string]float64 {
	demand := p.stats.demand[flow]
	usable := p.stats.usable[poolKey{flow.workload, flow.callers}]
	if demand == 0 {
		return map[string]float64{p.nearestUsable(flow): 1}
	}
	served := min(usable*targetUtilization, demand)
	shares := map[string]float64{}
	if served > 0 {
		shares[flow.callers] = served / demand
	}
	rest := demand - served
	for _, region := range p.regionOrder[flow.callers] {
		if region == flow.callers || rest <= 0 {
			continue
		}
		taken := min(rest, max(0, headroom[region]), p.slotsWithinLinks(flow, region, linkHeadroom))
		if taken <= 0 {
			continue
		}
		headroom[region] -= taken
		p.reserveLinks(flow, region, taken, linkHeadroom)
		shares[region] += taken / demand
		rest -= taken
	}
	if rest > roundingError*demand {
		// Demand that no region can serve stays in the callers' region, which refuses
		// it by rank.
		shares[flow.callers] += rest / demand
		if refused := rest - usable*(1-targetUtilization); refused > roundingError {
			p.addReason(pollencrank.PlanReasonRefused, flow, flow.callers, refused)
		}
	}
	return shares
}

func (p *planBuilder) nearestUsable(flow flowKey) string {
	for _, region := range p.regionOrder[flow.callers] {
		if p.stats.usable[poolKey{flow.workload, region}] > 0 {
			return region
		}
	}
	return p.nearestServing(flow)
}

// computeLinkHeadroom returns the bytes a second that remain on each link with a
// limit after the traffic of the given shares.
func (p *planBuilder) computeLinkHeadroom(shares map[flowKey]map[string]float64) map[linkKey]float64 {
	const bytesPerMegabit = 1e6 / 8
	headroom := map[linkKey]float64{}
	for _, l := range p.in.Configuration.Links {
		free := l.LimitMegabitsPerSec * bytesPerMegabit * targetLinkUtilization
		headroom[linkKey{l.From, l.To}] = free
		headroom[linkKey{l.To, l.From}] = free
	}
	for flow, regions := range shares {
		for region, share := range regions {
			p.reserveLinks(flow, region, share*p.stats.demand[flow], headroom)
		}
	}
	return headroom
}

// reserveLinks subtracts the traffic of a number of busy slots from the headroom
// of the links between the callers and the region.
func (p *planBuilder) reserveLinks(flow flowKey, region string, slots float64, headroom map[linkKey]float64) {
	for key, perSlot := range p.linkBytesPerSlot(flow, region) {
		if free, limited := headroom[key]; limited {
			headroom[key] = free - slots*perSlot
		}
	}
}

// linkBytesPerSlot returns the bytes a second that one busy slot sends over each
// link.
func (p *planBuilder) linkBytesPerSlot(flow flowKey, region string) map[linkKey]float64 {
	if region == flow.callers {
		return nil
	}
	return map[linkKey]float64{
		{flow.callers, region}: p.stats.requestBytes[flow.workload],
		{region, flow.callers}: p.stats.answerBytes[flow.workload],
	}
}

// slotsWithinLinks returns the number of busy slots whose traffic fits on the
// links, at most the flow's demand.
func (p *planBuilder) slotsWithinLinks(flow flowKey, region string, headroom map[linkKey]float64) float64 {
	slots := p.stats.demand[flow]
	for key, perSlot := range p.linkBytesPerSlot(flow, region) {
		if free, limited := headroom[key]; limited && perSlot > 0 {
			slots = min(slots, max(0, free)/perSlot)
		}
	}
	return slots
}

// moveWorkload moves the shares of a workload towards the target as far as the
// caps allow.
func (p *planBuilder) moveWorkload(workload string, target map[flowKey]map[string]float64, linkHeadroom map[linkKey]float64) {
	deltas := map[flowKey]map[string]float64{}
	increase := map[string]float64{}
	for _, callers := range p.regions {
		flow := flowKey{workload, callers}
		deltas[flow] = p.cappedDeltas(flow, target[flow])
		for region, delta := range deltas[flow] {
			increase[region] += max(0, delta) * p.stats.demand[flow]
		}
	}
	factors := p.regionFactors(workload, increase)
	for _, callers := range p.regions {
		flow := flowKey{workload, callers}
		p.after[flow] = p.applyStep(flow, deltas[flow], p.flowFactor(flow, deltas[flow], factors, linkHeadroom))
		for _, region := range p.regions {
			if growth := p.after[flow][region] - p.before[flow][region]; growth > 0 {
				p.reserveLinks(flow, region, growth*p.stats.demand[flow], linkHeadroom)
			}
		}
	}
}

// cappedDeltas returns the changes of one flow's shares, limited by the cap on
// shifts. It returns nil for a change below the hysteresis, unless the target is
// a single region.
func (p *planBuilder) cappedDeltas(flow flowKey, target map[string]float64) map[string]float64 {
	deltas := map[string]float64{}
	moved := 0.0
	for _, region := range p.regions {
		delta := target[region] - p.before[flow][region]
		deltas[region] = delta
		moved += max(0, delta)
	}
	if moved < hysteresis && !(moved > 0 && p.isSingleRegion(target)) {
		return nil
	}
	p.addMoveReasons(flow, deltas)
	if moved <= p.maxStep {
		return deltas
	}
	p.addReason(pollencrank.PlanReasonShiftCap, flow, "", p.maxStep)
	for region := range deltas {
		deltas[region] *= p.maxStep / moved
	}
	return deltas
}

// isSingleRegion reports whether the target is one region for all callers. The
// last step to it is made however small it is; otherwise the hysteresis would
// leave a small share of the callers in another region permanently.
func (p *planBuilder) isSingleRegion(target map[string]float64) bool {
	for _, share := range target {
		if share > 1-roundingError {
			return true
		}
	}
	return false
}

// addMoveReasons records why shares move.
func (p *planBuilder) addMoveReasons(flow flowKey, deltas map[string]float64) {
	for _, region := range p.regions {
		delta := deltas[region]
		if delta <= roundingError {
			continue
		}
		kind := pollencrank.PlanReasonCapacity
		switch {
		case region == flow.callers:
			kind = pollencrank.PlanReasonReturn
		case p.leavesDraining(flow, deltas):
			kind = pollencrank.PlanReasonDrain
		}
		p.addReason(kind, flow, region, delta)
	}
}

func (p *planBuilder) leavesDraining(flow flowKey, deltas map[string]float64) bool {
	for region, delta := range deltas {
		if delta < 0 && p.stats.draining[poolKey{flow.workload, region}] {
			return true
		}
	}
	return false
}

// regionFactors returns the fraction of the wanted increase that each region
// admits. A region's free slots exclude all demand that it serves before this
// step: instances that still follow the previous plan may keep sending demand
// that this step moves away.
func (p *planBuilder) regionFactors(workload string, increase map[string]float64) map[string]float64 {
	factors := map[string]float64{}
	for _, region := range p.regions {
		usable := p.stats.usable[poolKey{workload, region}]
		free := usable * targetUtilization
		for _, callers := range p.regions {
			flow := flowKey{workload, callers}
			free -= p.before[flow][region] * p.stats.demand[flow]
		}
		// The increase is limited because caches are cold for requests that are
		// new to a region.
		free = min(free, usable*p.maxStep)
		factors[region] = factor(free, increase[region])
	}
	return factors
}

func factor(free, wanted float64) float64 {
	if wanted <= 0 || free >= wanted {
		return 1
	}
	return max(0, free) / wanted
}

// flowFactor returns the fraction of a flow's step that regions and links admit.
func (p *planBuilder) flowFactor(flow flowKey, deltas, factors map[string]float64, linkHeadroom map[linkKey]float64) float64 {
	result := 1.0
	for _, region := range p.regions {
		if deltas[region] <= 0 {
			continue
		}
		if factors[region] < 1 {
			p.addReason(pollencrank.PlanReasonRegionCap, flow, region, deltas[region]*factors[region])
		}
		result = min(result, factors[region])
		slots := deltas[region] * p.stats.demand[flow]
		if free := p.slotsWithinLinks(flow, region, linkHeadroom); free < slots {
			p.addReason(pollencrank.PlanReasonLinkCap, flow, region, deltas[region]*free/slots)
			result = min(result, free/slots)
		}
	}
	return result
}

// applyStep returns the shares of a flow after a fraction of a step.
func (p *planBuilder) applyStep(flow flowKey, deltas map[string]float64, fraction float64) map[string]float64 {
	after := map[string]float64{}
	for _, region := range p.regions {
		share := p.before[flow][region] + fraction*deltas[region]
		switch {
		case share > 1-roundingError:
			after[region] = 1
		case share > roundingError:
			after[region] = share
		}
	}
	return after
}
