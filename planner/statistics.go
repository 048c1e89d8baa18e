package planner

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pollencrank/pollencrank"
)

// poolKey identifies the servers of a workload in a region.
type poolKey struct {
	workload string
	region   string
}

// statistics aggregates the summaries over the fleet.
type statistics struct {
	// configured and usable count slots; usable excludes draining servers,
	// unreachable failure domains and the failure domain that the preset keeps
	// spare.
	configured map[poolKey]float64
	usable     map[poolKey]float64
	demand     map[flowKey]float64
	// requestBytes and answerBytes are bytes a second per busy slot, by workload.
	requestBytes map[string]float64
	answerBytes  map[string]float64
	// draining marks pools with servers that are being drained or will be within
	// ShiftTime.
	draining    map[poolKey]bool
	unreachable []string
}

func newStatistics(in Input) *statistics {
	s := &statistics{
		configured:   map[poolKey]float64{},
		usable:       map[poolKey]float64{},
		demand:       map[flowKey]float64{},
		requestBytes: map[string]float64{},
		answerBytes:  map[string]float64{},
		draining:     map[poolKey]bool{},
	}
	fresh := freshSummaries(in)
	s.addCapacity(in, fresh)
	for _, w := range in.Configuration.Workloads {
		s.addDemand(in, w.Name, fresh)
	}
	if len(s.unreachable) > 0 && in.Previous != nil {
		s.retainDemand(in.Previous)
	}
	return s
}

// freshSummaries returns the latest summary of each failure domain that is
// younger than SummaryLifetime.
func freshSummaries(in Input) map[string]Summary {
	fresh := map[string]Summary{}
	for _, s := range in.Summaries {
		if isFresh(s, in.Now) && s.At.After(fresh[s.FailureDomain].At) {
			fresh[s.FailureDomain] = s
		}
	}
	return fresh
}

// workload returns the summary of one workload, with 0 in place of implausible
// values.
func (s Summary) workload(name string) WorkloadSummary {
	for _, w := range s.Workloads {
		if w.Workload == name {
			w.Slots = plausible(w.Slots)
			w.RequestBytes = plausible(w.RequestBytes)
			w.AnswerBytes = plausible(w.AnswerBytes)
			w.SlotTime = max(0, w.SlotTime)
			return w
		}
	}
	return WorkloadSummary{}
}

// maxPlausible is the largest number of slots, of requests a second or of bytes
// in a message that is accepted from a summary.
const maxPlausible = 1e9

func plausible(v float64) float64 {
	if math.IsNaN(v) || v < 0 || v > maxPlausible {
		return 0
	}
	return v
}

const (
	// maxReplanDelay is the longest time from the end of a plan to the computation
	// of the next. maxReactionDelay is the longest time from a change to the
	// computation of the first plan that takes the change into account.
	maxReplanDelay   = 6 * time.Second
	maxReactionDelay = 21 * time.Second
)

// ShiftTime returns the longest time that it takes to move all callers under a
// preset's cap on shifts.
func ShiftTime(preset pollencrank.Preset) time.Duration {
	share, interval := preset.ShiftCap()
	steps := math.Ceil(StepsPerCap/share - roundingError)
	return maxReactionDelay + time.Duration(steps)*(DefaultLead+interval/stepsPerInterval+maxReplanDelay)
}

// addCapacity adds up the slots of each workload and region. The slots that a
// failure domain reports count up to the number configured for it.
func (s *statistics) addCapacity(in Input, fresh map[string]Summary) {
	c := in.Configuration
	horizon := in.Now.Add(ShiftTime(c.Preset()))
	for _, d := range c.FailureDomains {
		if _, ok := fresh[d.Name]; !ok {
			s.unreachable = append(s.unreachable, d.Name)
		}
	}
	slices.Sort(s.unreachable)
	// domainSlots has the failure domain in place of the region in its keys.
	domainSlots := map[poolKey]float64{}
	for _, server := range c.Servers {
		pool := poolKey{server.Workload, c.RegionOf(server.FailureDomain)}
		s.configured[pool] += float64(server.Slots)
		if c.IsDraining(server, horizon) {
			s.draining[pool] = true
			continue
		}
		domainSlots[poolKey{server.Workload, server.FailureDomain}] += float64(server.Slots)
	}
	largest := map[poolKey]float64{}
	domainCount := map[poolKey]int{}
	for key, slots := range domainSlots {
		pool := poolKey{key.workload, c.RegionOf(key.region)}
		usable := min(slots, fresh[key.region].workload(key.workload).Slots)
		s.usable[pool] += usable
		largest[pool] = max(largest[pool], usable)
		domainCount[pool]++
	}
	if !c.Preset().SpareDomain {
		return
	}
	for pool, slots := range largest {
		if domainCount[pool] > 1 {
			s.usable[pool] -= slots
		}
	}
}

// addDemand adds up the demand for a workload.
func (s *statistics) addDemand(in Input, workload string, fresh map[string]Summary) {
	var requests, busySlots, requestBytes, answerBytes float64
	arrivals := map[string]float64{}
	for _, name := range slices.Sorted(maps.Keys(fresh)) {
		w := fresh[name].workload(workload)
		total := 0.0
		for _, a := range w.Arrivals {
			arrivals[a.Callers] += plausible(a.PerSecond)
			total += plausible(a.PerSecond)
		}
		requests += total
		busySlots += total * w.SlotTime.Seconds()
		requestBytes += total * w.RequestBytes
		answerBytes += total * w.AnswerBytes
	}
	if busySlots == 0 {
		return
	}
	for _, r := range in.Configuration.Regions {
		s.demand[flowKey{workload, r.Name}] = arrivals[r.Name] * busySlots / requests
	}
	s.requestBytes[workload] = requestBytes / busySlots
	s.answerBytes[workload] = answerBytes / busySlots
}

// retainDemand raises the demand to that of the previous plan, which may have
// been made before failure domains became unreachable: the callers of these
// domains will send their requests to others.
func (s *statistics) retainDemand(previous *pollencrank.Plan) {
	for _, d := range previous.Demands {
		flow := flowKey{d.Workload, d.Callers}
		s.demand[flow] = max(s.demand[flow], d.Slots)
	}
}

// roundingError is the tolerance in comparisons of shares.
const roundingError = 1e-9

// round limits a value to the precision that plans need: more digits would only
// make the messages larger.
func round(v float64) float64 {
	const precision = 1e4
	return math.Round(v*precision) / precision
}

func sortedKeys(m map[string]float64) []string { return slices.Sorted(maps.Keys(m)) }
