// Package surveyor collects summaries of the fleet: the request rates and the
// usable slots of each failure domain, and the generation in force on each
// instance.
//
// An instance that makes a survey queries one relay of each failure domain, and
// the relay queries the members of its own failure domain. This spreads the cost
// of a survey: an instance sends only as many messages as there are failure
// domains, or members in its own failure domain.
//
// # Usage
//
//	s := surveyor.New(surveyor.Config{Self: self, Peer: client, Fleet: fleet, Meter: meter, Slots: slots})
//	survey := s.Survey(ctx, false)
//	summaries := survey.Summaries()
package surveyor

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/internal/peerpb"
	"github.com/pollencrank/pollencrank/planner"
)

const (
	// memberTimeout limits a query to a member. domainTimeout limits a query to a
	// relay and is longer, because the relay queries its members meanwhile.
	memberTimeout = 500 * time.Millisecond
	domainTimeout = 1500 * time.Millisecond
	// maxConcurrentQueries is the largest number of queries in flight.
	maxConcurrentQueries = 16
	// cacheTime is how long a relay caches the summary of its failure domain.
	cacheTime = time.Second
	// maxQueriedMembers is the largest number of members of a failure domain that
	// are tried one after the other for its summary.
	maxQueriedMembers = 3
)

// Peer sends queries to other instances.
type Peer interface {
	Summarize(ctx context.Context, address string, request *peerpb.SummarizeRequest) (*peerpb.SummarizeResponse, error)
}

// Fleet provides the membership and the configuration's generation as seen by
// this instance.
type Fleet interface {
	// FailureDomains returns the names of the failure domains with members.
	FailureDomains() []string
	// Relays returns the relays of a failure domain, followed by other running
	// members.
	Relays(failureDomain string) []pollencrank.Instance
	// Neighbours returns the running members of this instance's failure domain.
	Neighbours() []pollencrank.Instance
	// Generation returns the generation in force on this instance.
	Generation() pollencrank.Generation
}

// Config is the configuration of a Surveyor.
type Config struct {
	Self  pollencrank.Instance
	Peer  Peer
	Fleet Fleet
	Meter *Meter
	// Slots returns the usable slots of this instance by workload.
	Slots func() map[string]int
}

// Domain is the summary of one failure domain.
type Domain struct {
	FailureDomain string
	At            time.Time
	Workloads     []*peerpb.WorkloadSummary
	// Generations maps the ID of each member that answered to the generation in
	// force there.
	Generations map[string]pollencrank.Generation
}

// Survey is the result of querying all failure domains. Failure domains that did
// not answer are missing.
type Survey struct {
	Domains []Domain
}

// Generations returns the generation in force on each member that answered, by
// its ID.
func (s Survey) Generations() map[string]pollencrank.Generation {
	all := map[string]pollencrank.Generation{}
	for _, d := range s.Domains {
		for id, generation := range d.Generations {
			all[id] = generation
		}
	}
	return all
}

// Summaries returns the summaries in the form that the planner takes.
func (s Survey) Summaries() []planner.Summary {
	var summaries []planner.Summary
	for _, d := range s.Domains {
		summary := planner.Summary{FailureDomain: d.FailureDomain, At: d.At}
		for _, w := range d.Workloads {
			summary.Workloads = append(summary.Workloads, newWorkloadSummary(w))
		}
		summaries = append(summaries, summary)
	}
	return summaries
}

func newWorkloadSummary(w *peerpb.WorkloadSummary) planner.WorkloadSummary {
	result := planner.WorkloadSummary{Workload: w.Workload, Slots: float64(w.Slots)}
	if w.EndedPerSecond > 0 {
		result.SlotTime = time.Duration(w.BusySecondsPerSecond / w.EndedPerSecond * float64(time.Second))
		result.RequestBytes = w.RequestBytesPerSecond / w.EndedPerSecond
		result.AnswerBytes = w.AnswerBytesPerSecond / w.EndedPerSecond
	}
	for _, a := range w.Arrivals {
		result.Arrivals = append(result.Arrivals, planner.Arrivals{Callers: a.Callers, PerSecond: a.PerSecond})
	}
	return result
}

// Surveyor queries other instances for summaries and answers their queries.
type Surveyor struct {
	config Config

	mu          sync.Mutex
	cached      *peerpb.SummarizeResponse
	cachedUntil time.Time
}

// New returns a Surveyor.
func New(config Config) *Surveyor { return &Surveyor{config: config} }

// HandleSummarize returns the summary of this instance's failure domain if the
// request names that domain, else the summary of this instance alone.
func (s *Surveyor) HandleSummarize(ctx context.Context, request *peerpb.SummarizeRequest) *peerpb.SummarizeResponse {
	if request.FailureDomain != s.config.Self.FailureDomain {
		return s.summarizeInstance()
	}
	response := s.summarizeDomain(ctx)
	if request.Instances {
		return response
	}
	return &peerpb.SummarizeResponse{From: response.From, Workloads: response.Workloads}
}

