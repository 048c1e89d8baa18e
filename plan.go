package pollencrank

import "time"

// Plan defines to which regions the callers of each region are steered, and how
// the shares change between the times Start and Reached. Every instance
// computes the same shares from the plan and the time, without further
// messages. A plan is immutable.
type Plan struct {
	// Number increases with every plan.
	Number uint64 `json:"number"`
	// Token is the fencing token of the lease under which the plan was made.
	Token uint64 `json:"token"`
	// Start is the time at which shares begin to change, and Reached the time
	// from which each share has its value After.
	Start   time.Time `json:"start"`
	Reached time.Time `json:"reached"`
	// Shares is ordered by workload, callers and region.
	Shares []Share `json:"shares"`
	// Demands is the demand that the plan was computed for.
	Demands []Demand `json:"demands,omitempty"`
	// Reasons explains why shares change, or why a change is limited.
	Reasons []PlanReason `json:"reasons,omitempty"`
}

// Share is the part of a workload's requests from the callers of one region
// that another region serves. The shares of the same workload and callers add
// up to 1.
type Share struct {
	Workload string `json:"workload"`
	// Callers is the nearest region of the callers.
	Callers string `json:"callers"`
	// Region is the region that serves the requests.
	Region string  `json:"region"`
	Before float64 `json:"before"`
	After  float64 `json:"after"`
}

// Demand is the load that the callers of one region put on a workload, as the
// mean number of occupied slots.
type Demand struct {
	Workload string  `json:"workload"`
	Callers  string  `json:"callers"`
	Slots    float64 `json:"slots"`
}

// PlanReasonKind classifies why shares change, or why a change is limited.
type PlanReasonKind string

// Kinds of reasons.
const (
	// PlanReasonCapacity means that the nearer regions lack capacity.
	PlanReasonCapacity PlanReasonKind = "capacity"
	// PlanReasonReturn means that a nearer region has capacity again.
	PlanReasonReturn PlanReasonKind = "return"
	// PlanReasonDrain means that servers are being drained.
	PlanReasonDrain PlanReasonKind = "drain"
	// PlanReasonUnreachable means that a failure domain sends no summaries.
	PlanReasonUnreachable PlanReasonKind = "unreachable"
	// PlanReasonShiftCap means that the cap on shifts limits the step.
	PlanReasonShiftCap PlanReasonKind = "shiftCap"
	// PlanReasonRegionCap means that the receiving region limits the step.
	PlanReasonRegionCap PlanReasonKind = "regionCap"
	// PlanReasonLinkCap means that the capacity of a link limits the step.
	PlanReasonLinkCap PlanReasonKind = "linkCap"
	// PlanReasonRefused means that no region can serve part of the demand.
	PlanReasonRefused PlanReasonKind = "refused"
)

// PlanReason is one reason of a plan. Fields that do not apply are empty.
type PlanReason struct {
	Kind     PlanReasonKind `json:"kind"`
	Workload string         `json:"workload,omitempty"`
	Callers  string         `json:"callers,omitempty"`
	// Region is the name of the affected region or failure domain.
	Region string `json:"region,omitempty"`
	// Amount is a share of callers for steps, and a number of slots for
	// PlanReasonRefused.
	Amount float64 `json:"amount,omitempty"`
}

// At returns the value of a share at the time now, interpolated linearly between
// Before and After.
func (p *Plan) At(s Share, now time.Time) float64 {
	return s.Before + (s.After-s.Before)*p.Progress(now)
}

// Progress returns the completed fraction of the plan's change of shares, from 0
// to 1.
func (p *Plan) Progress(now time.Time) float64 {
	if !now.After(p.Start) {
		return 0
	}
	if !now.Before(p.Reached) {
		return 1
	}
	return float64(now.Sub(p.Start)) / float64(p.Reached.Sub(p.Start))
}