// summarizeInstance returns the summary of this instance.
func (s *Surveyor) summarizeInstance() *peerpb.SummarizeResponse {
	byWorkload := map[string]*peerpb.WorkloadSummary{}
	for _, w := range s.config.Meter.Rates(time.Now()) {
		byWorkload[w.Workload] = w
	}
	for workload, slots := range s.config.Slots() {
		summaryOf(byWorkload, workload).Slots = uint32(slots)
	}
	return &peerpb.SummarizeResponse{
		From:      s.config.Self.ID,
		Instances: []*peerpb.InstanceSummary{{Id: s.config.Self.ID, Generation: uint64(s.config.Fleet.Generation())}},
		Workloads: sorted(byWorkload),
	}
}

// summarizeDomain returns the summary of this instance's failure domain. Concurrent
// callers share one result.
func (s *Surveyor) summarizeDomain(ctx context.Context) *peerpb.SummarizeResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cached != nil && time.Now().Before(s.cachedUntil) {
		return s.cached
	}
	// The result is shared, so it must not depend on the patience of one caller.
	s.cached = s.queryMembers(context.WithoutCancel(ctx))
	s.cachedUntil = time.Now().Add(cacheTime)
	return s.cached
}

func (s *Surveyor) queryMembers(ctx context.Context) *peerpb.SummarizeResponse {
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(maxConcurrentQueries)
	var mu sync.Mutex
	answers := []*peerpb.SummarizeResponse{s.summarizeInstance()}
	for _, m := range s.config.Fleet.Neighbours() {
		if m.ID == s.config.Self.ID {
			continue
		}
		group.Go(func() error {
			answer, err := s.config.Peer.Summarize(ctx, m.PeerAddress, &peerpb.SummarizeRequest{From: s.config.Self.ID})
			if err == nil && answer.From == m.ID {
				mu.Lock()
				answers = append(answers, answer)
				mu.Unlock()
			}
			return nil
		})
	}
	_ = group.Wait()
	return merge(s.config.Self.ID, answers)
}

// merge adds up the summaries of members.
func merge(from string, answers []*peerpb.SummarizeResponse) *peerpb.SummarizeResponse {
	result := &peerpb.SummarizeResponse{From: from}
	byWorkload := map[string]*peerpb.WorkloadSummary{}
	for _, answer := range answers {
		result.Instances = append(result.Instances, answer.Instances...)
		for _, w := range answer.Workloads {
			addWorkload(summaryOf(byWorkload, w.Workload), w)
		}
	}
	result.Workloads = sorted(byWorkload)
	return result
}

func addWorkload(total, w *peerpb.WorkloadSummary) {
	total.Slots += w.Slots
	total.EndedPerSecond += w.EndedPerSecond
	total.BusySecondsPerSecond += w.BusySecondsPerSecond
	total.RequestBytesPerSecond += w.RequestBytesPerSecond
	total.AnswerBytesPerSecond += w.AnswerBytesPerSecond
	for _, a := range w.Arrivals {
		addArrivals(total, a)
	}
}

func addArrivals(total *peerpb.WorkloadSummary, added *peerpb.Arrivals) {
	for _, a := range total.Arrivals {
		if a.Callers == added.Callers {
			a.PerSecond += added.PerSecond
			return
		}
	}
	total.Arrivals = append(total.Arrivals, &peerpb.Arrivals{Callers: added.Callers, PerSecond: added.PerSecond})
}

// Survey queries all failure domains. If instances is set, the queries also ask
// for the generation in force on each instance.
func (s *Surveyor) Survey(ctx context.Context, instances bool) Survey {
	var group errgroup.Group
	group.SetLimit(maxConcurrentQueries)
	var mu sync.Mutex
	var survey Survey
	for _, name := range s.config.Fleet.FailureDomains() {
		group.Go(func() error {
			if d, ok := s.queryDomain(ctx, name, instances); ok {
				mu.Lock()
				survey.Domains = append(survey.Domains, d)
				mu.Unlock()
			}
			return nil
		})
	}
	_ = group.Wait()
	return survey
}

// queryDomain queries one failure domain. The summary is dated to the time before
// the query.
func (s *Surveyor) queryDomain(ctx context.Context, name string, instances bool) (Domain, bool) {
	queriedAt := time.Now()
	request := &peerpb.SummarizeRequest{From: s.config.Self.ID, FailureDomain: name, Instances: instances}
	if name == s.config.Self.FailureDomain {
		return newDomain(name, queriedAt, s.HandleSummarize(ctx, request)), true
	}
	relays := s.config.Fleet.Relays(name)
	for _, m := range relays[:min(maxQueriedMembers, len(relays))] {
		ctx, cancel := context.WithTimeout(ctx, domainTimeout)
		answer, err := s.config.Peer.Summarize(ctx, m.PeerAddress, request)
		cancel()
		if err == nil && answer.From == m.ID {
			return newDomain(name, queriedAt, answer), true
		}
	}
	return Domain{}, false
}

func newDomain(name string, at time.Time, answer *peerpb.SummarizeResponse) Domain {
	d := Domain{FailureDomain: name, At: at, Workloads: answer.Workloads, Generations: map[string]pollencrank.Generation{}}
	for _, i := range answer.Instances {
		d.Generations[i.Id] = pollencrank.Generation(i.Generation)
	}
	return d
}
